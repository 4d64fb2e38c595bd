// Package soak injects a seeded random schedule of faults into a fleet of real VM processes on an
// emulated platform. It checks the guarantees of the fleet by what clients and upstreams observe.
// Faults come in bursts and overlap.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
	"snipeshift.example/scenarios/relay"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	Kill             Kind = "kill"      // a VM's process is killed and started again
	Freeze           Kind = "freeze"    // a VM's process is paused
	Stop             Kind = "stop"      // a VM is stopped gracefully and started again
	ReloadSettings   Kind = "hangup"    // a VM gets SIGHUP, on which it reads its settings again
	Cut              Kind = "cut"       // connections of a link are reset, new ones included
	Reset            Kind = "reset"     // the open connections of a link are reset
	Silence          Kind = "silence"   // a link drops all data in one direction or both
	Delay            Kind = "delay"     // the data of a link is delayed
	StoreOutage      Kind = "outage"    // the store is unavailable
	DropHistory      Kind = "forget"    // the store drops its history, so that watchers must list again
	ExpireEntries    Kind = "lapse"     // the store is unavailable, and the entries of all upstreams expire meanwhile
	Crash            Kind = "crash"     // an upstream crashes and starts again with a new incarnation
	Drain            Kind = "drain"     // an upstream announces in the store that it drains, ends and starts again
	Misbehave        Kind = "sick"      // an upstream misbehaves as RunnerFault defines
	AddRoute         Kind = "document"  // the operator adds a route
	DeclareLimit     Kind = "limit"     // an upstream declares a rate limit for some time
	RestoreOlderCopy Kind = "drill"     // the store is restored from an older copy
	DeclareLeaving   Kind = "leave"     // an upstream announces only in its responses that it drains, ends and starts again
	Partition        Kind = "partition" // a VM loses its paths to all upstreams
	Shed             Kind = "shed"      // an upstream rejects all requests and asks for back-off
	SendBadPart      Kind = "part"      // clients send requests with a part that crashes each upstream
	Flood            Kind = "flood"     // many connections to a VM open that carry nothing
	Exhaust          Kind = "exhaust"   // the limit of descriptors of a VM falls below what it has open, and its port for peers is flooded
)

// weights are the relative frequencies of the kinds that planner.fault draws. The other kinds are
// scheduled by limitFaults, restoreFaults and declarationFaults.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{Freeze, 4},
	{Stop, 5},
	{ReloadSettings, 1},
	{Cut, 3},
	{Reset, 2},
	{Silence, 5},
	{Delay, 3},
	{StoreOutage, 3},
	{DropHistory, 1},
	{ExpireEntries, 1},
	{Crash, 5},
	{Drain, 3},
	{Misbehave, 9},
	{AddRoute, 2},
}

// LinkEnd is the far end of a link.
type LinkEnd string

// The far ends of a VM's links.
const (
	Store    LinkEnd = "store"
	Peer     LinkEnd = "peer"
	Upstream LinkEnd = "upstream"
)

// Fault is one fault of a schedule. The indexes VM and Other are reduced modulo the number of VMs or
// upstreams.
type Fault struct {
	Kind Kind
	// VM is the index of the VM whose process or whose outgoing link is hit. Other is the index of
	// the peer or upstream at the far end of that link, or of the upstream that is hit itself.
	VM, Other  int
	LinkEnd    LinkEnd
	Directions relay.Directions
	// NewConnsToo makes Silence affect connections opened during the fault too.
	NewConnsToo bool
	// Delay is the time by which faults of kind Delay delay data.
	Delay       time.Duration
	StoreMode   standin.StoreMode
	RunnerFault standin.RunnerFault
	// Rate is the limit that an upstream declares, in requests per second.
	Rate float64
	// UpstreamFault is how the connections to upstreams of a partitioned VM fail.
	UpstreamFault fleet.UpstreamFault
	// CopyAge is the age of the copy from which the store is restored.
	CopyAge time.Duration
	// At is the time from the start of the schedule to the start of the fault, Duration the time it lasts.
	At, Duration time.Duration
}

// String returns the fault's line in the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6v %-8s vm %d", f.At.Round(time.Millisecond), f.Kind, f.VM+1)
	switch f.Kind {
	case Cut, Reset, Silence, Delay:
		s += fmt.Sprintf(" to %s %d, directions %d, new connections too %v, delay %v", f.LinkEnd, f.Other, f.Directions, f.NewConnsToo, f.Delay)
	case Crash, Drain, Misbehave, DeclareLeaving, Shed:
		s += fmt.Sprintf(" upstream %d, runner fault %d", f.Other, f.RunnerFault)
	case DeclareLimit:
		s += fmt.Sprintf(" upstream %d, %.1f requests/s", f.Other, f.Rate)
	case RestoreOlderCopy:
		s += fmt.Sprintf(" mode %d, copy %v old", f.StoreMode, f.CopyAge.Round(time.Millisecond))
	case Partition:
		s += fmt.Sprintf(" %s", f.UpstreamFault)
	case StoreOutage, ExpireEntries:
		s += fmt.Sprintf(" mode %d", f.StoreMode)
	default:
	}
	return s + fmt.Sprintf(" for %v", f.Duration.Round(time.Millisecond))
}

// Times of a schedule. Some faults outlast leases and timeouts, and the next fault often starts
// before the last one has ended.
const (
	minDuration = 200 * time.Millisecond
	maxDuration = 5 * time.Second
	minPause    = 100 * time.Millisecond
	maxPause    = 2500 * time.Millisecond
	maxDelay    = 400 * time.Millisecond
	// burstOdds is the inverse of the probability that a fault starts a burst: the fault is repeated,
	// at the same or the next VM and after less than maxBurstGap each time, until it has been injected
	// 2 to maxBurst times.
	burstOdds   = 4
	maxBurst    = 4
	maxBurstGap = 800 * time.Millisecond
)

// Plan returns the schedule of faults for seed. Equal arguments give equal schedules.
func Plan(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 0))}
	var out []Fault
	for at := p.duration(minPause, maxPause); at < length; at += p.duration(minPause, maxPause) {
		f := p.fault()
		n := 1
		if p.IntN(burstOdds) == 0 {
			n += 1 + p.IntN(maxBurst-1)
		}
		for i := range n {
			f.At, f.Duration = at, p.duration(minDuration, maxDuration)
			if i > 0 && p.IntN(2) == 0 {
				f.VM++
			}
			out = append(out, f)
			at += p.duration(0, maxBurstGap)
		}
	}
	return slices.Concat(out, limitFaults(seed, length), restoreFaults(seed, length), declarationFaults(seed, length))
}

// Durations, rates (requests per second) and pauses of the limits that upstreams declare.
const (
	minLimited = 4 * time.Second
	maxLimited = 9 * time.Second
	maxRate    = 6
	limitPause = 5 * time.Second
)

// limitFaults draws the faults of kind DeclareLimit from a random source of their own, so that they
// do not change the other faults of a seed.
func limitFaults(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 1))}
	var out []Fault
	for at := p.duration(0, limitPause); at < length; at += p.duration(0, limitPause) {
		out = append(out, Fault{Kind: DeclareLimit, Other: p.IntN(indexRange), Rate: float64(p.IntN(10*maxRate)) / 10, At: at, Duration: p.duration(minLimited, maxLimited)})
	}
	return out
}

// Times of restores of the store from an older copy: how long the store is unavailable, the age of
// the copy and the pause between two restores.
const (
	maxUnavailable = time.Second
	maxCopyAge     = 8 * time.Second
	minCopyAge     = time.Second
	restorePause   = 25 * time.Second
)

// restoreFaults draws the faults of kind RestoreOlderCopy from a random source of their own, like
// limitFaults. A restore may start before the fleet has recovered from the last one.
func restoreFaults(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 2))}
	var out []Fault
	for at := p.duration(0, restorePause/2); at < length; at += p.duration(0, restorePause) {
		out = append(out, Fault{
			Kind: RestoreOlderCopy, StoreMode: []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)], CopyAge: p.duration(minCopyAge, maxCopyAge),
			At: at, Duration: p.duration(0, maxUnavailable),
		})
	}
	return out
}

// Times of the faults in which upstreams declare that they drain or ask for back-off.
const (
	minDeclared   = 2500 * time.Millisecond
	maxDeclared   = 7 * time.Second
	declaredPause = 12 * time.Second
)

// declarationFaults draws the faults of kinds DeclareLeaving and Shed, each from a random source of
// its own, like limitFaults.
func declarationFaults(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i, kind := range []Kind{DeclareLeaving, Shed} {
		p := planner{rand.New(rand.NewPCG(seed, uint64(3+i)))}
		for at := p.duration(0, declaredPause); at < length; at += p.duration(minDeclared, declaredPause) {
			out = append(out, Fault{Kind: kind, Other: p.IntN(indexRange), At: at, Duration: p.duration(minDeclared, maxDeclared)})
		}
	}
	return out
}

// Times of partitions from all upstreams, and how many VMs are hit at the same time.
const (
	minPartition       = 500 * time.Millisecond
	maxPartition       = 5 * time.Second
	partitionPause     = 4 * time.Second
	maxPartitionedVMs  = 4
	partitionGap       = 300 * time.Millisecond
	partitionKindCount = 3
)

// PartitionFaults draws faults of kind Partition from a random source of their own. Up to all VMs are hit within
// a short time, each in the same way.
func PartitionFaults(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 5))}
	var out []Fault
	for at := p.duration(0, partitionPause); at < length; at += p.duration(partitionPause/2, 2*partitionPause) {
		first := p.IntN(indexRange)
		how := []fleet.UpstreamFault{fleet.RefuseNew, fleet.ResetAll, fleet.HangAll}[p.IntN(partitionKindCount)]
		for i := range 1 + p.IntN(maxPartitionedVMs) {
			out = append(out, Fault{Kind: Partition, VM: first + i, UpstreamFault: how, At: at + p.duration(0, partitionGap), Duration: p.duration(minPartition, maxPartition)})
		}
	}
	return out
}

// Times of requests with a bad part and of floods of connections.
const (
	minPartTime = 2 * time.Second
	maxPartTime = 5 * time.Second
	partPause   = 6 * time.Second
)

// PartFaults draws faults of kinds SendBadPart, Flood and Exhaust, each from a random source of its own.
func PartFaults(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i, kind := range []Kind{SendBadPart, Flood, Exhaust} {
		p := planner{rand.New(rand.NewPCG(seed, uint64(6+i)))}
		for at := p.duration(0, partPause); at < length; at += p.duration(maxPartTime, maxPartTime+partPause) {
			out = append(out, Fault{Kind: kind, VM: p.IntN(indexRange), At: at, Duration: p.duration(minPartTime, maxPartTime)})
		}
	}
	return out
}

type planner struct{ *rand.Rand }

func (p planner) duration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.Int64N(int64(hi-lo)))
}

func (p planner) kind() Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := p.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}

// indexRange is the range of a Fault's random indexes.
const indexRange = 1 << 10

func (p planner) fault() Fault {
	return Fault{
		Kind: p.kind(), VM: p.IntN(indexRange), Other: p.IntN(indexRange), LinkEnd: []LinkEnd{Store, Peer, Peer, Upstream}[p.IntN(4)],
		Directions: []relay.Directions{relay.ToTarget, relay.FromTarget, relay.Both}[p.IntN(3)], NewConnsToo: p.IntN(2) == 0, Delay: p.duration(10*time.Millisecond, maxDelay),
		StoreMode:   []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)],
		RunnerFault: []standin.RunnerFault{standin.Rejecting, standin.Failing, standin.Resetting, standin.Hanging}[p.IntN(4)],
	}
}

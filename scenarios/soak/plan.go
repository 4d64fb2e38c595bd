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
	"snipeshift.example/scenarios/relay"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	Kill     Kind = "kill"     // a VM's process is killed and started again
	Freeze   Kind = "freeze"   // a VM's process is paused
	Stop     Kind = "stop"     // a VM is stopped gracefully and started again
	Hangup   Kind = "hangup"   // a VM gets SIGHUP, on which it reads its settings again
	Cut      Kind = "cut"      // connections of a link are reset, new ones included
	Reset    Kind = "reset"    // the open connections of a link are reset
	Silence  Kind = "silence"  // a link drops all data in one direction or both
	Delay    Kind = "delay"    // the data of a link is delayed
	Outage   Kind = "outage"   // the store is unavailable
	Forget   Kind = "forget"   // the store drops its history, so that watchers must list again
	Lapse    Kind = "lapse"    // the store is unavailable, and the entries of all upstreams expire meanwhile
	Crash    Kind = "crash"    // an upstream crashes and starts again with a new incarnation
	Drain    Kind = "drain"    // an upstream announces in the store that it drains, ends and starts again
	Sick     Kind = "sick"     // an upstream misbehaves as Trouble defines
	Document Kind = "document" // the operator adds a route
	Limit    Kind = "limit"    // an upstream declares a rate limit for some time
	Drill    Kind = "drill"    // the store is restored from an older copy
	Leave    Kind = "leave"    // an upstream announces only in its responses that it drains, ends and starts again
	Shed     Kind = "shed"     // an upstream rejects all requests and asks for back-off
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
	{Hangup, 1},
	{Cut, 3},
	{Reset, 2},
	{Silence, 5},
	{Delay, 3},
	{Outage, 3},
	{Forget, 1},
	{Lapse, 1},
	{Crash, 5},
	{Drain, 3},
	{Sick, 9},
	{Document, 2},
}

// End is the far end of a link.
type End string

// The far ends of a VM's links.
const (
	Store    End = "store"
	Peer     End = "peer"
	Upstream End = "upstream"
)

// Fault is one fault of a schedule. The indexes VM and Other are reduced modulo the number of VMs or
// upstreams.
type Fault struct {
	Kind Kind
	// VM is the index of the VM whose process or whose outgoing link is hit. Other is the index of
	// the peer or upstream at the far end of that link, or of the upstream that is hit itself.
	VM, Other int
	End       End
	Ways      relay.Ways
	// Fresh makes Silence affect connections opened during the fault too.
	Fresh bool
	// Held is the time by which Delay delays data.
	Held    time.Duration
	Mode    standin.StoreMode
	Trouble standin.RunnerFault
	// Rate is the limit that an upstream declares, in requests per second.
	Rate float64
	// Age is the age of the copy from which the store is restored.
	Age time.Duration
	// At is the time from the start of the schedule to the start of the fault, Span how long the fault lasts.
	At, Span time.Duration
}

// String returns the fault's line in the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6v %-8s vm %d", f.At.Round(time.Millisecond), f.Kind, f.VM+1)
	switch f.Kind {
	case Cut, Reset, Silence, Delay:
		s += fmt.Sprintf(" to %s %d, directions %d, new connections too %v, delay %v", f.End, f.Other, f.Ways, f.Fresh, f.Held)
	case Crash, Drain, Sick, Leave, Shed:
		s += fmt.Sprintf(" upstream %d, runner fault %d", f.Other, f.Trouble)
	case Limit:
		s += fmt.Sprintf(" upstream %d, %.1f requests/s", f.Other, f.Rate)
	case Drill:
		s += fmt.Sprintf(" mode %d, copy %v old", f.Mode, f.Age.Round(time.Millisecond))
	case Outage, Lapse:
		s += fmt.Sprintf(" mode %d", f.Mode)
	default:
	}
	return s + fmt.Sprintf(" for %v", f.Span.Round(time.Millisecond))
}

// Times of a schedule. Some faults outlast leases and timeouts, and the next fault often starts
// before the last one has ended.
const (
	minDuration = 200 * time.Millisecond
	maxDuration = 5 * time.Second
	minPause    = 100 * time.Millisecond
	maxPause    = 2500 * time.Millisecond
	maxDelay    = 400 * time.Millisecond
	// burstOdds is n if one in n faults starts a burst: the fault is repeated, at the same or the next
	// VM and after less than maxBurstGap each time, until it has been injected 2 to maxBurst times.
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
			f.At, f.Span = at, p.duration(minDuration, maxDuration)
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

// limitFaults draws the faults of kind Limit from a random source of their own, so that they do not
// change the other faults of a seed.
func limitFaults(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 1))}
	var out []Fault
	for at := p.duration(0, limitPause); at < length; at += p.duration(0, limitPause) {
		out = append(out, Fault{Kind: Limit, Other: p.IntN(indexRange), Rate: float64(p.IntN(10*maxRate)) / 10, At: at, Span: p.duration(minLimited, maxLimited)})
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

// restoreFaults draws the faults of kind Drill from a random source of their own, like limitFaults. A
// restore may start before the fleet has recovered from the last one.
func restoreFaults(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 2))}
	var out []Fault
	for at := p.duration(0, restorePause/2); at < length; at += p.duration(0, restorePause) {
		out = append(out, Fault{
			Kind: Drill, Mode: []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)], Age: p.duration(minCopyAge, maxCopyAge),
			At: at, Span: p.duration(0, maxUnavailable),
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

// declarationFaults draws the faults of kinds Leave and Shed, each from a random source of its own,
// like limitFaults.
func declarationFaults(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i, kind := range []Kind{Leave, Shed} {
		p := planner{rand.New(rand.NewPCG(seed, uint64(3+i)))}
		for at := p.duration(0, declaredPause); at < length; at += p.duration(minDeclared, declaredPause) {
			out = append(out, Fault{Kind: kind, Other: p.IntN(indexRange), At: at, Span: p.duration(minDeclared, maxDeclared)})
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
		Kind: p.kind(), VM: p.IntN(indexRange), Other: p.IntN(indexRange), End: []End{Store, Peer, Peer, Upstream}[p.IntN(4)],
		Ways: []relay.Ways{relay.There, relay.Back, relay.Both}[p.IntN(3)], Fresh: p.IntN(2) == 0, Held: p.duration(10*time.Millisecond, maxDelay),
		Mode:    []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)],
		Trouble: []standin.RunnerFault{standin.Rejecting, standin.Failing, standin.Resetting, standin.Hanging}[p.IntN(4)],
	}
}

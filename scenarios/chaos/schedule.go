// Package chaos runs a seeded random schedule of faults, one or two at a time,
// against a deployment under load, and checks the guarantees of the deployment at the end.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	Kill               Kind = "kill"      // a process is killed and started again
	Freeze             Kind = "freeze"    // a process is paused
	Stop               Kind = "stop"      // a daemon is stopped gracefully and started again
	Cut                Kind = "cut"       // connections of a link are reset and new ones refused
	Silence            Kind = "silence"   // the open connections of a link drop all data
	Blackhole          Kind = "blackhole" // all connections of a link, also new ones, drop all data
	StoreOutage        Kind = "outage"    // the store is unavailable
	SlowStore          Kind = "slow"      // the store responds slowly
	LoseWriteResponses Kind = "lose"      // the store executes writes and drops their responses
	StaleReads         Kind = "stale"     // reads of the store return the version before the last
	HangWatches        Kind = "deadwatch" // watches of the store never return
	EngineFault        Kind = "engine"    // an engine misbehaves as Setting defines
	ServiceFault       Kind = "service"   // a service misbehaves as Setting defines
	ListLeaving        Kind = "leaving"   // the platform lists an upstream as leaving
	ApplyDocument      Kind = "apply"     // an operator changes the document
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// Target is the process, the upstream or the dialing end of the link that the fault hits. It is
	// empty for faults of the store and for ApplyDocument. Other is the end of the link that accepts
	// connections.
	Target, Other string
	// Setting is the setting (field=value) of an emulated engine, service or store that causes the
	// fault, Reset the setting that ends it, empty if the fault ends by itself.
	Setting, Reset string
	// At is the time from the start of the schedule to the start of the fault, Duration the time it lasts.
	At, Duration time.Duration
}

// String returns the fault's line in the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6v %-9s %s", f.At.Round(time.Millisecond), f.Kind, f.Target)
	if f.Other != "" {
		s += " " + f.Other
	}
	if f.Setting != "" {
		s += " " + f.Setting
	}
	return fmt.Sprintf("%s for %v", s, f.Duration.Round(time.Millisecond))
}

// Targets lists the names of the processes that faults may target.
type Targets struct{ Daemons, Engines, Services []string }

// Times of a schedule. Faults last long enough that some outlast leases and timeouts. Pauses are
// short enough that the next fault often starts before the system has recovered from the last.
const (
	minDuration = 500 * time.Millisecond
	maxDuration = 7 * time.Second
	minPause    = 200 * time.Millisecond
	maxPause    = 2500 * time.Millisecond
	// pairOdds is the inverse of the probability that two faults start together.
	pairOdds = 3
)

// weights are the relative frequencies of the kinds.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 5},
	{Freeze, 4},
	{Stop, 3},
	{Cut, 3},
	{Silence, 4},
	{Blackhole, 2},
	{StoreOutage, 3},
	{SlowStore, 1},
	{LoseWriteResponses, 2},
	{StaleReads, 1},
	{HangWatches, 1},
	{EngineFault, 4},
	{ServiceFault, 2},
	{ListLeaving, 1},
	{ApplyDocument, 2},
}

// settingPair holds the setting that causes a fault and the one that ends it.
type settingPair struct{ set, reset string }

var engineSettings = []settingPair{
	{"truncate=3", "truncate=0"},
	{"cross=true", "cross=false"},
	{"duplicate=2", "duplicate=0"},
	{"late=400", "late=0"},
	{"stall=true", "stall=false"},
	{"refuse=true", "refuse=false"},
	{"slow=8", "slow=1"},
	{"lose=3", "lose=0"},
	{"leaving=true", "leaving=false"},
	{"mute=true", "mute=false"},
}

var serviceSettings = []settingPair{
	{"die=3", "die=0"},
	{"silent=true", "silent=false"},
	{"refuse=true", "refuse=false"},
	{"delay=800", "delay=0"},
}

// Plan returns the schedule of faults for seed; faults start within length. Equal arguments give
// equal schedules.
func Plan(seed uint64, length time.Duration, targets Targets) []Fault {
	p := planner{rng: rand.New(rand.NewPCG(seed, 0)), targets: targets}
	var out []Fault
	for at := p.duration(minPause, maxPause); at < length; at += p.duration(minPause, maxPause) {
		n := 1
		if p.rng.IntN(pairOdds) == 0 {
			n = 2
		}
		for range n {
			x := p.fault()
			x.At, x.Duration = at, p.duration(minDuration, maxDuration)
			out = append(out, x)
		}
		at += minDuration
	}
	return out
}

type planner struct {
	rng     *rand.Rand
	targets Targets
}

func (p *planner) duration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.rng.Int64N(int64(hi-lo)))
}

func (p *planner) kind() Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := p.rng.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}

func (p *planner) pick(names []string) string { return names[p.rng.IntN(len(names))] }

func (p *planner) fault() Fault {
	f := Fault{Kind: p.kind()}
	switch f.Kind {
	case Kill, Freeze:
		f.Target = p.pick(append(append([]string{}, p.targets.Daemons...), p.targets.Engines...))
	case Stop:
		f.Target = p.pick(p.targets.Daemons)
	case Cut, Silence, Blackhole:
		f.Target, f.Other = p.link()
	case EngineFault:
		x := engineSettings[p.rng.IntN(len(engineSettings))]
		f.Target, f.Setting, f.Reset = p.pick(p.targets.Engines), x.set, x.reset
	case ServiceFault:
		x := serviceSettings[p.rng.IntN(len(serviceSettings))]
		f.Target, f.Setting, f.Reset = p.pick(p.targets.Services), x.set, x.reset
	case ListLeaving:
		f.Target = p.pick(p.targets.Engines)
	case StoreOutage:
		f.Setting, f.Reset = `outage="refuse"`, `outage=""`
		if p.rng.IntN(2) == 0 {
			f.Setting = `outage="hang"`
		}
	case SlowStore:
		f.Setting, f.Reset = "slow=600", "slow=0"
	case LoseWriteResponses:
		f.Setting, f.Reset = "lose=3", "lose=0"
	case StaleReads:
		f.Setting = "stale=3000"
	case HangWatches:
		f.Setting, f.Reset = "deadwatch=true", "deadwatch=false"
	}
	return f
}

// link picks the ends of a link: a daemon and a process that it dials, or the client and a daemon.
func (p *planner) link() (from, to string) {
	from = p.pick(p.targets.Daemons)
	switch p.rng.IntN(5) {
	case 0:
		return "caller", from
	case 1:
		return from, "store"
	case 2:
		return from, p.pick(p.targets.Engines)
	case 3:
		return from, p.pick(p.targets.Services)
	}
	for {
		if to = p.pick(p.targets.Daemons); to != from {
			return from, to
		}
	}
}

// Package soak plays a seeded random schedule of faults against a fleet of real processes
// on a stand-in of the platform, and checks from what callers and upstreams see that every
// promise holds. Faults come in series and overlap.
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

// The faults.
const (
	Kill     Kind = "kill"     // a VM's process dies and is started again
	Freeze   Kind = "freeze"   // a VM's process stands still
	Stop     Kind = "stop"     // a planned stop of a VM and its start
	Hangup   Kind = "hangup"   // a VM hears that its settings changed
	Cut      Kind = "cut"      // a link is reset and refused
	Reset    Kind = "reset"    // the open connections of a link are reset
	Silence  Kind = "silence"  // a link carries nothing, one way or both
	Delay    Kind = "delay"    // a link is slow
	Outage   Kind = "outage"   // the store is away
	Forget   Kind = "forget"   // the store drops its history
	Lapse    Kind = "lapse"    // the store is away, and entries of upstreams lapse meanwhile
	Crash    Kind = "crash"    // an upstream dies, and another life of it comes
	Drain    Kind = "drain"    // an upstream announces that it leaves, goes, and another comes
	Sick     Kind = "sick"     // an upstream does what Trouble says
	Document Kind = "document" // the operator adds a route
	Limit    Kind = "limit"    // an upstream names a limit for some time
	Drill    Kind = "drill"    // the store comes back from an older copy
	Leave    Kind = "leave"    // an upstream says in its answers alone that it leaves, goes, and another comes
	Shed     Kind = "shed"     // an upstream turns all requests away and asks for rest
)

// weights say how often each kind comes.
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

// Fault is one fault of a schedule. Indexes are taken modulo the size of what they choose from.
type Fault struct {
	Kind Kind
	// VM is hit, or dials the link that is; Other is the peer or upstream at its far end.
	VM, Other int
	End       End
	Ways      relay.Ways
	// Fresh lets connections opened during the fault be silent too.
	Fresh   bool
	Held    time.Duration
	Mode    standin.StoreMode
	Trouble standin.RunnerFault
	// Rate is the limit that an upstream names, in requests a second.
	Rate float64
	// Age is that of the copy from which the store comes back.
	Age time.Duration
	// At is when it begins, from the start of the schedule; Span how long it lasts.
	At, Span time.Duration
}

// String is one line of the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6v %-8s vm %d", f.At.Round(time.Millisecond), f.Kind, f.VM+1)
	switch f.Kind {
	case Cut, Reset, Silence, Delay:
		s += fmt.Sprintf(" to %s %d, ways %d, fresh %v, held %v", f.End, f.Other, f.Ways, f.Fresh, f.Held)
	case Crash, Drain, Sick, Leave, Shed:
		s += fmt.Sprintf(" upstream %d, trouble %d", f.Other, f.Trouble)
	case Limit:
		s += fmt.Sprintf(" upstream %d, %.1f a second", f.Other, f.Rate)
	case Drill:
		s += fmt.Sprintf(" mode %d, copy of %v before", f.Mode, f.Age.Round(time.Millisecond))
	case Outage, Lapse:
		s += fmt.Sprintf(" mode %d", f.Mode)
	default:
	}
	return s + fmt.Sprintf(" for %v", f.Span.Round(time.Millisecond))
}

// Times of a schedule: spans outlast leases and timeouts now and then, and the next fault often
// comes while the last one lasts.
const (
	leastSpan  = 200 * time.Millisecond
	mostSpan   = 5 * time.Second
	leastPause = 100 * time.Millisecond
	mostPause  = 2500 * time.Millisecond
	mostHeld   = 400 * time.Millisecond
	// series is how often a fault comes again soon, one in so many, up to seriesMost times.
	series     = 4
	seriesMost = 4
	seriesGap  = 800 * time.Millisecond
)

// Plan returns the schedule of a seed. The same seed always gives the same one.
func Plan(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 0))}
	var out []Fault
	for at := p.between(leastPause, mostPause); at < length; at += p.between(leastPause, mostPause) {
		f := p.fault()
		n := 1
		if p.IntN(series) == 0 {
			n += 1 + p.IntN(seriesMost-1)
		}
		for i := range n {
			f.At, f.Span = at, p.between(leastSpan, mostSpan)
			if i > 0 && p.IntN(2) == 0 {
				f.VM++
			}
			out = append(out, f)
			at += p.between(0, seriesGap)
		}
	}
	return slices.Concat(out, limits(seed, length), drills(seed, length), declarations(seed, length))
}

// Times and sizes of limits that upstreams name.
const (
	leastLimited = 4 * time.Second
	mostLimited  = 9 * time.Second
	mostRate     = 6
	limitPause   = 5 * time.Second
)

// limits are drawn by themselves, so that the other faults of a seed stay what they were.
func limits(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 1))}
	var out []Fault
	for at := p.between(0, limitPause); at < length; at += p.between(0, limitPause) {
		out = append(out, Fault{Kind: Limit, Other: p.IntN(wide), Rate: float64(p.IntN(10*mostRate)) / 10, At: at, Span: p.between(leastLimited, mostLimited)})
	}
	return out
}

// Times of drills.
const (
	mostAway   = time.Second
	mostAge    = 8 * time.Second
	leastAge   = time.Second
	drillPause = 25 * time.Second
)

// drills are drawn by themselves, as limits are. One may follow while the last one is not digested.
func drills(seed uint64, length time.Duration) []Fault {
	p := planner{rand.New(rand.NewPCG(seed, 2))}
	var out []Fault
	for at := p.between(0, drillPause/2); at < length; at += p.between(0, drillPause) {
		out = append(out, Fault{
			Kind: Drill, Mode: []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)], Age: p.between(leastAge, mostAge),
			At: at, Span: p.between(0, mostAway),
		})
	}
	return out
}

// Times of what upstreams declare: that they leave, and that they want rest.
const (
	leastDeclared = 2500 * time.Millisecond
	mostDeclared  = 7 * time.Second
	declaredPause = 12 * time.Second
)

// declarations are drawn by themselves, as limits are.
func declarations(seed uint64, length time.Duration) []Fault {
	var out []Fault
	for i, kind := range []Kind{Leave, Shed} {
		p := planner{rand.New(rand.NewPCG(seed, uint64(3+i)))}
		for at := p.between(0, declaredPause); at < length; at += p.between(leastDeclared, declaredPause) {
			out = append(out, Fault{Kind: kind, Other: p.IntN(wide), At: at, Span: p.between(leastDeclared, mostDeclared)})
		}
	}
	return out
}

type planner struct{ *rand.Rand }

func (p planner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.Int64N(int64(most-least)))
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

const wide = 1 << 10

func (p planner) fault() Fault {
	return Fault{
		Kind: p.kind(), VM: p.IntN(wide), Other: p.IntN(wide), End: []End{Store, Peer, Peer, Upstream}[p.IntN(4)],
		Ways: []relay.Ways{relay.There, relay.Back, relay.Both}[p.IntN(3)], Fresh: p.IntN(2) == 0, Held: p.between(10*time.Millisecond, mostHeld),
		Mode:    []standin.StoreMode{standin.Unavailable, standin.Unresponsive}[p.IntN(2)],
		Trouble: []standin.RunnerFault{standin.Rejecting, standin.Failing, standin.Resetting, standin.Hanging}[p.IntN(4)],
	}
}

package span

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// The load of this file is long prompts beyond what the engines can read. What is in time
// goes first, so a prompt that missed its aim waits for engines that nobody else
// wants, and under lasting pressure it would wait until its deadline and get nothing.
// Its caller is better served by a refusal while there is time to come back. So
// late prompts are kept only as far as the engines' spare time will serve them.
const (
	// headroomWindow is the time over which the engines' spare time is averaged: about as
	// long as two long reads, so that the gap between two does not count as calm.
	headroomWindow = 4000.0
	// lateWindow is the time over which the placing of late short requests is averaged as well: callers whose streams were all cut
	// come back in one moment, and the seconds before tell nothing of how soon they find their places.
	lateWindow = 250.0
	// leastHeadroom is the share of the engines' time that is counted on for late
	// prompts under any pressure: phases of pressure end.
	leastHeadroom = 0.1
	// stuckAfter is how long a short request is late before it is taken for stuck: a
	// moment without a free slot is no pressure.
	stuckAfter = 200 * clock.Milli(1)
	// longestRetry bounds the time after which a refused caller is asked to come back.
	longestRetry = 4 * clock.Second
)

// headroom follows how much of the time of engines for long reads is left over.
type headroom struct {
	// busy is the averaged share of those engines that read, at the instant at.
	busy float64
	at   clock.Milli
	// engines is how many there are that hold no short streams.
	engines int
	// served is how many late short requests are placed in a millisecond, averaged over headroomWindow, and lately over
	// lateWindow.
	served, lately float64
}

// observe takes the present state of the engines into the average.
func (p *Pool) observe(now clock.Milli) {
	if !scans(p.headroom.at, now, len(p.order)) {
		return
	}
	engines, reading := 0, 0
	for _, r := range p.order {
		if r.overruns(now) {
			r.suspected = true
		}
		if r.engine == nil || r.leaves() || r.light() {
			continue
		}
		engines++
		if r.reading > 0 {
			reading++
		}
	}
	share := 1.0
	if engines > 0 {
		share = float64(reading) / float64(engines)
	}
	keep := math.Exp(-float64(now-p.headroom.at) / headroomWindow)
	soon := math.Exp(-float64(now-p.headroom.at) / lateWindow)
	p.headroom = headroom{
		busy: keep*p.headroom.busy + (1-keep)*share, at: now, engines: engines,
		served: keep * p.headroom.served, lately: soon * p.headroom.lately,
	}
}

// placed counts a late short request that found its place.
func (h *headroom) placed() {
	h.served += 1 / headroomWindow
	h.lately += 1 / lateWindow
}

// stuck reports whether a late short request behind this many others will be of no use
// any more when it is placed, at the rate of the last seconds or of the last moments, whichever is higher.
func (p *Pool) stuck(now clock.Milli, w *waiting, ahead int) (Decision, bool) {
	wait := float64(ahead+1) / max(p.headroom.served, p.headroom.lately, 1/headroomWindow)
	if w.cost == 0 || now-w.Aim < stuckAfter || float64(w.last-now) > wait+w.least {
		return Decision{}, false
	}
	return refusal(w, wait), true
}

// debts is the reading in milliseconds that all engines still have to do.
func (p *Pool) debts(now clock.Milli) float64 {
	sum := 0.0
	for _, r := range p.order {
		if r.engine != nil {
			sum += r.debt(now)
		}
	}
	return sum
}

// willBeLate reports whether a long prompt in time will miss its aim behind this much reading.
func (p *Pool) willBeLate(now clock.Milli, w *waiting, before float64) bool {
	return float64(w.Aim-now) < settleTime+w.least+before/float64(max(p.headroom.engines, 1))
}

// refusal tells a caller to come back when half of the time is over that it would have
// waited: pressure comes in phases, and one that comes back at once is only refused again.
func refusal(w *waiting, wait float64) Decision {
	retry := min(max(clock.Milli(wait/2), firstShut), longestRetry)
	return Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Overloaded, Retry: retry, Reason: "pressure"}
}

// rate is how much reading the engines do beside what is in time, in milliseconds
// of one engine for each millisecond.
func (h headroom) rate() float64 {
	return max(leastHeadroom, 1-h.busy) * float64(max(h.engines, 1))
}

// hopeless reports whether a late long prompt will not be served by its deadline,
// behind this much reading of other late ones, and how long that reading takes.
func (p *Pool) hopeless(now clock.Milli, w *waiting, ahead float64) (Decision, bool) {
	rate := p.headroom.rate()
	wait := ahead / rate
	reading := w.cost / rate
	if float64(w.last-now) > wait+max(reading, w.least) {
		return Decision{}, false
	}
	return refusal(w, wait+reading), true
}

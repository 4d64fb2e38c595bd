package span

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// This file handles more long prompts than the engines can prefill. Prompts in time go first, so a
// prompt that missed its aim waits for engines that no other prompt needs, and under lasting
// overload it would wait until its deadline without an answer. Its client is better served by a
// refusal that leaves time to retry. So late prompts are queued only as far as the spare time of
// the engines will serve them.
const (
	// headroomWindow is the time in milliseconds over which the engines' spare time is averaged:
	// about as long as two long prefills, so that the gap between two does not count as low load.
	headroomWindow = 4000.0
	// lateWindow is a second, shorter window for the rate at which late short requests are placed.
	// When all streams were cut, their clients reconnect at once, and the placing rate of the
	// seconds before does not show how soon their requests can be placed.
	lateWindow = 250.0
	// minHeadroom is the share of the engines' time that is assumed to be available to late prompts
	// under any load, because phases of overload end.
	minHeadroom = 0.1
	// lateShortGrace is how long a short request must be late before it can be refused for
	// overload: a moment without a free slot is no overload.
	lateShortGrace = 200 * clock.Milli(1)
	// maxRetry bounds the time after which a refused client is asked to retry.
	maxRetry = 4 * clock.Second
)

// headroom tracks how much time the engines that long prompts use have to spare.
type headroom struct {
	// busy is the average share of these engines that are prefilling a prompt, as of the time at.
	busy float64
	at   clock.Milli
	// engines is the number of engines without short streams.
	engines int
	// placeRate is the number of late short requests placed per millisecond, averaged over
	// headroomWindow; recentPlaceRate is averaged over lateWindow.
	placeRate, recentPlaceRate float64
}

// observeLoad includes the present state of the engines in the averages.
func (p *Pool) observeLoad(now clock.Milli) {
	if !scanDue(p.headroom.at, now, len(p.packOrder)) {
		return
	}
	engines, prefilling := 0, 0
	for _, r := range p.packOrder {
		if r.firstByteOverdue(now) {
			r.reportWanted = true
			r.record.Doubt()
		}
		if r.engine == nil || r.draining() || r.hasShortStreams() {
			continue
		}
		engines++
		if r.prefills > 0 {
			prefilling++
		}
	}
	share := 1.0
	if engines > 0 {
		share = float64(prefilling) / float64(engines)
	}
	decay := math.Exp(-float64(now-p.headroom.at) / headroomWindow)
	recentDecay := math.Exp(-float64(now-p.headroom.at) / lateWindow)
	p.headroom = headroom{
		busy: decay*p.headroom.busy + (1-decay)*share, at: now, engines: engines,
		placeRate: decay * p.headroom.placeRate, recentPlaceRate: recentDecay * p.headroom.recentPlaceRate,
	}
}

// notePlaced counts a late short request that was placed.
func (h *headroom) notePlaced() {
	h.placeRate += 1 / headroomWindow
	h.recentPlaceRate += 1 / lateWindow
}

// waitOfShort returns the time in milliseconds until a late short request behind this many others is
// placed, at the average or the recent placing rate, whichever is higher.
func (h headroom) waitOfShort(ahead int) float64 {
	return float64(ahead+1) / max(h.placeRate, h.recentPlaceRate, 1/headroomWindow)
}

// refuseLateShort refuses a late short request whose answer will come too late to be of use if the
// request is placed after this many others, at the average or the recent placing rate, whichever is
// higher, or after the forecast wait. It reports whether it refused the request.
func (p *Pool) refuseLateShort(now clock.Milli, w *queuedRequest, ahead int) (Decision, bool) {
	if d, refused, active := p.refuseInRecovery(now, w, ahead); active {
		return d, refused
	}
	if wait, ok := p.forecastWait(now, w, ahead); ok {
		return p.refuseAfter(now, w, wait)
	}
	wait := p.headroom.waitOfShort(ahead)
	if w.prefillTime == 0 || now-w.Aim < lateShortGrace || float64(w.latestFirst-now) > wait+w.groupPrefillTime {
		return Decision{}, false
	}
	return overloadRefusal(w, wait), true
}

// totalBacklog returns the prefill time in milliseconds that all engines still have to compute.
func (p *Pool) totalBacklog(now clock.Milli) float64 {
	sum := 0.0
	for _, r := range p.packOrder {
		if r.engine != nil {
			sum += r.backlog(now)
		}
	}
	return sum
}

// willBeLate reports whether a long prompt in time will miss its aim behind this backlog.
func (p *Pool) willBeLate(now clock.Milli, w *queuedRequest, backlog float64) bool {
	return float64(w.Aim-now) < startDelay+w.groupPrefillTime+p.headroom.waitInTime(backlog)
}

// waitInTime returns the time in milliseconds in which all engines together prefill this much work.
func (h headroom) waitInTime(backlog float64) float64 { return backlog / float64(max(h.engines, 1)) }

// overloadRefusal refuses a request and asks its client to retry after half of the time that it
// would have waited. Overload comes in phases, and a client that retries at once is only refused
// again.
func overloadRefusal(w *queuedRequest, wait float64) Decision {
	retry := min(max(clock.Milli(wait/2), firstExclusion), maxRetry)
	return Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Overloaded, Retry: retry, Reason: "pressure"}
}

// spareRate returns the prefill capacity that is left for late prompts, in engines (milliseconds of
// prefill per millisecond).
func (h headroom) spareRate() float64 {
	return max(minHeadroom, 1-h.busy) * float64(max(h.engines, 1))
}

// waitOfLong returns the time in milliseconds in which the spare capacity prefills this much work of
// late prompts.
func (h headroom) waitOfLong(ahead float64) float64 { return ahead / h.spareRate() }

// refuseLateLong refuses a long prompt that will not be served by its deadline behind this much
// prefill time of other late prompts, by the spare time of the engines or by the forecast. It reports
// whether it refused the prompt.
func (p *Pool) refuseLateLong(now clock.Milli, w *queuedRequest, ahead float64) (Decision, bool) {
	if wait, ok := p.forecastWait(now, w, int(ahead)); ok {
		return p.refuseAfter(now, w, wait)
	}
	rate := p.headroom.spareRate()
	wait := p.headroom.waitOfLong(ahead)
	ownTime := w.prefillTime / rate
	if float64(w.latestFirst-now) > wait+max(ownTime, w.groupPrefillTime) {
		return Decision{}, false
	}
	return overloadRefusal(w, wait+ownTime), true
}

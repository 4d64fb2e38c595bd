package span

import (
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	Ask
	queuedAt, askedAt clock.Milli
	// prefillTime is the prefill time of the prompt on one engine, and groupPrefillTime that on a
	// group of the largest size, in milliseconds.
	prefillTime, groupPrefillTime float64
	// long is set if the prefill is too long to run beside short streams.
	long bool
	// latestFirst is the latest time at which the first byte is of use: the client is still
	// connected, and after a long prompt the time left to the deadline probably suffices for
	// writing the answer. Short requests are tried even if it may not suffice, since a try costs
	// little and the answer may be short.
	latestFirst clock.Milli
	// passedOver is set once a scan has left the request waiting.
	passedOver bool
	// booked is set for a retry that has taken its booking.
	booked bool
	// expectedStart is when the forecast at arrival expects the grant; zero if there was none.
	expectedStart clock.Milli
}

// estimate computes the fields that depend on the length of the prompt.
func (p *Pool) estimate(w *queuedRequest) {
	w.prefillTime, w.groupPrefillTime, w.long, w.latestFirst = 0, 0, false, w.Deadline
	if w.Patience > 0 {
		w.latestFirst = min(w.latestFirst, w.Patience)
	}
	if p.engine == nil || w.Prompt == 0 {
		return
	}
	w.prefillTime = p.engine.PrefillTime(w.Prompt)
	w.groupPrefillTime = w.prefillTime
	if w.long = w.prefillTime > p.maxShortPrefill(&w.Ask); w.long {
		w.groupPrefillTime = w.prefillTime / float64(p.maxGroup())
		w.latestFirst = min(w.latestFirst, w.Deadline-clock.Milli(p.engine.DecodeTime(w.Likely, w.Prompt)))
	}
}

// shortContext is the context in tokens of a short stream, for estimating passes with many streams:
// a prompt of 5,000 tokens and half of its answer.
const shortContext = 5600

// maxShortPrefill returns the longest prefill in milliseconds that is placed beside short streams.
// If the request's own pause is short, that is the part of the pause that remains when a packed
// engine has decoded its streams: about 120 ms for pauses of 200 ms, 165 ms for 250 ms. With a
// fixed bound, short requests whose prefill fits into the pauses of their kind would be spread like
// long ones, over engines that long prompts need.
func (p *Pool) maxShortPrefill(a *Ask) float64 {
	if a.Gap <= 0 || a.Gap > maxShortPause {
		return p.rules.MaxShortRead
	}
	streams := min(p.rules.PackedStreams, p.engine.Slots)
	pass := p.engine.PassTime(streams, decide.Tokens(streams)*shortContext)
	return max(p.rules.MaxShortRead, p.rules.PauseFraction*float64(a.Gap)-pass)
}

// round is one scan of the whole queue.
type round struct {
	pool *Pool
	now  clock.Milli
	// backlogInTime is the prefill time in milliseconds that is ahead of the next long prompt in
	// time, and backlogLate the prefill time of late prompts that is ahead of the next late one.
	backlogInTime, backlogLate float64
	// lateShort counts late short requests that could not be placed.
	lateShort int
	// short counts the short requests without a booking that stayed queued.
	short int
	// longWaits is set once a long prompt in time could not be placed, shortWaits once a short
	// request could not.
	longWaits, shortWaits bool
	// full is set once no upstream has a free slot.
	full bool
	// unverified is set while the loads of all engines are unverified, so that their capacity is
	// unknown.
	unverified bool
	// unplaced lists late short requests that could not be placed. A request that needs at least as
	// much prefill and memory as one of them, and tolerates no longer pauses, can't be placed
	// either.
	unplaced []*queuedRequest
	// supply is the rate at which the upstreams accept requests, if all of them declare limits.
	// behind counts the requests that wait for that supply.
	supply supply
	behind int
	// waiting are the predicted tokens of the requests that stayed queued, by workspace; nil if shares
	// are not enabled.
	waiting map[decide.WorkspaceID]decide.Tokens
	// free is the number of free slots once freeCounted is set, see countFree. maxReserve is what it
	// would be on idle upstreams: a reserve must be smaller, or it would exclude a workspace beyond its
	// share from a few engines however idle they are.
	free, maxReserve int
	freeCounted      bool
}

// Tick places queued requests as far as there is room, refuses those that can no longer be served,
// and returns these decisions. Requests without a decision stay queued.
func (p *Pool) Tick(now clock.Milli) []Decision {
	p.expire(now)
	p.observeLoad(now)
	p.observeOverrun(now)
	p.observeRecovery(now)
	if len(p.queue) == 0 {
		return nil
	}
	var ds []Decision
	o := p.newRound(now)
	for _, w := range p.orderedQueue(now) {
		if d, decided := o.next(w); decided {
			ds = append(ds, d)
		}
	}
	return ds
}

// newRound starts a scan of the queue.
func (p *Pool) newRound(now clock.Milli) round {
	p.largeReserve.choose(now, p.queue, p.maxGroup())
	p.forecast.beginRound()
	return round{pool: p, now: now, backlogInTime: p.totalBacklog(now), unverified: p.allUnverified(), supply: p.totalSupply(now)}
}

// next decides on the next request in the order of placing, and takes it from the queue if it is granted or refused.
func (o *round) next(w *queuedRequest) (Decision, bool) {
	d, decided := o.judge(w)
	o.pool.noteForecast(o.now, w, d, decided)
	if !decided {
		if !w.long && !w.booked {
			o.short++
		}
		o.noteWaiting(w)
		return Decision{}, false
	}
	o.book(w, &d)
	delete(o.pool.queue, w.ID)
	if w.long {
		o.pool.largeReserve.noteDecided(w, d.Action == Refused)
	}
	return d, true
}

// allUnverified reports whether the loads of all engines are unverified. That is so for a new owner
// until engines have reported, and for an isolated owner, which uses few of them. Meanwhile the
// rate at which late requests are placed is no measure of the capacity.
func (p *Pool) allUnverified() bool {
	if p.isolation.on {
		return true
	}
	for _, r := range p.packOrder {
		if !r.draining() && !(r.unverified && r.engine != nil) {
			return false
		}
	}
	return true
}

// judge decides on one request unless it has to wait for the answer to another one with the same suspect part.
func (o *round) judge(w *queuedRequest) (Decision, bool) {
	d, refused, held := o.pool.judgeParts(o.now, w)
	switch {
	case refused:
		return d, true
	case held:
		return o.pool.refuse(o.now, w)
	default:
		return o.decide(w)
	}
}

// decide places one request, refuses it, or leaves it in the queue. It is called in the order of
// placing. A request that can be placed now is never refused, however high the load of the last
// seconds was: refusing it would leave an engine idle. The exception is a request of a workspace
// beyond its share while the last free slots are reserved for others.
func (o *round) decide(w *queuedRequest) (Decision, bool) {
	late := w.late(o.now)
	yields := w.long && late && !w.Begun && o.longWaits && !w.nearDeadline(o.now)
	if !yields && !o.leavesReserve(w) {
		if d, placed := o.place(w, late); placed {
			o.addBacklog(w, late)
			return d, true
		}
	}
	mayRefuse := !o.unverified && !w.Begun && !w.booked && !o.servedByShare(w)
	if w.long {
		if d, refused := o.refuseLong(w, late); refused && mayRefuse {
			return d, true
		}
		o.addBacklog(w, late)
	}
	if yields {
		return Decision{}, false
	}
	if !late && !w.long && mayRefuse {
		if d, refused := o.pool.refuseShortInTime(o.now, w); refused {
			return d, true
		}
	}
	if late && !w.long && mayRefuse {
		if d, refused := o.pool.refuseLateShort(o.now, w, o.lateShort); refused {
			return d, true
		}
		o.lateShort++
	}
	o.longWaits = o.longWaits || w.long && !late
	if d, refused := o.pool.refuse(o.now, w); refused {
		return d, true
	}
	return o.refuseOverLimit(w)
}

// refuseLong refuses a long prompt that is late, or will be, and that will not be served by its
// deadline.
func (o *round) refuseLong(w *queuedRequest, late bool) (Decision, bool) {
	if w.ID == o.pool.largeReserve.next || !late && !o.pool.willBeLate(o.now, w, o.backlogInTime) {
		return Decision{}, false
	}
	return o.pool.refuseLateLong(o.now, w, o.backlogLate)
}

// addBacklog adds the prefill time of a long prompt to the backlog of the prompts behind it.
func (o *round) addBacklog(w *queuedRequest, late bool) {
	switch {
	case !w.long:
	case late:
		o.backlogLate += w.prefillTime
	default:
		o.backlogInTime += w.prefillTime
	}
}

// place grants a request if there is room for it.
func (o *round) place(w *queuedRequest, late bool) (Decision, bool) {
	if o.full || late && (o.fitsNowhere(w) || o.pool.heldBack(o.now, w)) {
		return Decision{}, false
	}
	// Once a short request waits, long prompts are not interleaved: they would take the capacity
	// that it waits for.
	pl, ok := o.pool.place(o.now, w, !o.shortWaits)
	if !ok {
		o.noteUnplaced(w, late)
		o.shortWaits = o.shortWaits || !w.long
		o.full = o.pool.full(o.now)
		return Decision{}, false
	}
	if late && !w.long {
		o.pool.headroom.notePlaced()
		o.pool.noteRecoveryPlaced(w)
	}
	pl = o.spreadFree(w, pl)
	o.free--
	return o.pool.admit(o.now, w, pl), true
}

// noteUnplaced records a late short request that could not be placed on any upstream.
func (o *round) noteUnplaced(w *queuedRequest, late bool) {
	if late && !w.long && w.prefillTime > 0 && len(w.Avoid) == 0 && !w.Suspect && !o.pool.hasBackOff(o.now, w.Gate) {
		o.unplaced = append(o.unplaced, w)
	}
}

// fitsNowhere reports whether a late short request needs at least as much prefill and memory as one
// that could not be placed in this round, and tolerates no longer pauses. Engines only fill up
// during a round, and the time of the first byte no longer matters for late requests.
func (o *round) fitsNowhere(w *queuedRequest) bool {
	return !w.long && w.prefillTime > 0 && slices.ContainsFunc(o.unplaced, func(f *queuedRequest) bool {
		return w.Prompt >= f.Prompt && w.Prompt+w.Output >= f.Prompt+f.Output && w.maxPause() <= f.maxPause()
	})
}

// maxPause returns the longest pause that the stream tolerates.
func (w *queuedRequest) maxPause() clock.Milli {
	if w.Gap <= 0 {
		return math.MaxInt64
	}
	return w.Gap
}

// full reports whether no upstream has a free slot, so that no other queued request needs to be
// tried.
func (p *Pool) full(now clock.Milli) bool {
	for _, r := range p.packOrder {
		if !r.draining() && r.health.available(now) && r.streams+r.external < max(r.Slots, 1) && r.declared.limit.Allows(now) {
			return false
		}
	}
	return true
}

// yieldMargin is the time in milliseconds, beyond twice its prefill, that a late prompt must have
// left to yield to other prompts. A group of engines becomes free within it.
const yieldMargin = 1500.0

// nearDeadline reports whether a late request has so little time left that it must no longer yield
// to others.
func (w *queuedRequest) nearDeadline(now clock.Milli) bool {
	return float64(w.latestFirst-now) < 2*w.groupPrefillTime+yieldMargin
}

// admit grants a request that can be placed, unless it is a repeat beyond the retry budget: a
// failing service must not receive doubled load when it has least capacity.
func (p *Pool) admit(now clock.Milli, w *queuedRequest, pl plan) Decision {
	a := &w.Ask
	d := Decision{Action: Granted, Request: a.ID, Gate: a.Gate, Reason: pl.reason}
	switch {
	case a.Counted:
	case !a.Again:
		p.budget.Succeed(now)
	case !p.budget.Retry(now):
		d.Action, d.Fault, d.Reason = Refused, fault.Unavailable, "budget"
		return d
	}
	d.Grant = p.grant(now, a, pl)
	p.chargeShare(now, a)
	if s, known := pl.leader.declared.limit.Statement(); known {
		limit := s.Message(now, pl.leader.ID)
		d.Limit = &limit
	}
	if w.long {
		p.largeReserve.noteGranted(w.ID, w.prefillTime)
	}
	return d
}

// refuse refuses a queued request that can no longer be served, and reports whether it refused the
// request.
func (p *Pool) refuse(now clock.Milli, w *queuedRequest) (Decision, bool) {
	d := Decision{Action: Refused, Request: w.ID, Gate: w.Gate}
	if float64(w.latestFirst-now) < w.groupPrefillTime+float64(minServiceTime) {
		d.Fault, d.Reason = fault.Overloaded, "deadline"
		return d, true
	}
	avail := p.availability(now, &w.Ask)
	switch {
	case avail.open:
		return d, false
	case avail.backOff:
		d.Fault, d.Reason, d.Retry = fault.Overloaded, "rest", max(avail.anyGateAt-now, firstExclusion)
		return d, float64(w.latestFirst-avail.thisGateAt) < w.groupPrefillTime+float64(minServiceTime)
	case avail.allLeaving:
		d.Fault, d.Reason, d.Retry = fault.Unavailable, "leaving", firstExclusion
		return d, true
	default:
		d.Fault, d.Reason, d.Retry = fault.Unavailable, "none", firstExclusion
		return d, now-w.queuedAt > firstExclusion
	}
}

// availability describes when upstreams may accept a request.
type availability struct {
	// open is set if an upstream may accept the request now, or has no free slot but no other
	// obstacle.
	open bool
	// backOff is set if some upstreams asked for a back-off. thisGateAt is when the first upstream
	// may accept this request, and anyGateAt when the first may accept requests of some gate: a
	// client that retries probably reaches another gate.
	backOff               bool
	thisGateAt, anyGateAt clock.Milli
	// allLeaving is set if there are upstreams and all of them declared that they are leaving.
	allLeaving bool
}

// availability computes when some upstream may accept the request.
func (p *Pool) availability(now clock.Milli, a *Ask) availability {
	o := availability{thisGateAt: math.MaxInt64, anyGateAt: math.MaxInt64, allLeaving: len(p.packOrder) > 0}
	for _, r := range p.packOrder {
		o.allLeaving = o.allLeaving && r.declared.leaving.Named
		if r.draining() || slices.Contains(a.Avoid, r.ID) {
			continue
		}
		at := max(r.health.excludedUntil, r.declared.backOffUntil(a.Gate))
		if at <= now {
			return availability{open: true}
		}
		o.backOff = o.backOff || r.declared.shedding || now < r.declared.backOffUntil(a.Gate)
		o.thisGateAt, o.anyGateAt = min(o.thisGateAt, at), min(o.anyGateAt, r.health.excludedUntil)
	}
	return o
}

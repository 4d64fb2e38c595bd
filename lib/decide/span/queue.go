package span

import (
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// waiting is a queued request.
type waiting struct {
	Ask
	since, heard clock.Milli
	// cost is the reading of its prompt by one engine, and least by a whole
	// group, in milliseconds.
	cost, least float64
	// heavy is set if the prompt is too long to be read among short streams.
	heavy bool
	// last is the latest instant at which the first byte is of use: the caller is still there, and
	// after a long prompt what is left of its time will probably do for writing the answer.
	// Short ones are tried all the same: it costs little, and the answer may be short.
	last clock.Milli
}

// weigh works out what follows from the prompt's length.
func (p *Pool) weigh(w *waiting) {
	w.cost, w.least, w.heavy, w.last = 0, 0, false, w.Deadline
	if w.Patience > 0 {
		w.last = min(w.last, w.Patience)
	}
	if p.engine == nil || w.Prompt == 0 {
		return
	}
	w.cost = p.engine.PrefillTime(w.Prompt)
	w.least = w.cost
	if w.heavy = w.cost > p.lightest(&w.Ask); w.heavy {
		w.least = w.cost / float64(p.group())
		w.last = min(w.last, w.Deadline-clock.Milli(p.engine.DecodeTime(w.Likely, w.Prompt)))
	}
}

// shortContext is the context in tokens of a short stream, for the time of a pass that writes many: a prompt of
// 5,000 tokens and half of its answer.
const shortContext = 5600

// lightest is the longest read in milliseconds that is placed among short streams: what a pass that writes a packed
// engine's streams leaves of the request's own pause, if that is short. Beside pauses of 200 ms these are some
// 120 ms, beside 250 ms some 165.
// Short requests that fit into the pauses of their kind would else be spread like long ones, over engines that long ones need.
func (p *Pool) lightest(a *Ask) float64 {
	if a.Gap <= 0 || a.Gap > lightPause {
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
	// before is the reading in milliseconds that engines have to do before a
	// long prompt in time, ahead that of late ones before a late one.
	before, ahead float64
	// stuck counts late short requests that found no place.
	stuck int
	// waits is set once a long prompt in time waits for engines, short once a short request does.
	waits, short bool
	// full is set once no upstream has a slot left.
	full bool
	// unreported is set while all engines are in doubt: nothing is known of what they can take.
	unreported bool
	// unplaced holds late short requests that found no place; none that needs as much does either.
	unplaced []*waiting
	// supply is what upstreams take where all of them name limits; behind counts the requests that wait for it.
	supply supply
	behind int
}

// Tick places and refuses what is queued.
func (p *Pool) Tick(now clock.Milli) []Decision {
	p.expire(now)
	p.observe(now)
	if len(p.queue) == 0 {
		return nil
	}
	var ds []Decision
	p.large.choose(now, p.queue, p.group())
	o := round{pool: p, now: now, before: p.debts(now), unreported: p.unreported(), supply: p.supplied(now)}
	for _, w := range p.ordered(now) {
		if d, decided := o.decide(w); decided {
			delete(p.queue, w.ID)
			if w.heavy {
				p.large.ends(w, d.Action == Refused)
			}
			ds = append(ds, d)
		}
	}
	return ds
}

// unreported reports whether all engines are in doubt, as for a new owner until they have reported, or the owner
// knows of nobody and uses few of them.
// The rate at which it places late requests says nothing yet.
func (p *Pool) unreported() bool {
	if p.isolation.on {
		return true
	}
	for _, r := range p.order {
		if !r.leaves() && !(r.doubtful && r.engine != nil) {
			return false
		}
	}
	return true
}

// decide places one request, refuses it, or leaves it in the queue. Requests come in
// the order of placing. What finds its place now is never refused, whatever the last seconds
// were like: an engine that is free and a caller turned away help nobody.
func (o *round) decide(w *waiting) (Decision, bool) {
	late := w.late(o.now)
	yields := w.heavy && late && o.waits && !w.pressing(o.now)
	if !yields {
		if d, placed := o.place(w, late); placed {
			o.count(w, late)
			return d, true
		}
	}
	if w.heavy {
		if d, hopeless := o.hopeless(w, late); hopeless && !o.unreported {
			return d, true
		}
		o.count(w, late)
	}
	if yields {
		return Decision{}, false
	}
	if late && !w.heavy && !o.unreported {
		if d, stuck := o.pool.stuck(o.now, w, o.stuck); stuck {
			return d, true
		}
		o.stuck++
	}
	o.waits = o.waits || w.heavy && !late
	if d, refused := o.pool.refuse(o.now, w); refused {
		return d, true
	}
	return o.outpaced(w)
}

// hopeless refuses a long prompt that is late, or will be, and will not be served by its
// deadline.
func (o *round) hopeless(w *waiting, late bool) (Decision, bool) {
	if w.ID == o.pool.large.next || !late && !o.pool.willBeLate(o.now, w, o.before) {
		return Decision{}, false
	}
	return o.pool.hopeless(o.now, w, o.ahead)
}

// count adds the reading of a long prompt to what those behind it wait for.
func (o *round) count(w *waiting, late bool) {
	switch {
	case !w.heavy:
	case late:
		o.ahead += w.cost
	default:
		o.before += w.cost
	}
}

// place grants a request if it finds its place.
func (o *round) place(w *waiting, late bool) (Decision, bool) {
	if o.full || late && o.outweighs(w) {
		return Decision{}, false
	}
	// What short work waits for is not given to long prompts in between.
	pl, ok := o.pool.place(o.now, w, !o.short)
	if !ok {
		o.noteFailed(w, late)
		o.short = o.short || !w.heavy
		o.full = o.pool.full(o.now)
		return Decision{}, false
	}
	if late && !w.heavy {
		o.pool.headroom.placed()
	}
	return o.pool.admit(o.now, w, pl), true
}

// noteFailed remembers a late short request that found no place anywhere.
func (o *round) noteFailed(w *waiting, late bool) {
	if late && !w.heavy && w.cost > 0 && len(w.Avoid) == 0 && !w.Suspect && !o.pool.restsFor(o.now, w.Gate) {
		o.unplaced = append(o.unplaced, w)
	}
}

// outweighs reports whether a late short request needs at least as much as one that found no place in this round. Engines only
// fill up during a round, and for a late one the time of its first byte does not matter.
func (o *round) outweighs(w *waiting) bool {
	return !w.heavy && w.cost > 0 && slices.ContainsFunc(o.unplaced, func(f *waiting) bool {
		return w.Prompt >= f.Prompt && w.Prompt+w.Output >= f.Prompt+f.Output && w.gap() <= f.gap()
	})
}

// gap is the longest pause that the answer bears.
func (w *waiting) gap() clock.Milli {
	if w.Gap <= 0 {
		return math.MaxInt64
	}
	return w.Gap
}

// full reports whether no upstream has a slot left, so that nothing else in the queue
// needs to be tried.
func (p *Pool) full(now clock.Milli) bool {
	for _, r := range p.order {
		if !r.leaves() && r.health.open(now) && r.streams+r.foreign < max(r.Slots, 1) && r.declared.limit.Allows(now) {
			return false
		}
	}
	return true
}

// pressingLeft is what must be left of a late prompt's time, beyond twice its reading, for it to make way still: a group of engines comes
// free within it.
const pressingLeft = 1500.0

// pressing reports whether a late request has so little time left that it must not
// make way for others any more.
func (w *waiting) pressing(now clock.Milli) bool {
	return float64(w.last-now) < 2*w.least+pressingLeft
}

// admit grants what has found its place, unless it is a repeat beyond the budget: a
// service in trouble must not get its load twice when it has least to spare.
func (p *Pool) admit(now clock.Milli, w *waiting, pl plan) Decision {
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
	if s, known := pl.leader.declared.limit.Statement(); known {
		limit := s.Message(now, pl.leader.ID)
		d.Limit = &limit
	}
	if w.heavy {
		p.large.grants(w.ID, w.cost)
	}
	return d
}

// refuse reports whether a queued request can no longer be served.
func (p *Pool) refuse(now clock.Milli, w *waiting) (Decision, bool) {
	d := Decision{Action: Refused, Request: w.ID, Gate: w.Gate}
	if float64(w.last-now) < w.least+float64(leastWork) {
		d.Fault, d.Reason = fault.Overloaded, "deadline"
		return d, true
	}
	o := p.opening(now, &w.Ask)
	switch {
	case o.open:
		return d, false
	case o.rests:
		d.Fault, d.Reason, d.Retry = fault.Overloaded, "rest", max(o.others-now, firstShut)
		return d, float64(w.last-o.at) < w.least+float64(leastWork)
	case o.leave:
		d.Fault, d.Reason, d.Retry = fault.Unavailable, "leaving", firstShut
		return d, true
	default:
		d.Fault, d.Reason, d.Retry = fault.Unavailable, "none", firstShut
		return d, now-w.since > firstShut
	}
}

// opening tells when upstreams may take a request.
type opening struct {
	// open is set if one may now, or is only full.
	open bool
	// rests is set if some want a rest. Then at is when the first one may get this request, and others when one may get requests of some VM:
	// a caller that comes back probably reaches another one.
	rests      bool
	at, others clock.Milli
	// leave is set if there are some and all of them said that they leave.
	leave bool
}

// opening finds out when some upstream may take the request.
func (p *Pool) opening(now clock.Milli, a *Ask) opening {
	o := opening{at: math.MaxInt64, others: math.MaxInt64, leave: len(p.order) > 0}
	for _, r := range p.order {
		o.leave = o.leave && r.declared.leaving.Named
		if r.leaves() || slices.Contains(a.Avoid, r.ID) {
			continue
		}
		at := max(r.health.until, r.declared.rest(a.Gate))
		if at <= now {
			return opening{open: true}
		}
		o.rests = o.rests || r.declared.shed || now < r.declared.rest(a.Gate)
		o.at, o.others = min(o.at, at), min(o.others, r.health.until)
	}
	return o
}

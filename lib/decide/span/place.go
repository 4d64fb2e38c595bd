package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// lightPause is the longest pause in milliseconds that makes a stream a short
// one: passes beside it must stay far below those that long reads make.
const lightPause clock.Milli = 300

// settleTime is what passes between a grant and the start of the read: the way to
// the gate and to the engine, and half a pass.
const settleTime = 30.0

// firstPass is the usual time of the pass whose end brings the first event.
const firstPass = 60.0

// plan is a way to place one request.
type plan struct {
	leader  *row
	helpers []*row
	// part is the reading in milliseconds of each engine.
	part float64
	// first is the expected span to the first byte, in milliseconds.
	first float64
	// reason names the rule that chose.
	reason string
}

// place finds upstreams for a request, or none for now.
func (p *Pool) place(now clock.Milli, w *waiting) (plan, bool) {
	switch {
	case w.cost == 0:
		return p.placePlain(now, &w.Ask)
	case w.heavy:
		return p.placeHeavy(now, w)
	default:
		return p.placeLight(now, &w.Ask, w.cost)
	}
}

// placePlain takes the upstream with the fewest requests for its slots. Its
// queue is not used: what waits in the pool can still go elsewhere.
func (p *Pool) placePlain(now clock.Milli, a *Ask) (plan, bool) {
	var best *row
	least := math.Inf(1)
	for _, r := range p.order {
		n := len(r.grants) + r.foreign
		if !r.usable(now, a) || n >= max(r.Slots, 1) {
			continue
		}
		if load := float64(n) / float64(max(r.Slots, 1)); load < least {
			best, least = r, load
		}
	}
	return plan{leader: best, reason: "fewest"}, best != nil
}

// placeLight packs short work on the first engines of a fixed order, so that the
// others stay empty for long reads. An engine takes a request if the pass that
// reads it stays within the shortest pause borne there.
func (p *Pool) placeLight(now clock.Milli, a *Ask, cost float64) (plan, bool) {
	for _, most := range []int{p.rules.Packed, math.MaxInt} {
		for _, r := range p.order {
			if first, ok := p.fitsLight(now, a, r, cost, most); ok {
				return plan{leader: r, part: cost, first: first, reason: "packed"}, true
			}
		}
	}
	return plan{}, false
}

// fitsLight tells whether a short request fits on r and when its first byte comes.
func (p *Pool) fitsLight(now clock.Milli, a *Ask, r *row, cost float64, most int) (float64, bool) {
	if !r.usable(now, a) {
		return 0, false
	}
	n := r.streams + r.foreign
	if n >= min(most, r.engine.Slots) || r.free() < a.Prompt+a.Output {
		return 0, false
	}
	pass := r.engine.Pass(n+1, r.context+a.Prompt)
	read := r.debt(now) + cost
	if !p.bears(r, a, read+pass) {
		return 0, false
	}
	first := settleTime + read + 1.5*pass
	// One that is late already takes any place: only its answer counts now.
	if late := float64(a.Aim-now) < settleTime+cost+pass; !late && first > float64(a.Aim-now) {
		return 0, false
	}
	return first, true
}

// bears tells whether a pass of this many milliseconds stays within what the
// streams on r, and the request itself, bear as a pause.
func (p *Pool) bears(r *row, a *Ask, pass float64) bool {
	pause := r.pause
	if a.Gap > 0 && (pause == 0 || a.Gap < pause) {
		pause = a.Gap
	}
	return pause == 0 || pass <= p.rules.Safety*float64(pause)
}

// placeHeavy spreads a long read over engines that are free of short streams and
// of other reads, as many as there are up to one for each Part. With fewer than
// the aim needs it waits; once the aim is lost, with fewer than its deadline needs.
//
// What goes wrong without the second bound: a prompt of a million tokens that missed its aim is
// given to the one engine that is free, which reads for 50 s, while its caller leaves
// after 12. Nobody gets an answer, and the engine is lost to others all the while.
func (p *Pool) placeHeavy(now clock.Milli, w *waiting) (plan, bool) {
	a, cost := &w.Ask, w.cost
	by := a.Aim
	if w.late(now) {
		by = w.last
	}
	left := float64(by-now) - settleTime
	if left <= 0 {
		return plan{}, false
	}
	need := int(math.Ceil(cost / left))
	free := p.freeForReads(now, a)
	for n := min(int(math.Ceil(cost/p.rules.Part)), p.rules.Group, len(free)); n >= need; n-- {
		if pl, ok := p.gather(a, cost/float64(n), free, n); ok {
			return pl, true
		}
	}
	return plan{}, false
}

// group is the most engines that can read one prompt.
func (p *Pool) group() int { return max(1, min(p.rules.Group, len(p.order))) }

// freeForReads lists engines that may read a long prompt, from the end of the fixed order.
func (p *Pool) freeForReads(now clock.Milli, a *Ask) []*row {
	var free []*row
	for i := len(p.order) - 1; i >= 0; i-- {
		r := p.order[i]
		if r.usable(now, a) && r.reading == 0 && !r.light(lightPause) {
			free = append(free, r)
		}
	}
	return free
}

// gather chooses a leader and helpers for n parts out of free engines. Engines
// whose streams do not bear the pass that reads a part are left out. The leader
// is the one that writes most long streams already, so that the others stay empty.
func (p *Pool) gather(a *Ask, part float64, free []*row, n int) (plan, bool) {
	var leader *row
	most := -1
	fit := make([]*row, 0, len(free))
	for _, r := range free {
		if r.streams > 0 && !p.bears(r, a, part+r.engine.Pass(r.streams+1, r.context+a.Prompt)) {
			continue
		}
		fit = append(fit, r)
		if r.streams < r.engine.Slots && r.streams > most && r.free() >= min(a.Prompt+a.Output, r.usual()) {
			leader, most = r, r.streams
		}
	}
	if leader == nil || len(fit) < n {
		return plan{}, false
	}
	helpers := slices.DeleteFunc(fit, func(r *row) bool { return r == leader })
	slices.SortStableFunc(helpers, func(x, y *row) int { return cmp.Compare(len(x.grants), len(y.grants)) })
	helpers = helpers[:n-1]
	room := leader.free()
	for _, h := range helpers {
		room += h.free()
	}
	if room < a.Prompt+a.Output {
		return plan{}, false
	}
	return plan{leader: leader, helpers: helpers, part: part, first: settleTime + part + firstPass, reason: "spread"}, true
}

// grant writes a plan into the books.
func (p *Pool) grant(now clock.Milli, a *Ask, pl plan) Grant {
	g := Grant{
		Request: a.ID, Gate: a.Gate, Prompt: a.Prompt, Output: a.Output, Gap: a.Gap, Stream: a.Stream,
		Leader: Place{Upstream: pl.leader.ID, Address: pl.leader.Address, Read: pl.part},
		First:  clock.Milli(pl.first),
	}
	over := decide.Tokens(0)
	if pl.leader.engine != nil && a.Prompt > 0 {
		over = a.Prompt + a.Output - pl.leader.free()
	}
	for _, h := range pl.helpers {
		keep := min(max(over, 0), h.free())
		over -= keep
		g.Helpers = append(g.Helpers, Place{Upstream: h.ID, Address: h.Address, Read: pl.part, Reserve: keep})
	}
	p.adopt(now, Live{Grant: g}, *a)
	return g
}

// engineOf returns the engine data of the pool's service.
func engineOf(s *route.Service) *route.Engine {
	if s == nil {
		return nil
	}
	return s.Engine
}

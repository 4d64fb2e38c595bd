package span

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

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

// interleavedRead is the reading in milliseconds of one engine beside short streams, while enough engines are
// there: about as long as the pass that writes them, so that their pauses double at the most.
const interleavedRead = 60.0

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

// place finds upstreams for a request, or none for now. A long prompt is read beside short
// streams only if interleave is set.
func (p *Pool) place(now clock.Milli, w *waiting, interleave bool) (plan, bool) {
	switch {
	case w.cost == 0:
		return p.placePlain(now, &w.Ask)
	case p.isolation.on:
		return p.placeIsolated(now, w)
	case w.heavy:
		return p.placeHeavy(now, w, interleave)
	default:
		return p.placeLight(now, &w.Ask, w.cost)
	}
}

// placePlain takes the upstream with the fewest requests for its slots. Its
// queue is not used: what waits in the pool can still go elsewhere. Among equals the request's
// id chooses, or owners that do not know of each other would all choose the first.
func (p *Pool) placePlain(now clock.Milli, a *Ask) (plan, bool) {
	for _, r := range p.order {
		if r.declared.limit.ProbeDue(now) && r.usable(now, a) && len(r.grants)+r.foreign < max(r.Slots, 1) {
			return plan{leader: r, reason: "renewal"}, true
		}
	}
	var best *row
	least := math.Inf(1)
	first := int(xxhash.Sum64String(string(a.ID)) % uint64(max(len(p.order), 1)))
	for i := range p.order {
		r := p.order[(first+i)%len(p.order)]
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
	for _, r := range p.order {
		if !r.declared.limit.ProbeDue(now) {
			continue
		}
		if first, ok := p.fitsLight(now, a, r, cost, math.MaxInt); ok {
			return plan{leader: r, part: cost, first: first, reason: "renewal"}, true
		}
	}
	for _, try := range []struct {
		most int
		slow bool
	}{{p.rules.PackedStreams, false}, {math.MaxInt, false}, {math.MaxInt, true}} {
		for _, r := range p.order {
			if r.slow() != try.slow {
				continue
			}
			if first, ok := p.fitsLight(now, a, r, cost, try.most); ok {
				return plan{leader: r, part: cost, first: first, reason: "packed"}, true
			}
		}
	}
	return plan{}, false
}

// fitsLight reports whether a short request fits on r and when its first byte comes.
func (p *Pool) fitsLight(now clock.Milli, a *Ask, r *row, cost float64, most int) (float64, bool) {
	if !r.usable(now, a) {
		return 0, false
	}
	n := r.streams + r.foreign
	if n >= min(most, r.engine.Slots) || r.free() < a.Prompt+a.Output {
		return 0, false
	}
	pass := r.pass(n+1, r.context+a.Prompt)
	read := r.debt(now) + cost*max(r.pace, 1)
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

// bears reports whether a pass of this many milliseconds stays within what the
// streams on r, and the request itself, bear as a pause.
func (p *Pool) bears(r *row, a *Ask, pass float64) bool {
	pause := r.pause
	if a.Gap > 0 && (pause == 0 || a.Gap < pause) {
		pause = a.Gap
	}
	return pause == 0 || pass <= p.rules.PauseFraction*float64(pause)
}

// placeHeavy spreads a long read over engines that are free of short streams and
// of other reads, as many as there are up to one for each Part. With fewer than
// the aim needs it waits; once the aim is lost, with fewer than its deadline needs.
// One engine that is free would read a prompt of a million tokens for longer than its caller waits.
func (p *Pool) placeHeavy(now clock.Milli, w *waiting, interleave bool) (plan, bool) {
	a, cost := &w.Ask, w.cost
	need := w.needs(now)
	if need > p.group() {
		return plan{}, false
	}
	free := p.large.leaves(w, p.freeForReads(now, a))
	for n := min(int(math.Ceil(cost/p.rules.PartRead)), p.rules.MaxGroup, len(free)); n >= need; n-- {
		if pl, ok := p.gather(now, a, cost/float64(n), free, n); ok {
			return pl, true
		}
	}
	if !interleave {
		return plan{}, false
	}
	return p.placeInterleaved(now, w, need)
}

// placeInterleaved reads a long prompt in small parts beside short streams, where too few engines are
// free of them: each part fits into what the pauses of the streams there leave of a pass.
//
// The load it is made for: a burst of short work writes on all engines. No pause bears a read of
// 200 ms, so without this long prompts wait until the burst is over and miss their aims, though
// the engines could read for more than half of the time.
func (p *Pool) placeInterleaved(now clock.Milli, w *waiting, need int) (plan, bool) {
	rows, slacks := p.slacks(now, &w.Ask)
	for n := max(need, int(math.Ceil(w.cost/interleavedRead))); n <= min(p.group(), len(rows)); n++ {
		part := w.cost / float64(n)
		if slacks[n-1] < part {
			continue
		}
		fit, _ := slices.BinarySearchFunc(slacks, part, func(slack, part float64) int { return cmp.Compare(part, slack) })
		fit = max(fit, n)
		if pl, ok := p.gather(now, &w.Ask, part, rows[:fit], n); ok {
			pl.first += pl.leader.pass(pl.leader.streams+1, pl.leader.context+w.Prompt)
			pl.reason = "interleaved"
			return pl, true
		}
	}
	return plan{}, false
}

// slacks lists engines with how many milliseconds each may read before a pause there grows too
// long, most first.
func (p *Pool) slacks(now clock.Milli, a *Ask) ([]*row, []float64) {
	type room struct {
		row   *row
		slack float64
	}
	rooms := make([]room, 0, len(p.order))
	avoid := p.avoidsSlow()
	for _, r := range p.order {
		if !r.usable(now, a) || now < r.health.helps || r.foreign > 0 || r.reading > 0 && !r.light() || avoid && r.slow() {
			continue
		}
		slack := math.Inf(1)
		if r.pause > 0 {
			slack = p.rules.InterleavedFraction*float64(r.pause) - r.pass(r.streams, r.context) - r.debt(now)
		}
		if slack > 0 {
			rooms = append(rooms, room{r, slack})
		}
	}
	slices.SortFunc(rooms, func(x, y room) int {
		return cmp.Or(cmp.Compare(y.slack, x.slack), cmp.Compare(y.row.ID, x.row.ID))
	})
	rows, slacks := make([]*row, len(rooms)), make([]float64, len(rooms))
	for i, r := range rooms {
		rows[i], slacks[i] = r.row, r.slack
	}
	return rows, slacks
}

// group is the most engines that can read one prompt.
func (p *Pool) group() int { return max(1, min(p.rules.MaxGroup, len(p.order))) }

// freeForReads lists engines that may read a long prompt, from the end of the fixed order.
func (p *Pool) freeForReads(now clock.Milli, a *Ask) []*row {
	var free []*row
	avoid := p.avoidsSlow()
	for i := len(p.order) - 1; i >= 0; i-- {
		r := p.order[i]
		if r.usable(now, a) && now >= r.health.helps && r.reading == 0 && !r.light() && !(avoid && r.slow()) {
			free = append(free, r)
		}
	}
	return free
}

// gather chooses a leader and helpers for n parts out of free engines. Engines
// whose streams do not bear the pass that reads a part are left out. The leader
// is the one that writes most long streams already, so that the others stay empty;
// among short streams the one that has fewest.
func (p *Pool) gather(now clock.Milli, a *Ask, part float64, free []*row, n int) (plan, bool) {
	var leader *row
	most := math.MinInt
	fit := make([]*row, 0, len(free))
	for _, r := range free {
		leads := p.bears(r, a, r.debt(now)+part+r.pass(r.streams+1, r.context+a.Prompt))
		if r.streams > 0 && !leads && !r.light() {
			continue
		}
		fit = append(fit, r)
		liked := r.streams
		if r.light() {
			liked = -1 - r.streams
		}
		if r.declared.limit.ProbeDue(now) {
			liked = math.MaxInt
		}
		if (r.streams == 0 || leads) && r.streams < r.engine.Slots && liked > most && r.free() >= min(a.Prompt+a.Output, r.usual()) {
			leader, most = r, liked
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
		room += h.spare(now)
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
		Leader: Placement{Upstream: pl.leader.ID, Born: pl.leader.Born, Address: pl.leader.Address, Read: pl.part},
		First:  clock.Milli(pl.first),
	}
	over := decide.Tokens(0)
	if pl.leader.engine != nil && a.Prompt > 0 {
		over = a.Prompt + a.Output - pl.leader.free()
	}
	for _, h := range pl.helpers {
		keep := min(max(over, 0), h.spare(now))
		over -= keep
		g.Helpers = append(g.Helpers, Placement{Upstream: h.ID, Born: h.Born, Address: h.Address, Read: pl.part, Reserve: keep})
	}
	for _, r := range p.adopt(now, LiveGrant{Grant: g}, *a).rows {
		r.begins(now, a.ID)
	}
	return g
}

// engineOf returns the engine data of the pool's service.
func engineOf(s *route.Service) *route.Engine {
	if s == nil {
		return nil
	}
	return s.Engine
}

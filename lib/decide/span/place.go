package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// maxShortPause is the longest tolerated pause in milliseconds that makes a stream a short one. The
// passes of an engine with such streams must stay far shorter than passes with long prefills.
const maxShortPause clock.Milli = 300

// startDelay is the time in milliseconds from a grant to the start of the prefill: the messages to
// the gate and to the engine, and half a pass.
const startDelay = 30.0

// interleavedPrefill is the prefill time in milliseconds of one engine beside short streams while
// enough engines are available. It is about the length of the pass that decodes these streams, so
// their pauses at most double.
const interleavedPrefill = 60.0

// firstPassTime is the usual time in milliseconds of the pass that produces the first event.
const firstPassTime = 60.0

// plan is one possible placement of a request.
type plan struct {
	leader  *upstreamState
	helpers []*upstreamState
	// partPrefill is the prefill time in milliseconds on each engine.
	partPrefill float64
	// first is the expected time to the first byte, in milliseconds.
	first float64
	// reason names the rule that chose the plan.
	reason string
}

// place chooses upstreams for a request; it returns false if there is no room now. A long prompt is
// interleaved with short streams only if interleave is set.
func (p *Pool) place(now clock.Milli, w *queuedRequest, interleave bool) (plan, bool) {
	switch {
	case w.prefillTime == 0:
		return p.placePlain(now, &w.Ask)
	case p.spread.on && !w.long && !w.Suspect:
		return p.placeBalanced(now, w)
	case p.isolation.on:
		return p.placeIsolated(now, w)
	case w.long:
		return p.placeLong(now, w, interleave)
	default:
		return p.placeShort(now, &w.Ask, w.prefillTime)
	}
}

// placePlain chooses an upstream of a plain service. Requests are never queued at an upstream: while
// they wait in the pool they can still go to another one.
func (p *Pool) placePlain(now clock.Milli, a *Ask) (plan, bool) {
	for _, r := range p.packOrder {
		if r.declared.limit.ProbeDue(now) && r.plainObstacle(now, a) == none {
			return plan{leader: r, reason: "renewal"}, true
		}
	}
	return p.choosePlain(now, a)
}

// placeShort packs short requests on the first engines of a fixed order, so that the others stay
// empty for long prefills. An engine accepts a request if the pass that includes its prefill stays
// within the shortest pause tolerated by the streams there.
func (p *Pool) placeShort(now clock.Milli, a *Ask, prefillTime float64) (plan, bool) {
	if a.Suspect {
		return p.placeSuspect(now, a, prefillTime)
	}
	if pl, ok := p.placeRenewal(now, a, prefillTime); ok {
		return pl, true
	}
	if pl, ok := p.placeTrial(now, a, prefillTime); ok {
		return pl, true
	}
	for _, attempt := range p.attempts(a) {
		for _, r := range attempt.ups {
			if r.avoided(now) != attempt.avoided {
				continue
			}
			if first, ok := p.fitsShort(now, a, r, prefillTime, attempt.maxStreams); ok {
				return plan{leader: r, partPrefill: prefillTime, first: first, reason: "packed"}, true
			}
		}
	}
	return plan{}, false
}

// placeRenewal places a short request on an upstream whose limit has to be asked after.
func (p *Pool) placeRenewal(now clock.Milli, a *Ask, prefillTime float64) (plan, bool) {
	for _, r := range p.packOrder {
		if !r.declared.limit.ProbeDue(now) {
			continue
		}
		if first, ok := p.fitsShort(now, a, r, prefillTime, math.MaxInt); ok {
			return plan{leader: r, partPrefill: prefillTime, first: first, reason: "renewal"}, true
		}
	}
	return plan{}, false
}

// fitsShort reports whether a short request fits on r, and the expected time in milliseconds to its
// first byte.
func (p *Pool) fitsShort(now clock.Milli, a *Ask, r *upstreamState, prefillTime float64, maxStreams int) (float64, bool) {
	// Under overload most engines are full, and this check costs less than those before it in tryShort.
	if r.engine != nil && r.streams+r.external >= min(maxStreams, r.engine.Slots) {
		return 0, false
	}
	first, o := p.tryShort(now, a, r, prefillTime, maxStreams)
	return first, o == none
}

// tryShort is fitsShort with the reason why the request does not fit.
func (p *Pool) tryShort(now clock.Milli, a *Ask, r *upstreamState, prefillTime float64, maxStreams int) (float64, Obstacle) {
	slots, slowStart := p.slotLimit(now, r)
	if o := r.obstacleIf(now, a, r.unverified && !slowStart); o != none {
		return 0, o
	}
	n := r.streams + r.external
	if n >= min(maxStreams, slots) {
		return 0, ObstacleFull
	}
	if r.freeMemory() < a.Prompt+a.Output {
		return 0, ObstacleMemory
	}
	pass := r.pass(n+1, r.context+a.Prompt)
	prefill := r.backlog(now) + prefillTime*max(r.pace, 1)
	if !p.sustains(r, a, prefill+pass) {
		return 0, ObstacleFull
	}
	first := startDelay + prefill + 1.5*pass
	// A request that is late already accepts any engine: only its answer counts.
	if late := float64(a.Aim-now) < startDelay+prefillTime+pass; !late && first > float64(a.Aim-now) {
		return 0, ObstacleFull
	}
	return first, none
}

// sustains reports whether a pass of this many milliseconds stays within the pauses that the
// request and the streams on r tolerate.
func (p *Pool) sustains(r *upstreamState, a *Ask, pass float64) bool {
	pause := r.pause
	if a.Gap > 0 && (pause == 0 || a.Gap < pause) {
		pause = a.Gap
	}
	return pause == 0 || pass <= p.rules.PauseFraction*float64(pause)
}

// placeLong spreads a long prefill over engines that have no short streams and no other prefill: as
// many as are free, up to one for each Rules.PartRead of prefill time. The prompt waits while fewer
// engines are free than its aim requires, or than its deadline requires once the aim is missed. A
// single free engine would take longer over a prompt of a million tokens than its client waits.
func (p *Pool) placeLong(now clock.Milli, w *queuedRequest, interleave bool) (plan, bool) {
	a, prefillTime := &w.Ask, w.prefillTime
	need := w.enginesNeeded(now)
	if need > p.maxGroup() {
		return plan{}, false
	}
	free := p.largeReserve.availableTo(w, p.freeForPrefill(now, a))
	if pl, ok := p.placeLongHome(now, w, free, need); ok {
		return pl, true
	}
	for n := min(int(math.Ceil(prefillTime/p.rules.PartRead)), p.rules.MaxGroup, len(free)); n >= need; n-- {
		if pl, ok := p.chooseGroupNear(now, a, prefillTime/float64(n), free, n); ok {
			return pl, true
		}
	}
	if !interleave {
		return plan{}, false
	}
	return p.placeInterleaved(now, w, need)
}

// placeInterleaved computes a long prefill in small parts beside short streams if too few engines
// are free of such streams. Each part fits into the time that the pauses of the streams there leave
// after decoding.
//
// Under a burst of short requests all engines have short streams. No tolerated pause has room for a
// prefill of 200 ms, so without interleaving long prompts would wait until the burst is over and
// miss their aims, although the engines have more than half of their time left for prefill.
func (p *Pool) placeInterleaved(now clock.Milli, w *queuedRequest, need int) (plan, bool) {
	ups, slacks := p.engineSlacks(now, &w.Ask)
	for n := max(need, int(math.Ceil(w.prefillTime/interleavedPrefill))); n <= min(p.maxGroup(), len(ups)); n++ {
		part := w.prefillTime / float64(n)
		if slacks[n-1] < part {
			continue
		}
		fit, _ := slices.BinarySearchFunc(slacks, part, func(slack, part float64) int { return cmp.Compare(part, slack) })
		fit = max(fit, n)
		if pl, ok := p.chooseGroupNear(now, &w.Ask, part, ups[:fit], n); ok {
			pl.first += pl.leader.pass(pl.leader.streams+1, pl.leader.context+w.Prompt)
			pl.reason = "interleaved"
			return pl, true
		}
	}
	return plan{}, false
}

// engineSlacks lists engines, and the prefill time in milliseconds that each can add before a pause
// there becomes too long, in descending order.
func (p *Pool) engineSlacks(now clock.Milli, a *Ask) ([]*upstreamState, []float64) {
	type candidate struct {
		upstream *upstreamState
		slack    float64
	}
	candidates := make([]candidate, 0, len(p.packOrder))
	avoidSlow := p.avoidsSlow(now)
	for _, r := range p.packOrder {
		if !r.accepts(now, a) || now < r.health.helpsFrom || r.external > 0 || r.prefills > 0 && !r.hasShortStreams() || avoidSlow && r.avoided(now) {
			continue
		}
		slack := math.Inf(1)
		if r.pause > 0 {
			slack = p.rules.InterleavedFraction*float64(r.pause) - r.pass(r.streams, r.context) - r.backlog(now)
		}
		if slack > 0 {
			candidates = append(candidates, candidate{r, slack})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.slack, x.slack), cmp.Compare(y.upstream.ID, x.upstream.ID))
	})
	ups, slacks := make([]*upstreamState, len(candidates)), make([]float64, len(candidates))
	for i, r := range candidates {
		ups[i], slacks[i] = r.upstream, r.slack
	}
	return ups, slacks
}

// maxGroup returns the most engines over which one prefill can be spread.
func (p *Pool) maxGroup() int { return max(1, min(p.rules.MaxGroup, len(p.packOrder))) }

// freeForPrefill lists engines that can compute a long prefill, from the end of the order of packing.
func (p *Pool) freeForPrefill(now clock.Milli, a *Ask) []*upstreamState {
	var free []*upstreamState
	avoidSlow := p.avoidsSlow(now)
	for _, r := range p.prefillOrder(a) {
		if r.prefillObstacle(now, a, avoidSlow) == none {
			free = append(free, r)
		}
	}
	return free
}

// chooseGroup chooses a leader and n-1 helpers out of the free engines. It leaves out engines whose
// streams do not tolerate the pass that computes a part. The leader is the engine that already
// decodes most long streams, so that the others stay empty, or the one with fewest short streams if
// it has to be among these.
func (p *Pool) chooseGroup(now clock.Milli, a *Ask, part float64, free []*upstreamState, n int) (plan, bool) {
	var leader *upstreamState
	bestScore := math.MinInt
	fit := make([]*upstreamState, 0, len(free))
	for _, r := range free {
		canLead := p.sustains(r, a, r.backlog(now)+part+r.pass(r.streams+1, r.context+a.Prompt))
		if r.streams > 0 && !canLead && !r.hasShortStreams() {
			continue
		}
		fit = append(fit, r)
		score := r.streams
		if r.hasShortStreams() {
			score = -1 - r.streams
		}
		if r.declared.limit.ProbeDue(now) {
			score = math.MaxInt
		}
		if (r.streams == 0 || canLead) && r.streams < r.engine.Slots && score > bestScore && r.freeMemory() >= min(a.Prompt+a.Output, r.usableMemory()) {
			leader, bestScore = r, score
		}
	}
	if leader == nil || len(fit) < n {
		return plan{}, false
	}
	helpers := slices.DeleteFunc(fit, func(r *upstreamState) bool { return r == leader })
	slices.SortStableFunc(helpers, func(x, y *upstreamState) int { return cmp.Compare(len(x.grants), len(y.grants)) })
	helpers = helpers[:n-1]
	memory := leader.freeMemory()
	for _, h := range helpers {
		memory += h.reservableMemory(now)
	}
	if memory < a.Prompt+a.Output {
		return plan{}, false
	}
	return plan{leader: leader, helpers: helpers, partPrefill: part, first: startDelay + part + firstPassTime, reason: "spread"}, true
}

// grant records the grant for a plan and returns it.
func (p *Pool) grant(now clock.Milli, a *Ask, pl plan) Grant {
	g := Grant{
		Request: a.ID, Gate: a.Gate, Prompt: a.Prompt, Output: a.Output, Gap: a.Gap, Stream: a.Stream,
		Workspace: a.Workspace, Likely: a.Likely,
		Leader: Placement{Upstream: pl.leader.ID, Born: pl.leader.Born, Address: pl.leader.Address, Read: pl.partPrefill},
		First:  clock.Milli(pl.first),
	}
	excess := decide.Tokens(0)
	if pl.leader.engine != nil && a.Prompt > 0 {
		excess = a.Prompt + a.Output - pl.leader.freeMemory()
	}
	for _, h := range pl.helpers {
		reserve := min(max(excess, 0), h.reservableMemory(now))
		excess -= reserve
		g.Helpers = append(g.Helpers, Placement{Upstream: h.ID, Born: h.Born, Address: h.Address, Read: pl.partPrefill, Reserve: reserve})
	}
	expected := p.expectationOf(now, pl)
	added := p.addGrant(now, LiveGrant{Grant: g}, *a)
	for _, r := range added.upstreams {
		r.noteGranted(now, a.ID)
	}
	p.noteLocality(added, pl, expected)
	return g
}

// engineOf returns the engine data of a service; nil for a plain service.
func engineOf(s *route.Service) *route.Engine {
	if s == nil {
		return nil
	}
	return s.Engine
}

package span

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/route"
)

// This file places requests in the failure domain of their gate (package locality) where that is
// enabled and the query names the domain. A sole owner's placements are addressed: isolated owners,
// and those that spread short requests, choose their engines by other rules.

// localityState is what the pool keeps for placing by domain. It is empty unless that is enabled.
type localityState struct {
	on bool
	// orders are the orders of packing by home domain, computed when first needed; nil after the
	// upstreams have changed.
	orders map[route.Domain]*packing
	counts locality.Counts
	// ratios and changes are what was observed of paces and nobody has taken yet.
	ratios  []float64
	changes []PaceChange
	// full is the pace of nearly full engines, of all together, compared with their usual pace. An
	// engine that has not been nearly full yet is assumed to be like the others.
	full locality.Pace
}

// packing is the order of packing for the requests of one home domain.
type packing struct {
	// ups are all engines; the first home of them are in the home domain.
	ups  []*upstreamState
	home int
	// free are the same engines in the order in which long prompts use free ones: those of the home
	// domain first, then those that short requests of their own domain would use last.
	free []*upstreamState
}

// SetLocality sets whether requests are preferably placed in the failure domain of their gate.
func (p *Pool) SetLocality(on bool) {
	if p.locality.on != on {
		p.locality = localityState{on: on}
	}
}

// LocalityCounts returns how many grants run in the home domain of their request, and whether that is
// counted.
func (p *Pool) LocalityCounts() (locality.Counts, bool) { return p.locality.counts, p.locality.on }

// prefersHome reports whether the request is preferably placed in the domain that it names.
func (p *Pool) prefersHome(a *Ask) bool { return p.locality.on && a.Domain != "" }

// packingFor returns the order of packing for the requests of a domain.
func (p *Pool) packingFor(d route.Domain) *packing {
	if x := p.locality.orders[d]; x != nil {
		return x
	}
	x := &packing{ups: locality.HomeFirst(p.packOrder, d, (*upstreamState).domain)}
	positions, inDomain := map[*upstreamState]int{}, map[route.Domain]int{}
	for _, r := range p.packOrder {
		positions[r] = inDomain[r.Domain]
		inDomain[r.Domain]++
	}
	x.home = inDomain[d]
	x.free = slices.Clone(p.packOrder)
	slices.SortFunc(x.free, func(y, z *upstreamState) int {
		if (y.Domain == d) != (z.Domain == d) {
			return firstIf(y.Domain == d)
		}
		return cmp.Or(cmp.Compare(positions[z], positions[y]), cmp.Compare(z.ID, y.ID))
	})
	if p.locality.orders == nil {
		p.locality.orders = map[route.Domain]*packing{}
	}
	p.locality.orders[d] = x
	return x
}

func (r *upstreamState) domain() route.Domain { return r.Domain }

// attempts returns the upstreams that are tried for a short request, in this order. Engines of the
// home domain are filled before others are tried: the request is in time there, and no engine that is
// free for long prompts is taken elsewhere. If engines are slow when nearly full, all are packed
// first, as without the setting.
func (p *Pool) attempts(a *Ask) []attempt {
	packed := p.rules.PackedStreams
	if !p.prefersHome(a) {
		return []attempt{{p.packOrder, packed, false}, {p.packOrder, math.MaxInt, false}, {p.packOrder, math.MaxInt, true}}
	}
	x := p.packingFor(a.Domain)
	home, away := x.ups[:x.home], x.ups[x.home:]
	if p.slowWhenFull() {
		return []attempt{{x.ups, packed, false}, {x.ups, math.MaxInt, false}, {x.ups, math.MaxInt, true}}
	}
	return []attempt{{home, packed, false}, {home, math.MaxInt, false}, {away, packed, false}, {away, math.MaxInt, false}, {x.ups, math.MaxInt, true}}
}

// attempt is one pass over upstreams that looks for one with room for a short request.
type attempt struct {
	ups        []*upstreamState
	maxStreams int
	avoided    bool
}

// prefillOrder returns the engines in the order in which a long prompt uses them.
func (p *Pool) prefillOrder(a *Ask) iter.Seq2[int, *upstreamState] {
	if p.prefersHome(a) {
		return slices.All(p.packingFor(a.Domain).free)
	}
	return slices.Backward(p.packOrder)
}

// homeOf returns those of some upstreams that are in the home domain of a request.
func homeOf(ups []*upstreamState, a *Ask) []*upstreamState {
	var home []*upstreamState
	for _, r := range ups {
		if r.Domain == a.Domain {
			home = append(home, r)
		}
	}
	return home
}

// placeLongHome spreads a long prompt over free engines of its home domain, if their group gives the
// first byte early enough.
func (p *Pool) placeLongHome(now clock.Milli, w *queuedRequest, free []*upstreamState, need int) (plan, bool) {
	a := &w.Ask
	if !p.prefersHome(a) || w.late(now) {
		return plan{}, false
	}
	home := homeOf(free, a)
	for n := min(int(math.Ceil(w.prefillTime/p.rules.PartRead)), p.rules.MaxGroup, len(home)); n >= need; n-- {
		part := w.prefillTime / float64(n)
		if !locality.GroupStaysHome(startDelay+part+firstPassTime, float64(a.Aim-now)) {
			break
		}
		if pl, ok := p.chooseGroup(now, a, part, home, n); ok {
			return pl, true
		}
	}
	return plan{}, false
}

// chooseGroupNear is chooseGroup with a preference for groups in the home domain of the request.
func (p *Pool) chooseGroupNear(now clock.Milli, a *Ask, part float64, free []*upstreamState, n int) (plan, bool) {
	if p.prefersHome(a) {
		if pl, ok := p.chooseGroup(now, a, part, homeOf(free, a), n); ok {
			return pl, true
		}
	}
	return p.chooseGroup(now, a, part, free, n)
}

// choosePlain chooses the upstream of a plain service with the lowest ratio of requests to slots, in
// the home domain of the request if the ratio there is not much higher than elsewhere. The search
// starts at an upstream chosen by the hash of the request's ID; otherwise owners that don't know of
// each other would all choose the first of several equal ones.
func (p *Pool) choosePlain(now clock.Milli, a *Ask) (plan, bool) {
	var best [2]*upstreamState
	lowest := [2]float64{math.Inf(1), math.Inf(1)}
	start := int(xxhash.Sum64String(string(a.ID)) % uint64(max(len(p.packOrder), 1)))
	for i := range p.packOrder {
		r := p.packOrder[(start+i)%len(p.packOrder)]
		if r.plainObstacle(now, a) != none {
			continue
		}
		where := 0
		if p.prefersHome(a) && r.Domain != a.Domain {
			where = 1
		}
		requests, slots := r.plainLoad()
		if load := float64(requests) / float64(slots); load < lowest[where] {
			best[where], lowest[where] = r, load
		}
	}
	if best[0] != nil && (best[1] == nil || locality.StaysHome(lowest[0], lowest[1])) {
		return plan{leader: best[0], reason: "fewest"}, true
	}
	return plan{leader: best[1], reason: "fewest"}, best[1] != nil
}

// noteLocality records what is expected of a grant, and counts whether it runs in the home domain of
// its request only.
func (p *Pool) noteLocality(g *grantState, pl plan, e expectation) {
	a := &g.ask
	p.expect(g, e)
	if !p.prefersHome(a) {
		return
	}
	home := pl.leader.Domain == a.Domain && len(homeOf(pl.helpers, a)) == len(pl.helpers)
	p.locality.counts.Add(home)
}

// otherDomain reports whether the domains of two upstreams, one in the home domain of a granted
// request, decided which of them runs it.
func (p *Pool) otherDomain(id decide.RequestID, x, y *upstreamState) bool {
	g := p.grants[id]
	return g != nil && p.prefersHome(&g.ask) && x.Domain != y.Domain && (x.Domain == g.ask.Domain || y.Domain == g.ask.Domain)
}

package span

import (
	"slices"

	"snipeshift.example/lib/decide"
)

// An engine that restarts under its ID has none of the work of its previous incarnation, so nothing
// that is known of the previous incarnation may affect the new one. An incarnation is identified by
// its start time.

// newIncarnation reports whether born is later than the known start time. The first start time that
// an upstream reports does not count as a restart.
func (r *upstreamState) newIncarnation(born decide.Incarnation) bool {
	return r.Born > 0 && born > r.Born
}

// pastIncarnation reports whether born belongs to an incarnation that has ended.
func (r *upstreamState) pastIncarnation(born decide.Incarnation) bool {
	return born > 0 && born < r.Born
}

// restart clears what was known of the previous incarnation. Its grants stay in the pool's table
// until their gates have reported their outcomes, but no longer count toward the load of the
// upstream.
func (r *upstreamState) restart(born decide.Incarnation) {
	for _, g := range r.grants {
		g.upstreams = slices.DeleteFunc(g.upstreams, func(x *upstreamState) bool { return x == r })
	}
	clear(r.grants)
	u, e := r.Upstream, r.engine
	u.Born = born
	r.declared.restart(born, true)
	*r = upstreamState{Upstream: u, engine: e, grants: r.grants, declared: r.declared}
}

// incarnation returns the start time, as known when the grant was made, of an upstream of the
// grant; zero if unknown.
func (g *Grant) incarnation(id decide.UpstreamID) decide.Incarnation {
	if g.Leader.Upstream == id {
		return g.Leader.Born
	}
	for _, h := range g.Helpers {
		if h.Upstream == id {
			return h.Born
		}
	}
	return 0
}

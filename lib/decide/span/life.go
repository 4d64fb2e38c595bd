package span

import (
	"slices"

	"snipeshift.example/lib/decide"
)

// An engine that starts again under its id holds nothing of its earlier life, so nothing that is known of that may weigh on it.

// newer reports whether a word of a life speaks of a later one than is known. An upstream that did
// not tell its life before has not begun a new one by telling it.
func (r *row) newer(born decide.Incarnation) bool { return r.Born > 0 && born > r.Born }

// earlier reports whether a word speaks of a life that is over.
func (r *row) earlier(born decide.Incarnation) bool { return born > 0 && born < r.Born }

// renew forgets what was known of the upstream's earlier life. Its grants stay in the pool's table
// until their gates have reported how they ended, but weigh on the upstream no more.
func (r *row) renew(born decide.Incarnation) {
	for _, g := range r.grants {
		g.rows = slices.DeleteFunc(g.rows, func(x *row) bool { return x == r })
	}
	clear(r.grants)
	u, e := r.Upstream, r.engine
	u.Born = born
	r.declared.renew(born, true)
	*r = row{Upstream: u, engine: e, grants: r.grants, declared: r.declared}
}

// born is the life of an upstream in which a grant was made; zero if it is not known.
func (g *Grant) born(id decide.UpstreamID) decide.Incarnation {
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

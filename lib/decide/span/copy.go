package span

import (
	"maps"
	"slices"

	"snipeshift.example/lib/decide"
)

// Copy returns a copy of the pool that shares with it nothing that a decision changes.
func (p *Pool) Copy() *Pool {
	c := copier{upstreams: map[*upstreamState]*upstreamState{}, grants: map[*grantState]*grantState{}, declared: map[*declared]*declared{}}
	q := *p
	q.budget, q.parts, q.shares = p.budget.Clone(), p.parts.Clone(), p.shares.Clone()
	q.bookings.table, q.bookings.continued = p.bookings.table.Clone(), maps.Clone(p.bookings.continued)
	q.forecast = p.forecast.clone()
	q.recovery.lateGrants = maps.Clone(p.recovery.lateGrants)
	q.finished = maps.Clone(p.finished)
	q.queue = make(map[decide.RequestID]*queuedRequest, len(p.queue))
	for id, w := range p.queue {
		copied := *w
		q.queue[id] = &copied
	}
	q.declared.byUpstream = mapValues(p.declared.byUpstream, c.declaredOf)
	q.upstreams = mapValues(p.upstreams, c.upstreamOf)
	q.grants = mapValues(p.grants, c.grantOf)
	q.packOrder = make([]*upstreamState, len(p.packOrder))
	for i, r := range p.packOrder {
		q.packOrder[i] = c.upstreamOf(r)
	}
	q.locality.orders, q.locality.ratios, q.locality.changes = nil, nil, nil
	return &q
}

// copier copies the tables of a pool, whose rows refer to each other. It maps rows to their copies.
type copier struct {
	upstreams map[*upstreamState]*upstreamState
	grants    map[*grantState]*grantState
	declared  map[*declared]*declared
}

func (c *copier) upstreamOf(r *upstreamState) *upstreamState {
	if x := c.upstreams[r]; x != nil {
		return x
	}
	x := *r
	c.upstreams[r] = &x
	x.declared = c.declaredOf(r.declared)
	x.recentEnds = slices.Clone(r.recentEnds)
	x.holders, x.holderEnds = slices.Clone(r.holders), slices.Clone(r.holderEnds)
	x.grants = mapValues(r.grants, c.grantOf)
	return &x
}

func (c *copier) grantOf(g *grantState) *grantState {
	if x := c.grants[g]; x != nil {
		return x
	}
	x := *g
	c.grants[g] = &x
	x.upstreams = make([]*upstreamState, len(g.upstreams))
	for i, r := range g.upstreams {
		x.upstreams[i] = c.upstreamOf(r)
	}
	return &x
}

func (c *copier) declaredOf(d *declared) *declared {
	if x := c.declared[d]; x != nil {
		return x
	}
	x := *d
	c.declared[d] = &x
	x.backOffs = maps.Clone(d.backOffs)
	return &x
}

// mapValues returns a map of the same keys whose values are the results of f.
func mapValues[K comparable, V any](m map[K]V, f func(V) V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = f(v)
	}
	return out
}

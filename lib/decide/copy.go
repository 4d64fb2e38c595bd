package decide

import (
	"maps"
	"slices"
)

// Copy returns a copy of the pool that shares with it nothing that a method of either changes, so that Explain can run on the
// copy while the pool goes on. Of what is known of caches, it has the entries for the prefixes of queued requests and for the
// given ones, since a tick looks up no others and the whole table would take most of the time of the copy.
func (p *Pool) Copy(prefixes ...PrefixHash) *Pool {
	c := copier{
		upstreams: map[*upstream]*upstream{}, grants: map[*grant]*grant{}, lanes: map[*lane]*lane{},
		workspaces: map[*workspace]*workspace{}, flows: map[*flow]*flow{}, queued: map[*waiting]*waiting{},
	}
	q := *p
	q.spareGrants, q.spareWaiting, q.groupBuffer, q.decisions, q.attempt = nil, nil, nil, nil, nil
	q.byID, q.upstreams = mapValues(p.byID, c.upstreamOf), mapRows(p.upstreams, c.upstreamOf)
	q.tree.nodes = slices.Clone(p.tree.nodes)
	q.prefixes = make(map[PrefixHash]cachedOn)
	p.copyPrefixes(&q, &c, prefixes)
	for _, w := range p.queued {
		p.copyPrefixes(&q, &c, w.Prefixes)
	}
	for i := range p.arrivals {
		p.copyPrefixes(&q, &c, p.arrivals[i].Prefixes)
	}
	for i, l := range p.lanes {
		q.lanes[i] = c.laneOf(l)
	}
	q.workspaces, q.queued = mapValues(p.workspaces, c.workspaceOf), mapValues(p.queued, c.waitingOf)
	q.expiries.items, q.aside = mapRows(p.expiries.items, c.waitingOf), mapRows(p.aside, c.waitingOf)
	q.arrivals, q.pendingDecisions = slices.Clone(p.arrivals), slices.Clone(p.pendingDecisions)
	q.earmark.request, q.earmark.on = c.waitingOf(p.earmark.request), mapRows(p.earmark.on, c.upstreamOf)
	q.grants, q.live, q.orphans = mapValues(p.grants, c.grantOf), mapValues(p.live, c.grantOf), mapValues(p.orphans, c.grantOf)
	q.timers.items = mapRows(p.timers.items, c.grantOf)
	q.crashes.running, q.crashes.byFingerprint = maps.Clone(p.crashes.running), maps.Clone(p.crashes.byFingerprint)
	q.parts = p.parts.Clone()
	return &q
}

// copyPrefixes copies the upstreams that probably have some prefixes in their caches.
func (p *Pool) copyPrefixes(q *Pool, c *copier, prefixes []PrefixHash) {
	for _, x := range prefixes {
		on, ok := p.prefixes[x]
		if !ok {
			continue
		}
		for i, u := range on {
			on[i] = c.upstreamOf(u)
		}
		q.prefixes[x] = on
	}
}

// copier copies the tables of a pool, whose rows refer to each other. It maps rows to their copies.
type copier struct {
	upstreams  map[*upstream]*upstream
	grants     map[*grant]*grant
	lanes      map[*lane]*lane
	workspaces map[*workspace]*workspace
	flows      map[*flow]*flow
	queued     map[*waiting]*waiting
}

// copyRow returns the copy of a row, and whether it is new, so that the caller has to copy what the row refers to.
func copyRow[R any](known map[*R]*R, r *R) (copied *R, isNew bool) {
	if r == nil {
		return nil, false
	}
	if x := known[r]; x != nil {
		return x, false
	}
	x := *r
	known[r] = &x
	return &x, true
}

func (c *copier) upstreamOf(u *upstream) *upstream {
	x, isNew := copyRow(c.upstreams, u)
	if isNew {
		x.grants = mapRows(u.grants, c.grantOf)
		x.report.Running, x.hints = slices.Clone(u.report.Running), hints{}
	}
	return x
}

func (c *copier) grantOf(g *grant) *grant {
	x, isNew := copyRow(c.grants, g)
	if isNew {
		x.on = mapRows(g.on, c.upstreamOf)
	}
	return x
}

func (c *copier) laneOf(l *lane) *lane {
	x, isNew := copyRow(c.lanes, l)
	if isNew {
		x.flows.items, x.active = mapRows(l.flows.items, c.flowOf), mapRows(l.active, c.flowOf)
	}
	return x
}

func (c *copier) workspaceOf(w *workspace) *workspace {
	x, isNew := copyRow(c.workspaces, w)
	if isNew {
		for i, f := range w.flows {
			x.flows[i] = c.flowOf(f)
		}
	}
	return x
}

func (c *copier) flowOf(f *flow) *flow {
	x, isNew := copyRow(c.flows, f)
	if isNew {
		x.lane, x.workspace = c.laneOf(f.lane), c.workspaceOf(f.workspace)
		x.queue.items = mapRows(f.queue.items, c.waitingOf)
	}
	return x
}

func (c *copier) waitingOf(w *waiting) *waiting {
	x, isNew := copyRow(c.queued, w)
	if isNew {
		x.flow = c.flowOf(w.flow)
	}
	return x
}

// mapValues returns a map of the same keys whose values are the results of f.
func mapValues[K comparable, V any](m map[K]V, f func(V) V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = f(v)
	}
	return out
}

// mapRows returns a list of the results of f.
func mapRows[R any](rows []*R, f func(*R) *R) []*R {
	out := make([]*R, len(rows))
	for i, r := range rows {
		out[i] = f(r)
	}
	return out
}

package decide

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// QueuedRequest is a queued request as shown to operators.
type QueuedRequest struct {
	Request RequestID
	// Workspace, Urgency and Long identify the queue.
	Workspace WorkspaceID
	Urgency   Urgency
	Long      bool
	// Since is when the request was admitted, Latest its latest start.
	Since, Latest clock.Milli
}

// UpstreamView is an upstream as shown to operators.
type UpstreamView struct {
	Upstream
	// Side is "long", "short" or "any", as in Order.Role.
	Side string
	// Running is the number of grants, including Orphans: lapsed grants that the engine may still
	// run.
	Running, Orphans int
	// Reserved is the memory of grants, External the reported memory that no grant accounts for.
	Reserved, External Tokens
	// Backlog is the estimated time until all granted prompts are prefilled.
	Backlog clock.Milli
	// Slowdown is the factor by which the upstream prefills slower than rated.
	Slowdown float64
	// Earmarked is the memory kept free for a request that needs much at once.
	Earmarked Tokens
}

// Grants returns all live grants in order of id.
func (p *Pool) Grants() []Grant {
	list := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		if g.orphanedAt == 0 {
			e := g.Grant
			e.Upstreams = slices.Clone(e.Upstreams)
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Grant) int { return int(int64(a.ID) - int64(b.ID)) })
	return list
}

// Queue returns all queued requests in order of their latest start.
func (p *Pool) Queue() []QueuedRequest {
	list := make([]QueuedRequest, 0, len(p.queued))
	for _, w := range p.queued {
		list = append(list, QueuedRequest{w.ID, w.Workspace, w.Urgency, w.flow.lane.long, w.queuedAt, w.latestStart})
	}
	slices.SortFunc(list, func(a, b QueuedRequest) int { return int(a.Latest - b.Latest) })
	return list
}

// Upstreams returns all upstreams in ascending order of id.
func (p *Pool) Upstreams(now clock.Milli) []UpstreamView {
	if p.treeStale {
		p.rebuildTables(now)
	}
	list := make([]UpstreamView, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		u.drain(now)
		v := UpstreamView{
			Upstream:  u.spec,
			Side:      u.side.role(),
			Running:   u.running,
			Reserved:  u.reserved,
			External:  u.external,
			Backlog:   clock.Milli(u.backlog / u.rate()),
			Slowdown:  u.slowdown,
			Earmarked: u.earmarked,
		}
		v.Leaving = u.leaving()
		for _, g := range u.grants {
			if g.orphanedAt > 0 {
				v.Orphans++
			}
		}
		list = append(list, v)
	}
	return list
}

// Summary returns the state of the pool for other VMs.
func (p *Pool) Summary(now clock.Milli) Summary {
	if p.treeStale {
		p.rebuildTables(now)
	}
	s := Summary{Queued: len(p.queued), Running: len(p.live), Crashes: p.parts.ForPeers(now)}
	for i := range s.Wait {
		s.Wait[i] = p.newWorkspaceWait(Urgency(i), false)
		s.Long[i] = p.newWorkspaceWait(Urgency(i), true)
	}
	for _, u := range p.upstreams {
		if !u.leaving() && u.spec.Memory > 0 {
			s.Free += p.freeMemory(u)
			s.Largest += u.spec.Memory
		}
	}
	return s
}

// newWorkspaceWait is the estimated wait of a request of a workspace with nothing queued. For a
// pool without upstreams that accept work it is maxRetry: the empty queue would make the pool look
// idle, and every gate would ask it first.
func (p *Pool) newWorkspaceWait(u Urgency, long bool) clock.Milli {
	if p.boundaries.accepting == 0 {
		return maxRetry
	}
	fresh := flow{lane: p.lanes[laneOf(u, long)], workspace: newWorkspace, heapIndex: -1}
	return clock.Milli(p.queueWait(&fresh))
}

// newWorkspace represents a workspace with nothing queued.
var newWorkspace = &workspace{spec: Workspace{Weight: 1}}

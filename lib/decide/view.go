package decide

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// QueuedRequest is a queued request as an operator sees it.
type QueuedRequest struct {
	Request RequestID
	// Workspace, Urgency and Long name the queue it is in.
	Workspace WorkspaceID
	Urgency   Urgency
	Long      bool
	// Since is when it was admitted, Latest when it must start.
	Since, Latest clock.Milli
}

// UpstreamView is an upstream as an operator sees it.
type UpstreamView struct {
	Upstream
	// Side is "long", "short" or "any", as in Order.Role.
	Side string
	// Running counts grants; Ghosts of these lapsed and are not yet gone.
	Running, Orphans int
	// Reserved is memory of grants, Foreign what others hold by the engine's report.
	Reserved, External Tokens
	// Backlog is the estimated time until all granted prompts are prefilled.
	Backlog clock.Milli
	// Slowdown is how many times slower than rated it prefills.
	Slowdown float64
	// Earmarked is memory kept free for a request that needs much at once.
	Earmarked Tokens
}

// Grants lists all live grants by id.
func (p *Pool) Grants() []Grant {
	list := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		if g.ghost == 0 {
			e := g.Grant
			e.Upstreams = slices.Clone(e.Upstreams)
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Grant) int { return int(int64(a.ID) - int64(b.ID)) })
	return list
}

// Queue lists all queued requests, the one that must start first ahead.
func (p *Pool) Queue() []QueuedRequest {
	list := make([]QueuedRequest, 0, len(p.queued))
	for _, w := range p.queued {
		list = append(list, QueuedRequest{w.ID, w.Workspace, w.Urgency, w.flow.lane.long, w.since, w.latest})
	}
	slices.SortFunc(list, func(a, b QueuedRequest) int { return int(a.Latest - b.Latest) })
	return list
}

// Upstreams lists all upstreams in ascending order.
func (p *Pool) Upstreams(now clock.Milli) []UpstreamView {
	if p.stale {
		p.rebuild(now)
	}
	list := make([]UpstreamView, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		u.drain(now)
		v := UpstreamView{
			Upstream:  u.spec,
			Side:      u.side.role(),
			Running:   u.running,
			Reserved:  u.taken,
			External:  u.foreign,
			Backlog:   clock.Milli(u.ahead / u.rate()),
			Slowdown:  u.slow,
			Earmarked: u.claimed,
		}
		v.Leaving = u.leaving()
		for _, g := range u.grants {
			if g.ghost > 0 {
				v.Orphans++
			}
		}
		list = append(list, v)
	}
	return list
}

// Summary tells other VMs how the pool stands.
func (p *Pool) Summary(now clock.Milli) Summary {
	if p.stale {
		p.rebuild(now)
	}
	s := Summary{Queued: len(p.queued), Running: len(p.live)}
	for i := range s.Wait {
		s.Wait[i] = p.waitOf(Urgency(i), false)
		s.Long[i] = p.waitOf(Urgency(i), true)
	}
	for _, u := range p.upstreams {
		if !u.leaving() && u.spec.Memory > 0 {
			s.Free += p.free(u)
			s.Largest += u.spec.Memory
		}
	}
	return s
}

// waitOf is the wait of a request of somebody with nothing queued. A pool without an
// upstream that takes work has no queue: taken for idle, it would be asked first by
// every gate.
func (p *Pool) waitOf(u Urgency, long bool) clock.Milli {
	if p.shift.taking == 0 {
		return farthest
	}
	fresh := flow{lane: p.lanes[laneOf(u, long)], workspace: newcomer, place: -1}
	return clock.Milli(p.wait(&fresh))
}

// newcomer stands for a workspace with nothing queued.
var newcomer = &workspace{spec: Workspace{Weight: 1}}

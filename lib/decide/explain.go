package decide

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

// Explanation is what would become of a request, and why.
type Explanation struct {
	// Decided is set if the request would be granted or refused now, by Decision. Otherwise it would be queued.
	Decided  bool
	Decision Decision
	Reason   Reason
	// First is the expected time from the grant to the first token; zero if it is not estimated, as for plain services.
	First clock.Milli
	// Place is the place in the queue from 1, zero for a decided request. Queued is the number of other requests that stay in
	// the queue.
	Place, Queued int
	// Others are other upstreams, at most maxOthers.
	Others []Other
}

// Reason is why a request would be granted, queued or refused.
type Reason string

// The reasons of explanations.
const (
	// ReasonLeastCost is the reason for a grant on the upstream with the least time to first token and the least delay of others.
	ReasonLeastCost Reason = "least-cost"
	// ReasonGroup is the reason for a grant on several engines, since the request exceeds the memory of one.
	ReasonGroup Reason = "group"
	// ReasonRunning is the reason for a request that has a grant already.
	ReasonRunning Reason = "running"
	// ReasonNoRoom is the reason if no upstream can accept the request now, or others are served first.
	ReasonNoRoom Reason = "no-room"
	// ReasonHeld is the reason if the request has to wait for the answer to another one with the same suspect part or content.
	ReasonHeld Reason = "held"
	// ReasonLate is the reason for the refusal of a request that would not finish within its allowed time.
	ReasonLate Reason = "deadline"
	// ReasonTooLarge is the reason for the refusal of a request that fits no group of engines.
	ReasonTooLarge Reason = "memory"
	// ReasonNoUpstream is the reason for a refusal if no upstream that the request may use accepts work.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonCrashes is the reason for the refusal of a request whose content or part has crashed upstreams.
	ReasonCrashes Reason = "crashes"
)

// refusalReasons are the reasons of refusals by their kind.
var refusalReasons = map[fault.Kind]Reason{
	fault.Overloaded: ReasonLate, expiredKind: ReasonLate, fault.Oversize: ReasonTooLarge, fault.Unavailable: ReasonNoUpstream, fault.Quarantined: ReasonCrashes,
}

// Other is an upstream on which the request would not be placed.
type Other struct {
	Upstream UpstreamID
	Against  Obstacle
}

// Obstacle is the reason why a request is not placed on an upstream.
type Obstacle string

// The obstacles.
const (
	// ObstacleFull is an upstream without a free slot, or with so much prefill ahead that it gets no further prompt yet.
	ObstacleFull Obstacle = "full"
	// ObstacleMemory is an upstream without enough KV memory that is free and not kept for another request.
	ObstacleMemory Obstacle = "memory"
	// ObstacleLeaving is an upstream that is shutting down or does not answer.
	ObstacleLeaving Obstacle = "leaving"
	// ObstacleUnverified is an engine that has not reported its load to a new owner.
	ObstacleUnverified Obstacle = "unverified"
	// ObstacleAvoided is an upstream that the request excludes, that runs a suspect alone, or that is too slow for a long prompt.
	ObstacleAvoided Obstacle = "avoided"
	// ObstacleReserved is an upstream on the side for long or for urgent requests, which the request may not use now.
	ObstacleReserved Obstacle = "reserved"
	// ObstacleFree is an upstream that could run the request, at a higher cost than the chosen one or after others.
	ObstacleFree Obstacle = "free"
)

// maxOthers bounds the other upstreams in an explanation.
const maxOthers = 5

// placementAttempt holds the obstacles that upstreams were to one request when placing it was tried last.
type placementAttempt struct {
	request RequestID
	others  []Other
}

// Explain tells what Submit and the Tick after it would decide on a request, with all requests that are queued. It changes the
// pool as these do, so it is for a Copy.
func (p *Pool) Explain(now clock.Milli, r Request) Explanation {
	if g := p.live[r.ID]; g != nil {
		return p.running(g)
	}
	p.Submit(now, r)
	return p.explain(now, r.ID)
}

// ExplainQueued is Explain for a request that is queued or has a grant. It returns false for any other.
func (p *Pool) ExplainQueued(now clock.Milli, id RequestID) (Explanation, bool) {
	if g := p.live[id]; g != nil {
		return p.running(g), true
	}
	arrived := slices.ContainsFunc(p.arrivals, func(r Request) bool { return r.ID == id })
	if p.queued[id] == nil && !arrived {
		return Explanation{}, false
	}
	return p.explain(now, id), true
}

// running explains a request that has a grant.
func (p *Pool) running(g *grant) Explanation {
	d := Decision{Action: Granted, Request: g.Request, Gate: g.Gate, Grant: g.Grant}
	return Explanation{Decided: true, Decision: d, Reason: ReasonRunning, Queued: len(p.queued)}
}

// explain runs the next tick and tells what it decides on a request.
func (p *Pool) explain(now clock.Milli, id RequestID) Explanation {
	p.attempt = &placementAttempt{request: id}
	ds := p.Tick(now)
	e := Explanation{Queued: len(p.queued)}
	i := slices.IndexFunc(ds, func(d Decision) bool { return d.Request == id && (d.Action == Granted || d.Action == Refused) })
	if i >= 0 {
		e.Decided, e.Decision = true, ds[i]
	}
	switch w := p.queued[id]; {
	case e.Decided && e.Decision.Action == Refused:
		e.Reason = refusalReasons[e.Decision.Fault]
	case e.Decided:
		e.Reason = ReasonLeastCost
		if len(e.Decision.Grant.Upstreams) > 1 {
			e.Reason = ReasonGroup
		}
		e.First = p.expectedFirst(id)
	case w != nil:
		e.Reason = ReasonNoRoom
		if w.aside && p.judge(now, w).Verdict == blame.Held {
			e.Reason = ReasonHeld
		}
		if p.attempt.others == nil {
			p.attempt.others = p.obstacles(now, w) // others were served first, so placing it was not tried
		}
		e.Queued--
		e.Place = p.placeOf(now, w)
	}
	e.Others = nameOthers(p.attempt.others, e.Decision.Grant.Upstreams)
	return e
}

// expectedFirst is the expected time to first token of a request that was just granted.
func (p *Pool) expectedFirst(id RequestID) clock.Milli {
	g := p.live[id]
	if g == nil || p.plainService {
		return 0
	}
	return clock.Milli(math.Ceil(g.expectedFirst))
}

// nameOthers selects the upstreams that an explanation names, obstacles before free upstreams.
func nameOthers(others []Other, chosen []UpstreamID) []Other {
	others = slices.DeleteFunc(others, func(x Other) bool { return slices.Contains(chosen, x.Upstream) })
	rank := func(x Other) int {
		if x.Against == ObstacleFree {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(others, func(x, y Other) int { return cmp.Compare(rank(x), rank(y)) })
	return others[:min(len(others), maxOthers)]
}

// placeOf returns the place of a request in the order in which the queue is served, by serving it.
func (p *Pool) placeOf(now clock.Milli, w *waiting) int {
	if w.aside {
		return slices.Index(p.aside, w) + 1
	}
	for _, l := range p.lanes {
		l.blocked = l.count == 0
	}
	for place := len(p.aside) + 1; ; place++ {
		l := p.nextLane(now)
		if l == nil {
			return place
		}
		f, _ := l.flows.first()
		next, _ := f.queue.first()
		if next == w {
			return place
		}
		f.charge(next)
		p.drop(next)
		l.blocked = l.count == 0
	}
}

// QueuedIDs lists up to n requests, those with the earliest latest start first.
func (p *Pool) QueuedIDs(n int) []RequestID {
	var ids []RequestID
	for _, q := range p.Queue() {
		if len(ids) == n {
			break
		}
		ids = append(ids, q.Request)
	}
	return ids
}

// obstacles lists all upstreams with what keeps a request from each.
func (p *Pool) obstacles(now clock.Milli, w *waiting) []Other {
	need := w.tokens()
	inGroup := p.largestMemory > 0 && need > p.largestMemory
	if inGroup {
		k := Tokens(p.groupSize(need))
		need = (need + k - 1) / k
	}
	s := p.searchFor(now, w, need)
	out := make([]Other, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		x := p.commonObstacle(&w.Request, u, need)
		switch n := &p.tree.nodes[p.tree.base+u.index]; {
		case x != ObstacleFree:
		case inGroup && u.side == longSide && !w.Suspect && !p.canLead(n, s.now, need),
			!inGroup && !s.admits(n):
			x = p.sideObstacle(&s, u)
		}
		out = append(out, Other{u.spec.ID, x})
	}
	return out
}

// commonObstacle returns what keeps a request from an upstream whatever its class, ObstacleFree if nothing does.
func (p *Pool) commonObstacle(r *Request, u *upstream, need Tokens) Obstacle {
	switch {
	case u.leaving():
		return ObstacleLeaving
	case avoided(r.Avoid, u.spec.ID), u.exclusive:
		return ObstacleAvoided
	case p.recovering && !u.reported && u.spec.Memory > 0:
		return ObstacleUnverified
	case p.slotsFull(u), r.Suspect && u.running > 0:
		return ObstacleFull
	case p.freeMemory(u) < need:
		return ObstacleMemory
	}
	return ObstacleFree
}

// sideObstacle returns what keeps a request of a class from an upstream with enough free memory.
func (p *Pool) sideObstacle(s *search, u *upstream) Obstacle {
	switch {
	case s.class == longClass && u.side != longSide,
		s.class == shortClass && u.side == longSide && !s.allowLongSide,
		s.class == shortClass && u.side == urgentSide && !s.allowUrgentSide:
		return ObstacleReserved
	case s.class == longClass && p.isOutlier(u):
		return ObstacleAvoided
	case s.class == longClass && u.longPrefilling >= longPrefills:
		return ObstacleFull
	case u.earmarked > 0 && s.class != urgentClass:
		return ObstacleMemory
	}
	return ObstacleFull
}

package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Explanation is what would become of a request, and why.
type Explanation struct {
	// Decided is set if the request would be granted or refused now, by Decision. Otherwise it would be queued.
	Decided  bool
	Decision Decision
	// Reason is that of the decision, or why the request would be queued: Held, LateLimited or NoRoom.
	Reason string
	// Place is the place in the queue from 1, zero for a decided request. Queued is the number of other requests in the
	// queue that are not decided before it.
	Place, Queued int
	// Others are other upstreams, at most maxOthers.
	Others []Other
}

// Other is an upstream on which the request would not be placed.
type Other struct {
	Upstream decide.UpstreamID
	// Against is an obstacle, ObstacleFree or ObstacleEqual.
	Against Obstacle
}

// What is against upstreams that could run the request.
const (
	// ObstacleFree is an upstream that could run the request, or a part of it, and comes after the chosen one in the order of
	// placing. If the request would be queued, too few upstreams are free.
	ObstacleFree Obstacle = "free"
	// ObstacleEqual is an upstream of a plain service with the load of the chosen one: the id of a request chooses one of them.
	ObstacleEqual Obstacle = "equal"
)

// Reasons why a request would be queued.
const (
	// Held is the reason if the request has to wait for the answer to another one with the same suspect part.
	Held = "held"
	// NoRoom is the reason if upstreams have no room for the request in the order of placing.
	NoRoom = "no-room"
	// LateLimited is the reason if the request is late and, after a loss, late requests hold as many slots as they may.
	LateLimited = "recovery"
	// Running is the reason for a request that has a grant already.
	Running = "running"
)

// maxOthers bounds the other upstreams in an explanation.
const maxOthers = 5

// Explain tells what an Ask and the Tick after it would decide on a request, with all requests that are queued. It changes
// the pool as these do, so it is for a Copy. It returns false if the request's send has ended.
func (p *Pool) Explain(now clock.Milli, a Ask) (Explanation, bool) {
	if g, granted := p.Ask(now, a); granted {
		return Explanation{Decided: true, Decision: Decision{Request: a.ID, Gate: a.Gate, Grant: g, Reason: Running}, Reason: Running}, true
	}
	if !p.Queued(a.ID) {
		return Explanation{}, false
	}
	p.expire(now)
	p.observeLoad(now)
	p.observeRecovery(now)
	o := p.newRound(now)
	ahead := 0
	for _, w := range p.orderedQueue(now) {
		if w.ID == a.ID {
			return o.explain(w, ahead), true
		}
		if _, decided := o.next(w); !decided {
			ahead++
		}
	}
	return Explanation{}, false
}

// ExplainQueued is Explain for a request that is queued or granted. It returns false for any other.
func (p *Pool) ExplainQueued(now clock.Milli, id decide.RequestID) (Explanation, bool) {
	if w := p.queue[id]; w != nil {
		return p.Explain(now, w.Ask)
	}
	if p.grants[id] != nil {
		return p.Explain(now, Ask{ID: id})
	}
	return Explanation{}, false
}

// QueuedIDs lists up to n requests in the order of placing.
func (p *Pool) QueuedIDs(now clock.Milli, n int) []decide.RequestID {
	var ids []decide.RequestID
	for _, w := range p.orderedQueue(now) {
		if len(ids) == n {
			break
		}
		ids = append(ids, w.ID)
	}
	return ids
}

// explain decides on a request after the decisions on those before it, of which this many stay queued.
func (o *round) explain(w *queuedRequest, ahead int) Explanation {
	p := o.pool
	_, _, held := p.judgeParts(o.now, w)
	heldBack := p.heldBack(o.now, w)
	others := o.others(w)
	e := Explanation{Queued: len(p.queue) - 1}
	e.Decision, e.Decided = o.next(w)
	e.Reason = e.Decision.Reason
	switch {
	case !e.Decided:
		e.Place, e.Reason = ahead+1, NoRoom
		switch {
		case held:
			e.Reason = Held
		case heldBack:
			e.Reason = LateLimited
		}
	case e.Decision.Action == Granted:
		others = p.withoutChosen(others, &e.Decision.Grant, w.prefillTime == 0)
	}
	slices.SortStableFunc(others, func(x, y Other) int { return cmp.Compare(x.rank(), y.rank()) })
	e.Others = others[:min(len(others), maxOthers)]
	return e
}

// rank orders what an explanation names first: what also could have been chosen, then obstacles, then free upstreams.
func (x Other) rank() int {
	switch x.Against {
	case ObstacleEqual:
		return 0
	case ObstacleFree:
		return 2
	default:
		return 1
	}
}

// others lists all upstreams with what is against them, before the request is decided on.
func (o *round) others(w *queuedRequest) []Other {
	p := o.pool
	avoidSlow := p.avoidsSlow(o.now)
	var interleaved, isolated []*upstreamState
	if w.long && !o.shortWaits {
		interleaved, _ = p.engineSlacks(o.now, &w.Ask)
	}
	if p.isolation.on {
		isolated = p.isolatedUpstreams()
	}
	out := make([]Other, 0, len(p.packOrder))
	for _, r := range p.packOrder {
		against := o.against(w, r, avoidSlow)
		switch {
		case against == ObstacleFull && slices.Contains(interleaved, r):
			against = ObstacleFree
		case against == none && p.isolation.on && !slices.Contains(isolated, r):
			against = ObstacleAvoided
		case against == none:
			against = ObstacleFree
		}
		out = append(out, Other{Upstream: r.ID, Against: against})
	}
	return out
}

// against returns what keeps the request from the upstream by itself, without regard to the order of placing.
func (o *round) against(w *queuedRequest, r *upstreamState, avoidSlow bool) Obstacle {
	a := &w.Ask
	switch {
	case w.prefillTime == 0:
		return r.plainObstacle(o.now, a)
	case w.long:
		x := r.prefillObstacle(o.now, a, avoidSlow)
		if x == none && r.freeMemory() < min(a.Prompt+a.Output, r.usableMemory()) {
			return ObstacleMemory
		}
		return x
	default:
		if _, x := o.pool.tryShort(o.now, a, r, w.prefillTime, math.MaxInt); x != none {
			return x
		}
		return r.avoidance(o.now)
	}
}

// withoutChosen removes the upstreams of a grant that was just made. Free upstreams of a plain service that had the same load
// as the leader become ObstacleEqual.
func (p *Pool) withoutChosen(others []Other, g *Grant, plain bool) []Other {
	chosen := map[decide.UpstreamID]bool{g.Leader.Upstream: true}
	for _, h := range g.Helpers {
		chosen[h.Upstream] = true
	}
	others = slices.DeleteFunc(others, func(x Other) bool { return chosen[x.Upstream] })
	if !plain {
		return others
	}
	leader := p.upstreams[g.Leader.Upstream]
	requests, slots := leader.plainLoad()
	requests-- // the request itself
	for i, x := range others {
		u := p.upstreams[x.Upstream]
		if n, of := u.plainLoad(); x.Against == ObstacleFree && n*slots <= requests*of && !p.otherDomain(g.Request, leader, u) {
			others[i].Against = ObstacleEqual
		}
	}
	return others
}

package policy

import (
	"fmt"

	"snipeshift.example/bench/load"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// clockOffset is added to the simulated time, so that no instant passed to the library is near
// zero.
const clockOffset clock.Milli = 1_000_000

const (
	leaseTime   = 5 * clock.Second
	renewPeriod = clock.Second
)

// poolPolicy places requests with the pool of lib/decide and calls it as a daemon would.
type poolPolicy struct {
	fleet       Fleet
	pool        *decide.Pool
	requests    map[decide.RequestID]*load.Request
	grants      map[int]decide.GrantID
	engineIndex map[decide.UpstreamID]int
	upstreamIDs []decide.UpstreamID
	// nextRenewal is when all grants are renewed next, nextTick when the pool has to be ticked
	// next.
	nextRenewal clock.Milli
	nextTick    clock.Milli
}

// NewPool returns the project's policy for the engines of a deployment.
func NewPool(f Fleet, d *load.Deployment) Policy {
	p := &poolPolicy{
		fleet:       f,
		pool:        decide.New(decide.Config{Epoch: 1, Lease: leaseTime}),
		requests:    map[decide.RequestID]*load.Request{},
		grants:      map[int]decide.GrantID{},
		engineIndex: map[decide.UpstreamID]int{},
	}
	for i := range d.Engines {
		id := decide.UpstreamID(fmt.Sprintf("e%04d", i))
		p.engineIndex[id] = i
		p.upstreamIDs = append(p.upstreamIDs, id)
		p.pool.SetUpstream(clockOffset, decide.Upstream{
			ID: id, Memory: decide.Tokens(d.Engine.Memory), Slots: d.Engine.Slots,
			Prefill: decide.Rate(d.Engine.PrefillRate * 1000), Decode: decide.Rate(d.Engine.DecodeRate * 1000),
		})
	}
	for i := range d.Workspaces {
		p.pool.SetWorkspace(clockOffset, decide.Workspace{ID: workspaceID(i), Weight: 1})
	}
	return p
}

func workspaceID(i int) decide.WorkspaceID { return decide.WorkspaceID(fmt.Sprintf("w%d", i)) }

// instant converts a simulated time in milliseconds to an instant of the library's clock.
func instant(now float64) clock.Milli { return clockOffset + clock.Milli(now) }

// Arrive implements Policy.
func (p *poolPolicy) Arrive(now float64, q *load.Request) {
	r := decide.Request{
		ID: decide.RequestID(q.Name), Workspace: workspaceID(q.Workspace), Urgency: decide.Urgency(q.Kind.Urgency),
		Deadline: instant(q.Deadline), Prompt: decide.Tokens(q.Prompt), Output: decide.Tokens(q.Output), Repeatable: true,
	}
	for _, x := range q.Prefixes {
		r.Prefixes = append(r.Prefixes, decide.PrefixHash(x.Hash))
	}
	p.requests[r.ID] = q
	p.pool.Submit(instant(now), r)
	p.tick(now)
}

func (p *poolPolicy) tick(now float64) {
	for _, d := range p.pool.Tick(instant(now)) {
		q := p.requests[d.Request]
		switch d.Action {
		case decide.Granted:
			p.handleGrant(q, d.Grant)
		case decide.Refused:
			p.handleRefusal(now, q, d)
		case decide.Lapsed, decide.Ordered:
		}
	}
	p.nextTick = p.pool.Next(instant(now))
}

func (p *poolPolicy) handleGrant(q *load.Request, g decide.Grant) {
	p.grants[q.ID] = g.ID
	members := make([]int, len(g.Upstreams))
	for i, u := range g.Upstreams {
		members[i] = p.engineIndex[u]
	}
	p.fleet.Dispatch(q, members, int(g.Priority), int64(g.Reserved))
}

func (p *poolPolicy) handleRefusal(now float64, q *load.Request, d decide.Decision) {
	delete(p.requests, d.Request)
	if q.Arrived < now {
		p.fleet.Drop(q) // it was accepted when it arrived and is refused now
		return
	}
	p.fleet.Refuse(q, float64(d.Retry))
}

// FirstToken implements Policy.
func (p *poolPolicy) FirstToken(now float64, q *load.Request) {
	p.pool.Progress(instant(now), p.grants[q.ID], true, 1)
	p.tick(now)
}

// Done implements Policy.
func (p *poolPolicy) Done(now float64, q *load.Request) { p.finish(now, q, decide.Done) }

// Canceled implements Policy.
func (p *poolPolicy) Canceled(now float64, q *load.Request) {
	p.pool.Withdraw(instant(now), decide.RequestID(q.Name))
	p.finish(now, q, decide.Canceled)
}

func (p *poolPolicy) finish(now float64, q *load.Request, o decide.Outcome) {
	p.pool.Finish(instant(now), p.grants[q.ID], o)
	delete(p.grants, q.ID)
	delete(p.requests, decide.RequestID(q.Name))
	p.tick(now)
}

// Report implements Policy.
func (p *poolPolicy) Report(now float64, r Report) {
	e := decide.Report{At: instant(now), Used: decide.Tokens(r.UsedMemory)}
	for _, q := range r.Running {
		e.Running = append(e.Running, decide.RequestID(q.Name))
	}
	p.pool.Report(instant(now), p.upstreamIDs[r.Engine], e)
}

// CacheEvent implements Policy.
func (p *poolPolicy) CacheEvent(now float64, h CacheEvent) {
	p.pool.Hint(instant(now), p.upstreamIDs[h.Engine], decide.Hint{Seq: h.Seq, Prefix: decide.PrefixHash(h.Hash), Evicted: h.Evicted})
}

// Wake implements Policy.
func (p *poolPolicy) Wake(now float64) {
	if n := instant(now); n >= p.nextRenewal {
		p.nextRenewal = n + renewPeriod
		for _, g := range p.grants {
			p.pool.Renew(n, g)
		}
	}
	p.tick(now)
}

// NextWake implements Policy.
func (p *poolPolicy) NextWake(float64) float64 {
	return float64(min(p.nextTick, p.nextRenewal) - clockOffset)
}

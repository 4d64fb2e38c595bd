package policy

import (
	"fmt"

	"snipeshift.example/bench/load"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// start keeps the library's instants away from zero.
const start clock.Milli = 1_000_000

const (
	lease      = 5 * clock.Second
	renewEvery = clock.Second
)

// pool drives the decision library as a daemon would.
type pool struct {
	fleet    Fleet
	pool     *decide.Pool
	requests map[decide.RequestID]*load.Request
	grants   map[int]decide.GrantID
	index    map[decide.UpstreamID]int
	ids      []decide.UpstreamID
	renew    clock.Milli
	due      clock.Milli
}

// NewPool returns the project's policy over n engines.
func NewPool(f Fleet, d *load.Deployment) Policy {
	p := &pool{
		fleet:    f,
		pool:     decide.New(decide.Config{Epoch: 1, Lease: lease}),
		requests: map[decide.RequestID]*load.Request{},
		grants:   map[int]decide.GrantID{},
		index:    map[decide.UpstreamID]int{},
	}
	for i := range d.Engines {
		id := decide.UpstreamID(fmt.Sprintf("e%04d", i))
		p.index[id] = i
		p.ids = append(p.ids, id)
		p.pool.SetUpstream(start, decide.Upstream{
			ID: id, Memory: decide.Tokens(d.Engine.Memory), Slots: d.Engine.Slots,
			Prefill: decide.Rate(d.Engine.PrefillRate * 1000), Decode: decide.Rate(d.Engine.DecodeRate * 1000),
		})
	}
	for i := range d.Workspaces {
		p.pool.SetWorkspace(start, decide.Workspace{ID: workspace(i), Weight: 1})
	}
	return p
}

func workspace(i int) decide.WorkspaceID { return decide.WorkspaceID(fmt.Sprintf("w%d", i)) }

func milli(now float64) clock.Milli { return start + clock.Milli(now) }

// Arrive implements Policy.
func (p *pool) Arrive(now float64, q *load.Request) {
	r := decide.Request{
		ID: decide.RequestID(q.Name), Workspace: workspace(q.Workspace), Urgency: decide.Urgency(q.Kind.Urgency),
		Deadline: milli(q.Deadline), Prompt: decide.Tokens(q.Prompt), Output: decide.Tokens(q.Output), Repeatable: true,
	}
	for _, x := range q.Prefixes {
		r.Prefixes = append(r.Prefixes, decide.PrefixHash(x.Hash))
	}
	p.requests[r.ID] = q
	p.pool.Submit(milli(now), r)
	p.tick(now)
}

func (p *pool) tick(now float64) {
	for _, d := range p.pool.Tick(milli(now)) {
		q := p.requests[d.Request]
		switch d.Action {
		case decide.Granted:
			p.granted(q, d.Grant)
		case decide.Refused:
			p.refused(now, q, d)
		case decide.Lapsed, decide.Ordered:
		}
	}
	p.due = p.pool.Next(milli(now))
}

func (p *pool) granted(q *load.Request, g decide.Grant) {
	p.grants[q.ID] = g.ID
	members := make([]int, len(g.Upstreams))
	for i, u := range g.Upstreams {
		members[i] = p.index[u]
	}
	p.fleet.Dispatch(q, members, int(g.Priority), int64(g.Reserved))
}

func (p *pool) refused(now float64, q *load.Request, d decide.Decision) {
	delete(p.requests, d.Request)
	if q.Arrived < now {
		p.fleet.Drop(q) // admitted before and given up now
		return
	}
	p.fleet.Refuse(q, float64(d.Retry))
}

// FirstToken implements Policy.
func (p *pool) FirstToken(now float64, q *load.Request) {
	p.pool.Progress(milli(now), p.grants[q.ID], true, 1)
	p.tick(now)
}

// Done implements Policy.
func (p *pool) Done(now float64, q *load.Request) { p.finish(now, q, decide.Done) }

// Canceled implements Policy.
func (p *pool) Canceled(now float64, q *load.Request) {
	p.pool.Withdraw(milli(now), decide.RequestID(q.Name))
	p.finish(now, q, decide.Canceled)
}

func (p *pool) finish(now float64, q *load.Request, o decide.Outcome) {
	p.pool.Finish(milli(now), p.grants[q.ID], o)
	delete(p.grants, q.ID)
	delete(p.requests, decide.RequestID(q.Name))
	p.tick(now)
}

// Report implements Policy.
func (p *pool) Report(now float64, r Report) {
	e := decide.Report{At: milli(now), Used: decide.Tokens(r.UsedMemory)}
	for _, q := range r.Running {
		e.Running = append(e.Running, decide.RequestID(q.Name))
	}
	p.pool.Report(milli(now), p.ids[r.Engine], e)
}

// CacheEvent implements Policy.
func (p *pool) CacheEvent(now float64, h CacheEvent) {
	p.pool.Hint(milli(now), p.ids[h.Engine], decide.Hint{Seq: h.Seq, Prefix: decide.PrefixHash(h.Hash), Evicted: h.Evicted})
}

// Wake implements Policy.
func (p *pool) Wake(now float64) {
	if n := milli(now); n >= p.renew {
		p.renew = n + renewEvery
		for _, g := range p.grants {
			p.pool.Renew(n, g)
		}
	}
	p.tick(now)
}

// NextWake implements Policy.
func (p *pool) NextWake(float64) float64 { return float64(min(p.due, p.renew) - start) }

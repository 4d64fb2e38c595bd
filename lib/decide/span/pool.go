package span

import (
	"cmp"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/route"
)

// Times of the books.
const (
	// askLives is how long a queued request stays without its gate asking again.
	// Gates ask at least twice a second; one that is silent for so long is gone, or
	// has gone to another owner.
	askLives clock.Milli = 1200
	// grantLives is how long a grant stays without its gate naming it. Gates name
	// all of them each second.
	grantLives = 3 * clock.Second
	// leastWork is the shortest time in which an answer can come at all, beyond
	// the reading of its prompt.
	leastWork clock.Milli = 5
)

// Pool is the queue and the ledger of one service. It is not safe for concurrent use.
type Pool struct {
	rules Rules
	// engine is nil for a plain service.
	engine *route.Engine
	rows   map[decide.UpstreamID]*row
	// order holds the rows in the fixed order in which short work is packed.
	order []*row
	queue map[decide.RequestID]*waiting
	// grants holds every live grant, over when sends ended of which a question or a list may still be on its way.
	grants map[decide.RequestID]*granted
	over   map[decide.RequestID]clock.Milli
	// swept is when over was swept last, expired when grants were, listed when upstreams to poll were looked for.
	swept, expired, listed clock.Milli

	headroom  headroom
	large     largeShare
	isolation isolation
	declared  declarations
	// budget bounds the sends beyond the first of each request.
	budget *gate.Budget
}

// New returns an empty pool whose repeats are bounded by b.
func New(r Rules, b *gate.Budget) *Pool {
	return &Pool{
		rules: r, budget: b, rows: map[decide.UpstreamID]*row{},
		queue: map[decide.RequestID]*waiting{}, grants: map[decide.RequestID]*granted{}, over: map[decide.RequestID]clock.Milli{},
		declared: declarations{rows: map[decide.UpstreamID]*declared{}},
	}
}

// SetUpstreams tells the pool of its service and the upstreams of it that are there.
func (p *Pool) SetUpstreams(s *route.Service, us []route.Upstream) {
	p.engine = engineOf(s)
	seen := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		seen[u.ID] = true
		r := p.rows[u.ID]
		if r == nil {
			r = &row{grants: map[decide.RequestID]*granted{}, declared: p.declared.of(u.ID)}
			r.declared.renew(u.Born, false)
			p.rows[u.ID] = r
		}
		switch {
		case r.newer(u.Born):
			r.renew(u.Born)
		case r.earlier(u.Born):
			// The upstream's own word of a new life came before the list's.
			u.Born = r.Born
		}
		r.Upstream, r.engine = u, p.engine
	}
	for id, r := range p.rows {
		if !seen[id] {
			r.Leaving = true
			if len(r.grants) == 0 {
				delete(p.rows, id)
			}
		}
	}
	p.order = p.order[:0]
	for _, r := range p.rows {
		p.order = append(p.order, r)
	}
	slices.SortFunc(p.order, func(x, y *row) int { return cmp.Compare(x.ID, y.ID) })
	for _, w := range p.queue {
		p.weigh(w)
	}
}

// Ask queues a request, or notes that its gate still waits for it. A grant that
// was made and whose answer was lost is given again. A question that arrives after the end of its send, since it was also put
// by way of another VM, is not queued: nobody would use the grant.
func (p *Pool) Ask(now clock.Milli, a Ask) (Grant, bool) {
	if g := p.grants[a.ID]; g != nil {
		g.heard = now
		return g.Grant, true
	}
	if w := p.queue[a.ID]; w != nil {
		w.heard = now
		return Grant{}, false
	}
	if _, over := p.over[a.ID]; over {
		return Grant{}, false
	}
	w := &waiting{Ask: a, since: now, heard: now}
	p.weigh(w)
	p.queue[a.ID] = w
	if w.heavy {
		p.large.asks(w.cost)
	}
	return Grant{}, false
}

// Queued reports whether a request waits here.
func (p *Pool) Queued(id decide.RequestID) bool { return p.queue[id] != nil }

// expire forgets what no gate asks after any more.
func (p *Pool) expire(now clock.Milli) {
	p.forget(now)
	for id, w := range p.queue {
		if now-w.heard > askLives {
			delete(p.queue, id)
		}
	}
	if now-p.swept > askLives {
		p.swept = now
		maps.DeleteFunc(p.over, func(_ decide.RequestID, at clock.Milli) bool { return now-at > askLives })
	}
	if !scans(p.expired, now, len(p.grants)) {
		return
	}
	p.expired = now
	for id, g := range p.grants {
		if now-g.heard > grantLives {
			p.drop(now, id)
		}
	}
}

// scanRows is how many upstreams or grants are scanned in each millisecond at most. A holder of thousands gets several messages a
// millisecond, and scans of all rows for each of them would use its processor up.
const scanRows = 256

// scans reports whether so many rows may be scanned now that were scanned at an earlier instant.
func scans(last, now clock.Milli, rows int) bool { return now-last >= clock.Milli(rows/scanRows) }

// Withdraw takes a queued or granted request back of which nothing was sent.
func (p *Pool) Withdraw(now clock.Milli, id decide.RequestID) {
	delete(p.queue, id)
	p.over[id] = now
	p.drop(now, id)
}

// First notes that the first byte of an answer came: its prompt is read.
func (p *Pool) First(now clock.Milli, id decide.RequestID) {
	g := p.grants[id]
	if g == nil || g.Writing {
		return
	}
	g.suspect(now)
	g.Writing, g.heard = true, now
	rows := g.rows
	for _, r := range rows {
		r.runs(now, id, g.Grant.Gate)
		if !g.leads(r) {
			r.health.helped()
		}
		if !g.leads(r) && !holds(g.Grant.Helpers, r.ID) {
			delete(r.grants, id)
			r.ends(now)
		}
		r.settle(now)
	}
}

// holds reports whether memory is reserved at an upstream.
func holds(hs []Placement, id decide.UpstreamID) bool {
	for _, h := range hs {
		if h.Upstream == id {
			return h.Reserve > 0
		}
	}
	return false
}

// End notes the end of a send. The culprit, where it is known, is the upstream
// at fault; empty means the leader.
func (p *Pool) End(now clock.Milli, id decide.RequestID, o Outcome, culprit decide.UpstreamID) {
	p.over[id] = now
	g := p.grants[id]
	if g == nil {
		return
	}
	if culprit == "" {
		culprit = g.Grant.Leader.Upstream
	}
	if r := p.rows[culprit]; r != nil && !r.earlier(g.Grant.born(culprit)) {
		r.health.note(now, o)
		switch {
		case o == Full && !g.leads(r):
			r.health.decline(now)
		case o == Full && now < r.declared.rest(g.Grant.Gate):
			// It said itself for how long it has no room, so there is nothing to find out.
		case o == Full:
			r.turned(now)
		case o == Done || o == Failed:
			r.runs(now, id, g.Grant.Gate)
		}
	}
	p.drop(now, id)
}

// Present takes the live grants of one gate: those that are unknown here were
// made by another owner, and those that it does not name have ended.
func (p *Pool) Present(now clock.Milli, gate decide.GateID, live []LiveGrant) {
	named := make(map[decide.RequestID]bool, len(live))
	for _, l := range live {
		named[l.Grant.Request] = true
		g := p.grants[l.Grant.Request]
		if _, over := p.over[l.Grant.Request]; over && g == nil {
			continue // the list was made before the end, and came after it
		}
		if g == nil {
			g = p.adopt(now, l, Ask{ID: l.Grant.Request, Gate: gate})
			g.presented = true
		}
		g.heard = now
		if l.Writing {
			p.First(now, l.Grant.Request)
		}
	}
	for id, g := range p.grants {
		// A grant that was just made may have crossed the message.
		if g.Grant.Gate == gate && !named[id] && now-g.at > askLives {
			p.drop(now, id)
		}
	}
}

// adopt enters a grant in the books of all its upstreams.
func (p *Pool) adopt(now clock.Milli, l LiveGrant, a Ask) *granted {
	g := &granted{LiveGrant: l, ask: a, at: now, heard: now}
	p.grants[l.Grant.Request] = g
	for _, pl := range append([]Placement{l.Grant.Leader}, l.Grant.Helpers...) {
		r := p.rows[pl.Upstream]
		if r == nil || r.earlier(pl.Born) {
			continue
		}
		read := pl.Read
		if l.Writing {
			read = 0
		}
		r.take(now, g, read)
		g.rows = append(g.rows, r)
	}
	return g
}

// drop removes a grant from the books.
func (p *Pool) drop(now clock.Milli, id decide.RequestID) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	for _, r := range g.rows {
		delete(r.grants, id)
		r.ends(now)
		r.settle(now)
	}
}

// Counts are the sizes of the pool's tables.
type Counts struct{ Queued, Granted, Upstreams int }

// Counts returns the sizes of the tables.
func (p *Pool) Counts() Counts {
	return Counts{Queued: len(p.queue), Granted: len(p.grants), Upstreams: len(p.rows)}
}

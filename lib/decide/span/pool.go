package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/fault"
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
	// grants holds every live grant.
	grants map[decide.RequestID]*granted
	spare  spare
	// budget bounds the sends beyond the first of each request.
	budget *gate.Budget
}

// waiting is a queued request.
type waiting struct {
	Ask
	since, heard clock.Milli
	// cost is the reading of its prompt by one engine, and least by a whole
	// group, in milliseconds.
	cost, least float64
	// heavy is set if the prompt is too long to be read among short streams.
	heavy bool
}

// weigh works out what follows from the prompt's length.
func (p *Pool) weigh(w *waiting) {
	w.cost, w.least, w.heavy = 0, 0, false
	if p.engine == nil || w.Prompt == 0 {
		return
	}
	w.cost = p.engine.Reading(w.Prompt)
	w.least = w.cost
	if w.heavy = w.cost > p.rules.Light; w.heavy {
		w.least = w.cost / float64(p.group())
	}
}

// New returns an empty pool whose repeats are bounded by b.
func New(r Rules, b *gate.Budget) *Pool {
	return &Pool{
		rules: r, budget: b, rows: map[decide.UpstreamID]*row{},
		queue: map[decide.RequestID]*waiting{}, grants: map[decide.RequestID]*granted{},
	}
}

// Serve tells the pool of its service and the upstreams of it that are there.
func (p *Pool) Serve(s *route.Service, us []route.Upstream) {
	p.engine = engineOf(s)
	seen := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		seen[u.ID] = true
		r := p.rows[u.ID]
		if r == nil {
			r = &row{grants: map[decide.RequestID]*granted{}}
			p.rows[u.ID] = r
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
// was made and whose answer was lost is given again.
func (p *Pool) Ask(now clock.Milli, a Ask) (Grant, bool) {
	if g := p.grants[a.ID]; g != nil {
		g.heard = now
		return g.Grant, true
	}
	if w := p.queue[a.ID]; w != nil {
		w.heard = now
		return Grant{}, false
	}
	w := &waiting{Ask: a, since: now, heard: now}
	p.weigh(w)
	p.queue[a.ID] = w
	return Grant{}, false
}

// Queued tells whether a request waits here.
func (p *Pool) Queued(id decide.RequestID) bool { return p.queue[id] != nil }

// Tick places and refuses what is queued.
func (p *Pool) Tick(now clock.Milli) []Decision {
	p.expire(now)
	p.look(now)
	if len(p.queue) == 0 {
		return nil
	}
	var ds []Decision
	waits := false
	ahead, before := 0.0, p.debts(now)
	full := false
	stuck := 0
	for _, w := range p.sorted(now) {
		late := w.late(now)
		if late && w.heavy {
			if d, ok := p.hopeless(now, w, ahead); ok {
				delete(p.queue, w.ID)
				ds = append(ds, d)
				continue
			}
			ahead += w.cost
		} else if w.heavy {
			if p.willBeLate(now, w, before) {
				if d, ok := p.hopeless(now, w, ahead); ok {
					delete(p.queue, w.ID)
					ds = append(ds, d)
					continue
				}
			}
			before += w.cost
		}
		if late && w.heavy && waits && !w.pressing(now) {
			continue
		}
		if !full {
			if pl, ok := p.place(now, w); ok {
				delete(p.queue, w.ID)
				ds = append(ds, p.admit(now, &w.Ask, pl))
				if late && !w.heavy {
					p.spare.placed()
				}
				continue
			}
			full = p.full(now)
		}
		if late && !w.heavy {
			if d, ok := p.stuck(now, w, stuck); ok {
				delete(p.queue, w.ID)
				ds = append(ds, d)
				continue
			}
			stuck++
		}
		waits = waits || w.heavy && !late
		if d, refused := p.refuse(now, w); refused {
			delete(p.queue, w.ID)
			ds = append(ds, d)
		}
	}
	return ds
}

// full tells whether no upstream has a slot left, so that nothing else in the queue
// needs to be tried.
func (p *Pool) full(now clock.Milli) bool {
	for _, r := range p.order {
		if !r.Leaving && r.health.open(now) && r.streams+r.foreign < max(r.Slots, 1) {
			return false
		}
	}
	return true
}

// pressing tells whether a late request has so little time left that it must not
// make way for others any more.
func (w *waiting) pressing(now clock.Milli) bool {
	return float64(w.Deadline-now) < 4*w.least+float64(3*clock.Second)
}

// admit grants what has found its place, unless it is a repeat beyond the budget: a
// service in trouble must not get its load twice when it has least to spare.
func (p *Pool) admit(now clock.Milli, a *Ask, pl plan) Decision {
	d := Decision{Action: Granted, Request: a.ID, Gate: a.Gate, Reason: pl.reason}
	switch {
	case !a.Again:
		p.budget.Succeed(now)
	case !p.budget.Retry(now):
		d.Action, d.Fault, d.Reason = Refused, fault.Unavailable, "budget"
		return d
	}
	d.Grant = p.grant(now, a, pl)
	return d
}

// sorted is the queue in the order of placing: by urgency, then those that can
// still come in time by their aim, then the late ones by deadline. A late one
// is worth a quarter of one in time whenever it comes, so it waits for a gap.
func (p *Pool) sorted(now clock.Milli) []*waiting {
	ws := make([]*waiting, 0, len(p.queue))
	for _, w := range p.queue {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(x, y *waiting) int {
		return cmp.Or(
			cmp.Compare(x.rank(now), y.rank(now)),
			cmp.Compare(x.least, y.least),
			cmp.Compare(x.due(now), y.due(now)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return ws
}

// rank is 0 for what is in time, 1 for what is late.
func (w *waiting) rank(now clock.Milli) int {
	if w.late(now) {
		return 1
	}
	return 0
}

// late tells whether the aim can't be met any more.
func (w *waiting) late(now clock.Milli) bool { return float64(w.Aim-now) < settleTime+w.least }

func (w *waiting) due(now clock.Milli) clock.Milli {
	if w.late(now) {
		return w.Deadline
	}
	return w.Aim
}

// refuse tells whether a queued request can no longer be served.
func (p *Pool) refuse(now clock.Milli, w *waiting) (Decision, bool) {
	d := Decision{Action: Refused, Request: w.ID, Gate: w.Gate}
	if float64(w.Deadline-now) < w.least+float64(leastWork) {
		d.Fault, d.Reason = fault.Overloaded, "deadline"
		return d, true
	}
	if !p.any(now, &w.Ask) {
		d.Fault, d.Reason, d.Retry = fault.Unavailable, "none", firstShut
		return d, now-w.since > firstShut
	}
	return d, false
}

// any tells whether some upstream may take the request at all, now or later.
func (p *Pool) any(now clock.Milli, a *Ask) bool {
	for _, r := range p.order {
		if r.Leaving || !r.health.open(now) || slices.Contains(a.Avoid, r.ID) {
			continue
		}
		return true
	}
	return false
}

// expire forgets what no gate asks after any more.
func (p *Pool) expire(now clock.Milli) {
	for id, w := range p.queue {
		if now-w.heard > askLives {
			delete(p.queue, id)
		}
	}
	for id, g := range p.grants {
		if now-g.heard > grantLives {
			p.drop(now, id)
		}
	}
}

// Withdraw takes a queued or granted request back of which nothing was sent.
func (p *Pool) Withdraw(now clock.Milli, id decide.RequestID) {
	delete(p.queue, id)
	p.drop(now, id)
}

// First notes that the first byte of an answer came: its prompt is read.
func (p *Pool) First(now clock.Milli, id decide.RequestID) {
	g := p.grants[id]
	if g == nil || g.Writing {
		return
	}
	g.Writing, g.heard = true, now
	rows := g.rows
	for _, r := range rows {
		if !g.leads(r) && !holds(g.Grant.Helpers, r.ID) {
			delete(r.grants, id)
		}
		r.settle(now)
	}
}

// holds tells whether memory is reserved at an upstream.
func holds(hs []Place, id decide.UpstreamID) bool {
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
	g := p.grants[id]
	if g == nil {
		return
	}
	if culprit == "" {
		culprit = g.Grant.Leader.Upstream
	}
	if r := p.rows[culprit]; r != nil {
		r.health.note(now, o)
		if o == Full {
			r.turned(now)
		}
	}
	p.drop(now, id)
}

// Present takes the live grants of one gate: those that are unknown here were
// made by another owner, and those that it does not name have ended.
func (p *Pool) Present(now clock.Milli, gate decide.GateID, live []Live) {
	named := make(map[decide.RequestID]bool, len(live))
	for _, l := range live {
		named[l.Grant.Request] = true
		g := p.grants[l.Grant.Request]
		if g == nil {
			g = p.adopt(now, l, Ask{ID: l.Grant.Request, Gate: gate})
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
func (p *Pool) adopt(now clock.Milli, l Live, a Ask) *granted {
	g := &granted{Live: l, ask: a, at: now, heard: now}
	p.grants[l.Grant.Request] = g
	for _, pl := range append([]Place{l.Grant.Leader}, l.Grant.Helpers...) {
		r := p.rows[pl.Upstream]
		if r == nil {
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
		r.settle(now)
	}
}

// Counts are the sizes of the pool's tables.
type Counts struct{ Queued, Granted, Upstreams int }

// Counts returns the sizes of the tables.
func (p *Pool) Counts() Counts {
	return Counts{Queued: len(p.queue), Granted: len(p.grants), Upstreams: len(p.rows)}
}

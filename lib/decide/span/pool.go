package span

import (
	"cmp"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// Time limits of queued requests and grants.
const (
	// askTTL is how long a queued request is kept without its gate asking again. Gates ask at least
	// twice a second; a gate that has not asked for this long has stopped, or asks another owner.
	askTTL clock.Milli = 1200
	// grantTTL is how long a grant is kept without its gate naming it. Gates name all their grants
	// each second.
	grantTTL = 3 * clock.Second
	// minServiceTime is the least time in which an answer can arrive, beyond the prefill.
	minServiceTime clock.Milli = 5
)

// Pool queues and places the requests of one service and records its grants. It is not safe for
// concurrent use.
type Pool struct {
	rules Rules
	// engine is nil for a plain service.
	engine *route.Engine
	// warmUpTime and coldRate are those of the service, see route.Service.
	warmUpTime clock.Milli
	coldRate   statement.PerSecond
	upstreams  map[decide.UpstreamID]*upstreamState
	// packOrder lists the upstreams in the fixed order in which short requests are packed.
	packOrder []*upstreamState
	queue     map[decide.RequestID]*queuedRequest
	// grants maps requests to live grants. finished maps ended sends to the times of their ends,
	// for as long as an Ask or a list of live grants that contains them may still arrive.
	grants   map[decide.RequestID]*grantState
	finished map[decide.RequestID]clock.Milli
	// finishedSwept is when finished was last cleaned up, grantsExpired when grants were last
	// checked for expiry, and pollsListed when upstreams to poll were last searched for.
	finishedSwept, grantsExpired, pollsListed clock.Milli

	headroom     headroom
	largeReserve largeReserve
	isolation    isolation
	spread       spread
	overrun      overrun
	declared     declarations
	forecast     forecaster
	// budget limits the repeated sends of requests.
	budget *gate.Budget
	// parts knows the parts of prompts that crash upstreams.
	parts *blame.Table
	// shares is nil unless capacity is divided among workspaces.
	shares   *share.Account
	bookings bookings
	locality localityState
	recovery recoveryState
}

// New returns an empty pool that limits repeated sends by b.
func New(r Rules, b *gate.Budget) *Pool {
	return &Pool{
		rules: r, budget: b, parts: blame.New(), upstreams: map[decide.UpstreamID]*upstreamState{},
		queue: map[decide.RequestID]*queuedRequest{}, grants: map[decide.RequestID]*grantState{}, finished: map[decide.RequestID]clock.Milli{},
		declared: declarations{byUpstream: map[decide.UpstreamID]*declared{}},
	}
}

// SetUpstreams sets the service of the pool and its present upstreams. An upstream that is no
// longer listed gets no new grants and is removed once its grants have ended.
func (p *Pool) SetUpstreams(now clock.Milli, s *route.Service, us []route.Upstream) {
	p.engine = engineOf(s)
	if s != nil {
		p.warmUpTime, p.coldRate = s.WarmUp, s.ColdRate
	}
	seen := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		seen[u.ID] = true
		r := p.upstreams[u.ID]
		if r == nil {
			r = &upstreamState{grants: map[decide.RequestID]*grantState{}, declared: p.declared.get(u.ID)}
			r.declared.restart(u.Born, false)
			p.upstreams[u.ID] = r
		}
		switch {
		case r.newIncarnation(u.Born):
			p.clearHolders(r)
			r.restart(u.Born)
			p.beginWarmUp(now, r, now+p.warmUpTime)
		case r.pastIncarnation(u.Born):
			// A report from the upstream revealed the new incarnation before the list did.
			u.Born = r.Born
		}
		p.noteEntry(now, r, &u)
		r.Upstream, r.engine = u, p.engine
		p.listHolders(r) // the engine data may have changed
	}
	for id, r := range p.upstreams {
		if !seen[id] {
			r.Leaving = true
			if len(r.grants) == 0 {
				delete(p.upstreams, id)
			}
		}
	}
	p.packOrder = p.packOrder[:0]
	for _, r := range p.upstreams {
		p.packOrder = append(p.packOrder, r)
	}
	slices.SortFunc(p.packOrder, func(x, y *upstreamState) int { return cmp.Compare(x.ID, y.ID) })
	p.locality.orders = nil
	for _, w := range p.queue {
		p.estimate(w)
	}
}

// Ask queues a request, or records that its gate still waits for it. If the request already has a
// grant, whose reply must have been lost, Ask returns that grant again. An Ask may also be sent by
// way of another VM and so arrive after the end of its send. It is not queued then: no gate would
// use the grant.
func (p *Pool) Ask(now clock.Milli, a Ask) (Grant, bool) {
	if g := p.grants[a.ID]; g != nil {
		g.namedAt = now
		return g.Grant, true
	}
	if w := p.queue[a.ID]; w != nil {
		w.askedAt = now
		return Grant{}, false
	}
	if _, over := p.finished[a.ID]; over {
		return Grant{}, false
	}
	w := &queuedRequest{Ask: a, queuedAt: now, askedAt: now}
	p.estimate(w)
	p.takeBooking(now, w)
	p.queue[a.ID] = w
	if w.long {
		p.noteLongArrival(now, w)
	}
	p.noteDemand(now, w)
	p.noteRecoveryArrival(now, w)
	p.noteArrival(now, w)
	return Grant{}, false
}

// Queued reports whether the request is in the queue.
func (p *Pool) Queued(id decide.RequestID) bool { return p.queue[id] != nil }

// expire removes queued requests and grants that no gate has named within their time limits.
func (p *Pool) expire(now clock.Milli) {
	p.forgetAbsent(now)
	p.expireBookings(now)
	for id, w := range p.queue {
		if now-w.askedAt > askTTL {
			delete(p.queue, id)
		}
	}
	if now-p.finishedSwept > askTTL {
		p.finishedSwept = now
		maps.DeleteFunc(p.finished, func(_ decide.RequestID, at clock.Milli) bool { return now-at > askTTL })
	}
	if !scanDue(p.grantsExpired, now, len(p.grants)) {
		return
	}
	p.grantsExpired = now
	for id, g := range p.grants {
		if now-g.namedAt > grantTTL {
			p.noteLost(now)
			p.dropGrant(now, id)
		}
	}
}

// scansPerMilli is how many upstreams or grants are scanned per millisecond at most. An owner with
// thousands of them receives several messages a millisecond; a full scan for each would use up its
// processor.
const scansPerMilli = 256

// scanDue reports whether a table with this many rows, last scanned at the given time, may be
// scanned again.
func scanDue(last, now clock.Milli, rows int) bool {
	return now-last >= clock.Milli(rows/scansPerMilli)
}

// Withdraw removes a queued or granted request for which nothing was sent.
func (p *Pool) Withdraw(now clock.Milli, id decide.RequestID) {
	delete(p.queue, id)
	p.finished[id] = now
	p.dropGrant(now, id)
}

// First records that the first byte of an answer has arrived, so its prefill is done.
func (p *Pool) First(now clock.Milli, id decide.RequestID) {
	g := p.grants[id]
	if g == nil || g.Writing {
		return
	}
	g.suspectIfLate(now)
	p.observePace(now, g)
	g.Writing, g.namedAt = true, now
	p.parts.Begun(now, run(id))
	ups := g.upstreams
	for _, r := range ups {
		r.noteServed(now, id, g.Grant.Gate)
		if !g.leads(r) {
			r.health.recordHelp()
		}
		if !g.leads(r) && !reservesOn(g.Grant.Helpers, r.ID) {
			delete(r.grants, id)
			r.noteEnded(now)
		}
		r.update(now)
	}
}

// reservesOn reports whether memory is reserved on an upstream.
func reservesOn(hs []Placement, id decide.UpstreamID) bool {
	for _, h := range hs {
		if h.Upstream == id {
			return h.Reserve > 0
		}
	}
	return false
}

// End records the end of a send. The culprit is the upstream at fault; empty means the leader. It returns
// the exclusion that the send caused, if it caused one.
func (p *Pool) End(now clock.Milli, id decide.RequestID, o Outcome, culprit decide.UpstreamID) (x Exclusion, excluded bool) {
	p.finished[id] = now
	g := p.grants[id]
	if g == nil {
		return x, false
	}
	p.endRun(now, g, o)
	p.noteServiceTime(now, g, o)
	p.forecast.noteEnded(now, g, o)
	if o.lossOutcome() {
		p.noteLost(now)
	}
	p.noteHeld(now, g, o)
	if culprit == "" {
		culprit = g.Grant.Leader.Upstream
	}
	if r := p.upstreams[culprit]; r != nil && !r.pastIncarnation(g.Grant.incarnation(culprit)) {
		available := r.health.available(now)
		r.health.record(now, o)
		excluded = available && !r.health.available(now)
		x = Exclusion{Upstream: culprit, Gate: g.Grant.Gate, Outcome: o, Until: r.health.excludedUntil}
		switch {
		case o == Full && !g.leads(r):
			r.health.recordDecline(now)
		case o == Full && now < r.declared.backOffUntil(g.Grant.Gate):
			// The back-off shows for how long the upstream has no room, so no report is needed.
		case o == Full:
			r.noteRejected(now)
		case o == Done || o == Failed:
			r.noteServed(now, id, g.Grant.Gate)
		}
	}
	p.dropGrant(now, id)
	return x, excluded
}

// Present reconciles the grants of one gate with its list of live grants. Listed grants that are
// unknown here were made by another owner and are added; grants that are not listed have ended.
func (p *Pool) Present(now clock.Milli, gate decide.GateID, live []LiveGrant) {
	named := make(map[decide.RequestID]bool, len(live))
	for _, l := range live {
		named[l.Grant.Request] = true
		g := p.grants[l.Grant.Request]
		if _, over := p.finished[l.Grant.Request]; over && g == nil {
			continue // the list was made before the send ended, and arrived after
		}
		if g == nil {
			g = p.addGrant(now, l, Ask{ID: l.Grant.Request, Gate: gate, Workspace: l.Grant.Workspace})
			g.presented = true
			p.chargePresented(now, &l.Grant)
		}
		g.namedAt = now
		if l.Writing {
			p.First(now, l.Grant.Request)
		}
	}
	for id, g := range p.grants {
		// A recent grant may have been made after the gate wrote the list.
		if g.Grant.Gate == gate && !named[id] && now-g.grantedAt > askTTL {
			p.dropGrant(now, id)
		}
	}
}

// addGrant records a grant on all its upstreams.
func (p *Pool) addGrant(now clock.Milli, l LiveGrant, a Ask) *grantState {
	g := &grantState{LiveGrant: l, ask: a, grantedAt: now, namedAt: now}
	p.grants[l.Grant.Request] = g
	p.startRun(now, g)
	for _, pl := range append([]Placement{l.Grant.Leader}, l.Grant.Helpers...) {
		r := p.upstreams[pl.Upstream]
		if r == nil || r.pastIncarnation(pl.Born) {
			continue
		}
		prefill := pl.Read
		if l.Writing {
			prefill = 0
		}
		r.addGrant(now, g, prefill)
		p.addHolder(r, g)
		g.upstreams = append(g.upstreams, r)
	}
	return g
}

// dropGrant removes a grant.
func (p *Pool) dropGrant(now clock.Milli, id decide.RequestID) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	p.noteFreed(now)
	p.parts.Ended(now, run(id))
	for _, r := range g.upstreams {
		delete(r.grants, id)
		p.removeHolder(r, id)
		r.noteEnded(now)
		r.update(now)
	}
}

// Counts are the numbers of queued requests, live grants and upstreams.
type Counts struct{ Queued, Granted, Upstreams int }

// Counts returns the sizes of the pool's tables.
func (p *Pool) Counts() Counts {
	return Counts{Queued: len(p.queue), Granted: len(p.grants), Upstreams: len(p.upstreams)}
}

package decide

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// The ledger of grants is the only exact knowledge of an upstream's load. Reports
// lag: placing by them herds a burst onto the engine that was idle a second ago.

// newGrant fills a row for a request that leaves the queue; book enters it.
func (p *Pool) newGrant(now clock.Milli, w *waiting, share Tokens) *grant {
	g := p.rowOfGrant()
	p.issued++
	g.Grant = Grant{
		ID:          GrantID(uint64(p.config.Epoch)<<32 | uint64(p.issued)),
		Epoch:       p.config.Epoch,
		Request:     w.ID,
		Workspace:   w.Workspace,
		Gate:        w.Gate,
		Urgency:     w.Urgency,
		Reserved:    share,
		Prompt:      w.Prompt,
		Output:      w.Output,
		Until:       now + p.config.Lease,
		Deadline:    w.Deadline,
		Suspect:     w.Suspect,
		Fingerprint: w.Fingerprint,
	}
	g.prefixes = w.Prefixes
	g.long = w.flow.lane.long
	g.Priority = priority(w.Urgency, g.long)
	return g
}

// priority is what an engine is told of a request.
func priority(u Urgency, long bool) uint8 {
	p := uint8(min(u, leastUrgent))
	if long {
		p += uint8(leastUrgent) + 1
	}
	return p
}

// leastUrgent is the largest Urgency.
const leastUrgent Urgency = 3

func (p *Pool) rowOfGrant() *grant {
	if n := len(p.spareGrants); n > 0 {
		g := p.spareGrants[n-1]
		p.spareGrants = p.spareGrants[:n-1]
		return g
	}
	return &grant{timer: -1}
}

// book enters a grant into the ledger and into its upstreams.
func (p *Pool) book(now clock.Milli, g *grant) {
	g.made = now
	p.grants[g.ID] = g
	p.live[g.Request] = g
	p.killers.begin(g.Fingerprint)
	for i, u := range g.on {
		u.drain(now)
		u.grants = append(u.grants, g)
		u.taken += g.Reserved
		u.running++
		if g.long {
			u.heavy += g.Reserved
		}
		u.alone = u.alone || g.Suspect
		if g.Urgency == 0 {
			u.delicate++
		}
		if i == 0 {
			p.lead(u, g)
		}
		p.touch(u)
	}
	if g.long {
		p.holding += p.hold(g)
	}
	p.schedule(now, g)
}

// lead books the prefill of a grant on the upstream that runs it.
func (p *Pool) lead(u *upstream, g *grant) {
	work := float64(g.uncached)
	g.slow = u.slow
	switch {
	case g.long:
		g.expect = (u.ahead + work) / u.rate()
	case g.Urgency == 0:
		g.expect = (u.soon + work) / u.rate()
		u.soon += work
		u.hasty += g.uncached
	default:
		g.expect = (u.early + work) / u.rate()
	}
	if !g.long {
		u.early += work
		u.brisk += g.uncached
		u.pass(work)
	}
	u.ahead += work
	u.pending += g.uncached
	if g.long {
		u.prefilling++
	}
	p.busy[sideOf(g.long)] += work / p.prefill
}

// pass books that a short prompt passes the long ones which are prefilled here.
//
// The load is a group of engines under a prompt of half a million tokens, which
// is half a minute of prefill: in a failure domain of few engines there may be
// no other, and short work would wait for its end. Engines prefill by priority,
// so it need not. The limit is half of the engine's time, for the long prompt
// holds its memory all the while and must come to its end too.
func (u *upstream) pass(work float64) {
	if u.prefilling == 0 {
		return
	}
	delay := work / u.rate()
	u.shortNext = max(u.shortNext, float64(u.at)) + passShare*delay
	for _, g := range u.grants {
		if g.long && !g.first && g.on[0] == u {
			g.expect += delay
		}
	}
}

// passShare is the time, as a multiple of a short prompt's own prefill, that
// passes before the next one may pass a long prompt.
const passShare = 2

// unlead takes the prefill off again: the first token came, or the grant ended.
func (p *Pool) unlead(now clock.Milli, g *grant) {
	if g.first || len(g.on) == 0 {
		return
	}
	g.first = true
	u := g.on[0]
	u.drain(now)
	u.pending -= g.uncached
	u.ahead = min(u.ahead, float64(u.pending))
	if g.Urgency == 0 && !g.long {
		u.hasty -= g.uncached
		u.soon = min(u.soon, float64(u.hasty))
	}
	if g.long {
		u.prefilling--
	} else {
		u.brisk -= g.uncached
		u.early = min(u.early, float64(u.brisk))
	}
	i := sideOf(g.long)
	p.busy[i] = max(p.busy[i]-float64(g.uncached)/p.prefill, 0)
}

func sideOf(long bool) int {
	if long {
		return 1
	}
	return 0
}

// hold is memory times duration that a grant takes from the pool.
func (p *Pool) hold(g *grant) float64 {
	return float64(g.Prompt+g.Output) * (float64(g.Prompt)/p.prefill + float64(g.Output)/p.decode)
}

// unbook takes a grant off all its upstreams and out of the ledger.
func (p *Pool) unbook(now clock.Milli, g *grant) {
	p.quit(now, g)
	for len(g.on) > 0 {
		p.detach(g, g.on[len(g.on)-1])
	}
}

// quit ends a grant's work but keeps its memory.
func (p *Pool) quit(now clock.Milli, g *grant) {
	if g.ghost == 0 {
		p.killers.end(g.Fingerprint)
	}
	p.unlead(now, g)
	if g.timer >= 0 {
		p.timers.remove(g.timer)
	}
	if p.live[g.Request] == g {
		delete(p.live, g.Request)
	}
	if g.long && g.ghost == 0 {
		p.holding = max(p.holding-p.hold(g), 0)
	}
}

// detach frees a grant's memory on one upstream; the last one frees the row.
func (p *Pool) detach(g *grant, u *upstream) {
	g.on = without(g.on, u)
	u.grants = without(u.grants, g)
	u.taken -= g.Reserved
	u.running--
	if g.long {
		u.heavy -= g.Reserved
	}
	if g.Suspect {
		u.alone = false
	}
	if g.Urgency == 0 {
		u.delicate--
	}
	if u.gone {
		if len(u.grants) == 0 {
			delete(p.byID, u.spec.ID)
		}
	}
	p.touch(u)
	if len(g.on) == 0 {
		p.freeRow(g)
	}
}

func (p *Pool) freeRow(g *grant) {
	delete(p.grants, g.ID)
	if p.ghosts[g.Request] == g {
		delete(p.ghosts, g.Request)
	}
	*g = grant{on: g.on[:0], timer: -1}
	p.spareGrants = append(p.spareGrants, g)
}

func without[E comparable](list []E, e E) []E {
	i := slices.Index(list, e)
	if i < 0 {
		return list
	}
	last := len(list) - 1
	copy(list[i:], list[i+1:])
	var none E
	list[last] = none
	return list[:last]
}

// lapse turns a grant into a ghost: the gate is silent, or gave up, and no one
// knows whether the engine still runs the request. Its memory stays reserved until
// the engine's report shows it gone; freeing it on a guess would let the next
// long prompt evict or stall what still runs there.
func (p *Pool) lapse(now clock.Milli, g *grant) {
	p.out = append(p.out, Decision{Action: Lapsed, Request: g.Request, Gate: g.Gate, Grant: g.Grant})
	p.haunt(now, g)
}

func (p *Pool) haunt(now clock.Milli, g *grant) {
	p.quit(now, g)
	g.ghost = max(now, 1)
	p.ghosts[g.Request] = g
	for i := len(g.on) - 1; i >= 0 && len(g.on) > 0; i-- {
		u := g.on[i]
		if u.gone || u.spec.Memory == 0 {
			p.detach(g, u)
			continue
		}
		p.touch(u)
	}
}

// Finish ends a grant. Memory is free at once after a whole answer, after the
// upstream died, and if nothing was sent. Otherwise the engine may still run the
// request (the stream broke, the order to cancel may be lost): the grant lapses.
func (p *Pool) Finish(now clock.Milli, id GrantID, o Outcome) {
	g := p.grants[id]
	if g == nil {
		return
	}
	if o == Done {
		p.usual += learn * (float64(now-g.made) - p.usual)
	}
	if o == Lost {
		p.mourn(now, g)
	}
	if o == Done || o == Lost || o == Unused {
		p.unbook(now, g)
		return
	}
	if g.ghost > 0 {
		return
	}
	p.ended = append(p.ended, Decision{Action: Lapsed, Request: g.Request, Gate: g.Gate, Grant: g.Grant})
	p.haunt(now, g)
}

// Renew extends a lease; false means the grant is given up and its gate must stop.
func (p *Pool) Renew(now clock.Milli, id GrantID) bool {
	g := p.grants[id]
	if g == nil || g.ghost > 0 {
		return false
	}
	g.Until = now + p.config.Lease
	return true
}

// Adopt takes a live grant that its gate presents: one of ours is renewed, one of
// another owner enters the ledger as it is, even where that takes more memory
// than there is, for it runs already. That owner may be a later one: its duty came
// back to this pool when it died. False means it is given up.
func (p *Pool) Adopt(now clock.Milli, e Grant) bool {
	if p.grants[e.ID] != nil {
		return p.Renew(now, e.ID)
	}
	if e.Epoch == p.config.Epoch {
		return false // ended here
	}
	g := p.rowOfGrant()
	g.Grant = e
	g.Until = now + p.config.Lease
	g.long = p.isLong(e.Prompt)
	g.uncached = e.Prompt
	for _, id := range e.Upstreams {
		if u := p.byID[id]; u != nil {
			g.on = append(g.on, u)
		}
	}
	if len(g.on) == 0 {
		p.freeRow(g)
		return true // its upstream is no longer ours to keep books on
	}
	if w := p.queued[e.Request]; w != nil {
		p.drop(w)
	}
	p.book(now, g)
	return true
}

// expire gives up grants whose lease or deadline ran out, and queued requests
// that can no longer meet theirs. The answer to those goes out in this tick:
// held back, a caller would wait for an answer that is known already.
func (p *Pool) expire(now clock.Milli) {
	for {
		g, ok := p.timers.first()
		if !ok || g.check > now {
			break
		}
		if g.Until <= now || g.Deadline <= now {
			p.lapse(now, g)
			continue
		}
		p.overdue(now, g)
		p.reschedule(now, g)
	}
	for {
		w, ok := p.expiries.first()
		if !ok || w.latest > now {
			return
		}
		p.refuse(w.ID, w.Gate, expiredKind, p.comeback(now, w, now-w.latest))
		p.drop(w)
	}
}

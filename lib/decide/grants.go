package decide

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// The table of grants is the only exact record of an upstream's load. Reports lag: placing by them
// would send a whole burst to the engine that was idle a second ago.

// newGrant fills a grant row for a queued request; addGrant enters the row into the tables.
func (p *Pool) newGrant(now clock.Milli, w *waiting, share Tokens) *grant {
	g := p.newGrantRow()
	p.grantSeq++
	g.Grant = Grant{
		ID:          GrantID(uint64(p.config.Epoch)<<32 | uint64(p.grantSeq)),
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
	g.prefixes, g.parts = w.Prefixes, w.shared
	g.long = w.flow.lane.long
	g.Priority = priority(w.Urgency, g.long)
	return g
}

// priority is the priority passed to the engine; see Grant.Priority.
func priority(u Urgency, long bool) uint8 {
	p := uint8(min(u, leastUrgent))
	if long {
		p += uint8(leastUrgent) + 1
	}
	return p
}

// leastUrgent is the largest value of Urgency.
const leastUrgent Urgency = 3

func (p *Pool) newGrantRow() *grant {
	if n := len(p.spareGrants); n > 0 {
		g := p.spareGrants[n-1]
		p.spareGrants = p.spareGrants[:n-1]
		return g
	}
	return &grant{timerIndex: -1}
}

// addGrant enters a grant into the table and into the rows of its upstreams.
func (p *Pool) addGrant(now clock.Milli, g *grant) {
	g.grantedAt = now
	p.grants[g.ID] = g
	p.live[g.Request] = g
	p.crashes.startRun(g.Fingerprint)
	p.startRun(now, g)
	for i, u := range g.on {
		u.drain(now)
		u.grants = append(u.grants, g)
		u.reserved += g.Reserved
		u.running++
		if g.long {
			u.reservedLong += g.Reserved
		}
		u.exclusive = u.exclusive || g.Suspect
		if g.Urgency == 0 {
			u.runningUrgent++
		}
		if i == 0 {
			p.addPrefill(u, g)
		}
		p.updateLeaf(u)
	}
	if g.long {
		p.longMemoryTime += p.memoryTime(g)
	}
	p.startTimer(now, g)
}

// addPrefill adds the prefill of a grant to the backlog of the upstream that runs it, and sets the
// expected time to first token.
func (p *Pool) addPrefill(u *upstream, g *grant) {
	work := float64(g.uncached)
	g.assumedSlowdown = u.slowdown
	switch {
	case g.long:
		g.expectedFirst = (u.backlog + work) / u.rate()
	case g.Urgency == 0:
		g.expectedFirst = (u.urgentBacklog + work) / u.rate()
		u.urgentBacklog += work
		u.pendingUrgent += g.uncached
	default:
		g.expectedFirst = (u.shortBacklog + work) / u.rate()
	}
	if !g.long {
		u.shortBacklog += work
		u.pendingShort += g.uncached
		u.delayLongPrefill(work)
	}
	u.backlog += work
	u.pendingTokens += g.uncached
	if g.long {
		u.longPrefilling++
	}
	p.pendingPrefill[sideOf(g.long)] += work / p.prefill
}

// delayLongPrefill accounts for a short prompt that overtakes the long prompts being prefilled on
// this upstream.
//
// Half a million tokens on a group of engines are half a minute of prefill, and a failure domain of
// few engines may have no other engine for short work. Engines prefill by priority, so short
// prompts need not wait for the end. They may use up to half of the engine's time; the long prompt
// holds its memory all the while and must finish too.
func (u *upstream) delayLongPrefill(work float64) {
	if u.longPrefilling == 0 {
		return
	}
	delay := work / u.rate()
	u.nextOvertake = max(u.nextOvertake, float64(u.drainedAt)) + overtakeSpacing*delay
	for _, g := range u.grants {
		if g.long && !g.gotFirst && g.on[0] == u {
			g.expectedFirst += delay
		}
	}
}

// overtakeSpacing is the least time from one short prompt that overtakes a long one to the next, as
// a multiple of the prefill time of the first.
const overtakeSpacing = 2

// removePrefill removes the prefill from the backlog, because the first token came or the grant
// ended.
func (p *Pool) removePrefill(now clock.Milli, g *grant) {
	if g.gotFirst || len(g.on) == 0 {
		return
	}
	g.gotFirst = true
	u := g.on[0]
	u.drain(now)
	u.pendingTokens -= g.uncached
	u.backlog = min(u.backlog, float64(u.pendingTokens))
	if g.Urgency == 0 && !g.long {
		u.pendingUrgent -= g.uncached
		u.urgentBacklog = min(u.urgentBacklog, float64(u.pendingUrgent))
	}
	if g.long {
		u.longPrefilling--
	} else {
		u.pendingShort -= g.uncached
		u.shortBacklog = min(u.shortBacklog, float64(u.pendingShort))
	}
	side := sideOf(g.long)
	p.pendingPrefill[side] = max(p.pendingPrefill[side]-float64(g.uncached)/p.prefill, 0)
}

func sideOf(long bool) int {
	if long {
		return 1
	}
	return 0
}

// memoryTime is the memory times the duration for which a grant occupies it, in token-milliseconds.
func (p *Pool) memoryTime(g *grant) float64 {
	return float64(g.Prompt+g.Output) * (float64(g.Prompt)/p.prefill + float64(g.Output)/p.decode)
}

// removeGrant ends a grant and frees its memory on all upstreams.
func (p *Pool) removeGrant(now clock.Milli, g *grant) {
	p.endGrant(now, g)
	for len(g.on) > 0 {
		p.detach(g, g.on[len(g.on)-1])
	}
}

// endGrant ends the work of a grant. Its memory stays reserved.
func (p *Pool) endGrant(now clock.Milli, g *grant) {
	if g.orphanedAt == 0 {
		p.crashes.endRun(g.Fingerprint)
	}
	p.removePrefill(now, g)
	if g.timerIndex >= 0 {
		p.timers.remove(g.timerIndex)
	}
	if p.live[g.Request] == g {
		delete(p.live, g.Request)
	}
	if g.long && g.orphanedAt == 0 {
		p.longMemoryTime = max(p.longMemoryTime-p.memoryTime(g), 0)
	}
}

// detach frees the memory of a grant on one upstream. After the last upstream the row is released.
func (p *Pool) detach(g *grant, u *upstream) {
	g.on = without(g.on, u)
	u.grants = without(u.grants, g)
	u.reserved -= g.Reserved
	u.running--
	if g.long {
		u.reservedLong -= g.Reserved
	}
	if g.Suspect {
		u.exclusive = false
	}
	if g.Urgency == 0 {
		u.runningUrgent--
	}
	if u.removed {
		if len(u.grants) == 0 {
			delete(p.byID, u.spec.ID)
		}
	}
	p.updateLeaf(u)
	if len(g.on) == 0 {
		p.releaseGrantRow(g)
	}
}

func (p *Pool) releaseGrantRow(g *grant) {
	p.parts.Ended(p.ticked, g.run())
	delete(p.grants, g.ID)
	if p.orphans[g.Request] == g {
		delete(p.orphans, g.Request)
	}
	*g = grant{on: g.on[:0], timerIndex: -1}
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

// lapse ends a grant whose lease or deadline ran out. The gate does not respond or gave up, so it
// is unknown whether the engine still runs the request. The memory stays reserved until a report of
// the engine no longer lists the request; if it were freed on a guess, the next long prompt could
// evict or stall the request.
func (p *Pool) lapse(now clock.Milli, g *grant) {
	p.decisions = append(p.decisions, Decision{Action: Lapsed, Request: g.Request, Gate: g.Gate, Grant: g.Grant})
	p.orphan(now, g)
}

func (p *Pool) orphan(now clock.Milli, g *grant) {
	p.endGrant(now, g)
	g.orphanedAt = max(now, 1)
	p.orphans[g.Request] = g
	for i := len(g.on) - 1; i >= 0 && len(g.on) > 0; i-- {
		u := g.on[i]
		if u.removed || u.spec.Memory == 0 {
			p.detach(g, u)
			continue
		}
		p.updateLeaf(u)
	}
}

// Finish ends a grant. Its memory is free at once after a complete answer, after a crash of the
// upstream, and if nothing was sent. Otherwise the engine may still run the request (the stream
// broke, or the cancellation may have been lost), and the grant lapses.
func (p *Pool) Finish(now clock.Milli, id GrantID, o Outcome) {
	g := p.grants[id]
	if g == nil {
		return
	}
	if o == Done {
		p.answerTime += slowdownSmoothing * (float64(now-g.grantedAt) - p.answerTime)
	}
	if o == Lost {
		p.countCrash(now, g)
	}
	p.endRun(now, g, o)
	if o == Done || o == Lost || o == Unused || o == Unreached {
		p.removeGrant(now, g)
		return
	}
	if g.orphanedAt > 0 {
		return
	}
	p.pendingDecisions = append(p.pendingDecisions, Decision{Action: Lapsed, Request: g.Request, Gate: g.Gate, Grant: g.Grant})
	p.orphan(now, g)
}

// Renew extends a lease. It returns false if the grant has ended and the gate must stop the
// request.
func (p *Pool) Renew(now clock.Milli, id GrantID) bool {
	g := p.grants[id]
	if g == nil || g.orphanedAt > 0 {
		return false
	}
	g.Until = now + p.config.Lease
	return true
}

// Adopt enters a live grant that its gate presents. A known grant is renewed. A grant of another
// owner is entered as it stands, even if it exceeds the free memory, because the request is already
// running. The other owner may be a later one that crashed, after which the pool fell back to this
// owner. Adopt returns false if the grant has ended.
func (p *Pool) Adopt(now clock.Milli, e Grant) bool {
	if p.grants[e.ID] != nil {
		return p.Renew(now, e.ID)
	}
	if e.Epoch == p.config.Epoch {
		return false // granted by this owner, and ended since
	}
	g := p.newGrantRow()
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
		p.releaseGrantRow(g)
		return true // none of its upstreams belongs to this pool any more
	}
	if w := p.queued[e.Request]; w != nil {
		p.drop(w)
	}
	p.addGrant(now, g)
	return true
}

// expire lapses grants whose lease or deadline ran out, and refuses queued requests that can no
// longer meet their deadline. The refusals go out in this tick, so that no client waits for an
// answer that is already certain.
func (p *Pool) expire(now clock.Milli) {
	for {
		g, ok := p.timers.first()
		if !ok || g.checkAt > now {
			break
		}
		if g.Until <= now || g.Deadline <= now {
			p.lapse(now, g)
			continue
		}
		p.observeOverdue(now, g)
		p.resetTimer(now, g)
	}
	for {
		w, ok := p.expiries.first()
		if !ok || w.latestStart > now {
			return
		}
		p.refuse(w.ID, w.Gate, expiredKind, p.retryAfter(now, w, now-w.latestStart))
		p.drop(w)
	}
}

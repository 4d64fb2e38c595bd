package decide

import "snipeshift.example/lib/clock"

const (
	// maxBackfill is the number of other workspaces tried while the first long request waits for
	// memory. Each costs one search per tick.
	maxBackfill = 4
	// claimAfter is how long the first request of a lane waits for memory before it claims
	// upstreams. Most waits end sooner, and a claim leaves memory unused.
	claimAfter = 2 * clock.Second
)

// serveQueues grants queued requests, lane by lane in order of rank, until no more can be placed.
// Without ranks an urgent lookup would wait behind every long dossier that arrived before it.
func (p *Pool) serveQueues(now clock.Milli) {
	if p.boundaries.accepting == 0 {
		return
	}
	p.grantClaim(now)
	p.boundaries.refillBudget(now)
	p.longSideShared = p.longSideOpen()
	p.servePass(now)
	if !p.longSideShared {
		// Short work may use the capacity of the long side that no long request can use now. It
		// occupies an engine for a second or two, and long work comes first again in the next tick.
		p.longSideShared = true
		p.servePass(now)
	}
}

func (p *Pool) servePass(now clock.Milli) {
	for _, l := range p.lanes {
		l.blocked = l.count == 0
	}
	for {
		l := p.nextLane(now)
		if l == nil {
			return
		}
		l.blocked = !p.serveLane(now, l) || l.count == 0
	}
}

func (p *Pool) nextLane(now clock.Milli) *lane {
	var next *lane
	var rank float64
	var latest clock.Milli
	for _, l := range p.lanes {
		if l.blocked {
			continue
		}
		r, at := l.rank(now)
		if next == nil || r < rank || r == rank && at < latest {
			next, rank, latest = l, r, at
		}
	}
	return next
}

// serveLane places one request of a lane. It returns false if none can be placed now.
func (p *Pool) serveLane(now clock.Milli, l *lane) bool {
	f, _ := l.flows.first()
	w, _ := f.queue.first()
	if p.serveOne(now, w) {
		return true
	}
	p.makeClaim(now, w)
	if !l.long {
		return false
	}
	// While the first request waits for memory, smaller requests of other workspaces may be placed,
	// but not in the memory that the first one claimed, so they cannot starve it.
	for i := 1; i <= maxBackfill && i < l.flows.len(); i++ {
		o, _ := l.flows.items[i].queue.first()
		if p.serveOne(now, o) {
			return true
		}
	}
	return false
}

func (p *Pool) serveOne(now clock.Milli, w *waiting) bool {
	g, ok := p.place(now, w)
	if !ok {
		return false
	}
	p.grant(now, w, g)
	return true
}

func (p *Pool) grant(now clock.Milli, w *waiting, g *grant) {
	g.Upstreams = g.on[0].idList
	if len(g.on) > 1 {
		g.Upstreams = make([]UpstreamID, len(g.on))
		for i, u := range g.on {
			g.Upstreams[i] = u.spec.ID
		}
	}
	w.flow.charge(w)
	p.drop(w)
	p.addGrant(now, g)
	p.granted(g)
}

func (p *Pool) granted(g *grant) {
	p.decisions = append(p.decisions, Decision{Action: Granted, Request: g.Request, Gate: g.Gate, Grant: g.Grant})
}

// claim keeps memory free for one request that is unlikely to find enough of it by chance: a group,
// a very long prompt, or a suspect that must run alone. There is at most one claim per pool, and
// its request holds nothing else while it waits, so claims cannot deadlock.
type claim struct {
	request *waiting
	on      []*upstream
	share   Tokens
}

// makeClaim makes a claim for the first request of a lane if that has waited long enough.
func (p *Pool) makeClaim(now clock.Milli, w *waiting) {
	if p.claim.request != nil || now-w.queuedAt < claimAfter {
		return
	}
	if !w.Suspect && !w.flow.lane.long {
		return
	}
	need := w.tokens()
	k := 1
	if need > p.largestMemory {
		k = p.groupSize(need)
	}
	share := (need + Tokens(k) - 1) / Tokens(k)
	for len(p.claim.on) < k {
		u := p.nextToClaim(w, share, k)
		if u == nil {
			p.releaseClaim()
			return
		}
		u.claimed = share
		if w.Suspect {
			u.claimed = max(u.spec.Memory, 1)
		}
		p.claim.on = append(p.claim.on, u)
	}
	p.claim.request, p.claim.share = w, share
	sortByIndex(p.claim.on)
	for _, u := range p.claim.on {
		p.updateLeaf(u)
	}
}

func sortByIndex(us []*upstream) {
	for i := 1; i < len(us); i++ {
		for j := i; j > 0 && us[j].index < us[j-1].index; j-- {
			us[j], us[j-1] = us[j-1], us[j]
		}
	}
}

// nextToClaim returns the upstream whose memory is expected to be free first. The leader must be on
// the long side.
func (p *Pool) nextToClaim(w *waiting, share Tokens, k int) *upstream {
	leader := len(p.claim.on) == 0
	var pick *upstream
	var soonest clock.Milli
	for _, u := range p.upstreams {
		if u.leaving() || u.claimed > 0 || u.spec.Memory > 0 && u.spec.Memory < share || avoided(w.Avoid, u.spec.ID) {
			continue
		}
		if leader && !w.Suspect && (u.side != longSide || u.index+k > len(p.upstreams)) {
			continue
		}
		if !leader && u.index < p.claim.on[0].index && !w.Suspect {
			continue
		}
		if at := p.freeAt(u, share); pick == nil || at < soonest {
			pick, soonest = u, at
		}
	}
	return pick
}

// freeAt estimates when an upstream will have share tokens free.
func (p *Pool) freeAt(u *upstream, share Tokens) clock.Milli {
	var last clock.Milli
	if p.freeMemory(u) >= share {
		return last
	}
	for _, g := range u.grants {
		last = max(last, g.grantedAt+clock.Milli(g.expectedFirst+float64(g.Output)/p.decode))
	}
	return last
}

// grantClaim grants the request of the claim once the memory on all of its upstreams is free.
func (p *Pool) grantClaim(now clock.Milli) {
	w := p.claim.request
	if w == nil || w.Suspect && p.crashes.running[w.Fingerprint] > 0 {
		return
	}
	for i, u := range p.claim.on {
		if u.leaving() || u.exclusive || p.slotsFull(u) || p.freeMemory(u) < p.claim.share || w.Suspect && u.running > 0 {
			return
		}
		if i == 0 && (u.longPrefilling >= longPrefills || p.tree.nodes[p.tree.base+u.index].ready > float64(now)+lookahead) {
			return
		}
	}
	g := p.newGrant(now, w, p.claim.share)
	g.uncached = w.Prompt
	g.on = append(g.on, p.claim.on...)
	p.grant(now, w, g)
}

// releaseClaim gives up the claim.
func (p *Pool) releaseClaim() {
	for _, u := range p.claim.on {
		u.claimed = 0
		if !p.treeStale && u.index >= 0 {
			p.updateLeaf(u)
		}
	}
	p.claim.request = nil
	p.claim.on = p.claim.on[:0]
}

// claimValid reports whether all claimed upstreams still accept new work.
func (p *Pool) claimValid() bool {
	for _, u := range p.claim.on {
		if u.removed || u.leaving() {
			return false
		}
	}
	return true
}

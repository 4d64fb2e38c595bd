package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
)

const (
	// maxBackfill is the number of other workspaces tried while the first long request waits for
	// memory. Each costs one search per tick.
	maxBackfill = 4
	// earmarkAfter is how long the first request of a lane waits for memory before it earmarks
	// upstreams. Most waits end sooner, and an earmark leaves memory unused.
	earmarkAfter = 2 * clock.Second
)

// serveQueues grants queued requests, lane by lane in order of rank, until no more can be placed.
// Without ranks an urgent request would wait behind every long prompt that arrived before it.
func (p *Pool) serveQueues(now clock.Milli) {
	if p.boundaries.accepting == 0 {
		return
	}
	p.grantEarmarked(now)
	p.serveAside(now)
	p.boundaries.refillBudget(now)
	p.longSideShared = p.longSideOpen()
	p.serveLanes(now)
	if !p.longSideShared {
		// Short work may use the capacity of the long side that no long request can use now. It
		// occupies an engine for a second or two, and long work comes first again in the next tick.
		p.longSideShared = true
		p.serveLanes(now)
	}
	p.serveAside(now)
}

func (p *Pool) serveLanes(now clock.Milli) {
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
	p.makeEarmark(now, w)
	if !l.long {
		return false
	}
	// While the first request waits for memory, smaller requests of other workspaces may be placed,
	// but not in the memory that the first one earmarked, so they cannot starve it.
	for i := 1; i <= maxBackfill && i < l.flows.len(); i++ {
		o, _ := l.flows.items[i].queue.first()
		if p.serveOne(now, o) {
			return true
		}
	}
	return false
}

// serveOne places a request or takes it out of its lane. It returns false if the request stays there.
func (p *Pool) serveOne(now clock.Milli, w *waiting) bool {
	if p.setAside(now, w) {
		return true
	}
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

// earmark is memory kept free for one request that is unlikely to find enough by chance: a group,
// a very long prompt, or a suspect that must run alone. There is at most one earmark per pool, and
// its request holds nothing else while it waits, so earmarks cannot deadlock.
type earmark struct {
	request *waiting
	on      []*upstream
	share   Tokens
}

// makeEarmark makes an earmark for the first request of a lane if that has waited long enough.
func (p *Pool) makeEarmark(now clock.Milli, w *waiting) {
	if p.earmark.request != nil || now-w.queuedAt < earmarkAfter {
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
	for len(p.earmark.on) < k {
		u := p.nextToEarmark(w, share, k)
		if u == nil {
			p.releaseEarmark()
			return
		}
		u.earmarked = share
		if w.Suspect {
			u.earmarked = max(u.spec.Memory, 1)
		}
		p.earmark.on = append(p.earmark.on, u)
	}
	p.earmark.request, p.earmark.share = w, share
	sortByIndex(p.earmark.on)
	for _, u := range p.earmark.on {
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

// nextToEarmark returns the upstream whose memory is expected to be free first. The leader must be on
// the long side.
func (p *Pool) nextToEarmark(w *waiting, share Tokens, k int) *upstream {
	leader := len(p.earmark.on) == 0
	var pick *upstream
	var soonest clock.Milli
	for _, u := range p.upstreams {
		if u.leaving() || u.earmarked > 0 || u.spec.Memory > 0 && u.spec.Memory < share || avoided(w.Avoid, u.spec.ID) {
			continue
		}
		if leader && !w.Suspect && (u.side != longSide || u.index+k > len(p.upstreams)) {
			continue
		}
		if !leader && u.index < p.earmark.on[0].index && !w.Suspect {
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

// grantEarmarked grants the request of the earmark once the memory on all of its upstreams is free.
func (p *Pool) grantEarmarked(now clock.Milli) {
	w := p.earmark.request
	if w == nil || p.judge(now, w).Verdict > blame.Alone {
		return
	}
	for i, u := range p.earmark.on {
		if u.leaving() || u.exclusive || p.slotsFull(u) || p.freeMemory(u) < p.earmark.share || w.Suspect && u.running > 0 {
			return
		}
		if i == 0 && (u.longPrefilling >= longPrefills || p.tree.nodes[p.tree.base+u.index].ready > float64(now)+lookahead) {
			return
		}
	}
	g := p.newGrant(now, w, p.earmark.share)
	g.uncached = w.Prompt
	g.on = append(g.on, p.earmark.on...)
	p.grant(now, w, g)
}

// releaseEarmark gives up the earmark.
func (p *Pool) releaseEarmark() {
	for _, u := range p.earmark.on {
		u.earmarked = 0
		if !p.treeStale && u.index >= 0 {
			p.updateLeaf(u)
		}
	}
	p.earmark.request = nil
	p.earmark.on = p.earmark.on[:0]
}

// earmarkValid reports whether all earmarked upstreams still accept new work.
func (p *Pool) earmarkValid() bool {
	for _, u := range p.earmark.on {
		if u.removed || u.leaving() {
			return false
		}
	}
	return true
}

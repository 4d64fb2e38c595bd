package decide

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// lookahead is the maximum prefill backlog in milliseconds of an engine that receives a new
	// grant. It is long enough that an engine never idles during the round trip of a few
	// milliseconds to the owner. A longer backlog would move the queue into the engines, where
	// urgency, fairness and withdrawal have no effect.
	lookahead = 60
	// longPrefills is the number of long prompts that one engine prefills concurrently. A second
	// one would gain nothing and hold its memory without progress.
	longPrefills = 1
	// batchCost is the cost in milliseconds of each request that already runs on an engine: a
	// larger batch makes each decoding step a little longer.
	batchCost = 2
	// interference is the share of decoding time lost to a concurrent prefill: engines interleave
	// chunks of prompts with decoding steps.
	interference = 0.5
	// defaultInterleave is the share of time that an upstream outside the urgent side spends on
	// prefill in a busy pool.
	defaultInterleave = 0.9
	// urgentDelayWeight weighs the delay that an urgent prompt causes to each urgent answer on the
	// same engine against its own delay. At a weight of one, half of the urgent prompts would be
	// placed on engines outside the urgent side.
	urgentDelayWeight = 0.5
	// groupSlack is the number of engines by which a group may exceed the minimum, for memory that
	// is free only in smaller pieces.
	groupSlack = 3
	// maxVisits bounds the leaves that one search visits, so that its cost stays constant if many
	// upstreams are equally good.
	maxVisits = 48
)

// class is the class of a request for placement.
type class uint8

const (
	urgentClass class = iota
	shortClass
	longClass
	suspectClass
)

// search is the state of one search for the cheapest upstream.
type search struct {
	class class
	now   float64
	need  Tokens
	// prompt is in tokens, output in milliseconds of decoding.
	prompt, output float64
	// allowLongSide admits short work to upstreams of the long side.
	allowLongSide bool
	// allowUrgentSide admits short work to upstreams of the urgent side.
	allowUrgentSide bool
	avoid           []UpstreamID
	// bestUpstream is the cheapest upstream found so far, bestCost its cost, cachedTokens the number
	// of prompt tokens in its cache.
	bestUpstream *upstream
	bestCost     float64
	cachedTokens Tokens
	visitsLeft   int
}

// admits reports whether a leaf can accept the request, or whether a leaf below an inner node may.
func (s *search) admits(n *node) bool {
	switch s.class {
	case urgentClass:
		return n.urgent >= s.need && n.urgentReady <= s.now+lookahead
	case shortClass:
		free := n.short
		if s.allowLongSide {
			free = max(free, n.shortOnLong)
		}
		if s.allowUrgentSide {
			free = max(free, n.shortOnUrgent)
		}
		return free >= s.need && n.shortReady <= s.now+lookahead
	case longClass:
		return n.long >= s.need && n.ready <= s.now+lookahead
	default:
		return n.idle >= s.need
	}
}

// costOf is the estimated time to first token on n plus the delay caused to other requests, in
// milliseconds.
func (s *search) costOf(n *node, cached Tokens) float64 {
	prefill := max(s.prompt-float64(cached), 0) / n.rate
	cost := prefill + batchCost*float64(n.running)
	wait := max(n.ready-s.now, 0)
	if s.class == urgentClass {
		urgentWait := max(n.urgentReady-s.now, 0)
		interleaved := max(min(wait-min(urgentWait, wait), s.output), n.interleave*s.output)
		return cost + urgentWait + interference*(interleaved+urgentDelayWeight*prefill*float64(n.runningUrgent))
	}
	if n.runningUrgent > 0 {
		cost += interference * prefill
	}
	if s.class == shortClass {
		shortWait := max(n.shortReady-s.now, 0)
		return cost + shortWait + interference*min(max(wait-shortWait, 0), s.output)
	}
	return cost + wait
}

// find descends the tree, the cheaper child first, and prunes subtrees whose lower bound is not
// below the best cost found.
func (p *Pool) find(s *search, i int) {
	n := &p.tree.nodes[i]
	if s.visitsLeft <= 0 || !s.admits(n) || s.costOf(n, 0) >= s.bestCost {
		return
	}
	if i >= p.tree.base {
		s.visitsLeft--
		p.consider(s, p.upstreams[i-p.tree.base], 0)
		return
	}
	a, b := 2*i, 2*i+1
	if s.costOf(&p.tree.nodes[b], 0) < s.costOf(&p.tree.nodes[a], 0) {
		a, b = b, a
	}
	p.find(s, a)
	p.find(s, b)
}

// consider makes u the best upstream if it can accept the request at a lower cost.
func (p *Pool) consider(s *search, u *upstream, cached Tokens) {
	n := &p.tree.nodes[p.tree.base+u.index]
	if !s.admits(n) || avoided(s.avoid, u.spec.ID) {
		return
	}
	cost := s.costOf(n, cached)
	if cost < s.bestCost {
		s.bestUpstream, s.bestCost, s.cachedTokens = u, cost, cached
	}
}

func avoided(ids []UpstreamID, id UpstreamID) bool {
	for _, a := range ids {
		if a == id {
			return true
		}
	}
	return false
}

// place finds upstreams for a queued request. It returns false if none can accept the request now.
func (p *Pool) place(now clock.Milli, w *waiting) (*grant, bool) {
	if p.attempt != nil && p.attempt.request == w.ID {
		p.attempt.others = p.obstacles(now, w)
	}
	if w.Suspect && p.crashes.running[w.Fingerprint] > 0 {
		return nil, false
	}
	need := w.tokens()
	if need > p.largestMemory {
		return p.placeGroup(now, w, need)
	}
	s := p.searchFor(now, w, need)
	for i := len(w.Prefixes) - 1; i >= 0; i-- {
		p.considerCached(&s, w.Prefixes[i], min(PrefixTokens(i), w.Prompt-1))
	}
	p.find(&s, 1)
	if s.bestUpstream == nil {
		return nil, false
	}
	g := p.newGrant(now, w, need)
	g.uncached = w.Prompt - s.cachedTokens
	g.on = append(g.on, s.bestUpstream)
	if s.class == shortClass && s.bestUpstream.side == urgentSide {
		p.boundaries.fillBudget -= w.work
	}
	return g, true
}

func (p *Pool) searchFor(now clock.Milli, w *waiting, need Tokens) search {
	return search{
		class:           p.classOf(w),
		now:             float64(now),
		need:            need,
		prompt:          float64(w.Prompt),
		output:          w.serviceTime - w.work,
		allowLongSide:   p.longSideShared,
		allowUrgentSide: w.work <= fillLongest && w.work <= p.boundaries.fillBudget,
		avoid:           w.Avoid,
		bestCost:        math.Inf(1),
		visitsLeft:      maxVisits,
	}
}

func (p *Pool) classOf(w *waiting) class {
	switch {
	case w.Suspect:
		return suspectClass
	case w.flow.lane.long:
		return longClass
	case w.Urgency == 0:
		return urgentClass
	default:
		return shortClass
	}
}

func (p *Pool) considerCached(s *search, x PrefixHash, tokens Tokens) {
	hs, ok := p.prefixes[x]
	if !ok {
		return
	}
	for _, u := range hs {
		if u != nil {
			p.consider(s, u, tokens)
		}
	}
}

// placeGroup places a prompt larger than the memory of one engine on a group. The share of every
// member is reserved in this one step or none is. As no group holds memory while it waits for the
// rest, and members are in ascending order, two groups cannot deadlock, not even groups of two
// owners.
func (p *Pool) placeGroup(now clock.Milli, w *waiting, need Tokens) (*grant, bool) {
	minSize := p.groupSize(need)
	for k := minSize; k <= minSize+groupSlack && k <= len(p.upstreams); k++ {
		share := (need + Tokens(k) - 1) / Tokens(k)
		p.groupBuffer = p.groupBuffer[:0]
		p.gatherGroup(&w.Request, float64(now), share, k, 1)
		if len(p.groupBuffer) < k {
			continue
		}
		g := p.newGrant(now, w, share)
		g.uncached = w.Prompt
		g.on = append(g.on, p.groupBuffer...)
		return g, true
	}
	return nil, false
}

// groupSize is the minimum number of engines that hold need tokens.
func (p *Pool) groupSize(need Tokens) int {
	return int((need + p.largestMemory - 1) / p.largestMemory)
}

// gatherGroup collects k upstreams in ascending order that have share tokens free. The first one is
// the leader, which runs the prefill, so it must accept long work now. The others only provide
// memory and may be of any side. All members for a suspect must be idle.
func (p *Pool) gatherGroup(r *Request, now float64, share Tokens, k, i int) {
	n := &p.tree.nodes[i]
	if len(p.groupBuffer) == k || !p.canJoinGroup(r, n, now, share) {
		return
	}
	if i < p.tree.base {
		p.gatherGroup(r, now, share, k, 2*i)
		p.gatherGroup(r, now, share, k, 2*i+1)
		return
	}
	u := p.upstreams[i-p.tree.base]
	if !avoided(r.Avoid, u.spec.ID) {
		p.groupBuffer = append(p.groupBuffer, u)
	}
}

func (p *Pool) canJoinGroup(r *Request, n *node, now float64, share Tokens) bool {
	if r.Suspect {
		return n.idle >= share
	}
	if len(p.groupBuffer) == 0 {
		return p.canLead(n, now, share)
	}
	return max(n.long, n.short, n.shortOnLong, n.urgent) >= share
}

// canLead reports whether an upstream can run the prefill of a group now.
func (p *Pool) canLead(n *node, now float64, share Tokens) bool {
	return n.long >= share && n.ready <= now+lookahead
}

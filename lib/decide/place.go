package decide

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// lookahead is how much prefill may stand before a grant on its engine, in
	// milliseconds. Enough that an engine never waits for the owner's answer
	// (a round trip of a few milliseconds); more would move the queue into the
	// engines, where urgency, fairness and withdrawal no longer reach it.
	lookahead = 60
	// longPrefills is how many long prompts one engine prefills at once. With two
	// the second gains nothing, and its memory is held without progress.
	longPrefills = 1
	// crowd is the cost in milliseconds of each request that already decodes
	// on an engine: a wider batch makes each step a little longer.
	crowd = 2
	// interference is the share of an output's time that a prefill beside it
	// costs: engines interleave chunks of prompts with steps of decoding.
	interference = 0.5
	// sideNoise is the share of time that an upstream not kept clear prefills in a busy pool.
	sideNoise = 0.9
	// crowding weighs the delay that an urgent prompt brings to each urgent answer
	// beside it against its own: at one, half of them would flee to noisy engines.
	crowding = 0.5
	// groupSlack is how many engines more than needed a group may span, where
	// the memory is free only in smaller pieces.
	groupSlack = 3
	// visits bounds the leaves one search looks at, so that its cost stays
	// flat where many upstreams are equally good.
	visits = 48
)

// class is what placing distinguishes.
type class uint8

const (
	urgentClass class = iota
	shortClass
	longClass
	suspectClass
)

// search is one search for the cheapest upstream.
type search struct {
	class class
	now   float64
	need  Tokens
	// prompt is in tokens, output in milliseconds of decoding.
	prompt, output float64
	// shared lets short work on upstreams of the long side.
	shared bool
	// fill lets short work on upstreams of the clear side.
	fill  bool
	avoid []UpstreamID
	// best is the cheapest so far.
	best   *upstream
	cost   float64
	cached Tokens
	left   int
}

// open tells whether a node has, or may have below it, an upstream for s.
func (s *search) open(n *node) bool {
	switch s.class {
	case urgentClass:
		return n.urgent >= s.need && n.soon <= s.now+lookahead
	case shortClass:
		free := n.short
		if s.shared {
			free = max(free, n.shared)
		}
		if s.fill {
			free = max(free, n.fill)
		}
		return free >= s.need && n.early <= s.now+lookahead
	case longClass:
		return n.long >= s.need && n.ready <= s.now+lookahead
	default:
		return n.idle >= s.need
	}
}

// price is the estimated time to first token on n, plus what the placement costs others.
func (s *search) price(n *node, cached Tokens) float64 {
	prefill := max(s.prompt-float64(cached), 0) / n.rate
	cost := prefill + crowd*float64(n.running)
	wait := max(n.ready-s.now, 0)
	if s.class == urgentClass {
		soon := max(n.soon-s.now, 0)
		shared := max(min(wait-min(soon, wait), s.output), n.noise*s.output)
		return cost + soon + interference*(shared+crowding*prefill*float64(n.delicate))
	}
	if n.delicate > 0 {
		cost += interference * prefill
	}
	if s.class == shortClass {
		early := max(n.early-s.now, 0)
		return cost + early + interference*min(max(wait-early, 0), s.output)
	}
	return cost + wait
}

// find descends the tree, the cheaper child first, and cuts off every range
// whose best case is no better than what was found.
func (p *Pool) find(s *search, i int) {
	n := &p.tree.nodes[i]
	if s.left <= 0 || !s.open(n) || s.price(n, 0) >= s.cost {
		return
	}
	if i >= p.tree.base {
		s.left--
		p.consider(s, p.upstreams[i-p.tree.base], 0)
		return
	}
	a, b := 2*i, 2*i+1
	if s.price(&p.tree.nodes[b], 0) < s.price(&p.tree.nodes[a], 0) {
		a, b = b, a
	}
	p.find(s, a)
	p.find(s, b)
}

// consider takes u if it is open to s and cheaper than the best so far.
func (p *Pool) consider(s *search, u *upstream, cached Tokens) {
	n := &p.tree.nodes[p.tree.base+u.index]
	if !s.open(n) || avoided(s.avoid, u.spec.ID) {
		return
	}
	cost := s.price(n, cached)
	if cost < s.cost {
		s.best, s.cost, s.cached = u, cost, cached
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

// place finds upstreams for a queued request; false if none is free for it now.
func (p *Pool) place(now clock.Milli, w *waiting) (*grant, bool) {
	if w.Suspect && p.killers.live[w.Fingerprint] > 0 {
		return nil, false
	}
	need := w.tokens()
	if need > p.largest {
		return p.span(now, w, need)
	}
	s := p.searchFor(now, w, need)
	for i := len(w.Prefixes) - 1; i >= 0; i-- {
		p.considerHolders(&s, w.Prefixes[i], min(PrefixTokens(i), w.Prompt-1))
	}
	p.find(&s, 1)
	if s.best == nil {
		return nil, false
	}
	g := p.newGrant(now, w, need)
	g.uncached = w.Prompt - s.cached
	g.on = append(g.on, s.best)
	if s.class == shortClass && s.best.side == clearSide {
		p.shift.fill -= w.work
	}
	return g, true
}

func (p *Pool) searchFor(now clock.Milli, w *waiting, need Tokens) search {
	return search{
		class:  p.classOf(w),
		now:    float64(now),
		need:   need,
		prompt: float64(w.Prompt),
		output: w.total - w.work,
		shared: p.shared,
		fill:   w.work <= fillLongest && w.work <= p.shift.fill,
		avoid:  w.Avoid,
		cost:   math.Inf(1),
		left:   visits,
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

func (p *Pool) considerHolders(s *search, x PrefixHash, tokens Tokens) {
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

// span places a prompt larger than one engine's memory on a group: every
// member's share is reserved in this one step or none is. Nothing is ever
// held while waiting for the rest, and members are listed in ascending order,
// so two groups, even of two owners, cannot wait for each other.
func (p *Pool) span(now clock.Milli, w *waiting, need Tokens) (*grant, bool) {
	least := p.members(need)
	for k := least; k <= least+groupSlack && k <= len(p.upstreams); k++ {
		share := (need + Tokens(k) - 1) / Tokens(k)
		p.group = p.group[:0]
		p.gather(&w.Request, float64(now), share, k, 1)
		if len(p.group) < k {
			continue
		}
		g := p.newGrant(now, w, share)
		g.uncached = w.Prompt
		g.on = append(g.on, p.group...)
		return g, true
	}
	return nil, false
}

// members is the least number of engines that hold need tokens.
func (p *Pool) members(need Tokens) int {
	return int((need + p.largest - 1) / p.largest)
}

// gather collects k upstreams in ascending order that have share tokens free.
// The first leads, that is, prefills: it must take long work now. The
// others only lend memory, so any side will do; a suspect's must be idle.
func (p *Pool) gather(r *Request, now float64, share Tokens, k, i int) {
	n := &p.tree.nodes[i]
	if len(p.group) == k || !p.lends(r, n, now, share) {
		return
	}
	if i < p.tree.base {
		p.gather(r, now, share, k, 2*i)
		p.gather(r, now, share, k, 2*i+1)
		return
	}
	u := p.upstreams[i-p.tree.base]
	if !avoided(r.Avoid, u.spec.ID) {
		p.group = append(p.group, u)
	}
}

func (p *Pool) lends(r *Request, n *node, now float64, share Tokens) bool {
	if r.Suspect {
		return n.idle >= share
	}
	if len(p.group) == 0 {
		return n.long >= share && n.ready <= now+lookahead
	}
	return max(n.long, n.short, n.shared, n.urgent) >= share
}

package decide

import (
	"slices"
	"strings"

	"snipeshift.example/lib/clock"
)

const (
	// DefaultLongPrompt is the prompt length from which a request counts as long: about
	// a second and a half of prefill on today's engines, the slowdown that an
	// alert lookup would notice.
	DefaultLongPrompt Tokens = 32 * 1024
	// DefaultReportLag is how old an engine's report may be.
	DefaultReportLag = 2 * clock.Second
	// poll is how soon the next tick is due while requests are queued. It is below
	// lookahead, so that an engine's next prompt arrives before it runs dry.
	poll clock.Milli = 20
)

// Pool holds the tables of one pool and runs the systems over them. It is not
// safe for concurrent use.
type Pool struct {
	config Config
	start  clock.Milli
	// started is set by the first tick, which begins the rebuild.
	started, rebuilding bool
	ticked              clock.Milli

	byID map[UpstreamID]*upstream
	// upstreams is in ascending order of ids and matches the leaves of tree.
	upstreams []*upstream
	tree      tree
	// stale is set when upstreams came or left and the tree must be rebuilt.
	stale bool
	// largest is the memory of the largest engine, whole that of all engines that take work.
	largest, whole Tokens
	// plain is set while no upstream has KV memory: the pool is a plain service.
	plain bool
	// prefill and decode are the mean rated speeds, in tokens per millisecond.
	prefill, decode float64
	// speed is the mean of their observed speeds as a part of the rated, 1 if all keep it.
	speed    float64
	prefixes map[PrefixHash]holders

	workspaces map[WorkspaceID]*workspace
	lanes      [lanes]*lane
	queued     map[RequestID]*waiting
	expiries   heap[*waiting]
	arrivals   []Request
	claim      claim
	// shared is set while short work may enter the long side.
	shared bool

	grants map[GrantID]*grant
	live   map[RequestID]*grant
	ghosts map[RequestID]*grant
	timers heap[*grant]
	// reports numbers the reports of all upstreams.
	reports uint64
	issued  uint32
	// busy sums the prefill still pending by side, in milliseconds;
	// holding sums memory times duration of running long grants.
	busy    [2]float64
	holding float64

	demand demand
	shift  shift

	killers killers

	// usual is the smoothed duration of whole answers in milliseconds, slots sums
	// the slots of upstreams that take new work.
	usual float64
	slots int

	// spareGrants and spareWaiting are rows to reuse, so that a steady tick allocates nothing.
	spareGrants  []*grant
	spareWaiting []*waiting
	group        []*upstream
	ended        []Decision
	out          []Decision
}

// New returns an empty pool. Its rebuild begins with the first tick.
func New(c Config) *Pool {
	if c.LongPrompt <= 0 {
		c.LongPrompt = DefaultLongPrompt
	}
	if c.MinPerRole <= 0 {
		c.MinPerRole = 1
	}
	if c.ReportLag <= 0 {
		c.ReportLag = DefaultReportLag
	}
	p := &Pool{
		config:     c,
		byID:       make(map[UpstreamID]*upstream),
		prefixes:   make(map[PrefixHash]holders),
		workspaces: make(map[WorkspaceID]*workspace),
		queued:     make(map[RequestID]*waiting),
		grants:     make(map[GrantID]*grant),
		live:       make(map[RequestID]*grant),
		ghosts:     make(map[RequestID]*grant),
		killers:    killers{live: make(map[uint64]int), deaths: make(map[uint64]deaths)},
		rebuilding: c.Recovery > 0,
		shared:     true,
	}
	p.tree.resize(1)
	for i := range p.lanes {
		p.lanes[i] = newLane(i)
	}
	p.expiries.less = func(a, b *waiting) bool { return a.latest < b.latest }
	p.expiries.moved = func(w *waiting, i int) { w.expiry = i }
	p.timers.less = func(a, b *grant) bool { return a.check < b.check }
	p.timers.moved = func(g *grant, i int) { g.timer = i }
	return p
}

// SetUpstream adds an upstream or changes one. Marking it leaving takes effect
// at once: it keeps its grants and gets no new one.
func (p *Pool) SetUpstream(now clock.Milli, s Upstream) {
	u := p.byID[s.ID]
	if u == nil {
		u = &upstream{slow: 1, at: now, index: -1, self: []UpstreamID{s.ID}}
		p.byID[s.ID] = u
	}
	u.spec = s
	if s.Slots <= 0 {
		u.spec.Slots = 1
	}
	u.gone = false
	p.stale = true
}

// RemoveUpstream takes an upstream out. Its grants stay until they end; the memory
// of lapsed ones is forgotten with it.
func (p *Pool) RemoveUpstream(_ clock.Milli, id UpstreamID) {
	u := p.byID[id]
	if u == nil {
		return
	}
	u.gone = true
	u.index = -1 // its leaf may soon be another's
	p.stale = true
	p.forget(u)
	for i := len(u.grants) - 1; i >= 0; i-- {
		if g := u.grants[i]; g.ghost > 0 {
			p.detach(g, u)
		}
	}
	if len(u.grants) == 0 {
		delete(p.byID, id)
	}
}

// SetWorkspace sets the weight of a workspace.
func (p *Pool) SetWorkspace(_ clock.Milli, s Workspace) {
	if s.Weight < 1 {
		s.Weight = 1
	}
	w := p.workspaces[s.ID]
	if w == nil {
		p.workspaces[s.ID] = &workspace{spec: s}
		return
	}
	for _, f := range w.flows {
		if f != nil && f.place >= 0 {
			f.lane.weight += s.Weight - w.spec.Weight
		}
	}
	w.spec = s
}

// Submit hands in a request; the next tick admits or refuses it. A request that is
// queued already takes the new gate and deadline, and one that holds a grant
// gets the same grant again: the answer to the first call was lost.
func (p *Pool) Submit(_ clock.Milli, r Request) {
	p.arrivals = append(p.arrivals, r)
}

// Withdraw takes back a request that has no grant yet.
func (p *Pool) Withdraw(_ clock.Milli, id RequestID) {
	for i := range p.arrivals {
		if p.arrivals[i].ID == id {
			p.arrivals = slices.Delete(p.arrivals, i, i+1)
			break
		}
	}
	if w := p.queued[id]; w != nil {
		p.drop(w)
	}
}

// Tick runs every system once, in this order, and returns what was decided.
// The slice is reused by the next tick.
func (p *Pool) Tick(now clock.Milli) []Decision {
	p.out = p.out[:0]
	if !p.started {
		p.started, p.start = true, now
	}
	p.ticked = now
	p.settle(now)
	p.expire(now)
	p.admit(now)
	p.serve(now)
	p.move(now)
	return p.out
}

// Next tells when the next tick is due at the latest, if nothing is put in before.
func (p *Pool) Next(now clock.Milli) clock.Milli {
	next := p.shift.due
	if len(p.arrivals) > 0 || len(p.ended) > 0 || p.stale {
		return now
	}
	if g, ok := p.timers.first(); ok {
		next = min(next, g.check)
	}
	if w, ok := p.expiries.first(); ok {
		next = min(next, w.latest, now+poll)
	}
	return max(next, now+1)
}

// settle brings the tables up to date with what was put in since the last tick.
func (p *Pool) settle(now clock.Milli) {
	p.out = append(p.out, p.ended...)
	p.ended = p.ended[:0]
	if p.rebuilding && now-p.start >= p.config.Recovery {
		p.rebuilding = false
		p.stale = true
	}
	if p.stale {
		p.rebuild(now)
	}
}

// rebuild lays out the table of upstreams and the tree anew.
func (p *Pool) rebuild(now clock.Milli) {
	p.stale = false
	p.upstreams = p.upstreams[:0]
	for _, u := range p.byID {
		u.index = -1
		if !u.gone {
			p.upstreams = append(p.upstreams, u)
		}
	}
	slices.SortFunc(p.upstreams, func(a, b *upstream) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
	if p.tree.base < len(p.upstreams) || p.tree.base > 4*len(p.upstreams) {
		p.tree.resize(len(p.upstreams))
	}
	p.measure()
	p.sides()
	for i := range p.tree.base {
		if i >= len(p.upstreams) {
			p.tree.set(i, barred)
			continue
		}
		u := p.upstreams[i]
		u.index = i
		u.drain(now)
		p.touch(u)
	}
	if p.claim.holder != nil && !p.claimHolds() {
		p.release()
	}
}

// measure sums up the upstreams that take new work.
func (p *Pool) measure() {
	p.largest, p.whole, p.prefill, p.decode, p.slots, p.speed = 0, 0, 0, 0, 0, 0
	taking := 0
	p.plain = true
	for _, u := range p.upstreams {
		if u.leaving() {
			continue
		}
		taking++
		p.slots += u.spec.Slots
		p.speed += 1 / u.slow
		memory := u.spec.Memory
		if memory == 0 {
			memory = unlimited
		} else {
			p.plain = false
		}
		p.largest = max(p.largest, memory)
		p.whole += memory
		p.prefill += float64(u.spec.Prefill) / 1000
		p.decode += float64(u.spec.Decode) / 1000
	}
	p.shift.taking = taking
	if taking > 0 {
		p.prefill /= float64(taking)
		p.decode /= float64(taking)
		p.speed /= float64(taking)
	}
	if p.prefill <= 0 {
		p.prefill = plainRate
	}
	if p.decode <= 0 {
		p.decode = plainRate
	}
}

// isLong tells whether a prompt belongs to the long side. A plain service has no
// prefill, so a large body is no reason to hold it back.
func (p *Pool) isLong(prompt Tokens) bool { return prompt >= p.config.LongPrompt && !p.plain }

// drop takes a request out of the queue and frees its row.
func (p *Pool) drop(w *waiting) {
	p.dequeue(w)
	*w = waiting{}
	p.spareWaiting = append(p.spareWaiting, w)
}

package decide

import (
	"slices"
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
)

const (
	// DefaultLongPrompt is the prompt length from which a request counts as long: about 1.5 s of
	// prefill on current engines, a noticeable delay for an urgent request behind it.
	DefaultLongPrompt Tokens = 32 * 1024
	// DefaultReportLag is the default maximum age of an engine's report.
	DefaultReportLag = 2 * clock.Second
	// pollInterval is the maximum time to the next tick while requests are queued. It is below
	// lookahead, so that an engine receives its next prompt before it idles.
	pollInterval clock.Milli = 20
)

// Pool contains the tables of one pool and makes its decisions. It is not safe for concurrent use.
type Pool struct {
	config Config
	start  clock.Milli
	// started is set by the first tick. recovering is set from then on for Config.Recovery, while
	// gates present the grants of the earlier owner.
	started, recovering bool
	ticked              clock.Milli

	byID map[UpstreamID]*upstream
	// upstreams is in ascending order of ids and corresponds to the leaves of tree.
	upstreams []*upstream
	tree      tree
	// treeStale is set if the set of upstreams or their sides changed and upstreams and tree must
	// be rebuilt.
	treeStale bool
	// largestMemory is the KV memory of the largest engine, totalMemory that of all engines that
	// accept work.
	largestMemory, totalMemory Tokens
	// plainService is set if no upstream that accepts work has KV memory.
	plainService bool
	// prefill and decode are the mean rated speeds, in tokens per millisecond.
	prefill, decode float64
	// meanSpeed is the mean of the observed speeds relative to the rated ones; 1 if all upstreams
	// run at their rated speed.
	meanSpeed float64
	prefixes  map[PrefixHash]cachedOn

	workspaces map[WorkspaceID]*workspace
	lanes      [lanes]*lane
	queued     map[RequestID]*waiting
	expiries   heap[*waiting]
	arrivals   []Request
	earmark    earmark
	// longSideShared is set while short work may be placed on the long side.
	longSideShared bool

	grants  map[GrantID]*grant
	live    map[RequestID]*grant
	orphans map[RequestID]*grant
	timers  heap[*grant]
	// reportSeq is the number of reports received from all upstreams.
	reportSeq uint64
	grantSeq  uint32
	// pendingPrefill is the total prefill granted but not finished, by side, in milliseconds.
	// longMemoryTime is the total memory times duration of running long grants, in
	// token-milliseconds.
	pendingPrefill [2]float64
	longMemoryTime float64

	demand     demand
	boundaries boundaries

	crashes crashTable
	// parts knows the parts of requests that crash upstreams. aside are the queued requests that wait for the answer to
	// another one with the same suspect part or the same content; they are in no lane.
	parts *blame.Table
	aside []*waiting

	// answerTime is the smoothed duration of complete answers in milliseconds. slots is the total
	// number of slots of upstreams that accept new work.
	answerTime float64
	slots      int

	// attempt is set in a copy that explains a request, nil in all others.
	attempt *placementAttempt

	// spareGrants and spareWaiting are rows for reuse, so that a tick in steady state does not
	// allocate.
	spareGrants      []*grant
	spareWaiting     []*waiting
	groupBuffer      []*upstream
	pendingDecisions []Decision
	decisions        []Decision
}

// New returns an empty pool. The recovery period of Config.Recovery begins with the first tick.
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
		config:         c,
		byID:           make(map[UpstreamID]*upstream),
		prefixes:       make(map[PrefixHash]cachedOn),
		workspaces:     make(map[WorkspaceID]*workspace),
		queued:         make(map[RequestID]*waiting),
		grants:         make(map[GrantID]*grant),
		live:           make(map[RequestID]*grant),
		orphans:        make(map[RequestID]*grant),
		crashes:        crashTable{running: make(map[uint64]int), byFingerprint: make(map[uint64]crashEntry)},
		parts:          blame.New(),
		recovering:     c.Recovery > 0,
		longSideShared: true,
	}
	p.tree.resize(1)
	for i := range p.lanes {
		p.lanes[i] = newLane(i)
	}
	p.expiries.less = func(a, b *waiting) bool { return a.latestStart < b.latestStart }
	p.expiries.moved = func(w *waiting, i int) { w.expiryIndex = i }
	p.timers.less = func(a, b *grant) bool { return a.checkAt < b.checkAt }
	p.timers.moved = func(g *grant, i int) { g.timerIndex = i }
	return p
}

// SetUpstream adds or updates an upstream. An upstream marked as leaving receives no new grants
// from now on and keeps those that it has.
func (p *Pool) SetUpstream(now clock.Milli, s Upstream) {
	u := p.byID[s.ID]
	if u == nil {
		u = &upstream{slowdown: 1, drainedAt: now, index: -1, idList: []UpstreamID{s.ID}}
		p.byID[s.ID] = u
	}
	u.spec = s
	if s.Slots <= 0 {
		u.spec.Slots = 1
	}
	u.removed = false
	p.treeStale = true
}

// RemoveUpstream removes an upstream. Its live grants stay until they end; memory reserved for its
// orphaned grants is released.
func (p *Pool) RemoveUpstream(_ clock.Milli, id UpstreamID) {
	u := p.byID[id]
	if u == nil {
		return
	}
	u.removed = true
	u.index = -1 // its leaf may be reassigned
	p.treeStale = true
	p.clearHints(u)
	for i := len(u.grants) - 1; i >= 0; i-- {
		if g := u.grants[i]; g.orphanedAt > 0 {
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
		if f != nil && f.heapIndex >= 0 {
			f.lane.weight += s.Weight - w.spec.Weight
		}
	}
	w.spec = s
}

// Submit enters a request, which the next tick admits or refuses. A repeated call of a queued
// request, whose first answer was lost, updates the gate; one of a request with a live grant
// returns that grant again.
func (p *Pool) Submit(_ clock.Milli, r Request) {
	p.arrivals = append(p.arrivals, r)
}

// Withdraw removes a request that has no grant yet.
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

// Tick processes all tables once, in a fixed order, and returns the decisions. The slice is reused
// by the next tick.
func (p *Pool) Tick(now clock.Milli) []Decision {
	p.decisions = p.decisions[:0]
	if !p.started {
		p.started, p.start = true, now
	}
	p.ticked = now
	p.applyChanges(now)
	p.expire(now)
	p.admit(now)
	p.serveQueues(now)
	p.moveBoundaries(now)
	return p.decisions
}

// Next returns the time of the next required tick, provided that nothing is entered before.
func (p *Pool) Next(now clock.Milli) clock.Milli {
	next := p.boundaries.nextMove
	if len(p.arrivals) > 0 || len(p.pendingDecisions) > 0 || p.treeStale {
		return now
	}
	if g, ok := p.timers.first(); ok {
		next = min(next, g.checkAt)
	}
	if w, ok := p.expiries.first(); ok {
		next = min(next, w.latestStart, now+pollInterval)
	}
	return max(next, now+1)
}

// applyChanges applies the changes entered since the last tick to the tables.
func (p *Pool) applyChanges(now clock.Milli) {
	p.decisions = append(p.decisions, p.pendingDecisions...)
	p.pendingDecisions = p.pendingDecisions[:0]
	if p.recovering && now-p.start >= p.config.Recovery {
		p.recovering = false
		p.treeStale = true
	}
	if p.treeStale {
		p.rebuildTables(now)
	}
}

// rebuildTables rebuilds the ordered list of upstreams and the tree.
func (p *Pool) rebuildTables(now clock.Milli) {
	p.treeStale = false
	p.upstreams = p.upstreams[:0]
	for _, u := range p.byID {
		u.index = -1
		if !u.removed {
			p.upstreams = append(p.upstreams, u)
		}
	}
	slices.SortFunc(p.upstreams, func(a, b *upstream) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
	if p.tree.base < len(p.upstreams) || p.tree.base > 4*len(p.upstreams) {
		p.tree.resize(len(p.upstreams))
	}
	p.updateTotals()
	p.assignSides()
	for i := range p.tree.base {
		if i >= len(p.upstreams) {
			p.tree.set(i, closedNode)
			continue
		}
		u := p.upstreams[i]
		u.index = i
		u.drain(now)
		p.updateLeaf(u)
	}
	if p.earmark.request != nil && !p.earmarkValid() {
		p.releaseEarmark()
	}
}

// updateTotals recomputes the totals and means of the upstreams that accept new work.
func (p *Pool) updateTotals() {
	p.largestMemory, p.totalMemory, p.prefill, p.decode, p.slots, p.meanSpeed = 0, 0, 0, 0, 0, 0
	accepting := 0
	p.plainService = true
	for _, u := range p.upstreams {
		if u.leaving() {
			continue
		}
		accepting++
		p.slots += u.spec.Slots
		p.meanSpeed += 1 / u.slowdown
		memory := u.spec.Memory
		if memory == 0 {
			memory = unlimitedMemory
		} else {
			p.plainService = false
		}
		p.largestMemory = max(p.largestMemory, memory)
		p.totalMemory += memory
		p.prefill += float64(u.spec.Prefill) / 1000
		p.decode += float64(u.spec.Decode) / 1000
	}
	p.boundaries.accepting = accepting
	if accepting > 0 {
		p.prefill /= float64(accepting)
		p.decode /= float64(accepting)
		p.meanSpeed /= float64(accepting)
	}
	if p.prefill <= 0 {
		p.prefill = plainRate
	}
	if p.decode <= 0 {
		p.decode = plainRate
	}
}

// isLong reports whether a prompt counts as long. A plain service has no prefill, so there is no
// reason to hold back a large body.
func (p *Pool) isLong(prompt Tokens) bool { return prompt >= p.config.LongPrompt && !p.plainService }

// drop removes a request from the queue and releases its row.
func (p *Pool) drop(w *waiting) {
	p.dequeue(w)
	*w = waiting{}
	p.spareWaiting = append(p.spareWaiting, w)
}

package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
)

// side is the set that an upstream belongs to, which determines the work that it accepts.
type side uint8

const (
	anySide    side = iota // short work and urgent work
	longSide               // long work; short work only while no long work waits
	urgentSide             // urgent work; as little other prefill as possible
)

// upstream is a row of the table of upstreams.
type upstream struct {
	spec Upstream
	// idList contains only the id of the upstream. All grants on the upstream share it; it is never
	// modified.
	idList []UpstreamID
	// index is the position in Pool.upstreams and the leaf in Pool.tree, or -1.
	index int
	side  side
	// reserved is the memory of its live and orphaned grants. It never exceeds spec.Memory unless
	// grants of an earlier owner were adopted.
	reserved Tokens
	// reservedLong is the part of reserved that belongs to long grants.
	reservedLong Tokens
	// running is the number of its live and orphaned grants, runningUrgent that of the urgent ones,
	// longPrefilling that of the long ones without a first token that it leads.
	running, runningUrgent, longPrefilling int
	// backlog, shortBacklog and urgentBacklog are the estimated prompt tokens left to prefill at
	// drainedAt: of all grants, of all but the long ones, and of the urgent ones.
	backlog, shortBacklog, urgentBacklog float64
	drainedAt                            clock.Milli
	// pendingTokens, pendingShort and pendingUrgent are the corresponding totals of whole prompts:
	// a prompt counts in full until its first token.
	pendingTokens, pendingShort, pendingUrgent Tokens
	// nextOvertake is the time from which the next short prompt may overtake a long one that is
	// prefilled here.
	nextOvertake float64
	// slowdown is the factor by which it prefills slower than rated, as observed from its grants.
	slowdown float64
	// removed is set once the upstream was removed; the row stays while grants refer to it.
	removed bool
	// orderedRole is the role of the last order.
	orderedRole string
	// exclusive is set while a suspect runs on the upstream, which then accepts nothing else.
	exclusive bool
	// earmarked is the memory earmarked for a waiting request; zero if none.
	earmarked Tokens
	// grants contains its live and orphaned grants.
	grants []*grant
	// report is the last report of the engine. external is reported memory that no grant of this
	// owner accounts for, the lower value of the last two reports; lastExternal is the value of the
	// last report.
	report                 Report
	reported               bool
	external, lastExternal Tokens
	hints                  hints
}

// grant is a row of the table of grants.
type grant struct {
	Grant
	on []*upstream
	// grantedAt is when the grant was made or adopted, orphanedAt when it lapsed, zero if it is
	// live.
	grantedAt, orphanedAt clock.Milli
	// uncached is the part of the prompt, in tokens, that the upstream had to prefill.
	uncached Tokens
	// expectedFirst is the expected time to first token, in milliseconds, under assumedSlowdown,
	// the estimated slowdown of the upstream at the time of the grant.
	expectedFirst, assumedSlowdown float64
	gotFirst                       bool
	// firstAt is the time of the first token; zero before it.
	firstAt clock.Milli
	output  Tokens
	long    bool
	// listedIn is the number (Pool.reportSeq) of the last report of any upstream that listed the
	// request.
	listedIn uint64
	// prefixes are recorded as cached on the upstream once the first token came.
	prefixes []PrefixHash
	// parts are those of the request that others may share.
	parts []blame.Part
	// checkAt is the time of the next check by expire; timerIndex is the position in Pool.timers.
	checkAt    clock.Milli
	timerIndex int
}

// waiting is a row of the table of queued requests.
type waiting struct {
	Request
	flow *flow
	// shared are the parts of the request that others may share.
	shared []blame.Part
	// work is the prefill time and serviceTime the total time on an idle upstream, in milliseconds.
	work, serviceTime float64
	queuedAt          clock.Milli
	// latestStart is the latest start that still meets the deadline.
	latestStart clock.Milli
	// heapIndex and expiryIndex are the positions in the flow and in Pool.expiries.
	heapIndex, expiryIndex int
	// aside is set while the request is in Pool.aside and not in its flow.
	aside bool
}

// tokens is the amount charged in fair sharing.
func (w *waiting) tokens() Tokens { return w.Prompt + w.Output }

// memoryTime is the memory times the duration of the request, in token-milliseconds.
func (w *waiting) memoryTime() float64 { return float64(w.tokens()) * w.serviceTime }

// workspace is a row of the table of workspaces.
type workspace struct {
	spec  Workspace
	flows [lanes]*flow
}

// freeMemory is the memory available to new grants.
func (p *Pool) freeMemory(u *upstream) Tokens {
	if u.spec.Memory == 0 {
		return unlimitedMemory
	}
	free := u.spec.Memory - u.reserved - u.external
	if p.recovering {
		if !u.reported {
			return closed
		}
		free = min(free, u.spec.Memory-u.report.Used)
	}
	return max(free, 0)
}

// unlimitedMemory is the free memory of a plain service, which has no KV cache.
const unlimitedMemory Tokens = 1 << 50

func (u *upstream) leaving() bool { return u.spec.Leaving || u.report.Leaving }

// rate is the observed prefill speed, in tokens per millisecond.
func (u *upstream) rate() float64 {
	if u.spec.Prefill <= 0 {
		return plainRate
	}
	return float64(u.spec.Prefill) / 1000 / u.slowdown
}

// plainRate is a prefill speed so large that the prefill of a plain service takes no time.
const plainRate = 1e9

// drain reduces the backlog by the prefill estimated to be done since drainedAt.
func (u *upstream) drain(now clock.Milli) {
	if now <= u.drainedAt {
		return
	}
	done := float64(now-u.drainedAt) * u.rate()
	urgentDone := min(u.urgentBacklog, done)
	u.urgentBacklog -= urgentDone
	u.shortBacklog = max(u.shortBacklog-done, u.urgentBacklog)
	u.backlog = max(u.backlog-done, u.shortBacklog)
	u.drainedAt = now
}

// leaf returns the tree node of an upstream.
func (p *Pool) leaf(u *upstream) node {
	if u.leaving() || u.exclusive || p.slotsFull(u) {
		return closedNode
	}
	n := closedNode
	free := p.freeMemory(u)
	n.rate = u.rate()
	n.urgentReady = float64(u.drainedAt) + u.urgentBacklog/n.rate
	n.shortReady = float64(u.drainedAt) + u.shortBacklog/n.rate
	if u.longPrefilling > 0 {
		n.shortReady = max(n.shortReady, u.nextOvertake)
	}
	n.ready = max(float64(u.drainedAt)+u.backlog/n.rate, n.shortReady)
	n.running = int32(u.running)
	n.runningUrgent = int32(u.runningUrgent)
	n.urgent = free
	n.interleave = defaultInterleave
	if u.side == urgentSide {
		n.interleave = urgentSideUse
	}
	if u.running == 0 {
		n.idle = free
	}
	// Short work may use earmarked memory while running long grants prevent the earmark from being
	// granted. Once these have ended, the last short requests finish within seconds.
	available := free
	if u.earmarked > 0 && u.reservedLong+u.earmarked <= u.spec.Memory {
		available = max(free-u.earmarked, closed)
	}
	switch u.side {
	case anySide:
		n.short = available
	case longSide:
		n.shortOnLong = available
		if u.longPrefilling < longPrefills && u.earmarked == 0 && !p.isOutlier(u) {
			n.long = available
		}
	case urgentSide:
		n.shortOnUrgent = available
	}
	return n
}

// slotsFull reports whether all slots are taken. During recovery the engine's own count is used
// where it is higher, since it may run grants of the earlier owner.
func (p *Pool) slotsFull(u *upstream) bool {
	running := u.running
	if p.recovering {
		running = max(running, len(u.report.Running))
	}
	return running >= u.spec.Slots
}

// updateLeaf updates the tree after a change of an upstream.
func (p *Pool) updateLeaf(u *upstream) {
	if p.treeStale || u.index < 0 {
		return
	}
	p.tree.set(u.index, p.leaf(u))
}

package decide

import "snipeshift.example/lib/clock"

// side tells which work an upstream is kept for.
type side uint8

const (
	anySide   side = iota // short work and urgent work
	longSide              // long work; short work only while no long work waits
	clearSide             // urgent work; kept clear of other prefill
)

// upstream is a row of the table of upstreams.
type upstream struct {
	spec Upstream
	// self is the list of its id alone, shared by all grants on it; never changed.
	self []UpstreamID
	// index is its place in Pool.upstreams and its leaf in Pool.tree, or -1.
	index int
	side  side
	// taken is the memory of its grants and ghosts; never above spec.Memory
	// unless grants of an earlier owner were adopted.
	taken Tokens
	// heavy is the part of taken that long grants hold.
	heavy Tokens
	// running counts its grants and ghosts, delicate the urgent ones,
	// prefilling the long ones that have no first token yet.
	running, delicate, prefilling int
	// ahead, early and soon are prompt tokens still to be prefilled at instant
	// at: all of them, those of all but long grants, and those of urgent grants.
	ahead, early, soon float64
	at                 clock.Milli
	// pending, brisk and hasty are the same sums, whole until the first token came.
	pending, brisk, hasty Tokens
	// shortNext is when the next short prompt may pass a long one that is prefilled here.
	shortNext float64
	// slow is how many times slower than rated it prefills, from its grants' progress.
	slow float64
	// gone is set once it was removed; the row stays while grants refer to it.
	gone bool
	// ordered is the role it was last ordered to take.
	ordered string
	// alone is set while a suspect runs on it.
	alone bool
	// claimed is memory that a waiting request holds a claim on; zero for none.
	claimed Tokens
	// grants holds its live grants and ghosts.
	grants []*grant
	// report is the engine's last word; foreign is memory it says others hold,
	// the lower of the last two reports.
	report         Report
	reported       bool
	foreign, prior Tokens
	hints          hints
}

// grant is a row of the table of grants.
type grant struct {
	Grant
	on []*upstream
	// made is when it was granted or adopted; ghost since when it lapsed, or zero.
	made, ghost clock.Milli
	// uncached is the part of the prompt that the upstream had to prefill.
	uncached Tokens
	// expect is how long the first token was expected to take, in milliseconds,
	// with the upstream's slowness thought to be slow.
	expect, slow float64
	first        bool
	output       Tokens
	long         bool
	// seen is the number of the last report, of any upstream, that listed it.
	seen uint64
	// prefixes are remembered as cached once the first token came.
	prefixes []PrefixHash
	// check is when the expire system looks at it next; timer is its place there.
	check clock.Milli
	timer int
}

// waiting is a row of the table of queued requests.
type waiting struct {
	Request
	flow *flow
	// work is its prefill time and total its whole time, in milliseconds, on an idle upstream.
	work, total float64
	since       clock.Milli
	// latest is the last instant at which a start still meets the deadline.
	latest clock.Milli
	// place and expiry are its positions in the flow and in Pool.expiries.
	place, expiry int
}

// tokens is what the request is charged in fair sharing.
func (w *waiting) tokens() Tokens { return w.Prompt + w.Output }

// hold is memory times duration that the request takes.
func (w *waiting) hold() float64 { return float64(w.tokens()) * w.total }

// workspace is a row of the table of workspaces.
type workspace struct {
	spec  Workspace
	flows [lanes]*flow
}

// free is the memory that new grants may take.
func (p *Pool) free(u *upstream) Tokens {
	if u.spec.Memory == 0 {
		return unlimited
	}
	free := u.spec.Memory - u.taken - u.foreign
	if p.rebuilding {
		if !u.reported {
			return closed
		}
		free = min(free, u.spec.Memory-u.report.Used)
	}
	return max(free, 0)
}

// unlimited is the free memory of a plain service, which holds no KV cache.
const unlimited Tokens = 1 << 50

func (u *upstream) leaving() bool { return u.spec.Leaving || u.report.Leaving }

// rate is its prefill speed as observed, in tokens per millisecond.
func (u *upstream) rate() float64 {
	if u.spec.Prefill <= 0 {
		return plainRate
	}
	return float64(u.spec.Prefill) / 1000 / u.slow
}

// plainRate makes the prefill of a plain service take no time.
const plainRate = 1e9

// drain moves the estimate of its work ahead on to now.
func (u *upstream) drain(now clock.Milli) {
	if now <= u.at {
		return
	}
	done := float64(now-u.at) * u.rate()
	hasty := min(u.soon, done)
	u.soon -= hasty
	u.early = max(u.early-done, u.soon)
	u.ahead = max(u.ahead-done, u.early)
	u.at = now
}

// leaf is what placing sees of an upstream.
func (p *Pool) leaf(u *upstream) node {
	if u.leaving() || u.alone || p.full(u) {
		return barred
	}
	n := barred
	free := p.free(u)
	n.rate = u.rate()
	n.soon = float64(u.at) + u.soon/n.rate
	n.early = float64(u.at) + u.early/n.rate
	if u.prefilling > 0 {
		n.early = max(n.early, u.shortNext)
	}
	n.ready = max(float64(u.at)+u.ahead/n.rate, n.early)
	n.running = int32(u.running)
	n.delicate = int32(u.delicate)
	n.urgent = free
	n.noise = sideNoise
	if u.side == clearSide {
		n.noise = clearUse
	}
	if u.running == 0 {
		n.idle = free
	}
	// Short work may pass a claim while long grants keep it from being redeemed
	// anyway; once they are gone the last short ones drain in seconds.
	rest := free
	if u.claimed > 0 && u.heavy+u.claimed <= u.spec.Memory {
		rest = max(free-u.claimed, closed)
	}
	switch u.side {
	case anySide:
		n.short = rest
	case longSide:
		n.shared = rest
		if u.prefilling < longPrefills && u.claimed == 0 && !p.straggles(u) {
			n.long = rest
		}
	case clearSide:
		n.fill = rest
	}
	return n
}

// full tells whether all slots are taken. During a rebuild the engine's own
// count is believed where it is higher, for it may run grants of the earlier owner.
func (p *Pool) full(u *upstream) bool {
	running := u.running
	if p.rebuilding {
		running = max(running, len(u.report.Running))
	}
	return running >= u.spec.Slots
}

// touch makes placing see a changed upstream.
func (p *Pool) touch(u *upstream) {
	if p.stale || u.index < 0 {
		return
	}
	p.tree.set(u.index, p.leaf(u))
}

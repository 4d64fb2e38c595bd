package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
)

// After a power loss of all VMs, engines go on writing answers for clients that have disconnected.
// A new owner has no grants for that work, so it polls the engines for their load and counts what
// they report beyond its own grants as external load.

// limitedPollInterval is the least time between two polls of an upstream that declares a rate
// limit: it may count polls as requests.
const limitedPollInterval = clock.Second

// rejectedPause is how long an upstream that had no room is excluded: about the time until its next
// load report arrives.
const rejectedPause clock.Milli = 150

// pollInterval is the least time between two polls of one upstream. Reports are about 200 ms old,
// and each poll costs the upstream a little.
const pollInterval = 300 * clock.Milli(1)

// TakeDuePolls returns up to limit upstreams to be polled for their load and marks them as polled.
// These are: upstreams whose load is unverified, which includes all of a new owner's and those that
// rejected a request; upstreams with external load; and those that are slow or suspected to be.
// Unverified engines get no requests until they have reported, or are known not to report, so they
// come first. Within each group the one polled longest ago comes first. The gate is that of the
// polling VM, which does not poll upstreams that asked it for a back-off.
func (p *Pool) TakeDuePolls(now clock.Milli, gate decide.GateID, limit int) []decide.UpstreamID {
	if !scanDue(p.pollsListed, now, len(p.packOrder)) {
		return nil
	}
	p.pollsListed = now
	var ups []*upstreamState
	for _, r := range p.pollCandidates() {
		switch {
		case !r.unverified && r.external == 0 && !r.reportWanted && !r.reportsSlow():
		case r.draining() || !r.pollable(now):
		case now < r.declared.backOffUntil(gate):
			p.AssumeVerified(r.ID)
		default:
			ups = append(ups, r)
		}
	}
	if len(ups) > limit {
		slices.SortStableFunc(ups, func(x, y *upstreamState) int {
			if x.unverified != y.unverified {
				return firstIf(x.unverified)
			}
			return cmp.Compare(x.polledAt, y.polledAt)
		})
		ups = ups[:limit]
	}
	var ids []decide.UpstreamID
	for _, r := range ups {
		r.polledAt = now
		ids = append(ids, r.ID)
	}
	return ids
}

// firstIf returns -1, for use in comparisons, if first is true, and 1 otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// UrgentPollsDue reports whether polls are due of upstreams that get no requests, or fewer than
// they could accept, until they report.
func (p *Pool) UrgentPollsDue(now clock.Milli) bool {
	return slices.ContainsFunc(p.pollCandidates(), func(r *upstreamState) bool {
		return (r.unverified || r.external > 0) && !r.draining() && r.pollable(now)
	})
}

// pollCandidates lists the upstreams that the owner may poll.
func (p *Pool) pollCandidates() []*upstreamState {
	if p.isolation.on {
		return p.isolatedUpstreams()
	}
	return p.packOrder
}

// pollable reports whether the upstream may be polled again.
func (r *upstreamState) pollable(now clock.Milli) bool {
	minInterval := pollInterval
	if r.declared.limit.Limited(now) {
		minInterval = limitedPollInterval
	}
	return r.polledAt == 0 || now-r.polledAt >= minInterval
}

// MarkUnverified marks the load of all upstreams as unverified, because the pool has a new owner.
func (p *Pool) MarkUnverified() {
	p.expectRecovery(true)
	for _, r := range p.packOrder {
		r.unverified = true
	}
}

// arrivalTime is the time in milliseconds from a grant to the arrival of its request at the
// upstream: two messages between VMs of a region, and one to the upstream.
const arrivalTime clock.Milli = 10

// Report processes the load that an upstream reports. The report is some hundred milliseconds old:
// it lacks requests granted since and still counts requests ended since. Only load beyond the
// grants of the time of the report is external.
func (p *Pool) Report(now clock.Milli, id decide.UpstreamID, l exchange.Load) {
	r := p.upstreams[id]
	if r == nil || r.pastIncarnation(l.Born) {
		return
	}
	if r.newIncarnation(l.Born) {
		p.clearHolders(r)
		r.restart(l.Born)
		p.beginWarmUp(now, r, now+p.warmUpTime)
	}
	r.noteReport(now, l.Requests)
	r.reportedAt = now
	inQuestion := r.unverified || r.external > 0 || r.reportWanted
	r.unverified, r.reportWanted = false, false
	p.setPace(r, max(1, l.Pace))
	p.noteReportedPace(now, r)
	if !inQuestion {
		// The upstream was polled for its pace only, and its load is not in question.
		return
	}
	requests, used := r.accountedFor(now)
	r.external, r.externalUsed = max(0, l.Requests-requests), 0
	if r.external > 0 {
		r.externalUsed = max(0, l.Used-used)
	}
}

// accountedFor returns how many of the requests, and how much of the KV memory in tokens, in a
// report that arrives now are accounted for by grants. It is not specified whether engines count
// the parts that they compute for other engines; they are assumed to.
func (r *upstreamState) accountedFor(now clock.Milli) (requests int, used decide.Tokens) {
	reportedAt := now
	if r.engine != nil {
		reportedAt -= r.engine.Lag
	}
	for _, g := range r.grants {
		if !g.presented && g.grantedAt+arrivalTime > reportedAt {
			continue
		}
		requests++
		if !g.leads(r) {
			used += g.reserved(r)
			continue
		}
		used += g.Grant.Prompt + g.Grant.Output - totalReserved(g.Grant.Helpers)
	}
	for _, end := range r.recentEnds {
		if end > reportedAt {
			requests++
		}
	}
	return requests, used
}

// noteEnded records that a request, or its part, has ended here.
func (r *upstreamState) noteEnded(now clock.Milli) {
	if r.engine == nil {
		return
	}
	outdated := 0
	for outdated < len(r.recentEnds) && r.recentEnds[outdated] <= now-r.engine.Lag-arrivalTime {
		outdated++
	}
	r.recentEnds = append(r.recentEnds[outdated:], now)
}

// AssumeVerified accepts an upstream that does not report its load as verified, without external
// load.
func (p *Pool) AssumeVerified(id decide.UpstreamID) {
	if r := p.upstreams[id]; r != nil {
		r.unverified, r.reportWanted, r.external, r.externalUsed = false, false, 0, 0
	}
}

// noteRejected records that an upstream had no room although its grants leave some.
func (r *upstreamState) noteRejected(now clock.Milli) {
	r.unverified = true
	r.health.excludedUntil = max(r.health.excludedUntil, now+rejectedPause)
}

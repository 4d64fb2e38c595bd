package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/statement"
)

// An owner that stops passes its whole state to its successor. Otherwise the successor would have
// to wait up to a second until the gates have presented their live grants. Times are passed as
// durations because the clocks of two VMs differ.

// Snapshot is the state of an owner that its successor can't obtain from gates and upstreams.
type Snapshot struct {
	Grants    []GrantSnapshot
	Upstreams []UpstreamSnapshot
	// Busy and Served are averages of the spare time of engines: the share that is busy, and the
	// rate at which late short requests are placed.
	Busy, Served float64
	// Saved is the prefill time saved for large prompts, Mean the mean prefill time of long
	// prompts, both in milliseconds. LargeRefused and OthersRefused are the shares of large and of
	// other long prompts that were refused.
	Saved, Mean, LargeRefused, OthersRefused float64
	// Budget is the state of the retry budget.
	Budget gate.BudgetSnapshot
	// Crashes are those that speak against parts of prompts.
	Crashes []blame.Crash
	// Shares is the account of workspaces; nil if shares are not enabled.
	Shares *share.Snapshot
	// Bookings are those of refused clients. Booked are queued requests that have taken theirs.
	Bookings []booking.Saved
	Booked   []decide.RequestID
	// LearnedFull is the learned pace of nearly full engines, of all together.
	LearnedFull locality.SavedPace
}

// GrantSnapshot is one live grant in a snapshot.
type GrantSnapshot struct {
	Live LiveGrant
	// Age is the time since the grant was made, Unheard the time since its gate last named it.
	Age, Unheard clock.Milli
	Workspace    decide.WorkspaceID
	Suspect      bool
	Parts        []blame.Part
}

// UpstreamSnapshot is the state of one upstream in a snapshot, derived from outcomes, reports and
// statements.
type UpstreamSnapshot struct {
	Upstream decide.UpstreamID
	Born     decide.Incarnation
	// Debt is the backlog of prefill time in milliseconds.
	Debt float64
	// Strikes counts failures since the last success. Shut is how long the upstream is still
	// excluded, and Rest the length of its last exclusion.
	Strikes    int
	Shut, Rest clock.Milli
	// Helps is how long the upstream is still not used as a helper, and Declined the length of the
	// last such pause.
	Helps, Declined clock.Milli
	Foreign         int
	ForeignUsed     decide.Tokens
	Pace            float64
	// Doubtful is set if the load is unverified, Suspected if a report is wanted.
	Doubtful, Suspected bool
	// Statements are what the upstream declared about itself. Allowed is how many requests its rate
	// limit admits now.
	Statements []statement.Message
	Allowed    float64
	// Cold is how much longer the upstream is cold.
	Cold clock.Milli
	// Shed is set if a probe request has to show whether the upstream accepts requests again.
	Shed bool
	// Learned is the learned pace.
	Learned locality.SavedPace
}

// Snapshot returns the state for the next owner.
func (p *Pool) Snapshot(now clock.Milli) Snapshot {
	p.expire(now)
	b := Snapshot{
		Busy: p.headroom.busy, Served: p.headroom.placeRate,
		Saved: p.largeReserve.savedPrefill, Mean: p.largeReserve.meanPrefill, LargeRefused: p.largeReserve.large.refused, OthersRefused: p.largeReserve.others.refused,
		Budget: p.budget.Snapshot(now), Crashes: p.parts.Whole(now), Shares: p.snapshotShares(now),
	}
	b.Bookings, b.Booked = p.savedBookings(now)
	b.LearnedFull = p.locality.full.Save(now)
	for _, g := range p.grants {
		b.Grants = append(b.Grants, GrantSnapshot{
			Live: g.LiveGrant, Age: now - g.grantedAt, Unheard: now - g.namedAt, Workspace: g.ask.Workspace, Suspect: g.ask.Suspect, Parts: g.ask.Parts,
		})
	}
	for _, r := range p.packOrder {
		c := UpstreamSnapshot{
			Upstream: r.ID, Born: r.Born, Debt: max(0, r.prefillUntil-float64(now)),
			Strikes: r.health.failures, Shut: max(0, r.health.excludedUntil-now), Rest: r.health.lastExclusion,
			Helps: max(0, r.health.helpsFrom-now), Declined: r.health.declinePause,
			Foreign: r.external, ForeignUsed: r.externalUsed, Pace: r.pace, Doubtful: r.unverified, Suspected: r.reportWanted,
		}
		c.Statements, c.Allowed, c.Shed = r.declared.statements(now, r.ID), r.declared.limit.Level(now), r.declared.shedding
		c.Cold, c.Learned = r.warmUp.left(now), r.learned.Save(now)
		b.Upstreams = append(b.Upstreams, c)
	}
	return b
}

// Restore adds the snapshot of the previous owner. Grants that are known here already are not added
// again.
func (p *Pool) Restore(now clock.Milli, b Snapshot) {
	for _, l := range b.Grants {
		g := p.grants[l.Live.Grant.Request]
		if g == nil {
			g = p.addGrant(now, l.Live, Ask{ID: l.Live.Grant.Request, Gate: l.Live.Grant.Gate, Workspace: l.Workspace, Suspect: l.Suspect, Parts: l.Parts})
		}
		g.grantedAt, g.namedAt = now-l.Age, now-l.Unheard
		for _, r := range g.upstreams {
			p.removeHolder(r, l.Live.Grant.Request)
			p.addHolder(r, g)
		}
	}
	for _, c := range b.Upstreams {
		r := p.upstreams[c.Upstream]
		if r == nil || r.pastIncarnation(c.Born) || r.newIncarnation(c.Born) {
			continue
		}
		for _, a := range c.Statements {
			if r.declared.learn(now, a.Statement(now)) && a.Kind == statement.Limit {
				r.declared.limit.Restore(now, c.Allowed)
			}
		}
		r.declared.shedding = r.declared.shedding || c.Shed
		p.beginWarmUp(now, r, now+c.Cold)
		r.refresh()
		r.prefillUntil = float64(now) + c.Debt
		r.health = health{failures: c.Strikes, lastExclusion: c.Rest, declinePause: c.Declined}
		if c.Shut > 0 {
			r.health.excludedUntil = now + c.Shut
		}
		if c.Helps > 0 {
			r.health.helpsFrom = now + c.Helps
		}
		r.external, r.externalUsed = c.Foreign, c.ForeignUsed
		p.setPace(r, c.Pace)
		r.unverified, r.reportWanted = c.Doubtful, c.Suspected
		p.restorePace(now, r, c.Learned)
	}
	p.budget.Restore(now, b.Budget)
	p.parts.Merge(now, b.Crashes)
	p.restoreShares(now, b.Shares)
	p.restoreBookings(now, b.Bookings, b.Booked)
	p.cancelRecovery()
	if p.locality.on {
		p.locality.full = locality.RestorePace(now, b.LearnedFull)
	}
	p.headroom = headroom{busy: b.Busy, at: now, engines: p.headroom.engines, placeRate: b.Served}
	p.largeReserve.savedPrefill, p.largeReserve.meanPrefill = b.Saved, b.Mean
	p.largeReserve.large.refused, p.largeReserve.others.refused = b.LargeRefused, b.OthersRefused
}

// RequestReports requests load reports of all engines and places requests on them meanwhile. It is
// for a new owner whose predecessor was lost, perhaps together with gates whose requests still run.
func (p *Pool) RequestReports() {
	p.expectRecovery(false)
	for _, r := range p.packOrder {
		r.unverified, r.reportWanted = false, r.engine != nil
	}
}

package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
)

// An owner that stops hands its books over whole: gates would tell its successor only within a second what runs. Instants travel as spans, for
// clocks of two VMs differ.

// Snapshot is all that one owner of a service knows and another one cannot ask for.
type Snapshot struct {
	Grants    []GrantSnapshot
	Upstreams []UpstreamSnapshot
	// Busy and Served are the averages that tell how much time engines have to spare.
	Busy, Served float64
	// Saved, Mean, LargeRefused and OthersRefused are what is kept for large prompts, and why.
	Saved, Mean, LargeRefused, OthersRefused float64
}

// GrantSnapshot is one live grant.
type GrantSnapshot struct {
	Live LiveGrant
	// Age is the time since it was made, Unheard since its gate named it last.
	Age, Unheard clock.Milli
	Workspace    decide.WorkspaceID
	Suspect      bool
}

// UpstreamSnapshot is what the outcomes and reports of one upstream say of it.
type UpstreamSnapshot struct {
	Upstream decide.UpstreamID
	Born     decide.Incarnation
	// Debt is the reading in milliseconds that should be left there.
	Debt float64
	// Strikes, Shut and Rest are its health; Shut is how long it is still left alone.
	Strikes    int
	Shut, Rest clock.Milli
	// Helps is how long it is still not asked to read parts for others, Declined the length of that time.
	Helps, Declined clock.Milli
	Foreign         int
	ForeignUsed     decide.Tokens
	Pace            float64
	// Doubtful and Suspected ask for its report.
	Doubtful, Suspected bool
	// Statements are what it says of itself, and Allowed how many requests may be granted now by the limit that it names.
	Statements []statement.Message
	Allowed    float64
	// Shed is set if a request is to show whether it takes any again.
	Shed bool
}

// Snapshot returns what the next owner is to know.
func (p *Pool) Snapshot(now clock.Milli) Snapshot {
	p.expire(now)
	b := Snapshot{
		Busy: p.headroom.busy, Served: p.headroom.served,
		Saved: p.large.saved, Mean: p.large.mean, LargeRefused: p.large.large.refused, OthersRefused: p.large.others.refused,
	}
	for _, g := range p.grants {
		b.Grants = append(b.Grants, GrantSnapshot{
			Live: g.LiveGrant, Age: now - g.at, Unheard: now - g.heard, Workspace: g.ask.Workspace, Suspect: g.ask.Suspect,
		})
	}
	for _, r := range p.order {
		c := UpstreamSnapshot{
			Upstream: r.ID, Born: r.Born, Debt: max(0, r.until-float64(now)),
			Strikes: r.health.strikes, Shut: max(0, r.health.until-now), Rest: r.health.last,
			Helps: max(0, r.health.helps-now), Declined: r.health.declined,
			Foreign: r.foreign, ForeignUsed: r.foreignUsed, Pace: r.pace, Doubtful: r.doubtful, Suspected: r.suspected,
		}
		c.Statements, c.Allowed, c.Shed = r.declared.statements(now, r.ID), r.declared.limit.Level(now), r.declared.shed
		b.Upstreams = append(b.Upstreams, c)
	}
	return b
}

// Restore takes the books of the owner before. What is known here already stays.
func (p *Pool) Restore(now clock.Milli, b Snapshot) {
	for _, l := range b.Grants {
		g := p.grants[l.Live.Grant.Request]
		if g == nil {
			g = p.adopt(now, l.Live, Ask{ID: l.Live.Grant.Request, Gate: l.Live.Grant.Gate, Workspace: l.Workspace, Suspect: l.Suspect})
		}
		g.at, g.heard = now-l.Age, now-l.Unheard
	}
	for _, c := range b.Upstreams {
		r := p.rows[c.Upstream]
		if r == nil || r.earlier(c.Born) || r.newer(c.Born) {
			continue
		}
		for _, a := range c.Statements {
			if r.declared.learn(now, a.Statement(now)) && a.Kind == statement.Limit {
				r.declared.limit.Restore(now, c.Allowed)
			}
		}
		r.declared.shed = r.declared.shed || c.Shed
		r.refresh()
		r.until = float64(now) + c.Debt
		r.health = health{strikes: c.Strikes, last: c.Rest, declined: c.Declined}
		if c.Shut > 0 {
			r.health.until = now + c.Shut
		}
		if c.Helps > 0 {
			r.health.helps = now + c.Helps
		}
		r.foreign, r.foreignUsed, r.pace = c.Foreign, c.ForeignUsed, c.Pace
		r.doubtful, r.suspected = c.Doubtful, c.Suspected
	}
	p.headroom = headroom{busy: b.Busy, at: now, engines: p.headroom.engines, served: b.Served}
	p.large.saved, p.large.mean = b.Saved, b.Mean
	p.large.large.refused, p.large.others.refused = b.LargeRefused, b.OthersRefused
}

// RequestReports asks for the reports of all upstreams, and uses them meanwhile: the owner before is lost, and with it perhaps gates whose
// requests still run.
func (p *Pool) RequestReports() {
	for _, r := range p.order {
		r.doubtful, r.suspected = false, r.engine != nil
	}
}

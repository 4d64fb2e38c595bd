package decide

import "snipeshift.example/lib/clock"

const (
	// learn is the weight of one observation of speed: five in a row move the
	// estimate by two thirds, one odd prompt moves it little.
	learn = 0.2
	// notable is the least expected time to first token, in milliseconds, that
	// tells anything about speed; below it round trips dominate.
	notable = 50
	// patience is how far over its expected time a first token must be before
	// its absence counts as an observation.
	patience = 2
	// slowest bounds the estimate, so that a recovered upstream, which then gets
	// a little work, is believed again within some ten requests.
	slowest = 16
	// outlier is the slowness, relative to the pool's, from which no long prompt
	// leads on an upstream: it would hold its memory for minutes. Relative, for
	// where all are slower than rated none may be shut out.
	outlier = 2.5
)

// Report takes an engine's own word on its load. It frees the memory of lapsed
// grants that the engine no longer lists, and shows memory that others hold.
func (p *Pool) Report(now clock.Milli, id UpstreamID, r Report) {
	u := p.byID[id]
	if u == nil {
		return
	}
	wasLeaving := u.leaving()
	// The caller may reuse its slice.
	running := u.report.Running[:0]
	running = append(running, r.Running...)
	u.report = r
	u.report.Running = running
	u.reported = true
	ours := p.listed(u)
	for i := len(u.grants) - 1; i >= 0; i-- {
		g := u.grants[i]
		if g.ghost > 0 && g.seen != p.reports && r.At-p.config.ReportLag >= g.ghost {
			p.detach(g, u)
		}
	}
	// A request that ended while the report was under way looks like a
	// stranger's memory, but only in one report.
	strange := max(r.Used-ours, 0)
	u.foreign, u.prior = min(strange, u.prior), strange
	if u.leaving() != wasLeaving {
		p.stale = true
	}
	u.drain(now)
	p.touch(u)
}

// listed marks the grants that the last report of u lists and sums their memory.
func (p *Pool) listed(u *upstream) Tokens {
	p.reports++
	var sum Tokens
	for _, id := range u.report.Running {
		for _, g := range [...]*grant{p.live[id], p.ghosts[id]} {
			if g != nil && holds(g, u) {
				g.seen = p.reports
				sum += g.Reserved
			}
		}
	}
	return sum
}

func holds(g *grant, u *upstream) bool {
	for _, o := range g.on {
		if o == u {
			return true
		}
	}
	return false
}

// Progress takes what a gate has seen of a live grant; with first, now is the
// instant of the first token, which may lie before the last tick. The first token tells how
// fast the upstream really prefills: a slow upstream's own report would show it
// as lightly loaded, since it holds few requests, and attract more.
func (p *Pool) Progress(now clock.Milli, id GrantID, first bool, output Tokens) {
	g := p.grants[id]
	if g == nil || g.ghost > 0 {
		return
	}
	g.output = max(g.output, output)
	if !first || g.first {
		return
	}
	u := g.on[0]
	if g.expect >= notable {
		p.observe(now, u, g.slow*float64(now-g.made)/g.expect)
	}
	p.unlead(now, g)
	for _, x := range g.prefixes {
		p.cached(u, x)
	}
	p.touch(u)
}

// overdue counts the absence of a first token as an observation.
func (p *Pool) overdue(now clock.Milli, g *grant) {
	if g.first || g.expect < notable {
		return
	}
	waited := float64(now-g.made-p.config.ProgressDelay) / g.expect
	if waited < patience || len(g.on) == 0 {
		return
	}
	p.observe(now, g.on[0], g.slow*waited)
	p.touch(g.on[0])
}

// observe moves the estimate of an upstream's slowness toward what was seen.
func (p *Pool) observe(now clock.Milli, u *upstream, seen float64) {
	u.drain(now)
	before, straggled := 1/u.slow, p.straggles(u)
	u.slow += learn * (seen - u.slow)
	u.slow = min(max(u.slow, 1), slowest)
	if !u.gone && !u.leaving() && p.shift.taking > 0 {
		p.speed += (1/u.slow - before) / float64(p.shift.taking)
	}
	if p.straggles(u) != straggled {
		p.shift.again = true
	}
}

// straggles tells whether an upstream is an outlier.
func (p *Pool) straggles(u *upstream) bool { return u.slow*p.speed >= outlier }

// schedule enters a grant into the timers.
func (p *Pool) schedule(now clock.Milli, g *grant) {
	g.check = p.checkAt(now, g)
	p.timers.push(g)
}

func (p *Pool) reschedule(now clock.Milli, g *grant) {
	g.check = p.checkAt(now, g)
	p.timers.fix(g.timer)
}

// checkAt is when a grant may lapse or be overdue. A renewed lease is found out
// at the old time, so that renewing does not cost a change of the heap.
func (p *Pool) checkAt(now clock.Milli, g *grant) clock.Milli {
	at := min(g.Until, g.Deadline)
	if g.first || g.expect < notable {
		return at
	}
	late := g.made + clock.Milli(patience*g.expect) + p.config.ProgressDelay
	if late <= now {
		late = now + clock.Milli(g.expect)
	}
	return min(at, late)
}

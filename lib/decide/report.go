package decide

import "snipeshift.example/lib/clock"

const (
	// slowdownSmoothing is the weight of one observation of speed: five in a row move the estimate
	// by two thirds, while a single outlier moves it little.
	slowdownSmoothing = 0.2
	// minObservable is the least expected time to first token, in milliseconds, from which speed
	// can be inferred; below it round trips dominate.
	minObservable = 50
	// overdueFactor is the multiple of its expected time after which a missing first token counts
	// as an observation.
	overdueFactor = 2
	// maxSlowdown bounds the estimate, so that a recovered upstream, which then receives little
	// work, is rated normal again within about ten requests.
	maxSlowdown = 16
	// outlierSlowdown is the slowdown, relative to the mean of the pool, from which an upstream
	// does not lead long prompts, which would hold their memory for minutes. It is relative because
	// no upstream may be excluded if all are slower than rated.
	outlierSlowdown = 2.5
)

// Report processes the load that an engine reports. It frees the memory of orphaned grants that the
// engine no longer lists, and records external load: used memory that no grant of this owner
// accounts for.
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
	accounted := p.sumListed(u)
	for i := len(u.grants) - 1; i >= 0; i-- {
		g := u.grants[i]
		if g.orphanedAt > 0 && g.listedIn != p.reportSeq && r.At-p.config.ReportLag >= g.orphanedAt {
			p.detach(g, u)
		}
	}
	// The memory of a request that ended after the engine made the report looks like external load,
	// but only in one report.
	unaccounted := max(r.Used-accounted, 0)
	u.external, u.lastExternal = min(unaccounted, u.lastExternal), unaccounted
	if u.leaving() != wasLeaving {
		p.treeStale = true
	}
	u.drain(now)
	p.updateLeaf(u)
}

// sumListed marks the grants listed in the last report of u and returns the sum of their memory.
func (p *Pool) sumListed(u *upstream) Tokens {
	p.reportSeq++
	var sum Tokens
	for _, id := range u.report.Running {
		for _, g := range [...]*grant{p.live[id], p.orphans[id]} {
			if g != nil && runsOn(g, u) {
				g.listedIn = p.reportSeq
				sum += g.Reserved
			}
		}
	}
	return sum
}

func runsOn(g *grant, u *upstream) bool {
	for _, o := range g.on {
		if o == u {
			return true
		}
	}
	return false
}

// Progress records the progress that a gate reports for a live grant. With first, now is the time
// of the first token, which may be before the last tick. The first token shows how fast the
// upstream really prefills. The report of a slow upstream would show a light load, since it runs
// few requests, and attract more.
func (p *Pool) Progress(now clock.Milli, id GrantID, first bool, output Tokens) {
	g := p.grants[id]
	if g == nil || g.orphanedAt > 0 {
		return
	}
	g.output = max(g.output, output)
	if !first || g.gotFirst {
		return
	}
	g.firstAt = now
	p.parts.Begun(now, g.run())
	u := g.on[0]
	if g.expectedFirst >= minObservable {
		p.observe(now, u, g.assumedSlowdown*float64(now-g.grantedAt)/g.expectedFirst)
	}
	p.removePrefill(now, g)
	for _, x := range g.prefixes {
		p.addPrefix(u, x)
	}
	p.updateLeaf(u)
}

// observeOverdue treats a missing first token as an observation of speed.
func (p *Pool) observeOverdue(now clock.Milli, g *grant) {
	if g.gotFirst || g.expectedFirst < minObservable {
		return
	}
	waited := float64(now-g.grantedAt-p.config.ProgressDelay) / g.expectedFirst
	if waited < overdueFactor || len(g.on) == 0 {
		return
	}
	p.observe(now, g.on[0], g.assumedSlowdown*waited)
	p.updateLeaf(g.on[0])
}

// observe moves the estimated slowdown of an upstream toward an observed value.
func (p *Pool) observe(now clock.Milli, u *upstream, observed float64) {
	u.drain(now)
	before, wasOutlier := 1/u.slowdown, p.isOutlier(u)
	u.slowdown += slowdownSmoothing * (observed - u.slowdown)
	u.slowdown = min(max(u.slowdown, 1), maxSlowdown)
	if !u.removed && !u.leaving() && p.boundaries.accepting > 0 {
		p.meanSpeed += (1/u.slowdown - before) / float64(p.boundaries.accepting)
	}
	if p.isOutlier(u) != wasOutlier {
		p.boundaries.outliersChanged = true
	}
}

// isOutlier reports whether an upstream is much slower than the mean of the pool.
func (p *Pool) isOutlier(u *upstream) bool { return u.slowdown*p.meanSpeed >= outlierSlowdown }

// startTimer sets the time of the next check of a grant and enters the grant into the timers.
func (p *Pool) startTimer(now clock.Milli, g *grant) {
	g.checkAt = p.nextCheck(now, g)
	p.timers.push(g)
}

func (p *Pool) resetTimer(now clock.Milli, g *grant) {
	g.checkAt = p.nextCheck(now, g)
	p.timers.fix(g.timerIndex)
}

// nextCheck is the next time at which a grant may lapse or be overdue. Renew does not update the
// timer, so a renewed lease is noticed at the old time; this saves a heap operation for each
// renewal.
func (p *Pool) nextCheck(now clock.Milli, g *grant) clock.Milli {
	at := min(g.Until, g.Deadline)
	if g.gotFirst || g.expectedFirst < minObservable {
		return at
	}
	late := g.grantedAt + clock.Milli(overdueFactor*g.expectedFirst) + p.config.ProgressDelay
	if late <= now {
		late = now + clock.Milli(g.expectedFirst)
	}
	return min(at, late)
}

package ratelimit

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/statement"
)

const (
	// minRate is granted whatever limit is declared: without any requests an upstream could not
	// declare that it accepts more again.
	minRate statement.PerSecond = 0.25
	// burstSpan is the span of the rate that may be granted at once; at least one request.
	burstSpan = 250 * clock.Milli(1)
	// doublingTime is the time in which the rate doubles after the end of a limit, and rampSpan is
	// how long this ramp lasts. It prevents that waiting requests, and those sent elsewhere
	// meanwhile, arrive all at once.
	doublingTime = 500 * clock.Milli(1)
	rampSpan     = 3 * clock.Second
	// probeAfter is the age of a limit after which a request is sent to find out whether the limit
	// still applies.
	probeAfter = 2 * clock.Second
	// minRampRate is the minimum rate at which the ramp starts.
	minRampRate statement.PerSecond = 1
	// oneRequest is the level needed for one request, with a tolerance for rounding errors.
	oneRequest = 1 - 1e-9
)

// Limiter is a token bucket of requests for one upstream, filled at the rate that the upstream
// declares. The zero Limiter has no limit and allows all requests.
type Limiter struct {
	known     bool
	statement statement.Statement
	// rate is the last declared limit; liftedAt is when the upstream stopped declaring one.
	rate     statement.PerSecond
	liftedAt clock.Milli
	// lastGrant is when the last request was granted.
	lastGrant clock.Milli
	// fraction is the part of the limit available to this Limiter; zero means all of it.
	fraction float64
	// level is the number of requests that may be granted as of filledAt. It never exceeds a burst.
	level    float64
	filledAt clock.Milli
}

// Learn processes a statement and reports whether it changes the limit. A limit takes effect from
// now on: no credit accumulates for the time before.
func (p *Limiter) Learn(now clock.Milli, s statement.Statement) bool {
	if !p.known && !s.Named || p.known && !s.Supersedes(p.statement) {
		return false
	}
	previous := p.statement
	changed := !p.known || !s.Equivalent(previous)
	p.fill(now)
	switch {
	case s.Named:
		p.rate = s.Rate
	case previous.Named:
		p.liftedAt = now
	}
	p.known, p.statement = true, s
	p.level = min(p.level, p.burst(now))
	return changed
}

// SetFraction limits p to a part of the declared limit. The rest is for other VMs, which cannot
// be reached.
func (p *Limiter) SetFraction(now clock.Milli, fraction float64) {
	p.fill(now)
	p.fraction = fraction
	p.level = min(p.level, p.burst(now))
}

// HasLimit reports whether the upstream currently declares a limit.
func (p *Limiter) HasLimit() bool { return p.known && p.statement.Named }

// Limited reports whether requests to the upstream are currently limited, by a declared limit or by
// the ramp after its end.
func (p *Limiter) Limited(now clock.Milli) bool {
	return p.HasLimit() || p.known && now-p.liftedAt < rampSpan
}

// Rate is the number of requests per second that may be granted while requests are limited.
func (p *Limiter) Rate(now clock.Milli) statement.PerSecond {
	rate := max(p.rate, minRate)
	if !p.statement.Named {
		rate = max(p.rate, minRampRate) * statement.PerSecond(math.Exp2(float64(now-p.liftedAt)/float64(doublingTime)))
	}
	if p.fraction > 0 {
		rate *= statement.PerSecond(p.fraction)
	}
	return rate
}

// Allows reports whether a request may be granted now.
func (p *Limiter) Allows(now clock.Milli) bool {
	if !p.Limited(now) {
		return true
	}
	p.fill(now)
	return p.level >= oneRequest
}

// Level is the number of requests that may be granted now, while requests are limited.
func (p *Limiter) Level(now clock.Milli) float64 {
	p.fill(now)
	return p.level
}

// Take records the grant of a request.
func (p *Limiter) Take(now clock.Milli) {
	p.lastGrant = now
	if p.Limited(now) {
		p.fill(now)
		p.level--
	}
}

// ProbeDue reports whether the limit was declared, and a request last granted, so long ago that a
// request should be sent to find out whether the limit still applies.
func (p *Limiter) ProbeDue(now clock.Milli) bool {
	return p.HasLimit() && now-max(p.statement.At, p.lastGrant) >= probeAfter
}

// Statement returns the last statement about the limit. The second result is false if there was
// none.
func (p *Limiter) Statement() (statement.Statement, bool) { return p.statement, p.known }

// Restore sets the level to that of the previous owner.
func (p *Limiter) Restore(now clock.Milli, level float64) {
	p.fill(now)
	p.level = min(level, p.burst(now))
}

// Reset drops everything but the fraction: a new incarnation of the upstream has started.
func (p *Limiter) Reset() { *p = Limiter{fraction: p.fraction} }

// burst is the maximum level.
func (p *Limiter) burst(now clock.Milli) float64 {
	return max(1, float64(p.Rate(now))*burstSpan.Duration().Seconds())
}

// fill raises the level for the elapsed time.
func (p *Limiter) fill(now clock.Milli) {
	if p.known && now > p.filledAt {
		p.level = min(p.burst(now), p.level+float64(p.Rate(now))*(now-p.filledAt).Duration().Seconds())
	}
	p.filledAt = max(p.filledAt, now)
}

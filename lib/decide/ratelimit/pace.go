package ratelimit

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/statement"
)

const (
	// leastRate is granted whatever limit is named: an upstream that takes nothing could not say when it takes something again.
	leastRate statement.PerSecond = 0.25
	// burstSpan is how much of the rate may be granted at once, one request at least.
	burstSpan = 250 * clock.Milli(1)
	// doubling is the time in which the rate doubles after the end of a limit, and returning how long that lasts: what waits, and
	// what went elsewhere meanwhile, must not all come at once.
	doubling  = 500 * clock.Milli(1)
	returning = 3 * clock.Second
	// renewal is how old a limit grows before a request is sent to hear whether it still holds.
	renewal = 2 * clock.Second
	// leastReturn is the rate from which on it doubles.
	leastReturn statement.PerSecond = 1
	// whole is one request, less what sums of fractions lose.
	whole = 1 - 1e-9
)

// Limiter grants requests at one upstream within the limit that it names. The zero Pace knows of no limit and grants all.
type Limiter struct {
	known     bool
	statement statement.Statement
	// rate is the limit that was named last, lifted when that ended.
	rate   statement.PerSecond
	lifted clock.Milli
	// taken is when a request was granted last.
	taken clock.Milli
	// part is the share of the limit that is granted here; zero for all of it.
	part float64
	// level is how many requests may be granted at the instant at; never more than a burst.
	level float64
	at    clock.Milli
}

// Learn takes a statement and reports whether the limit is another one now. A limit that was not known before is
// kept from now on: nothing is saved up from the time before.
func (p *Limiter) Learn(now clock.Milli, s statement.Statement) bool {
	if !p.known && !s.Named || p.known && !s.Supersedes(p.statement) {
		return false
	}
	before := p.statement
	changed := !p.known || !s.Equivalent(before)
	p.fill(now)
	switch {
	case s.Named:
		p.rate = s.Rate
	case before.Named:
		p.lifted = now
	}
	p.known, p.statement = true, s
	p.level = min(p.level, p.burst(now))
	return changed
}

// SetFraction has a part of the limit granted here: others, which cannot be asked, grant the rest.
func (p *Limiter) SetFraction(now clock.Milli, part float64) {
	p.fill(now)
	p.part = part
	p.level = min(p.level, p.burst(now))
}

// HasLimit reports whether the upstream names a limit.
func (p *Limiter) HasLimit() bool { return p.known && p.statement.Named }

// Limited reports whether the upstream's requests are bounded at all.
func (p *Limiter) Limited(now clock.Milli) bool {
	return p.HasLimit() || p.known && now-p.lifted < returning
}

// Rate is how many requests a second are granted, where they are bounded.
func (p *Limiter) Rate(now clock.Milli) statement.PerSecond {
	rate := max(p.rate, leastRate)
	if !p.statement.Named {
		rate = max(p.rate, leastReturn) * statement.PerSecond(math.Exp2(float64(now-p.lifted)/float64(doubling)))
	}
	if p.part > 0 {
		rate *= statement.PerSecond(p.part)
	}
	return rate
}

// Allows reports whether a request may be granted now.
func (p *Limiter) Allows(now clock.Milli) bool {
	if !p.Limited(now) {
		return true
	}
	p.fill(now)
	return p.level >= whole
}

// Level is how many requests may be granted now, where they are bounded.
func (p *Limiter) Level(now clock.Milli) float64 {
	p.fill(now)
	return p.level
}

// Take notes a request that is granted.
func (p *Limiter) Take(now clock.Milli) {
	p.taken = now
	if p.Limited(now) {
		p.fill(now)
		p.level--
	}
}

// ProbeDue reports whether the limit was named so long ago, and nothing granted since, that a request should find out whether
// it still holds.
func (p *Limiter) ProbeDue(now clock.Milli) bool {
	return p.HasLimit() && now-max(p.statement.At, p.taken) >= renewal
}

// Statement returns what is known of the limit, if anything is.
func (p *Limiter) Statement() (statement.Statement, bool) { return p.statement, p.known }

// Restore takes the level over from who granted before.
func (p *Limiter) Restore(now clock.Milli, level float64) {
	p.fill(now)
	p.level = min(level, p.burst(now))
}

// Reset forgets all: another life of the upstream begins.
func (p *Limiter) Reset() { *p = Limiter{part: p.part} }

// burst is the most that may be granted at once.
func (p *Limiter) burst(now clock.Milli) float64 {
	return max(1, float64(p.Rate(now))*burstSpan.Duration().Seconds())
}

// fill lets the level rise for the time that has passed.
func (p *Limiter) fill(now clock.Milli) {
	if p.known && now > p.at {
		p.level = min(p.burst(now), p.level+float64(p.Rate(now))*(now-p.at).Duration().Seconds())
	}
	p.at = max(p.at, now)
}

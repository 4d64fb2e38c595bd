package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/statement"
)

// window is the time over which upstreams check their limits.
const window = 4 * clock.Second

// grantAll requests a grant every millisecond and returns the times of those granted.
func grantAll(p *Limiter, from, to clock.Milli) []clock.Milli {
	var granted []clock.Milli
	for now := from; now < to; now++ {
		if p.Allows(now) {
			p.Take(now)
			granted = append(granted, now)
		}
	}
	return granted
}

// maxInWindow is the largest number of grants in any window.
func maxInWindow(granted []clock.Milli) int {
	n, first := 0, 0
	for i, at := range granted {
		for at-granted[first] >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Whatever the limit, and however often it is declared, no window has more grants than allowed, and
// nearly all of the limit is granted.
func TestNoWindowHasMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 60).Draw(t, "rate")
		renew := rapid.Int64Range(1, 3000).Draw(t, "renew")
		var p Limiter
		var granted []clock.Milli
		const end = 20 * clock.Second
		for at := clock.Milli(0); at < end; at += clock.Milli(renew) {
			p.Learn(at, statement.Statement{Named: true, Rate: statement.PerSecond(rate), At: at})
			granted = append(granted, grantAll(&p, at, min(at+clock.Milli(renew), end))...)
		}
		seconds := window.Duration().Seconds()
		require.LessOrEqual(t, float64(maxInWindow(granted)), max(rate, float64(minRate))*(seconds+burstSpan.Duration().Seconds())+1)
		require.GreaterOrEqual(t, float64(len(granted)), 0.9*rate*end.Duration().Seconds()-2)
	})
}

// An upstream with a limit of zero must still receive a request now and then, or it could never
// declare a higher limit.
func TestLimitOfZeroStillAllowsProbes(t *testing.T) {
	var p Limiter
	p.Learn(0, statement.Statement{Named: true})
	granted := grantAll(&p, 0, 20*clock.Second)
	require.InDelta(t, 5, len(granted), 1)
}

// The limit ends while many requests wait. Sent all at once, they would overload the upstream
// again.
func TestRateRampsUpAfterALimitEnds(t *testing.T) {
	var p Limiter
	p.Learn(0, statement.Statement{Named: true, Rate: 2})
	grantAll(&p, 0, clock.Second)
	p.Learn(clock.Second, statement.Statement{At: clock.Second})
	require.LessOrEqual(t, len(grantAll(&p, clock.Second, 1500)), 2)
	require.LessOrEqual(t, len(grantAll(&p, 1500, 2000)), 4)
	require.False(t, p.Limited(clock.Second+rampSpan))
	require.True(t, p.Learn(2*clock.Second, statement.Statement{Named: true, Rate: 2, At: 2 * clock.Second}))
	require.LessOrEqual(t, len(grantAll(&p, 2*clock.Second, 3*clock.Second)), 3)
}

// Several VMs decide independently because they cannot reach each other. Together they must not
// exceed the limit.
func TestIndependentVMsDivideTheLimit(t *testing.T) {
	all := 0
	for range 5 {
		var p Limiter
		p.SetFraction(0, 1.0/5)
		p.Learn(0, statement.Statement{Named: true, Rate: 5})
		all += maxInWindow(grantAll(&p, 0, 10*clock.Second))
	}
	require.LessOrEqual(t, all, 5*4+5)
}

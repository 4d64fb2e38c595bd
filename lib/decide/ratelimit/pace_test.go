package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/statement"
)

// window is the span over which upstreams judge what they get.
const window = 4 * clock.Second

// flood asks for a request each millisecond and returns when they were granted.
func flood(p *Limiter, from, to clock.Milli) []clock.Milli {
	var granted []clock.Milli
	for now := from; now < to; now++ {
		if p.Allows(now) {
			p.Take(now)
			granted = append(granted, now)
		}
	}
	return granted
}

// most is the largest number of grants in any window.
func most(granted []clock.Milli) int {
	n, first := 0, 0
	for i, at := range granted {
		for at-granted[first] >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Whatever limit is named, and however often it is renewed, no window has more than it allows, and nearly all of it is given.
func TestNoWindowHasMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 60).Draw(t, "rate")
		renew := rapid.Int64Range(1, 3000).Draw(t, "renew")
		var p Limiter
		var granted []clock.Milli
		const end = 20 * clock.Second
		for at := clock.Milli(0); at < end; at += clock.Milli(renew) {
			p.Learn(at, statement.Statement{Named: true, Rate: statement.PerSecond(rate), At: at})
			granted = append(granted, flood(&p, at, min(at+clock.Milli(renew), end))...)
		}
		seconds := window.Duration().Seconds()
		require.LessOrEqual(t, float64(most(granted)), max(rate, float64(leastRate))*(seconds+burstSpan.Duration().Seconds())+1)
		require.GreaterOrEqual(t, float64(len(granted)), 0.9*rate*end.Duration().Seconds()-2)
	})
}

// An upstream that takes nothing for now is asked now and then, or nobody would hear that it takes something again.
func TestAnUpstreamThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	var p Limiter
	p.Learn(0, statement.Statement{Named: true})
	granted := flood(&p, 0, 20*clock.Second)
	require.InDelta(t, 5, len(granted), 1)
}

// The limit ends while much is waiting. All at once it would put the upstream in need again.
func TestWorkComesBackByAndByAfterALimit(t *testing.T) {
	var p Limiter
	p.Learn(0, statement.Statement{Named: true, Rate: 2})
	flood(&p, 0, clock.Second)
	p.Learn(clock.Second, statement.Statement{At: clock.Second})
	require.LessOrEqual(t, len(flood(&p, clock.Second, 1500)), 2)
	require.LessOrEqual(t, len(flood(&p, 1500, 2000)), 4)
	require.False(t, p.Limited(clock.Second+returning))
	require.True(t, p.Learn(2*clock.Second, statement.Statement{Named: true, Rate: 2, At: 2 * clock.Second}))
	require.LessOrEqual(t, len(flood(&p, 2*clock.Second, 3*clock.Second)), 3)
}

// Several VMs decide for themselves, since they don't reach each other. Together they keep to the limit.
func TestVMsThatDecideForThemselvesDivideTheLimit(t *testing.T) {
	all := 0
	for range 5 {
		var p Limiter
		p.SetFraction(0, 1.0/5)
		p.Learn(0, statement.Statement{Named: true, Rate: 5})
		all += most(flood(&p, 0, 10*clock.Second))
	}
	require.LessOrEqual(t, all, 5*4+5)
}

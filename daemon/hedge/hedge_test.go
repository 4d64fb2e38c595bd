package hedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// A busy owner answers all queries late. Hedging each of them would double its load.
func TestHedgingIsBounded(t *testing.T) {
	var p Policy
	allowed := 0
	for range 1000 {
		if p.Allow() {
			allowed++
		}
		p.ObserveRoundTrip(500)
	}
	require.LessOrEqual(t, allowed, int(1000*hedgeShare)+burst)
	require.GreaterOrEqual(t, allowed, int(1000*hedgeShare))
	require.EqualValues(t, allowed, p.Hedged())
}

// Processors of the fleet are throttled, and round trips take longer. The hedging delay must adapt
// to that, so that usual round trips do not count as late.
func TestDelayFollowsRoundTrips(t *testing.T) {
	var p Policy
	require.Equal(t, minDelay, p.Delay())
	p.ObserveRoundTrip(30)
	require.Equal(t, 60*clock.Milli(1), p.Delay())
	p.ObserveRoundTrip(1000)
	require.Equal(t, maxDelay, p.Delay())
	for range 400 {
		p.ObserveRoundTrip(1)
	}
	require.Equal(t, minDelay, p.Delay())
}

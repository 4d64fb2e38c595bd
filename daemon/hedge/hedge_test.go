package hedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// A busy owner answers all queries late. Hedging each of them would double its load.
func TestHedgingIsBounded(t *testing.T) {
	var q Policy
	allowed := 0
	for range 1000 {
		if q.Allow() {
			allowed++
		}
		q.ObserveRoundTrip(500)
	}
	require.LessOrEqual(t, allowed, int(1000*hedgeShare)+burst)
	require.GreaterOrEqual(t, allowed, int(1000*hedgeShare))
	require.EqualValues(t, allowed, q.Hedged())
}

// Processors of the fleet are throttled, and round trips take longer. The hedging delay must adapt
// to that, so that usual round trips do not count as late.
func TestDelayFollowsRoundTrips(t *testing.T) {
	var q Policy
	require.Equal(t, minDelay, q.Delay())
	q.ObserveRoundTrip(30)
	require.Equal(t, 60*clock.Milli(1), q.Delay())
	q.ObserveRoundTrip(1000)
	require.Equal(t, maxDelay, q.Delay())
	for range 400 {
		q.ObserveRoundTrip(1)
	}
	require.Equal(t, minDelay, q.Delay())
}

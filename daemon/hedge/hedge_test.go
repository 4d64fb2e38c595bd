package hedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// A busy owner answers all queries late. Hedging each of them would double its load.
func TestHedgingIsBounded(t *testing.T) {
	var q Questions
	allowed := 0
	for range 1000 {
		if q.Allow() {
			allowed++
		}
		q.Way(500)
	}
	require.LessOrEqual(t, allowed, int(1000*hedgeShare)+burst)
	require.GreaterOrEqual(t, allowed, int(1000*hedgeShare))
	require.EqualValues(t, allowed, q.Asked())
}

// Processors of the fleet are throttled, and round trips take longer. The hedging delay must adapt
// to that, so that usual round trips do not count as late.
func TestDelayFollowsRoundTrips(t *testing.T) {
	var q Questions
	require.Equal(t, minDelay, q.After())
	q.Way(30)
	require.Equal(t, 60*clock.Milli(1), q.After())
	q.Way(1000)
	require.Equal(t, maxDelay, q.After())
	for range 400 {
		q.Way(1)
	}
	require.Equal(t, minDelay, q.After())
}

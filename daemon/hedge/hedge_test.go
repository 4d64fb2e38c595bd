package hedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// An owner that is busy answers all questions late. Were each put to another VM too, it would get its load twice.
func TestFewQuestionsAreHedged(t *testing.T) {
	var q Policy
	allowed := 0
	for range 1000 {
		if q.Allow() {
			allowed++
		}
		q.ObserveRoundTrip(500)
	}
	require.LessOrEqual(t, allowed, int(1000*share)+burst)
	require.GreaterOrEqual(t, allowed, int(1000*share))
	require.EqualValues(t, allowed, q.Hedged())
}

// The processors of a fleet are cut, and its answers take longer. What is usual there must not count as late.
func TestTheWaitFollowsTheWaysSeen(t *testing.T) {
	var q Policy
	require.Equal(t, least, q.Delay())
	q.ObserveRoundTrip(30)
	require.Equal(t, 60*clock.Milli(1), q.Delay())
	q.ObserveRoundTrip(1000)
	require.Equal(t, longest, q.Delay())
	for range 400 {
		q.ObserveRoundTrip(1)
	}
	require.Equal(t, least, q.Delay())
}

package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Retries that come together are refused together, and clients give up if they are told to wait longer
// than a third of their time.
func TestRetriesAreSpread(t *testing.T) {
	var s State
	s.Begin(0)
	tenths := map[clock.Milli]int{}
	for range 1000 {
		retry := s.Refuse(0, 7560)
		require.LessOrEqual(t, retry, 7560/3*clock.Milli(1))
		tenths[(retry-minRetry)/200]++
	}
	require.Len(t, tenths, 10)
	for _, n := range tenths {
		require.InDelta(t, 100, n, 10)
	}
}

// Late requests get the slots that requests in time leave. Before their rate is known, those that
// return show how many slots were in use.
func TestLateRequestsLeaveSlotsToOthers(t *testing.T) {
	var s State
	s.Begin(0)
	require.Equal(t, 100, s.LateLimit(10, 100, 0), "nobody has come")
	for range 40 {
		s.NoteReturned(2000)
	}
	require.Equal(t, 16, s.LateLimit(250, 100, 0), "80 clients will have returned")
	for at := range clock.Milli(1000) {
		if at%40 == 0 {
			s.NoteInTime(at, 2000)
		}
	}
	require.InDelta(t, 47, s.LateLimit(1000, 100, 0), 3, "50 slots serve 25 requests a second")
	s.EndIfComplete(1000, false, true)
	require.True(t, s.Active(), "a late request waits")
	s.EndIfComplete(MaxLength, true, true)
	require.False(t, s.Active())
}

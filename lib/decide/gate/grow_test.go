package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// All VMs of a large fleet start at once, and each owns every service until it has met the others.
// With a floor of eighty each, the fleet could send thousands of retries within a second.
func TestTheFloorOfANewOwnerGrows(t *testing.T) {
	const now clock.Milli = 1_000_000
	spend := func(at clock.Milli) int {
		b := NewBudget(0.1, 80, 10*clock.Second)
		b.GrowFrom(now)
		n := 0
		for b.Retry(at) {
			n++
		}
		return n
	}
	require.Zero(t, spend(now-2000))
	require.Zero(t, spend(now))
	require.Equal(t, 40, spend(now+5000))
	require.Equal(t, 80, spend(now+10_000))
	require.Equal(t, 80, spend(now+60_000))

	b := NewBudget(0.1, 80, 10*clock.Second)
	b.GrowFrom(now)
	for range 20 {
		b.Succeed(now)
	}
	require.True(t, b.Retry(now), "the share applies from the start")
	require.True(t, b.Retry(now))
	require.False(t, b.Retry(now))
}

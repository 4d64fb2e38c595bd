package span

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// Six VMs have started after a power loss and don't know of each other. Each gets eight short
// requests in the third of a second until they meet. If all packed in the same order, 48 requests
// would reach one engine that runs 16, and be late.
func TestIsolatedOwnersSpreadOverDifferentEngines(t *testing.T) {
	all := map[decide.UpstreamID]int{}
	for vm := range 6 {
		b := newTestPool(t, 23)
		b.SetIsolated(true, fmt.Sprint("vm-", vm))
		for range 8 {
			g := b.mustGrant(now, b.shortAsk(now))
			require.Less(t, float64(g.First), 300.0)
			all[g.Leader.Upstream]++
		}
	}
	require.Greater(t, len(all), 15)
	for id, n := range all {
		require.LessOrEqual(t, n, 6, id)
	}
}

// An isolated owner polls only its own engines and lets long prompts wait: all other owners would
// grant them the same engines.
func TestIsolatedOwnerPollsOnlyItsEngines(t *testing.T) {
	b := newTestPool(t, 23)
	b.MarkUnverified()
	b.SetIsolated(true, "vm-1")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), isolatedEngines)
	b.SetIsolated(false, "vm-1")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 23-isolatedEngines)
	require.Len(t, b.TakeDuePolls(now+pollInterval, "owner", math.MaxInt), 23)
	b = newTestPool(t, 23)
	b.SetIsolated(true, "vm-1")
	long := b.longAsk(now, 200_000)
	_, decided := b.ask(now, long)
	require.False(t, decided)
	b.SetIsolated(false, "vm-1")
	require.Len(t, b.Tick(now), 1)
}

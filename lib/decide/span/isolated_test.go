package span

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// Six VMs have started after a loss of power and know nothing of each other. Each gets eight short requests in the third of a
// second until they meet. Packed by all in the same order, 48 would meet on one engine that runs 16, and be late.
func TestOwnersThatKnowOfNobodyDoNotMeetOnOneEngine(t *testing.T) {
	all := map[decide.UpstreamID]int{}
	for vm := range 6 {
		b := newBench(t, 23)
		b.SetIsolated(true, fmt.Sprint("vm-", vm))
		for range 8 {
			g := b.granted(now, b.note(now))
			require.Less(t, float64(g.First), 300.0)
			all[g.Leader.Upstream]++
		}
	}
	require.Greater(t, len(all), 15)
	for id, n := range all {
		require.LessOrEqual(t, n, 6, id)
	}
}

// Such an owner asks its own engines alone for their load, and lets long prompts wait: all others would give them the same engines.
func TestAnOwnerThatKnowsOfNobodyUsesItsOwnEngines(t *testing.T) {
	b := newBench(t, 23)
	b.MarkUnverified()
	b.SetIsolated(true, "vm-1")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), isolatedEngines)
	b.SetIsolated(false, "vm-1")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 23-isolatedEngines)
	require.Len(t, b.TakeDuePolls(now+pollEvery, "owner", math.MaxInt), 23)
	b = newBench(t, 23)
	b.SetIsolated(true, "vm-1")
	long := b.history(now, 200_000)
	_, decided := b.ask(now, long)
	require.False(t, decided)
	b.SetIsolated(false, "vm-1")
	require.Len(t, b.Tick(now), 1)
}

package chaos

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTargets = Targets{Daemons: []string{"vm-1", "vm-2", "vm-3"}, Engines: []string{"engine-1", "engine-2"}, Services: []string{"desk-1"}}

// A seed whose schedule exposed a bug is run again to verify the fix, so a seed must always give
// the same schedule.
func TestPlanIsDeterministicForSeed(t *testing.T) {
	require.Equal(t, Plan(7, time.Minute, testTargets), Plan(7, time.Minute, testTargets))
	require.NotEqual(t, Plan(7, time.Minute, testTargets), Plan(8, time.Minute, testTargets))
}

func TestPlanCoversAllKindsAndPairs(t *testing.T) {
	kinds := map[Kind]bool{}
	pairs := 0
	for seed := range uint64(20) {
		fs := Plan(seed, time.Minute, testTargets)
		for i, f := range fs {
			kinds[f.Kind] = true
			if i > 0 && fs[i-1].At == f.At {
				pairs++
			}
			require.Less(t, f.At, time.Minute)
		}
	}
	require.Len(t, kinds, len(weights))
	require.Positive(t, pairs)
}

package scenarios

import (
	"maps"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds returns the seeds to run, with the time for which each injects faults. The environment variable seedVar sets a
// single seed in place of the fixed ones, to run for defaultLength. The variable lengthVar overrides the time of all.
func seeds(t *testing.T, fixedSeeds map[uint64]time.Duration, seedVar, lengthVar string, defaultLength time.Duration) map[uint64]time.Duration {
	t.Helper()
	out := maps.Clone(fixedSeeds)
	if s := os.Getenv(seedVar); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err, seedVar)
		out = map[uint64]time.Duration{n: defaultLength}
	}
	if s := os.Getenv(lengthVar); s != "" {
		d, err := time.ParseDuration(s)
		require.NoError(t, err, lengthVar)
		for n := range out {
			out[n] = d
		}
	}
	return out
}

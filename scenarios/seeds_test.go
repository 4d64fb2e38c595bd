package scenarios

import (
	"maps"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds returns the seeds to run, with the time for which each injects faults. The environment variable named seed sets a
// single seed in place of the fixed ones, to run for the time given. The variable named length overrides the time of all.
func seeds(t *testing.T, fixed map[uint64]time.Duration, seed, length string, given time.Duration) map[uint64]time.Duration {
	t.Helper()
	out := maps.Clone(fixed)
	if s := os.Getenv(seed); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err, seed)
		out = map[uint64]time.Duration{n: given}
	}
	if s := os.Getenv(length); s != "" {
		d, err := time.ParseDuration(s)
		require.NoError(t, err, length)
		for n := range out {
			out[n] = d
		}
	}
	return out
}

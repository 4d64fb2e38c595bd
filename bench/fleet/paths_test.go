package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Most of a fleet of twice the size in use loses its paths: after a second almost every connect must succeed, and the VMs
// that carry must share the load.
func TestConnectsSucceedWithMostOfFleetCut(t *testing.T) {
	for _, cut := range []float64{0.33, 0.6, 0.9} {
		r := RunPaths(PathLoad{VMs: 1000, Seed: 1, Cut: cut, Rate: 5, For: 3 * clock.Second})
		require.LessOrEqual(t, float64(r.Failed), 0.02*float64(r.Connects), "%+v", r)
		require.Less(t, r.Asked, 3.0, "%+v", r)
		require.LessOrEqual(t, r.Most, 10*max(r.Median, 1), "%+v", r)
	}
}

package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
)

// controlRate is what a VM may send for control, in bytes per second, whatever the size of the fleet.
const controlRate = 7000

// A fleet starts all at once, a twentieth loses power and comes back, some VMs freeze, and of some nothing
// arrives for a while. What each VM sends must stay within the limit for control, all must agree soon, and
// nobody may take a VM for gone that no fault has hit.
func TestFleetAgreesWithinLimitsOfControl(t *testing.T) {
	load := Load{Seed: 1, For: 40 * clock.Second, Lost: 0.001, Killed: 0.05, Frozen: 0.02, Cut: 0.02, Down: 8 * clock.Second}
	for _, n := range []int{30, 150} {
		load.VMs = n
		r := Run(load, member.RelayRules)
		require.Positive(t, r.Agreed, "%d VMs", n)
		require.LessOrEqual(t, r.Agreed, 5*clock.Second, "%d VMs", n)
		require.Positive(t, r.Noticed, "%d VMs", n)
		require.Positive(t, r.Rejoined, "%d VMs", n)
		require.Zero(t, r.FalseDeaths, "%d VMs", n)
		require.Less(t, float64(r.Rest.Bytes)/float64(n)/r.Rest.For.Duration().Seconds(), float64(controlRate), "%d VMs", n)
	}
}

package scenarios

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
)

// largeFleet is a number of VMs at which most have no watches of their own on the store: a few readers watch it for all.
const largeFleet = 14

// If each VM reads the store for itself, or for a few others, the load on the store grows with the fleet. In a fleet
// without changes one VM verifies that its copy is current, with 1.4 calls per second, and one more has two long watches open.
func TestPlatformStoreCallsDoNotGrowWithFleet(t *testing.T) {
	f := newFleet(t, largeFleet)
	l := newLoad(f)
	calls := f.Platform.Store.Calls
	callsIn5s := func() int {
		before := calls()
		time.Sleep(5 * time.Second)
		return calls() - before
	}
	// VMs that have just joined read the store for themselves for a while.
	require.Eventually(t, func() bool { return callsIn5s() <= 12 }, 30*time.Second, time.Millisecond)
	l.stopAndCheck(t, f)
}

// Half of the VMs, which may include the readers, are cut off from the store for seconds. Meanwhile an upstream leaves, a
// route is added and a workspace's key is withdrawn. The other VMs must stand in as readers: the upstream receives no new
// requests, and all VMs apply the changes.
func TestPlatformOtherVMsReplaceReadersCutOffFromStore(t *testing.T) {
	for _, first := range []int{0, largeFleet / 2} {
		f := newFleet(t, largeFleet)
		l := newLoad(f)
		time.Sleep(time.Second)
		for _, v := range f.VMs[first : first+largeFleet/2] {
			f.StoreRelay.Cut(v.Name)
		}
		desk := standin.NewClient("desk")
		require.True(t, desk.Call(f.VMs[0].Caller, "lookup").Complete)
		f.Platform.Models[0].Drain(3 * time.Second)
		f.Platform.AddRoute("extra")
		f.Platform.RevokeKeys("desk")
		time.Sleep(3 * time.Second)
		ward := standin.NewClient("ward")
		for _, v := range f.VMs {
			require.True(t, ward.Call(v.Caller, "extra").Complete, v.Name)
			require.Equal(t, http.StatusUnauthorized, desk.Call(v.Caller, "lookup").Status, v.Name)
		}
		time.Sleep(1500 * time.Millisecond)
		require.Zero(t, f.Platform.Models[0].LateRequests())
		l.stopAndCheck(t, f)
		f.Close()
	}
}

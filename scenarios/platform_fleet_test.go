package scenarios

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
)

// large is a fleet in which VMs keep no watches of their own.
const large = 14

// Each VM that reads the store for itself, or for some others, makes calls as long as it lives, so the price of the store grows
// with the fleet. In a calm fleet one VM proves that nothing is new, by 1.4 calls a second, and one more keeps two long watches.
func TestPlatformCallsOfTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	f := newFleet(t, large)
	l := newLoad(f)
	calls := f.Platform.Store.Calls
	calm := func() int {
		before := calls()
		time.Sleep(5 * time.Second)
		return calls() - before
	}
	// VMs that have just met still read for themselves.
	require.Eventually(t, func() bool { return calm() <= 12 }, 30*time.Second, time.Millisecond)
	l.end(t, f)
}

// The store turns half of the VMs away for seconds, perhaps those that read for all, while an upstream leaves, a route is new and a
// team is shut out. The other VMs step in: nothing new reaches the upstream, and all VMs obey.
func TestPlatformVMsStepInForReadersThatAreShutOff(t *testing.T) {
	for _, first := range []int{0, large / 2} {
		f := newFleet(t, large)
		l := newLoad(f)
		time.Sleep(time.Second)
		for _, v := range f.VMs[first : first+large/2] {
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
		l.end(t, f)
		f.Close()
	}
}

package scenarios

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Long prompts, one to each engine, occupy the memory of all engines until after the end of the grace period. Their
// streams pause for less than the route's target.
const (
	longEvents   = 20
	longPause    = 600 * time.Millisecond
	waitingCalls = 3
)

// A VM is stopped as planned while requests that it has read wait for a place. The process must not end before they are
// refused: with a closed connection a client cannot tell whether its request ran.
func TestPlatformStopRefusesWaitingRequests(t *testing.T) {
	f := newFleetWith(t, 3, func(f *fleet.Fleet) { f.Platform.SetPairCost(0) })
	for _, r := range f.Platform.Models {
		r.Events, r.Pause = longEvents, longPause
	}
	var occupying, waiting sync.WaitGroup
	defer occupying.Wait()
	for i := range f.Platform.Models {
		occupying.Go(func() { standin.NewClient("ward").Call(f.VMs[1+i%2].Caller, "dossier") })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	responses := make([]standin.Response, waitingCalls)
	for i := range responses {
		waiting.Go(func() { responses[i] = standin.NewClient("ward").Call(f.VMs[0].Caller, "dossier") })
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, f.VMs[0].Process.Signal(syscall.SIGTERM))
	waiting.Wait()
	for _, r := range responses {
		require.True(t, r.Complete || r.Status == http.StatusServiceUnavailable, "status %d after %v: %s\n%s", r.Status, r.Duration, r.Text, f.VMs[0].Process.Tail())
	}
	select {
	case <-f.VMs[0].Process.Done():
	case <-time.After(8 * time.Second):
		require.Fail(t, "VM did not stop within its grace period", f.VMs[0].Process.Tail())
	}
	require.True(t, f.VMs[0].Process.Succeeded(), f.VMs[0].Process.Status())
}

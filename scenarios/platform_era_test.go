package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Times of the tests that restore the store from an older copy.
const (
	// copyAge is the age of the copy that the store is restored from.
	copyAge = 3 * time.Second
	// rewriteTime is the time after the restore within which writers repeat the writes that the copy lacks.
	rewriteTime = 2 * time.Second
	// outageTime is how long the store does not respond while it is restored.
	outageTime = 300 * time.Millisecond
	// leavingTime is the time after which an upstream that announced that it leaves must not receive new requests.
	leavingTime = 2 * time.Second
)

// requireServed sends requests on a new route to a VM until one is served. It requires that this happens before the time
// until, and that the VM responds with 404 to all earlier requests.
func requireServed(t *testing.T, v *fleet.VM, route string, until time.Time) {
	t.Helper()
	c := standin.NewClient("ward")
	for {
		a := c.Call(v.Caller, route)
		if a.Complete {
			return
		}
		require.Equal(t, http.StatusNotFound, a.Status, "%s: %s", v.Name, a.Text)
		require.True(t, time.Now().Before(until), "%s does not serve route %s in time", v.Name, route)
		time.Sleep(20 * time.Millisecond)
	}
}

// restoreOlderCopy restores the store from a copy of the given age and returns once all writes that the copy lacked are
// repeated.
func restoreOlderCopy(f *fleet.Fleet, age time.Duration, seed uint64) {
	f.Platform.RestoreOlderCopy(standin.Unresponsive, outageTime, age, rewriteTime, rand.New(rand.NewPCG(seed, 0)))
}

// loggedLeaving reports whether a VM has logged that a runner leaves.
func loggedLeaving(v *fleet.VM, r *standin.Runner) bool {
	for _, line := range v.Process.Grep(fmt.Sprintf(`"event":"upstream","upstream":%q`, r.ID())) {
		if strings.Contains(line, `"leaving":true`) {
			return true
		}
	}
	return false
}

// The store is restored from a copy in which upstreams that have left since are listed as ready and a withdrawn API key
// is valid. No VM may use the upstreams or accept the key.
func TestPlatformOlderCopyRestoresNoRemovedUpstreamsOrKeys(t *testing.T) {
	for _, vms := range []int{3, largeFleet} {
		f := newFleet(t, vms)
		l := newLoad(f)
		l.awaitResponses(t)
		desk := standin.NewClient("desk")
		require.True(t, desk.Call(f.VMs[0].Caller, "lookup").Complete)
		time.Sleep(copyAge) // so that the copy contains the upstreams as ready and the key
		f.Platform.Models[0].Drain(leavingTime)
		f.Platform.Desks[0].Drain(leavingTime)
		f.Platform.RevokeKeys("desk")
		time.Sleep(1500 * time.Millisecond)
		f.Platform.Models[0].RemoveEntry()
		f.Platform.Desks[0].RemoveEntry()
		time.Sleep(500 * time.Millisecond)
		done := make(chan struct{})
		go func() { defer close(done); restoreOlderCopy(f, copyAge, 1) }()
		accepted := 0
		for finished := false; !finished; {
			select {
			case <-done:
				finished = true
			default:
			}
			for _, v := range f.VMs {
				if a := desk.Call(v.Caller, "lookup"); a.Status != http.StatusUnauthorized && a.Status != http.StatusServiceUnavailable {
					accepted++
				}
			}
		}
		time.Sleep(leavingTime)
		require.Zero(t, accepted, "requests accepted with a withdrawn key")
		require.Zero(t, f.Platform.Models[0].LateRequests(), "requests sent to an upstream that had left")
		require.Zero(t, f.Platform.Desks[0].LateRequests(), "requests sent to an upstream that had left")
		l.stopAndCheck(t, f)
		f.Close()
	}
}

// After the store is restored from an older copy it gives out the same revision numbers again, for other writes. A VM that
// resumes from a revision of before the restore, or takes a lower revision for an older one, misses writes: here an upstream
// that leaves and a new route.
func TestPlatformChangesAfterOlderCopyReachEveryVM(t *testing.T) {
	for _, vms := range []int{3, largeFleet} {
		f := newFleet(t, vms)
		l := newLoad(f)
		l.awaitResponses(t)
		for i := range 30 { // revisions that the copy lacks
			f.Platform.AddRoute(fmt.Sprint("before", i))
		}
		time.Sleep(copyAge) // so that each VM has read them
		restoreOlderCopy(f, 2*copyAge, 2)
		f.Platform.AddRoute("after")
		added := time.Now()
		f.Platform.Models[1].Drain(leavingTime)
		f.Platform.Desks[1].Drain(leavingTime)
		for _, v := range f.VMs {
			require.Eventually(t, func() bool { return loggedLeaving(v, f.Platform.Models[1]) }, leavingTime, 20*time.Millisecond, v.Name)
		}
		for _, v := range f.VMs {
			requireServed(t, v, "after", added.Add(leavingTime))
		}
		time.Sleep(leavingTime)
		require.Zero(t, f.Platform.Models[1].LateRequests())
		require.Zero(t, f.Platform.Desks[1].LateRequests())
		l.stopAndCheck(t, f)
		f.Close()
	}
}

// An upstream that registered after the copy was made is missing from the restored store although it is running. VMs must
// keep using it until its entry is written again.
func TestPlatformUpstreamMissingFromOlderCopyIsKept(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	// An engine, since other engines resume its streams; a plain service may be running requests that must not run again.
	crashed := f.Platform.Models[0]
	f.Crash(crashed)
	require.NoError(t, f.Replace(crashed))
	replacement := f.Platform.Models[0]
	require.Eventually(t, func() bool { return replacement.AttemptsRun() > 0 }, startTimeout, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	done := make(chan struct{})
	go func() { defer close(done); restoreOlderCopy(f, copyAge, 3) }()
	time.Sleep(outageTime + 700*time.Millisecond)
	before := replacement.AttemptsRun()
	time.Sleep(800 * time.Millisecond)
	require.Greater(t, replacement.AttemptsRun(), before)
	<-done
	l.stopAndCheck(t, f)
}

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

// Times of the drills, and of what is done before them.
const (
	// copyAge is how old the copy is.
	copyAge = 3 * time.Second
	// rewriting is the time within which writers write again.
	rewriting = 2 * time.Second
	away      = 300 * time.Millisecond
	// leftSlack is the time within which an upstream that leaves must get nothing new.
	leftSlack = 2 * time.Second
)

// requireServed requires that a VM serves a new route by an instant, and until then says that it does not know it.
func requireServed(t *testing.T, v *fleet.VM, route string, until time.Time) {
	t.Helper()
	c := standin.NewClient("ward")
	for {
		a := c.Call(v.Caller, route)
		if a.Complete {
			return
		}
		require.Equal(t, http.StatusNotFound, a.Status, "%s: %s", v.Name, a.Text)
		require.True(t, time.Now().Before(until), "%s does not know route %s", v.Name, route)
		time.Sleep(20 * time.Millisecond)
	}
}

// drill has the store come back from a copy, and returns once all is written again.
func drill(f *fleet.Fleet, age time.Duration, seed uint64) {
	f.Platform.RestoreOlderCopy(standin.Unresponsive, away, age, rewriting, rand.New(rand.NewPCG(seed, 0)))
}

// knowsLeaving tells whether a VM knows that a runner leaves.
func knowsLeaving(v *fleet.VM, r *standin.Runner) bool {
	for _, line := range v.Process.Grep(fmt.Sprintf(`"event":"upstream","upstream":%q`, r.ID())) {
		if strings.Contains(line, `"leaving":true`) {
			return true
		}
	}
	return false
}

// The store comes back from a copy in which an upstream that has left is ready, and a key that was taken away opens. Nobody uses either.
func TestPlatformNothingThatWasLeftComesBackWithACopy(t *testing.T) {
	for _, vms := range []int{3, large} {
		f := newFleet(t, vms)
		l := newLoad(f)
		l.more(t)
		desk := standin.NewClient("desk")
		require.True(t, desk.Call(f.VMs[0].Caller, "lookup").Complete)
		time.Sleep(copyAge) // the copy is of a time at which all was there
		f.Platform.Models[0].Drain(leftSlack)
		f.Platform.Desks[0].Drain(leftSlack)
		f.Platform.RevokeKeys("desk")
		time.Sleep(1500 * time.Millisecond)
		f.Platform.Models[0].RemoveEntry()
		f.Platform.Desks[0].RemoveEntry()
		time.Sleep(500 * time.Millisecond)
		done := make(chan struct{})
		go func() { defer close(done); drill(f, copyAge, 1) }()
		opened := 0
		for over := false; !over; {
			select {
			case <-done:
				over = true
			default:
			}
			for _, v := range f.VMs {
				if a := desk.Call(v.Caller, "lookup"); a.Status != http.StatusUnauthorized && a.Status != http.StatusServiceUnavailable {
					opened++
				}
			}
		}
		time.Sleep(leftSlack)
		require.Zero(t, opened, "requests of a key that was taken away")
		require.Zero(t, f.Platform.Models[0].LateRequests(), "requests of an upstream that had left")
		require.Zero(t, f.Platform.Desks[0].LateRequests(), "requests of an upstream that had left")
		l.end(t, f)
		f.Close()
	}
}

// The store has counted past the positions of before its copy, where other things stand now. Whoever goes on from such a position, or
// takes a lower one for older, misses what was written in between: an upstream leaves and a route is new, and nobody knows.
func TestPlatformNewsAfterACopyReachesEveryVM(t *testing.T) {
	for _, vms := range []int{3, large} {
		f := newFleet(t, vms)
		l := newLoad(f)
		l.more(t)
		for i := range 30 { // positions that the copy does not have
			f.Platform.AddRoute(fmt.Sprint("before", i))
		}
		time.Sleep(copyAge) // each VM has taken them up
		drill(f, 2*copyAge, 2)
		f.Platform.AddRoute("after")
		added := time.Now()
		f.Platform.Models[1].Drain(leftSlack)
		f.Platform.Desks[1].Drain(leftSlack)
		for _, v := range f.VMs {
			require.Eventually(t, func() bool { return knowsLeaving(v, f.Platform.Models[1]) }, leftSlack, 20*time.Millisecond, v.Name)
		}
		for _, v := range f.VMs {
			requireServed(t, v, "after", added.Add(leftSlack))
		}
		time.Sleep(leftSlack)
		require.Zero(t, f.Platform.Models[1].LateRequests())
		require.Zero(t, f.Platform.Desks[1].LateRequests())
		l.end(t, f)
		f.Close()
	}
}

// An upstream has come since the copy. It lives, and goes on being used until its entry is there again.
func TestPlatformAnUpstreamThatACopyLacksIsKept(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	old := f.Platform.Models[0] // streams go on elsewhere; a plain request that runs there may not run again
	f.Crash(old)
	require.NoError(t, f.Replace(old))
	young := f.Platform.Models[0]
	require.Eventually(t, func() bool { return young.AttemptsRun() > 0 }, startLimit, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	done := make(chan struct{})
	go func() { defer close(done); drill(f, copyAge, 3) }()
	time.Sleep(away + 700*time.Millisecond)
	before := young.AttemptsRun()
	time.Sleep(800 * time.Millisecond)
	require.Greater(t, young.AttemptsRun(), before)
	<-done
	l.end(t, f)
}

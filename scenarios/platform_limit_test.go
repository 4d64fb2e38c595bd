package scenarios

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Limits named in these tests, in requests a second, and the times of a test.
const (
	engineLimit = 2.1
	deskLimit   = 1.0
	// learnt is the time within which all VMs must keep to a limit.
	learnt = 3 * time.Second
	// kept is how long it is checked that they do.
	kept = 6 * time.Second
)

// nobody excuses no VM.
func nobody(string, time.Time, time.Time) bool { return false }

// limit has the first runner of each service name a limit.
func limit(f *fleet.Fleet) []*standin.Runner {
	f.Platform.Models[0].DeclareLimit(engineLimit)
	f.Platform.Desks[0].DeclareLimit(deskLimit)
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// An upstream in need names how many requests a second it takes, and gets them from each VM.
func TestPlatformAnUpstreamGetsNoMoreThanItNamesFromAllVMs(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	limited := limit(f)
	from := time.Now().Add(learnt)
	time.Sleep(learnt + kept)
	for _, r := range limited {
		require.Empty(t, r.LimitViolations(nobody))
		require.Greater(t, r.RequestsSince(from), 2, "it gets what it takes")
	}
	for _, r := range limited {
		r.DeclareLimit(-1)
	}
	l.more(t)
	over := time.Now()
	time.Sleep(2 * learnt)
	for _, r := range limited {
		require.Greater(t, r.RequestsSince(over), 30, "it is used again once it names no limit")
	}
	l.end(t, f)
}

// The VMs that decide who gets work are killed one after the other, with all that they knew of the limit.
func TestPlatformALimitOutlivesTheVMsThatKeepIt(t *testing.T) {
	f := newFleet(t, 4)
	l := newLoad(f)
	l.more(t)
	limited := limit(f)
	time.Sleep(learnt)
	for _, v := range f.VMs {
		v.Process.Kill()
		time.Sleep(kept / 4)
		require.NoError(t, f.Start(v))
		require.NoError(t, v.AwaitReady(startLimit))
		time.Sleep(kept / 4)
	}
	for _, r := range limited {
		require.Empty(t, r.LimitViolations(nobody))
	}
	close(l.stop)
	l.wg.Wait()
}

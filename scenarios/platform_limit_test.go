package scenarios

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Rate limits that upstreams declare in these tests, in requests per second, and the times of a test.
const (
	engineLimit = 2.1
	deskLimit   = 1.0
	// learnt is the time after which all VMs must respect a limit.
	learnt = 3 * time.Second
	// kept is how long the tests check that they do.
	kept = 6 * time.Second
)

// nobody exempts no VM from a limit.
func nobody(string, time.Time, time.Time) bool { return false }

// limit has the first runner of each service declare a rate limit.
func limit(f *fleet.Fleet) []*standin.Runner {
	f.Platform.Models[0].Limit(engineLimit)
	f.Platform.Desks[0].Limit(deskLimit)
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// An upstream declares how many requests per second it accepts. All VMs together must not send more; the failure is that
// each VM sends that many.
func TestPlatformAnUpstreamGetsNoMoreThanItNamesFromAllVMs(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	limited := limit(f)
	from := time.Now().Add(learnt)
	time.Sleep(learnt + kept)
	for _, r := range limited {
		require.Empty(t, r.Exceeded(nobody))
		require.Greater(t, r.Arrived(from), 2, "the upstream receives requests up to its limit")
	}
	for _, r := range limited {
		r.Limit(-1)
	}
	l.more(t)
	over := time.Now()
	time.Sleep(2 * learnt)
	for _, r := range limited {
		require.Greater(t, r.Arrived(over), 30, "the upstream is used fully once it declares no limit")
	}
	l.end(t, f)
}

// The VMs that own the services are killed one after the other. The declared limit, which they hold in memory only, must
// still be respected by their successors.
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
		require.Empty(t, r.Exceeded(nobody))
	}
	close(l.stop)
	l.wg.Wait()
}

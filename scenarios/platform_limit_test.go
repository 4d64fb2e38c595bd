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
	// limitSettleTime is the time after which all VMs must respect a limit.
	limitSettleTime = 3 * time.Second
	// limitCheckTime is how long the tests check that they do.
	limitCheckTime = 6 * time.Second
)

// exemptNone exempts no VM from a limit.
func exemptNone(string, time.Time, time.Time) bool { return false }

// declareLimits has the first runner of each service declare a rate limit.
func declareLimits(f *fleet.Fleet) []*standin.Runner {
	f.Platform.Models[0].DeclareLimit(engineLimit)
	f.Platform.Desks[0].DeclareLimit(deskLimit)
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// An upstream declares how many requests per second it accepts. All VMs together must not send more; the failure is that
// each VM by itself sends that many.
func TestPlatformDeclaredLimitHoldsAcrossAllVMs(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	limited := declareLimits(f)
	from := time.Now().Add(limitSettleTime)
	time.Sleep(limitSettleTime + limitCheckTime)
	for _, r := range limited {
		require.Empty(t, r.LimitViolations(exemptNone))
		require.Greater(t, r.RequestsSince(from), 2, "the upstream receives requests up to its limit")
	}
	for _, r := range limited {
		r.DeclareLimit(-1)
	}
	l.awaitResponses(t)
	liftedAt := time.Now()
	time.Sleep(2 * limitSettleTime)
	for _, r := range limited {
		require.Greater(t, r.RequestsSince(liftedAt), 30, "the upstream is used fully once it declares no limit")
	}
	l.stopAndCheck(t, f)
}

// The VMs that own the services are killed one after the other. The declared limit, which they hold in memory only, must
// still be respected by their successors.
func TestPlatformDeclaredLimitSurvivesLossOfOwners(t *testing.T) {
	f := newFleet(t, 4)
	l := newLoad(f)
	l.awaitResponses(t)
	limited := declareLimits(f)
	time.Sleep(limitSettleTime)
	for _, v := range f.VMs {
		v.Process.Kill()
		time.Sleep(limitCheckTime / 4)
		require.NoError(t, f.Start(v))
		require.NoError(t, v.AwaitReady(startTimeout))
		time.Sleep(limitCheckTime / 4)
	}
	for _, r := range limited {
		require.Empty(t, r.LimitViolations(exemptNone))
	}
	close(l.stop)
	l.wg.Wait()
}

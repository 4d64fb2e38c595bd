package scenarios

import (
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Times of these tests.
const (
	// storeOutage is shorter than the time for which API keys are accepted without the store, even if the keys were last
	// verified some time before the outage and the end of the outage is noticed late.
	storeOutage = 2 * time.Second
	// listedTime is how long after the outage the store still lists the leaving upstreams as ready.
	listedTime = 4 * time.Second
	// sheddingTime is how long an upstream rejects requests and asks for back-off.
	sheddingTime = 8 * time.Second
)

// noExemptions exempts no VM: each must follow the statements in all responses that it was sent.
var noExemptions = standin.Exemptions{
	MissedResponse: func(string, *standin.Runner, time.Time) bool { return false },
	Restarted:      exemptNone, RestartedOrCut: exemptNone,
}

// firstRunners returns the first upstream of each service.
func firstRunners(f *fleet.Fleet) []*standin.Runner {
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// Upstreams declare in their responses that they leave, while the store does not respond and afterwards still lists them as
// ready. VMs must follow the responses and send no new requests.
func TestPlatformUpstreamThatDeclaresLeavingGetsNoRequests(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	f.Platform.SetMode(standin.Unresponsive)
	for _, r := range firstRunners(f) {
		r.DeclareDraining()
	}
	time.Sleep(storeOutage)
	f.Platform.SetMode(standin.Healthy)
	time.Sleep(listedTime)
	l.stopAndCheck(t, f)
	require.Empty(t, f.Platform.IgnoredStatements(noExemptions))
}

// An upstream declares that it leaves. The status of the VMs must show operators which VMs have received this statement, and
// all VMs must report the same holder of each service.
func TestPlatformStatusShowsHoldersAndStatements(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	f.Platform.Models[0].DeclareDraining()
	var relays []operator.RelayStatus
	require.Eventually(t, func() bool {
		relays = relayStatuses(t, f)
		return anyStatement(relays) && sameHolders(relays)
	}, 5*time.Second, 50*time.Millisecond)
	l.stopAndCheck(t, f)
	for _, r := range relays {
		require.Len(t, r.Services, 2, "%s", r.VM)
		for _, s := range r.Services {
			require.NotEmpty(t, s.Successor)
			require.NotEqual(t, s.Holder, s.Successor)
		}
		for _, s := range r.Statements {
			require.Equal(t, "leaving", s.Kind)
			require.EqualValues(t, f.Platform.Models[0].ID(), s.Upstream)
		}
	}
}

// relayStatuses returns the status of services that each VM reports.
func relayStatuses(t *testing.T, f *fleet.Fleet) []operator.RelayStatus {
	relays := make([]operator.RelayStatus, len(f.VMs))
	for i, v := range f.VMs {
		if err := json.Unmarshal([]byte(getPage(t, v, operator.PathServices, time.Second)), &relays[i]); err != nil {
			t.Error(err)
		}
	}
	return relays
}

// anyStatement reports whether any VM has received a statement of an upstream.
func anyStatement(relays []operator.RelayStatus) bool {
	return slices.ContainsFunc(relays, func(r operator.RelayStatus) bool { return len(r.Statements) > 0 })
}

// sameHolders reports whether all VMs report the same holder of each service.
func sameHolders(relays []operator.RelayStatus) bool {
	holders := map[route.ServiceID]peer.VM{}
	for _, r := range relays {
		for _, s := range r.Services {
			if x, known := holders[s.Service]; s.Holder == "" || known && x != s.Holder {
				return false
			}
			holders[s.Service] = s.Holder
		}
	}
	return true
}

// startAudits sends requests whose prompts need the memory of several engines, until stop is called. Four engines can't run
// all of them, so some are refused; results are ignored.
func startAudits(f *fleet.Fleet) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range f.VMs {
		c := standin.NewClient("ward")
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					c.Call(v.Caller, "audit")
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// One upstream of each service rejects all requests and orders for a while and asks each VM for a back-off. The VMs must
// comply, and use the upstream again afterwards.
func TestPlatformUpstreamGetsRequestedBackOff(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	stop := startAudits(f)
	l.awaitResponses(t)
	for _, r := range firstRunners(f) {
		r.SetFault(standin.Shedding)
	}
	time.Sleep(sheddingTime)
	for _, r := range firstRunners(f) {
		r.SetFault(standin.NoFault)
	}
	endedAt := time.Now()
	time.Sleep(2 * standin.BackOff)
	for _, r := range firstRunners(f) {
		require.Greater(t, r.RequestsSince(endedAt), 30, "the upstream is used again")
	}
	stop()
	l.stopAndCheck(t, f)
	require.Empty(t, f.Platform.IgnoredStatements(noExemptions))
}

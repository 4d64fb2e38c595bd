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
	// storeAway is shorter than keys are believed without the store, also if their last proof was old and the store's return is noticed late.
	storeAway = 2 * time.Second
	// listed is how long the store lists what leaves as ready afterwards.
	listed = 4 * time.Second
	// shedding is how long an upstream asks for rest.
	shedding = 8 * time.Second
)

// noExcuses binds every VM by what it was answered.
var noExcuses = standin.Exemptions{
	MissedResponse: func(string, *standin.Runner, time.Time) bool { return false },
	Restarted:      nobody, RestartedOrCut: nobody,
}

// firsts are the first upstream of each service.
func firsts(f *fleet.Fleet) []*standin.Runner {
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// Upstreams say in their answers that they leave, while the store is away and afterwards still lists them as ready.
func TestPlatformAnUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	f.Platform.SetMode(standin.Unresponsive)
	for _, r := range firsts(f) {
		r.DeclareDraining()
	}
	time.Sleep(storeAway)
	f.Platform.SetMode(standin.Healthy)
	time.Sleep(listed)
	l.end(t, f)
	require.Empty(t, f.Platform.IgnoredStatements(noExcuses))
}

// An upstream says that it leaves, and operators want to know who has heard of it and who decides: all VMs name one holder.
func TestPlatformOperatorsSeeWhoHoldsAServiceAndWhatUpstreamsSay(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	f.Platform.Models[0].DeclareDraining()
	var relays []operator.RelayStatus
	require.Eventually(t, func() bool {
		relays = relaysOf(t, f)
		return heard(relays) && oneHolder(relays)
	}, 5*time.Second, 50*time.Millisecond)
	l.end(t, f)
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

// relaysOf is what each VM knows of services.
func relaysOf(t *testing.T, f *fleet.Fleet) []operator.RelayStatus {
	relays := make([]operator.RelayStatus, len(f.VMs))
	for i, v := range f.VMs {
		if err := json.Unmarshal([]byte(get(t, v, operator.PathServices, time.Second)), &relays[i]); err != nil {
			t.Error(err)
		}
	}
	return relays
}

// heard reports whether any VM has heard an upstream say something of itself.
func heard(relays []operator.RelayStatus) bool {
	return slices.ContainsFunc(relays, func(r operator.RelayStatus) bool { return len(r.Statements) > 0 })
}

// oneHolder reports whether all VMs follow one holder of each service.
func oneHolder(relays []operator.RelayStatus) bool {
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

// audits calls for prompts that take the memory of several engines, until it is stopped. Too many for four engines, some are refused.
func audits(f *fleet.Fleet) (stop func()) {
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

// An upstream of each service turns all requests and orders away for a while, and asks each VM for rest.
func TestPlatformAnUpstreamThatAsksForRestGetsIt(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	stop := audits(f)
	l.more(t)
	for _, r := range firsts(f) {
		r.SetFault(standin.Shedding)
	}
	time.Sleep(shedding)
	for _, r := range firsts(f) {
		r.SetFault(standin.NoFault)
	}
	over := time.Now()
	time.Sleep(2 * standin.BackOff)
	for _, r := range firsts(f) {
		require.Greater(t, r.RequestsSince(over), 30, "it is used again")
	}
	stop()
	l.end(t, f)
	require.Empty(t, f.Platform.IgnoredStatements(noExcuses))
}

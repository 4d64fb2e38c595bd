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
	// storeAway is shorter than the time for which API keys are accepted without the store, even if the keys were last
	// verified some time before the outage and the end of the outage is noticed late.
	storeAway = 2 * time.Second
	// listed is how long after the outage the store still lists the leaving upstreams as ready.
	listed = 4 * time.Second
	// shedding is how long an upstream rejects requests and asks for back-off.
	shedding = 8 * time.Second
)

// noExcuses exempts no VM: each must follow the statements in all responses that it was sent.
var noExcuses = standin.Excuses{
	Unheard:   func(string, *standin.Runner, time.Time) bool { return false },
	Restarted: nobody, Cut: nobody,
}

// firsts returns the first upstream of each service.
func firsts(f *fleet.Fleet) []*standin.Runner {
	return []*standin.Runner{f.Platform.Models[0], f.Platform.Desks[0]}
}

// Upstreams declare in their responses that they leave, while the store does not respond and afterwards still lists them as
// ready. VMs must follow the responses and send no new requests.
func TestPlatformAnUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	f.Platform.Fail(standin.Mute)
	for _, r := range firsts(f) {
		r.Leave()
	}
	time.Sleep(storeAway)
	f.Platform.Fail(standin.Well)
	time.Sleep(listed)
	l.end(t, f)
	require.Empty(t, f.Platform.Ignored(noExcuses))
}

// An upstream declares that it leaves. The status of the VMs must show operators which VMs have received this statement, and
// all VMs must report the same holder of each service.
func TestPlatformOperatorsSeeWhoHoldsAServiceAndWhatUpstreamsSay(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	f.Platform.Models[0].Leave()
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

// relaysOf returns the status of services that each VM reports.
func relaysOf(t *testing.T, f *fleet.Fleet) []operator.RelayStatus {
	relays := make([]operator.RelayStatus, len(f.VMs))
	for i, v := range f.VMs {
		if err := json.Unmarshal([]byte(get(t, v, operator.PathServices, time.Second)), &relays[i]); err != nil {
			t.Error(err)
		}
	}
	return relays
}

// heard reports whether any VM has received a statement of an upstream.
func heard(relays []operator.RelayStatus) bool {
	return slices.ContainsFunc(relays, func(r operator.RelayStatus) bool { return len(r.Statements) > 0 })
}

// oneHolder reports whether all VMs report the same holder of each service.
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

// audits sends requests whose prompts need the memory of several engines, until stop is called. Four engines can't run all
// of them, so some are refused; results are ignored.
func audits(f *fleet.Fleet) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range f.VMs {
		c := standin.NewCaller("ward")
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
func TestPlatformAnUpstreamThatAsksForRestGetsIt(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	stop := audits(f)
	l.more(t)
	for _, r := range firsts(f) {
		r.Get(standin.Shedding)
	}
	time.Sleep(shedding)
	for _, r := range firsts(f) {
		r.Get(standin.Fine)
	}
	over := time.Now()
	time.Sleep(2 * standin.Rest)
	for _, r := range firsts(f) {
		require.Greater(t, r.Arrived(over), 30, "the upstream is used again")
	}
	stop()
	l.end(t, f)
	require.Empty(t, f.Platform.Ignored(noExcuses))
}

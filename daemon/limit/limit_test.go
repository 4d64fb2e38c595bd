package limit

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
)

// fleet is a set of VMs with a common clock, which the test sets; vm-1 is the home VM of all
// workspaces.
type fleet struct {
	now  clock.Milli
	vms  map[string]*Limits
	down bool
}

func (f *fleet) Now() clock.Milli  { return f.now }
func (f *fleet) Self() peer.Member { return peer.Member{} }
func (f *fleet) Home(decide.WorkspaceID) (peer.Member, bool) {
	return peer.Member{Address: "vm-1"}, true
}

func (f *fleet) Live() []peer.Member { return make([]peer.Member, len(f.vms)) }

func (f *fleet) Call(_ context.Context, address, _ string, args, reply any) error {
	if f.down {
		return errors.New("down")
	}
	return NewReceiver(f.vms[address]).Share(args.(peer.ShareArgs), reply.(*peer.ShareReply))
}

func newFleet(rate decide.Rate) *fleet {
	f := &fleet{now: 1000, vms: map[string]*Limits{}}
	for _, v := range []string{"vm-1", "vm-2", "vm-3"} {
		f.vms[v] = New(f, f, f, decide.GateID(v))
	}
	for _, l := range f.vms {
		l.Configure([]document.Workspace{{Name: "wards", Rate: rate}})
	}
	return f
}

// takeTokens requests 100 tokens on each of some VMs every 10 ms for ten seconds, and returns the
// sum of the tokens granted.
func (f *fleet) takeTokens(vms ...string) (granted decide.Tokens) {
	for range 10 {
		for range 100 {
			f.now += 10
			for _, v := range vms {
				if f.vms[v].Take("wards", 100) == 0 {
					granted += 100
				}
			}
		}
		for _, v := range vms {
			f.vms[v].requestShares(context.Background())
		}
	}
	return granted
}

// All clients of a workspace connect to one VM. That VM must get nearly the whole rate; when the
// clients spread over all VMs, the sum must stay at the rate.
func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(3000)
	f.takeTokens("vm-2")
	got := f.takeTokens("vm-2")
	require.InEpsilon(t, 30000, int(got), 0.1)
	f.takeTokens("vm-1", "vm-2", "vm-3")
	got = f.takeTokens("vm-1", "vm-2", "vm-3")
	require.InEpsilon(t, 30000, int(got), 0.1)
}

// The home VM is lost. The workspace must neither be blocked nor exceed its rate: every VM
// continues with its last share.
func TestLastShareStaysInForceWithoutHome(t *testing.T) {
	f := newFleet(3000)
	f.takeTokens("vm-2", "vm-3")
	f.down = true
	got := f.takeTokens("vm-2", "vm-3")
	require.InEpsilon(t, 30000, int(got), 0.1)
}

func TestNoRateNoLimit(t *testing.T) {
	f := newFleet(0)
	require.Zero(t, f.vms["vm-1"].Take("wards", 1<<40))
	require.Zero(t, f.vms["vm-1"].Take("unknown", 1<<40))
}

func TestRefusalReturnsTimeUntilRetry(t *testing.T) {
	f := newFleet(300)
	for f.vms["vm-1"].Take("wards", 50) == 0 {
	}
	wait := f.vms["vm-1"].Take("wards", 50)
	require.Positive(t, wait)
	f.now += wait
	require.Zero(t, f.vms["vm-1"].Take("wards", 50))
}

// Thousands of workspaces send a request now and then. Each second a VM may request shares only for
// workspaces with clients in that second, or control traffic exceeds its limit.
func TestSharesAreRequestedOnlyForWorkspacesWithCallers(t *testing.T) {
	f := newFleet(3000)
	l := f.vms["vm-2"]
	require.Zero(t, l.Take("wards", 10))
	f.now += 1000
	require.Len(t, l.demands(), 1)
	f.now += 1000
	require.Empty(t, l.demands())
	f.now += 10_000
	require.Empty(t, l.demands())
	require.Empty(t, l.buckets)
}

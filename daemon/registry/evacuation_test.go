package registry

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// fakeEvacuations is a store that lists evacuated domains; each answer has the next position.
type fakeEvacuations struct {
	mu       sync.Mutex
	domains  []route.Domain
	restored []route.Domain
	at       route.Position
}

func (f *fakeEvacuations) Evacuations(context.Context) (route.EvacuationUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at.Mark++
	return route.EvacuationUpdate{Evacuated: f.domains}, f.at, nil
}

func (f *fakeEvacuations) WatchEvacuations(context.Context, route.Position, clock.Milli) (route.EvacuationUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at.Mark++
	return route.EvacuationUpdate{Evacuated: f.domains, Restored: f.restored}, f.at, nil
}

// newEvacuationHarness returns a VM that follows evacuations, with one upstream in each of two domains.
func newEvacuationHarness(t *testing.T) (*harness, *fakeEvacuations) {
	t.Helper()
	b, f := newHarness(t), &fakeEvacuations{}
	b.FollowEvacuations(f)
	b.store.upstreams = []route.Upstream{{ID: "a", Service: "s", Domain: "north"}, {ID: "b", Service: "s", Domain: "south"}}
	b.list()
	return b, f
}

// listEvacuated lists the evacuations.
func (b *harness) listEvacuated() {
	b.t.Helper()
	_, err := b.listEvacuations(b.ctx)
	require.NoError(b.t, err)
}

// The operator evacuates a failure domain. Its upstreams are running and their entries say ready, so
// requests would still be sent to them.
func TestUpstreamsOfEvacuatedDomainGetNoRequests(t *testing.T) {
	b, f := newEvacuationHarness(t)
	f.domains = []route.Domain{"north"}
	b.listEvacuated()
	used, leaving := b.usedAndLeaving()
	require.Equal(t, []decide.UpstreamID{"b"}, used)
	require.Equal(t, []decide.UpstreamID{"a"}, leaving)

	f.domains, f.restored = nil, []route.Domain{"north"}
	_, err := b.watchEvacuations(b.ctx, f.at, watchWait)
	require.NoError(t, err)
	used, _ = b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used)
}

// Only two VMs read the store in a large fleet. The others must learn of evacuations from peers, both
// at the beginning and at the end, and must not take an evacuated upstream for one that leaves for good.
func TestPeersTellOfEvacuations(t *testing.T) {
	reader, f := newEvacuationHarness(t)
	b, _ := newEvacuationHarness(t)
	b.clock = reader.clock
	b.Registry.clock = reader.clock
	b.peers = localPeer{reader.Registry}
	for _, domains := range [][]route.Domain{{"north"}, {}, {"south", "north"}} {
		f.domains = domains
		reader.listEvacuated()
		reader.relist()
		require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
		_, leaving := b.usedAndLeaving()
		require.Len(t, leaving, len(domains))
	}
	older := peer.RegistrySummary{Evacuations: peer.Evacuations{Position: route.Position{Mark: 1}}}
	b.learnSummary(older, b.clock.Now())
	_, leaving := b.usedAndLeaving()
	require.Len(t, leaving, 2, "a late message of a peer ends no evacuation")
}

// The store is restored from a copy that is older than an evacuation, which the operator writes again
// a moment later. In between, requests would be sent to the evacuated domain.
func TestOlderCopyOfStoreEndsNoEvacuation(t *testing.T) {
	b, f := newEvacuationHarness(t)
	f.domains = []route.Domain{"north"}
	b.listEvacuated()
	f.domains, f.at = nil, route.Position{Era: 1}
	b.listEvacuated()
	_, leaving := b.usedAndLeaving()
	require.Equal(t, []decide.UpstreamID{"a"}, leaving)
	b.clock.advance(unverifiedTime)
	b.mu.Lock()
	b.expireEvacuations()
	b.mu.Unlock()
	_, leaving = b.usedAndLeaving()
	require.Empty(t, leaving, "the operator has not written it again")
}

// Peers of an earlier version know nothing of evacuations. A VM that left reading them to such peers
// would never learn of any.
func TestVMReadsEvacuationsIfPeersDoNotTellThem(t *testing.T) {
	b, _ := newEvacuationHarness(t)
	silent := newHarness(t)
	silent.Registry.clock = b.clock
	b.peers = localPeer{silent.Registry}
	others := []peer.Member{{VM: "one"}, {VM: "two"}}
	b.SetReaders(func() Roster { return Roster{Sources: others, Rank: 2, LargeFleet: true} })
	b.clock.advance(clock.Second)
	silent.relist()
	b.askReaders(b.ctx, others, 0)
	require.True(t, b.delegates(b.upstreamFeed()))
	require.False(t, b.delegates(b.evacuationFeed()))
	b.listEvacuated()
	require.True(t, b.delegates(b.evacuationFeed()), "for as long as its own list is current")
}

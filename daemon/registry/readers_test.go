package registry

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// The store rejects the calls of a third of the VMs, among them both readers. They still answer
// peers, with a document that is fresh enough for a while. Meanwhile an upstream leaves without
// notice, and requests would be sent to it for seconds: the next VM must read both feeds at once.
func TestVMStandsInForReadersCutOffFromStore(t *testing.T) {
	b, first, second := newHarness(t), newHarness(t), newHarness(t)
	first.Registry.clock, second.Registry.clock = b.clock, b.clock
	b.peers = localPeers{"first": first.Registry, "second": second.Registry}
	others := []peer.Member{{VM: "first", Address: "first"}, {VM: "second", Address: "second"}}
	b.SetReaders(func() Roster { return Roster{Sources: others, Rank: 2, LargeFleet: true} })
	b.askReaders(b.ctx, others, 0)
	require.True(t, b.delegates(b.documentFeed()))
	require.True(t, b.delegates(b.upstreamFeed()))

	for _, r := range []*harness{first, second} {
		r.store.down = true
		r.watch()
	}
	nextReader := b.askReaders(b.ctx, others, 0)
	b.askReaders(b.ctx, others, nextReader)
	require.False(t, b.delegates(b.documentFeed()))
	require.False(t, b.delegates(b.upstreamFeed()))
	b.list()
	require.False(t, b.delegates(b.upstreamFeed()), "a list of its own does not end its standing in")
	require.True(t, b.isProver(), "it is the prover")

	first.store.down = false
	first.list()
	b.clock.advance(cutOffTTL)
	b.askReaders(b.ctx, others, 0)
	require.False(t, b.isProver(), "a reader can reach the store again and is the prover")
	second.store.down = false
	second.list()
	b.clock.advance(cutOffTTL)
	b.askReaders(b.ctx, others, 1)
	require.True(t, b.delegates(b.upstreamFeed()), "both readers can reach the store again")
}

// The first reader is cut off from the store. Not all VMs behind it may read in its place: two VMs
// that can reach the store suffice.
func TestNoMoreVMsStandInThanNeeded(t *testing.T) {
	b, cutOff, connected := newHarness(t), newHarness(t), newHarness(t)
	cutOff.Registry.clock, connected.Registry.clock = b.clock, b.clock
	cutOff.store.down = true
	cutOff.watch()
	b.peers = localPeers{"cut-off": cutOff.Registry, "connected": connected.Registry, "next": connected.Registry}
	others := []peer.Member{{VM: "cut-off", Address: "cut-off"}, {VM: "connected", Address: "connected"}, {VM: "next", Address: "next"}}
	rank := 2
	b.SetReaders(func() Roster { return Roster{Sources: others[:rank], Rank: rank, LargeFleet: true} })
	nextReader := b.askReaders(b.ctx, others, 0)
	b.askReaders(b.ctx, others, nextReader)
	require.False(t, b.delegates(b.documentFeed()), "only one VM before it can reach the store")
	require.False(t, b.isProver(), "the VM before it is the prover")
	require.Equal(t, others[1:], b.connected(others), "a member that is cut off is not asked for a while")
	rank = 3
	require.True(t, b.delegates(b.documentFeed()), "two VMs before it can reach the store")
}

// A VM restarts while its peers have the full state. Without bootstrapping from a peer it would
// list the store twice, as would every VM after an upgrade.
func TestJoiningVMLearnsFromPeerWithoutStoreCalls(t *testing.T) {
	b, informed := newHarness(t), newHarness(t)
	joining := New(b.store, localPeer{informed.Registry}, b.clock, b.log)
	informed.Registry.clock = b.clock
	joining.SetReaders(func() Roster { return Roster{Sources: []peer.Member{{VM: "known"}}, Rank: 2, LargeFleet: true} })
	ctx, cancel := context.WithTimeout(b.ctx, 900*time.Millisecond)
	defer cancel()
	calls := 0
	f := feed{
		name: "routes", lead: true,
		list: func(context.Context) (route.Position, error) { calls++; return route.Position{Mark: 1}, nil },
		watch: func(context.Context, route.Position, clock.Milli) (route.Position, error) {
			calls++
			return route.Position{Mark: 1}, nil
		},
	}
	go func() { _ = joining.Run(ctx) }()
	beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
	informed.Fill("", beat)
	joining.Learn(beat, 0)
	joining.follow(ctx, f)
	require.NotNil(t, joining.View().Table)
	require.Zero(t, calls)
}

// A thousand VMs start at once. The first answer of a reader has the document and not yet the upstreams. If
// a VM listed the upstreams itself then, a fleet would list them a thousand times.
func TestFirstListOfUpstreamsIsLeftToReaders(t *testing.T) {
	reader := newHarness(t)
	started := New(reader.store, localPeer{reader.Registry}, reader.clock, reader.log)
	reader.Registry.upstreamsVerified, reader.Registry.position = 0, route.Position{}
	others := []peer.Member{{VM: "reader"}, {VM: "other"}}
	started.SetReaders(func() Roster { return Roster{Sources: others, Rank: 20, LargeFleet: true} })
	reader.clock.advance(100)
	started.askReaders(context.Background(), others, 0)
	require.NotNil(t, started.View().Table)
	require.True(t, started.delegates(started.upstreamFeed()))
	reader.clock.advance(bootstrapGrace + clock.Milli(20)*rankDelay)
	require.False(t, started.delegates(started.upstreamFeed()), "the readers have no list either")
}

// Three hundred VMs start at once and ask the first VM that has the document. Without a limit all
// transfers share its small link and none completes before the requesters time out.
func TestDocumentHandoversAreRateLimited(t *testing.T) {
	b := newHarness(t)
	v := NewReceiver(b.Registry)
	ask := func() *peer.RegistryReply {
		var reply peer.RegistryReply
		require.NoError(t, v.Tell(&peer.RegistrySummary{Packs: true}, &reply))
		return &reply
	}
	for range handoverLimit {
		d, err := peer.UnpackDocument(ask().Packed)
		require.NoError(t, err)
		require.Equal(t, route.Revision(1), d.Revision)
	}
	require.True(t, ask().Busy)
	b.clock.advance(handoverWindow)
	require.NotEmpty(t, ask().Packed)
}

// A peer's document arrives corrupted. It must neither count as an answer nor crash the VM.
func TestCorruptPeerDocumentIsRejected(t *testing.T) {
	b := newHarness(t)
	require.False(t, b.learnReplyDocument(&peer.RegistryReply{Packed: []byte("no document")}, b.clock.Now(), "peer"))
	require.Equal(t, route.Revision(1), b.View().Table.Revision())
}

// While the store is down only the lead feed calls it, and the other feed follows once such a call
// succeeds.
func TestOnlyLeadFeedRetriesDuringOutage(t *testing.T) {
	b := newHarness(t)
	b.leadFeedFailing.Store(true)
	began := time.Now()
	back := time.AfterFunc(50*time.Millisecond, func() { b.leadFeedFailing.Store(false) })
	defer back.Stop()
	b.awaitLeadFeed(b.ctx, b.upstreamFeed())
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	b.leadFeedFailing.Store(true)
	began = time.Now()
	b.awaitLeadFeed(b.ctx, b.documentFeed())
	require.Less(t, time.Since(began), checkPeriod)
	b.awaitLeadFeed(b.ctx, b.upstreamFeed())
	require.Less(t, time.Since(began), 2*maxLeadFeedWaits*checkPeriod, "a store that fails for one feed only does not stop the other")
}

// Upstreams register one after the other. Each update ends a watch, so the interval between watches
// grows as long as that continues.
func TestWatchIntervalGrowsWhileUpdatesContinue(t *testing.T) {
	b := newHarness(t)
	f := feed{watch: func(_ context.Context, after route.Position, _ clock.Milli) (route.Position, error) {
		return next(after), nil
	}, wait: watchWait}
	began := time.Now()
	_, busy, err := b.watchOnce(b.ctx, f, mark(1), false)
	require.NoError(t, err)
	require.True(t, busy)
	require.Less(t, time.Since(began), busyWatchInterval.Duration())
	began = time.Now()
	_, _, err = b.watchOnce(b.ctx, f, mark(2), busy)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), busyWatchInterval.Duration())
}

// A watch is canceled because no reader verifies this VM's copy any more. Another watch would
// verify it only after its wait, and requests with API keys would be refused meanwhile. A list
// verifies it at once.
func TestWatchCanceledForLackOfProofIsFollowedByList(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	b.readBy(reader.Registry, false)
	f := feed{name: "routes", wait: watchWait, watch: func(ctx context.Context, _ route.Position, _ clock.Milli) (route.Position, error) {
		b.endLongWatches()
		return route.Position{}, errors.Join(ctx.Err(), errDown)
	}}
	at, _, err := b.watchOnce(b.ctx, f, mark(7), false)
	require.NoError(t, err)
	require.Zero(t, at)
}

// Three hundred VMs start for the first time and each lists both kinds of objects, although there
// are no clients yet and the first few VMs could send their state to the others.
func TestVMWaitsForPeersAtFirstStart(t *testing.T) {
	b, informed := newHarness(t), newHarness(t)
	started := New(b.store, localPeer{informed.Registry}, b.clock, b.log)
	informed.Registry.clock = b.clock
	started.SetReaders(func() Roster { return Roster{Sources: []peer.Member{{VM: "known"}}, Rank: 2, LargeFleet: true} })
	started.SetBootstrapWait(FirstBootstrapWait)
	informing := make(chan struct{})
	beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
	informed.Fill("", beat)
	timer := time.AfterFunc(5*defaultBootstrapWait, func() { started.Learn(beat, 0); close(informing) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(b.ctx, 5*defaultBootstrapWait+joinWait/2)
	defer cancel()
	calls := 0
	started.follow(ctx, feed{
		name: "routes", lead: true,
		list: func(context.Context) (route.Position, error) { calls++; return route.Position{Mark: 1}, nil },
		watch: func(context.Context, route.Position, clock.Milli) (route.Position, error) {
			calls++
			return route.Position{Mark: 1}, nil
		},
	})
	<-informing
	require.NotNil(t, started.View().Table)
	require.Zero(t, calls)
}

// Calls of the store are billed, so operators must be able to see which VMs made them and in which
// role.
func TestStoreCallsAreCountedByRole(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	require.Equal(t, Alone, b.role())
	b.SetReaders(func() Roster { return Roster{Primary: true, Seed: true} })
	ctx, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
	defer cancel()
	b.follow(ctx, feed{name: "routes", list: func(context.Context) (route.Position, error) { return route.Position{Mark: 0}, errDown }})
	require.Equal(t, map[Call]uint64{{Feed: "routes", Role: Prover, List: true}: 1}, b.Calls())
	require.Equal(t, "list", Call{List: true}.Name())
}

// A VM stands in for the readers. The log must show when and why, since the cause of a stale
// document is first sought in which VMs read the store at that time.
func TestRoleChangeIsLoggedOnce(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	var lines bytes.Buffer
	b.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &lines}}
	b.askReaders(b.ctx, b.readers().Sources, 0)
	role := b.noteRole(b.readers(), Starter)
	require.Equal(t, Follower, role)
	require.Equal(t, Follower, b.noteRole(b.readers(), role))
	require.Equal(t, 1, strings.Count(lines.String(), `"event":"reader"`))
	reader.store.down = true
	reader.watch()
	for nextReader := range 2 {
		b.askReaders(b.ctx, b.readers().Sources, nextReader)
	}
	require.Equal(t, StandIn, b.noteRole(b.readers(), role))
	require.Contains(t, lines.String(), `"role":"standin","before":"follower","rank":2,"open":0`)
}

// If a poll waited for the next periodic check, it would be late by up to checkPeriod, and the
// removal of a leaving upstream passes two layers of polls.
func TestPeriodicCheckDoesNotDelayNextPoll(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	b.askReaders(b.ctx, b.readers().Sources, 0)
	for passed := clock.Milli(0); passed < pollInterval; {
		require.False(t, b.pollDue(b.readers()))
		wait := clock.Milli(b.checkInterval().Milliseconds())
		require.LessOrEqual(t, passed+wait, pollInterval)
		b.clock.advance(wait)
		passed += wait
	}
	require.True(t, b.pollDue(b.readers()))
}

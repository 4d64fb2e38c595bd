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

// The store turns a third of the VMs away, and both that read for all are among them. They answer as ever, with a
// document that is young enough for a while. An upstream leaves meanwhile without a word, and
// requests are sent to it seconds after it may exit: the next VM must read both kinds of objects at once.
func TestAVMStepsInForReadersThatAreShutOff(t *testing.T) {
	b, first, second := newBench(t), newBench(t), newBench(t)
	first.Registry.clock, second.Registry.clock = b.clock, b.clock
	b.peers = byAddress{"first": first.Registry, "second": second.Registry}
	others := []peer.Member{{VM: "first", Address: "first"}, {VM: "second", Address: "second"}}
	b.SetReaders(func() Roster { return Roster{Sources: others, Rank: 2, LargeFleet: true} })
	b.askReaders(b.ctx, others, 0)
	require.True(t, b.rests(b.documents()))
	require.True(t, b.rests(b.entries()))

	for _, r := range []*bench{first, second} {
		r.store.down = true
		r.watch()
	}
	turn := b.askReaders(b.ctx, others, 0)
	b.askReaders(b.ctx, others, turn)
	require.False(t, b.rests(b.documents()))
	require.False(t, b.rests(b.entries()))
	b.list()
	require.False(t, b.rests(b.entries()), "it has just listed, and goes on reading")
	require.True(t, b.reads(), "it proves for all")

	first.store.down = false
	first.list()
	b.clock.forward(shutFor)
	b.askReaders(b.ctx, others, 0)
	require.False(t, b.reads(), "a reader's way is open again, and it proves")
	second.store.down = false
	second.list()
	b.clock.forward(shutFor)
	b.askReaders(b.ctx, others, 1)
	require.True(t, b.rests(b.entries()), "both are open again")
}

// The first reader is shut off, and the VMs behind it must not all read in its place: two that are open suffice.
func TestOnlyAsManyVMsStepInAsAreNeeded(t *testing.T) {
	b, shut, open := newBench(t), newBench(t), newBench(t)
	shut.Registry.clock, open.Registry.clock = b.clock, b.clock
	shut.store.down = true
	shut.watch()
	b.peers = byAddress{"shut": shut.Registry, "open": open.Registry, "next": open.Registry}
	others := []peer.Member{{VM: "shut", Address: "shut"}, {VM: "open", Address: "open"}, {VM: "next", Address: "next"}}
	rank := 2
	b.SetReaders(func() Roster { return Roster{Sources: others[:rank], Rank: rank, LargeFleet: true} })
	turn := b.askReaders(b.ctx, others, 0)
	b.askReaders(b.ctx, others, turn)
	require.False(t, b.rests(b.documents()), "one before it is open")
	require.False(t, b.reads(), "that one proves")
	require.Equal(t, others[1:], b.open(others), "a member that is shut off is not asked for a while")
	rank = 3
	require.True(t, b.rests(b.documents()), "two before it are open")
}

// A VM starts again in a fleet that knows all. It lists the store twice, as every VM does after a release, though any peer
// could have told it.
func TestAVMThatJoinsIsToldByAPeer(t *testing.T) {
	b, known := newBench(t), newBench(t)
	young := New(b.store, direct{known.Registry}, b.clock, b.log)
	known.Registry.clock = b.clock
	young.SetReaders(func() Roster { return Roster{Sources: []peer.Member{{VM: "known"}}, Rank: 2, LargeFleet: true} })
	ctx, cancel := context.WithTimeout(b.ctx, 900*time.Millisecond)
	defer cancel()
	calls := 0
	f := feed{
		name: "routes", leads: true,
		list: func(context.Context) (route.Position, error) { calls++; return route.Position{Mark: 1}, nil },
		watch: func(context.Context, route.Position, clock.Milli) (route.Position, error) {
			calls++
			return route.Position{Mark: 1}, nil
		},
	}
	go func() { _ = young.Run(ctx) }()
	beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
	known.Fill("", beat)
	young.Learn(beat, true)
	young.follow(ctx, f)
	require.NotNil(t, young.View().Table)
	require.Zero(t, calls)
}

// Three hundred VMs start at once and ask the first one that knows the document. It tells a few at a time; all at once they
// would share its small link, and none would have it in time.
func TestADocumentIsHandedOverToAFewAtATime(t *testing.T) {
	b := newBench(t)
	v := NewReceiver(b.Registry)
	ask := func() *peer.RegistryReply {
		var reply peer.RegistryReply
		require.NoError(t, v.Tell(&peer.RegistryWord{Packs: true}, &reply))
		return &reply
	}
	for range handoverMost {
		d, err := peer.UnpackDocument(ask().Packed)
		require.NoError(t, err)
		require.Equal(t, route.Revision(1), d.Revision)
	}
	require.True(t, ask().Busy)
	b.clock.forward(handoverSpan)
	require.NotEmpty(t, ask().Packed)
}

// A peer's document arrives damaged. It must not be taken for an answer, nor end the VM.
func TestADamagedDocumentIsNotTaken(t *testing.T) {
	b := newBench(t)
	require.False(t, b.takeDocument(&peer.RegistryReply{Packed: []byte("no document")}, b.clock.Now(), "peer"))
	require.Equal(t, route.Revision(1), b.View().Table.Revision())
}

// While the store is away one of the two kinds of objects is asked for, not both, and the other follows once the first is answered.
func TestOneFeedFindsOutThatTheStoreIsBack(t *testing.T) {
	b := newBench(t)
	b.failing.Store(true)
	began := time.Now()
	back := time.AfterFunc(50*time.Millisecond, func() { b.failing.Store(false) })
	defer back.Stop()
	b.yield(b.ctx, b.entries())
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	b.failing.Store(true)
	began = time.Now()
	b.yield(b.ctx, b.documents())
	require.Less(t, time.Since(began), checkEvery)
	b.yield(b.ctx, b.entries())
	require.Less(t, time.Since(began), 2*yieldLongest*checkEvery, "a store that fails for one kind alone does not stop the other")
}

// Upstreams register one after the other. Each ends a watch, so watches follow each other less often while that goes on.
func TestWatchesWaitLongerWhileNewsFollowsNews(t *testing.T) {
	b := newBench(t)
	f := feed{watch: func(_ context.Context, after route.Position, _ clock.Milli) (route.Position, error) {
		return next(after), nil
	}, wait: watchWait}
	began := time.Now()
	_, busy, err := b.next(b.ctx, f, mark(1), false)
	require.NoError(t, err)
	require.True(t, busy)
	require.Less(t, time.Since(began), newsBusy.Duration())
	began = time.Now()
	_, _, err = b.next(b.ctx, f, mark(2), busy)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), newsBusy.Duration())
}

// A watch is ended since nothing proves our knowledge any more. A further watch would prove it only after its wait, and keys
// would be refused meanwhile: a list proves at once.
func TestAWatchEndedForWantOfProofIsFollowedByAList(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	b.readBy(reader.Registry, false)
	f := feed{name: "routes", wait: watchWait, watch: func(ctx context.Context, _ route.Position, _ clock.Milli) (route.Position, error) {
		b.endLong()
		return route.Position{}, errors.Join(ctx.Err(), errDown)
	}}
	at, _, err := b.next(b.ctx, f, mark(7), false)
	require.NoError(t, err)
	require.Zero(t, at)
}

// Three hundred VMs start for the first time and each lists both kinds of objects, though no caller is there yet and the first
// few could tell the others.
func TestAtTheFirstStartAVMWaitsToBeTold(t *testing.T) {
	b, known := newBench(t), newBench(t)
	young := New(b.store, direct{known.Registry}, b.clock, b.log)
	known.Registry.clock = b.clock
	young.SetReaders(func() Roster { return Roster{Sources: []peer.Member{{VM: "known"}}, Rank: 2, LargeFleet: true} })
	young.SetBootstrapWait(FirstBootstrapWait)
	told := make(chan struct{})
	beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
	known.Fill("", beat)
	tell := time.AfterFunc(5*bootstrapTime, func() { young.Learn(beat, true); close(told) })
	defer tell.Stop()
	ctx, cancel := context.WithTimeout(b.ctx, 5*bootstrapTime+joinTime/2)
	defer cancel()
	calls := 0
	young.follow(ctx, feed{
		name: "routes", leads: true,
		list: func(context.Context) (route.Position, error) { calls++; return route.Position{Mark: 1}, nil },
		watch: func(context.Context, route.Position, clock.Milli) (route.Position, error) {
			calls++
			return route.Position{Mark: 1}, nil
		},
	})
	<-told
	require.NotNil(t, young.View().Table)
	require.Zero(t, calls)
}

// A day's calls of the store are priced, and whoever looks for the dear ones must see who made them and why.
func TestCallsAreCountedByTheirReason(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	require.Equal(t, Alone, b.role())
	b.SetReaders(func() Roster { return Roster{Primary: true, Seed: true} })
	ctx, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
	defer cancel()
	b.follow(ctx, feed{name: "routes", list: func(context.Context) (route.Position, error) { return route.Position{Mark: 0}, errDown }})
	require.Equal(t, map[Call]uint64{{Feed: "routes", Role: Prover, List: true}: 1}, b.Calls())
	require.Equal(t, "list", Call{List: true}.Name())
}

// A VM steps in for others, and the log must say when and why: whoever looks for the cause of a stale document asks first who
// read the store at that time.
func TestAChangeOfPartIsLoggedOnce(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	var lines bytes.Buffer
	b.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &lines}}
	b.askReaders(b.ctx, b.readers().Sources, 0)
	role := b.noteRole(b.readers(), Starter)
	require.Equal(t, Follower, role)
	require.Equal(t, Follower, b.noteRole(b.readers(), role))
	require.Equal(t, 1, strings.Count(lines.String(), `"event":"reader"`))
	reader.store.down = true
	reader.watch()
	for turn := range 2 {
		b.askReaders(b.ctx, b.readers().Sources, turn)
	}
	require.Equal(t, StandIn, b.noteRole(b.readers(), role))
	require.Contains(t, lines.String(), `"role":"standin","before":"follower","rank":2,"open":0`)
}

// Questions to readers go out late by the time between two checks, and news of a leaving upstream crosses two layers of them.
func TestTheNextQuestionIsNotLateByACheck(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	b.askReaders(b.ctx, b.readers().Sources, 0)
	for passed := clock.Milli(0); passed < pollEvery; {
		require.False(t, b.due(b.readers()))
		wait := clock.Milli(b.checkInterval().Milliseconds())
		require.LessOrEqual(t, passed+wait, pollEvery)
		b.clock.forward(wait)
		passed += wait
	}
	require.True(t, b.due(b.readers()))
}

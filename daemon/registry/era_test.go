package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// restoreStore restores the store from an older copy with other contents, at an earlier position of
// a later era.
func (b *harness) restoreStore(d *route.Document, us []route.Upstream) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.document, b.store.upstreams = d, us
	b.store.at = route.Position{Era: b.store.at.Era + 1, Mark: b.store.at.Mark / 2}
}

// usedAndLeaving returns the ids of the upstreams in the view, the leaving ones apart.
func (b *harness) usedAndLeaving() (used, leaving []decide.UpstreamID) {
	for _, u := range b.View().Upstreams["s"] {
		if u.Leaving {
			leaving = append(leaving, u.ID)
			continue
		}
		used = append(used, u.ID)
	}
	return used, leaving
}

// After a restore the store has counted past a position that it issued before. A watch that resumes
// from that position misses what was written in between, since it is a different history.
func TestWatchDoesNotResumeFromPositionOfEarlierEra(t *testing.T) {
	b := newHarness(t)
	at, err := b.listUpstreams(b.ctx)
	require.NoError(t, err)
	b.restoreStore(document(1), upstreams("a", "c"))
	next, err := b.watchUpstreams(b.ctx, at, watchWait)
	require.NoError(t, err)
	require.Zero(t, next, "a list follows")
	next, err = b.watchDocument(b.ctx, at, watchWait)
	require.NoError(t, err)
	require.Zero(t, next, "a list follows")
	require.EqualValues(t, 1, b.EraChanges(), "both feeds count one change")
}

// An answer is in transit when the store is restored. Its contents belong to the history before the
// restore.
func TestAnswerOfEarlierEraIsRejected(t *testing.T) {
	b := newHarness(t)
	b.restoreStore(document(1), upstreams("a", "b"))
	b.list()
	b.store.at.Era = 0
	b.store.upstreams, b.store.document = upstreams("z"), document(9)
	_, err := b.listUpstreams(b.ctx)
	require.ErrorIs(t, err, errEra)
	_, err = b.listDocument(b.ctx)
	require.ErrorIs(t, err, errEra)
	used, _ := b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used)
	require.EqualValues(t, 1, b.View().Table.Revision())
}

// Both feeds read concurrently: one learns of the next era while the other one applies an answer of
// the earlier era.
func TestChangesOfEarlierEraAreIgnored(t *testing.T) {
	b := newHarness(t)
	b.restoreStore(document(1), upstreams("a", "b"))
	b.list()
	b.learnUpstreams(listing(upstreams("z")), mark(900), b.clock.Now())
	b.changeUpstreams(listing(upstreams("y")), mark(901), b.clock.Now())
	used, _ := b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used)
}

// The restored copy contains an upstream that has left, lists a leaving one as ready and lacks one
// that is new.
func TestKnownStateOverridesRestoredCopy(t *testing.T) {
	b := newHarness(t)
	b.changeUpstreams(listing(upstreams("c", "young")), mark(10), b.clock.Now())
	leaving := upstreams("c")
	leaving[0].Leaving = true
	b.changeUpstreams(route.UpstreamUpdate{Upstreams: leaving, Removed: []decide.UpstreamID{"b"}}, mark(11), b.clock.Now())
	b.restoreStore(document(1), upstreams("a", "b", "c"))
	b.list()
	used, left := b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "young"}, used)
	require.Equal(t, []decide.UpstreamID{"c"}, left)

	b.clock.advance(outageHold)
	b.commit(route.Position{}, 0)
	used, _ = b.usedAndLeaving()
	require.Equal(t, []decide.UpstreamID{"a"}, used, "young was not written again")

	b.changeUpstreams(listing(upstreams("b")), b.store.position(200), b.clock.Now())
	used, _ = b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used, "b was written in this era, so it is alive")

	b.clock.advance(unverifiedTime)
	require.True(t, b.acceptUnverified())
	b.commit(route.Position{}, 0)
	used, _ = b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b", "c"}, used, "otherwise its entry would have expired")
}

// The restored document is earlier than the one in force. That it does not change proves nothing:
// the operator may have written a later one, which the restore lost and which revokes an API key.
func TestEarlierDocumentInRestoredCopyDoesNotRefreshAge(t *testing.T) {
	b := newHarness(t)
	b.store.document = document(5)
	b.list()
	b.restoreStore(document(3), upstreams("a", "b"))
	b.list()
	at := b.View().TableVerified
	for range 3 {
		b.clock.advance(watchWait)
		b.watch()
	}
	require.EqualValues(t, 5, b.View().Table.Revision(), "the revision must not decrease")
	require.Equal(t, at, b.View().TableVerified)
	b.store.document = document(5)
	b.list()
	b.clock.advance(watchWait)
	b.watch()
	require.Greater(t, b.View().TableVerified, at)
}

// Readers that have and that have not yet noticed a restore answer side by side. The later era
// takes precedence although its positions are lower.
func TestListOfLaterEraIsAppliedDespiteLowerPosition(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.peers = localPeer{reader.Registry}
	b.learnUpstreams(listing(upstreams("a", "b")), mark(1000), b.clock.Now())
	reader.restoreStore(document(1), upstreams("a", "b", "c"))
	reader.list()
	beat := &peer.BeatArgs{From: peer.Member{VM: "reader"}}
	reader.Fill("", beat)
	require.True(t, b.learnSummary(beat.Registry, b.clock.Now()))
	require.True(t, b.fetch(b.ctx, beat.From))
	used, _ := b.usedAndLeaving()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b", "c"}, used)
	require.EqualValues(t, 1, b.Era())

	old := newHarness(t)
	old.Registry.clock = b.clock
	old.learnUpstreams(listing(upstreams("a")), mark(2000), b.clock.Now())
	b.peers = localPeer{old.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "old"}))
	used, _ = b.usedAndLeaving()
	require.Len(t, used, 3, "a list of an earlier era is rejected")
}

// A VM that has just started takes the restored copy for current, and other VMs read from it. They
// must not remove at once the upstreams that this copy lacks.
func TestPeerListFromRestoredCopyRemovesNothingAtOnce(t *testing.T) {
	b, started := newHarness(t), newHarness(t)
	started.Registry.clock = b.clock
	started.restoreStore(document(1), upstreams("a"))
	started.list()
	b.clock.advance(outageHold) // the hold on upstream b has ended at started
	started.commit(route.Position{}, 0)
	b.peers = localPeer{started.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "started"}))
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(outageHold)
	b.commit(route.Position{}, 0)
	require.Equal(t, 1, b.upstreamCount())
}

// The entries of all upstreams expired while the store was down, and the restored copy has them.
// The upstreams are alive.
func TestExpiredUpstreamsInRestoredCopyAreUsed(t *testing.T) {
	b := newHarness(t)
	b.learnUpstreams(listing(nil), mark(10), b.clock.Now())
	b.restoreStore(document(1), upstreams("a", "b"))
	b.list()
	b.clock.advance(2 * clock.Second)
	b.commit(route.Position{}, 0)
	require.Equal(t, 2, b.upstreamCount())
}

// A VM starts just after the store was restored from a copy whose document still accepts a revoked
// API key. The peers have the later document, so the VM must wait for them and not apply the
// restored one.
func TestVMStartedAfterStoreRestoreUsesPeerDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		informed := newHarness(t)
		informed.store.document = document(5)
		informed.list()
		started := New(informed.store, localPeer{informed.Registry}, informed.clock, informed.log)
		started.SetReaders(func() Roster { return Roster{} })
		informed.restoreStore(document(3), upstreams("a", "b"))
		informed.store.at.Era = 2
		listed := make(chan struct{})
		go func() {
			defer close(listed)
			_, err := started.listDocument(informed.ctx)
			require.NoError(t, err)
		}()
		beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
		informed.Fill("", beat)
		started.Learn(beat, informed.clock.Now())
		<-listed
		require.Eventually(t, func() bool { return started.View().Table != nil }, time.Second, time.Millisecond)
		require.EqualValues(t, 5, started.View().Table.Revision())
	})
}

// No peer that a starting VM reaches has a document, or no peer answers: it accepts the store's
// document after a wait.
func TestVMWithoutPeerDocumentAcceptsStoreAfterWait(t *testing.T) {
	b := newHarness(t)
	b.store.at.Era = 2
	for _, answered := range []bool{false, true} {
		alone := New(b.store, nil, clock.Boot{}, b.log)
		alone.SetReaders(func() Roster { return Roster{} })
		wait := aloneWait
		if answered {
			wait = documentPeerWait
			alone.Learn(&peer.BeatArgs{From: peer.Member{VM: "started"}}, 0)
		}
		began := time.Now()
		_, err := alone.listDocument(b.ctx)
		require.NoError(t, err)
		require.NotNil(t, alone.View().Table)
		require.GreaterOrEqual(t, time.Since(began), wait.Duration())
		require.Less(t, time.Since(began), wait.Duration()+time.Second)
	}
}

// The restored copy lacks an upstream, whose writer writes it again a second later. A VM whose
// watch was cut off meanwhile sees it in a list and not as a change. If it were unverified, an
// upstream that is alive would be removed for seconds.
func TestUpstreamRewrittenInThisEraIsAccepted(t *testing.T) {
	b := newHarness(t)
	b.restoreStore(document(1), upstreams("a"))
	b.list()
	b.clock.advance(clock.Second)
	b.store.upstreams = upstreams("a", "b")
	b.list()
	b.clock.advance(2 * outageHold)
	b.commit(route.Position{}, 0)
	require.Equal(t, 2, b.upstreamCount())
}

// As above, but the entry is written again only after VMs have removed the upstream.
func TestUpstreamRewrittenAfterRemovalIsAccepted(t *testing.T) {
	b := newHarness(t)
	b.restoreStore(document(1), upstreams("a"))
	b.list()
	b.clock.advance(outageHold)
	b.commit(route.Position{}, 0)
	require.Equal(t, 1, b.upstreamCount())
	b.store.upstreams = upstreams("a", "b")
	b.list()
	require.Equal(t, 2, b.upstreamCount())
}

// One VM had seen the removal of an upstream's entry before the restore and treats the restored
// entry as unverified. Another VM (b) had not seen the removal. If it took the first VM's list as
// complete, it would remove the upstream until its entry changes again. A VM that had seen the
// removal too must accept the entry later.
func TestUnverifiedEntriesOfPeerRemoveNothing(t *testing.T) {
	b, verifying, removedToo := newHarness(t), newHarness(t), newHarness(t)
	verifying.Registry.clock, removedToo.Registry.clock = b.clock, b.clock
	gone := route.UpstreamUpdate{Removed: []decide.UpstreamID{"b"}}
	verifying.changeUpstreams(gone, mark(10), b.clock.Now())
	removedToo.changeUpstreams(gone, mark(10), b.clock.Now())
	verifying.restoreStore(document(1), upstreams("a", "b"))
	verifying.list()
	require.Equal(t, 1, verifying.upstreamCount())
	b.peers, removedToo.peers = localPeer{verifying.Registry}, localPeer{verifying.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "verifying"}))
	require.True(t, removedToo.fetch(removedToo.ctx, peer.Member{VM: "verifying"}))
	b.clock.advance(outageHold)
	b.commit(route.Position{}, 0)
	require.Equal(t, 2, b.upstreamCount(), "an entry that is unverified at a peer is not removed")
	require.Equal(t, 1, removedToo.upstreamCount())
	b.clock.advance(unverifiedTime)
	removedToo.acceptUnverified()
	removedToo.commit(route.Position{}, 0)
	require.Equal(t, 2, removedToo.upstreamCount(), "otherwise its entry would have expired")
}

// A VM that was paused had removed an upstream before it learned of the restore, and copies the list of a peer that has the
// upstream. Its own list then has the latest position. If it lacked the upstream without naming it as unverified, a VM that
// has seen the entry written again would remove the upstream, and no later change would bring it back.
func TestPeerListDoesNotRemoveUpstreamsRemovedInEarlierEra(t *testing.T) {
	current, paused, behind := newHarness(t), newHarness(t), newHarness(t)
	paused.Registry.clock, behind.Registry.clock = current.clock, current.clock
	paused.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"b"}}, mark(10), current.clock.Now())
	current.restoreStore(document(1), upstreams("a", "b"))
	current.list()
	behind.restoreStore(document(1), upstreams("a", "b"))
	behind.list()
	current.store.at.Mark++
	current.list()
	paused.peers = localPeer{current.Registry}
	require.True(t, paused.fetch(paused.ctx, peer.Member{VM: "current"}))
	require.Equal(t, 1, paused.upstreamCount(), "the copy may list an upstream that has left")
	behind.peers = localPeer{paused.Registry}
	require.True(t, behind.fetch(behind.ctx, peer.Member{VM: "paused"}))
	require.Equal(t, paused.position, behind.position)
	current.clock.advance(outageHold)
	behind.commit(route.Position{}, 0)
	require.Equal(t, 2, behind.upstreamCount())
	current.clock.advance(unverifiedTime)
	paused.acceptUnverified()
	paused.commit(route.Position{}, 0)
	require.Equal(t, 2, paused.upstreamCount(), "otherwise its entry would have expired")
}

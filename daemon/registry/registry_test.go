package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// manualClock is a clock that a test advances.
type manualClock struct {
	mu sync.Mutex
	at clock.Milli
}

func (h *manualClock) Now() clock.Milli      { h.mu.Lock(); defer h.mu.Unlock(); return h.at }
func (h *manualClock) advance(d clock.Milli) { h.mu.Lock(); defer h.mu.Unlock(); h.at += d }

var errDown = errors.New("down")

// fakeStore is a store whose watches end at once.
type fakeStore struct {
	mu        sync.Mutex
	document  *route.Document
	upstreams []route.Upstream
	removed   []decide.UpstreamID
	down      bool
	// unreadable is set to answer that the document cannot be parsed.
	unreadable bool
	// at is the store's position. Its mark rises by one with each answer about upstreams.
	at route.Position
}

// position returns a position in the present era.
func (f *fakeStore) position(m route.StoreRevision) route.Position {
	return route.Position{Era: f.at.Era, Mark: m}
}

// mark returns a position without an era.
func mark(m route.StoreRevision) route.Position { return route.Position{Mark: m} }

// next returns the position that follows p.
func next(p route.Position) route.Position { return route.Position{Era: p.Era, Mark: p.Mark + 1} }

func (f *fakeStore) Document(context.Context) (*route.Document, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, route.Position{}, errDown
	}
	if f.unreadable {
		return nil, f.position(1), route.ErrDocument
	}
	return f.document, f.position(1), nil
}

func (f *fakeStore) WatchDocument(context.Context, route.Position, clock.Milli) (*route.Document, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, route.Position{}, errDown
	}
	return nil, f.position(2), nil
}

func (f *fakeStore) Upstreams(context.Context) (route.UpstreamUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return route.UpstreamUpdate{}, route.Position{}, errDown
	}
	f.at.Mark++
	return route.UpstreamUpdate{Upstreams: f.upstreams}, f.at, nil
}

func (f *fakeStore) WatchUpstreams(context.Context, route.Position, clock.Milli) (route.UpstreamUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return route.UpstreamUpdate{}, route.Position{}, errDown
	}
	removed := f.removed
	f.removed = nil
	f.at.Mark++
	return route.UpstreamUpdate{Removed: removed}, f.at, nil
}

// localPeer calls a receiver without a network.
type localPeer struct{ to *Registry }

func (d localPeer) Call(_ context.Context, _, _ string, args, reply any) error {
	return NewReceiver(d.to).Tell(args.(*peer.RegistrySummary), reply.(*peer.RegistryReply))
}

func document(revision route.Revision) *route.Document {
	return &route.Document{Revision: revision}
}

func upstreams(ids ...decide.UpstreamID) []route.Upstream {
	us := make([]route.Upstream, len(ids))
	for i, id := range ids {
		us[i] = route.Upstream{ID: id, Service: "s"}
	}
	return us
}

// listing returns the answer of the store to a list with these upstreams.
func listing(us []route.Upstream) route.UpstreamUpdate { return route.UpstreamUpdate{Upstreams: us} }

type harness struct {
	*Registry
	// promoted makes the VM the primary reader.
	promoted atomic.Bool
	t        *testing.T
	store    *fakeStore
	clock    *manualClock
	ctx      context.Context
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	b := &harness{t: t, store: &fakeStore{document: document(1), upstreams: upstreams("a", "b")}, clock: &manualClock{at: 1_000_000}, ctx: context.Background()}
	b.Registry = New(b.store, nil, b.clock, &log.Logger{Level: log.FatalLevel})
	b.list()
	return b
}

// list lists both feeds once.
func (b *harness) list() {
	b.t.Helper()
	_, err := b.listDocument(b.ctx)
	b.noteStore("routes", err)
	_, err = b.listUpstreams(b.ctx)
	b.noteStore("upstreams", err)
}

func (b *harness) watch() {
	b.t.Helper()
	_, err := b.watchDocument(b.ctx, b.store.position(1), watchWait)
	b.noteStore("routes", err)
	_, err = b.watchUpstreams(b.ctx, b.store.position(1), watchWait)
	b.noteStore("upstreams", err)
}

func (b *harness) upstreamCount() int { return len(b.View().Upstreams["s"]) }

// A late message carries a document that was already replaced: a stale read, or a peer that was cut
// off. The revision in force must not decrease.
func TestRevisionNeverDecreases(t *testing.T) {
	b := newHarness(t)
	b.learnDocument(document(9), b.clock.Now(), "store")
	b.learnDocument(document(7), b.clock.Now()+1, "peer")
	require.EqualValues(t, 9, b.View().Table.Revision())
	require.Equal(t, b.clock.Now(), b.View().TableVerified, "the older document verifies nothing")
}

// A document is inconsistent. The last valid one stays in force.
func TestInvalidDocumentIsRejected(t *testing.T) {
	b := newHarness(t)
	bad := document(2)
	bad.Routes = []route.Route{{Name: "r"}}
	b.learnDocument(bad, b.clock.Now(), "store")
	require.EqualValues(t, 1, b.View().Table.Revision())
}

// The store's document cannot be parsed. The last valid one stays in force, and the store counts as
// reachable, since it has answered. But the new document may revoke an API key, so neither lists
// nor watches that end without a change verify the last one until a valid document is there.
func TestUnreadableDocumentDoesNotRefreshAge(t *testing.T) {
	b := newHarness(t)
	verified := b.View().TableVerified
	b.clock.advance(100)
	b.store.unreadable = true
	b.list()
	require.False(t, b.StoreDown())
	require.EqualValues(t, 1, b.View().Table.Revision())
	for range 3 {
		b.clock.advance(watchWait)
		b.watch()
	}
	require.Equal(t, verified, b.View().TableVerified)
	b.store.unreadable = false
	b.list()
	require.Greater(t, b.View().TableVerified, verified)
}

// The end of a watch without a change proves that the copy was current until the end of the wait,
// and not until the arrival of the answer, which may have been delayed for seconds.
func TestDelayedWatchAnswerProvesOnlyUpToItsWait(t *testing.T) {
	b := newHarness(t)
	sent := b.clock.Now()
	b.clock.advance(4 * clock.Second)
	require.Equal(t, sent+watchWait, b.verifiedUntil(sent, watchWait))
	b.clock.advance(-3500)
	require.Equal(t, b.clock.Now(), b.verifiedUntil(sent, watchWait))
}

// An upstream's entry is removed while the store is reachable: the upstream has left.
func TestRemovedUpstreamIsDroppedAtOnce(t *testing.T) {
	b := newHarness(t)
	b.store.removed = []decide.UpstreamID{"a"}
	b.watch()
	require.Equal(t, 1, b.upstreamCount())
}

// The entries of all upstreams expired during an outage of the store although the upstreams are
// alive. If they were removed at once, no upstream would be left until they have registered again.
func TestEntriesExpiredDuringOutageAreRetained(t *testing.T) {
	b := newHarness(t)
	b.store.down = true
	b.watch()
	require.True(t, b.StoreDown())
	b.clock.advance(5 * clock.Second)
	b.store.down, b.store.upstreams = false, nil
	b.list()
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(outageHold - 100)
	b.learnUpstreams(listing(upstreams("a")), mark(1), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(200)
	b.learnUpstreams(listing(upstreams("a")), mark(1), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount(), "b was not written again during the hold")
}

// As above, with the list of upstreams as the very first answer after the outage.
func TestExpiredEntriesAreRetainedOnFirstAnswerAfterOutage(t *testing.T) {
	b := newHarness(t)
	b.store.down = true
	b.watch()
	b.clock.advance(5 * clock.Second)
	b.store.down, b.store.upstreams = false, nil
	_, err := b.listUpstreams(b.ctx)
	require.NoError(t, err)
	require.Equal(t, 2, b.upstreamCount())
}

// The store rejects this VM's calls and serves the other VMs. Changes of keys and upstreams must
// still take effect here.
func TestVMCutOffFromStoreLearnsFromPeers(t *testing.T) {
	cutOff, connected := newHarness(t), newHarness(t)
	cutOff.peers = localPeer{connected.Registry}
	connected.clock = cutOff.clock
	connected.Registry.clock = cutOff.clock
	cutOff.clock.advance(4 * clock.Second)
	connected.list()
	beat := &peer.BeatArgs{From: peer.Member{VM: "connected"}}
	connected.Fill("", beat)
	cutOff.Learn(beat, cutOff.clock.Now())
	require.Equal(t, cutOff.clock.Now(), cutOff.View().TableVerified, "the same document, verified by the peer")
	require.Equal(t, cutOff.clock.Now(), cutOff.View().UpstreamsVerified)

	cutOff.clock.advance(4 * clock.Second)
	connected.store.at.Mark += 10
	connected.store.document, connected.store.upstreams = document(2), upstreams("b", "c", "d")
	connected.list()
	beat = &peer.BeatArgs{From: peer.Member{VM: "connected"}}
	connected.Fill("", beat)
	cutOff.Learn(beat, cutOff.clock.Now())
	require.Eventually(t, func() bool {
		v := cutOff.View()
		return v.Table.Revision() == 2 && v.Upstream("s", func(u *route.Upstream) bool { return u.ID == "d" }) != nil
	}, time.Second, time.Millisecond)
}

// The store rejected this VM's calls, and readers have sent it their state since. An upstream that
// a reader reports as removed must be removed at once. If it were retained as after an outage of
// the store, requests would be sent to it long after it had left.
func TestRemovalReportedByReaderAppliesAtOnce(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	b.store.down = true
	b.watch()
	require.True(t, b.StoreDown())
	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.Equal(t, 1, b.upstreamCount())
}

// A call of this VM failed once, and readers have read for it since. Then the readers are cut off
// and the VM reads the store itself, which is not the end of an outage. An upstream that has left
// without notice must not be retained as after an outage: it would receive requests for two more
// seconds.
func TestResumedStoreReadsAreNotTreatedAsOutageEnd(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	b.store.down = true
	b.watch()
	require.True(t, b.StoreDown())
	b.store.down = false
	b.askReaders(b.ctx, b.readers().Sources, 0)
	ctx, cancel := context.WithTimeout(b.ctx, 300*time.Millisecond)
	defer cancel()
	none := func(context.Context) (route.Position, error) { return route.Position{Mark: 1}, nil }
	b.follow(ctx, feed{name: "upstreams", list: none, watch: func(context.Context, route.Position, clock.Milli) (route.Position, error) {
		return route.Position{Mark: 1}, nil
	}})
	require.False(t, b.StoreDown(), "readers verify its copy while it makes no calls")
	b.clock.advance(delegationLimit + 1)
	require.False(t, b.delegates(b.documentFeed()))
	b.store.upstreams = upstreams("b")
	b.list()
	require.Equal(t, 1, b.upstreamCount())
}

// The store was down for all VMs, and entries of upstreams expired although they are alive. A peer
// that has just started lists only the present entries and does not know the others. Its list must
// not remove them from all VMs before they have registered again.
func TestListOfNewPeerAfterOutageRemovesNothingAtOnce(t *testing.T) {
	b := newHarness(t)
	b.clock.advance(5 * clock.Second)
	b.learnPeerUpstreams(listing(upstreams("b")), mark(50), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(outageHold - 100)
	b.learnPeerUpstreams(listing(upstreams("b")), mark(51), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(200)
	b.learnPeerUpstreams(listing(upstreams("b")), mark(52), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount())
}

// During an outage of the store entries expired, while this VM's watch was open all the time, so
// the watch only reports that all upstreams of a service are gone. They register again within a
// second. If they were removed at once, every request would be refused. A single upstream, or one
// that announced that it leaves, is still removed at once.
func TestUpstreamsRemovedTogetherAreRetained(t *testing.T) {
	b := newHarness(t)
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a", "b"}}, mark(60), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())
	b.clock.advance(clock.Second)
	b.changeUpstreams(listing(upstreams("a")), mark(61), b.clock.Now())
	b.clock.advance(massRemovalHold)
	b.changeUpstreams(route.UpstreamUpdate{}, mark(62), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount(), "b did not come back")
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a"}}, mark(63), b.clock.Now())
	require.Equal(t, 0, b.upstreamCount(), "a single upstream is removed at once")

	b.list()
	b.store.upstreams = nil
	b.list()
	require.Equal(t, 2, b.upstreamCount(), "a list that lacks them has the same effect as a watch")
	b.clock.advance(massRemovalHold)
	b.list()
	require.Equal(t, 0, b.upstreamCount())

	leaving := upstreams("c", "d")
	leaving[0].Leaving, leaving[1].Leaving = true, true
	b.changeUpstreams(listing(leaving), mark(64), b.clock.Now())
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"c", "d"}}, mark(65), b.clock.Now())
	require.Equal(t, 0, b.upstreamCount(), "they had announced that they leave")
}

// A peer that is cut off reports state that was verified long ago. Its summary must not make this
// VM's copy look current.
func TestOldPeerSummaryDoesNotRefreshAge(t *testing.T) {
	b := newHarness(t)
	at := b.View().TableVerified
	b.clock.advance(6 * clock.Second)
	b.Learn(&peer.BeatArgs{Registry: peer.RegistrySummary{Revision: 1, RevisionAge: 20 * clock.Second, Digest: b.digest, DigestAge: 20 * clock.Second}}, b.clock.Now())
	require.Equal(t, at, b.View().TableVerified)
	require.Equal(t, at, b.View().UpstreamsVerified)
}

// A failed call may have lost changes with its answer, so the next call is a list.
func TestFeedListsAgainAfterFailure(t *testing.T) {
	b := newHarness(t)
	ctx, cancel := context.WithCancel(b.ctx)
	var calls []string
	list := func(context.Context) (route.Position, error) {
		calls = append(calls, "list")
		return route.Position{Mark: 5}, nil
	}
	watch := func(_ context.Context, after route.Position, _ clock.Milli) (route.Position, error) {
		b.clock.advance(watchInterval)
		calls = append(calls, "watch")
		if len(calls) == 3 {
			return route.Position{Mark: 0}, errDown
		}
		if len(calls) > 4 {
			cancel()
		}
		return next(after), nil
	}
	b.follow(ctx, feed{name: "test", list: list, watch: watch, wait: watchWait})
	require.Equal(t, []string{"list", "watch", "watch", "list", "watch"}, calls)
}

// The store rejected a VM's calls while an upstream left. Once it answers again, that VM retains
// the entry for two seconds, since it may have expired in an outage; at all other VMs the upstream
// is gone. A VM whose own watch has just delivered the removal asks that VM and must not restore
// the upstream.
func TestPeerRetainingExpiredEntriesDoesNotRestoreThem(t *testing.T) {
	connected, reconnected := newHarness(t), newHarness(t)
	connected.peers = localPeer{reconnected.Registry}
	reconnected.clock, reconnected.Registry.clock = connected.clock, connected.clock
	reconnected.store.down = true
	reconnected.watch()
	connected.store.removed = []decide.UpstreamID{"a"}
	connected.watch()
	require.Equal(t, 1, connected.upstreamCount())
	connected.clock.advance(2400)
	reconnected.store.down, reconnected.store.upstreams = false, upstreams("b")
	reconnected.list()
	require.Equal(t, 2, reconnected.upstreamCount(), "the entry is retained for a while")

	beat := &peer.BeatArgs{From: peer.Member{VM: "back"}}
	reconnected.Fill("", beat)
	require.Zero(t, beat.Registry.Digest, "a list with retained entries is not offered to peers")
	var reply peer.RegistryReply
	require.NoError(t, NewReceiver(reconnected.Registry).Tell(&peer.RegistrySummary{Revision: 1}, &reply))
	require.Empty(t, reply.Upstreams)

	connected.learnPeerUpstreams(listing(upstreams("a", "b", "c")), connected.position, connected.clock.Now())
	require.Equal(t, 2, connected.upstreamCount(), "b, and c, which is new; a has left")
}

// An upstream announced that it leaves. An older list of a peer must not make it ready again.
func TestOlderPeerListDoesNotClearLeaving(t *testing.T) {
	b := newHarness(t)
	us := upstreams("a", "b")
	us[0].Leaving = true
	b.learnUpstreams(listing(us), mark(1), b.clock.Now())
	b.learnPeerUpstreams(listing(upstreams("a", "b")), mark(9), b.clock.Now()+1)
	require.True(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
}

// readBy sets the readers: one other VM, or also this VM as the primary reader.
func (b *harness) readBy(other *Registry, primary bool) {
	b.peers = localPeer{other}
	b.SetReaders(func() Roster {
		if primary {
			return Roster{Sources: []peer.Member{{VM: "reader"}}, Primary: true}
		}
		return Roster{Sources: []peer.Member{{VM: "reader"}}, Rank: 1}
	})
}

// Each VM that verifies its copy with short watches makes two calls a second. A hundred such VMs
// would use a tenth of the store's capacity.
func TestWatchesAreLongWhileReaderProvesFreshness(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	require.Equal(t, longWatchWait, b.watchWaitOf(b.documentFeed()))
	b.readBy(reader.Registry, true)
	require.Equal(t, watchWait, b.watchWaitOf(b.documentFeed()), "the primary reader keeps short watches")
	b.readBy(reader.Registry, false)
	b.clock.advance(verificationLimit + 1)
	require.Equal(t, watchWait, b.watchWaitOf(b.documentFeed()), "it reads for itself if its copy is not verified")
	reader.list()
	b.fetch(b.ctx, peer.Member{VM: "reader"})
	require.Equal(t, longWatchWait, b.watchWaitOf(b.documentFeed()))
}

// A long watch hangs, and the readers are gone as well. The watch must be canceled, or this VM
// would receive no updates until its wait has passed.
func TestLongWatchIsCanceledWithoutProof(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	watching, end := b.watchContext(b.ctx, "routes", longWatchWait)
	defer end()
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	go b.pollReaders(ctx)
	b.clock.advance(verificationLimit + 1)
	select {
	case <-watching.Done():
	case <-time.After(2 * time.Second):
		require.Fail(t, "the hanging watch was not canceled")
	}
}

// A long watch hangs, and an upstream has left since. The list of a reader has a later position.
func TestLaterListOfReaderIsApplied(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	b.clock.advance(askAge + 1)
	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.fetch(b.ctx, peer.Member{VM: "reader"})
	require.Equal(t, 1, b.upstreamCount())
	require.LessOrEqual(t, b.documentAge(), askAge)
}

// All upstreams register within two seconds. One watch per entry and VM of a large fleet would use
// most of the store's capacity.
func TestUpdatesAreBatched(t *testing.T) {
	b := newHarness(t)
	ctx, cancel := context.WithTimeout(b.ctx, 600*time.Millisecond)
	defer cancel()
	watches := 0
	list := func(context.Context) (route.Position, error) { return route.Position{Mark: 1}, nil }
	watch := func(_ context.Context, after route.Position, _ clock.Milli) (route.Position, error) {
		watches++
		return next(after), nil
	}
	b.follow(ctx, feed{name: "test", list: list, watch: watch, wait: watchWait})
	require.LessOrEqual(t, watches, 4)
}

// readLargeFleetBy sets up a large fleet, in which this VM keeps no watches, with one other VM as
// reader.
func (b *harness) readLargeFleetBy(reader *Registry) {
	b.peers = localPeer{reader}
	b.SetReaders(func() Roster {
		return Roster{Sources: []peer.Member{{VM: "reader"}, {VM: "reader-2"}}, Rank: 2, LargeFleet: true}
	})
}

// If a hundred VMs each kept two watches and fifteen upstreams were removed one after the other,
// each removal would cost a hundred calls. So a VM of a large fleet leaves the store to the readers
// while they answer, and still learns of a removal.
func TestLargeFleetDelegatesToReaders(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	require.False(t, b.delegates(b.documentFeed()), "no reader has answered yet")
	nextReader := b.askReaders(b.ctx, b.readers().Sources, 0)
	require.True(t, b.delegates(b.documentFeed()))

	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.clock.advance(pollInterval)
	require.True(t, b.pollDue(b.readers()))
	b.askReaders(b.ctx, b.readers().Sources, nextReader)
	require.Equal(t, 1, b.upstreamCount())

	b.clock.advance(pollExpiry + 1)
	require.False(t, b.delegates(b.documentFeed()), "a reader that does not respond is not relied on")
}

// The readers cannot reach the store but still answer. A VM that relied on them would miss all
// updates of the store.
func TestVMReadsStoreWhenReadersAreStale(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	b.readLargeFleetBy(reader.Registry)
	b.clock.advance(delegationLimit + 1)
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.False(t, b.delegates(b.documentFeed()))
	b.list()
	require.True(t, b.delegates(b.documentFeed()))
}

// One of two readers is cut off from the store but still answers. A VM that asked it first must ask
// the other one too before it relies on the answer.
func TestSecondReaderIsAskedWhenFirstIsCutOff(t *testing.T) {
	b, cutOff, connected := newHarness(t), newHarness(t), newHarness(t)
	cutOff.Registry.clock, connected.Registry.clock = b.clock, b.clock
	b.peers = localPeers{"cut-off": cutOff.Registry, "connected": connected.Registry}
	b.SetReaders(func() Roster {
		return Roster{Sources: []peer.Member{{VM: "cut-off", Address: "cut-off"}, {VM: "connected", Address: "connected"}}, Rank: 2, LargeFleet: true}
	})
	b.clock.advance(readerMaxAge + 1)
	connected.store.upstreams, connected.store.at = upstreams("b"), mark(50)
	connected.list()
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.Equal(t, 1, b.upstreamCount())
}

// localPeers calls receivers by address without a network.
type localPeers map[string]*Registry

func (a localPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	return localPeer{a[address]}.Call(ctx, address, method, args, reply)
}

// The store is down for twenty seconds. A VM that others read for must not call it four times a
// second throughout, or a hundred VMs would overload it as it comes back. A VM that becomes the
// primary reader calls at once.
func TestFailedCallsBackOff(t *testing.T) {
	b, reader := newHarness(t), newHarness(t)
	b.readBy(reader.Registry, false)
	began := time.Now()
	b.backOff(b.ctx, 2)
	require.GreaterOrEqual(t, time.Since(began), 2*retryWait)
	began = time.Now()
	self := time.AfterFunc(50*time.Millisecond, func() { b.promoted.Store(true) })
	defer self.Stop()
	b.SetReaders(func() Roster {
		return Roster{Sources: []peer.Member{{VM: "reader"}}, Rank: 1, Primary: b.promoted.Load()}
	})
	b.backOff(b.ctx, 5)
	require.Less(t, time.Since(began), 4*retryWait)
}

// unusable returns the store's answer for entries that are invalid for a reason.
func unusable(reason string, ids ...decide.UpstreamID) route.UpstreamUpdate {
	var n route.UpstreamUpdate
	for _, id := range ids {
		n.Unusable = append(n.Unusable, route.Unusable{ID: id, Reason: reason})
	}
	return n
}

// Another writer overwrites the entry of an upstream, also just after an outage, while expired
// entries are retained. No request may be sent on the basis of the earlier entry. The upstream's
// next heartbeat restores it.
func TestUnusableEntryIsExcludedUntilValid(t *testing.T) {
	b := newHarness(t)
	b.changeUpstreams(unusable("no state", "a"), mark(9), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount())
	b.changeUpstreams(unusable("no state", "a"), mark(10), b.clock.Now())
	b.changeUpstreams(unusable("no address", "a", "x"), mark(11), b.clock.Now())
	require.EqualValues(t, 3, b.UnusableCount(), "once for each reason and entry")
	b.changeUpstreams(listing(upstreams("a")), mark(12), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())

	b.store.down = true
	b.watch()
	b.clock.advance(5 * clock.Second)
	b.store.down = false
	b.learnUpstreams(route.UpstreamUpdate{Upstreams: upstreams("b"), Unusable: unusable("no state", "a").Unusable}, mark(13), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount())
}

// Another writer repeatedly floods the store with entries. Neither memory nor the log may grow
// without bound.
func TestUnusableEntriesAreBounded(t *testing.T) {
	b := newHarness(t)
	ids := make([]decide.UpstreamID, 3*maxUnusable)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprint("forged", i))
	}
	for range 2 {
		update := unusable("no state", ids...)
		update.Upstreams = upstreams("a", "b")
		b.learnUpstreams(update, mark(9), b.clock.Now())
	}
	require.Len(t, b.unusable, maxUnusable)
	require.Equal(t, 2, b.upstreamCount())
	b.changeUpstreams(unusable("no state", "a"), mark(10), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount(), "an unusable entry still excludes its upstream")
}

// In a large fleet most VMs learn of upstreams only from a reader. An upstream whose entry was
// invalid for a moment has not left, and all VMs must use it again.
func TestReaderRestoresUpstreamAfterUnusableEntry(t *testing.T) {
	reader, other := newHarness(t), newHarness(t)
	other.peers = localPeer{reader.Registry}
	reader.changeUpstreams(unusable("no state", "a"), mark(90), reader.clock.Now())
	other.clock.advance(1)
	require.True(t, other.fetch(other.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, 1, other.upstreamCount())
	reader.changeUpstreams(listing(upstreams("a")), mark(91), reader.clock.Now())
	require.True(t, other.fetch(other.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, 2, other.upstreamCount())
}

// upstreamsBorn returns upstreams whose incarnation started at an instant.
func upstreamsBorn(born decide.Incarnation, ids ...decide.UpstreamID) []route.Upstream {
	us := upstreams(ids...)
	for i := range us {
		us[i].Born = born
	}
	return us
}

// An upstream crashes and restarts under the same id. Late entries of its earlier incarnation, from
// the store or a peer, must have no effect, and the departure of the earlier incarnation must not
// exclude the new one.
func TestEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	b := newHarness(t)
	born := func() decide.Incarnation {
		return b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Born
	}
	b.changeUpstreams(listing(upstreamsBorn(5, "a")), mark(10), b.clock.Now())
	b.changeUpstreams(listing(upstreamsBorn(7, "a")), mark(11), b.clock.Now())
	generation := b.View().Generation
	old := upstreamsBorn(5, "a")
	old[0].Leaving = true
	b.changeUpstreams(listing(old), mark(12), b.clock.Now())
	b.learnPeerUpstreams(listing(upstreamsBorn(5, "a", "b")), mark(13), b.clock.Now())
	require.EqualValues(t, 7, born())
	require.False(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
	require.Equal(t, generation+1, b.View().Generation, "only b has changed")

	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a"}}, mark(14), b.clock.Now())
	b.learnPeerUpstreams(listing(upstreamsBorn(7, "a", "b")), mark(14), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount(), "that incarnation has left")
	b.learnPeerUpstreams(listing(upstreamsBorn(7, "a", "b")), route.Position{Era: 1, Mark: 15}, b.clock.Now())
	require.Equal(t, 1, b.upstreamCount(), "the store was restored from a copy that lists it still")
	b.learnPeerUpstreams(listing(upstreamsBorn(9, "a", "b")), route.Position{Era: 1, Mark: 16}, b.clock.Now())
	require.EqualValues(t, 9, born())
}

// A peer's answer is in transit while this VM's own watch reports that an upstream has registered again.
// The answer was written before and lacks the upstream, which would be removed for good, since the watch
// has reported it already.
func TestPeerListOfEarlierPositionIsIgnored(t *testing.T) {
	b := newHarness(t)
	b.changeUpstreams(listing(upstreams("c")), mark(20), b.clock.Now())
	b.learnPeerUpstreams(listing(upstreams("a", "b")), mark(19), b.clock.Now())
	require.Equal(t, 3, b.upstreamCount())
}

// An upstream loses the store for longer than its entry lasts, and registers again. A VM that follows
// readers must use it at once, not only when its removal is forgotten.
func TestUpstreamThatRegistersAgainIsRestoredByPeers(t *testing.T) {
	b := newHarness(t)
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a"}}, mark(20), b.clock.Now())
	require.Equal(t, 1, b.upstreamCount())
	b.learnPeerUpstreams(listing(upstreams("a", "b")), mark(21), b.clock.Now())
	require.Equal(t, 2, b.upstreamCount())
}

// A thousand upstreams register while all VMs start. A line for each of them at each VM would fill the
// logs of a fleet with a million lines.
func TestManyChangesAreLoggedInOneLine(t *testing.T) {
	b := newHarness(t)
	var out bytes.Buffer
	b.log = &log.Logger{Writer: &log.IOWriter{Writer: &out}}
	var us []route.Upstream
	for i := range 1000 {
		us = append(us, route.Upstream{ID: decide.UpstreamID(fmt.Sprint("i-", i)), Service: "s", Leaving: i == 999})
	}
	b.changeUpstreams(listing(us), mark(20), b.clock.Now())
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Less(t, out.Len(), 2000)
	require.Contains(t, out.String(), `"count":1001,"new":999,"leaving":1,`)
	require.Contains(t, out.String(), `"i-999"`, "what ends is named first")
	b.changeUpstreams(listing([]route.Upstream{{ID: "i-1", Service: "s", Slots: 2}}), mark(21), b.clock.Now())
	require.Contains(t, out.String(), `"upstream":"i-1"`)
}

// An upstream announces that it leaves, crashes before it has left, and restarts. The new
// incarnation must receive requests.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	b := newHarness(t)
	us := upstreamsBorn(5, "a", "b")
	us[0].Leaving = true
	b.learnUpstreams(listing(us), mark(10), b.clock.Now())
	b.learnPeerUpstreams(listing(upstreamsBorn(6, "a", "b")), mark(11), b.clock.Now())
	require.False(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
}

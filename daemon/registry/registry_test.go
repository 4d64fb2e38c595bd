package registry

import (
	"context"
	"errors"
	"fmt"
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

// hand is a clock that a test sets.
type hand struct {
	mu sync.Mutex
	at clock.Milli
}

func (h *hand) Now() clock.Milli      { h.mu.Lock(); defer h.mu.Unlock(); return h.at }
func (h *hand) forward(d clock.Milli) { h.mu.Lock(); defer h.mu.Unlock(); h.at += d }

var errDown = errors.New("down")

// fake is a store whose watches end at once.
type fake struct {
	mu        sync.Mutex
	document  *route.Document
	upstreams []route.Upstream
	gone      []decide.UpstreamID
	down      bool
	// unread is set where what stands in the place of the document cannot be read.
	unread bool
	// at is the store's position. Positions of watches and lists rise by one with each answer.
	at route.Position
}

// position is one in the present era.
func (f *fake) position(m route.StoreRevision) route.Position {
	return route.Position{Era: f.at.Era, Mark: m}
}

// mark is a position of a store that tells no era.
func mark(m route.StoreRevision) route.Position { return route.Position{Mark: m} }

// next is the position after one.
func next(p route.Position) route.Position { return route.Position{Era: p.Era, Mark: p.Mark + 1} }

func (f *fake) Document(context.Context) (*route.Document, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, route.Position{}, errDown
	}
	if f.unread {
		return nil, f.position(1), route.ErrDocument
	}
	return f.document, f.position(1), nil
}

func (f *fake) WatchDocument(context.Context, route.Position, clock.Milli) (*route.Document, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, route.Position{}, errDown
	}
	return nil, f.position(2), nil
}

func (f *fake) Upstreams(context.Context) (route.UpstreamUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return route.UpstreamUpdate{}, route.Position{}, errDown
	}
	f.at.Mark++
	return route.UpstreamUpdate{Upstreams: f.upstreams}, f.at, nil
}

func (f *fake) WatchUpstreams(context.Context, route.Position, clock.Milli) (route.UpstreamUpdate, route.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return route.UpstreamUpdate{}, route.Position{}, errDown
	}
	gone := f.gone
	f.gone = nil
	f.at.Mark++
	return route.UpstreamUpdate{Removed: gone}, f.at, nil
}

// direct calls a receiver without a network.
type direct struct{ to *Registry }

func (d direct) Call(_ context.Context, _, _ string, args, reply any) error {
	return NewReceiver(d.to).Tell(args.(*peer.RegistryWord), reply.(*peer.RegistryReply))
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

// list is what a list of the store's with these upstreams says.
func list(us []route.Upstream) route.UpstreamUpdate { return route.UpstreamUpdate{Upstreams: us} }

type bench struct {
	*Registry
	// promoted makes the VM a reader.
	promoted atomic.Bool
	t        *testing.T
	store    *fake
	clock    *hand
	ctx      context.Context
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, store: &fake{document: document(1), upstreams: upstreams("a", "b")}, clock: &hand{at: 1_000_000}, ctx: context.Background()}
	b.Registry = New(b.store, nil, b.clock, &log.Logger{Level: log.FatalLevel})
	b.list()
	return b
}

// list is one round of both followers.
func (b *bench) list() {
	b.t.Helper()
	_, err := b.listDocument(b.ctx)
	b.noteStore("routes", err)
	_, err = b.listUpstreams(b.ctx)
	b.noteStore("upstreams", err)
}

func (b *bench) watch() {
	b.t.Helper()
	_, err := b.watchDocument(b.ctx, b.store.position(1), watchWait)
	b.noteStore("routes", err)
	_, err = b.watchUpstreams(b.ctx, b.store.position(1), watchWait)
	b.noteStore("upstreams", err)
}

func (b *bench) there() int { return len(b.View().Upstreams["s"]) }

// Something late tells of a document that was replaced already: a stale read, or a
// peer that was cut off. Whoever saw the newer one in force must not see it taken back.
func TestARevisionNeverGoesBack(t *testing.T) {
	b := newBench(t)
	b.learnDocument(document(9), b.clock.Now(), "store")
	b.learnDocument(document(7), b.clock.Now()+1, "peer")
	require.EqualValues(t, 9, b.View().Table.Revision())
	require.Equal(t, b.clock.Now(), b.View().TableVerified, "the older one proves nothing")
}

// A document leads nowhere. The last good one goes on being served.
func TestABadDocumentIsNotTaken(t *testing.T) {
	b := newBench(t)
	bad := document(2)
	bad.Routes = []route.Route{{Name: "r"}}
	b.learnDocument(bad, b.clock.Now(), "store")
	require.EqualValues(t, 1, b.View().Table.Revision())
}

// Something that cannot be read stands in the place of the document. The last good one is served on, and the store has answered: it
// is not away. But it may be a document that takes a key away, so nothing proves the last one any more, also not the
// end of a watch without news, until a good one is there again.
func TestADocumentThatCannotBeReadProvesNothing(t *testing.T) {
	b := newBench(t)
	known := b.View().TableVerified
	b.clock.forward(100)
	b.store.unread = true
	b.list()
	require.False(t, b.StoreDown())
	require.EqualValues(t, 1, b.View().Table.Revision())
	for range 3 {
		b.clock.forward(watchWait)
		b.watch()
	}
	require.Equal(t, known, b.View().TableVerified)
	b.store.unread = false
	b.list()
	require.Greater(t, b.View().TableVerified, known)
}

// The end of a watch without news proves what is known up to the end of the wait, and
// not up to the arrival of the answer, which may have been held up for seconds.
func TestAHeldUpAnswerProvesOnlyItsOwnTime(t *testing.T) {
	b := newBench(t)
	sent := b.clock.Now()
	b.clock.forward(4 * clock.Second)
	require.Equal(t, sent+watchWait, b.asOf(sent, watchWait))
	b.clock.forward(-3500)
	require.Equal(t, b.clock.Now(), b.asOf(sent, watchWait))
}

// An upstream's entry is removed while the store is well: it has left.
func TestARemovedUpstreamIsGoneAtOnce(t *testing.T) {
	b := newBench(t)
	b.store.gone = []decide.UpstreamID{"a"}
	b.watch()
	require.Equal(t, 1, b.there())
}

// The store was away, and the entries of all upstreams lapsed though they live. Taken
// at its word, nothing is left to serve with until they have registered again.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	b := newBench(t)
	b.store.down = true
	b.watch()
	require.True(t, b.StoreDown())
	b.clock.forward(5 * clock.Second)
	b.store.down, b.store.upstreams = false, nil
	b.list()
	require.Equal(t, 2, b.there())
	b.clock.forward(holdGone - 100)
	b.learnUpstreams(list(upstreams("a")), mark(1), b.clock.Now())
	require.Equal(t, 2, b.there())
	b.clock.forward(200)
	b.learnUpstreams(list(upstreams("a")), mark(1), b.clock.Now())
	require.Equal(t, 1, b.there(), "b has not come back in time")
}

// The same return, when the list of upstreams is the very first answer after the outage.
func TestLapsedEntriesAreKeptByTheFirstAnswer(t *testing.T) {
	b := newBench(t)
	b.store.down = true
	b.watch()
	b.clock.forward(5 * clock.Second)
	b.store.down, b.store.upstreams = false, nil
	_, err := b.listUpstreams(b.ctx)
	require.NoError(t, err)
	require.Equal(t, 2, b.there())
}

// The store turns this VM away and serves the others. Keys and upstreams that change
// meanwhile must be known here all the same.
func TestAPeersWordMakesUpForAShutWay(t *testing.T) {
	cut, well := newBench(t), newBench(t)
	cut.peers = direct{well.Registry}
	well.clock = cut.clock
	well.Registry.clock = cut.clock
	cut.clock.forward(4 * clock.Second)
	well.list()
	beat := &peer.BeatArgs{From: peer.Member{VM: "well"}}
	well.Fill("", beat)
	cut.Learn(beat, false)
	require.Equal(t, cut.clock.Now()-beatTime, cut.View().TableVerified, "the same document, known to be new")
	require.Equal(t, cut.clock.Now()-beatTime, cut.View().UpstreamsVerified)

	cut.clock.forward(4 * clock.Second)
	well.store.at.Mark += 10
	well.store.document, well.store.upstreams = document(2), upstreams("b", "c", "d")
	well.list()
	beat = &peer.BeatArgs{From: peer.Member{VM: "well"}}
	well.Fill("", beat)
	cut.Learn(beat, false)
	require.Eventually(t, func() bool {
		v := cut.View()
		return v.Table.Revision() == 2 && v.Upstream("s", func(u *route.Upstream) bool { return u.ID == "d" }) != nil
	}, time.Second, time.Millisecond)
}

// The store turned this VM away, and since then readers tell it. An upstream that left without a word is gone
// by their word at once: kept for two seconds, as after an outage of the store, it would be sent
// requests long after it had left.
func TestAReadersWordOfAnUpstreamThatLeftHoldsAtOnce(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	b.store.down = true
	b.watch()
	require.True(t, b.StoreDown())
	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.Equal(t, 1, b.there())
}

// This VM once met a closed store, and readers have read for it since. Then the readers' ways are shut, and it reads for
// itself: that is no return of the store. An upstream that has left without a word must not be kept as
// after an outage: it would be sent requests for two seconds more, long after it had left.
func TestReadingAgainAfterARestIsNoReturnOfTheStore(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
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
	require.False(t, b.StoreDown(), "while it rests, readers vouch for what it knows")
	b.clock.forward(restLimit + 1)
	require.False(t, b.rests(b.documents()))
	b.store.upstreams = upstreams("b")
	b.list()
	require.Equal(t, 1, b.there())
}

// The store was away for all, and the entries of upstreams lapsed though they live. A peer that has just
// started lists what is there and remembers nothing. By its word all upstreams would be gone
// everywhere until they have registered again.
func TestAStartedPeersListAfterAnOutageRemovesNothingAtOnce(t *testing.T) {
	b := newBench(t)
	b.clock.forward(5 * clock.Second)
	b.learnPeers(list(upstreams("b")), mark(50), b.clock.Now())
	require.Equal(t, 2, b.there())
	b.clock.forward(holdGone - 100)
	b.learnPeers(list(upstreams("b")), mark(51), b.clock.Now())
	require.Equal(t, 2, b.there())
	b.clock.forward(200)
	b.learnPeers(list(upstreams("b")), mark(52), b.clock.Now())
	require.Equal(t, 1, b.there())
}

// The store was away and its entries lapsed, but the watch of this VM waited all the while and says only that all upstreams of a service
// are gone. They register again within a second; taken out at once, every request would be refused for want of any. One that leaves
// alone is gone at once all the same, and so is one that has said that it leaves.
func TestUpstreamsThatVanishTogetherAreKeptForAWhile(t *testing.T) {
	b := newBench(t)
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a", "b"}}, mark(60), b.clock.Now())
	require.Equal(t, 2, b.there())
	b.clock.forward(clock.Second)
	b.changeUpstreams(list(upstreams("a")), mark(61), b.clock.Now())
	b.clock.forward(massHold)
	b.changeUpstreams(route.UpstreamUpdate{}, mark(62), b.clock.Now())
	require.Equal(t, 1, b.there(), "b did not come back")
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a"}}, mark(63), b.clock.Now())
	require.Equal(t, 0, b.there(), "one alone is gone at once")

	b.list()
	b.store.upstreams = nil
	b.list()
	require.Equal(t, 2, b.there(), "a list that lacks them says no more than a watch")
	b.clock.forward(massHold)
	b.list()
	require.Equal(t, 0, b.there())

	leaving := upstreams("c", "d")
	leaving[0].Leaving, leaving[1].Leaving = true, true
	b.changeUpstreams(list(leaving), mark(64), b.clock.Now())
	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"c", "d"}}, mark(65), b.clock.Now())
	require.Equal(t, 0, b.there(), "they had said so")
}

// A peer that is cut off itself says what it knew long ago. Its word must not make
// knowledge look fresh.
func TestAnOldWordProvesNothing(t *testing.T) {
	b := newBench(t)
	at := b.View().TableVerified
	b.clock.forward(6 * clock.Second)
	b.Learn(&peer.BeatArgs{Registry: peer.RegistryWord{Revision: 1, RevisionAge: 20 * clock.Second, Digest: b.digest, DigestAge: 20 * clock.Second}}, false)
	require.Equal(t, at, b.View().TableVerified)
	require.Equal(t, at, b.View().UpstreamsVerified)
}

// A failed call may have lost events with its answer, so the next one lists anew.
func TestFollowingListsAnewAfterAFailure(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(b.ctx)
	var calls []string
	list := func(context.Context) (route.Position, error) {
		calls = append(calls, "list")
		return route.Position{Mark: 5}, nil
	}
	watch := func(_ context.Context, after route.Position, _ clock.Milli) (route.Position, error) {
		b.clock.forward(newsEvery)
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

// The store turned a VM away while an upstream left. Back again, that VM keeps the entry for
// two seconds, since it may have lapsed; for the others it is gone. A VM whose own
// watch has just brought news asks that one, and must not take the upstream back.
func TestAPeerThatKeepsLapsedEntriesBringsNoneBack(t *testing.T) {
	well, back := newBench(t), newBench(t)
	well.peers = direct{back.Registry}
	back.clock, back.Registry.clock = well.clock, well.clock
	back.store.down = true
	back.watch()
	well.store.gone = []decide.UpstreamID{"a"}
	well.watch()
	require.Equal(t, 1, well.there())
	well.clock.forward(2400)
	back.store.down, back.store.upstreams = false, upstreams("b")
	back.list()
	require.Equal(t, 2, back.there(), "it keeps the entry for a while")

	beat := &peer.BeatArgs{From: peer.Member{VM: "back"}}
	back.Fill("", beat)
	require.Zero(t, beat.Registry.Digest, "what is kept on suspicion proves nothing to others")
	var reply peer.RegistryReply
	require.NoError(t, NewReceiver(back.Registry).Tell(&peer.RegistryWord{Revision: 1}, &reply))
	require.Empty(t, reply.Upstreams)

	well.learnPeers(list(upstreams("a", "b", "c")), mark(9), well.clock.Now())
	require.Equal(t, 2, well.there(), "b, and c that is new; a has left")
}

// An upstream announced that it leaves. A peer's older word must not make it ready again.
func TestAPeersOlderWordMakesNoUpstreamReadyAgain(t *testing.T) {
	b := newBench(t)
	us := upstreams("a", "b")
	us[0].Leaving = true
	b.learnUpstreams(list(us), mark(1), b.clock.Now())
	b.learnPeers(list(upstreams("a", "b")), mark(9), b.clock.Now()+1)
	require.True(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
}

// readers of a test: one other, or this VM itself.
func (b *bench) readBy(other *Registry, self bool) {
	b.peers = direct{other}
	b.SetReaders(func() Roster {
		if self {
			return Roster{Sources: []peer.Member{{VM: "reader"}}, Primary: true}
		}
		return Roster{Sources: []peer.Member{{VM: "reader"}}, Rank: 1}
	})
}

// Each VM that proves by short watches that it knows the newest makes two calls a
// second. A hundred of them would take a tenth of what the store bears.
func TestWatchesAreLongWhereAReaderProvesNewness(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	require.Equal(t, longWait, b.wait(b.documents()))
	b.readBy(reader.Registry, true)
	require.Equal(t, watchWait, b.wait(b.documents()), "a reader reads")
	b.readBy(reader.Registry, false)
	b.clock.forward(proofLimit + 1)
	require.Equal(t, watchWait, b.wait(b.documents()), "without proof it reads for itself")
	reader.list()
	b.fetch(b.ctx, peer.Member{VM: "reader"})
	require.Equal(t, longWait, b.wait(b.documents()))
}

// A long watch goes silent, and the readers are gone as well. The watch must end, or this
// VM would know nothing new until its wait is over.
func TestALongWatchEndsWithoutProof(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	watching, end := b.watching(b.ctx, "routes", longWait)
	defer end()
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	go b.confirm(ctx)
	b.clock.forward(proofLimit + 1)
	select {
	case <-watching.Done():
	case <-time.After(2 * time.Second):
		require.Fail(t, "the silent watch is still waited for")
	}
}

// A long watch went silent, and an upstream has left since. A reader's word has a later mark.
func TestAReadersLaterListIsTaken(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.readBy(reader.Registry, false)
	b.clock.forward(askAfter + 1)
	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.fetch(b.ctx, peer.Member{VM: "reader"})
	require.Equal(t, 1, b.there())
	require.LessOrEqual(t, b.age(), askAfter)
}

// All upstreams register within two seconds. A watch for each entry, by each VM of a large
// fleet, would take most of what the store bears.
func TestNewsComesTogether(t *testing.T) {
	b := newBench(t)
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

// large lets one other read for a fleet in which VMs keep no watches.
func (b *bench) large(reader *Registry) {
	b.peers = direct{reader}
	b.SetReaders(func() Roster {
		return Roster{Sources: []peer.Member{{VM: "reader"}, {VM: "reader-2"}}, Rank: 2, LargeFleet: true}
	})
}

// A hundred VMs each keep two watches open, and fifteen upstreams are taken away one after
// the other: each piece of news costs a hundred calls. So in a large fleet a VM leaves the
// store to the readers while they answer, and an upstream that left is known all the same.
func TestALargeFleetLeavesTheStoreToItsReaders(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	require.False(t, b.rests(b.documents()), "no reader has answered yet")
	turn := b.askReaders(b.ctx, b.readers().Sources, 0)
	require.True(t, b.rests(b.documents()))

	reader.store.upstreams, reader.store.at = upstreams("b"), mark(50)
	reader.list()
	b.clock.forward(pollEvery)
	require.True(t, b.due(b.readers()))
	b.askReaders(b.ctx, b.readers().Sources, turn)
	require.Equal(t, 1, b.there())

	b.clock.forward(pollExpiry + 1)
	require.False(t, b.rests(b.documents()), "a reader that is silent is not relied on")
}

// The way of the readers to the store is shut, and they answer as ever. Whoever relies on
// them knows nothing of what the store tells all others.
func TestAVMReadsForItselfIfTheReadersKnowNothingNew(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.large(reader.Registry)
	b.clock.forward(restLimit + 1)
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.False(t, b.rests(b.documents()))
	b.list()
	require.True(t, b.rests(b.documents()))
}

// One of two readers is shut off from the store and answers as ever. A VM that asked it first
// asks the other one before it relies on the answer.
func TestAShutReaderIsNotAskedAlone(t *testing.T) {
	b, shut, well := newBench(t), newBench(t), newBench(t)
	shut.Registry.clock, well.Registry.clock = b.clock, b.clock
	b.peers = byAddress{"shut": shut.Registry, "well": well.Registry}
	b.SetReaders(func() Roster {
		return Roster{Sources: []peer.Member{{VM: "shut", Address: "shut"}, {VM: "well", Address: "well"}}, Rank: 2, LargeFleet: true}
	})
	b.clock.forward(readerAge + 1)
	well.store.upstreams, well.store.at = upstreams("b"), mark(50)
	well.list()
	b.askReaders(b.ctx, b.readers().Sources, 0)
	require.Equal(t, 1, b.there())
}

// byAddress calls receivers by their address without a network.
type byAddress map[string]*Registry

func (a byAddress) Call(ctx context.Context, address, method string, args, reply any) error {
	return direct{a[address]}.Call(ctx, address, method, args, reply)
}

// The store is away for twenty seconds. A VM that others read for must not ask it four
// times a second all the while: a hundred of them would meet it as it comes back. One that
// becomes a reader asks at once.
func TestFailedCallsAreMadeLessAndLessOften(t *testing.T) {
	b, reader := newBench(t), newBench(t)
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

// broken is what the store says of entries that somebody has spoilt.
func broken(reason string, ids ...decide.UpstreamID) route.UpstreamUpdate {
	var n route.UpstreamUpdate
	for _, id := range ids {
		n.Unusable = append(n.Unusable, route.Unusable{ID: id, Reason: reason})
	}
	return n
}

// Another writer overwrites the entry of an upstream, also while the store has just come back and lapsed
// entries are kept. Nothing may be sent there on the word of what stood there before; the upstream's next
// heartbeat makes it good again.
func TestASpoiltEntryIsNotUsedUntilItIsSoundAgain(t *testing.T) {
	b := newBench(t)
	b.changeUpstreams(broken("no state", "a"), mark(9), b.clock.Now())
	require.Equal(t, 1, b.there())
	b.changeUpstreams(broken("no state", "a"), mark(10), b.clock.Now())
	b.changeUpstreams(broken("no address", "a", "x"), mark(11), b.clock.Now())
	require.EqualValues(t, 3, b.UnusableCount(), "once for each reason and entry")
	b.changeUpstreams(list(upstreams("a")), mark(12), b.clock.Now())
	require.Equal(t, 2, b.there())

	b.store.down = true
	b.watch()
	b.clock.forward(5 * clock.Second)
	b.store.down = false
	b.learnUpstreams(route.UpstreamUpdate{Upstreams: upstreams("b"), Unusable: broken("no state", "a").Unusable}, mark(13), b.clock.Now())
	require.Equal(t, 1, b.there())
}

// Another writer fills the store with entries, time and again. Neither memory nor the log may grow with them.
func TestAFloodOfLyingEntriesIsBounded(t *testing.T) {
	b := newBench(t)
	ids := make([]decide.UpstreamID, 3*unusableKept)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprint("forged", i))
	}
	for range 2 {
		news := broken("no state", ids...)
		news.Upstreams = upstreams("a", "b")
		b.learnUpstreams(news, mark(9), b.clock.Now())
	}
	require.Len(t, b.unusable, unusableKept)
	require.Equal(t, 2, b.there())
	b.changeUpstreams(broken("no state", "a"), mark(10), b.clock.Now())
	require.Equal(t, 1, b.there(), "a spoilt entry is obeyed all the same")
}

// In a large fleet most VMs learn of upstreams from a reader alone. One whose entry was spoilt for a moment must
// be used again by all of them: it has not left.
func TestASpoiltEntryIsSoundAgainByAReadersWord(t *testing.T) {
	reader, other := newBench(t), newBench(t)
	other.peers = direct{reader.Registry}
	reader.changeUpstreams(broken("no state", "a"), mark(90), reader.clock.Now())
	other.clock.forward(1)
	require.True(t, other.fetch(other.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, 1, other.there())
	reader.changeUpstreams(list(upstreams("a")), mark(91), reader.clock.Now())
	require.True(t, other.fetch(other.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, 2, other.there())
}

// lives makes upstreams of one life.
func lives(born decide.Incarnation, ids ...decide.UpstreamID) []route.Upstream {
	us := upstreams(ids...)
	for i := range us {
		us[i].Born = born
	}
	return us
}

// An upstream crashes and starts again under its id. What was said of its earlier life, by the store or by
// a peer, comes late and changes nothing; that it had left does not keep its new life out.
func TestAnEarlierLifeChangesNothing(t *testing.T) {
	b := newBench(t)
	born := func() decide.Incarnation {
		return b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Born
	}
	b.changeUpstreams(list(lives(5, "a")), mark(10), b.clock.Now())
	b.changeUpstreams(list(lives(7, "a")), mark(11), b.clock.Now())
	generation := b.View().Generation
	old := lives(5, "a")
	old[0].Leaving = true
	b.changeUpstreams(list(old), mark(12), b.clock.Now())
	b.learnPeers(list(lives(5, "a", "b")), mark(13), b.clock.Now())
	require.EqualValues(t, 7, born())
	require.False(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
	require.Equal(t, generation+1, b.View().Generation, "b alone has changed")

	b.changeUpstreams(route.UpstreamUpdate{Removed: []decide.UpstreamID{"a"}}, mark(14), b.clock.Now())
	b.learnPeers(list(lives(7, "a", "b")), mark(15), b.clock.Now())
	require.Equal(t, 1, b.there(), "that life has left")
	b.learnPeers(list(lives(9, "a", "b")), mark(16), b.clock.Now())
	require.EqualValues(t, 9, born())
}

// An upstream that announced its leaving crashes before it is gone, and starts again. Its new life takes work.
func TestANewLifeIsNotLeaving(t *testing.T) {
	b := newBench(t)
	us := lives(5, "a", "b")
	us[0].Leaving = true
	b.learnUpstreams(list(us), mark(10), b.clock.Now())
	b.learnPeers(list(lives(6, "a", "b")), mark(11), b.clock.Now())
	require.False(t, b.View().Upstream("s", func(u *route.Upstream) bool { return u.ID == "a" }).Leaving)
}

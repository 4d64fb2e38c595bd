package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// testRules make the same decisions as DefaultRules at shorter intervals.
var testRules = Rules{Watchers: 2, WatchWait: 50, WatcherPoll: 10, MemberPoll: clock.Minute, MaxContactAge: 200, FetchTimeout: 100}

// fakeNetwork calls followers of this process by address.
type fakeNetwork struct {
	mu        sync.Mutex
	followers map[string]*Follower
}

var errUnreachable = errors.New("cut")

func (w *fakeNetwork) Call(_ context.Context, address, _ string, args, reply any) error {
	w.mu.Lock()
	f := w.followers[address]
	w.mu.Unlock()
	if f == nil {
		return errUnreachable
	}
	return member.NewReceiver(nil, f).Document(args.(*peer.DocumentArgs), reply.(*peer.DocumentReply))
}

// fakePeers is a membership that tests set directly.
type fakePeers struct {
	mu      sync.Mutex
	self    peer.Member
	live    []peer.Member
	reached clock.Milli
}

func (p *fakePeers) Self() peer.Member        { return p.self }
func (p *fakePeers) Live() []peer.Member      { return p.live }
func (p *fakePeers) BeatNow()                 {}
func (p *fakePeers) LastWritten() clock.Milli { p.mu.Lock(); defer p.mu.Unlock(); return p.reached }

var errParse = errors.New("does not parse")

func applyText(_ peer.Revision, text []byte) error {
	if string(text) == "broken" {
		return errParse
	}
	return nil
}

type fixture struct {
	store   *platformtest.Store
	network *fakeNetwork
	clock   *clock.Clock
}

func newFixture() *fixture {
	return &fixture{store: platformtest.New(), network: &fakeNetwork{followers: map[string]*Follower{}}, clock: clock.New()}
}

func (x *fixture) start(t *testing.T, vm peer.VM) (*Follower, *fakePeers) {
	f := New(x.store, x.network, x.clock, testRules, applyText)
	x.network.mu.Lock()
	x.network.followers[string(vm)] = f
	x.network.mu.Unlock()
	m := peer.Member{VM: vm, Address: string(vm), Domain: "d"}
	p := &fakePeers{self: m, live: []peer.Member{m}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx, p) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, p
}

func (x *fixture) put(t *testing.T, text string) peer.Revision {
	v, err := x.store.Put(t.Context(), DocumentKind, DocumentName, []byte(text), platform.Unconditional)
	require.NoError(t, err)
	return peer.Revision(v)
}

func requireInForce(t *testing.T, f *Follower, r peer.Revision) {
	require.Eventually(t, func() bool { got, _ := f.Newest(); return got == r }, 5*time.Second, time.Millisecond)
}

// sendHeartbeat delivers a heartbeat of one follower to another.
func sendHeartbeat(from, to *Follower, address string) {
	b := peer.BeatArgs{From: peer.Member{VM: peer.VM(address), Address: address}}
	from.Fill("", &b)
	to.Learn(&b, 0)
}

func TestWatchDeliversDocument(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	require.False(t, f.Ready())
	requireInForce(t, f, x.put(t, "one"))
	require.True(t, f.Ready())
	requireInForce(t, f, x.put(t, "two"))
}

// The watch is open but hangs, which looks like a store without changes. A new document would never
// come into force.
func TestPollFindsDocumentWhenWatchHangs(t *testing.T) {
	x := newFixture()
	x.store.SetWatchesHang(true)
	f, _ := x.start(t, "a")
	requireInForce(t, f, x.put(t, "one"))
	requireInForce(t, f, x.put(t, "two"))
}

// An outage of the store begins right after it accepted a document that only one VM has seen. The
// other VMs must get the document from that VM.
func TestDocumentSpreadsFromPeersDuringAnOutage(t *testing.T) {
	x := newFixture()
	a, _ := x.start(t, "a")
	r := x.put(t, "one")
	requireInForce(t, a, r)
	x.store.SetOutage(true)
	b, p := x.start(t, "b")
	require.False(t, b.Ready())
	sendHeartbeat(a, b, "a")
	requireInForce(t, b, r)
	p.mu.Lock()
	p.reached = x.clock.Now()
	p.mu.Unlock()
	require.True(t, b.Ready())
}

// slowStore is a store that holds each answer for a while of a test's clock.
type slowStore struct {
	Store
	clock *manualClock
	held  clock.Milli
}

func (s *slowStore) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	o, err := s.Store.Get(ctx, k, n)
	s.clock.at += s.held
	return o, err
}

// manualClock is a clock that a test advances.
type manualClock struct{ at clock.Milli }

func (c *manualClock) Now() clock.Milli { return c.at }

// An answer of the store is held up by a cut. The document may have changed since it was given, so the VM must not become
// ready by it.
func TestHeldUpAnswersAreNoContact(t *testing.T) {
	x, c := newFixture(), &manualClock{at: 1000}
	x.put(t, "one")
	f := New(&slowStore{x.store, c, testRules.MaxContactAge + 1}, x.network, c, testRules, applyText)
	f.readStore(t.Context())
	revision, _ := f.Newest()
	require.Positive(t, revision)
	require.False(t, f.Ready())
	require.Equal(t, testRules.MaxContactAge+1, f.ContactAge())
}

// A VM loses contact with the store and with all peers. It no longer knows which document is in
// force elsewhere and must report that it is not ready.
func TestVMWithoutStoreAndPeersIsNotReady(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	requireInForce(t, f, x.put(t, "one"))
	x.store.SetOutage(true)
	require.Eventually(t, func() bool { return !f.Ready() }, 5*time.Second, time.Millisecond)
	x.store.SetOutage(false)
	require.Eventually(t, f.Ready, 5*time.Second, time.Millisecond)
}

func TestDocumentThatDoesNotParseIsRejected(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	good := x.put(t, "one")
	requireInForce(t, f, good)
	bad := x.put(t, "broken")
	require.Eventually(t, func() bool { r, _ := f.Rejected(); return r == bad }, 5*time.Second, time.Millisecond)
	r, text := f.Newest()
	require.Equal(t, good, r)
	require.Equal(t, "one", string(text))
	_, err := f.Rejected()
	require.ErrorIs(t, err, errParse)
	requireInForce(t, f, x.put(t, "two"))
	r, _ = f.Rejected()
	require.Zero(t, r)
}

// Stale reads, answers of outdated peers and concurrent documents arrive in any order. An older
// configuration must never replace a newer one.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var applied []peer.Revision
		f := New(nil, nil, nil, testRules, func(r peer.Revision, text []byte) error {
			if err := applyText(r, text); err != nil {
				return err
			}
			applied = append(applied, r)
			return nil
		})
		for range rapid.IntRange(1, 30).Draw(rt, "offers") {
			r := peer.Revision(rapid.Uint64Range(0, 20).Draw(rt, "revision"))
			text := rapid.SampledFrom([]string{"one", "broken"}).Draw(rt, "text")
			f.Offer(r, []byte(text))
		}
		require.IsIncreasing(rt, append([]peer.Revision{0}, applied...))
	})
}

func TestFewMembersWatch(t *testing.T) {
	var live []peer.Member
	for i := range 450 {
		live = append(live, peer.Member{VM: peer.VM(rune('a' + i)), Domain: peer.Domain(rune('a' + i%8))})
	}
	watchers := map[peer.Domain]int{}
	for _, m := range live {
		if IsWatcher(m, live, DefaultRules.Watchers) {
			watchers[m.Domain]++
		}
	}
	require.Len(t, watchers, 8)
	for d, n := range watchers {
		require.Equal(t, DefaultRules.Watchers, n, d)
	}
}

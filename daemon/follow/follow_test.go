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

// quick are the rules of tests: the same decisions at a faster pace.
var quick = Rules{Watchers: 2, WatchWait: 50, WatcherPoll: 10, MemberPoll: clock.Minute, MaxContactAge: 200, FetchTimeout: 100}

// wire calls followers of one process by address.
type wire struct {
	mu        sync.Mutex
	followers map[string]*Follower
}

var errCut = errors.New("cut")

func (w *wire) Call(_ context.Context, address, _ string, args, reply any) error {
	w.mu.Lock()
	f := w.followers[address]
	w.mu.Unlock()
	if f == nil {
		return errCut
	}
	return member.NewReceiver(nil, f).Document(args.(*peer.DocumentArgs), reply.(*peer.DocumentReply))
}

// peers is a membership set by hand.
type peers struct {
	mu      sync.Mutex
	self    peer.Member
	live    []peer.Member
	reached clock.Milli
}

func (p *peers) Self() peer.Member    { return p.self }
func (p *peers) Live() []peer.Member  { return p.live }
func (p *peers) Kick()                {}
func (p *peers) Reached() clock.Milli { p.mu.Lock(); defer p.mu.Unlock(); return p.reached }

var errBroken = errors.New("does not parse")

func take(_ peer.Revision, text []byte) error {
	if string(text) == "broken" {
		return errBroken
	}
	return nil
}

type fixture struct {
	store *platformtest.Store
	wire  *wire
	clock *clock.Clock
}

func newFixture() *fixture {
	return &fixture{store: platformtest.New(), wire: &wire{followers: map[string]*Follower{}}, clock: clock.New()}
}

func (x *fixture) start(t *testing.T, vm peer.VM) (*Follower, *peers) {
	f := New(x.store, x.wire, x.clock, quick, take)
	x.wire.mu.Lock()
	x.wire.followers[string(vm)] = f
	x.wire.mu.Unlock()
	m := peer.Member{VM: vm, Address: string(vm), Domain: "d"}
	p := &peers{self: m, live: []peer.Member{m}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx, p) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, p
}

func (x *fixture) put(t *testing.T, text string) peer.Revision {
	v, err := x.store.Put(t.Context(), DocumentKind, DocumentName, []byte(text), platform.Always)
	require.NoError(t, err)
	return peer.Revision(v)
}

func inForce(t *testing.T, f *Follower, r peer.Revision) {
	require.Eventually(t, func() bool { got, _ := f.Newest(); return got == r }, 5*time.Second, time.Millisecond)
}

// beat lets one follower hear the other's heartbeat.
func beat(from, to *Follower, address string) {
	b := peer.BeatArgs{From: peer.Member{VM: peer.VM(address), Address: address}}
	from.Fill("", &b)
	to.Learn(&b, false)
}

func TestWatchBringsADocument(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	require.False(t, f.Ready())
	inForce(t, f, x.put(t, "one"))
	require.True(t, f.Ready())
	inForce(t, f, x.put(t, "two"))
}

// The watch is open and silent for good, which looks like a store without
// news. Operators would see their change never come into force.
func TestDeadWatchDoesNotHoldADocumentBack(t *testing.T) {
	x := newFixture()
	x.store.DeadWatch(true)
	f, _ := x.start(t, "a")
	inForce(t, f, x.put(t, "one"))
	inForce(t, f, x.put(t, "two"))
}

// The store goes out right after it accepted a document that one VM saw. The
// other VMs must get it all the same, from the first one.
func TestDocumentSpreadsFromPeersDuringAnOutage(t *testing.T) {
	x := newFixture()
	a, _ := x.start(t, "a")
	r := x.put(t, "one")
	inForce(t, a, r)
	x.store.Outage(true)
	b, p := x.start(t, "b")
	require.False(t, b.Ready())
	beat(a, b, "a")
	inForce(t, b, r)
	p.mu.Lock()
	p.reached = x.clock.Now()
	p.mu.Unlock()
	require.True(t, b.Ready())
}

// A VM loses store and peers at once. It can't know what is in force any more
// and must say that it is not ready.
func TestVMCutOffFromAllIsNotReady(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	inForce(t, f, x.put(t, "one"))
	x.store.Outage(true)
	require.Eventually(t, func() bool { return !f.Ready() }, 5*time.Second, time.Millisecond)
	x.store.Outage(false)
	require.Eventually(t, f.Ready, 5*time.Second, time.Millisecond)
}

func TestDocumentThatDoesNotParseIsNotTaken(t *testing.T) {
	x := newFixture()
	f, _ := x.start(t, "a")
	good := x.put(t, "one")
	inForce(t, f, good)
	bad := x.put(t, "broken")
	require.Eventually(t, func() bool { r, _ := f.Rejected(); return r == bad }, 5*time.Second, time.Millisecond)
	r, text := f.Newest()
	require.Equal(t, good, r)
	require.Equal(t, "one", string(text))
	_, err := f.Rejected()
	require.ErrorIs(t, err, errBroken)
	inForce(t, f, x.put(t, "two"))
	r, _ = f.Rejected()
	require.Zero(t, r)
}

// Stale reads, peers that lag and documents that cross each other arrive in
// any order. A user must never see an older configuration after a newer one.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var taken []peer.Revision
		f := New(nil, nil, nil, quick, func(r peer.Revision, text []byte) error {
			if err := take(r, text); err != nil {
				return err
			}
			taken = append(taken, r)
			return nil
		})
		for range rapid.IntRange(1, 30).Draw(rt, "offers") {
			r := peer.Revision(rapid.Uint64Range(0, 20).Draw(rt, "revision"))
			text := rapid.SampledFrom([]string{"one", "broken"}).Draw(rt, "text")
			f.Offer(r, []byte(text))
		}
		require.IsIncreasing(rt, append([]peer.Revision{0}, taken...))
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

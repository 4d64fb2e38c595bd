package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// quick are the rules of tests: the same decisions without waiting.
func quick() Rules {
	r := DefaultRules
	r.WriteInterval, r.RetryInterval, r.ProbeInterval = 0, 1, 0
	return r
}

var errCut = errors.New("cut")

// wire carries calls between the VMs of one test.
type wire struct {
	mu     sync.Mutex
	claims map[string]*Claims
	// lose is how many calls are carried out and lose their answer.
	lose int
}

func (w *wire) Call(_ context.Context, address, method string, args, reply any) error {
	w.mu.Lock()
	c := w.claims[address]
	lost := w.lose > 0
	if lost {
		w.lose--
	}
	w.mu.Unlock()
	if c == nil {
		return errCut
	}
	r := NewReceiver(c)
	var err error
	switch method {
	case "Claim.Claim":
		var answer peer.ClaimReply
		err = r.Claim(args.(*peer.ClaimArgs), &answer)
		if !lost {
			*reply.(*peer.ClaimReply) = answer
		}
	case "Claim.Settle":
		err = r.Settle(args.(*peer.SettleArgs), &peer.Empty{})
	}
	if lost {
		return errCut
	}
	return err
}

// peers is one VM's belief about who is live.
type peers struct {
	mu   sync.Mutex
	self peer.Member
	live []peer.Member
}

func (p *peers) Self() peer.Member   { return p.self }
func (p *peers) Live() []peer.Member { p.mu.Lock(); defer p.mu.Unlock(); return p.live }

func (p *peers) believe(vms ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = nil
	for _, v := range vms {
		p.live = append(p.live, peer.Member{VM: peer.VM(v), Address: v})
	}
}

type fixture struct {
	store *platformtest.Store
	wire  *wire
	rules Rules
	clock Clock
	peers map[string]*peers
}

func newFixture() *fixture {
	return &fixture{
		store: platformtest.New(), rules: quick(), clock: clock.New(),
		wire: &wire{claims: map[string]*Claims{}}, peers: map[string]*peers{},
	}
}

// start begins a life of a VM, which believes that it is alone.
func (x *fixture) start(vm string) *Claims {
	p := &peers{self: peer.Member{VM: peer.VM(vm), Address: vm}}
	p.believe(vm)
	c := New(x.store, x.wire, x.clock, x.rules, p)
	x.wire.mu.Lock()
	x.wire.claims[vm] = c
	x.wire.mu.Unlock()
	x.peers[vm] = p
	return c
}

// keyOf returns a key of which "home" and "stand-in" are the homes, in the eyes
// of the gate, which believes in both.
func keyOf(t *testing.T, x *fixture, gate *Claims) string {
	x.peers["gate"].believe("gate", "home", "stand-in")
	for i := range 1000 {
		key := fmt.Sprintf("key-%d", i)
		_, id := digestOf("w", key)
		hs := gate.homes(id)
		if hs[0].VM == "home" && hs[1].VM == "stand-in" {
			return key
		}
	}
	t.Fatal("no such key")
	return ""
}

func claimState(t *testing.T, c *Claims, key, nonce string) peer.ClaimState {
	_, r := c.Claim(t.Context(), "w", key, nonce)
	return r.State
}

func TestRepeatIsAnsweredFromTheJournal(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	ticket, r := c.Claim(t.Context(), "w", "key", "n1")
	require.Equal(t, peer.ClaimReply{State: peer.ClaimWon}, r)
	_, r = c.Claim(t.Context(), "w", "key", "n2")
	require.Equal(t, peer.ClaimTaken, r.State)
	require.Equal(t, fault.Duplicate, r.Fault.Kind)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "other", "n3"))

	require.NoError(t, c.Settle(t.Context(), ticket, 200, []byte("sent")))
	for _, vm := range []*Claims{c, x.start("b")} {
		_, r = vm.Claim(t.Context(), "w", "key", "n4")
		require.Equal(t, peer.ClaimReply{State: peer.ClaimDone, Status: 200, Answer: []byte("sent")}, r)
	}
}

func TestLargeAnswerIsNotKeptButTheKeyIs(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	ticket, _ := c.Claim(t.Context(), "w", "key", "n1")
	require.NoError(t, c.Settle(t.Context(), ticket, 200, make([]byte, MaxStoredAnswer+1)))
	_, r := c.Claim(t.Context(), "w", "key", "n2")
	require.Equal(t, peer.ClaimDone, r.State)
	require.Equal(t, fault.RanYes, r.Fault.Ran)
}

func TestReleasedKeyCanBeClaimedAgainUnderANewNonce(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	ticket, _ := c.Claim(t.Context(), "w", "key", "n1")
	require.NoError(t, c.Release(t.Context(), ticket))
	require.Equal(t, peer.ClaimUnknown, claimState(t, c, "key", "n1"))
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key", "n2"))
	require.NoError(t, c.Release(t.Context(), ticket))
	require.Equal(t, peer.ClaimTaken, claimState(t, c, "key", "n3"))
}

// During a split two VMs both believe that they are home of a shard, and a
// caller sends the same notice through both at once. Sent twice, a ward would
// get two SMS; only one of the two may win.
func TestTwoHomesRacing(t *testing.T) {
	x := newFixture()
	homes := []*Claims{x.start("a"), x.start("b")}
	for i := range 50 {
		key := fmt.Sprintf("key-%d", i)
		var wins atomic.Int32
		var wg sync.WaitGroup
		for j := range 6 {
			wg.Go(func() {
				if claimState(t, homes[j%2], key, fmt.Sprintf("n-%d-%d", i, j)) == peer.ClaimWon {
					wins.Add(1)
				}
			})
		}
		wg.Wait()
		require.Equal(t, int32(1), wins.Load())
	}
}

// The store writes a claim and the answer gets lost, or the write itself does.
// The gate must learn which, or the request would run twice or never.
func TestLostAnswerIsReadBack(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	x.store.LoseResponses(1)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key", "n1"))
	x.store.LoseWrites(1)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key2", "n2"))
	require.Equal(t, peer.ClaimTaken, claimState(t, x.start("b"), "key", "n3"))
	require.Equal(t, peer.ClaimTaken, claimState(t, x.start("b"), "key2", "n4"))
}

// A write gets stuck on its way and arrives after the same claim was written
// again. It must have no effect any more.
func TestLateWriteHasNoEffect(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	x.store.DelayWrites(1)
	ticket, r := c.Claim(t.Context(), "w", "key", "n1")
	require.Equal(t, peer.ClaimWon, r.State)
	require.NoError(t, c.Release(t.Context(), ticket))
	x.store.DeliverDelayed()
	require.Equal(t, peer.ClaimWon, claimState(t, x.start("b"), "key", "n2"))
	require.Equal(t, peer.ClaimTaken, claimState(t, c, "key", "n3"))
}

// All writes of a claim stay without an answer. The gate is told to send
// nothing; when a write arrives later all the same, the key would stay taken by
// a request that never ran. It is released, and the caller's next try runs.
func TestClaimThatNobodyActsOnIsWithdrawn(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	x.store.DelayWrites(x.rules.MaxAttempts)
	_, r := c.Claim(t.Context(), "w", "key", "n1")
	require.Equal(t, peer.ClaimUnknown, r.State)
	require.Equal(t, fault.RanNo, r.Fault.Ran)
	x.store.DeliverDelayed()
	try := 0
	require.Eventually(t, func() bool {
		try++
		return claimState(t, c, "key", fmt.Sprintf("again-%d", try)) == peer.ClaimWon
	}, 5*time.Second, time.Millisecond)
}

// The store is out. The caller must be told at once that nothing ran, and when
// to come back, and after the outage the same key must run.
func TestOutageIsRefusedAtOnce(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	x.store.SetOutage(true)
	_, r := c.Claim(t.Context(), "w", "key", "n1")
	require.Equal(t, peer.ClaimUnknown, r.State)
	require.Equal(t, fault.Unavailable, r.Fault.Kind)
	require.Equal(t, fault.RanNo, r.Fault.Ran)
	require.Positive(t, r.Fault.Retry)
	x.store.SetOutage(false)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key", "n2"))
}

// timedStore notes how much time the last read was given.
type timedStore struct {
	*platformtest.Store
	given atomic.Int64
}

func (s *timedStore) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	if end, ok := ctx.Deadline(); ok {
		s.given.Store(int64(time.Until(end)))
	}
	return s.Store.Get(ctx, k, n)
}

// The store is silent: calls hang. The first claim waits its whole time to find
// out. Those that come after must be refused much sooner, and the first one
// after the outage must run.
func TestSilentStoreHoldsOneCallerAtATime(t *testing.T) {
	x := newFixture()
	hand := &handClock{}
	x.rules.ProbeInterval, x.rules.CommitTimeout, x.rules.BriefTimeout = 1000, 300, 5
	p := &peers{self: peer.Member{VM: "a", Address: "a"}}
	p.believe("a")
	s := &timedStore{Store: x.store}
	c := New(s, x.wire, hand, x.rules, p)
	brief := x.rules.BriefTimeout.Duration()
	release := x.store.BlockCalls()
	refused := func(key string) time.Duration {
		_, r := c.Claim(t.Context(), "w", key, "n0")
		require.Equal(t, peer.ClaimUnknown, r.State)
		require.Equal(t, fault.RanNo, r.Fault.Ran)
		return time.Duration(s.given.Load())
	}
	require.Greater(t, refused("key-0"), brief)
	for i := range 10 {
		require.LessOrEqual(t, refused(fmt.Sprintf("key-%d", i)), brief)
	}
	hand.now.Add(int64(x.rules.ProbeInterval))
	require.Greater(t, refused("key-0"), brief, "a slow store would answer this one")
	require.LessOrEqual(t, refused("key-0"), brief)
	release()
	require.Eventually(t, func() bool { return claimState(t, c, "key-0", "n1") == peer.ClaimWon }, 5*time.Second, time.Millisecond)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key-1", "n1"))
}

// A hung store must not hold a caller longer than its allowed time.
func TestHungStoreEndsWithTheCallersTime(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	release := x.store.BlockCalls()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, r := c.Claim(ctx, "w", "key", "n1")
	require.Equal(t, peer.ClaimUnknown, r.State)
	release()
	try := 0
	require.Eventually(t, func() bool {
		try++
		return claimState(t, c, "key", fmt.Sprintf("again-%d", try)) == peer.ClaimWon
	}, 5*time.Second, time.Millisecond)
}

// Reads of the store lag behind its writes. A VM that sees the journal as it
// was before a claim must not give the key out a second time.
func TestStaleReadNeverMakesASecondWinner(t *testing.T) {
	x := newFixture()
	a := x.start("a")
	require.Equal(t, peer.ClaimWon, claimState(t, a, "other", "n0"))
	x.store.SetStale(true)
	require.Equal(t, peer.ClaimWon, claimState(t, a, "key", "n1"))
	b := x.start("b")
	require.Equal(t, peer.ClaimUnknown, claimState(t, b, "key", "n2"))
	x.store.SetStale(false)
	require.Equal(t, peer.ClaimTaken, claimState(t, b, "key", "n3"))
}

// The home dies right after it wrote a claim, and the gate gets no answer; then
// its stand-in does so as well. The gate must be able to go on with its request,
// and nobody else with the same key.
func TestHomesCrashAfterTheWrite(t *testing.T) {
	for lost := range 3 {
		x := newFixture()
		gate := x.start("gate")
		key := keyOf(t, x, gate)
		home, standIn := x.start("home"), x.start("stand-in")
		x.wire.lose = lost
		ticket, r := gate.Claim(t.Context(), "w", key, "n")
		require.Equal(t, peer.ClaimWon, r.State)
		require.Equal(t, "n"+strings.Repeat("+", lost), ticket.Nonce)
		require.Equal(t, lost == 2, len(gate.shards) == 1, "the gate acts by itself only if both are silent")
		require.Equal(t, peer.ClaimTaken, claimState(t, home, key, "n2"))
		require.Equal(t, peer.ClaimTaken, claimState(t, standIn, key, "n3"))
		if lost > 0 {
			require.Equal(t, peer.ClaimUnknown, claimState(t, home, key, "n"))
		}
		delete(x.wire.claims, "home")
		require.NoError(t, gate.Settle(t.Context(), ticket, 200, []byte("x")))
		require.Equal(t, peer.ClaimDone, claimState(t, x.start("b"), key, "n4"))
	}
}

// The home is frozen with the claim before its write, the gate goes on by
// itself, and the home thaws. Its claim is void by then.
func TestHomeThawsWithAnOldClaim(t *testing.T) {
	x := newFixture()
	gate := x.start("gate")
	key := keyOf(t, x, gate)
	ticket, r := gate.Claim(t.Context(), "w", key, "n1")
	require.Equal(t, peer.ClaimWon, r.State)
	require.NoError(t, gate.Release(t.Context(), ticket))
	home := x.start("home")
	require.Equal(t, peer.ClaimUnknown, claimState(t, home, key, "n1"))
	require.Equal(t, peer.ClaimWon, claimState(t, home, key, "n2"))
}

func TestManyClaimsShareAWrite(t *testing.T) {
	x := newFixture()
	c := x.start("a")
	_, id := digestOf("w", "key-0")
	keys := sameShard(id, 60)
	release := x.store.BlockCalls()
	s := c.shard(id)
	waiting := func(n int) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.running && len(s.waiting) == n
		}
	}
	var wg sync.WaitGroup
	claim := func(key string) {
		wg.Go(func() { require.Equal(t, peer.ClaimWon, claimState(t, c, key, key)) })
	}
	claim(keys[0])
	require.Eventually(t, waiting(0), 5*time.Second, time.Millisecond)
	for _, key := range keys[1:] {
		claim(key)
	}
	require.Eventually(t, waiting(len(keys)-1), 5*time.Second, time.Millisecond)
	release()
	wg.Wait()
	require.Equal(t, uint64(2), x.store.Counts().Writes)
}

// handClock is a clock that the test moves.
type handClock struct{ now atomic.Int64 }

func (h *handClock) Now() clock.Milli { return clock.Milli(h.now.Load()) }

// Pages move to archives as they fill. A VM that becomes home later must know
// every key of them, and one that can't read an archive must not guess.
func TestArchivesKeepKeysAndAnswers(t *testing.T) {
	x := newFixture()
	hand := &handClock{}
	hand.now.Store(1)
	x.clock, x.rules.MaxPageSize = hand, 4*recordSize
	c := x.start("a")
	_, id := digestOf("w", "key-0")
	keys := sameShard(id, 30)
	for _, k := range keys {
		ticket, r := c.Claim(t.Context(), "w", k, k)
		require.Equal(t, peer.ClaimWon, r.State)
		require.NoError(t, c.Settle(t.Context(), ticket, 200, []byte(k)))
	}
	for _, vm := range []*Claims{c, x.start("b")} {
		for _, k := range keys {
			_, r := vm.Claim(t.Context(), "w", k, "again")
			require.Equal(t, peer.ClaimReply{State: peer.ClaimDone, Status: 200, Answer: []byte(k)}, r)
		}
	}
	// 60 records in pages of 4 or 5 filled 12 archives, of which few are left.
	var archives []platform.Object
	require.Eventually(t, func() bool {
		archives = list(t, x.store, id.page()+"-")
		return len(archives) <= 4
	}, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, len(archives), 2)
	require.NoError(t, x.store.Delete(t.Context(), Kind, archives[0].Name, platform.Unconditional))
	require.Equal(t, peer.ClaimUnknown, claimState(t, x.start("c"), keys[0], "n"))

	// Past retention the archives go, and their keys with them.
	hand.now.Add(int64(x.rules.Retention) + 1)
	for _, k := range sameShard(id, 34)[30:] {
		require.Equal(t, peer.ClaimWon, claimState(t, c, k, "late"))
	}
	require.Eventually(t, func() bool { return len(list(t, x.store, id.page()+"-")) <= 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, peer.ClaimWon, claimState(t, c, keys[0], "new"))
}

func list(t *testing.T, s *platformtest.Store, prefix platform.Name) []platform.Object {
	os, err := s.List(t.Context(), Kind, string(prefix))
	require.NoError(t, err)
	return os
}

func sameShard(id shardID, n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("key-%d", i)
		if _, other := digestOf("w", key); other == id {
			keys = append(keys, key)
		}
	}
	return keys
}

func TestFullBatchStaysUnderTheStoresLimit(t *testing.T) {
	answer := strings.Repeat("x", MaxStoredAnswer)
	p := page{}
	for i := range DefaultRules.MaxBatch {
		p.Records = append(p.Records, record{
			Key: digest(strings.Repeat("k", 22)), Nonce: strings.Repeat("n", 36), State: claimed,
			At: 1 << 41, Status: 200, Answer: []byte(answer),
		})
		require.Less(t, len((&page{Records: p.Records[i:]}).encode()), recordSize+len(answer)*4/3+40)
	}
	require.Less(t, len(p.encode())+DefaultRules.MaxPageSize+64<<10, platform.MaxValueSize)
}

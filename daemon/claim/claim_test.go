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

// testRules returns rules for tests, which don't limit the rate of writes or of retries, and
// never shorten the timeout of a claim.
func testRules() Rules {
	r := DefaultRules
	r.WriteInterval, r.RetryInterval, r.ProbeInterval = 0, 1, 0
	return r
}

var errNoReply = errors.New("no reply")

// network delivers calls between the VMs of one test.
type network struct {
	mu     sync.Mutex
	claims map[string]*Claims
	// loseReplies is the number of calls to come that are executed but whose reply is lost.
	loseReplies int
}

func (w *network) Call(_ context.Context, address, method string, args, reply any) error {
	w.mu.Lock()
	c := w.claims[address]
	lost := w.loseReplies > 0
	if lost {
		w.loseReplies--
	}
	w.mu.Unlock()
	if c == nil {
		return errNoReply
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
		return errNoReply
	}
	return err
}

// peers is the membership as one VM sees it.
type peers struct {
	mu   sync.Mutex
	self peer.Member
	live []peer.Member
}

func (p *peers) Self() peer.Member   { return p.self }
func (p *peers) Live() []peer.Member { p.mu.Lock(); defer p.mu.Unlock(); return p.live }

func (p *peers) setLive(vms ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = nil
	for _, v := range vms {
		p.live = append(p.live, peer.Member{VM: peer.VM(v), Address: v})
	}
}

type fixture struct {
	store   *platformtest.Store
	network *network
	rules   Rules
	clock   Clock
	peers   map[string]*peers
}

func newFixture() *fixture {
	return &fixture{
		store: platformtest.New(), rules: testRules(), clock: clock.New(),
		network: &network{claims: map[string]*Claims{}}, peers: map[string]*peers{},
	}
}

// start starts a new incarnation of a VM, with itself as the only live member.
func (x *fixture) start(vm string) *Claims {
	p := &peers{self: peer.Member{VM: peer.VM(vm), Address: vm}}
	p.setLive(vm)
	c := New(x.store, x.network, x.clock, x.rules, p)
	x.network.mu.Lock()
	x.network.claims[vm] = c
	x.network.mu.Unlock()
	x.peers[vm] = p
	return c
}

// keyWithHomes returns a key whose home is "home" and whose stand-in is "stand-in" in the
// membership of the gate, and adds both VMs to that membership.
func keyWithHomes(t *testing.T, x *fixture, gate *Claims) string {
	x.peers["gate"].setLive("gate", "home", "stand-in")
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

// During a network partition two VMs both consider themselves the home of a shard, and a
// client sends the same request through both at once. If both claims were won, the
// request would run twice.
func TestTwoHomesClaimSameKeyConcurrently(t *testing.T) {
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

// The store executes the write of a claim and its response is lost, or the write itself
// is lost. The gate must find out which, or the request would run twice or never.
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

// A write is delayed and reaches the store after the same claim was written again and
// released. It must have no effect.
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

// No write of a claim is answered, so the gate does not send the request; then a write
// takes effect late. Unless the claim is released, the key remains claimed by a request
// that never ran, and the client's retries are refused.
func TestUnconfirmedClaimIsWithdrawn(t *testing.T) {
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

// The store is unavailable. The claim must fail at once, with the information that the
// request did not run and when to retry. After the outage the same key can be claimed.
func TestClaimDuringStoreOutageFailsAtOnce(t *testing.T) {
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

// timedStore records the timeout of the last read.
type timedStore struct {
	*platformtest.Store
	timeout atomic.Int64
}

func (s *timedStore) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	if end, ok := ctx.Deadline(); ok {
		s.timeout.Store(int64(time.Until(end)))
	}
	return s.Store.Get(ctx, k, n)
}

// Calls to the store hang. The first claim waits for its full timeout. Later claims must
// fail much sooner, and the first claim after the outage must succeed.
func TestHungStoreDelaysOneClaimPerInterval(t *testing.T) {
	x := newFixture()
	clk := &manualClock{}
	x.rules.ProbeInterval, x.rules.CommitTimeout, x.rules.BriefTimeout = 1000, 300, 5
	p := &peers{self: peer.Member{VM: "a", Address: "a"}}
	p.setLive("a")
	s := &timedStore{Store: x.store}
	c := New(s, x.network, clk, x.rules, p)
	brief := x.rules.BriefTimeout.Duration()
	release := x.store.BlockCalls()
	refused := func(key string) time.Duration {
		_, r := c.Claim(t.Context(), "w", key, "n0")
		require.Equal(t, peer.ClaimUnknown, r.State)
		require.Equal(t, fault.RanNo, r.Fault.Ran)
		return time.Duration(s.timeout.Load())
	}
	require.Greater(t, refused("key-0"), brief)
	for i := range 10 {
		require.LessOrEqual(t, refused(fmt.Sprintf("key-%d", i)), brief)
	}
	clk.now.Add(int64(x.rules.ProbeInterval))
	require.Greater(t, refused("key-0"), brief, "the probe needs the full timeout, in case the store is only slow")
	require.LessOrEqual(t, refused("key-0"), brief)
	release()
	require.Eventually(t, func() bool { return claimState(t, c, "key-0", "n1") == peer.ClaimWon }, 5*time.Second, time.Millisecond)
	require.Equal(t, peer.ClaimWon, claimState(t, c, "key-1", "n1"))
}

// Calls to the store hang. A claim must end at the deadline of its request, and be
// released when the store responds again.
func TestClaimOnHungStoreEndsAtDeadline(t *testing.T) {
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

// Reads of the store return old versions. A VM that reads the journal as it was before a
// claim must not let a second claim on the same key succeed.
func TestStaleReadNeverLetsASecondClaimWin(t *testing.T) {
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

// The home crashes right after it wrote a claim, so that the gate gets no reply, and then
// the stand-in does as well. The gate must still win the claim, and no other request with
// the same key may.
func TestHomesCrashAfterTheWrite(t *testing.T) {
	for lost := range 3 {
		x := newFixture()
		gate := x.start("gate")
		key := keyWithHomes(t, x, gate)
		home, standIn := x.start("home"), x.start("stand-in")
		x.network.loseReplies = lost
		ticket, r := gate.Claim(t.Context(), "w", key, "n")
		require.Equal(t, peer.ClaimWon, r.State)
		require.Equal(t, "n"+strings.Repeat("+", lost), ticket.Nonce)
		require.Equal(t, lost == 2, len(gate.shards) == 1, "the gate writes the journal itself only if neither home replies")
		require.Equal(t, peer.ClaimTaken, claimState(t, home, key, "n2"))
		require.Equal(t, peer.ClaimTaken, claimState(t, standIn, key, "n3"))
		if lost > 0 {
			require.Equal(t, peer.ClaimUnknown, claimState(t, home, key, "n"))
		}
		delete(x.network.claims, "home")
		require.NoError(t, gate.Settle(t.Context(), ticket, 200, []byte("x")))
		require.Equal(t, peer.ClaimDone, claimState(t, x.start("b"), key, "n4"))
	}
}

// The home is paused before it writes a claim, and the gate claims the key itself and
// releases it. When the home resumes, its write must be rejected.
func TestVoidClaimOfThawedHomeIsRejected(t *testing.T) {
	x := newFixture()
	gate := x.start("gate")
	key := keyWithHomes(t, x, gate)
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
			return s.committing && len(s.queue) == n
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

// manualClock is a clock that the test moves.
type manualClock struct{ now atomic.Int64 }

func (h *manualClock) Now() clock.Milli { return clock.Milli(h.now.Load()) }

// Full pages are moved to archives. A VM that becomes home later must know all keys in
// them; if it can't read an archive, claims must fail.
func TestArchivesRetainKeysAndAnswers(t *testing.T) {
	x := newFixture()
	clk := &manualClock{}
	clk.now.Store(1)
	x.clock, x.rules.MaxPageSize = clk, 4*recordSize
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

	// After the retention time archives and their keys are removed.
	clk.now.Add(int64(x.rules.Retention) + 1)
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

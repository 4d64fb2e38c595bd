package span

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
)

// newSpreadPool returns a pool of an owner that reaches this share of the VMs.
func newSpreadPool(t *testing.T, engines int, share float64, seed uint64) *testPool {
	b := newTestPool(t, engines)
	b.SetLimitShare(now, share)
	b.SetSpread(true, rand.New(rand.NewPCG(seed, 0)))
	return b
}

// Two owners on two sides of a partition, and gates that decide by themselves, must not pack the same
// first engines.
func TestOwnersThatDoNotKnowEachOtherDoNotPackTheSameEngines(t *testing.T) {
	for _, owners := range []int{2, 30} {
		streams := map[decide.UpstreamID]int{}
		for o := range owners {
			b := newSpreadPool(t, 30, 1/float64(owners), uint64(o))
			for range 180 / owners {
				streams[b.mustStream(b.shortAsk(now)).Leader.Upstream]++
			}
		}
		for id, n := range streams {
			require.LessOrEqual(t, n, engine.Slots, "%d owners, %s", owners, id)
		}
	}
}

// An owner that has lost one VM of nine must keep engines free for long prompts.
func TestSpreadLeavesEnginesToLongPrompts(t *testing.T) {
	b := newSpreadPool(t, 30, 8.0/9, 1)
	used := map[decide.UpstreamID]bool{}
	for range 24 {
		used[b.mustStream(b.shortAsk(now)).Leader.Upstream] = true
	}
	require.LessOrEqual(t, len(used), 6)
	require.Equal(t, "spread", b.mustDecide(b.longAsk(now, 200_000)).Reason)
}

// mustDecide queues a request and requires a decision.
func (b *testPool) mustDecide(a Ask) Decision {
	d, ok := b.ask(now, a)
	require.True(b.t, ok)
	return d
}

// An engine that another owner fills must get fewer requests, and one that restarts without work as
// many as the others.
func TestSpreadFollowsReports(t *testing.T) {
	b := newSpreadPool(t, 4, 0.5, 1)
	for i := range 4 {
		id := decide.UpstreamID(fmt.Sprintf("e%02d", i))
		b.upstreams[id].Born = 1
		b.Report(now, id, exchange.Load{Requests: 2, Born: 1})
	}
	b.RequestReports()
	b.Report(now+300, "e00", exchange.Load{Requests: 12, Born: 1})
	used := map[decide.UpstreamID]int{}
	for range 8 {
		used[b.mustGrant(now+300, b.shortAsk(now+300)).Leader.Upstream]++
	}
	require.Zero(t, used["e00"], used)
	require.False(t, b.upstreams["e00"].record == b.upstreams["e01"].record)
	b.Report(now+400, "e00", exchange.Load{Born: 2})
	require.Equal(t, "e00", string(b.mustGrant(now+400, b.shortAsk(now+400)).Leader.Upstream))
}

// A pool whose setting is absent must decide as one that never had the part.
func TestPoolWithoutSpreadDecidesAsBefore(t *testing.T) {
	with, without := newTestPool(t, 8), newTestPool(t, 8)
	random := rand.New(rand.NewPCG(3, 0))
	for i := range 2000 {
		at := now + clock.Milli(i)*5
		a := with.shortAsk(at)
		if random.IntN(20) == 0 {
			a = with.longAsk(at, 100_000)
		}
		id := decide.UpstreamID(fmt.Sprintf("e%02d", random.IntN(8)))
		ended := decide.RequestID(fmt.Sprintf("note%d", max(1, i-200)))
		load := exchange.Load{Requests: random.IntN(10)}
		with.SetSpread(false, nil)
		with.SetRank(3, true)
		var decisions [2][]Decision
		for j, b := range []*testPool{with, without} {
			b.Ask(at, a)
			b.Report(at, id, load)
			b.First(at, a.ID)
			b.End(at, ended, Done, "")
			decisions[j] = b.Tick(at)
		}
		require.Equal(t, decisions[1], decisions[0])
	}
}

// With a time that is three times too long, the upstream of the least reported load gets too much.
func TestHoldTimeFollowsRequestsThatEnded(t *testing.T) {
	b := newSpreadPool(t, 4, 0.5, 1)
	for i := range 100 {
		at := now + clock.Milli(i)*400
		a := b.shortAsk(at)
		b.mustGrant(at, a)
		b.First(at+50, a.ID)
		b.End(at+300, a.ID, Done, "")
	}
	require.EqualValues(t, 300, b.serviceTime(&queuedRequest{Ask: b.shortAsk(now)}))
}

func TestOverrunIdleRatio(t *testing.T) {
	b := newTestPool(t, 2)
	b.Tick(now)
	require.Zero(t, b.OverrunIdle())
	b.upstreams["e00"].external = engine.Slots + 1
	b.Tick(now + overrunInterval)
	require.InDelta(t, 0.5, b.OverrunIdle(), 0.01)
	b.upstreams["e01"].external = 1
	b.Tick(now + 2*overrunInterval)
	require.InDelta(t, 0.33, b.OverrunIdle(), 0.01)
}

package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Every engine of a pool fails at once and every request asks for a retry. If all of them were sent
// again, the load would double while no engine works.
func TestBudgetBoundsRetriesOfAFailingPool(t *testing.T) {
	b := NewBudget(0, 0, 0)
	for i := range 1000 {
		b.Succeed(clock.Milli(i))
	}
	allowed := 0
	for range 1000 {
		if b.Retry(1000) {
			allowed++
		}
	}
	require.InDelta(t, 100, allowed, 10)
	require.True(t, NewBudget(0, 0, 0).Retry(0), "a pool with little traffic may retry")
}

// One request crashes every engine that runs it, and its client sends it again and again, through
// other VMs too. Each time other clients on the engine lose their answers.
func TestQuarantineStopsAtTheSecondCrash(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	require.True(t, a.Begin(0, 7))
	require.Equal(t, Suspected, a.RecordCrash(10, 7, "engine-1", 0))
	a.End(7)

	b.Merge(20, a.Digest(20, 10))
	require.Equal(t, Suspected, b.Check(20, 7))
	require.True(t, b.Begin(20, 7))
	require.False(t, b.Begin(21, 7), "a second copy must not start before the first one has ended")
	require.Equal(t, Quarantined, b.RecordCrash(30, 7, "engine-2", 0))
	b.End(7)
	require.False(t, b.Begin(40, 7))

	a.Merge(50, b.Digest(50, 10))
	a.Merge(50, b.Digest(50, 10))
	require.False(t, a.Begin(50, 7), "no VM sends it to a third upstream")
	a.Clear(60, 7)
	require.Equal(t, Quarantined, a.Check(60, 7))
	require.Equal(t, Clean, a.Check(60+DefaultHold, 7), "entries expire")
}

// Two daemons report the same crash to each other again and again. If counts were added, a harmless
// request would be quarantined by these messages alone.
func TestMergeDoesNotCountACrashTwice(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	a.RecordCrash(0, 7, "engine-1", 0)
	for i := range clock.Milli(10) {
		b.Merge(i, a.Digest(i, 10))
		a.Merge(i, b.Digest(i, 10))
	}
	require.Equal(t, Suspected, a.Check(10, 7))
	require.Equal(t, Clean, a.Check(DefaultHold+10, 7), "exchanges between peers do not extend an entry")
	b.Clear(10, 7)
	require.Equal(t, Clean, b.Check(10, 7))
}

// An engine loses power while it runs two copies of one request, sent through two VMs. This is one
// crash: if it counted twice, the request would be quarantined for all clients.
func TestOneCrashUnderTwoCopiesCountsOnce(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	a.RecordCrash(0, 7, "engine-1", 0)
	require.Equal(t, Suspected, a.RecordCrash(10, 7, "engine-1", 0))
	b.Merge(20, a.Digest(20, 10))
	require.Equal(t, Suspected, b.RecordCrash(30, 7, "engine-1", 0))
	a.Merge(40, b.Digest(40, 10))
	require.Equal(t, Suspected, a.Check(40, 7))
	require.Equal(t, Quarantined, a.RecordCrash(sameCrashWindow, 7, "engine-1", 0), "crashed again after a restart")
}

// A request crashes an engine, the engine restarts under the same id within a second, and the
// request is sent again at once. The crashes of two incarnations count separately; two reports of
// the crash of one incarnation count once.
func TestCrashesOfTwoIncarnationsCountTwice(t *testing.T) {
	a := NewQuarantine(0)
	require.Equal(t, Suspected, a.RecordCrash(0, 7, "engine-1", 100))
	require.Equal(t, Suspected, a.RecordCrash(sameCrashWindow+1, 7, "engine-1", 100))
	require.Equal(t, Quarantined, a.RecordCrash(sameCrashWindow+2, 7, "engine-1", 200))
}

// An engine crashes under many requests, many times. The table must stay bounded, and proven poison
// requests must not be dropped in favor of bystanders.
func TestQuarantineStaysBounded(t *testing.T) {
	q := NewQuarantine(0)
	q.RecordCrash(0, 1, "engine-1", 0)
	q.RecordCrash(0, 1, "engine-2", 0)
	for i := range uint64(3 * maxSuspects) {
		q.RecordCrash(clock.Milli(i+1), i+2, "engine-1", 0)
	}
	require.LessOrEqual(t, len(q.entries), maxSuspects)
	require.Equal(t, Quarantined, q.Check(4*maxSuspects, 1))
}

func TestLimitEnforcesRateAndReturnsRetryTime(t *testing.T) {
	l := NewLimit(0, 1000)
	var got decide.Tokens
	for now := clock.Milli(0); now < 100*clock.Second; now += 10 {
		if l.Take(now, 500) == 0 {
			got += 500
		}
	}
	require.InDelta(t, 102_000, float64(got), 1000)

	l = NewLimit(0, 1000)
	require.Zero(t, l.Take(0, 2000))
	wait := l.Take(0, 500)
	require.Positive(t, wait)
	require.Zero(t, l.Take(wait, 500), "granted after the returned time")

	require.Zero(t, NewLimit(0, 1000).Take(0, 1_000_000), "a request above the burst must be able to pass")
}

// Clients of one workspace use several VMs, and most of them one VM. With equal shares the busy VM
// would refuse work while the rate is not used up.
func TestHomeDividesRateByDemandWithoutExceedingIt(t *testing.T) {
	h := NewHome(1000)
	h.Share(0, "a", 900)
	h.Share(0, "b", 100)
	busy, ttl := h.Share(10, "a", 900)
	quiet, _ := h.Share(10, "b", 100)
	require.InDelta(t, 1000, float64(busy+quiet), 0.01)
	require.Greater(t, busy, 5*quiet)
	require.Positive(t, ttl)
	alone, _ := h.Share(10+2*forgetAfter, "a", 900)
	require.InDelta(t, 1000, float64(alone), 0.01, "a VM that stopped asking loses its share")
}

// The workspace's home VM is gone for a while, and the last share stays in force.
func TestLastShareStaysInForceWithoutTheHome(t *testing.T) {
	l := NewLimit(0, 0)
	require.Zero(t, l.Take(0, 1_000_000), "no limit")
	l.SetShare(0, 100)
	l.Take(1000, 100)
	require.InDelta(t, 500_050, float64(l.Demand(2000)), 1)
	require.Zero(t, l.Take(10*clock.Minute, 200))
	require.Positive(t, l.Take(10*clock.Minute, 200))
}

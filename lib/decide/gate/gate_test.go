package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Every engine of a pool fails at once and every caller's request comes back for
// a retry. If all are sent again the load doubles while nothing works.
func TestBudgetBoundsRetriesOfAPoolInTrouble(t *testing.T) {
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
	require.True(t, NewBudget(0, 0, 0).Retry(0), "a quiet pool retries its few requests")
}

// One request crashes every engine that runs it, and its caller sends it again
// and again, through other VMs too. Other callers on those engines lose their
// answers each time.
func TestQuarantineStopsAtTheSecondDeath(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	require.True(t, a.Begin(0, 7))
	require.Equal(t, Suspected, a.RecordCrash(10, 7, "engine-1", 0))
	a.End(7)

	b.Merge(20, a.Digest(20, 10))
	require.Equal(t, Suspected, b.Check(20, 7))
	require.True(t, b.Begin(20, 7))
	require.False(t, b.Begin(21, 7), "a second copy would start before the first one's fate is known")
	require.Equal(t, Quarantined, b.RecordCrash(30, 7, "engine-2", 0))
	b.End(7)
	require.False(t, b.Begin(40, 7))

	a.Merge(50, b.Digest(50, 10))
	a.Merge(50, b.Digest(50, 10))
	require.False(t, a.Begin(50, 7), "never a third upstream, through no VM")
	a.Clear(60, 7)
	require.Equal(t, Quarantined, a.Check(60, 7))
	require.Equal(t, Clean, a.Check(60+DefaultHold, 7), "entries expire")
}

// Two daemons tell each other of the same death over and over. If counts were
// added up, an innocent request would be quarantined by gossip alone.
func TestMergeDoesNotCountADeathTwice(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	a.RecordCrash(0, 7, "engine-1", 0)
	for i := range clock.Milli(10) {
		b.Merge(i, a.Digest(i, 10))
		a.Merge(i, b.Digest(i, 10))
	}
	require.Equal(t, Suspected, a.Check(10, 7))
	require.Equal(t, Clean, a.Check(DefaultHold+10, 7), "gossip does not keep an entry alive")
	b.Clear(10, 7)
	require.Equal(t, Clean, b.Check(10, 7))
}

// An engine loses power while it runs two copies of one alert lookup, sent through two
// VMs. That is one death: refused as a killer, the lookup would fail for everybody.
func TestOneDeathUnderTwoCopiesCountsOnce(t *testing.T) {
	a, b := NewQuarantine(0), NewQuarantine(0)
	a.RecordCrash(0, 7, "engine-1", 0)
	require.Equal(t, Suspected, a.RecordCrash(10, 7, "engine-1", 0))
	b.Merge(20, a.Digest(20, 10))
	require.Equal(t, Suspected, b.RecordCrash(30, 7, "engine-1", 0))
	a.Merge(40, b.Digest(40, 10))
	require.Equal(t, Suspected, a.Check(40, 7))
	require.Equal(t, Quarantined, a.RecordCrash(sameDeath, 7, "engine-1", 0), "it came back and died again")
}

// A request crashes an engine that starts again under its id within a second, and its caller sends it again at
// once. Those are two deaths, of two lives; two gates that each tell of one life's death count it once.
func TestLivesOfOneEngineDieApart(t *testing.T) {
	a := NewQuarantine(0)
	require.Equal(t, Suspected, a.RecordCrash(0, 7, "engine-1", 100))
	require.Equal(t, Suspected, a.RecordCrash(sameDeath+1, 7, "engine-1", 100))
	require.Equal(t, Quarantined, a.RecordCrash(sameDeath+2, 7, "engine-1", 200))
}

// An engine dies under many requests, many times over: the table must stay
// bounded and must not forget a proven killer for the sake of bystanders.
func TestQuarantineStaysBounded(t *testing.T) {
	q := NewQuarantine(0)
	q.RecordCrash(0, 1, "engine-1", 0)
	q.RecordCrash(0, 1, "engine-2", 0)
	for i := range uint64(3 * suspectsKept) {
		q.RecordCrash(clock.Milli(i+1), i+2, "engine-1", 0)
	}
	require.LessOrEqual(t, len(q.entries), suspectsKept)
	require.Equal(t, Quarantined, q.Check(4*suspectsKept, 1))
}

func TestLimitHoldsTheRateAndTellsWhenToComeBack(t *testing.T) {
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
	require.Zero(t, l.Take(wait, 500), "coming back when told works")

	require.Zero(t, NewLimit(0, 1000).Take(0, 1_000_000), "a request above the burst must be able to pass")
}

// Callers of one workspace come through several VMs, most through one of them.
// Dealt evenly, the busy VM would refuse work while the rate is not used up.
func TestHomeDealsByDemandAndNeverMoreThanTheRate(t *testing.T) {
	h := NewHome(1000)
	h.Share(0, "a", 900)
	h.Share(0, "b", 100)
	busy, life := h.Share(10, "a", 900)
	quiet, _ := h.Share(10, "b", 100)
	require.InDelta(t, 1000, float64(busy+quiet), 0.01)
	require.Greater(t, busy, 5*quiet)
	require.Positive(t, life)
	alone, _ := h.Share(10+2*forgetAfter, "a", 900)
	require.InDelta(t, 1000, float64(alone), 0.01, "a VM that asked no more loses its share")
}

// The workspace's home VM is gone for a while: the last share holds.
func TestLastShareHoldsWithoutTheHome(t *testing.T) {
	l := NewLimit(0, 0)
	require.Zero(t, l.Take(0, 1_000_000), "no limit")
	l.SetShare(0, 100)
	l.Take(1000, 100)
	require.InDelta(t, 500_050, float64(l.Demand(2000)), 1)
	require.Zero(t, l.Take(10*clock.Minute, 200))
	require.Positive(t, l.Take(10*clock.Minute, 200))
}

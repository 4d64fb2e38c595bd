package forecast

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// The wait is that until enough work in progress has ended, also after places were used again.
func TestWaitFollowsTheEndsOfWorkInProgress(t *testing.T) {
	var s Supply
	s.Begin(0)
	s.AddPlaces(1000, 2)
	s.AddPlaces(3000, 1)
	var c Curve
	c.Compute(&s, Contention{ServiceTime: 4000})
	for n, want := range map[float64]float64{1: 1025, 2: 1050, 3: 3050, 5: 5050, 6: 7050} {
		wait, ok := c.WaitFirst(n)
		require.True(t, ok)
		require.InDelta(t, want, wait, 1, "place %.0f", n)
	}
	_, ok := c.WaitFirst(12)
	require.False(t, ok, "the twelfth place is available after the horizon")
}

// Arriving requests that go first take capacity, but never all of it: overload comes in phases.
func TestArrivalsTakeCapacityFromWaitingRequests(t *testing.T) {
	var s Supply
	s.AddRate(0, 0.1)
	wait := func(o Contention) float64 {
		var c Curve
		c.Compute(&s, o)
		d, ok := c.Wait(20)
		require.True(t, ok)
		return d
	}
	require.InDelta(t, 200, wait(Contention{}), 1)
	require.InDelta(t, 400, wait(Contention{Rate: 0.05}), 1)
	require.InDelta(t, 2000, wait(Contention{Rate: 5, LeastShare: 0.1}), 1)
}

// An upstream that is excluded or cold supplies nothing before its time.
func TestSupplyStartsAtItsTime(t *testing.T) {
	var s Supply
	s.AddRate(1010, 0.1)
	var c Curve
	c.Compute(&s, Contention{})
	wait, ok := c.Wait(4)
	require.True(t, ok)
	require.InDelta(t, 1050, wait, 1)
}

// A thousand clients that connect again at once do not count as a rate that continues, a lasting
// rise does within a second and a quarter.
func TestDemandIgnoresASingleBurst(t *testing.T) {
	var d Demand
	for at := clock.Milli(1); at <= 10_000; at += 10 {
		d.Add(at, 1)
	}
	require.InDelta(t, 0.1, d.Rate(10_000), 0.001)
	d.Add(10_100, 1000)
	require.InDelta(t, 0.1, d.Rate(10_260), 0.001)
	for at := clock.Milli(10_300); at <= 11_600; at += 5 {
		d.Add(at, 1)
	}
	require.InDelta(t, 0.2, d.Rate(11_600), 0.01)
	require.Zero(t, d.Rate(1_000_000))
}

func TestRatioCorrectsEstimates(t *testing.T) {
	var r Ratio
	require.InDelta(t, 100, r.Apply(100), 0)
	for range 200 {
		r.Note(300, 200)
	}
	require.InDelta(t, 150, r.Apply(100), 0.1)
	require.InDelta(t, 60, Remaining(100, 40), 0)
	require.InDelta(t, 40, Remaining(100, 140), 0)
}

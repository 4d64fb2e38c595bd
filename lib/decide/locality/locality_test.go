package locality

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// One late first byte must not make an upstream slow, and one at half speed must be found before it
// has delayed many requests.
func TestPaceIsLearnedFromSeveralRequests(t *testing.T) {
	var p Pace
	require.False(t, p.Observe(1, Usual, 1, 20), "one outlier")
	require.Less(t, p.Factor(Usual), SlowPace)
	p = Pace{}
	n := 0
	for now := clock.Milli(1); !p.Slow(); now++ {
		p.Observe(now, Usual, p.Factor(Usual), 2/p.Factor(Usual))
		n++
	}
	require.LessOrEqual(t, n, 6)
}

// The pace of a nearly full upstream says nothing of the same upstream with few requests.
func TestPaceWhenNearlyFullIsSeparate(t *testing.T) {
	var p Pace
	for now := clock.Milli(1); now < 20; now++ {
		p.Observe(now, Usual, 1, 1)
		p.Observe(now, NearlyFull, p.Factor(NearlyFull), 3/p.Factor(NearlyFull))
	}
	require.InDelta(t, 1, p.Factor(Usual), 0.01)
	require.Greater(t, p.Factor(NearlyFull), SlowPace)
}

// A slow upstream whose trials show no change is tried less and less often, but never given up, even if
// no request can be in time at its learned pace.
func TestTrialsOfSlowUpstreamAreRareAndNeverEnd(t *testing.T) {
	var p Pace
	now := clock.Milli(1)
	for range 40 {
		p.Observe(now, Usual, p.Factor(Usual), 4/p.Factor(Usual))
	}
	var waits []clock.Milli
	for range 6 {
		last := now
		for pace, due := p.Trial(now, Usual); !due || pace >= SlowPace; pace, due = p.Trial(now, Usual) {
			now++
		}
		waits = append(waits, now-last)
		p.Observe(now, Usual, p.Factor(Usual), 4/p.Factor(Usual))
	}
	require.IsNonDecreasing(t, waits)
	require.LessOrEqual(t, waits[5], 5*maxTrial)
	require.GreaterOrEqual(t, waits[5], maxTrial)
}

// What an upstream reports counts until something is learned, if it becomes worse, and after long
// without requests; otherwise an upstream that reports a wrong pace forever would be followed.
func TestReportedPaceIsReplacedByLearned(t *testing.T) {
	var p Pace
	p.Report(1, 3)
	require.Equal(t, 3.0, p.Factor(Usual))
	for now := clock.Milli(2); now < 40; now++ {
		p.Observe(now, Usual, p.Factor(Usual), 1/p.Factor(Usual))
	}
	p.Report(41, 3)
	require.Less(t, p.Factor(Usual), NormalPace)
	p.Report(42, 5)
	require.Equal(t, 5.0, p.Factor(Usual))
	p.Report(42+staleAfter+1, 1)
	require.Equal(t, 1.0, p.Factor(Usual))
}

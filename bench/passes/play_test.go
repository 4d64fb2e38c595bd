package passes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/span"
)

// seeds is how many seeds a mean is of.
const seeds = 5

// mean plays a load on some seeds and returns the mean share of worth and the share of
// each kind that came in time.
func mean(l *Load, r span.Rules) (worth float64, inTime map[string]float64) {
	asked, got := map[string]int{}, map[string]int{}
	for s := range seeds {
		res := Simulate(l, r, uint64(s+1))
		worth += res.Worth / float64(seeds)
		for k, v := range res.Kinds {
			asked[k] += v.Requests
			got[k] += v.InTime
		}
	}
	inTime = map[string]float64{}
	for k, n := range asked {
		inTime[k] = float64(got[k]) / float64(n)
	}
	return worth, inTime
}

func TestTheSameSeedPlaysTheSame(t *testing.T) {
	l := Loads()["shift18"]
	require.Equal(t, Simulate(l, span.DefaultRules, 3), Simulate(l, span.DefaultRules, 3))
}

// Long prompts press for ten seconds, then short ones, then long ones again. A boundary that
// moves slowly leaves one of them late in each phase.
func TestShiftingPhasesAreServedInTime(t *testing.T) {
	worth, inTime := mean(Loads()["shift18"], span.DefaultRules)
	require.Greater(t, worth, 0.95)
	require.Greater(t, inTime["note"], 0.98)
	require.Greater(t, inTime["file"], 0.97)
	require.Greater(t, inTime["history"], 0.90)
}

// A prompt of two hundred thousand tokens is due in three seconds and takes one engine
// 2.8 s. Read by one engine each, most are late after any wait.
func TestSpreadingIsWhatServesLongPrompts(t *testing.T) {
	alone := span.DefaultRules
	alone.MaxGroup = 1
	l := Loads()["steady18"]
	with, inTime := mean(l, span.DefaultRules)
	without, inTimeAlone := mean(l, alone)
	require.Greater(t, with, without+0.08)
	require.Greater(t, inTime["history"], inTimeAlone["history"]+0.3)
	require.Greater(t, inTime["note"], 0.98, "short work pays nothing for it")
}

// All kinds come three times as often as usual for ten seconds, more than the engines
// can do. Short work must come through, and nothing may be held in vain.
func TestAFloodLeavesShortWorkInTime(t *testing.T) {
	_, inTime := mean(Loads()["flood14"], span.DefaultRules)
	require.Greater(t, inTime["note"], 0.9)
}

package passes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/span"
)

// seeds is the number of seeds over which results are averaged.
const seeds = 5

// mean simulates a load with several seeds and returns the mean fraction of the value, and the
// fraction of each kind's requests that were served in time.
func mean(l *Load, r span.Rules) (worth float64, inTime map[string]float64) {
	requests, inTimeCount := map[string]int{}, map[string]int{}
	for s := range seeds {
		res := Simulate(l, r, uint64(s+1))
		worth += res.Worth / float64(seeds)
		for k, v := range res.Kinds {
			requests[k] += v.Requests
			inTimeCount[k] += v.InTime
		}
	}
	inTime = map[string]float64{}
	for k, n := range requests {
		inTime[k] = float64(inTimeCount[k]) / float64(n)
	}
	return worth, inTime
}

func TestSameSeedGivesSameResult(t *testing.T) {
	l := Loads()["shift18"]
	require.Equal(t, Simulate(l, span.DefaultRules, 3), Simulate(l, span.DefaultRules, 3))
}

// Long prompts prevail for 10 s, then short ones, then long ones again. If the boundary between
// engines for short and for long prompts moves too slowly, one of the two is late in each phase.
func TestShiftingPhasesAreServedInTime(t *testing.T) {
	worth, inTime := mean(Loads()["shift18"], span.DefaultRules)
	require.Greater(t, worth, 0.95)
	require.Greater(t, inTime["note"], 0.98)
	require.Greater(t, inTime["file"], 0.97)
	require.Greater(t, inTime["history"], 0.90)
}

// A prompt of 200,000 tokens has an aim of 3 s, and its prefill takes one engine 2.8 s. If each is
// prefilled by a single engine, most are late after any queueing.
func TestGroupedPrefillServesLongPromptsInTime(t *testing.T) {
	alone := span.DefaultRules
	alone.MaxGroup = 1
	l := Loads()["steady18"]
	with, inTime := mean(l, span.DefaultRules)
	without, inTimeAlone := mean(l, alone)
	require.Greater(t, with, without+0.08)
	require.Greater(t, inTime["history"], inTimeAlone["history"]+0.3)
	require.Greater(t, inTime["note"], 0.98, "short requests are not slowed down by grouped prefill")
}

// All kinds arrive at three times their usual rate for 10 s, more than the engines can serve. Short
// requests must still be served in time.
func TestFloodLeavesShortRequestsInTime(t *testing.T) {
	_, inTime := mean(Loads()["flood14"], span.DefaultRules)
	require.Greater(t, inTime["note"], 0.9)
}

package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/bench/load"
	"snipeshift.example/bench/measure"
	"snipeshift.example/bench/policy"
)

// runScenario runs a scenario on a policy for some minutes of simulated time, of which the first is
// warm-up.
func runScenario(t *testing.T, d *load.Deployment, scenario string, l, minutes float64, c candidate) measure.Result {
	t.Helper()
	for _, s := range load.Scenarios {
		if s.Name == scenario {
			run := &cell{deployment: d, scenario: s, loadFactor: l, candidate: c}
			run.run(options{seed: 1, duration: minutes * 60_000})
			return run.result
		}
	}
	t.Fatalf("no scenario %s", scenario)
	return measure.Result{}
}

// The fleet runs at 80% load, and one request in fifty occupies an engine for up to a minute. An
// urgent lookup that queues behind such a request would get its response too late to be of use.
func TestMixAt80PercentLoadMeetsTargets(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	r := runScenario(t, d, "mix", 0.8, 5, candidates[0])
	require.LessOrEqual(t, r.Slowdown.P99, 1.2)
	require.GreaterOrEqual(t, r.LongInTime*100, r.LongAdmitted*99)
	require.Less(t, r.Missed*1000, r.Requests)
	b := runScenario(t, d, "mix", 0.8, 5, newBaseline("shortest first", policy.ShortestFirst))
	require.Less(t, 5*r.UrgentFirstToken.P99, b.UrgentFirstToken.P99)
}

// The offered load is 1.5 times the capacity of the fleet. Some requests must be refused; the
// admitted ones must end before their deadlines, urgent lookups must stay almost as fast as on idle
// engines, and the engines must not idle.
func TestMixAtOverloadMeetsTargets(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	r := runScenario(t, d, "mix", 1.5, 4, candidates[0])
	require.LessOrEqual(t, r.Slowdown.P99, 1.5)
	require.Less(t, r.Missed*1000, r.Requests)
	require.Positive(t, r.Refused)
	b := runScenario(t, d, "mix", 1.5, 4, newBaseline("shortest first", policy.ShortestFirst))
	require.GreaterOrEqual(t, r.Goodput, 0.95*b.Goodput)
}

// Bursts, one workspace that sends ten times the rate of each other, one engine that is four times
// slower, and a fleet that starts out filled with long prompts: at 80% load clients may see only
// occasional refusals.
func TestOtherScenariosAt80PercentLoad(t *testing.T) {
	d := &load.Deployments[1]
	for _, s := range []string{"bursts", "skew", "slow", "saturation"} {
		t.Run(s, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, d, s, 0.8, 4, candidates[0])
			require.Less(t, r.Missed*1000, r.Requests)
			require.GreaterOrEqual(t, r.InTime*100, r.Requests*97)
			require.LessOrEqual(t, r.Slowdown.P99, 1.5)
			for _, fraction := range r.ServedFractions {
				require.GreaterOrEqual(t, fraction, 0.8, "at least 80% of each workspace's offered tokens are served in time")
			}
		})
	}
}

// Two runs with the same seed must give the same result; otherwise results of different versions
// could not be compared.
func TestSameSeedGivesSameResult(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	require.Equal(t, runScenario(t, d, "bursts", 1.0, 2, candidates[0]), runScenario(t, d, "bursts", 1.0, 2, candidates[0]))
}

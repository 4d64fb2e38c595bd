package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/bench/load"
	"snipeshift.example/bench/measure"
	"snipeshift.example/bench/policy"
)

// play runs some minutes of one scenario on one policy, one of them to warm up.
func play(t *testing.T, d *load.Deployment, scenario string, l, minutes float64, c contender) measure.Result {
	t.Helper()
	for _, s := range load.Scenarios {
		if s.Name == scenario {
			run := &cell{deployment: d, scenario: s, load: l, contender: c}
			run.run(options{seed: 1, span: minutes * 60_000})
			return run.result
		}
	}
	t.Fatalf("no scenario %s", scenario)
	return measure.Result{}
}

// The fleet is four fifths busy and one request in fifty takes up to a minute of an
// engine. An alert lookup that waits behind it comes too late to warn anyone.
func TestMixAtFourFifthsKeepsTheBars(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	r := play(t, d, "mix", 0.8, 5, contenders[0])
	require.LessOrEqual(t, r.Slowdown.P99, 1.2)
	require.GreaterOrEqual(t, r.LongInTime*100, r.LongAdmitted*99)
	require.Less(t, r.Missed*1000, r.Requests)
	b := play(t, d, "mix", 0.8, 5, baseline("shortest first", policy.ShortestFirst))
	require.Less(t, 5*r.UrgentFirstToken.P99, b.UrgentFirstToken.P99)
}

// Half again as much work comes as the fleet can do. Whatever is refused, the rest
// must be served in time, the lookups almost as fast as ever, and the engines
// must not idle.
func TestMixAtOverloadKeepsTheBars(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	r := play(t, d, "mix", 1.5, 4, contenders[0])
	require.LessOrEqual(t, r.Slowdown.P99, 1.5)
	require.Less(t, r.Missed*1000, r.Requests)
	require.Positive(t, r.Refused)
	b := play(t, d, "mix", 1.5, 4, baseline("shortest first", policy.ShortestFirst))
	require.GreaterOrEqual(t, r.Goodput, 0.95*b.Goodput)
}

// Bursts, one workspace that sends ten times what others send, one engine four
// times slower, or a fleet that starts out full of dossiers: at four fifths of
// capacity callers must not notice more than a refusal now and then.
func TestOtherScenariosAtFourFifths(t *testing.T) {
	d := &load.Deployments[1]
	for _, s := range []string{"bursts", "skew", "slow", "saturation"} {
		t.Run(s, func(t *testing.T) {
			t.Parallel()
			r := play(t, d, s, 0.8, 4, contenders[0])
			require.Less(t, r.Missed*1000, r.Requests)
			require.GreaterOrEqual(t, r.InTime*100, r.Requests*97)
			require.LessOrEqual(t, r.Slowdown.P99, 1.5)
			for _, kept := range r.ServedFractions {
				require.GreaterOrEqual(t, kept, 0.8, "each workspace gets what it asked for")
			}
		})
	}
}

// The same seed must give the same verdict, or no figure could be compared.
func TestRunsRepeat(t *testing.T) {
	t.Parallel()
	d := &load.Deployments[0]
	require.Equal(t, play(t, d, "bursts", 1.0, 2, contenders[0]), play(t, d, "bursts", 1.0, 2, contenders[0]))
}

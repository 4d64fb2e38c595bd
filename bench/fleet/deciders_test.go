package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Thirty deciders with old reports must neither follow them all to the same upstream nor follow an
// upstream that reports no requests for ever.
func TestDecidersSpreadDespiteOldReports(t *testing.T) {
	for _, wrong := range []int{0, 1} {
		l := DeciderLoad{Deciders: 30, Upstreams: 30, Slots: 16, Seed: 2, For: clock.Minute, Age: 500, Load: 0.7, False: wrong}
		l.Policy = Least
		least := RunDeciders(l)
		l.Policy = Balanced
		balanced := RunDeciders(l)
		require.Less(t, balanced.Waited, 0.1*least.Waited+0.02, "%+v %+v", least, balanced)
		require.Less(t, balanced.P99, 0.25*least.P99, "%+v %+v", least, balanced)
		require.Zero(t, balanced.Unserved)
	}
}

// Deciders that know their ranks must wait at most 1.2 times as long as with an oracle, and an upstream
// must queue while another one has a free slot for less than a tenth of the time under least known
// load. With one false report among fresh ones, ranks alone overload the upstream without a usable report.
func TestRankedDecidersMeetTheGoalsOutsideBursts(t *testing.T) {
	for seed := range uint64(3) {
		for _, l := range []DeciderLoad{{Age: 500}, {Age: 500, Unequal: true}, {Age: 500, Changing: true}, {False: 1, Age: 50}} {
			l.Deciders, l.Upstreams, l.Slots, l.Seed, l.For, l.Load = 30, 30, 16, seed, clock.Minute, 0.7
			results := map[Policy]DeciderResult{}
			for _, l.Policy = range []Policy{Least, Ranked, Oracle} {
				results[l.Policy] = RunDeciders(l)
			}
			require.LessOrEqual(t, results[Ranked].P99, 1.2*results[Oracle].P99, "%+v", results)
			require.Less(t, results[Ranked].Free, 0.1*results[Least].Free, "%+v", results)
		}
	}
}

// In bursts, too, deciders that know their ranks must wait at most 1.2 times as long as with an oracle.
func TestRankedDecidersMeetTheGoalInBursts(t *testing.T) {
	for seed := range uint64(3) {
		l := DeciderLoad{Deciders: 30, Upstreams: 30, Slots: 16, Seed: seed, For: clock.Minute, Age: 500, Load: 0.7, Burst: true}
		results := map[Policy]DeciderResult{}
		for _, l.Policy = range []Policy{Ranked, Oracle} {
			results[l.Policy] = RunDeciders(l)
		}
		require.LessOrEqual(t, results[Ranked].P99, 1.2*results[Oracle].P99, "%+v", results)
	}
}

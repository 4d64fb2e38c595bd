package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/exchange"
)

// slowEngines makes engines slower than their data specify by the factor that slow returns, from the
// number of their streams. An engine reports its pace when it is polled, or always 1 if silent is set.
func (f *domainPlay) slowEngines(silent bool, slow func(id decide.UpstreamID, streams int) float64) {
	f.firstAfter = func(g Grant) clock.Milli {
		planned, factor := 1.0, slow(g.Leader.Upstream, f.upstreams[g.Leader.Upstream].streams)
		if len(g.Helpers) == 0 && g.Leader.Read <= DefaultRules.MaxShortRead {
			planned = max(f.upstreams[g.Leader.Upstream].pace, 1)
		}
		if e := f.grants[g.Request].expected; e.valid {
			planned = e.pace
		}
		for _, h := range g.Helpers {
			factor = max(factor, slow(h.Upstream, f.upstreams[h.Upstream].streams))
		}
		return clock.Milli(startDelay + (float64(g.First)-startDelay)*factor/planned)
	}
	for at := f.at; at < f.at+120_000; at += 50 {
		f.later(at, func() {
			for _, id := range f.TakeDuePolls(f.at, "g", 100) {
				r := f.upstreams[id]
				l := exchange.Load{Requests: len(r.grants), Pace: slow(id, r.streams)}
				if silent {
					l.Pace = 1
				}
				f.later(f.at+20, func() { f.Report(f.at, id, l) })
			}
		})
	}
}

// thirdAtHalfPace has a third of the engines at half pace, of each domain the first in the order of packing.
func thirdAtHalfPace(id decide.UpstreamID, _ int) float64 {
	if n := int(id[1]-'0')*10 + int(id[2]-'0'); n/3%3 == 0 {
		return 2
	}
	return 1
}

// slowNearlyFull has all engines at half pace while they are nearly full.
func slowNearlyFull(_ decide.UpstreamID, streams int) float64 {
	if locality.BandOf(streams, engine.Slots) == locality.NearlyFull {
		return 2
	}
	return 1
}

// Guards against engines that the learned pace lets stand idle or overloads, and against a learned
// pace that follows the load in place of the engine. The requests of three loads are counted together.
func TestSlowEnginesCostNoRequestsInTime(t *testing.T) {
	for name, slow := range map[string]func(decide.UpstreamID, int) float64{"third": thirdAtHalfPace, "nearly full": slowNearlyFull} {
		for _, silent := range []bool{false, true} {
			var inTime [2]float64
			for i, on := range []bool{false, true} {
				for _, load := range []float64{0.4, 0.6, 0.8} {
					unit := 150 / 6 / load
					f := newDomainPlay(t, 6, on)
					f.slowEngines(silent, slow)
					f.play(30_000, 2*unit, unit, unit/1.5)
					ratio, _ := f.ratios()
					t.Logf("%s, silent %v, on %v, load %.1f: in time %.3f", name, silent, on, load, ratio)
					inTime[i] += ratio * float64(f.asked)
				}
			}
			require.GreaterOrEqual(t, inTime[1], inTime[0], "%s, silent %v", name, silent)
		}
	}
}

// A slow engine that never reports is found, avoided without polls, tried again and found to be fast.
// A new owner takes over what was learned. Guards against a pace that is never learned again, and against
// a poll each 300 ms of each slow engine.
func TestLearnedPaceReturnsAndIsHandedOver(t *testing.T) {
	f := newDomainPlay(t, 4, true)
	factor := 2.0
	f.slowEngines(true, func(id decide.UpstreamID, _ int) float64 {
		if id == "e00" {
			return factor
		}
		return 1
	})
	var changes []PaceChange
	play := func(length clock.Milli) {
		f.play(length, 60, 60, 60)
		_, cs := f.TakePaces()
		changes = append(changes, cs...)
	}
	play(10_000)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Slow)
	require.Equal(t, decide.UpstreamID("e00"), changes[0].Upstream)
	require.True(t, f.upstreams["e00"].slow())
	f.upstreams["e00"].reportWanted = false
	require.NotContains(t, f.TakeDuePolls(f.at+1000, "g", 100), decide.UpstreamID("e00"))

	next := newDomainPlay(t, 4, true)
	next.Restore(f.at, f.Snapshot(f.at))
	require.True(t, next.upstreams["e00"].slow())
	require.Equal(t, f.upstreams["e00"].learned, next.upstreams["e00"].learned)
	require.Equal(t, f.locality.full, next.locality.full)

	factor = 1
	play(40_000)
	require.Len(t, changes, 2)
	require.False(t, changes[1].Slow)
	require.False(t, f.upstreams["e00"].slow())
}

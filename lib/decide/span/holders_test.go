package span

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/forecast"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// fullSupply returns the places for short requests by reading all grants.
func (p *Pool) fullSupply(at clock.Milli) (s forecast.Supply) {
	s.Begin(float64(at))
	for _, r := range p.packOrder {
		if r.engine == nil || r.draining() {
			continue
		}
		before := r.holderEnds
		r.holderEnds = nil
		p.addPlaces(at, r, &s)
		r.holderEnds = before
		if l := r.limiter(at); l != nil && float64(l.Rate(at))/1000*p.forecast.shortServiceTime.Apply(1) < float64(r.engine.Slots) {
			continue
		}
		for _, g := range r.grants {
			if g.leads(r) {
				left := max(r.corrections.end(g, r)-forecast.EndAt(float64(at)), forecast.EndAt(float64(at))-r.corrections.end(g, r))
				s.AddPlaces(max(r.usableFrom(at), float64(left)*forecast.Interval+1-float64(at%50)), 1)
			}
		}
	}
	return s
}

// An end that is not moved or removed with its grant stays in all later forecasts. In any order of
// events the capacities equal those computed from all grants.
func TestCapacitiesEqualFullComputation(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		b := newTestPool(outer, 3)
		b.SetForecast(rapid.Bool().Draw(t, "on at start"))
		at, big := now, engine
		big.Step *= 1.5
		us := func() (out []route.Upstream) {
			for _, r := range b.packOrder {
				if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
					u := r.Upstream
					u.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
					out = append(out, u)
				}
			}
			return append(out, route.Upstream{ID: "e00", Slots: engine.Slots, Born: decide.Incarnation(rapid.IntRange(0, 3).Draw(t, "born"))})
		}
		upstream := func() decide.UpstreamID {
			return rapid.SampledFrom([]decide.UpstreamID{"e00", "e01", "e02"}).Draw(t, "upstream")
		}
		live := func(do func(decide.RequestID)) {
			var ids []decide.RequestID
			for id := range b.grants {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			if len(ids) > 0 {
				do(rapid.SampledFrom(ids).Draw(t, "grant"))
			}
		}
		arrive := func() {
			a := b.impatientAsk(at)
			a.Likely = decide.Tokens(rapid.IntRange(0, 5000).Draw(t, "likely"))
			b.Ask(at, a)
		}
		events := []func(){
			arrive, arrive, arrive, arrive,
			func() { b.Ask(at, b.longAsk(at, 90_000)) },
			func() { live(func(id decide.RequestID) { b.First(at, id) }) },
			func() { live(func(id decide.RequestID) { b.End(at, id, Done, "") }) },
			func() {
				live(func(id decide.RequestID) {
					b.End(at, id, rapid.SampledFrom([]Outcome{Crashed, Full, Failed}).Draw(t, "outcome"), "")
				})
			},
			func() { b.Present(at, "g", nil) },
			func() {
				l := exchange.Load{Requests: rapid.IntRange(0, 5).Draw(t, "requests"), Pace: rapid.Float64Range(1, 3).Draw(t, "pace"), Born: decide.Incarnation(rapid.IntRange(0, 3).Draw(t, "born"))}
				b.Report(at, upstream(), l)
			},
			func() {
				b.SetUpstreams(at, &route.Service{ID: "s", Engine: rapid.SampledFrom([]*route.Engine{&engine, &big, nil}).Draw(t, "engine")}, us())
			},
			func() {
				b.Learn(at, upstream(), statement.Statement{Kind: statement.Limit, Named: rapid.Bool().Draw(t, "named"), Rate: 1, At: at})
			},
			func() { b.Restore(at, b.Snapshot(at-50)) },
			func() { b.SetForecast(rapid.Bool().Draw(t, "on")) },
			func() { b.Pool = b.Copy() },
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			at += clock.Milli(rapid.IntRange(0, 300).Draw(t, "pause"))
			rapid.SampledFrom(events).Draw(t, "event")()
			b.Tick(at)
		}
		b.SetForecast(true)
		b.forecast.valid = false
		b.refreshForecast(at)
		s := b.fullSupply(at)
		var full forecast.Curve
		full.Compute(&s, b.shortContention(at))
		for n := 1.0; n < 80; n++ {
			want, _ := full.Wait(n)
			got, _ := b.forecast.short.Wait(n)
			if d := want - got; d > 0.01 || d < -0.01 {
				t.Fatalf("place %.0f is available after %f ms, by all grants after %f ms", n, got, want)
			}
		}
	})
}

// Ends that are estimated with the corrections of long ago are wrong for all that waits.
func TestEndsFollowCorrections(t *testing.T) {
	b := newTestPool(t, 1)
	b.SetForecast(true)
	for range 2 {
		b.mustStream(b.impatientAsk(now))
	}
	before := slices.Clone(b.upstreams["e00"].holderEnds)
	b.forecast.boundedServiceTime.Note(300, 100)
	b.mustStream(b.impatientAsk(now))
	require.Greater(t, b.upstreams["e00"].holderEnds[0], before[0]+before[0]-forecast.EndAt(float64(now)))
	require.False(t, b.upstreams["e00"].corrections.drifted(b.forecast.corrections(b.upstreams["e00"])))
}

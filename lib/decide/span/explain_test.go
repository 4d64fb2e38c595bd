package span

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// twins are two pools to which the same happens, except that one explains every request before it is asked for.
type twins struct {
	explaining, other *Pool
	upstreams         []route.Upstream
	live              []decide.RequestID
}

func newTwins(engines int, e *route.Engine) *twins {
	w := &twins{}
	for i := range engines {
		w.upstreams = append(w.upstreams, route.Upstream{ID: decide.UpstreamID(fmt.Sprint("e", i)), Slots: engine.Slots, Cold: clock.Milli(i * 300), Domain: domains[i%2]})
	}
	w.explaining = New(DefaultRules, gate.NewBudget(0.2, 3, 10*clock.Second))
	w.other = New(DefaultRules, gate.NewBudget(0.2, 3, 10*clock.Second))
	w.both(func(p *Pool) {
		p.SetUpstreams(now, &route.Service{ID: "s", Engine: e, WarmUp: clock.Second, ColdRate: 4}, w.upstreams)
	})
	return w
}

func (w *twins) both(f func(*Pool)) { f(w.explaining); f(w.other) }

// ask explains a request, asks for it, and requires that what follows is what the explanation says.
func (w *twins) ask(t *rapid.T, at clock.Milli, a Ask) {
	e, ok := w.explaining.Copy().Explain(at, a)
	require.True(t, ok)
	require.Equal(t, w.other, w.explaining, "an explanation changes nothing")
	w.both(func(p *Pool) { _, _ = p.Ask(at, a) })
	ds := w.explaining.Tick(at)
	require.Equal(t, w.other.Tick(at), ds)
	i := slices.IndexFunc(ds, func(d Decision) bool { return d.Request == a.ID })
	require.Equal(t, e.Decided, i >= 0)
	if e.Decided {
		require.Equal(t, e.Decision, ds[i])
	}
	for _, d := range ds {
		if d.Action == Granted {
			w.live = append(w.live, d.Request)
		}
	}
}

// Whatever happened before, the explanation of a request is what is decided on it next, and it leaves no trace in the pool.
// A reservation, a count in a limit or budget, or a verdict on a part that stayed behind would change later decisions.
func TestExplanationIsNextDecisionAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine
		if rapid.Bool().Draw(t, "plain") {
			e = nil
		}
		forecasts, local := rapid.Bool().Draw(t, "forecasts"), rapid.Bool().Draw(t, "local")
		shares, horizon := rapid.Bool().Draw(t, "shares"), clock.Milli(rapid.SampledFrom([]int{0, 4000}).Draw(t, "horizon"))
		w := newTwins(rapid.IntRange(1, 5).Draw(t, "engines"), e)
		w.both(func(p *Pool) { p.SetShares(share.Settings{Enabled: shares}) })
		w.both(func(p *Pool) { p.SetForecast(forecasts) })
		w.both(func(p *Pool) { p.SetLocality(local) })
		w.both(func(p *Pool) { p.SetBookings(booking.Limits{Horizon: horizon, Most: 16}) })
		at := now
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += clock.Milli(rapid.IntRange(0, 300).Draw(t, "pause"))
			u := rapid.SampledFrom(w.upstreams).Draw(t, "upstream").ID
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2, 3:
				w.ask(t, at, drawAsk(t, at, i))
			case 4:
				if len(w.live) > 0 {
					id := rapid.SampledFrom(w.live).Draw(t, "first")
					w.both(func(p *Pool) { p.First(at, id) })
				}
			case 5:
				if len(w.live) > 0 {
					id, o := rapid.SampledFrom(w.live).Draw(t, "end"), Outcome(rapid.IntRange(int(Done), int(Crashed)).Draw(t, "outcome"))
					w.both(func(p *Pool) { p.End(at, id, o, "") })
				}
			case 6:
				l := exchange.Load{Requests: rapid.IntRange(0, 20).Draw(t, "requests"), Used: 1000, Pace: float64(rapid.IntRange(0, 4).Draw(t, "pace"))}
				w.both(func(p *Pool) { p.Report(at, u, l) })
			case 7:
				k := rapid.SampledFrom([]statement.Kind{statement.Limit, statement.BackOff, statement.Leaving}).Draw(t, "kind")
				s := statement.Statement{Kind: k, Named: true, Rate: 2, At: at, Until: at + 700, Gate: "g"}
				w.both(func(p *Pool) { p.Learn(at, u, s) })
			}
		}
	})
}

func drawAsk(t *rapid.T, at clock.Milli, i int) Ask {
	a := Ask{
		ID: decide.RequestID(fmt.Sprint(i)), Gate: decide.GateID(rapid.SampledFrom([]string{"g", "h"}).Draw(t, "gate")),
		Prompt: decide.Tokens(rapid.SampledFrom([]int{1000, 5000, 90_000, 400_000}).Draw(t, "prompt")), Output: 500,
		Urgency: decide.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")), Again: rapid.Bool().Draw(t, "again"),
		Fingerprint: uint64(rapid.IntRange(0, 4).Draw(t, "fingerprint")), Workspace: decide.WorkspaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")),
		Domain: rapid.SampledFrom([]route.Domain{"", "a", "b"}).Draw(t, "domain"),
		Aim:    at + clock.Milli(rapid.IntRange(50, 3000).Draw(t, "aim")), Gap: 200, Stream: true,
	}
	a.Deadline = a.Aim + clock.Milli(rapid.IntRange(100, 6000).Draw(t, "deadline"))
	if rapid.Bool().Draw(t, "part") {
		a.Parts = []blame.Part{blame.Part(rapid.IntRange(1, 2).Draw(t, "which"))}
	}
	return a
}

// referenceFields lists the fields of a row that a plain copy of the row shares with it.
func referenceFields(t reflect.Type, path string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		switch f.Type.Kind() {
		case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface, reflect.Func, reflect.Chan:
			out = append(out, path+f.Name)
		case reflect.Struct:
			out = append(out, referenceFields(f.Type, path+f.Name+".")...)
		}
	}
	return out
}

// A table that is added to the pool and not to Copy is shared: an explanation would change it. Who adds one copies it there,
// unless no decision changes it, and names it here.
func TestCopyKnowsAllTables(t *testing.T) {
	for _, x := range []struct {
		row    any
		fields []string
	}{
		{Pool{}, []string{"engine", "upstreams", "packOrder", "queue", "grants", "finished", "declared.byUpstream", "budget", "parts", "shares", "bookings.table", "bookings.continued", "forecast.ends.counts", "forecast.late", "forecast.previousLate", "forecast.errors", "locality.orders", "locality.ratios", "locality.changes", "recovery.lateGrants", "spread.random"}},
		{upstreamState{}, []string{"engine", "grants", "holders", "holderEnds", "recentEnds", "declared"}},
		{grantState{}, []string{"LiveGrant.Grant.Helpers", "ask.Avoid", "ask.Parts", "upstreams"}},
		{queuedRequest{}, []string{"Ask.Avoid", "Ask.Parts"}},
		{declared{}, []string{"backOffs"}},
	} {
		require.ElementsMatch(t, x.fields, referenceFields(reflect.TypeOf(x.row), ""), "%T", x.row)
	}
}

// explain explains a request, on a copy.
func (b *testPool) explain(a Ask) Explanation {
	b.t.Helper()
	e, ok := b.Copy().Explain(now, a)
	require.True(b.t, ok)
	return e
}

// An operator sees for each upstream the one thing that keeps the request from it, and not another that also holds.
func TestExplanationNamesObstacles(t *testing.T) {
	for against, hinder := range map[Obstacle]func(*testPool, *upstreamState, *Ask){
		ObstacleFull:       func(_ *testPool, r *upstreamState, _ *Ask) { r.external = engine.Slots },
		ObstacleMemory:     func(_ *testPool, r *upstreamState, _ *Ask) { r.externalUsed = engine.Memory },
		ObstacleCold:       func(_ *testPool, r *upstreamState, _ *Ask) { r.warmUp.until = now + 1 },
		ObstacleExcluded:   func(_ *testPool, r *upstreamState, _ *Ask) { r.health.exclude(now) },
		ObstacleLeaving:    func(_ *testPool, r *upstreamState, _ *Ask) { r.Leaving = true },
		ObstacleUnverified: func(_ *testPool, r *upstreamState, _ *Ask) { r.unverified = true },
		ObstacleAvoided:    func(_ *testPool, r *upstreamState, a *Ask) { a.Avoid = []decide.UpstreamID{r.ID} },
		ObstacleBackOff: func(b *testPool, r *upstreamState, _ *Ask) {
			r.declared.learn(now, statement.Statement{Kind: statement.BackOff, Named: true, Gate: "g", At: now, Until: now + 1000})
		},
		ObstacleLimit: func(_ *testPool, r *upstreamState, _ *Ask) {
			r.declared.learn(now, statement.Statement{Kind: statement.Limit, Named: true, At: now, Rate: 1})
		},
		ObstacleFree: func(b *testPool, _ *upstreamState, a *Ask) { a.Avoid = []decide.UpstreamID{"e02"} },
	} {
		t.Run(string(against), func(t *testing.T) {
			b := newTestPool(t, 3)
			a := b.shortAsk(now)
			hinder(b, b.upstreams["e00"], &a)
			e := b.explain(a)
			require.True(t, e.Decided)
			if against == ObstacleFree {
				require.Equal(t, []Other{{"e02", ObstacleAvoided}, {"e01", ObstacleFree}}, e.Others)
				return
			}
			require.EqualValues(t, "e01", e.Decision.Grant.Leader.Upstream)
			require.Equal(t, []Other{{"e00", against}, {"e02", ObstacleFree}}, e.Others)
		})
	}
}

// A plain service's request goes to one of the least loaded upstreams by its id: the explanation of another id must not claim
// that only one can be chosen.
func TestExplanationNamesEqualUpstreams(t *testing.T) {
	b := newTestPool(t, 3)
	b.engine = nil
	b.upstreams["e01"].external = 1
	for i := range 10 {
		e := b.explain(Ask{ID: decide.RequestID(fmt.Sprint(i)), Aim: now + 300, Deadline: now + 1000})
		require.Equal(t, ObstacleEqual, e.Others[0].Against)
		require.Equal(t, Other{"e01", ObstacleFree}, e.Others[1])
	}
}

// Requests that wait before the explained one take the room that becomes free first.
func TestExplanationCountsRequestsAhead(t *testing.T) {
	b := newTestPool(t, 1)
	for range engine.Slots {
		b.mustStream(b.shortAsk(now))
	}
	for range 2 {
		_, decided := b.ask(now, b.shortAsk(now))
		require.False(t, decided)
	}
	a := b.shortAsk(now)
	a.Aim++
	e := b.explain(a)
	require.Equal(t, Explanation{Reason: NoRoom, Place: 3, Queued: 2, Others: []Other{{"e00", ObstacleFull}}}, Explanation{Reason: e.Reason, Place: e.Place, Queued: e.Queued, Others: e.Others})
	waiting := b.QueuedIDs(now, 1)
	e, ok := b.Copy().ExplainQueued(now, waiting[0])
	require.True(t, ok)
	require.Equal(t, 1, e.Place)
	_, ok = b.Copy().ExplainQueued(now, "unknown")
	require.False(t, ok)
	a.Deadline = now
	e = b.explain(a)
	require.Equal(t, Refused, e.Decision.Action)
	require.Equal(t, "deadline", e.Reason)
}

// BenchmarkExplain measures an explanation at 200 engines that are full, and a thousand waiting requests.
func BenchmarkExplain(b *testing.B) {
	w := newTwins(200, &engine)
	p := w.other
	ask := func(i int) Ask {
		return Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: 5000, Output: 1600, Aim: now + 300, Deadline: now + 9000, Gap: 200}
	}
	for i := 0; p.Counts().Queued < 1000; i++ {
		_, _ = p.Ask(now, ask(i))
		if i%10 == 0 || p.Counts().Queued < 10 {
			for _, d := range p.Tick(now) {
				p.First(now, d.Request)
			}
		}
	}
	b.ResetTimer()
	b.Run("copy", func(b *testing.B) {
		for range b.N {
			p.Copy()
		}
	})
	b.Run("whole", func(b *testing.B) {
		for range b.N {
			_, _ = p.Copy().Explain(now, ask(-1))
		}
	})
}

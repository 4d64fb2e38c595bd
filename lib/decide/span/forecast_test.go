package span

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/route"
)

// fillWith grants short requests of this likely length until every slot is in use.
func (b *testPool) fillWith(likely decide.Tokens) {
	b.t.Helper()
	for range len(b.upstreams) * engine.Slots {
		a := b.shortAsk(now)
		a.Likely = likely
		b.mustStream(a)
	}
}

// impatientAsk returns a short request whose client waits for two seconds.
func (b *testPool) impatientAsk(at clock.Milli) Ask {
	a := b.shortAsk(at)
	a.Patience = at + 2000
	return a
}

// The averages know nothing of work in progress: a request that no engine has a place for in time
// would wait until it is late, and is refused then.
func TestHopelessRequestIsRefusedAtArrival(t *testing.T) {
	b := newTestPool(t, 2)
	b.SetForecast(true)
	b.fillWith(6000)
	d, decided := b.ask(now+100, b.impatientAsk(now+100))
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	require.Equal(t, "pressure", d.Reason)
	require.Greater(t, d.Retry, 3*clock.Second, "the wait is that of the streams that run")
}

// After seconds without a late request the averages see no capacity, and a late request that the
// next end of a stream serves would be refused.
func TestServableLateRequestIsKept(t *testing.T) {
	b := newTestPool(t, 2)
	b.SetForecast(true)
	b.fillWith(600)
	a := b.impatientAsk(now + 100)
	_, decided := b.ask(now+100, a)
	require.False(t, decided)
	require.Empty(t, b.Tick(now+1000))
	w := b.queue[a.ID]
	wait, ok := b.forecastWait(now+1000, w, 0)
	require.True(t, ok)
	require.Less(t, wait, 400.0)
	w.askedAt = now + 1000
	b.End(now+1200, "note1", Done, "")
	ds := b.Tick(now + 1200)
	require.Len(t, ds, 1)
	require.Equal(t, Granted, ds[0].Action)
	require.Len(t, b.TakeForecastErrors(), 1)
	require.Empty(t, b.TakeForecastErrors())
}

// A request that has begun may have run, so its refusal would be wrong.
func TestForecastKeepsBegunRequests(t *testing.T) {
	b := newTestPool(t, 2)
	b.SetForecast(true)
	b.fillWith(6000)
	a := b.impatientAsk(now + 100)
	a.Begun = true
	_, decided := b.ask(now+100, a)
	require.False(t, decided)
}

// An upstream that is leaving gives no places to waiting requests when its work ends.
func TestForecastCountsNoLeavingUpstream(t *testing.T) {
	b := newTestPool(t, 2)
	b.SetForecast(true)
	b.fillWith(600)
	w := &queuedRequest{Ask: b.impatientAsk(now)}
	b.estimate(w)
	_, ok := b.forecastWait(now, w, 16)
	require.True(t, ok)
	before, _ := b.forecastWait(now, w, 16)
	b.upstreams["e01"].Leaving = true
	after, _ := b.forecastWait(now+50, w, 16)
	require.Greater(t, after, before+200)
}

// A part that is off must not change any decision, also if it was on before.
func TestPoolWithoutForecastDecidesAsBefore(t *testing.T) {
	for seed := range uint64(5) {
		never, off := newTestPool(t, 3), newTestPool(t, 3)
		off.SetForecast(true)
		off.SetForecast(false)
		require.Equal(t, never.randomLoad(seed), off.randomLoad(seed))
		require.Equal(t, forecaster{}, off.forecast)
	}
}

// randomLoad returns the decisions of an owner under overload, with requests of all kinds.
func (b *testPool) randomLoad(seed uint64) []Decision {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []Decision
	var live []decide.RequestID
	for i := range clock.Milli(1500) {
		at := now + 10*i
		a := b.impatientAsk(at)
		if rng.IntN(12) == 0 {
			a = b.longAsk(at, decide.Tokens(30_000+rng.IntN(400_000)))
		}
		a.Urgency, a.Workspace = decide.Urgency(rng.IntN(2)), decide.WorkspaceID(fmt.Sprint(rng.IntN(4)))
		_, _ = b.Ask(at, a)
		for _, d := range b.Tick(at) {
			all = append(all, d)
			if d.Action == Granted {
				b.First(at, d.Request)
				live = append(live, d.Request)
			}
		}
		if len(live) > 0 && rng.IntN(3) > 0 {
			n := rng.IntN(len(live))
			b.End(at, live[n], Done, "")
			live[n] = live[len(live)-1]
			live = live[:len(live)-1]
		}
	}
	return all
}

// BenchmarkForecast measures one decision of a scan, and one computation of the capacities, at 200
// upstreams without a free slot and 1,000 waiting requests.
func BenchmarkForecast(b *testing.B) {
	const waiting = 1000
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("forecast=%t", on), func(b *testing.B) {
			p := fullForecastPool(on, 200, waiting)
			b.ResetTimer()
			for scan := range clock.Milli((b.N + waiting - 1) / waiting) {
				p.scanAt(now + 10*scan)
			}
			b.StopTimer()
			require.Equal(b, waiting, p.Counts().Queued)
		})
	}
	// A single arrival behind them, with the computation of the capacities.
	b.Run("arrival", func(b *testing.B) {
		p := fullForecastPool(true, 200, waiting)
		p.scanAt(now + 400)
		a := p.forecastAsk(0)
		a.ID, a.Aim = "arrival", now+800
		p.Ask(now+410, a)
		o, w := p.newRound(now+410), p.queue["arrival"]
		require.Len(b, p.forecast.previousLate, waiting)
		b.ResetTimer()
		for range b.N {
			p.forecast.valid = false
			single := o
			_, decided := single.next(w)
			if decided || p.forecast.at != now+410 {
				b.Fatal("the arrival must wait, by a new computation")
			}
		}
	})
}

// fullForecastPool returns a pool without a free slot in which this many requests wait.
func fullForecastPool(forecast bool, engines, waiting int) *Pool {
	p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
	p.SetForecast(forecast)
	us := make([]route.Upstream, engines)
	for i := range us {
		us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%03d", i)), Slots: engine.Slots}
	}
	p.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
	for i := range engines*engine.Slots + waiting {
		_, _ = p.Ask(now, p.forecastAsk(i))
		if i < engines*engine.Slots {
			for _, d := range p.Tick(now) {
				p.First(now, d.Request)
			}
		}
	}
	return p
}

// forecastAsk returns one of the requests of a full pool. Their expected ends are in 200 intervals.
func (p *Pool) forecastAsk(i int) Ask {
	return Ask{
		ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(2000 + i%100*50), Output: decide.Tokens(1600 + i%400*20),
		Aim: now + 300, Deadline: now + 1e9, Gap: 200,
	}
}

// scanAt scans the queue after all gates have presented their grants and requests again.
func (p *Pool) scanAt(at clock.Milli) {
	for _, w := range p.queue {
		w.askedAt = at
	}
	for _, g := range p.grants {
		g.namedAt = at
	}
	p.Tick(at)
}

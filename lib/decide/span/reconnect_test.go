package span

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/route"
)

// newReconnectPool returns a pool of 195 engines that all prefill short prompts, with 300 more
// requests queued, as when clients whose streams were cut reconnect together.
func newReconnectPool() *Pool {
	const engines, waiting = 195, 300
	p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
	us := make([]route.Upstream, engines)
	for i := range us {
		us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%03d", i)), Slots: 10}
	}
	e := engine
	e.Slots = 10
	p.SetUpstreams(now, &route.Service{ID: "s", Engine: &e}, us)
	for i := 0; p.Counts().Queued < waiting; i++ {
		a := Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(3000 + i%100*80), Output: 800, Aim: now - 100, Patience: now + 1900, Deadline: now + 9000, Gap: 250, Stream: true}
		_, _ = p.Ask(now, a)
		p.Tick(now)
	}
	return p
}

// BenchmarkTickNothingFits measures one scan of the queue while no request can be placed.
func BenchmarkTickNothingFits(b *testing.B) {
	p := newReconnectPool()
	b.ResetTimer()
	for range b.N {
		p.Tick(now)
	}
}

// A round skips requests that need as much as one that could not be placed. A request skipped
// wrongly would wait although an engine is free.
func TestLateRequestsLeftInQueueFitNowhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		b := &testPool{Pool: New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))}
		b.serve(engines)
		at := now
		for i := range rapid.IntRange(1, 150).Draw(t, "requests") {
			a := Ask{
				ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(rapid.IntRange(100, 20_000).Draw(t, "prompt")),
				Output: decide.Tokens(rapid.IntRange(1, 2000).Draw(t, "output")), Gap: clock.Milli(rapid.IntRange(0, 3).Draw(t, "gap") * 100),
				Aim: at + clock.Milli(rapid.IntRange(-300, 300).Draw(t, "aim")), Deadline: at + 9000, Stream: true,
			}
			_, _ = b.Ask(at, a)
			if rapid.IntRange(0, 3).Draw(t, "tick") > 0 {
				continue
			}
			at += clock.Milli(rapid.IntRange(0, 30).Draw(t, "pass"))
			b.Tick(at)
			for _, w := range b.queue {
				if _, found := b.place(at, w, false); found && !w.long {
					require.False(t, w.late(at), "late request %s is queued although it can be placed", w.ID)
				}
			}
		}
	})
}

// All streams were cut, and their clients reconnect at once after seconds without late requests.
// The engines accept them within a second; at the placing rate of the seconds before all of them
// would be refused.
func TestReconnectingClientsAreServed(t *testing.T) {
	b := newTestPool(t, 40)
	at := now
	for range 400 { // low load
		at += 10
		b.Tick(at)
	}
	for range 300 {
		a := b.shortAsk(at)
		a.Aim, a.Patience = at-1700, at+2000
		b.Ask(at, a)
	}
	served, prefilling := 0, map[clock.Milli][]decide.RequestID{}
	for end := at + 2*clock.Second; at < end; at += 10 {
		for _, id := range prefilling[at] {
			b.First(at, id)
		}
		for _, d := range b.Tick(at) {
			require.Equal(t, Granted, d.Action, "refused %d ms after reconnecting, with %d served", at-end+2*clock.Second, served)
			served++
			firstAt := at + 100
			prefilling[firstAt] = append(prefilling[firstAt], d.Request)
		}
	}
	require.Equal(t, 300, served)
}

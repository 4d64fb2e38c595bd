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

// wave is a pool of 195 engines that all read short prompts, and 300 more that wait: callers whose streams were cut come back together.
func wave() *Pool {
	const engines, waiting = 195, 300
	p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
	us := make([]route.Upstream, engines)
	for i := range us {
		us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%03d", i)), Slots: 10}
	}
	e := engine
	e.Slots = 10
	p.SetUpstreams(&route.Service{ID: "s", Engine: &e}, us)
	for i := 0; p.Counts().Queued < waiting; i++ {
		a := Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(3000 + i%100*80), Output: 800, Aim: now - 100, Patience: now + 1900, Deadline: now + 9000, Gap: 250, Stream: true}
		_, _ = p.Ask(now, a)
		p.Tick(now)
	}
	return p
}

// BenchmarkWave is one look at the queue while nothing in it finds a place.
func BenchmarkWave(b *testing.B) {
	p := wave()
	b.ResetTimer()
	for range b.N {
		p.Tick(now)
	}
}

// A round leaves requests out that need as much as one that found no place. One left out wrongly would wait beside a free engine.
func TestWhatStillWaitsFindsNoPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		b := &bench{Pool: New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))}
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
				if _, found := b.place(at, w, false); found && !w.heavy {
					require.False(t, w.late(at), "late request %s waits though it finds its place", w.ID)
				}
			}
		}
	})
}

// All streams were cut, and their callers come back in one moment after seconds in which nobody was late. Engines take them within a
// second; by the pace of the seconds before they would all be refused.
func TestCallersThatComeBackTogetherAreServed(t *testing.T) {
	b := newBench(t, 40)
	at := now
	for range 400 { // calm
		at += 10
		b.Tick(at)
	}
	for range 300 {
		a := b.note(at)
		a.Aim, a.Patience = at-1700, at+2000
		b.Ask(at, a)
	}
	served, reading := 0, map[clock.Milli][]decide.RequestID{}
	for end := at + 2*clock.Second; at < end; at += 10 {
		for _, id := range reading[at] {
			b.First(at, id)
		}
		for _, d := range b.Tick(at) {
			require.Equal(t, Granted, d.Action, "%d ms after they came, with %d served", at-end+2*clock.Second, served)
			served++
			read := at + 100
			reading[read] = append(reading[read], d.Request)
		}
	}
	require.Equal(t, 300, served)
}

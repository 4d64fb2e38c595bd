package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// flood plays long prompts against a pool whose engines do as the plans say: the first byte comes when the grant
// expects it, and the answer is written in a second.
type flood struct {
	*bench
	at clock.Milli
	// sizes holds each prompt's tokens, served which of them came in time.
	sizes  map[decide.RequestID]decide.Tokens
	served map[decide.RequestID]bool
	events map[clock.Milli][]func()
}

func newFlood(t *testing.T, engines int) *flood {
	t.Helper()
	return &flood{
		bench: newBench(t, engines), at: now, events: map[clock.Milli][]func(){},
		sizes: map[decide.RequestID]decide.Tokens{}, served: map[decide.RequestID]bool{},
	}
}

// step goes on by some milliseconds.
func (f *flood) step(by clock.Milli) {
	for end := f.at + by; f.at < end; f.at++ {
		for _, e := range f.events[f.at] {
			e()
		}
		delete(f.events, f.at)
		for _, w := range f.queue {
			w.heard = f.at
		}
		for _, g := range f.grants {
			g.heard = f.at
		}
		for _, d := range f.Tick(f.at) {
			if d.Action == Granted {
				f.reads(d.Grant)
			}
		}
	}
}

// reads lets a granted prompt be read, and its answer be written.
func (f *flood) reads(g Grant) {
	first := f.at + max(g.First, 1)
	f.served[g.Request] = first <= f.grants[g.Request].ask.Aim
	f.events[first] = append(f.events[first], func() {
		f.First(first, g.Request)
		f.events[first+1000] = append(f.events[first+1000], func() { f.End(first+1000, g.Request, Done, "") })
	})
}

// share is the part of the prompts from one size on, up to another, that came in time.
func (f *flood) share(from, to decide.Tokens) float64 {
	all, served := 0, 0
	for id, n := range f.sizes {
		if n < from || n >= to {
			continue
		}
		all++
		if f.served[id] {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// Forty engines get more long prompts than they read, for half a minute: 1.2 times as much, from 60,000 to 330,000 tokens. What is
// read soonest goes first, so that most are served. A caller with one of the largest prompts would never be, whenever
// it came: it needs several engines at once, and each that becomes free is given away.
func TestLargePromptsAreServedUnderALastingFlood(t *testing.T) {
	f := newFlood(t, 40)
	sizes := []decide.Tokens{100_000, 150_000, 60_000, 250_000, 120_000, 180_000, 90_000, 330_000, 140_000, 200_000}
	for n := range 660 {
		a := f.history(f.at, sizes[n%len(sizes)])
		a.Gap = 1000
		f.sizes[a.ID] = a.Prompt
		f.Ask(f.at, a)
		f.step(45)
	}
	f.step(4000)
	all, largest := f.share(0, 1_000_000), f.share(300_000, 1_000_000)
	t.Logf("in time: %.2f of all, %.2f of the largest tenth", all, largest)
	require.Greater(t, largest, all/3)
	require.Greater(t, all, 0.85)
}

// Under a load that the engines read, nothing is kept back for anybody.
func TestNothingIsKeptWhileAllAreServed(t *testing.T) {
	f := newFlood(t, 40)
	for n := range 200 {
		a := f.history(f.at, []decide.Tokens{100_000, 60_000, 300_000}[n%3])
		a.Gap = 1000
		f.sizes[a.ID] = a.Prompt
		f.Ask(f.at, a)
		f.step(100)
	}
	require.Zero(t, f.large.saved)
	require.Greater(t, f.share(0, 1_000_000), 0.97)
}

// starve returns a pool whose eight engines read, and that has saved enough for a large prompt which waits for four of them.
func starve(t *testing.T) (b *bench, large Ask) {
	t.Helper()
	b = newBench(t, 8)
	b.large.mean = 1000
	for range 8 {
		require.Empty(t, b.granted(now, b.history(now, 30_000)).Helpers)
	}
	b.large.saved = keptMost
	large = b.history(now, 420_000)
	large.Urgency = 1
	_, placed := b.ask(now, large)
	require.False(t, placed)
	require.Equal(t, large.ID, b.large.next)
	return b, large
}

// Engines are held for a large prompt of a patient kind, and a long prompt of an urgent kind comes. It must not wait: urgent work
// goes first, whoever is starved.
func TestHeldEnginesAreThereForMoreUrgentWork(t *testing.T) {
	b, _ := starve(t)
	for id := range b.grants {
		b.First(now+100, id)
		b.End(now+100, id, Done, "")
		break
	}
	like := b.history(now, 60_000)
	like.Urgency = 1
	_, placed := b.ask(now+100, like)
	require.False(t, placed, "what frees up is held")
	urgent := b.history(now, 60_000)
	_, placed = b.ask(now+100, urgent)
	require.True(t, placed)
}

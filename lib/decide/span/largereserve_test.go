package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// flood simulates long prompts on engines that work as the plans expect: the first byte arrives
// when the grant expects it.
type flood struct {
	*testPool
	at clock.Milli
	// sizes holds the length of each prompt in tokens, and inTime whether its first byte met the aim.
	sizes  map[decide.RequestID]decide.Tokens
	inTime map[decide.RequestID]bool
	events map[clock.Milli][]func()
	// scanEvery is the interval of scans, answerTime the time in which an answer is written.
	scanEvery  clock.Milli
	answerTime func() clock.Milli
	onRefused  func(decide.RequestID)
	// firstAfter is the time from a grant to its first byte; nil for the planned time.
	firstAfter func(Grant) clock.Milli
}

func newFlood(t *testing.T, engines int) *flood {
	t.Helper()
	return &flood{
		testPool: newTestPool(t, engines), at: now, events: map[clock.Milli][]func(){},
		sizes: map[decide.RequestID]decide.Tokens{}, inTime: map[decide.RequestID]bool{},
		scanEvery: 1, answerTime: func() clock.Milli { return 1000 }, onRefused: func(decide.RequestID) {},
	}
}

// advance runs the simulation for some milliseconds.
func (f *flood) advance(by clock.Milli) {
	for end := f.at + by; f.at < end; f.at++ {
		for _, e := range f.events[f.at] {
			e()
		}
		delete(f.events, f.at)
		if f.at%f.scanEvery != 0 {
			continue
		}
		for _, w := range f.queue {
			w.askedAt = f.at
		}
		for _, g := range f.grants {
			g.namedAt = f.at
		}
		for _, d := range f.Tick(f.at) {
			if d.Action == Granted {
				f.serveGrant(d.Grant)
			} else {
				f.onRefused(d.Request)
			}
		}
	}
}

// serveGrant schedules the first byte and the end of a granted request.
func (f *flood) serveGrant(g Grant) {
	after := g.First
	if f.firstAfter != nil {
		after = f.firstAfter(g)
	}
	first := f.at + max(after, 1)
	f.inTime[g.Request] = first <= f.grants[g.Request].ask.Aim
	f.later(first, func() { f.First(first, g.Request) })
	end := first + f.answerTime()
	f.later(end, func() { f.End(end, g.Request, Done, "") })
}

func (f *flood) later(at clock.Milli, e func()) { f.events[at] = append(f.events[at], e) }

// shareInTime returns the fraction of the prompts with from <= tokens < to that met their aims.
func (f *flood) shareInTime(from, to decide.Tokens) float64 {
	all, inTime := 0, 0
	for id, n := range f.sizes {
		if n < from || n >= to {
			continue
		}
		all++
		if f.inTime[id] {
			inTime++
		}
	}
	return float64(inTime) / float64(max(all, 1))
}

// Forty engines get 1.2 times as many long prompts as they can prefill, from 60,000 to 330,000
// tokens, for half a minute. Prompts with the shortest prefill go first, so that most are served.
// Without the reserve a client with one of the largest prompts would never be served: it needs
// several engines at once, and each that becomes free is given to another prompt.
func TestLargePromptsAreServedUnderLastingOverload(t *testing.T) {
	f := newFlood(t, 40)
	sizes := []decide.Tokens{100_000, 150_000, 60_000, 250_000, 120_000, 180_000, 90_000, 330_000, 140_000, 200_000}
	for n := range 660 {
		a := f.longAsk(f.at, sizes[n%len(sizes)])
		a.Gap = 1000
		f.sizes[a.ID] = a.Prompt
		f.Ask(f.at, a)
		f.advance(45)
	}
	f.advance(4000)
	all, largest := f.shareInTime(0, 1_000_000), f.shareInTime(300_000, 1_000_000)
	t.Logf("in time: %.2f of all, %.2f of the largest tenth", all, largest)
	require.Greater(t, largest, all/3)
	require.Greater(t, all, 0.85)
}

// Under a load that the engines can prefill, nothing is saved for large prompts.
func TestNothingIsSavedWhileAllAreServed(t *testing.T) {
	f := newFlood(t, 40)
	for n := range 200 {
		a := f.longAsk(f.at, []decide.Tokens{100_000, 60_000, 300_000}[n%3])
		a.Gap = 1000
		f.sizes[a.ID] = a.Prompt
		f.Ask(f.at, a)
		f.advance(100)
	}
	require.Zero(t, f.largeReserve.savedPrefill)
	require.Greater(t, f.shareInTime(0, 1_000_000), 0.97)
}

// newStarvedPool returns a pool whose eight engines are prefilling, with enough saved prefill time
// for a large prompt that waits for four of them.
func newStarvedPool(t *testing.T) (b *testPool, large Ask) {
	t.Helper()
	b = newTestPool(t, 8)
	b.largeReserve.meanPrefill = 1000
	for range 8 {
		require.Empty(t, b.mustGrant(now, b.longAsk(now, 30_000)).Helpers)
	}
	b.largeReserve.savedPrefill = maxSaved
	large = b.longAsk(now, 420_000)
	large.Urgency = 1
	_, placed := b.ask(now, large)
	require.False(t, placed)
	require.Equal(t, large.ID, b.largeReserve.next)
	return b, large
}

// Engines are held for a large prompt that is not urgent, and a more urgent long prompt arrives. It
// must not wait, although large prompts are starved.
func TestHeldEnginesAreOpenToMoreUrgentPrompts(t *testing.T) {
	b, _ := newStarvedPool(t)
	for id := range b.grants {
		b.First(now+100, id)
		b.End(now+100, id, Done, "")
		break
	}
	like := b.longAsk(now, 60_000)
	like.Urgency = 1
	_, placed := b.ask(now+100, like)
	require.False(t, placed, "engines that become free are held")
	urgent := b.longAsk(now, 60_000)
	_, placed = b.ask(now+100, urgent)
	require.True(t, placed)
}

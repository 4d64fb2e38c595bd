package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// lives serves one engine in a life.
func (b *bench) lives(born decide.Incarnation) {
	b.SetUpstreams(&route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e00", Service: "s", Address: "e00", Slots: engine.Slots, Born: born}})
}

// The only engine crashes under all the streams that it can hold, and starts again under its id within a second. Until its
// gates have noticed, which takes a silent stream seconds, the books would hold it for full, and callers
// would wait for an engine that idles.
func TestANewLifeHoldsNothingOfTheOneBefore(t *testing.T) {
	b := newBench(t, 0)
	b.lives(5)
	var first Grant
	for i := range engine.Slots {
		g := b.runs(b.note(now))
		if i == 0 {
			first = g
		}
	}
	require.EqualValues(t, 5, first.Leader.Born)
	_, placed := b.ask(now, b.note(now))
	require.False(t, placed, "it is full")
	b.lives(6)
	require.Len(t, b.Tick(now), 1, "what waits is placed at once")

	r := b.rows["e00"]
	b.End(now+10, first.Request, Unreachable, "")
	require.True(t, r.health.open(now+10), "the death of its earlier life does not shut it out")
	require.Equal(t, 1, r.streams)
	b.Present(now+20, "g", []LiveGrant{{Grant: first, Writing: true}})
	require.Equal(t, 1, r.streams, "a grant of its earlier life weighs nothing")
	b.lives(5)
	require.EqualValues(t, 6, r.Born, "an older list changes nothing")
}

// An engine that was found slow, shut out and in doubt starts again under its id, and its own report tells of it first.
func TestANewLifeIsKnownByItsReport(t *testing.T) {
	b := newBench(t, 0)
	b.lives(5)
	b.MarkUnverified()
	b.Report(now, "e00", exchange.Load{Requests: 9, Used: 400_000, Pace: 4, Born: 5})
	r := b.rows["e00"]
	require.True(t, r.slow())
	r.health.shut(now)
	b.Report(now, "e00", exchange.Load{Pace: 1, Born: 6})
	require.False(t, r.slow())
	require.Zero(t, r.foreign)
	require.True(t, r.health.open(now))
	b.Report(now, "e00", exchange.Load{Requests: 9, Pace: 4, Born: 5})
	require.False(t, r.slow(), "the word of a life that is over")
	b.granted(now, b.note(now))
}

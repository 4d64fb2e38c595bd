package span

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// The owner of a service stops while engines are packed. With empty books its successor would pack the next short requests on the same
// engines, and callers would wait behind twice the streams.
func TestASuccessorPacksAsTheOwnerBeforeWould(t *testing.T) {
	before, after := newBench(t, 4), newBench(t, 4)
	for range DefaultRules.PackedStreams {
		require.Equal(t, decide.UpstreamID("e00"), before.runs(before.note(now)).Leader.Upstream)
	}
	before.rows["e01"].health.shut(now)
	after.Restore(now+5, before.Snapshot(now))
	require.Equal(t, before.Counts().Granted, after.Counts().Granted)
	after.asked = before.asked
	require.Equal(t, decide.UpstreamID("e02"), after.granted(now+5, after.note(now+5)).Leader.Upstream, "e00 is packed, e01 rests")
}

// A grant that a gate presents to the successor before the books arrive must not count twice.
func TestBooksDoNotCountWhatWasPresentedAlready(t *testing.T) {
	before, after := newBench(t, 2), newBench(t, 2)
	g := before.runs(before.note(now))
	after.Present(now, "g", []LiveGrant{{Grant: g, Writing: true}})
	after.Restore(now, before.Snapshot(now))
	require.Equal(t, 1, after.Counts().Granted)
	require.Equal(t, 1, after.rows["e00"].streams)
}

// Engines are being emptied while the store does not answer, so nobody knows that they leave: they finish what they have and decline to
// read parts of new prompts, which turns the whole prompt away. Each one is to cost a prompt one try, not every
// prompt one.
func TestAnEngineThatDeclinesToReadForOthersIsNotAskedAgainAtOnce(t *testing.T) {
	b := newBench(t, 20)
	helps := func(at clock.Milli, id decide.UpstreamID) bool {
		a := b.history(at, 300_000)
		g := b.granted(at, a)
		defer b.End(at, a.ID, Left, "")
		for _, h := range g.Helpers {
			if h.Upstream == id {
				return true
			}
		}
		return false
	}
	a := b.history(now, 300_000)
	g := b.granted(now, a)
	leaving := g.Helpers[0].Upstream
	b.End(now, a.ID, Full, leaving)
	require.False(t, helps(now+10, leaving))
	require.False(t, helps(now+firstDeclined-10, leaving))
	require.True(t, helps(now+firstDeclined, leaving))
	require.NotContains(t, b.TakeDuePolls(now, "owner", math.MaxInt), leaving, "its books are right")
	short := b.note(now + 10)
	_, decided := b.ask(now+10, short)
	require.True(t, decided, "short requests go on")
}

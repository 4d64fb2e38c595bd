package span

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// An owner stops while engines are packed with short streams. Without the snapshot its successor
// would pack the next short requests on the same engines, and clients would wait behind twice the
// streams.
func TestSuccessorContinuesPacking(t *testing.T) {
	before, after := newTestPool(t, 4), newTestPool(t, 4)
	for range DefaultRules.PackedStreams {
		require.Equal(t, decide.UpstreamID("e00"), before.mustStream(before.shortAsk(now)).Leader.Upstream)
	}
	before.upstreams["e01"].health.exclude(now)
	after.Restore(now+5, before.Snapshot(now))
	require.Equal(t, before.Counts().Granted, after.Counts().Granted)
	after.asked = before.asked
	require.Equal(t, decide.UpstreamID("e02"), after.mustGrant(now+5, after.shortAsk(now+5)).Leader.Upstream, "e00 is packed, e01 is excluded")
}

// A gate may present a grant to the successor before the snapshot arrives. The grant must not be
// counted twice.
func TestSnapshotDoesNotCountPresentedGrantsTwice(t *testing.T) {
	before, after := newTestPool(t, 2), newTestPool(t, 2)
	g := before.mustStream(before.shortAsk(now))
	after.Present(now, "g", []LiveGrant{{Grant: g, Writing: true}})
	after.Restore(now, before.Snapshot(now))
	require.Equal(t, 1, after.Counts().Granted)
	require.Equal(t, 1, after.upstreams["e00"].streams)
}

// Engines are drained while the store is unavailable, so the owner does not know that they are
// leaving: they finish their requests and decline to be helpers for new prompts, which fails the
// whole prompt. Each such engine must cost one prompt one try, not every prompt.
func TestHelperThatDeclinesIsPaused(t *testing.T) {
	b := newTestPool(t, 20)
	helps := func(at clock.Milli, id decide.UpstreamID) bool {
		a := b.longAsk(at, 300_000)
		g := b.mustGrant(at, a)
		defer b.End(at, a.ID, Left, "")
		for _, h := range g.Helpers {
			if h.Upstream == id {
				return true
			}
		}
		return false
	}
	a := b.longAsk(now, 300_000)
	g := b.mustGrant(now, a)
	leaving := g.Helpers[0].Upstream
	b.End(now, a.ID, Full, leaving)
	require.False(t, helps(now+10, leaving))
	require.False(t, helps(now+firstDeclinePause-10, leaving))
	require.True(t, helps(now+firstDeclinePause, leaving))
	require.NotContains(t, b.TakeDuePolls(now, "owner", math.MaxInt), leaving, "its load is verified")
	short := b.shortAsk(now + 10)
	_, decided := b.ask(now+10, short)
	require.True(t, decided, "short requests are still placed")
}

package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// serveIncarnation serves one engine in the incarnation that started at born.
func (b *testPool) serveIncarnation(born decide.Incarnation) {
	b.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e00", Service: "s", Address: "e00", Slots: engine.Slots, Born: born}})
}

// The only engine crashes with all its slots in use and restarts under its ID within a second. The
// gates notice only when their streams have been silent for seconds. Until then the engine must not
// count as full, or clients would wait for an idle engine.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	b := newTestPool(t, 0)
	b.serveIncarnation(5)
	var first Grant
	for i := range engine.Slots {
		g := b.mustStream(b.shortAsk(now))
		if i == 0 {
			first = g
		}
	}
	require.EqualValues(t, 5, first.Leader.Born)
	_, placed := b.ask(now, b.shortAsk(now))
	require.False(t, placed, "the engine is full")
	b.serveIncarnation(6)
	require.Len(t, b.Tick(now), 1, "the queued request is placed at once")

	r := b.upstreams["e00"]
	b.End(now+10, first.Request, Unreachable, "")
	require.True(t, r.health.available(now+10), "the crash of the earlier incarnation does not exclude the new one")
	require.Equal(t, 1, r.streams)
	b.Present(now+20, "g", []LiveGrant{{Grant: first, Writing: true}})
	require.Equal(t, 1, r.streams, "a grant on the earlier incarnation does not count")
	b.serveIncarnation(5)
	require.EqualValues(t, 6, r.Born, "a list with an older incarnation changes nothing")
}

// An engine that was found slow, excluded and unverified restarts under its ID, and its own load
// report is the first to reveal that.
func TestReportRevealsNewIncarnation(t *testing.T) {
	b := newTestPool(t, 0)
	b.serveIncarnation(5)
	b.MarkUnverified()
	b.Report(now, "e00", exchange.Load{Requests: 9, Used: 400_000, Pace: 4, Born: 5})
	r := b.upstreams["e00"]
	require.True(t, r.slow())
	r.health.exclude(now)
	b.Report(now, "e00", exchange.Load{Pace: 1, Born: 6})
	require.False(t, r.slow())
	require.Zero(t, r.external)
	require.True(t, r.health.available(now))
	b.Report(now, "e00", exchange.Load{Requests: 9, Pace: 4, Born: 5})
	require.False(t, r.slow(), "a report of a past incarnation is ignored")
	b.mustGrant(now, b.shortAsk(now))
}

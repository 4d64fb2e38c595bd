package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Gates report first tokens with their renewals, up to a second late. Measured at the arrival of
// the report, every engine would look many times slower than it is and receive almost no work,
// while requests wait seconds beside idle engines.
func TestDelayedFirstTokenReportDoesNotCountAsSlowness(t *testing.T) {
	b := newHarness(t, 1)
	b.pool.config.ProgressDelay = 1300
	for i := range 20 {
		r := b.request(string(rune('a' + i)))
		r.Prompt = 2000 // 100 ms of prefill
		b.submit(r)
		made := b.now
		b.wait(1100)
		b.pool.Progress(made+100, b.grant(string(r.ID)).ID, true, 5)
		b.finish(string(r.ID), Done)
	}
	require.InDelta(t, 1, b.view(0).Slowdown, 0.05)
}

// A long prompt (the dossier) of half a million tokens occupies both engines of a small failure
// domain for half a minute. Short requests (the drafts) must not wait for its end, and the long
// prompt must get at least about half of the engines' time meanwhile.
func TestShortPromptsOvertakeALongPromptOnAllEngines(t *testing.T) {
	b := newHarness(t, 2)
	long := b.request("dossier")
	long.Urgency, long.Prompt = 3, 500_000
	b.submit(long)
	require.Len(t, b.grant("dossier").Upstreams, 2)
	start, since := b.now, map[GrantID]clock.Milli{}
	for i := range 200 {
		r := b.request(fmt.Sprintf("draft-%d", i))
		r.Prompt = 2000 // 100 ms of prefill
		b.submit(r)
		b.wait(25)
		for _, g := range b.pool.Grants() {
			if _, ok := since[g.ID]; !ok {
				since[g.ID] = b.now
			}
			if g.Request != "dossier" && b.now-since[g.ID] > 200 {
				b.pool.Finish(b.now, g.ID, Done)
			}
		}
	}
	var work float64
	for _, g := range b.granted {
		if g.Request != "dossier" && g.Upstreams[0] == b.grant("dossier").Upstreams[0] {
			work += 100
		}
	}
	require.Contains(t, b.granted, RequestID("draft-0"))
	require.Less(t, b.granted["draft-0"].Priority, b.grant("dossier").Priority)
	require.Greater(t, len(b.granted), 50, "both engines serve drafts")
	require.Positive(t, work)
	require.LessOrEqual(t, work, 0.6*float64(b.now-start)+200)
}

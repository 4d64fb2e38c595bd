package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Gates tell an owner of first tokens with their renewals, a second late. Taken
// at the time of the message every engine looks many times slower than it is,
// gets next to no work, and ward officers wait seconds before idle engines.
func TestLateWordOfAFirstTokenDoesNotMakeAnEngineSlow(t *testing.T) {
	b := newBed(t, 1)
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

// A dossier of half a million tokens takes both engines of a small failure
// domain for half a minute. Drafts of its ward officers must not wait for its
// end, and the dossier must get at least about half of the time meanwhile.
func TestShortWorkPassesALongPromptThatTakesAllEngines(t *testing.T) {
	b := newBed(t, 2)
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

package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// Half of the short requests have prompts of 23,000 tokens, which take 155 ms, on engines whose
// streams tolerate pauses of 250 ms. They fit beside other short streams. Spread over free engines,
// they would put short streams on engines that long prompts need.
func TestShortRequestsNearThePauseLimitArePacked(t *testing.T) {
	b := newTestPool(t, 8)
	slower := engine
	slower.Read, slower.Pairs = 206, 0.138
	for _, r := range b.packOrder {
		r.engine = &slower
	}
	b.engine = &slower
	used := map[decide.UpstreamID]bool{}
	for range 8 {
		a := b.shortAsk(now)
		a.Prompt, a.Gap = 23_000, 250
		g := b.mustStream(a)
		require.Empty(t, g.Helpers)
		used[g.Leader.Upstream] = true
	}
	require.Len(t, used, 1)
	a := b.shortAsk(now)
	a.Prompt = 23_000
	d, ok := b.ask(now, a)
	require.True(t, ok)
	require.Equal(t, "spread", d.Reason, "the prefill is too long beside pauses of 200 ms")
}

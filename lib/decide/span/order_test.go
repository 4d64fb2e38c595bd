package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// queueOrder returns the IDs of the queued requests in the order of placing.
func (b *testPool) queueOrder(at clock.Milli) []decide.RequestID {
	b.observeLoad(at)
	var ids []decide.RequestID
	for _, w := range b.orderedQueue(at) {
		ids = append(ids, w.ID)
	}
	return ids
}

// A large prompt has waited for most of its aim while smaller ones, which have just arrived, can
// wait. If these went first because their prefill is shorter, the large one would be late for no
// benefit.
func TestLargePromptIsOrderedByAim(t *testing.T) {
	b := newTestPool(t, 20)
	large := b.longAsk(now-1500, 500_000)
	smaller := b.longAsk(now, 200_000)
	b.Ask(now, smaller)
	b.Ask(now, large)
	require.Equal(t, []decide.RequestID{large.ID, smaller.ID}, b.queueOrder(now))
}

// More long prompts wait than the engines can prefill by their aims. If all were ordered by their
// aims, the first one would make all others late. The largest is deferred, and the others are in
// time.
func TestLargestPromptIsDeferred(t *testing.T) {
	b := newTestPool(t, 4)
	large := b.longAsk(now-200, 400_000) // 8.9 s of prefill on one engine, 2.2 s on all four
	b.Ask(now, large)
	var small []decide.RequestID
	for range 6 {
		a := b.longAsk(now, 140_000) // 1.4 s on one engine each: 2.2 s for all of them on four
		b.Ask(now, a)
		small = append(small, a.ID)
	}
	names := b.queueOrder(now)
	require.Equal(t, large.ID, names[len(names)-1])
	require.ElementsMatch(t, small, names[:6])
}

// Short requests occupy engines for milliseconds and are due in 300 ms. Prompts of some ten
// thousand tokens can be prefilled beside short streams while no short request waits. Neither may
// wait behind a large prompt, unless that is more urgent.
func TestShortPrefillsGoBeforeLargePrompts(t *testing.T) {
	b := newTestPool(t, 20)
	large, short, middle := b.longAsk(now-2000, 200_000), b.shortAsk(now), b.longAsk(now, 45_000)
	urgent := b.longAsk(now, 200_000)
	urgent.Urgency, large.Urgency, short.Urgency, middle.Urgency = 0, 1, 1, 1
	for _, a := range []Ask{large, short, middle, urgent} {
		b.Ask(now, a)
	}
	require.Equal(t, []decide.RequestID{urgent.ID, short.ID, middle.ID, large.ID}, b.queueOrder(now))
}

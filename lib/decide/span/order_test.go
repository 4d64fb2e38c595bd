package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// names are the ids of queued requests in the order of placing.
func (b *bench) names(at clock.Milli) []decide.RequestID {
	b.observe(at)
	var ids []decide.RequestID
	for _, w := range b.ordered(at) {
		ids = append(ids, w.ID)
	}
	return ids
}

// A large prompt has waited for most of its aim while smaller ones, that have just come, can wait. Were they read first, as they are read
// sooner, it would be late for nothing.
func TestALargePromptGoesByItsAim(t *testing.T) {
	b := newBench(t, 20)
	large := b.history(now-1500, 500_000)
	smaller := b.history(now, 200_000)
	b.Ask(now, smaller)
	b.Ask(now, large)
	require.Equal(t, []decide.RequestID{large.ID, smaller.ID}, b.names(now))
}

// More long prompts wait than the engines read by their aims. If all went by their aims, the first one would make
// all others late: the longest is put back, and the others are in time.
func TestTheLargestIsPutBackWhereOthersWouldBeLate(t *testing.T) {
	b := newBench(t, 4)
	large := b.history(now-200, 400_000) // 8.9 s of reading on one engine, 2.2 s on all four
	b.Ask(now, large)
	var small []decide.RequestID
	for range 6 {
		a := b.history(now, 140_000) // 1.4 s on one engine each: 2.2 s for all of them on four
		b.Ask(now, a)
		small = append(small, a.ID)
	}
	names := b.names(now)
	require.Equal(t, large.ID, names[len(names)-1])
	require.ElementsMatch(t, small, names[:6])
}

// Short requests take engines for milliseconds and are due in 300; prompts of some ten thousand tokens can be read beside short streams, as long
// as no short request waits. None of them waits behind a large prompt, unless that is more urgent.
func TestWhatIsReadSoonGoesBeforeLargePrompts(t *testing.T) {
	b := newBench(t, 20)
	large, short, middle := b.history(now-2000, 200_000), b.note(now), b.history(now, 45_000)
	urgent := b.history(now, 200_000)
	urgent.Urgency, large.Urgency, short.Urgency, middle.Urgency = 0, 1, 1, 1
	for _, a := range []Ask{large, short, middle, urgent} {
		b.Ask(now, a)
	}
	require.Equal(t, []decide.RequestID{urgent.ID, short.ID, middle.ID, large.ID}, b.names(now))
}

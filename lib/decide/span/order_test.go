package span

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// names are the ids of queued requests in the order of placing.
func (b *bench) names(at clock.Milli) []decide.RequestID {
	b.look(at)
	var ids []decide.RequestID
	for _, w := range b.ordered(at) {
		ids = append(ids, w.ID)
	}
	return ids
}

// A large prompt has waited for most of its aim while smaller ones, that have just come, can wait. Were they read first, as they are read
// sooner, it would be late for nothing.
func TestALongPromptGoesByItsAim(t *testing.T) {
	b := newBench(t, 20)
	large := b.history(now-1500, 500_000)
	small := b.history(now, 100_000)
	b.Ask(now, large)
	b.Ask(now, small)
	require.Equal(t, []decide.RequestID{large.ID, small.ID}, b.names(now))
}

// More long prompts wait than the engines read by their aims. If all went by their aims, the first one would make
// all others late: the longest is put back, and the others are in time.
func TestTheLongestIsPutBackWhereOthersWouldBeLate(t *testing.T) {
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

// Short requests take engines for milliseconds and are due in 300: none of them waits behind a long prompt, unless that is more urgent.
func TestShortRequestsGoBeforeLongOnes(t *testing.T) {
	b := newBench(t, 20)
	long, short := b.history(now-2500, 150_000), b.note(now)
	urgent := b.history(now, 200_000)
	urgent.Urgency, long.Urgency, short.Urgency = 0, 1, 1
	for _, a := range []Ask{long, short, urgent} {
		b.Ask(now, a)
	}
	require.Equal(t, []decide.RequestID{urgent.ID, short.ID, long.ID}, b.names(now))
}

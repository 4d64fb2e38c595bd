package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

func newBatch(slots int, memory decide.Tokens) (*Batch, *kv.Memory) {
	m := kv.New(memory, func(decide.PrefixHash, bool) {})
	s := Settings{Slots: slots, Prefill: 10_000, Decode: 100, Chunk: 1000, Retention: 1000, OrphanTimeout: 1000}
	ignore := func(*Request) {}
	return New(s, m, ignore, ignore), m
}

func newRequest(id decide.RequestID, priority int, prompt decide.Tokens, limit int) *Request {
	return &Request{
		Entry:   &Entry{ID: id, Priority: priority, Prompt: prompt, Reserved: prompt + decide.Tokens(limit)},
		Limit:   limit,
		Readers: 1,
	}
}

// runStep plans and applies one step at full speed, at now milliseconds after an arbitrary start.
func runStep(b *Batch, now int64) time.Duration {
	s := b.Plan(1_000_000+clock.Milli(now), 1)
	b.Apply(s, 1_000_000+clock.Milli(now))
	return s.Duration
}

// A long prompt joins an engine that streams a short answer. Every step then includes a chunk of
// prefill, which must lengthen the time between the short answer's tokens.
func TestPrefillSlowsDecode(t *testing.T) {
	b, _ := newBatch(4, 100_000)
	short := newRequest("short", 1, 10, 9)
	b.Add(short)
	require.Equal(t, time.Millisecond, runStep(b, 0))
	require.Equal(t, 10*time.Millisecond, runStep(b, 1))
	b.Add(newRequest("long", 0, 2500, 9))
	for range 2 {
		require.Equal(t, 110*time.Millisecond, runStep(b, 2))
	}
	require.Equal(t, 60*time.Millisecond, runStep(b, 3))
	require.Len(t, short.Events, 5)
	s := b.Plan(1_000_004, 3)
	require.Equal(t, 30*time.Millisecond, s.Duration)
	require.Len(t, s.decode, 2)
}

func TestMoreUrgentRequestIsPrefilledFirst(t *testing.T) {
	b, _ := newBatch(4, 100_000)
	waiting, urgent := newRequest("waits", 3, 1000, 1), newRequest("urgent", 0, 400, 1)
	b.Add(waiting)
	b.Add(urgent)
	runStep(b, 0)
	require.True(t, urgent.Ended)
	require.Equal(t, decide.Tokens(600), waiting.Size())
}

func TestQueuedRequestWaitsForMemory(t *testing.T) {
	b, m := newBatch(4, 1000)
	require.True(t, m.Reserve("group", 800))
	q := newRequest("q", 0, 300, 2)
	b.Add(q)
	runStep(b, 0)
	require.Equal(t, 1, b.QueueLen())
	require.True(t, b.Release("group"))
	runStep(b, 1)
	require.Equal(t, Running, q.Entry.Outcome)
	require.True(t, b.Cancel("q", 5))
	require.Zero(t, m.Used())
	require.Equal(t, Canceled, q.Entry.Outcome)
	require.Zero(t, b.Active())
	require.False(t, b.Cancel("none", 5))
}

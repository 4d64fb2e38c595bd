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
	none := func(*Request) {}
	return New(s, m, none, none), m
}

func requestOf(id decide.RequestID, priority int, prompt decide.Tokens, limit int) *Request {
	return &Request{
		Entry:   &Entry{ID: id, Priority: priority, Prompt: prompt, Reserved: prompt + decide.Tokens(limit)},
		Limit:   limit,
		Readers: 1,
	}
}

// step plays one step at full speed at an instant.
func step(b *Batch, now int64) time.Duration {
	s := b.Plan(1_000_000+clock.Milli(now), 1)
	b.Apply(s, 1_000_000+clock.Milli(now))
	return s.Duration
}

// A long prompt joins an engine that streams a short answer: every step now
// carries a chunk of prefill, and the short answer's tokens come slower.
func TestPrefillSlowsDecode(t *testing.T) {
	b, _ := newBatch(4, 100_000)
	short := requestOf("short", 1, 10, 9)
	b.Add(short)
	require.Equal(t, time.Millisecond, step(b, 0))
	require.Equal(t, 10*time.Millisecond, step(b, 1))
	b.Add(requestOf("long", 0, 2500, 9))
	for range 2 {
		require.Equal(t, 110*time.Millisecond, step(b, 2))
	}
	require.Equal(t, 60*time.Millisecond, step(b, 3))
	require.Len(t, short.Events, 5)
	s := b.Plan(1_000_004, 3)
	require.Equal(t, 30*time.Millisecond, s.Duration)
	require.Len(t, s.decode, 2)
}

func TestUrgentPrefillsFirst(t *testing.T) {
	b, _ := newBatch(4, 100_000)
	waits, urgent := requestOf("waits", 3, 1000, 1), requestOf("urgent", 0, 400, 1)
	b.Add(waits)
	b.Add(urgent)
	step(b, 0)
	require.True(t, urgent.Ended)
	require.Equal(t, decide.Tokens(600), waits.Size())
}

func TestAdmitWaitsForMemory(t *testing.T) {
	b, m := newBatch(4, 1000)
	require.True(t, m.Reserve("group", 800))
	q := requestOf("q", 0, 300, 2)
	b.Add(q)
	step(b, 0)
	require.Equal(t, 1, b.QueueLen())
	require.True(t, b.Release("group"))
	step(b, 1)
	require.Equal(t, Running, q.Entry.Outcome)
	require.True(t, b.Cancel("q", 5))
	require.Zero(t, m.Used())
	require.Equal(t, Canceled, q.Entry.Outcome)
	require.Zero(t, b.Active())
	require.False(t, b.Cancel("none", 5))
}

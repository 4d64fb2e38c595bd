package booking

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const now clock.Milli = 1_000_000

// request needs a load of 20 from now on, at a rate of 1, and honors a time up to 3 s from now.
func request(client int) Request {
	return Request{
		Key: Key{Workspace: "w", Fingerprint: uint64(client)}, ID: decide.RequestID(fmt.Sprint("r", client)),
		Load: 20, Rate: 1, From: now, Until: now + 3000, Due: now + 9000,
	}
}

// Bookings beyond the limit, the horizon, the client's patience or the spare rate are promises that
// can't be kept.
func TestNoBookingWithoutCapacity(t *testing.T) {
	for _, change := range []func(*Request, *Limits){
		func(_ *Request, l *Limits) { l.Most = 0 },
		func(q *Request, l *Limits) { q.From, l.Horizon = now+1000, 900 },
		func(q *Request, _ *Limits) { q.Until = now + Early },
		func(q *Request, _ *Limits) { q.Rate = 0 },
		func(q *Request, _ *Limits) { q.Load = 100_000 },
	} {
		q, l := request(1), Limits{Horizon: 3000, Most: 1}
		change(&q, &l)
		b := New(l)
		_, ok := b.Book(now, q)
		require.False(t, ok)
		require.Equal(t, Counts{Full: 1}, b.Counts())
	}
}

// A booking must be taken once, by a new request of the same workspace, and only near its time.
func TestBookingIsTakenByItsRetryOnly(t *testing.T) {
	for _, x := range []struct {
		at        clock.Milli
		workspace decide.WorkspaceID
		id        decide.RequestID
		taken     bool
	}{
		{-Early - 1, "w", "new", false},
		{-Early, "w", "new", true},
		{Late, "w", "new", true},
		{Late + 1, "w", "new", false},
		{0, "other", "new", false},
		{0, "w", "r1", false},
	} {
		b := New(Limits{Horizon: 3000, Most: 1})
		at, ok := b.Book(now, request(1))
		require.True(t, ok)
		k := Key{Workspace: x.workspace, Fingerprint: 1}
		require.Equal(t, x.taken, b.Take(at+x.at, k, x.id), "%+v", x)
		require.False(t, b.Take(at+x.at, k, x.id), "it must not be taken twice")
	}
}

// A client that retries at once must not be given further capacity each time.
func TestImpatientClientKeepsItsOnlyBooking(t *testing.T) {
	b := New(Limits{Horizon: 3000, Most: 10})
	at, ok := b.Book(now, request(1))
	require.True(t, ok)
	require.False(t, b.Take(now+1, request(1).Key, "retry"))
	again, ok := b.Book(now+1, request(1))
	require.True(t, ok)
	require.Equal(t, at, again)
	require.Equal(t, 1, b.Open())
}

// The capacity of bookings that nobody takes must be available to others after they expire.
func TestLapsedBookingFreesItsSlots(t *testing.T) {
	b := New(Limits{Horizon: 3000, Most: 10})
	q := request(1)
	q.Class, q.Load = Long, 100 // four slots of 25 ms
	at, ok := b.Book(now, q)
	require.True(t, ok)
	b.Expire(at + Late + SlotLength)
	require.Zero(t, b.Open())
	require.Empty(t, b.booked[Long])
	require.Equal(t, Counts{Made: 1, Lapsed: 1}, b.Counts())
}

// In any order of events the bookings of a slot stay within its share of the spare rate.
func TestSlotsAreNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{Horizon: 3000, Most: 50})
		at := now
		const rate = 2.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			at += clock.Milli(rapid.IntRange(0, 200).Draw(t, "pause"))
			q := request(rapid.IntRange(1, 40).Draw(t, "client"))
			q.Rate, q.Load = rate, rapid.Float64Range(1, 900).Draw(t, "load")
			q.From, q.Until, q.Due = at, at+3000, at+9000
			if !b.Take(at, q.Key, "retry") {
				_, _ = b.Book(at, q)
			}
			for s, load := range b.booked[Short] {
				if load > MaxShortUtilization*rate*float64(SlotLength)+minLoad {
					t.Fatalf("slot %d has %f ms booked", s, load)
				}
			}
		}
		b.Expire(at + 60*clock.Second)
		if b.Open() > 0 || len(b.booked[Short]) > 0 {
			t.Fatalf("%d bookings and %d slots are left", b.Open(), len(b.booked[Short]))
		}
	})
}

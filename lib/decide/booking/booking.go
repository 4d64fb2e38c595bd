// Package booking is a table of advance reservations of capacity for the retries of refused
// clients. It spreads the retries over time, so that each finds capacity when it arrives.
//
// A Table uses no sockets, goroutines or clock: the time is an argument.
package booking

import (
	"maps"
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Times and sizes of bookings.
const (
	// SlotLength is the resolution in which booked capacity is recorded.
	SlotLength clock.Milli = 50
	// Early is how long before its time a booking can be taken, Late how long after it the booking
	// expires.
	Early clock.Milli = 100
	Late  clock.Milli = 500
	// MaxShortUtilization and MaxLongUtilization are the fractions of the spare capacity that are booked.
	// The rest is left for errors of the estimate and for late requests without a booking.
	MaxShortUtilization = 0.8
	MaxLongUtilization  = 0.5
	// maxAhead is the longest time to a booking that is accepted from another VM.
	maxAhead = 3600 * clock.Second
	// minLoad is the least free capacity of a slot with which a booking begins, in the unit of
	// Request.Load.
	minLoad = 0.01
)

// Class separates requests that use different capacity: short ones are limited by the slots of
// engines, long ones by whole engines.
type Class uint8

// The classes of bookings.
const (
	Short Class = iota
	Long
	classes
)

// Limits bound a table.
type Limits struct {
	// Horizon is how far ahead capacity is booked; zero for no bookings.
	Horizon clock.Milli
	// Most is the number of bookings that may be open at a time.
	Most int
}

// Key identifies a client's request over its retries.
type Key struct {
	Workspace   decide.WorkspaceID
	Fingerprint uint64
}

// Request describes the booking that a refused request needs.
type Request struct {
	Key Key
	// ID is the refused request. A repeated query for it is not its retry.
	ID    decide.RequestID
	Class Class
	// Load is what the request takes of the capacity: one placement for Short, the prefill time in
	// milliseconds on one engine for Long. Rate is the spare capacity per millisecond in that unit.
	Load, Rate float64
	// From and Until are the earliest and the latest time of the booking. Due is when the booked
	// load has to be done; a booking lasts for the horizon of the table at most.
	From, Until, Due clock.Milli
	// Wait is how long after its time the retry may be queued before its load begins.
	Wait clock.Milli
}

// Counts are the bookings of a table since it was made.
type Counts struct {
	// Made bookings are later Kept, if the retry came, or Lapsed. Refused counts retries that kept
	// their booking and were refused nevertheless, Full refusals for which there was nothing to book.
	Made, Kept, Lapsed, Refused, Full uint64
}

// entry is an open booking.
type entry struct {
	id    decide.RequestID
	class Class
	at    clock.Milli
	// load is the booked load in each slot, from the first one on. That is after at if the retry will
	// be queued.
	first slot
	load  []float64
}

// slot numbers the slots since time zero.
type slot int64

func slotOf(at clock.Milli) slot { return slot(at / SlotLength) }

func (s slot) start() clock.Milli { return clock.Milli(s) * SlotLength }

// Table has the open bookings of one service. It is not safe for concurrent use.
type Table struct {
	limits Limits
	open   map[Key]*entry
	// booked is the booked load per slot. The slots of kept bookings stay
	// booked, those of lapsed ones become free.
	booked [classes]map[slot]float64
	// swept is the slot in which expired bookings were last removed.
	swept  slot
	counts Counts
}

// New returns an empty table.
func New(l Limits) *Table {
	t := &Table{limits: l, open: map[Key]*entry{}}
	for c := range t.booked {
		t.booked[c] = map[slot]float64{}
	}
	return t
}

// Open returns the number of open bookings.
func (t *Table) Open() int { return len(t.open) }

// Counts returns the bookings since the table was made.
func (t *Table) Counts() Counts { return t.counts }

// NoteRefused counts a retry that was refused although it kept its booking.
func (t *Table) NoteRefused() { t.counts.Refused++ }

// Book books capacity at the earliest time that the request permits, and reports whether there is
// such a time. A request whose client has a booking gets the time of that one.
func (t *Table) Book(now clock.Milli, q Request) (clock.Milli, bool) {
	t.Expire(now)
	if e := t.open[q.Key]; e != nil {
		return e.at, now < e.at && e.at <= q.Until
	}
	e, ok := t.find(now, q)
	if !ok {
		t.counts.Full++
		return 0, false
	}
	t.open[q.Key] = e
	t.charge(e, 1)
	t.counts.Made++
	return e.at, true
}

// find returns a booking from the first slot on that has free capacity. A client that retries at
// once must not find its booking open, so none is earlier than Early from now.
func (t *Table) find(now clock.Milli, q Request) (*entry, bool) {
	if len(t.open) >= t.limits.Most || q.Load <= 0 {
		return nil, false
	}
	from, until := max(q.From, now+Early+1), min(q.Until, now+t.limits.Horizon)
	q.Due = min(q.Due, until+t.limits.Horizon)
	for s := slotOf(from + SlotLength - 1); s.start() <= until+q.Wait; s++ {
		if t.free(s, &q) < minLoad {
			continue
		}
		load, ok := t.fill(s, &q)
		at := min(s.start(), slotOf(until).start())
		return &entry{id: q.ID, class: q.Class, at: at, first: s, load: load}, ok && at > now+Early
	}
	return nil, false
}

// free returns the capacity of a slot that can still be booked, in the unit of the load.
func (t *Table) free(s slot, q *Request) float64 {
	utilization := MaxLongUtilization
	if q.Class == Short {
		utilization = MaxShortUtilization
	}
	return max(0, utilization*q.Rate*float64(SlotLength)-t.booked[q.Class][s])
}

// fill distributes the load of a request over the free capacity of the slots from s on. It reports
// whether that ends in time.
func (t *Table) fill(s slot, q *Request) (load []float64, ok bool) {
	for left := q.Load; left > 0; s++ {
		if s.start() >= q.Due {
			return nil, false
		}
		part := min(left, t.free(s, q))
		load = append(load, part)
		left -= part
	}
	return load, true
}

// charge adds the load of a booking, times the sign, to the slots.
func (t *Table) charge(e *entry, sign float64) {
	booked, first := t.booked[e.class], e.first
	for i, part := range e.load {
		s := first + slot(i)
		if booked[s] += sign * part; booked[s] < minLoad {
			delete(booked, s)
		}
	}
}

// Take takes the booking of a retry, and reports whether there is one for this time.
func (t *Table) Take(now clock.Milli, k Key, id decide.RequestID) bool {
	t.Expire(now)
	e := t.open[k]
	if e == nil || e.id == id || now < e.at-Early || now > e.at+Late {
		return false
	}
	delete(t.open, k)
	t.counts.Kept++
	return true
}

// Expire removes bookings that nobody took, and past slots.
func (t *Table) Expire(now clock.Milli) {
	if t.swept == slotOf(now) {
		return
	}
	t.swept = slotOf(now)
	for k, e := range t.open {
		if now > e.at+Late {
			t.charge(e, -1)
			delete(t.open, k)
			t.counts.Lapsed++
		}
	}
	for _, booked := range t.booked {
		for s := range booked {
			if s < t.swept {
				delete(booked, s)
			}
		}
	}
}

// Saved is an open booking in a snapshot.
type Saved struct {
	Key   Key
	ID    decide.RequestID
	Class Class
	// In is the time until the booking, negative once it has passed.
	In clock.Milli
	// Load is the booked load in each slot from the time of the booking on.
	Load []float64
	// Delay is the time from the booking to the first of these slots.
	Delay clock.Milli
}

// Snapshot returns the open bookings for the next owner of the table.
func (t *Table) Snapshot(now clock.Milli) []Saved {
	t.Expire(now)
	saved := make([]Saved, 0, len(t.open))
	for k, e := range t.open {
		saved = append(saved, Saved{Key: k, ID: e.id, Class: e.class, In: e.at - now, Load: e.load, Delay: e.first.start() - slotOf(e.at).start()})
	}
	return saved
}

// Restore adds the bookings of the previous owner, up to the limit of this table.
func (t *Table) Restore(now clock.Milli, saved []Saved) {
	for _, b := range saved {
		if t.open[b.Key] != nil || len(t.open) >= t.limits.Most || !b.valid() {
			continue
		}
		e := &entry{id: b.ID, class: b.Class, at: now + b.In, first: slotOf(now + b.In + b.Delay), load: b.Load}
		t.open[b.Key] = e
		t.charge(e, 1)
	}
}

// valid reports whether the values of a booking that another VM sent can be used.
func (b *Saved) valid() bool {
	for _, part := range b.Load {
		if part < 0 || math.IsNaN(part) || math.IsInf(part, 0) {
			return false
		}
	}
	return b.Class < classes && b.Key.Fingerprint != 0 && -Late <= b.In && b.In <= maxAhead && 0 <= b.Delay && b.Delay <= maxAhead
}

// Clone returns an independent copy of the table; nil for none.
func (t *Table) Clone() *Table {
	if t == nil {
		return nil
	}
	c := *t
	c.open = maps.Clone(t.open) // entries do not change
	for i := range t.booked {
		c.booked[i] = maps.Clone(t.booked[i])
	}
	return &c
}

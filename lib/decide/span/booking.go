package span

import (
	"maps"
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/forecast"
)

// This file handles the retries of refused clients under overload. Clients that are told to wait for
// about as long as the queue is now come back together, and most are refused again. So a refused
// client is told a time for which capacity is booked, and its retry goes before other late requests.

// bookings are the bookings of a pool.
type bookings struct {
	// table is nil unless bookings are enabled.
	table *booking.Table
	// continued are requests that had taken their bookings and were queued at the previous owner, with
	// the times until which their gates must have asked this one.
	continued  map[decide.RequestID]clock.Milli
	longDemand arrivalRate
	// serviceTime is the average time for which short requests hold their places, shortDemand the rate of
	// those that arrive without a booking.
	serviceTime forecast.Ratio
	shortDemand forecast.Demand
}

// arrivalRate is the prefill time of long prompts that arrive per millisecond, in engines, averaged over
// headroomWindow. Prompts that were refused without a booking count again, since their clients retry.
type arrivalRate struct {
	rate float64
	// at is the time of the last arrival.
	at clock.Milli
}

func (d *arrivalRate) add(now clock.Milli, prefill float64) {
	d.rate, d.at = d.rateAt(now)+prefill/headroomWindow, now
}

func (d *arrivalRate) rateAt(now clock.Milli) float64 {
	return d.rate * math.Exp(-float64(now-d.at)/headroomWindow)
}

// SetBookings enables bookings for refused clients. Limits without a horizon disable them.
func (p *Pool) SetBookings(l booking.Limits) {
	p.bookings = bookings{}
	if l.Horizon > 0 {
		p.bookings = bookings{table: booking.New(l), continued: map[decide.RequestID]clock.Milli{}}
	}
}

// BookingCounts returns the bookings that the pool has made and how many are open. It reports whether
// bookings are enabled.
func (p *Pool) BookingCounts(now clock.Milli) (c booking.Counts, open int, enabled bool) {
	t := p.bookings.table
	if t == nil {
		return c, 0, false
	}
	t.Expire(now)
	return t.Counts(), t.Open(), true
}

// DeliveredAt returns the decision as it is to be told at a later time: the client of a refusal with
// a booking has less time to wait then.
func (d Decision) DeliveredAt(now clock.Milli) Decision {
	if d.BookedAt != 0 {
		d.Retry = max(d.BookedAt-now, 1)
	}
	return d
}

// deliveryTime is the time in which a refusal reaches its client. A client compares the Retry-After
// with the time that it has left by then.
const deliveryTime = 20 * clock.Milli(1)

// maxRetryWaitDivisor sets the most that a client waits before a retry: one third of the time left.
const maxRetryWaitDivisor = 3

// noteLongArrival counts an arriving long prompt.
func (p *Pool) noteLongArrival(now clock.Milli, w *queuedRequest) {
	p.largeReserve.noteAsked(w.prefillTime)
	if p.bookings.table != nil {
		p.bookings.longDemand.add(now, w.prefillTime)
	}
}

// takeBooking takes the booking of a request that has just arrived, if it is the retry for which there
// is one.
func (p *Pool) takeBooking(now clock.Milli, w *queuedRequest) {
	t := p.bookings.table
	if t == nil {
		return
	}
	if _, w.booked = p.bookings.continued[w.ID]; w.booked {
		delete(p.bookings.continued, w.ID)
		return
	}
	w.booked = w.Fingerprint != 0 && t.Take(now, w.bookingKey(), w.ID)
	if !w.booked && !w.long {
		p.bookings.shortDemand.Add(now, 1)
	}
}

func (w *queuedRequest) bookingKey() booking.Key {
	return booking.Key{Workspace: w.Workspace, Fingerprint: w.Fingerprint}
}

// bookedRank returns 0 for a late request that has taken its booking and 1 for all others. A booking
// does not change the order of requests in time.
func (w *queuedRequest) bookedRank(now clock.Milli) int {
	if w.booked && w.late(now) {
		return 0
	}
	return 1
}

// book makes a booking for the retry of a request that was refused for lack of capacity or time. The
// client of a request that has begun gets no Retry-After, so it gets no booking either. While all
// loads are unverified, there is no estimate to book by.
func (o *round) book(w *queuedRequest, d *Decision) {
	p, t := o.pool, o.pool.bookings.table
	if t == nil || d.Action != Refused {
		return
	}
	if w.booked {
		t.NoteRefused()
	}
	lacksCapacity := d.Reason == "pressure" || d.Reason == "deadline"
	if w.Fingerprint == 0 || w.Begun || o.unverified || !lacksCapacity || !p.availability(o.now, &w.Ask).open {
		return
	}
	at, ok := t.Book(o.now, p.bookingRequest(o.now, w, o.ahead()))
	switch {
	case ok:
		d.Retry, d.BookedAt = at-o.now, at
	case w.long:
		p.bookings.longDemand.add(o.now, w.prefillTime)
	}
}

// maxBookingWait bounds the estimated wait. It is longer than any horizon of bookings.
const maxBookingWait = 60 * clock.Second

// queuedShare is the part of the time that a client waits for the first byte for which its booked retry
// may be queued. The rest is left for errors of the estimate: ends of requests come in bursts.
const queuedShare = 4

// spareForShort returns the rate per millisecond at which engines have places for short requests
// beyond those of new requests. The rate at which late requests are placed is no measure: it is near
// zero when a burst begins, and retries without a booking are in time. Before any response is
// complete, it is all that is known.
func (p *Pool) spareForShort(now clock.Milli) float64 {
	service := p.bookings.serviceTime.Apply(1)
	if service <= 1 {
		return max(p.headroom.placeRate, p.headroom.recentPlaceRate)
	}
	places := 0
	for _, r := range p.packOrder {
		if r.engine != nil && !r.draining() && r.health.available(now) {
			places += max(0, r.engine.Slots-r.external)
		}
	}
	return max(0, float64(places)/service-p.bookings.shortDemand.Rate(now))
}

// noteHeld learns from the time for which a complete response to a short request held its place.
func (p *Pool) noteHeld(now clock.Milli, g *grantState, o Outcome) {
	if p.bookings.table != nil && o == Done && !g.presented && len(g.Grant.Helpers) == 0 {
		p.bookings.serviceTime.Note(float64(now-g.grantedAt), 1)
	}
}

// bookingRequest describes the booking that a refused request needs behind the work ahead of it.
func (p *Pool) bookingRequest(now clock.Milli, w *queuedRequest, ahead work) booking.Request {
	q := booking.Request{
		Key: w.bookingKey(), ID: w.ID, Class: booking.Short, Load: 1, Rate: p.spareForShort(now),
		From: now + clock.Milli(p.roomAt(now, w, ahead)), Until: now + (w.Deadline-now)/maxRetryWaitDivisor - deliveryTime,
		Due: w.Deadline - minServiceTime, Wait: (w.latestFirst - w.queuedAt) / queuedShare,
	}
	if w.long {
		// With a later end, the prompt would compete with others that arrive meanwhile.
		q.Class, q.Load, q.Rate, q.Due, q.Wait = booking.Long, w.prefillTime, p.spareForLong(now), min(q.Due, q.Until), 0
	}
	return q
}

// spareForLong returns the prefill capacity that long prompts leave, in engines, by the idle time of
// engines and by what clients ask for. The retries of refused clients without a booking take what is
// idle now.
func (p *Pool) spareForLong(now clock.Milli) float64 {
	engines := float64(p.headroom.engines)
	return max(0, min((1-p.headroom.busy)*engines, engines-p.bookings.longDemand.rateAt(now)))
}

// work is what is placed before a refused request or its retry.
type work struct {
	// short is the number of all short requests without a booking.
	short int
	// lateLong and longInTime are the prefill times in milliseconds of long prompts; longInTime includes
	// what the engines still have to compute.
	lateLong, longInTime float64
}

// ahead returns the work that has been left in the queue so far in this round.
func (o *round) ahead() work {
	return work{short: o.short, lateLong: o.backlogLate, longInTime: o.backlogInTime}
}

// roomAt returns the time in milliseconds from now until there is capacity for the retry of a refused
// request behind the work ahead of it. For short requests that is not the wait with which they are
// refused: that counts the retries of refused clients, which have bookings, among those that go before.
func (p *Pool) roomAt(now clock.Milli, w *queuedRequest, ahead work) float64 {
	if !w.long {
		return min(float64(ahead.short)/max(p.spareForShort(now), 1/headroomWindow), float64(maxBookingWait))
	}
	if wait, ok := p.forecastWait(now, w, int(ahead.lateLong)); ok {
		return wait
	}
	return p.headroom.waitInTime(ahead.longInTime) + p.headroom.waitOfLong(ahead.lateLong)
}

// expireBookings removes bookings that nobody took.
func (p *Pool) expireBookings(now clock.Milli) {
	if p.bookings.table == nil {
		return
	}
	p.bookings.table.Expire(now)
	maps.DeleteFunc(p.bookings.continued, func(_ decide.RequestID, until clock.Milli) bool { return now > until })
}

// savedBookings returns the bookings for the next owner, and the queued requests that have taken
// theirs.
func (p *Pool) savedBookings(now clock.Milli) (saved []booking.Saved, booked []decide.RequestID) {
	if p.bookings.table == nil {
		return nil, nil
	}
	for id, w := range p.queue {
		if w.booked {
			booked = append(booked, id)
		}
	}
	return p.bookings.table.Snapshot(now), booked
}

// restoreBookings adds the bookings of the previous owner.
func (p *Pool) restoreBookings(now clock.Milli, saved []booking.Saved, booked []decide.RequestID) {
	if p.bookings.table == nil {
		return
	}
	p.bookings.table.Restore(now, saved)
	for _, id := range booked {
		p.bookings.continued[id] = now + askTTL
		if w := p.queue[id]; w != nil {
			w.booked = true
		}
	}
}

package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// logBookingsEvery is the interval between two log lines on the bookings of a service.
const logBookingsEvery = 10 * time.Second

// ServiceBookings are the bookings of one service for the retries of refused clients.
type ServiceBookings struct {
	Service route.ServiceID
	Counts  booking.Counts
	// Open is the number of bookings whose retries have not come yet.
	Open int
}

// ListBookings lists the bookings of the services for which this VM has a pool. It is empty unless
// bookings are enabled.
func (o *Owner) ListBookings() []ServiceBookings {
	var rows []ServiceBookings
	for s, p := range o.allPools() {
		p.mu.Lock()
		if c, open, enabled := p.pool.BookingCounts(o.Clock.Now()); enabled {
			rows = append(rows, ServiceBookings{Service: s, Counts: c, Open: open})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(rows, func(x, y ServiceBookings) int { return cmp.Compare(x.Service, y.Service) })
	return rows
}

// allPools returns the present pools.
func (o *Owner) allPools() map[route.ServiceID]*ownedPool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.pools)
}

// logBookings logs the bookings of each service since the last line on them.
func (o *Owner) logBookings() {
	for s, p := range o.allPools() {
		p.mu.Lock()
		c, open, _ := p.pool.BookingCounts(o.Clock.Now())
		before := p.loggedBookings
		p.loggedBookings = c
		p.mu.Unlock()
		if c == before {
			continue
		}
		o.Log.Info().Str(logline.Key, logline.Bookings).Str("service", string(s)).Uint64("made", c.Made-before.Made).Uint64("kept", c.Kept-before.Kept).
			Uint64("lapsed", c.Lapsed-before.Lapsed).Uint64("refused", c.Refused-before.Refused).Uint64("full", c.Full-before.Full).Int("open", open).
			Msg("bookings of capacity for the retries of refused clients")
	}
}

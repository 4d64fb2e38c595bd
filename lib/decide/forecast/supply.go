// Package forecast estimates when capacity that is in use now will be available to a waiting
// request.
//
// Capacity is counted in units of the caller's choice: places for short requests, or engine time for
// long ones. A Supply collects when units become available, a Curve answers how long a request waits
// that needs some of them. Demand estimates how many units arriving requests take that go before the
// waiting ones. The load is that of a queue that work in progress, and arrivals with precedence,
// keep from being served: the wait is known from when that work ends, not from how fast the queue
// was served before.
package forecast

import (
	"math"
	"sort"
)

const (
	// Interval is the length in milliseconds of the intervals into which a forecast is divided. It
	// is about the length of a pass of an engine, before which no place becomes available.
	Interval = 50.0
	// intervals is the number of intervals. Together they are the horizon, 15 s: requests with a
	// deadline after that are not refused because of their wait. Clients of very long prompts wait
	// for 12 s; with a shorter horizon they are refused only after they have waited for the rest.
	intervals = 300
	// Horizon is the time in milliseconds up to which waits are estimated.
	Horizon = Interval * intervals
)

// Supply is the capacity that becomes available in each interval from now on. The first interval
// contains the present time.
type Supply struct {
	// start is the number of the first interval, and offset the present time within it.
	start  int64
	offset float64
	// places are held by a request for some time, and are available again after that. units are used
	// up.
	places, units [intervals]float64
	// rising is the increase of the units per interval from each interval on.
	rising [intervals + 1]float64
}

// Begin removes all capacity, and sets the present time of the caller's clock in milliseconds.
func (s *Supply) Begin(now float64) {
	start := math.Floor(now / Interval)
	*s = Supply{start: int64(start), offset: now - start*Interval}
}

// AddPlaces adds places that are available from an instant on, in milliseconds from now.
func (s *Supply) AddPlaces(at, n float64) {
	if i, ok := s.index(at); ok && n > 0 {
		s.places[i] += n
	}
}

// AddUnits adds units that are available from an instant on.
func (s *Supply) AddUnits(at, n float64) {
	if i, ok := s.index(at); ok {
		s.units[i] += n
	}
}

// AddRate adds units that become available at a rate per millisecond from an instant on.
func (s *Supply) AddRate(from, rate float64) {
	first, ok := s.index(from)
	if !ok {
		return
	}
	s.units[first] += rate * (Interval*float64(first+1) - max(from, 0) - s.offset)
	s.rising[first+1] += rate * Interval
}

// index returns the interval of an instant; false if it is after the horizon.
func (s *Supply) index(at float64) (int, bool) {
	at = max(at, 0) + s.offset
	if at >= Horizon {
		return 0, false
	}
	return int(at * (1 / Interval)), true
}

// Contention describes who else uses the capacity.
type Contention struct {
	// ServiceTime is the time in milliseconds for which a request holds a place; zero if places are not
	// available again within the horizon.
	ServiceTime float64
	// Rate is the number of units per millisecond that arriving requests take before the waiting
	// ones, and Precedence how long in milliseconds an arriving request goes before them.
	Rate, Precedence float64
	// LeastShare is the share of the capacity that the waiting requests get under any demand.
	LeastShare float64
}

// LullShare returns the share of the capacity that waiting requests get in lulls while arriving requests
// that go first need all of it on average. Both the arrivals and the ends of requests are taken to
// vary as in a Poisson process. n is the number of arrivals while one of them goes first: what the
// capacity is short of in that time is made up for later by them.
func LullShare(n float64) float64 {
	// The mean of the positive part of a normal variable is its standard deviation times 0.4.
	return min(0.4*math.Sqrt(2/max(n, 1)), 0.5)
}

// Curve is the cumulative capacity over time.
type Curve struct {
	// first is the capacity for requests that go before all arriving ones, behind that for requests
	// that go behind them. Element i is the capacity up to the end of interval i.
	first, behind [intervals]float64
	// offset is the time of the computation within the first interval.
	offset float64
}

// Compute derives the curve from the supply. All places are assumed to be taken as soon as they are
// available, since it is asked only for requests that wait.
func (c *Curve) Compute(s *Supply, o Contention) {
	places := s.places
	c.offset = s.offset
	again := max(1, int(o.ServiceTime/Interval+0.5))
	arriving, mostWaiting := o.Rate*Interval, o.Rate*max(o.Precedence, Interval)
	first, behind, waiting, steady := 0.0, 0.0, 0.0, 0.0
	for i := range intervals {
		steady += s.rising[i]
		n := places[i] + s.units[i] + steady
		if o.ServiceTime > 0 && i+again < intervals {
			places[i+again] += places[i]
		}
		if waiting += arriving; waiting > mostWaiting {
			waiting = mostWaiting
		}
		taken := n * (1 - o.LeastShare)
		if taken > waiting {
			taken = waiting
		}
		waiting -= taken
		first += n
		behind += n - taken
		c.first[i], c.behind[i] = first, behind
	}
}

// WaitFirst returns the time in milliseconds after which this many units have become available to
// requests that go before all arriving ones; false if that is after the horizon.
func (c *Curve) WaitFirst(n float64) (float64, bool) { return c.wait(&c.first, n) }

// Wait returns the time in milliseconds after which this many units have become available to
// requests that go behind arriving ones; false if that is after the horizon.
func (c *Curve) Wait(n float64) (float64, bool) { return c.wait(&c.behind, n) }

// wait interpolates within the interval in which the capacity reaches n.
func (c *Curve) wait(capacity *[intervals]float64, n float64) (float64, bool) {
	i := sort.SearchFloat64s(capacity[:], n)
	if i == intervals {
		return Horizon, false
	}
	before := 0.0
	if i > 0 {
		before = capacity[i-1]
	}
	part := 1.0
	if capacity[i] > before {
		part = (n - before) / (capacity[i] - before)
	}
	return max(0, Interval*(float64(i)+part)-c.offset), true
}

// Package hedge decides when a question whose answer is late is put to another VM beside.
//
// Nothing here has sockets, goroutines or a clock.
package hedge

import (
	"sync"

	"snipeshift.example/lib/clock"
)

// Limits of hedged questions.
const (
	// least and longest bound, in milliseconds, how much later than it should an answer comes before the next VM is asked beside: twice the
	// longest way seen lately, since a fleet whose processors are cut answers later than one that is calm.
	least   = 20 * clock.Milli(1)
	longest = 100 * clock.Milli(1)
	// share of the questions may be asked of another VM beside, and burst more: an owner that is merely busy must not get its load twice.
	share = 0.05
	burst = 8
	// wayDecay is how much of the longest way is kept at each answer: about forty answers on, half of it.
	wayDecay = 0.98
)

// Policy decides when another VM is asked beside. The zero Questions has seen no answer yet. It is safe for concurrent use.
type Policy struct {
	mu sync.Mutex
	// longest is the longest way to an owner and back seen lately, in milliseconds.
	longest float64
	// used is how much of the allowance is taken.
	used float64
	// asked counts the questions put to another VM beside.
	asked uint64
}

// ObserveRoundTrip takes the time of one call without what the question waited.
func (q *Policy) ObserveRoundTrip(d clock.Milli) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.longest = max(float64(d), wayDecay*q.longest)
	q.used = max(0, q.used-share)
}

// Delay is how much later than it should an answer is waited for alone.
func (q *Policy) Delay() clock.Milli {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(max(clock.Milli(2*q.longest), least), longest)
}

// Allow reports whether another VM may be asked beside, and counts it if so.
func (q *Policy) Allow() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used+1 > burst {
		return false
	}
	q.used++
	q.asked++
	return true
}

// Hedged counts the questions that were put to another VM beside.
func (q *Policy) Hedged() uint64 { q.mu.Lock(); defer q.mu.Unlock(); return q.asked }

// Package hedge decides when to send a placement query to a second VM in parallel because the
// answer of the first is late (a hedged request).
//
// The package has no network access, goroutines or clock.
package hedge

import (
	"sync"

	"snipeshift.example/lib/clock"
)

// Limits of hedging.
const (
	// minDelay and maxDelay bound, in milliseconds, how overdue an answer may be before the next VM
	// is queried in parallel. Between them the delay is twice the longest recent round trip, since
	// VMs with throttled processors answer later than idle ones.
	minDelay = 20 * clock.Milli(1)
	maxDelay = 100 * clock.Milli(1)
	// hedgeShare is the fraction of queries that may be hedged, and burst the number of further
	// ones: hedging must not double the load of an owner that is merely busy.
	hedgeShare = 0.05
	burst      = 8
	// rttDecay is the factor applied to the longest round trip at each answer: it falls to half in
	// about forty answers.
	rttDecay = 0.98
)

// Policy decides when a query is hedged. The zero value is ready to use. It is safe for
// concurrent use.
type Policy struct {
	mu sync.Mutex
	// longestRTT is the decaying maximum of recent round trips to owners, in milliseconds.
	longestRTT float64
	// used is the consumed part of the hedging allowance.
	used float64
	// hedged counts the queries that were hedged.
	hedged uint64
}

// ObserveRoundTrip records the round trip of one answered call, without the time that the call
// waited for a decision.
func (p *Policy) ObserveRoundTrip(d clock.Milli) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestRTT = max(float64(d), rttDecay*p.longestRTT)
	p.used = max(0, p.used-hedgeShare)
}

// Delay returns how overdue an answer may be before another VM is queried in parallel.
func (p *Policy) Delay() clock.Milli {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(clock.Milli(2*p.longestRTT), minDelay), maxDelay)
}

// Allow reports whether one more query may be hedged, and counts it if so.
func (p *Policy) Allow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used+1 > burst {
		return false
	}
	p.used++
	p.hedged++
	return true
}

// Hedged returns the number of hedged queries.
func (p *Policy) Hedged() uint64 { p.mu.Lock(); defer p.mu.Unlock(); return p.hedged }

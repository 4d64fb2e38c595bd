package claim

import (
	"sync"

	"snipeshift.example/lib/clock"
)

// breaker is a circuit breaker that shortens the timeout of claims while the store does
// not respond, so that claims fail in a fraction of their full timeout. Periodically one
// claim may use its full timeout as a probe; otherwise a store that is merely slow would
// be considered unavailable forever.
type breaker struct {
	mu sync.Mutex
	// open is set while the store is considered unavailable.
	open bool
	// nextProbe is when the next claim may use its full timeout while the breaker is open.
	nextProbe clock.Milli
}

// allowFull reports whether a claim may use its full timeout. While the breaker is open, one
// claim per probeInterval may.
func (b *breaker) allowFull(now, probeInterval clock.Milli) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + probeInterval
	return true
}

// recordFailure records that the store did not respond, and opens the breaker.
func (b *breaker) recordFailure(now, probeInterval clock.Milli) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		b.open, b.nextProbe = true, now+probeInterval
	}
}

// recordSuccess records that the store responded, and closes the breaker.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = false
}

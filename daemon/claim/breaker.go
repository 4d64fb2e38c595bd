package claim

import (
	"sync"

	"snipeshift.example/lib/clock"
)

// breaker shortens the time of claims while the store does not answer.
// Claims that cannot be answered then fail in a fraction of their timeout. One at a time keeps the whole time, or a store that is only
// slow would be taken to be out for good.
type breaker struct {
	mu sync.Mutex
	// open is set while the store is taken to be out.
	open bool
	// probe is when the next claim may take its whole time while open.
	probe clock.Milli
}

// whole tells whether a claim may take its whole time; rest is the time between
// two that may while the store is out.
func (b *breaker) whole(now, rest clock.Milli) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now < b.probe {
		return false
	}
	b.probe = now + rest
	return true
}

// failed notes that the store did not answer.
func (b *breaker) failed(now, rest clock.Milli) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		b.open, b.probe = true, now+rest
	}
}

// worked notes that the store answered.
func (b *breaker) worked() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = false
}

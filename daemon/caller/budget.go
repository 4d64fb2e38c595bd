package caller

import (
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

// RetryBudgets is the retry budget of each pool, kept by each gate for its own requests.
type RetryBudgets struct {
	clock *clock.Clock

	mu sync.Mutex
	// pools holds a budget from the first use on; pools are few.
	pools map[peer.PoolID]*gate.Budget
}

// NewRetryBudgets returns budgets with the library's defaults.
func NewRetryBudgets(c *clock.Clock) *RetryBudgets {
	return &RetryBudgets{clock: c, pools: map[peer.PoolID]*gate.Budget{}}
}

// RecordSuccess implements Retries.
func (b *RetryBudgets) RecordSuccess(id peer.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(id).Succeed(b.clock.Now())
}

// Allow implements Retries.
func (b *RetryBudgets) Allow(id peer.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(id).Retry(b.clock.Now())
}

// of needs mu.
func (b *RetryBudgets) of(id peer.PoolID) *gate.Budget {
	x, ok := b.pools[id]
	if !ok {
		x = gate.NewBudget(0, 0, 0)
		b.pools[id] = x
	}
	return x
}

package caller

import (
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

// RetryBudgets holds a retry budget for each pool. Each gate counts its own requests only.
type RetryBudgets struct {
	clock *clock.Clock

	mu sync.Mutex
	// budgets holds the budget of each pool that has been used. Budgets are never removed, since
	// there are few pools.
	budgets map[peer.PoolID]*gate.Budget
}

// NewRetryBudgets returns budgets with the default parameters of package gate.
func NewRetryBudgets(c *clock.Clock) *RetryBudgets {
	return &RetryBudgets{clock: c, budgets: map[peer.PoolID]*gate.Budget{}}
}

// RecordSuccess implements Retries.
func (b *RetryBudgets) RecordSuccess(id peer.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(id).Succeed(b.clock.Now())
}

// Allow implements Retries.
func (b *RetryBudgets) Allow(id peer.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(id).Retry(b.clock.Now())
}

// budget returns the budget of a pool. b.mu must be held.
func (b *RetryBudgets) budget(id peer.PoolID) *gate.Budget {
	x, ok := b.budgets[id]
	if !ok {
		x = gate.NewBudget(0, 0, 0)
		b.budgets[id] = x
	}
	return x
}

package caller

import (
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

// Budgets holds a retry budget for each pool. Each gate counts its own requests only.
type Budgets struct {
	clock *clock.Clock

	mu sync.Mutex
	// pools holds a budget for each pool that was used. Budgets are never removed, since there are
	// few pools.
	pools map[peer.PoolID]*gate.Budget
}

// NewBudgets returns budgets with the default parameters of package gate.
func NewBudgets(c *clock.Clock) *Budgets {
	return &Budgets{clock: c, pools: map[peer.PoolID]*gate.Budget{}}
}

// Succeeded implements Retries.
func (b *Budgets) Succeeded(id peer.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(id).Succeed(b.clock.Now())
}

// Allow implements Retries.
func (b *Budgets) Allow(id peer.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(id).Retry(b.clock.Now())
}

// budget returns the budget of a pool. The caller holds mu.
func (b *Budgets) budget(id peer.PoolID) *gate.Budget {
	x, ok := b.pools[id]
	if !ok {
		x = gate.NewBudget(0, 0, 0)
		b.pools[id] = x
	}
	return x
}

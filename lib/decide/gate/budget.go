package gate

import "snipeshift.example/lib/clock"

const (
	// DefaultShare is the share of recent successes that may be retried. One in ten adds little
	// load and covers a crash of one engine out of twenty.
	DefaultShare = 0.1
	// DefaultFloor is the number of retries allowed per window regardless of successes, so that a
	// pool with little traffic can still retry.
	DefaultFloor = 3
	// DefaultWindow is the time over which successes count.
	DefaultWindow = 10 * clock.Second
)

// Sends are numbers of requests that were sent and of their retries.
type Sends struct{ Requests, Retries float64 }

// Tally counts sends over a sliding window. The weight of each send decays to zero within about one
// window.
type Tally struct {
	window clock.Milli
	// at is the time of the last decay.
	at    clock.Milli
	sends Sends
}

// NewTally returns a tally without sends.
func NewTally(window clock.Milli) *Tally { return &Tally{window: window} }

// Window returns the length of the window.
func (t *Tally) Window() clock.Milli { return t.window }

// Add counts further sends.
func (t *Tally) Add(now clock.Milli, s Sends) {
	t.decay(now)
	t.sends.Requests += s.Requests
	t.sends.Retries += s.Retries
}

// Count returns the sends within the window.
func (t *Tally) Count(now clock.Milli) Sends {
	t.decay(now)
	return t.sends
}

// decay reduces both sums in proportion to the elapsed time, to zero after one window without a call.
func (t *Tally) decay(now clock.Milli) {
	if now <= t.at {
		return
	}
	keep := max(0, 1-float64(now-t.at)/float64(t.window))
	t.sends.Requests *= keep
	t.sends.Retries *= keep
	t.at = now
}

// Budget limits the retries on one pool to a share of its recent successes. If every failure in a
// failing pool were retried, the load would double just when capacity is missing, and the pool
// would not recover.
type Budget struct {
	share, floor float64
	window       clock.Milli
	// since is the time from which the floor grows; zero if the whole floor is available from the
	// start.
	since clock.Milli
	// tally counts successes as requests.
	tally *Tally
}

// NewBudget returns a budget. Zero arguments select the defaults.
func NewBudget(share, floor float64, window clock.Milli) *Budget {
	b := &Budget{share: share, floor: floor, window: window}
	if b.share <= 0 {
		b.share = DefaultShare
	}
	if b.floor <= 0 {
		b.floor = DefaultFloor
	}
	if b.window <= 0 {
		b.window = DefaultWindow
	}
	b.tally = NewTally(b.window)
	return b
}

// GrowFrom makes the floor grow linearly from zero over one window, beginning at since. If since is
// zero, the whole floor is available.
//
// After a power failure of all VMs each VM is the owner of every service until it has met the
// others. If each granted the whole floor, the fleet would send many times the permitted retries,
// just while engines refuse most requests.
func (b *Budget) GrowFrom(since clock.Milli) { b.since = since }

// allowance is the part of the floor that is available now.
func (b *Budget) allowance(now clock.Milli) float64 {
	if b.since == 0 {
		return b.floor
	}
	return b.floor * min(1, max(0, float64(now-b.since)/float64(b.window)))
}

// Succeed counts a complete answer.
func (b *Budget) Succeed(now clock.Milli) { b.tally.Add(now, Sends{Requests: 1}) }

// Retry reports whether one more retry is allowed, and counts it if so.
func (b *Budget) Retry(now clock.Milli) bool {
	s := b.tally.Count(now)
	if s.Retries+1 > b.allowance(now)+b.share*s.Requests {
		return false
	}
	b.tally.Add(now, Sends{Retries: 1})
	return true
}

// Add counts sends that were granted by an earlier owner of the pool.
func (b *Budget) Add(now clock.Milli, s Sends) { b.tally.Add(now, s) }

// Clone returns an independent copy of the budget.
func (b *Budget) Clone() *Budget {
	c, tally := *b, *b.tally
	c.tally = &tally
	return &c
}

// BudgetSnapshot is the state of a budget that the next owner of its pool continues.
type BudgetSnapshot struct {
	Sends Sends
	// Grown is how long the floor has been growing, at most one window.
	Grown clock.Milli
}

// Snapshot returns the state for the next owner.
func (b *Budget) Snapshot(now clock.Milli) BudgetSnapshot {
	grown := b.window
	if b.since != 0 {
		grown = min(grown, max(0, now-b.since))
	}
	return BudgetSnapshot{Sends: b.tally.Count(now), Grown: grown}
}

// Restore adds the sends that the previous owner counted and continues the growth of its floor. It never
// reduces the floor of b: owners of versions without snapshots of the budget send an empty one.
func (b *Budget) Restore(now clock.Milli, s BudgetSnapshot) {
	b.tally.Add(now, s.Sends)
	if b.since != 0 {
		b.since = min(b.since, now-s.Grown)
	}
}

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

// Budget limits the retries on one pool to a share of its recent successes. If every failure in a
// failing pool were retried, the load would double just when capacity is missing, and the pool
// would not recover.
type Budget struct {
	share, floor float64
	window       clock.Milli
	// since is the time from which the floor grows; zero if the whole floor is available from the
	// start.
	since clock.Milli
	// at is the time of the last decay of successes and retries.
	at                 clock.Milli
	successes, retries float64
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
	return b
}

// GrowFrom makes the floor grow linearly from zero over one window, beginning at since.
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
func (b *Budget) Succeed(now clock.Milli) {
	b.decay(now)
	b.successes++
}

// Retry reports whether one more retry is allowed, and counts it if so.
func (b *Budget) Retry(now clock.Milli) bool {
	b.decay(now)
	if b.retries+1 > b.allowance(now)+b.share*b.successes {
		return false
	}
	b.retries++
	return true
}

// decay reduces both sums in proportion to the elapsed time, to zero after one window without a
// call.
func (b *Budget) decay(now clock.Milli) {
	if now <= b.at {
		return
	}
	keep := max(0, 1-float64(now-b.at)/float64(b.window))
	b.successes *= keep
	b.retries *= keep
	b.at = now
}

package gate

import "snipeshift.example/lib/clock"

const (
	// DefaultShare is the share of recent successes that may be retried. One in
	// ten adds little load while it covers an engine out of twenty that dies.
	DefaultShare = 0.1
	// DefaultFloor is how many retries are allowed in a window whatever the
	// successes, so that a quiet pool still retries its few requests.
	DefaultFloor = 3
	// DefaultWindow is how far back successes count.
	DefaultWindow = 10 * clock.Second
)

// Budget limits the retries on one pool to a share of its recent successes. The
// load it is made for is a pool in trouble: if every failure is sent again, the
// load doubles just when capacity is gone, and the pool never recovers.
type Budget struct {
	share, floor float64
	window       clock.Milli
	// since is when the floor begins to grow; zero if it holds from the start.
	since clock.Milli
	// at is when the sums were last decayed; they never go negative.
	at                 clock.Milli
	successes, retries float64
}

// NewBudget returns a budget; zero arguments take the defaults.
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

// GrowFrom makes the floor grow from nothing, over one window that begins at an instant.
//
// The load it is made for: all VMs lose power, and each places by itself until it has
// met the others. Were each to give out the whole floor, the fleet would send many
// times what it may, just while engines turn most of it away.
func (b *Budget) GrowFrom(since clock.Milli) { b.since = since }

// allowance is the part of the floor that may be given out.
func (b *Budget) allowance(now clock.Milli) float64 {
	if b.since == 0 {
		return b.floor
	}
	return b.floor * min(1, max(0, float64(now-b.since)/float64(b.window)))
}

// Succeed counts a whole answer.
func (b *Budget) Succeed(now clock.Milli) {
	b.decay(now)
	b.successes++
}

// Retry tells whether one more retry is allowed, and counts it if so.
func (b *Budget) Retry(now clock.Milli) bool {
	b.decay(now)
	if b.retries+1 > b.allowance(now)+b.share*b.successes {
		return false
	}
	b.retries++
	return true
}

// decay lets both sums run out linearly over about one window.
func (b *Budget) decay(now clock.Milli) {
	if now <= b.at {
		return
	}
	keep := max(0, 1-float64(now-b.at)/float64(b.window))
	b.successes *= keep
	b.retries *= keep
	b.at = now
}

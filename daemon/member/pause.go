package member

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
)

// PauseDetector detects that this process was paused: it was stopped by a signal, or its VM was
// suspended. Its duties (leases, grants and the ownership of pools) may have expired and passed to
// other VMs in the meantime, which its own state doesn't show.
//
// Check runs the callback before it returns, and code that acts on a duty calls Check first.
// So after a pause the duties are given up before any of them is acted on, whichever goroutine
// the scheduler runs first.
type PauseDetector struct {
	clock Clock
	wall  Clock
	// lease is the longest gap between two checks during which no duty can have expired.
	lease clock.Milli
	// onPause gives up the duties.
	onPause func(gap clock.Milli)

	mu sync.Mutex
	// last and lastWall are the readings of the latest check.
	last, lastWall clock.Milli
	count          int
}

// NewPauseDetector returns a detector that calls onPause after a gap longer than lease.
// While a VM is suspended one of the two clocks may stop and the other advance, so the larger
// gap counts. A step of the wall clock can therefore give up duties needlessly, which costs
// only the rebuilding of their state.
func NewPauseDetector(k, wall Clock, lease clock.Milli, onPause func(gap clock.Milli)) *PauseDetector {
	return &PauseDetector{clock: k, wall: wall, lease: lease, onPause: onPause, last: k.Now(), lastWall: wall.Now()}
}

// WallClock reads the wall clock, which jumps forward when the VM was suspended.
type WallClock struct{}

// Now implements Clock.
func (WallClock) Now() clock.Milli { return clock.Milli(time.Now().UnixMilli()) }

// Check compares the clocks with those of the last check, and reports whether the process was
// paused in between. If so, the callback has run when Check returns.
func (p *PauseDetector) Check() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, wall := p.clock.Now(), p.wall.Now()
	gap := Gap(p.last, now, p.lastWall, wall)
	p.last, p.lastWall = now, wall
	if gap <= p.lease {
		return false
	}
	p.count++
	p.onPause(gap)
	return true
}

// Count returns the number of pauses detected.
func (p *PauseDetector) Count() int { p.mu.Lock(); defer p.mu.Unlock(); return p.count }

// Gap returns the time between two checks by the clock that advanced more.
func Gap(last, now, lastWall, wall clock.Milli) clock.Milli {
	return max(now-last, wall-lastWall)
}

// Run calls Check until ctx ends, eight times per lease, so that only a pause causes a gap longer than the lease.
func (p *PauseDetector) Run(ctx context.Context) error {
	guard.Every(ctx, (p.lease / 8).Duration(), func() { p.Check() })
	return nil
}

package member

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
)

// PauseDetector notices that this process stood still: it was stopped by a signal, or
// its VM was. Whatever it held then - leases, grants, ownership of pools - may
// have lapsed and gone to others while its own state says nothing of it.
//
// Check runs the callback before it returns, and whoever is about to act on a
// duty calls Check first. So after a pause the duties are given up before the
// first act, whichever goroutine the scheduler wakes first.
type PauseDetector struct {
	clock Clock
	wall  Clock
	// lease is the longest gap between two checks that endangers no duty.
	lease clock.Milli
	lost  func(gap clock.Milli)

	mu sync.Mutex
	// last and lastWall are the readings of the latest check.
	last, lastWall clock.Milli
	count          int
}

// NewPauseDetector returns a detector that calls lost after a gap longer than lease.
// Of the two clocks one may stand still with the VM while the other leaps on;
// the larger gap counts, so a step of the wall clock can give duties up in
// vain, which costs a rebuild and nothing else.
func NewPauseDetector(k, wall Clock, lease clock.Milli, lost func(gap clock.Milli)) *PauseDetector {
	return &PauseDetector{clock: k, wall: wall, lease: lease, lost: lost, last: k.Now(), lastWall: wall.Now()}
}

// WallClock reads the wall clock, which leaps when the VM was suspended.
type WallClock struct{}

// Now implements Clock.
func (WallClock) Now() clock.Milli { return clock.Milli(time.Now().UnixMilli()) }

// Check compares the clocks with the last check, and tells whether there was
// a pause. The callback has then run.
func (p *PauseDetector) Check() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, wall := p.clock.Now(), p.wall.Now()
	stretch := Gap(p.last, now, p.lastWall, wall)
	p.last, p.lastWall = now, wall
	if stretch <= p.lease {
		return false
	}
	p.count++
	p.lost(stretch)
	return true
}

// Count is how many pauses were noticed.
func (p *PauseDetector) Count() int { p.mu.Lock(); defer p.mu.Unlock(); return p.count }

// Gap is the time between two checks by the clock that moved more.
func Gap(last, now, lastWall, wall clock.Milli) clock.Milli {
	return max(now-last, wall-lastWall)
}

// Run checks often enough that a gap longer than the lease means a pause.
func (p *PauseDetector) Run(ctx context.Context) error {
	guard.Every(ctx, (p.lease / 8).Duration(), func() { p.Check() })
	return nil
}

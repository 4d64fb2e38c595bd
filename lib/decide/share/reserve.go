package share

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// This file computes a trunk reservation: the free slots that a workspace beyond its share leaves to
// workspaces within theirs. Order alone does not protect those: a slot that was given away becomes
// free only when its request ends, which takes longer than a request in time can wait.

const (
	// demandWindow is the time in milliseconds over which arrivals and freed slots are counted: the time
	// within which a workspace that becomes active again must get its share.
	demandWindow = 1000.0
	// reserveDeviations is the number of standard deviations that the reserve covers: arrivals exceed
	// it in 1 of 50 cases. The goal is at most 1 late request in 20; the difference is for free slots on
	// engines that are busy with another prefill.
	reserveDeviations = 2.05
	// excessDeviations is by how many standard deviations of its use a workspace must exceed its share
	// to leave slots to others. With few grants in useWindow, workspaces within their shares often
	// exceed them by chance.
	excessDeviations = 2.0
)

// demand is what the requests of one workspace need, as decaying sums over demandWindow at the time at.
type demand struct {
	// arrivals counts new requests, and patience is the sum of the times in milliseconds that they could
	// wait when they arrived.
	arrivals, patience float64
	at                 clock.Milli
}

func (d *demand) decay(now clock.Milli) {
	f := math.Exp(-float64(max(now-d.at, 0)) / demandWindow)
	d.arrivals *= f
	d.patience *= f
	d.at = now
}

func (d *demand) add(now clock.Milli, patience float64) {
	d.decay(now)
	d.arrivals++
	d.patience += max(patience, 0)
}

// Arrive records a new request that can wait for this many milliseconds and still be in time.
func (a *Account) Arrive(now clock.Milli, id decide.WorkspaceID, patience float64) {
	a.row(id).demand.add(now, patience)
}

// Free records that a slot became free.
func (a *Account) Free(now clock.Milli) { a.freed.add(now, 0) }

// Reserve returns the number of free slots that workspaces beyond their shares leave to others now;
// zero if no such workspace waited at the last Update.
func (a *Account) Reserve() int { return a.reserve }

// Reserved returns how many free slots a workspace leaves to others: none unless it is clearly beyond
// its share.
func (a *Account) Reserved(id decide.WorkspaceID) int {
	if a.reserve == 0 || !a.clearlyExceeds(a.row(id)) {
		return 0
	}
	return a.reserve
}

// clearlyExceeds reports whether a workspace exceeds its share by more than chance explains.
func (a *Account) clearlyExceeds(r *row) bool {
	return a.lag(r) < -excessDeviations*math.Sqrt(r.variance)
}

// slotsToReserve returns by how many the arrivals of workspaces within their shares may exceed the
// slots that become free, both within the time that these requests can wait and as independent random
// events. A lasting demand above the rate at which slots become free counts as that rate, since no
// reserve helps against it.
func (a *Account) slotsToReserve() int {
	var sum demand
	for _, r := range a.rows {
		if !r.active(a.at) || a.clearlyExceeds(r) {
			continue
		}
		r.demand.decay(a.at)
		sum.arrivals += r.demand.arrivals
		sum.patience += r.demand.patience
	}
	if sum.arrivals == 0 {
		return 0
	}
	a.freed.decay(a.at)
	windows := sum.patience / sum.arrivals / demandWindow
	freed := a.freed.arrivals * windows
	arrivals := min(sum.arrivals*windows, freed)
	return max(0, int(math.Ceil(arrivals-freed+reserveDeviations*math.Sqrt(arrivals+freed))))
}

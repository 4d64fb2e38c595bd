// Package recovery decides how many late requests are placed after a loss of VMs, and when refused
// clients retry. After a loss all clients return together, most of them late, while engines still
// generate output for clients that have gone. If returned requests took every free slot, requests
// that arrive in time would find none for seconds, and would be late as well.
//
// A State uses no sockets, goroutines or clock: the time is an argument.
package recovery

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// ReturnWindow is the time within which clients return after a loss.
	ReturnWindow clock.Milli = 500
	// MaxLength is the longest time for which a recovery lasts.
	MaxLength = 5 * clock.Second
	// demandWindow is the time over which the demand of requests in time is averaged: long enough for
	// a steady estimate, short enough to follow a wave of requests.
	demandWindow = 1000.0
	// firstShare is the share of its slots that an engine without a report gets at first, and
	// slowStartTime the time after which it gets all of them. Most responses end within that time, also
	// those that it generates for gone clients.
	firstShare    = 0.25
	slowStartTime = 2 * clock.Second
	// minElapsed is the least time from which the number of returning clients is extrapolated.
	minElapsed clock.Milli = 50
	// minShare is the share of the slots that late requests may hold under any demand, so that
	// they are not starved.
	minShare = 0.05
	// margin is the share of the demand that is kept free in addition, because arrivals and ends
	// fluctuate.
	margin = 0.05
	// minRetry and maxRetry bound the time after which a refused client is told to retry.
	minRetry clock.Milli = 500
	maxRetry             = 4 * clock.Second
	// retryShare is the share of its remaining time that a client waits before a retry at most. A client with
	// less than three times minRetry left is told minRetry all the same, and does not retry.
	retryShare = 1.0 / 3
	// deliveryTime is the time in which a refusal reaches its client.
	deliveryTime clock.Milli = 20
	// minLost is the least number of grants that end by failures and count as a loss. On a pool with few
	// grants, most of them may end together by chance.
	minLost = 8
	// goldenRatio is the step by which successive retries are spread over an interval. Any number of
	// successive multiples, without their integer parts, is spread evenly.
	goldenRatio = 0.6180339887498949
)

// Counts are the late requests of all recoveries by what became of them.
type Counts struct{ Placed, Refused uint64 }

// State is the recovery of one pool. The zero value is inactive.
type State struct {
	active bool
	began  clock.Milli
	// returned counts the late requests that have arrived since the recovery began, and returnedWork is the sum of their
	// service times in milliseconds.
	returned     int
	returnedWork float64
	// demand is the service time of requests in time per millisecond, in slots, averaged over
	// demandWindow up to demandAt.
	demand   float64
	demandAt clock.Milli
	// refused counts the refusals of this recovery. The last retry is due at retryUntil.
	refused    int
	retryUntil clock.Milli
	counts     Counts
	losses     losses
}

// losses counts grants that ended by failures.
type losses struct {
	since       clock.Milli
	ended, live int
}

// Begin begins a recovery unless one is active.
func (s *State) Begin(now clock.Milli) {
	if !s.active {
		*s = State{active: true, began: now, demandAt: now, counts: s.counts}
	}
}

// Cancel ends a recovery that began although nothing was lost.
func (s *State) Cancel() { s.active = false }

// Active reports whether a recovery is active.
func (s *State) Active() bool { return s.active }

// Began returns the time at which the last recovery began.
func (s *State) Began() clock.Milli { return s.began }

// SlowStart returns how many of its slots an engine gets that has not reported since the loss.
func (s *State) SlowStart(now clock.Milli, slots int) int {
	share := min(1, firstShare+(1-firstShare)*float64(now-s.began)/float64(slowStartTime))
	return max(1, int(share*float64(slots)))
}

// Counts returns the late requests that were placed and refused.
func (s *State) Counts() Counts { return s.counts }

// NoteLost counts a grant that ended by a failure while this many grants were live. It reports whether
// most of the grants that were live at the first such end have ended so within ReturnWindow of it.
func (s *State) NoteLost(now clock.Milli, live int) bool {
	l := &s.losses
	if l.ended == 0 || now-l.since > ReturnWindow {
		*l = losses{since: now, live: live}
	}
	l.ended++
	return l.ended >= minLost && 2*l.ended > l.live
}

// NoteInTime counts an arriving request in time with its expected service time in milliseconds.
func (s *State) NoteInTime(now clock.Milli, serviceTime float64) {
	s.demand = s.decayedDemand(now) + serviceTime/demandWindow
	s.demandAt = now
}

// NoteReturned counts an arriving request that is late already, with its expected service time in
// milliseconds.
func (s *State) NoteReturned(serviceTime float64) {
	s.returned++
	s.returnedWork += serviceTime
}

// NotePlaced counts a late request that was placed.
func (s *State) NotePlaced() { s.counts.Placed++ }

func (s *State) decayedDemand(now clock.Milli) float64 {
	return s.demand * math.Exp(-float64(now-s.demandAt)/demandWindow)
}

// LateLimit returns how many of these slots late requests may hold: all but those that requests in
// time will hold, with a margin. Requests in time hold their arrival rate times their service time. In
// the first ReturnWindow that rate is not known; the number of clients that return, or of slots that
// others hold, stands for it, since as many slots were in use before the loss.
func (s *State) LateLimit(now clock.Milli, slots, othersHeld int) int {
	elapsed := now - s.began
	var inTime float64
	if elapsed < ReturnWindow {
		returning := float64(s.returned) * float64(ReturnWindow) / float64(max(elapsed, minElapsed))
		inTime = max(returning, float64(othersHeld))
	} else {
		inTime = s.decayedDemand(now) / (1 - math.Exp(-float64(elapsed)/demandWindow))
	}
	return int(max(minShare*float64(slots), float64(slots)-(1+margin)*inTime))
}

// Wait returns the time in milliseconds until a late request behind this many others is placed, if late
// requests may hold limit slots.
func (s *State) Wait(ahead, limit int) float64 {
	mean := s.returnedWork / float64(max(s.returned, 1))
	return float64(ahead+1) * mean / float64(max(limit, 1))
}

// Refuse counts a refusal and returns the time after which a client with this much time left is told
// to retry. The times are spread evenly over what clients honor, because retries that come together
// are refused together.
func (s *State) Refuse(now, left clock.Milli) clock.Milli {
	s.counts.Refused++
	s.refused++
	longest := min(retryShare*float64(left)-float64(deliveryTime), float64(maxRetry))
	_, fraction := math.Modf(float64(s.refused) * goldenRatio)
	retry := minRetry + clock.Milli(fraction*max(0, longest-float64(minRetry)))
	s.retryUntil = max(s.retryUntil, now+retry)
	return retry
}

// EndIfComplete ends the recovery if it is complete: all loads are verified, no late request waits, and no
// client has been told to retry later, or MaxLength has passed.
func (s *State) EndIfComplete(now clock.Milli, unverified, lateWaits bool) {
	since := now - s.began
	if since >= MaxLength || since >= ReturnWindow && !unverified && !lateWaits && now > s.retryUntil {
		s.active = false
	}
}

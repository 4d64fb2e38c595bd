package span

import (
	"maps"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/recovery"
)

// This file handles the return of all clients after a loss of VMs or links. The load addressed is
// that of late short requests: they are placed only as far as they leave the slots that requests in
// time need. Long prompts need whole engines, and plain services have no aims.

// recoveryState is what the pool knows of a recovery. It is empty while the setting is off.
type recoveryState struct {
	on bool
	// pending is set for a new owner without a snapshot until the first request arrives.
	pending bool
	// slowStart is set if nothing is known of the engines' load. It is not set for the successor of a lost
	// owner: gates present the grants, so it knows the load without reports.
	slowStart bool
	state     recovery.State
	// lateGrants are the late requests granted during the recovery.
	lateGrants map[decide.RequestID]bool
	// limit is the number of late grants up to which late requests are placed, in the present scan.
	limit int
	// scannedAt is when the limit was computed.
	scannedAt clock.Milli
}

// RecoveryStatus is the state of the recovery after a loss.
type RecoveryStatus struct {
	Active bool
	Counts recovery.Counts
}

// SetRecovery sets whether the pool limits late requests after a loss.
func (p *Pool) SetRecovery(on bool) {
	if p.recovery.on != on {
		p.recovery = recoveryState{on: on}
	}
}

// Recovery returns the state of the recovery and reports whether the setting is on. It ends a recovery
// that is complete, since no scan does so while no request waits.
func (p *Pool) Recovery(now clock.Milli) (s RecoveryStatus, enabled bool) {
	p.observeRecovery(now)
	return RecoveryStatus{Active: p.recovery.state.Active(), Counts: p.recovery.state.Counts()}, p.recovery.on
}

// expectRecovery makes a recovery begin with the next request, for a new owner without a snapshot.
func (p *Pool) expectRecovery(slowStart bool) {
	if p.recovery.on {
		p.recovery.pending, p.recovery.slowStart = true, slowStart
	}
}

// cancelRecovery ends a recovery of an owner that has received a snapshot: nothing is lost.
func (p *Pool) cancelRecovery() {
	p.recovery.pending = false
	p.recovery.state.Cancel()
}

// noteLost counts a grant that ended by a failure or because its gate is gone. If most grants end so
// at once, clients will return while engines generate output for them.
func (p *Pool) noteLost(now clock.Milli) {
	if !p.recovery.on || !p.recovery.state.NoteLost(now, len(p.grants)) {
		return
	}
	p.recovery.slowStart = false
	p.recovery.state.Begin(now)
	for _, r := range p.packOrder {
		r.reportWanted = r.reportWanted || r.engine != nil
	}
}

// lossOutcome reports whether grants end so if a link or their clients' connections are lost.
func (o Outcome) lossOutcome() bool {
	switch o {
	case Broken, Silent, Unreachable, Crashed, Left:
		return true
	default:
		return false
	}
}

// noteRecoveryArrival counts an arriving short request during a recovery.
func (p *Pool) noteRecoveryArrival(now clock.Milli, w *queuedRequest) {
	c := &p.recovery
	if c.pending {
		c.pending = false
		c.state.Begin(now)
	}
	if !c.state.Active() || w.long || w.prefillTime == 0 {
		return
	}
	serviceTime := startDelay + w.prefillTime + firstPassTime + p.engine.DecodeTime(w.outputTokens(), w.Prompt)
	if w.late(now) {
		c.state.NoteReturned(serviceTime)
	} else {
		c.state.NoteInTime(now, serviceTime)
	}
}

// observeRecovery ends the recovery if it is complete, and computes the limit for the next scan.
func (p *Pool) observeRecovery(now clock.Milli) {
	c := &p.recovery
	if !c.state.Active() {
		c.lateGrants = nil
		return
	}
	if !scanDue(c.scannedAt, now, len(p.packOrder)+len(p.queue)) {
		return
	}
	c.scannedAt = now
	unverified, slots, used := false, 0, 0
	for _, r := range p.pollCandidates() {
		if r.engine == nil || r.draining() {
			continue
		}
		unverified = unverified || r.unverified
		slots += r.engine.Slots
		used += min(r.engine.Slots, r.streams+r.external)
	}
	lateWaits := false
	for _, w := range p.queue {
		lateWaits = lateWaits || w.limitedInRecovery(now)
	}
	maps.DeleteFunc(c.lateGrants, func(id decide.RequestID, _ bool) bool { return p.grants[id] == nil })
	c.limit = c.state.LateLimit(now, slots, used-len(c.lateGrants))
	c.state.EndIfComplete(now, unverified, lateWaits)
}

// limitedInRecovery reports whether the request is one of those that a recovery limits. Requests that
// have begun, and retries that have taken their bookings, are not.
func (w *queuedRequest) limitedInRecovery(now clock.Milli) bool {
	return !w.long && w.prefillTime > 0 && !w.Begun && !w.booked && w.late(now)
}

// heldBack reports whether a request is not placed because late requests hold as many slots as they may.
func (p *Pool) heldBack(now clock.Milli, w *queuedRequest) bool {
	c := &p.recovery
	return c.state.Active() && len(c.lateGrants) >= c.limit && w.limitedInRecovery(now)
}

// noteRecoveryPlaced records a late short request that was granted.
func (p *Pool) noteRecoveryPlaced(w *queuedRequest) {
	c := &p.recovery
	if !c.state.Active() {
		return
	}
	if c.lateGrants == nil {
		c.lateGrants = map[decide.RequestID]bool{}
	}
	c.lateGrants[w.ID] = true
	c.state.NotePlaced()
}

// refuseInRecovery refuses a late short request that will not be placed before its latest useful
// first byte, behind this many others. It reports whether it refused the request; active is false
// if there is no recovery.
func (p *Pool) refuseInRecovery(now clock.Milli, w *queuedRequest, ahead int) (d Decision, refused, active bool) {
	c := &p.recovery
	if !c.state.Active() || !w.limitedInRecovery(now) {
		return Decision{}, false, false
	}
	wait := c.state.Wait(ahead, c.limit)
	if float64(w.latestFirst-now) > wait+w.groupPrefillTime {
		return Decision{}, false, true
	}
	d = overloadRefusal(w, wait)
	d.Retry = c.state.Refuse(now, w.Deadline-now)
	return d, true, true
}

// slotLimit returns how many short requests an engine may hold. During a recovery an engine that has
// not reported since it began may be full of requests of gone clients, so it starts slowly, and gets
// requests although its load is unverified. An isolated owner uses few engines in any case.
func (p *Pool) slotLimit(now clock.Milli, r *upstreamState) (slots int, slowStart bool) {
	c := &p.recovery.state
	if r.engine == nil {
		return 0, false // it left the list while the service was a plain one, and gets no requests
	}
	if !c.Active() || !p.recovery.slowStart || p.isolation.on || r.reportedAt >= c.Began() {
		return r.engine.Slots, false
	}
	return c.SlowStart(now, r.engine.Slots), true
}

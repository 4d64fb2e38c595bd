package relay

import (
	"time"

	"snipeshift.example/lib/clock"
)

const (
	// startHold is how long after its start a VM holds requests until it has its first document.
	// When 295 VMs start together, each has its document after 0.04 to 0.8 s. A VM without one by
	// the end of startHold cannot reach the store, and other VMs serve its requests sooner.
	startHold = clock.Second
	// holdDivisor limits the hold to a quarter of the time that the client will wait: clients give
	// up if their request is not read within a third of that time, and a request that is refused
	// early is served by another VM.
	holdDivisor = 4
)

// awaitDocument holds the request while a VM that has just started does not have its document yet.
// Without the hold, each VM would refuse its first requests after a power loss of all VMs, and
// clients retry only once.
func (x *request) awaitDocument() {
	g := x.gate
	select {
	case <-g.Registry.Known():
		return
	default:
	}
	wait := g.started + startHold - x.arrived
	if x.head.TimeLeft > 0 {
		wait = min(wait, x.head.TimeLeft/holdDivisor)
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case <-g.Registry.Known():
	case <-t.C:
	case <-x.r.Context().Done():
	}
}

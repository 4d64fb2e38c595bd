package relay

import (
	"time"

	"snipeshift.example/lib/clock"
)

const (
	// startHold is how long after its start a VM holds requests for its first document. Of 295 VMs that start together
	// each has it after 0.04 to 0.8 s. One that has none by then cannot reach the store, and other VMs serve better.
	startHold = clock.Second
	// holdPart is the part of what a caller has left, one in so many, for which its request is held: callers that see
	// their request unread for a third of their time give it up, and what is refused early is served elsewhere.
	holdPart = 4
)

// awaitKnowledge holds the request while a VM that has just started does not know its document yet.
// After a loss of power of all VMs each would refuse what comes in its first moments, and callers come back once only.
func (x *flight) awaitKnowledge() {
	g := x.gate
	select {
	case <-g.Registry.Known():
		return
	default:
	}
	wait := g.started + startHold - x.arrived
	if x.head.TimeLeft > 0 {
		wait = min(wait, x.head.TimeLeft/holdPart)
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

package ratelimit

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Aged is a statement in a message between VMs, with its age in place of an instant.
type Aged struct {
	Upstream decide.UpstreamID
	Named    bool
	Rate     PerSecond
	Born     decide.Born
	Age      clock.Milli
}

// Aged makes a message of a statement.
func (s Statement) Aged(now clock.Milli, u decide.UpstreamID) Aged {
	return Aged{Upstream: u, Named: s.Named, Rate: s.Rate, Born: s.Born, Age: now - s.At}
}

// Statement is what a message says, by the clock of who got it.
func (a Aged) Statement(now clock.Milli) Statement {
	return Statement{Named: a.Named, Rate: a.Rate, Born: a.Born, At: now - a.Age}
}

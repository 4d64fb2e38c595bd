package statement

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Aged is a statement in a message between VMs, with durations in place of times, since the clocks
// of VMs differ.
type Aged struct {
	Upstream decide.UpstreamID
	Kind     Kind
	Named    bool
	Rate     PerSecond
	Gate     decide.GateID
	Born     decide.Born
	Age      clock.Milli
	// Left is the remaining duration of a Rest, zero or less once it is over.
	Left clock.Milli
}

// Aged returns the message form of a statement.
func (s Statement) Aged(now clock.Milli, u decide.UpstreamID) Aged {
	a := Aged{Upstream: u, Kind: s.Kind, Named: s.Named, Rate: s.Rate, Gate: s.Gate, Born: s.Born, Age: now - s.At}
	if s.Kind == Rest {
		a.Left = s.Until - now
	}
	return a
}

// Statement returns the statement in terms of the receiver's clock.
func (a Aged) Statement(now clock.Milli) Statement {
	s := Statement{Kind: a.Kind, Named: a.Named, Rate: a.Rate, Gate: a.Gate, Born: a.Born, At: now - a.Age}
	if a.Kind == Rest {
		s.Until = now + a.Left
	}
	return s
}

// Older returns the message as forwarded after a delay.
func (a Aged) Older(by clock.Milli) Aged {
	a.Age += by
	if a.Kind == Rest {
		a.Left -= by
	}
	return a
}

package statement

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Message is a statement in a message between VMs, with durations in place of times, since the clocks
// of VMs differ.
type Message struct {
	Upstream decide.UpstreamID
	Kind     Kind
	Named    bool
	Rate     PerSecond
	Gate     decide.GateID
	Born     decide.Incarnation
	Age      clock.Milli
	// Left is the remaining duration of a BackOff, zero or less once it is over.
	Left clock.Milli
}

// Message returns the message form of a statement.
func (s Statement) Message(now clock.Milli, u decide.UpstreamID) Message {
	a := Message{Upstream: u, Kind: s.Kind, Named: s.Named, Rate: s.Rate, Gate: s.Gate, Born: s.Born, Age: now - s.At}
	if s.Kind == BackOff {
		a.Left = s.Until - now
	}
	return a
}

// Statement returns the statement in terms of the receiver's clock.
func (a Message) Statement(now clock.Milli) Statement {
	s := Statement{Kind: a.Kind, Named: a.Named, Rate: a.Rate, Gate: a.Gate, Born: a.Born, At: now - a.Age}
	if a.Kind == BackOff {
		s.Until = now + a.Left
	}
	return s
}

// Older returns the message as forwarded after a delay.
func (a Message) Older(by clock.Milli) Message {
	a.Age += by
	if a.Kind == BackOff {
		a.Left -= by
	}
	return a
}

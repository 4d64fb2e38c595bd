package statement

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Message is a statement in a message between VMs, with spans in place of instants.
type Message struct {
	Upstream decide.UpstreamID
	Kind     Kind
	Named    bool
	Rate     PerSecond
	Gate     decide.GateID
	Born     decide.Incarnation
	Age      clock.Milli
	// Left is what remains of a Rest; not above zero once it is over.
	Left clock.Milli
}

// Message makes a message of a statement.
func (s Statement) Message(now clock.Milli, u decide.UpstreamID) Message {
	a := Message{Upstream: u, Kind: s.Kind, Named: s.Named, Rate: s.Rate, Gate: s.Gate, Born: s.Born, Age: now - s.At}
	if s.Kind == BackOff {
		a.Left = s.Until - now
	}
	return a
}

// Statement is what a message says, by the clock of who got it.
func (a Message) Statement(now clock.Milli) Statement {
	s := Statement{Kind: a.Kind, Named: a.Named, Rate: a.Rate, Gate: a.Gate, Born: a.Born, At: now - a.Age}
	if a.Kind == BackOff {
		s.Until = now + a.Left
	}
	return s
}

// Older is the message once it was passed on after a span.
func (a Message) Older(by clock.Milli) Message {
	a.Age += by
	if a.Kind == BackOff {
		a.Left -= by
	}
	return a
}

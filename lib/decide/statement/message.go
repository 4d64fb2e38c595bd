package statement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

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
	m := Message{Upstream: u, Kind: s.Kind, Named: s.Named, Rate: s.Rate, Gate: s.Gate, Born: s.Born, Age: now - s.At}
	if s.Kind == BackOff {
		m.Left = s.Until - now
	}
	return m
}

// Statement returns the statement in terms of the receiver's clock.
func (m Message) Statement(now clock.Milli) Statement {
	s := Statement{Kind: m.Kind, Named: m.Named, Rate: m.Rate, Gate: m.Gate, Born: m.Born, At: now - m.Age}
	if m.Kind == BackOff {
		s.Until = now + m.Left
	}
	return s
}

// Older returns the message as forwarded after a delay.
func (m Message) Older(by clock.Milli) Message {
	m.Age += by
	if m.Kind == BackOff {
		m.Left -= by
	}
	return m
}

// LimitsDigest returns a digest of the rate limits among the messages, whatever their order and age; zero if there is none.
func LimitsDigest(ms []Message) uint64 {
	var sum uint64
	for i := range ms {
		if m := &ms[i]; m.Kind == Limit && m.Named {
			sum ^= xxhash.Sum64String(string(m.Upstream) + "\x00" + strconv.FormatFloat(float64(m.Rate), 'g', -1, 64))
		}
	}
	return sum
}

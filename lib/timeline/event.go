// Package timeline records the recent events of a process in bounded memory and merges the events of
// several processes into one causal order.
//
// Every process has one Ring. Messages between processes carry a Stamp: the sender obtains it from
// Ring.SendStamp, the receiver passes it to Ring.ReceiveStamp before it acts on the message. Merge
// then orders the events of all processes so that no effect precedes its cause, although their clocks
// differ.
package timeline

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Event is an event in one process. It never contains text of a prompt or response, nor an API key.
type Event struct {
	// Process is the name of the program. VM and Incarnation identify the run of the program.
	Process     string `json:"process"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Seq counts the events of the process from 1. If the first event returned has a higher number,
	// older ones were overwritten.
	Seq uint64 `json:"seq"`
	// Stamp orders events across processes.
	Stamp Stamp `json:"stamp"`
	// At is the wall-clock time of the process, in milliseconds since the Unix epoch.
	At   clock.Milli `json:"at"`
	Kind Kind        `json:"kind"`

	Request   decide.RequestID   `json:"request,omitempty"`
	Workspace decide.WorkspaceID `json:"workspace,omitempty"`
	Upstream  decide.UpstreamID  `json:"upstream,omitempty"`
	// Peer is the other VM or the pool that the event concerns.
	Peer string `json:"peer,omitempty"`
	// Text is a description for operators, in one line.
	Text string `json:"text,omitempty"`
}

// Filter selects events; the zero value selects all.
type Filter struct {
	Request   decide.RequestID
	Workspace decide.WorkspaceID
	Upstream  decide.UpstreamID
	// Since and Until are inclusive bounds on the millisecond part of the stamp; zero for no bound.
	Since, Until clock.Milli
}

// Match reports whether an event is selected.
func (f Filter) Match(e *Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Workspace != "" && f.Workspace != e.Workspace {
		return false
	}
	if f.Upstream != "" && f.Upstream != e.Upstream {
		return false
	}
	at := e.Stamp.Milli()
	return at >= f.Since && (f.Until == 0 || at <= f.Until)
}

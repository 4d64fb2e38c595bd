// Package placer is the protocol between a gate and the owner of a service: the
// gate asks where to send a request, and tells how it went.
//
// The owner of a service is the live member that rendezvous hashing names. It
// holds no lease and excludes nobody: two owners may give an engine twice for a
// moment, which then queues. What must hold hangs on the gate that holds the
// request. So an owner that is silent is passed over after one unanswered
// question, and a gate that reaches none places by itself.
package placer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// Name is the name under which the receiver is registered with net/rpc.
const Name = "Placer"

// AskArgs asks for a place. The call returns after a decision, or without one
// after Wait; then the gate asks again, which shows that it still waits.
type AskArgs struct {
	Service route.ServiceID
	// Ask has spans in place of instants: what is left until Aim, Patience (zero for none) and Deadline.
	Ask span.Ask
	// Wait is how long the call may wait for the decision.
	Wait clock.Milli
}

// AskReply is the answer to a question.
type AskReply struct {
	// Decided is false while the request is queued.
	Decided bool
	// Grant is set if Fault is empty.
	Grant  span.Grant
	Fault  fault.Kind
	Retry  clock.Milli
	Reason string
	// Queued is how many requests wait, and Granted how many run.
	Queued, Granted int
}

// Event tells what became of a grant.
type Event uint8

// The events of a grant.
const (
	First    Event = iota // the first byte came
	Ended                 // the send is over
	Withdraw              // nothing was sent, and nothing will be
)

// NoteArgs tells of one grant.
type NoteArgs struct {
	Service route.ServiceID
	Request decide.RequestID
	Event   Event
	Outcome span.Outcome
	// Culprit is the upstream at fault if it is not the leader.
	Culprit decide.UpstreamID
}

// PresentArgs names all live grants of a gate at one service.
type PresentArgs struct {
	Service route.ServiceID
	Gate    decide.GateID
	Live    []span.Live
}

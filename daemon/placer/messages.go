// Package placer is the protocol between a gate and the owner of a service: the
// gate asks where to send a request, and tells how it went.
//
// The owner of a service is the VM that holds it (package holder), under an epoch. It excludes nobody: two
// sides of a partition may each have one, and an engine that both give out queues. What must hold hangs
// on the gate that holds the request. A gate that waits too long for an answer asks the next member by rank beside; that one asks the
// owner in its place, and becomes the owner if it is silent. A gate that reaches nobody places by itself.
package placer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
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
	// Epoch is that of the owner that the gate follows; zero for none.
	Epoch uint64
	// Known is that owner, where another VM is asked.
	Known *peer.Holder
	// Forwarded is set if another VM asks in the gate's place.
	Forwarded bool
	// Local is set if the gate reaches nobody and its own VM is to decide, whoever holds the service.
	Local bool
	// Statements of upstreams are those that this owner has not acknowledged yet.
	Statements []statement.Message
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
	// Waited is how long the question waited for its decision, so that its gate knows the time of the way.
	Waited clock.Milli
	// Moved is set if nothing was decided and another VM is to be asked.
	Moved bool
	// Holder is set if another VM holds the service than the one whose epoch the gate gave.
	Holder *peer.Holder
	// Limit is what the owner knows of the limit of the upstream that leads the grant; nil for nothing.
	Limit *statement.Message
}

// Event tells what became of a grant.
type Event uint8

// The events of a grant.
const (
	FirstByte Event = iota // the first byte came
	Ended                  // the send is over
	Withdraw               // nothing was sent, and nothing will be
)

// NoteArgs tells of one grant.
type NoteArgs struct {
	Service route.ServiceID
	Request decide.RequestID
	Event   Event
	Outcome span.Outcome
	// Culprit is the upstream at fault if it is not the leader.
	Culprit decide.UpstreamID
	// Forwarded is set if another VM passes the message on.
	Forwarded bool
	// Statements are those of the grant's upstreams.
	Statements []statement.Message
}

// PresentArgs names all live grants of a gate at one service.
type PresentArgs struct {
	Service route.ServiceID
	Gate    decide.GateID
	Live    []span.LiveGrant
	// Statements of upstreams are those that this owner has not acknowledged yet.
	Statements []statement.Message
}

// PresentReply answers a list of grants.
type PresentReply struct {
	// Holder is set if another VM holds the service; the list was not taken.
	Holder *peer.Holder
}

// TakeArgs hands a service over.
type TakeArgs struct {
	// Holder names the VM that is called, at the epoch after that of the caller.
	Holder peer.Holder
	Books  span.Snapshot
}

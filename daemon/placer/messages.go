// Package placer is the protocol between a gate and the owner of a service: the gate queries the
// owner for the placement of a request and reports how the request went. A gate is the VM that
// holds the client's connection of a request.
//
// The owner of a service is the VM that holds it (package holder), under an epoch. Ownership is not
// exclusive: two sides of a partition may each have an owner. If both place requests on the same
// engine, that engine queues the excess requests. Guarantees that must hold are enforced by the gate
// of the request. A gate that waits too long for an answer also queries the next member by rank;
// that member forwards the query to the owner, and becomes the owner if the owner does not respond.
// A gate that reaches no other VM decides placements by itself.
package placer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Name is the name under which the receiver is registered with net/rpc.
const Name = "Placer"

// AskArgs is a query for the placement of a request. The call returns after a decision, or
// undecided after Wait; the gate then queries again, which also shows that it still waits.
type AskArgs struct {
	Service route.ServiceID
	// Ask has durations in place of instants: the time left until Aim, Patience (zero for none) and
	// Deadline.
	Ask span.Ask
	// Wait is how long the call may block until the decision.
	Wait clock.Milli
	// Epoch is the epoch of the owner that the gate follows; zero for none.
	Epoch uint64
	// Known is the owner that the gate follows, if the query goes to another VM.
	Known *peer.Holder
	// Forwarded is set if another VM sends the query on behalf of the gate.
	Forwarded bool
	// Detour is set if another VM that does not reach the holder sends the query through the receiver, which must not become
	// the holder if it does not reach it either.
	Detour bool
	// Local is set if the gate reaches no other VM, so that its own VM decides whichever VM holds
	// the service.
	Local bool
	// Statements of upstreams are those that this owner has not acknowledged yet.
	Statements []statement.Message
	// Crashes are those that speak against parts of this prompt, as far as the gate knows: the owner may be a new one.
	Crashes []blame.Crash
}

// at returns the request with the instants that follow from the times left now.
func (q *AskArgs) at(now clock.Milli) span.Ask {
	a := q.Ask
	a.Aim += now
	a.Deadline += now
	if a.Patience != 0 { // gates of an earlier version do not send Patience
		a.Patience += now
	}
	return a
}

// AskReply is the answer to a placement query.
type AskReply struct {
	// Decided is false while the request is queued.
	Decided bool
	// Grant is set if Fault is empty.
	Grant  span.Grant
	Fault  fault.Kind
	Retry  clock.Milli
	Reason string
	// Booked is set if capacity is booked for the retry, so that Retry must reach the client unchanged.
	Booked bool
	// Queued and Granted are the numbers of requests waiting and running in the pool.
	Queued, Granted int
	// Waited is how long the call waited for the decision. The gate subtracts it to obtain the
	// network round trip.
	Waited clock.Milli
	// Moved is set if nothing was decided and the gate has to query another VM.
	Moved bool
	// Holder is set if the gate's epoch is not that of the current holder.
	Holder *peer.Holder
	// Limit is the rate limit known for the upstream that leads the grant; nil if none is known.
	Limit *statement.Message
}

// Event is a change in the state of a grant.
type Event uint8

// The events of a grant.
const (
	FirstByte Event = iota // the first byte of the response has arrived
	Ended                  // the send has ended
	Withdraw               // nothing was or will be sent under the grant
)

// NoteArgs reports an event of one grant.
type NoteArgs struct {
	Service route.ServiceID
	Request decide.RequestID
	Event   Event
	Outcome span.Outcome
	// Culprit is the upstream at fault if it is not the leader.
	Culprit decide.UpstreamID
	// Forwarded is set if another VM forwards the message.
	Forwarded bool
	// Statements are those of the grant's upstreams.
	Statements []statement.Message
}

// CarriedArgs passes on statements that upstreams made in responses which the receiver carried for another VM.
type CarriedArgs struct {
	Service    route.ServiceID
	Statements []statement.Message
}

// PresentArgs lists all live grants of a gate at one service.
type PresentArgs struct {
	Service route.ServiceID
	Gate    decide.GateID
	Live    []span.LiveGrant
	// Earlier are the gate's recent sends that earlier owners granted.
	Earlier gate.Sends
	// Statements of upstreams are those that this owner has not acknowledged yet.
	Statements []statement.Message
	// Crashes is the gate's copy of the crashes that speak against parts of prompts, for an owner that may not know them;
	// empty for others. CrashDigest is the digest of that copy.
	Crashes     []blame.Crash
	CrashDigest uint64
	// LimitDigest is the digest of the rate limits of upstreams that the gate knows.
	LimitDigest uint64
}

// PresentReply is the answer to a list of live grants.
type PresentReply struct {
	// Holder is set if another VM holds the service; the list was ignored then.
	Holder *peer.Holder
	// Crashes replaces the gate's copy if NewCrashes is set.
	Crashes    []blame.Crash
	NewCrashes bool
	// Limits are the rate limits of all upstreams that the owner knows, if the gate knows others. A gate that loses the owner
	// decides by itself, also about upstreams that it has not used.
	Limits []statement.Message
}

// PardonArgs clears a part of prompts that is suspected of crashing upstreams, for the operator.
type PardonArgs struct {
	Service route.ServiceID
	Part    blame.Part
}

// PardonReply is the answer to PardonArgs.
type PardonReply struct {
	// Holder is set if another VM holds the service; nothing was cleared then.
	Holder *peer.Holder
	// Suspect reports whether the part was suspect.
	Suspect bool
}

// TakeArgs hands a service over to the called VM.
type TakeArgs struct {
	// Holder is the called VM as holder, at the epoch after that of the VM that hands over.
	Holder peer.Holder
	Books  span.Snapshot
}

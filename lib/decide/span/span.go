// Package span decides which upstream of a service runs a request, and over how many engines the
// prefill of a long prompt is spread.
//
// The workload: prompts of 5,000 tokens, whose prefill takes 20 ms and whose first byte is due in
// 300 ms, share the engines with prompts of 200,000 tokens, whose prefill takes one engine 2.8 s
// and whose first byte is due in 3 s. Engines prefill and decode in passes (batch iterations), so a
// long prefill beside short streams stalls all of them for its whole length. The package keeps each
// pass shorter than the shortest pause that any stream on the engine tolerates, packs short
// requests on few engines so that the others stay free for long prefills, and spreads a long
// prefill over as many free engines as its aim requires.
//
// A Pool uses no sockets, goroutines or clock: the time is an argument, and its tables of
// upstreams, queued requests and grants are its only state. One Pool owns a service. It estimates
// the load of an engine from its own grants, because the engines' load reports lag behind by longer
// than a short request takes.
//
// A gate is the VM that holds the client's connection of a request. An owner is the VM whose Pool
// places the requests of a service.
package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// Ask describes one send of a request to be placed. It does not contain the prompt.
type Ask struct {
	// ID is unique over all gates and over all sends of a request.
	ID        decide.RequestID
	Gate      decide.GateID
	Workspace decide.WorkspaceID
	Urgency   decide.Urgency
	// Prompt and Output are token counts: the length of the prompt and the most tokens of the
	// answer. Both are zero for a plain service.
	Prompt, Output decide.Tokens
	// Aim is the instant by which the first byte should arrive. Patience is the instant at which
	// the client disconnects if no byte has arrived; zero means the Deadline. Deadline is the
	// instant by which the whole answer must have arrived. All are times of the pool's clock.
	Aim, Patience, Deadline clock.Milli
	// Likely is the expected length of the answer in tokens; zero if unknown.
	Likely decide.Tokens
	// Gap is the longest pause between two events that the stream tolerates; zero for no bound.
	Gap clock.Milli
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Avoid lists upstreams on which an earlier send failed.
	Avoid []decide.UpstreamID
	// Suspect is set for a request that was running on an upstream when the upstream crashed. No
	// two such requests are placed on one upstream, so that the next crash shows which of them is
	// at fault.
	Suspect bool
	// Parts are the parts of the prompt that other requests may share.
	Parts []blame.Part
	// Again is set for every send of a request but the first.
	Again bool
	// Begun is set if the request may have run on an upstream already. It is not refused for overload
	// then: the refusal would wrongly state that the request has not run, or break a stream that the
	// client is reading.
	Begun bool
	// Counted is set if nothing was sent under the previous grant of the request. The retry budget
	// counted this send with that grant.
	Counted bool
	// Domain is the failure domain of the gate; empty if unknown.
	Domain route.Domain
	// Fingerprint identifies the request over the client's retries after refusals; zero if unknown.
	Fingerprint uint64
}

// Grant is the permission for one send to run.
type Grant struct {
	Request decide.RequestID
	Gate    decide.GateID
	// Leader is the upstream that is sent the request and writes the answer.
	Leader Placement
	// Helpers compute their parts of the prefill, in this order.
	Helpers []Placement
	// First is the time from the grant within which the first byte is expected.
	First clock.Milli
	// The fields below are copied from the Ask, so that the grant can be presented to another owner.
	// VMs of earlier versions present neither Workspace nor Likely.
	Prompt, Output decide.Tokens
	Gap            clock.Milli
	Stream         bool
	Workspace      decide.WorkspaceID
	Likely         decide.Tokens
}

// Placement is an upstream with the load that a grant puts on it.
type Placement struct {
	Upstream decide.UpstreamID
	// Born is the start time of the upstream's incarnation that was known when the grant was made;
	// zero if unknown.
	Born    decide.Incarnation
	Address string
	// Reserve is the KV memory in tokens that must be reserved on the upstream before the request
	// is sent; zero for none.
	Reserve decide.Tokens
	// Read is the prefill time in milliseconds that the grant adds.
	Read float64
}

// Action is the kind of a Decision.
type Action uint8

// The kinds of Decision.
const (
	Granted Action = iota
	Refused
)

// Decision is the result of a Tick for one request.
type Decision struct {
	Action  Action
	Request decide.RequestID
	Gate    decide.GateID
	Grant   Grant
	// Fault and Retry are set for a refusal. Retry is the time after which the client should try
	// again.
	Fault fault.Kind
	Retry clock.Milli
	// BookedAt is the time of the pool's clock for which capacity is booked for the retry of a refused
	// client; zero for none. Retry is the time until then.
	BookedAt clock.Milli
	// Reason names the rule that decided, for the log.
	Reason string
	// Limit is the last known rate limit of the leader; nil if it declared none.
	Limit *statement.Message
}

// Outcome is the way a send ended, as far as the outcome affects the health of the upstream.
type Outcome uint8

// The outcomes of a send.
const (
	// Done is a complete answer. It may report a failure of the request.
	Done Outcome = iota
	// Failed is an answer of the upstream that reports its own failure.
	Failed
	// Full is an answer with which the upstream rejects the request for lack of room, without
	// running it.
	Full
	// Broken is an answer that was cut off, garbled or from another server.
	Broken
	// Silent is an upstream that did not answer, or stopped in the middle of the answer.
	Silent
	// Unreachable is a refused connection, or an address at which another server answers.
	Unreachable
	// Left carries no information on the upstream: the client disconnected or the send never
	// happened.
	Left
	// Crashed is a response that the upstream broke off before it became unreachable.
	Crashed
)

var outcomeNames = [...]string{
	Done: "done", Failed: "failed", Full: "full", Broken: "broken", Silent: "silent", Unreachable: "unreachable", Left: "left", Crashed: "crashed",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// LiveGrant is a grant in use, as its gate presents it.
type LiveGrant struct {
	Grant Grant
	// Writing is set once the first byte has arrived.
	Writing bool
}

// Rules are the limits by which a Pool places requests.
type Rules struct {
	// MaxShortRead is the longest prefill in milliseconds that is placed beside short streams. Such
	// a prefill fits into the pass of an engine whose streams tolerate pauses of 200 ms: the
	// decoding in that pass takes 55 ms.
	MaxShortRead float64
	// PackedStreams is how many short streams an engine receives while other engines have room.
	PackedStreams int
	// PartRead is the prefill time in milliseconds of one engine's part of a long prompt while
	// enough engines are free.
	PartRead float64
	// MaxGroup is the most engines over which one prefill is spread.
	MaxGroup int
	// PauseFraction is the fraction of a tolerated pause that a pass may take.
	PauseFraction float64
	// InterleavedFraction is that fraction for a pass that computes a part of a long prefill beside
	// short streams. The remainder is left for short prompts that arrive meanwhile.
	InterleavedFraction float64
}

// DefaultRules are the usual rules. The fields of Rules explain the values.
var DefaultRules = Rules{MaxShortRead: 120, PackedStreams: 12, PartRead: 200, MaxGroup: 16, PauseFraction: 0.9, InterleavedFraction: 0.7}

// Package span decides which upstream of a service answers a request, and over
// how many engines the reading of a long prompt is spread.
//
// The load it is made for: prompts of five thousand tokens, read in 20 ms and due
// in 300 ms, share the engines with prompts of two hundred thousand, which take one
// engine 2.8 s and are due in 3 s. Engines read and write in passes, so a long read
// beside short streams stalls all of them for its whole length. The decisions
// keep each pass shorter than the shortest pause that any stream on the engine
// bears, pack short work on few engines so that the others stay free for long
// reads, and spread a long read over as many free engines as its aim needs.
//
// A Pool has no sockets, no goroutines and no clock: the time is an argument, and
// its tables of upstreams, queued requests and grants are its only state. One
// Pool owns a service; what it granted is all that it knows of an engine's load,
// since engines' own reports lag behind by longer than a short request takes.
package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
)

// Ask is what the pool knows of one send of a request. It never holds the prompt.
type Ask struct {
	// ID is unique over all gates and over the sends of a request.
	ID        decide.RequestID
	Gate      decide.GateID
	Workspace decide.WorkspaceID
	Urgency   decide.Urgency
	// Prompt and Output are token counts; both zero for a plain service.
	Prompt, Output decide.Tokens
	// Aim is the instant by which the first byte should come, Patience the one at which the
	// caller leaves if none has come, zero for the Deadline, and Deadline the one by which
	// the whole answer must be there. All are of the pool's clock.
	Aim, Patience, Deadline clock.Milli
	// Likely is how many tokens the answer will probably have; zero if nothing is known.
	Likely decide.Tokens
	// Gap is the longest pause between two events that the stream bears; zero for any.
	Gap clock.Milli
	// Stream is set where the answer is a series of events.
	Stream bool
	// Avoid lists upstreams where an earlier send failed.
	Avoid []decide.UpstreamID
	// Suspect is set for a request that an upstream died of. No two share an upstream:
	// if it dies, one of them is known to be at fault.
	Suspect bool
	// Again is set for every send of a request but the first.
	Again bool
	// Counted is set if nothing was sent under the request's grant before: the budget of repeats has counted this send with it.
	Counted bool
}

// Grant lets one send run.
type Grant struct {
	Request decide.RequestID
	Gate    decide.GateID
	// Leader is sent the request, and writes the answer.
	Leader Placement
	// Helpers read their parts of the prompt, in this order.
	Helpers []Placement
	// First is the span within which the first byte is expected.
	First clock.Milli
	// Prompt, Output, Gap and Stream are those of the Ask, so that a grant can be
	// presented to another owner.
	Prompt, Output decide.Tokens
	Gap            clock.Milli
	Stream         bool
}

// Placement is an upstream with the work that a grant puts on it.
type Placement struct {
	Upstream decide.UpstreamID
	// Born is the upstream's life that was known when the place was chosen.
	Born    decide.Incarnation
	Address string
	// Reserve is the KV memory in tokens that must be reserved there before the
	// request is sent; zero for none.
	Reserve decide.Tokens
	// Read is the reading in milliseconds that the grant adds.
	Read float64
}

// Action tells what a Decision is.
type Action uint8

// The kinds of decision.
const (
	Granted Action = iota
	Refused
)

// Decision is one result of a tick.
type Decision struct {
	Action  Action
	Request decide.RequestID
	Gate    decide.GateID
	Grant   Grant
	// Fault and Retry belong to a refusal; Retry is when coming back may help.
	Fault fault.Kind
	Retry clock.Milli
	// Reason names the rule that decided, for the log.
	Reason string
	// Limit is what is known of the limit of the upstream that leads; nil for nothing.
	Limit *statement.Message
}

// Outcome tells how a send ended, as far as it says something of the upstream.
type Outcome uint8

// The ways a send ends.
const (
	// Done is a whole answer, also one that tells of a failure.
	Done Outcome = iota
	// Failed is an answer of the upstream's own that tells of its failure.
	Failed
	// Full is an upstream's word that it had no room and ran nothing.
	Full
	// Broken is an answer that was cut off, garbled or somebody else's.
	Broken
	// Silent is an upstream that did not answer, or stopped in the middle.
	Silent
	// Refused connections and upstreams that are somebody else.
	Unreachable
	// Left says nothing: the caller went away or the send never happened.
	Left
)

var outcomeNames = [...]string{
	Done: "done", Failed: "failed", Full: "full", Broken: "broken", Silent: "silent", Unreachable: "unreachable", Left: "left",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// LiveGrant is a grant in use, presented by its gate.
type LiveGrant struct {
	Grant Grant
	// Writing is set once the first byte came.
	Writing bool
}

// Rules are the pool's limits.
type Rules struct {
	// MaxShortRead is the longest read in milliseconds that is placed among short
	// streams. It is what fits into the pass of an engine whose streams bear
	// pauses of 200 ms: the pass itself takes 55.
	MaxShortRead float64
	// PackedStreams is how many short streams an engine takes while others have room.
	PackedStreams int
	// PartRead is the reading in milliseconds that one engine takes of a long
	// prompt while enough engines are free.
	PartRead float64
	// MaxGroup is the most engines that read one prompt.
	MaxGroup int
	// PauseFraction is the share of a pause that a pass may fill.
	PauseFraction float64
	// InterleavedFraction is that share for a pass which reads a part of a long prompt beside short
	// streams: the rest is for short prompts that come meanwhile.
	InterleavedFraction float64
}

// DefaultRules are explained at each field of Rules.
var DefaultRules = Rules{MaxShortRead: 120, PackedStreams: 12, PartRead: 200, MaxGroup: 16, PauseFraction: 0.9, InterleavedFraction: 0.7}

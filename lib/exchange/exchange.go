// Package exchange describes one request and its answer apart from the protocol
// that carries them: what a gate must know to admit, place, send, judge and
// refuse. A codec of each protocol fills and reads these types.
package exchange

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// RequestHead is what the header of a caller's request says.
type RequestHead struct {
	// ID names this attempt of the caller's; each repeat has another. Empty if none came.
	ID string
	// Key proves the workspace; empty if none came.
	Key route.Key
	// TimeLeft is how long the caller will wait from the arrival on; zero if it did not say.
	TimeLeft clock.Milli
	// Prompt and Output are the tokens of the prompt and the most that are written.
	Prompt, Output decide.Tokens
	// Hint is the caller's guess of the tokens that will be written; zero if it gave none. Half
	// of the guesses are too low, and some are far off.
	Hint decide.Tokens
	// LastEventID is the id of the last event that the caller has of this stream; empty
	// for a stream from the start.
	LastEventID string
}

// Send is what an upstream is told beside the caller's own header.
type Send struct {
	Upstream  decide.UpstreamID
	Workspace decide.WorkspaceID
	// TimeLeft is how long the caller still waits; the upstream stops then.
	TimeLeft clock.Milli
	// KeyRequired is set where callers prove themselves by a key, which is not passed on.
	KeyRequired bool
	// Helpers read parts of the prompt.
	Helpers []Helper
	// LastEventID is the id of the last event that the caller has; empty for all of them.
	LastEventID string
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Address string
	// Ticket names memory reserved there; empty for none.
	Ticket string
}

// Load is an upstream's own word on its work, some hundred milliseconds old.
type Load struct {
	// Requests are those that run and those that wait.
	Requests int
	// Used is the KV memory that cannot yield.
	Used decide.Tokens
	// Pace is how many times as long as usual its work takes; zero if it does not say.
	Pace float64
	// Born is the life that speaks; zero if it does not say.
	Born     decide.Incarnation
	Declared Declared
}

// Reserved is an engine's answer to an order that sets memory aside.
type Reserved struct {
	// Accepted is false if it has not so much free.
	Accepted bool
	Declared Declared
}

// ResponseHead is what the header of an upstream's answer says of itself.
type ResponseHead struct {
	// Matches is set if the answer says that it belongs to the request that was sent.
	// Without it the bytes may belong to an earlier request on the connection.
	Matches bool
	// Signed is set if an upstream vouches for the answer.
	Signed bool
	// NotRun is set if the upstream says that it ran nothing of the request.
	NotRun bool
	// Misdirected is set if the address belongs to another upstream than the one meant.
	Misdirected bool
	// Culprit is the address of the upstream at fault, where the answer names another one.
	Culprit  string
	Declared Declared
}

// Package exchange describes a request and its response independently of the protocol:
// the data with which a gate (the VM that holds the client's connection) admits, places, sends,
// checks and refuses a request. A codec for each protocol translates these types.
package exchange

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/route"
)

// RequestHead is the data in the header of a client's request.
type RequestHead struct {
	// ID identifies this attempt of the client; each retry has a different one. Empty if absent.
	ID string
	// Key is the API key that identifies the workspace; empty if absent.
	Key route.Key
	// TimeLeft is how long the client will wait, counted from the arrival; zero if not declared.
	TimeLeft clock.Milli
	// Prompt is the length of the prompt, and Output the maximum length of the response, in tokens.
	Prompt, Output decide.Tokens
	// Hint is the client's estimate of the length of the response, in tokens; zero if it gave none.
	// Half of the estimates are too low, and some are far off.
	Hint decide.Tokens
	// LastEventID is the id of the last event of this stream that the client has; empty for a
	// stream from the start.
	LastEventID string
	// Parts are the parts of the prompt in order, empty if not declared. The last one belongs to the request itself or
	// to its session, the others may be shared by any requests.
	Parts []blame.Part
}

// Send is the data that the gate adds to the client's header in the request to an upstream.
type Send struct {
	Upstream  decide.UpstreamID
	Workspace decide.WorkspaceID
	// TimeLeft is how long the client still waits; after that the upstream stops.
	TimeLeft clock.Milli
	// KeyRequired is set if clients authenticate by a key, which must not be passed on.
	KeyRequired bool
	// Helpers are the engines that compute parts of the prefill.
	Helpers []Helper
	// LastEventID is the id of the last event that the client has; empty for a stream from the start.
	LastEventID string
}

// Helper is an engine that computes a part of the prefill for the leader of a group.
type Helper struct {
	Address string
	// Ticket is the name of the memory reservation on the helper; empty for none.
	Ticket string
}

// Load is an upstream's own report on its load, which is some hundred milliseconds old.
type Load struct {
	// Requests is the number of running and waiting requests.
	Requests int
	// Used is the KV memory in use that cannot be evicted.
	Used decide.Tokens
	// Pace is the current duration of the upstream's work relative to the usual duration (2 means half
	// as fast); zero if not reported.
	Pace float64
	// Born is the start time of the upstream's incarnation that reports; zero if not reported.
	Born     decide.Incarnation
	Declared Declared
}

// Reserved is an engine's response to a request to reserve KV memory.
type Reserved struct {
	// Accepted is false if the engine does not have enough free memory.
	Accepted bool
	Declared Declared
}

// ResponseHead is the data in the header of an upstream's response.
type ResponseHead struct {
	// Matches is set if the response carries the id of the request that was sent. Otherwise it may
	// be the response to an earlier request on the connection.
	Matches bool
	// Signed is set if the response carries an upstream's signature. Without one, it may come
	// from an intermediary.
	Signed bool
	// NotRun is set if the upstream declares that it did not run any part of the request.
	NotRun bool
	// Misdirected is set if the address now belongs to a different upstream than the intended one.
	Misdirected bool
	// Culprit is the address of the upstream that caused the failure, if the response names another
	// upstream than the sender; otherwise empty.
	Culprit  string
	Declared Declared
}

// Package decide makes the scheduling decisions of a pool, the upstreams of one model or service:
// which requests to admit, queue or refuse, where to place them, and how many upstreams to reserve
// for long and for urgent work.
//
// It has no sockets, no goroutines and no wall clock. A Pool is a set of tables (requests,
// upstreams, grants, workspaces). Its methods enter changes, and Tick processes the tables in a
// fixed order (apply changes, expire, admit or refuse, place, resize the sets of upstreams reserved
// for long and for urgent work) and returns the decisions. The caller does all locking and passes
// the current time.
package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

// Identifiers and units.
type (
	// RequestID identifies a request, including its retries.
	RequestID string
	// WorkspaceID names a workspace (a customer of the system) of the configuration document.
	WorkspaceID string
	// UpstreamID names an upstream of the configuration document.
	UpstreamID string
	// Incarnation is the start time of one run of an upstream, in Unix milliseconds by the clock of
	// the upstream; zero if unknown. It distinguishes and orders the runs of one upstream.
	Incarnation int64
	// GateID names a gate, the VM that holds the client's connection of a request, and the
	// incarnation of its process.
	GateID string
	// GrantID is unique across successive owners of a pool: its upper 32 bits are Config.Epoch.
	GrantID uint64
	// Epoch distinguishes successive owners of a pool; a later owner has a larger epoch.
	Epoch uint64
	// Tokens is a number of prompt or output tokens, or an amount of KV memory in tokens.
	Tokens int64
	// Rate is in tokens per second.
	Rate float64
	// PrefixHash is the hash of the leading blocks of a prompt up to one block boundary, a part that prompts may share.
	PrefixHash = blame.Part
	// Urgency orders kinds of requests: 0 is the most urgent, 3 the least. Larger values count as
	// 3.
	Urgency uint8
)

// Request is a request as the owner of a pool sees it, the VM that queues and places the requests
// of the pool. It does not contain the prompt.
type Request struct {
	ID        RequestID
	Workspace WorkspaceID
	Gate      GateID
	Urgency   Urgency
	// Deadline is the time, on the owner's clock, by which the answer must be complete.
	Deadline clock.Milli
	// Prompt and Output are estimates: a quarter of the prompt's bytes, and the client's output
	// limit or the usual output length of the kind.
	Prompt, Output Tokens
	// Prefixes are hashes of leading parts of the prompt, each twice as long as the one before.
	// Entry i covers PrefixTokens(i).
	Prefixes []PrefixHash
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Avoid lists upstreams on which the request failed before.
	Avoid []UpstreamID
	// Suspect is set if an upstream crashed while running the request. A suspect runs alone on its
	// upstream.
	Suspect bool
	// Fingerprint is equal for requests with equal content; zero if unknown.
	Fingerprint uint64
	// Parts are the parts of the request that others may share.
	Parts []blame.Part
}

// PrefixBlock is the length in tokens of the first entry of Request.Prefixes.
const PrefixBlock Tokens = 1024

// Upstream is the configuration of an engine or a plain service.
type Upstream struct {
	ID UpstreamID
	// Memory is KV memory in tokens; zero for a plain service.
	Memory Tokens
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Prefill is the rated prefill speed of the engine, Decode the rated output speed of one
	// request.
	Prefill, Decode Rate
	// Leaving is set for an upstream that is shutting down. It keeps its grants and receives no new
	// ones.
	Leaving bool
}

// Report is the load that an engine reports. Reports lag behind the actual load.
type Report struct {
	// At is the time at which the report was received.
	At clock.Milli
	// Running lists the requests for which the engine still holds memory.
	Running []RequestID
	// Used is the KV memory in tokens that the engine reports as occupied by requests and exports.
	Used Tokens
	// Leaving is set by an engine that is shutting down.
	Leaving bool
}

// Hint reports that an upstream added a prefix to its cache or evicted one. Seq is consecutive; a
// gap means that events were lost.
type Hint struct {
	Seq    uint64
	Prefix PrefixHash
	// Evicted is set if the prefix was evicted, and clear if it was added.
	Evicted bool
}

// Grant is the permission for one request to run on one upstream, or on a group of upstreams of one
// failure domain, under a lease.
type Grant struct {
	ID        GrantID
	Epoch     Epoch
	Request   RequestID
	Workspace WorkspaceID
	Gate      GateID
	Urgency   Urgency
	// Priority is the priority passed to the engine, 0 first. All short prompts rank before all
	// long ones, and by urgency within each, so that an engine interrupts a long prefill for a
	// short one.
	Priority uint8
	// Upstreams has one entry, or all engines of a group in ascending order, of which the first is
	// the leader and runs the prefill.
	Upstreams []UpstreamID
	// Reserved is the memory reserved on each upstream of the group, in tokens.
	Reserved       Tokens
	Prompt, Output Tokens
	// Until is the time at which the lease expires unless renewed, on the owner's clock.
	Until clock.Milli
	// Deadline is the deadline of the request, on the owner's clock.
	Deadline clock.Milli
	// Suspect is set if the grant must be the only one on its upstreams.
	Suspect bool
	// Fingerprint is the fingerprint of the request.
	Fingerprint uint64
}

// Outcome is the way in which a grant ended.
type Outcome uint8

// Outcomes.
const (
	Done      Outcome = iota // the answer is complete
	Failed                   // the upstream answered with an error or cut the stream
	Lost                     // the upstream crashed or its VM is gone
	Unused                   // returned before any byte was sent
	Canceled                 // the client disconnected; the engine was notified
	Unreached                // no connection could be opened to the upstream, so nothing was sent
)

// Action is the kind of a Decision.
type Action uint8

// Actions.
const (
	Granted Action = iota // answer the gate with Grant
	Refused               // answer the gate with Fault and Retry
	Lapsed                // Grant ended but may still run: cancel it at its upstreams until their reports omit it
	Ordered               // send Order to Order.Upstream
)

// Order directs an engine to a new role.
type Order struct {
	Upstream UpstreamID
	// Role is "short", "long" or "any".
	Role string
}

// Decision is one result of a tick.
type Decision struct {
	Action  Action
	Request RequestID
	Gate    GateID
	Grant   Grant
	Fault   fault.Kind
	// Retry is, for a refusal, the time after which to try again; zero if trying again is
	// pointless.
	Retry clock.Milli
	Order Order
}

// Workspace is the configuration of a workspace.
type Workspace struct {
	ID WorkspaceID
	// Weight is the share of the workspace relative to others of the same urgency; at least 1.
	Weight float64
}

// Config is the configuration of a pool.
type Config struct {
	// Epoch must be larger than that of every earlier owner of this pool.
	Epoch Epoch
	// Lease is the duration of a grant without renewal.
	Lease clock.Milli
	// Recovery is how long a new owner waits for gates to present grants of the earlier owner. In
	// this time it grants only memory that the reports of the upstreams also show as free.
	Recovery clock.Milli
	// Seed is for tie-breaks, so that repeated runs agree. It is currently unused.
	Seed uint64
	// LongPrompt is the prompt length from which a request counts as long; zero selects
	// DefaultLongPrompt.
	LongPrompt Tokens
	// MinPerRole is the minimum number of upstreams per role while roles change; zero means one.
	MinPerRole int
	// ReportLag is the maximum age of an engine's report; zero selects DefaultReportLag. A report
	// proves nothing about events less than ReportLag before its arrival.
	ReportLag clock.Milli
	// ProgressDelay is the maximum delay with which gates report first tokens. A first token counts
	// as overdue only after this additional time.
	ProgressDelay clock.Milli
}

// Summary is the state of a pool as sent to other VMs in heartbeats.
type Summary struct {
	// Wait is the estimated wait of a short request that arrives now, by urgency 0 to 3.
	Wait [4]clock.Milli
	// Long is the estimated wait of a long request, by urgency, including the wait for memory.
	Long [4]clock.Milli
	// Queued and Running are numbers of requests.
	Queued, Running int
	// Free is the free KV memory in tokens on upstreams that accept new work.
	Free Tokens
	// Largest is the total KV memory in tokens of these upstreams, the bound for a prompt that
	// spans a group of engines.
	Largest Tokens
	// Crashes are those that speak against parts of requests, for other pools of the same model or service and for
	// the next owner of this one.
	Crashes []blame.Crash
}

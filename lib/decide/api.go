// Package decide holds every decision that snipeshift makes under load: admit,
// queue, refuse, place and shift.
//
// It has no sockets, no goroutines and no wall clock. A Pool is a set of
// tables (requests, upstreams, grants, workspaces); its methods put typed
// values in, and Tick runs the systems over the tables in a fixed order
// (expire, admit, refuse, queue, place, shift) and returns what was decided.
// The caller owns all locking and passes the time in.
package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// Ids and units.
type (
	// RequestID identifies one request over its whole life.
	RequestID string
	// WorkspaceID names a workspace of the document.
	WorkspaceID string
	// UpstreamID names an upstream of the document.
	UpstreamID string
	// Incarnation is the Unix millisecond, by the upstream's own clock, at which one of its lives began; zero
	// where it is not told. Lives of one upstream are told apart and ordered by it.
	Incarnation int64
	// GateID names the VM and incarnation that holds the caller's connection.
	GateID string
	// GrantID is unique over owners: its upper bits come from Config.Epoch.
	GrantID uint64
	// Epoch tells successive owners of a pool apart; a later owner has a larger one.
	Epoch uint64
	// Tokens counts prompt or output tokens, and KV memory in tokens.
	Tokens int64
	// Rate is tokens per second.
	Rate float64
	// PrefixHash is the hash of a prompt's leading blocks, up to one boundary.
	PrefixHash uint64
	// Urgency orders kinds: 0 answers immediately, larger waits.
	Urgency uint8
)

// Request is what the owner of a pool knows of a request. It never holds the prompt.
type Request struct {
	ID        RequestID
	Workspace WorkspaceID
	Gate      GateID
	Urgency   Urgency
	// Deadline is an instant of the owner's clock by which the answer must be whole.
	Deadline clock.Milli
	// Prompt and Output are estimates: bytes over four, and the caller's limit or the kind's usual length.
	Prompt, Output Tokens
	// Prefixes are hashes of growing leading parts of the prompt, longest last; entry i covers PrefixTokens(i).
	Prefixes []PrefixHash
	// Repeatable tells whether it may run twice.
	Repeatable bool
	// Avoid lists upstreams where it failed already.
	Avoid []UpstreamID
	// Suspect is set when an upstream died while running it; it then runs alone.
	Suspect bool
	// Fingerprint is equal for requests with the same content; zero if unknown.
	Fingerprint uint64
}

// PrefixBlock is the length in tokens of the first of Request.Prefixes; each next one is twice as long.
const PrefixBlock Tokens = 1024

// Upstream is one engine or plain service as configured.
type Upstream struct {
	ID UpstreamID
	// Memory is KV memory in tokens; zero for a plain service.
	Memory Tokens
	// Slots is how many requests run at once at most.
	Slots int
	// Prefill and Decode are the rated speeds: prompt tokens per second of the
	// engine, and output tokens per second of one request.
	Prefill, Decode Rate
	// Leaving upstreams keep their grants and get no new one.
	Leaving bool
}

// Report is an engine's own word on its load. It lags.
type Report struct {
	// At is when it was received.
	At clock.Milli
	// Running lists requests the engine still holds memory for.
	Running []RequestID
	// Used is KV memory in tokens that the engine says is taken by requests and exports.
	Used Tokens
	// Leaving is set by an engine that is stopping.
	Leaving bool
}

// Hint is one cache event. Seq has a gap where events were lost.
type Hint struct {
	Seq    uint64
	Prefix PrefixHash
	// Evicted is false when the prefix was added.
	Evicted bool
}

// Grant lets one request run on one upstream, or on several of one failure domain.
type Grant struct {
	ID        GrantID
	Epoch     Epoch
	Request   RequestID
	Workspace WorkspaceID
	Gate      GateID
	Urgency   Urgency
	// Priority is for the engine, 0 first: all short prompts by urgency, then
	// all long ones, so that a long prefill is interrupted for a short one.
	Priority uint8
	// Upstreams has one entry, or all engines of a group in ascending order; the first one leads.
	Upstreams []UpstreamID
	// Reserved is the memory taken on each upstream of the group, in tokens.
	Reserved       Tokens
	Prompt, Output Tokens
	// Until is when the lease lapses unless renewed, on the owner's clock.
	Until clock.Milli
	// Deadline is the request's, on the owner's clock.
	Deadline clock.Milli
	// Suspect grants run alone on their upstream.
	Suspect bool
	// Fingerprint is the request's.
	Fingerprint uint64
}

// Outcome tells how a grant ended.
type Outcome uint8

// The ways a grant ends.
const (
	Done     Outcome = iota // whole answer
	Failed                  // the upstream answered with an error or cut the stream
	Lost                    // the upstream is gone
	Unused                  // returned before any byte was sent
	Canceled                // the caller went away; the engine was notified
)

// Action tells what a Decision asks of the adapter.
type Action uint8

// The kinds of decision.
const (
	Granted Action = iota // answer the gate with Grant
	Refused               // answer the gate with Fault and Retry
	Lapsed                // Grant's lease or deadline ran out: cancel it at Grant.Upstreams until their reports show it gone
	Ordered               // send Order to Order.Upstream
)

// Order asks an engine to change what it serves.
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
	// Retry is when to come back, for a refusal.
	Retry clock.Milli
	Order Order
}

// Workspace is a workspace as configured.
type Workspace struct {
	ID WorkspaceID
	// Weight is its share relative to others of the same urgency; at least 1.
	Weight float64
}

// Config sets up a pool.
type Config struct {
	// Epoch must be larger than that of every earlier owner of this pool.
	Epoch Epoch
	// Lease is how long a grant lives without renewal.
	Lease clock.Milli
	// Recovery is how long a new owner waits for gates to present grants of the
	// earlier owner; meanwhile it grants only what reports also show free.
	Recovery clock.Milli
	// Seed is for tie-breaks, so that two runs agree.
	Seed uint64
	// LongPrompt is the prompt length from which a request counts as long; zero means DefaultLongPrompt.
	LongPrompt Tokens
	// MinPerRole is how many upstreams each role keeps while orders move them; zero means one.
	MinPerRole int
	// ReportLag is the oldest that an engine's report may be; zero means DefaultReportLag.
	// A report proves nothing about what happened less than Lag before it.
	ReportLag clock.Milli
	// ProgressDelay is how late the word of a first token may be. Its absence says
	// nothing of an upstream's speed before that.
	ProgressDelay clock.Milli
}

// Summary is what a pool tells other VMs in heartbeats.
type Summary struct {
	// Wait is the estimated wait of a short request that arrives now, by urgency 0 to 3.
	Wait [4]clock.Milli
	// Long is the same for a long request, which waits for memory too.
	Long [4]clock.Milli
	// Queued and Running count requests.
	Queued, Running int
	// Free is the free KV memory in tokens on upstreams that take new work.
	Free Tokens
	// Largest is the longest prompt that fits an engine or a group of them.
	Largest Tokens
}

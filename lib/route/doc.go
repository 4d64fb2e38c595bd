// Package route describes the routes in force: which service serves a request,
// who may send it, how often it may run and within what time.
//
// A Document is the configuration as the operator wrote it; a Table is a document
// indexed for looking up requests. Both are immutable.
package route

import (
	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
)

// Names and version numbers.
type (
	// Revision is the version number of a document; a larger one is newer.
	Revision uint64
	// StoreRevision is a revision number of the platform's store. Within one era, a larger number is later.
	StoreRevision uint64
	// Era is the number of a history of the store. It rises when the store restarts from an older copy,
	// after which the store assigns revision numbers again; zero if the store does not report its era.
	Era uint64
	// ServiceID names a service: a set of interchangeable upstreams.
	ServiceID string
	// Domain is the name of a failure domain.
	Domain string
	// Key is a secret that identifies and authenticates a client's workspace.
	Key string
)

// Repeat defines how often a request may run.
type Repeat uint8

// Values of Repeat.
const (
	// Once means that the request must run at most once, since a second run has an effect of its
	// own, such as sending a notice twice.
	Once Repeat = iota
	// Repeatable means that the request is idempotent.
	Repeatable
	// Resumable means that another upstream may continue a stream after the last event that
	// arrived completely.
	Resumable
)

// Document is the operator's complete configuration of routes, services, workspaces and limits.
type Document struct {
	Revision   Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route defines how requests to one host under one path prefix are handled.
type Route struct {
	Name string
	// Host is compared without regard to case and without a port.
	Host string
	// Prefix begins and ends with a slash; the longest matching prefix applies.
	Prefix string
	// Targets has at least one entry.
	Targets []Target
	Repeat  Repeat
	// Stream is set if the response is a stream of events.
	Stream bool
	// Timeout is the maximum time from a request's arrival to its complete response.
	Timeout clock.Milli
	// Aim is the target for the time to the first byte; a response within it has its full value.
	Aim clock.Milli
	// Patience is how long a client waits for the first or the next event of a stream
	// before it disconnects; zero if it waits until the timeout.
	Patience clock.Milli
	// Gap is the target for the longest pause between two events of a response; zero for no target.
	Gap clock.Milli
	// Attempts is the maximum number of sends after which a request may have run; at least 1.
	Attempts int
	// Urgency is the priority in queues; 0 is served first.
	Urgency int
	// Public is set if requests need no key.
	Public bool
}

// Target is a service to which a route sends a share of its requests.
type Target struct {
	Service ServiceID
	// Weight is the share relative to the other targets; at least 1.
	Weight int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID ServiceID
	// Connections is the maximum number of connections to one upstream from all VMs together; zero
	// for no bound.
	Connections int
	// Engine is the cost model of the service's engines; nil for a plain service.
	Engine *Engine
	// WarmUp is how long an upstream is cold after its start; it is slow then, and crashes under more
	// than ColdRate requests a second from all VMs together. Zero if upstreams need no warm-up.
	WarmUp   clock.Milli
	ColdRate statement.PerSecond
}

// Engine is the cost model of a language-model engine. The engine works in passes (batch
// iterations): each step of a pass decodes one token of every stream, and prefills a
// part of the waiting prompts.
type Engine struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Memory is the capacity of the KV memory in tokens.
	Memory decide.Tokens
	// Step is the base time of one step. Writer is added for each stream that is decoded, and
	// Context for each 1,000 tokens of a stream's context. All are in milliseconds.
	Step, Writer, Context float64
	// Read is the linear part of the prefill speed, in prompt tokens per millisecond.
	Read float64
	// Pairs is the quadratic part of the prefill time: milliseconds per million pairs of a token and
	// an earlier token.
	Pairs float64
	// Stride is the number of steps in a pass while any stream is decoded.
	Stride int
	// Hop is the time in milliseconds that each step takes longer for a prompt spread over several
	// engines.
	Hop float64
	// Lag is the age of an engine's load report when it is received.
	Lag clock.Milli
}

// Workspace is a customer, which is charged for its requests, with its keys.
type Workspace struct {
	ID   decide.WorkspaceID
	Keys []Key
	// Urgency overrides that of the route; nil for no override.
	Urgency *int
}

// Limits bound the requests and connections of clients. Zero means no bound.
type Limits struct {
	// Header and Body are the maximum sizes in bytes.
	Header, Body int
	// Reading is the maximum time for receiving a header, Idle the maximum time that a connection
	// stays open without a request.
	Reading, Idle clock.Milli
}

// Upstream is one incarnation of a process that serves a service.
type Upstream struct {
	ID decide.UpstreamID
	// Born is the start time of the incarnation: an upstream that crashed may restart under the
	// same ID.
	Born    decide.Incarnation
	Service ServiceID
	// Address may be reused by another upstream after this one has ended.
	Address string
	Domain  Domain
	// Slots is the maximum number of requests that it runs concurrently.
	Slots int
	// Leaving is set once the upstream has announced that it will end; it accepts no new requests.
	Leaving bool
	// Cold is how much longer the upstream was cold when its entry was written.
	Cold clock.Milli
}

// ErrDocument means that the stored object is not a valid document.
var ErrDocument = errs.New("the document cannot be read")

// ErrHistoryLost means that the store no longer has the changes after a position. It has answered, and a list
// shows its present contents.
var ErrHistoryLost = errs.New("the store no longer has the changes after this revision")

// Unusable is an entry of the store that does not describe a usable upstream.
type Unusable struct {
	ID decide.UpstreamID
	// Reason describes the error in the entry.
	Reason string
}

// EvacuationUpdate is an update on the failure domains that the operator evacuates, so that nothing
// more is sent to their upstreams: a complete list, or the changes since an earlier update.
type EvacuationUpdate struct {
	Evacuated []Domain
	// Restored are the domains whose evacuation has ended; empty in a complete list.
	Restored []Domain
}

// UpstreamUpdate is an update on upstreams from the platform's store: a complete list, or the changes since
// an earlier update.
type UpstreamUpdate struct {
	Upstreams []Upstream
	// Removed are the upstreams whose entries were removed; empty in a complete list.
	Removed []decide.UpstreamID
	// Unusable are entries that do not describe a usable upstream.
	Unusable []Unusable
	// Unverified are upstreams in a list from a peer that the peer could not confirm to be still
	// valid. They are not contained in Upstreams.
	Unverified []Upstream
}

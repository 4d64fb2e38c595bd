// Package route is the table of routes in force: which service answers a
// request of opaque bytes, who may send it, how often it may run and by when.
//
// A Document is plain data, as it came from the operator; a Table is one
// document indexed for the path of a request. Both never change once made.
package route

import (
	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Names and units.
type (
	// Revision numbers documents; a larger one is newer.
	Revision uint64
	// StoreRevision is a revision of the store. Those of one era compare: a larger one is later.
	StoreRevision uint64
	// Era counts the copies that the store came back from. Revisions are given out anew in each; zero where
	// the store does not tell its era.
	Era uint64
	// ServiceID names a service: the upstreams among which any may answer.
	ServiceID string
	// Domain names a failure domain.
	Domain string
	// Key is a secret by which a caller proves its workspace.
	Key string
)

// Repeat tells how often a request may run.
type Repeat uint8

// The rules of repeating.
const (
	// Once means that it may run once at most: a second run would send a notice twice.
	Once Repeat = iota
	// Repeatable means that a second run does no harm.
	Repeatable
	// Resumable means that a stream may be continued by another upstream after
	// the last event that arrived whole.
	Resumable
)

// Document is what the operator says, whole.
type Document struct {
	Revision   Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route says what becomes of requests to one host under one path prefix.
type Route struct {
	Name string
	// Host is compared without regard to case and without a port.
	Host string
	// Prefix begins and ends with a slash; of several that fit the longest holds.
	Prefix string
	// Targets has at least one entry.
	Targets []Target
	Repeat  Repeat
	// Stream is set where the answer is a series of events.
	Stream bool
	// Timeout is the longest that a caller is kept waiting, from its request's arrival.
	Timeout clock.Milli
	// Aim is the time to the first byte within which an answer is worth most.
	Aim clock.Milli
	// Patience is how long a caller waits for the next event of a stream, or for the
	// first, before it leaves; zero if it waits out its time.
	Patience clock.Milli
	// Gap is the longest pause between two events of an answer that is on time; zero for no bound.
	Gap clock.Milli
	// Attempts is how many upstreams one request may be sent to; at least 1.
	Attempts int
	// Urgency is the rank, 0 first.
	Urgency int
	// Public routes need no key.
	Public bool
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service ServiceID
	// Weight is the share relative to the other targets; at least 1.
	Weight int
}

// Service is a set of upstreams that serve the same.
type Service struct {
	ID ServiceID
	// Connections is how many one upstream takes from all VMs together; zero for no bound.
	Connections int
	// Engine is the cost of work at one upstream; nil for a plain service.
	Engine *Engine
}

// Engine says how fast a language-model engine works. It runs its requests in
// passes: each step of a pass writes one token of every stream, and reads a
// piece of the prompts that wait.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// Memory is KV memory in tokens.
	Memory decide.Tokens
	// Step is the time of one step; Writer is added for each stream, and
	// Context for each 1,000 tokens of a stream's context. All in milliseconds.
	Step, Writer, Context float64
	// Read is prompt tokens read in a millisecond.
	Read float64
	// Pairs is milliseconds for a million pairs of a token and an earlier one.
	Pairs float64
	// Stride is how many steps a pass has while any stream is written.
	Stride int
	// Hop is milliseconds added to each step of a prompt that spans engines.
	Hop float64
	// Lag is how old an engine's own report on its load is.
	Lag clock.Milli
}

// Workspace is a team that is charged, with its keys.
type Workspace struct {
	ID   decide.WorkspaceID
	Keys []Key
	// Urgency, where it is set, goes before that of the route.
	Urgency *int
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	// Header and Body are bytes.
	Header, Body int
	// Reading is the longest that a header may take, Idle the longest that a
	// connection is kept without a request.
	Reading, Idle clock.Milli
}

// Upstream is one process that serves a service, in one life.
type Upstream struct {
	ID decide.UpstreamID
	// Born tells its lives apart: an upstream that crashed may come back under its ID.
	Born    decide.Incarnation
	Service ServiceID
	// Address may serve another upstream once this one is gone.
	Address string
	Domain  Domain
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving is set once it has announced that it will end; it takes no new request.
	Leaving bool
}

// ErrDocument means that what stands in the place of the document is none.
var ErrDocument = errs.New("the document cannot be read")

// Unusable is an entry that names no upstream to use.
type Unusable struct {
	ID decide.UpstreamID
	// Reason says what is wrong with the entry.
	Reason string
}

// UpstreamUpdate is what the platform's store says of upstreams: all of them in a list, or what changed.
type UpstreamUpdate struct {
	Upstreams []Upstream
	// Removed are those whose entries were removed; empty in a list.
	Removed []decide.UpstreamID
	// Unusable are entries that somebody wrote and that name no upstream to use.
	Unusable []Unusable
	// Unverified are entries of which a peer that tells its list does not know whether they still hold; its Upstreams lack them.
	Unverified []Upstream
}

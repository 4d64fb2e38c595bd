// Package operator is the protocol between the operator command and the
// daemons: JSON over HTTP on each daemon's operator address.
//
// No answer ever holds a prompt, an answer to a caller, or an API key.
package operator

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Paths of the operator address.
const (
	PathLive      = "/live"
	PathReady     = "/ready"
	PathMetrics   = "/metrics"
	PathMembers   = "/members"
	PathPools     = "/pools"
	PathUpstreams = "/upstreams"
	PathGrants    = "/grants"
	PathUsage     = "/usage"
	PathDocument  = "/document"
	PathTimeline  = "/timeline"
	PathLevel     = "/level"
	PathDrain     = "/drain"
)

// Parameters of the time line's page; Since and Until are milliseconds since the Unix epoch.
const (
	ParamRequest   = "request"
	ParamWorkspace = "workspace"
	ParamUpstream  = "upstream"
	ParamSince     = "since"
	ParamUntil     = "until"
)

// ParamText asks the document's page for the text too.
const ParamText = "text"

// State is a word for how a member or an upstream is.
type State string

// The closed list of states.
const (
	Serving  State = "serving"
	Draining State = "draining" // takes no new work and finishes what it has
	Silent   State = "silent"   // did not answer lately
	Gone     State = "gone"
)

// Readiness tells whether a daemon takes requests.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons say why not, one line each.
	Reasons []string `json:"reasons,omitempty"`
}

// Member is one daemon as the answering one sees it.
type Member struct {
	VM          peer.VM          `json:"vm"`
	Incarnation peer.Incarnation `json:"incarnation"`
	Domain      peer.Domain      `json:"domain"`
	// Peer and Operator are the host:port of its doors.
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
	State    State  `json:"state"`
	// Revision is of the document that it last said is in force there.
	Revision peer.Revision `json:"revision"`
	// Age is the time since it was last heard from.
	Age clock.Milli `json:"age"`
}

// Pool is one pool that the answering daemon owns.
type Pool struct {
	Pool  peer.PoolID  `json:"pool"`
	Owner peer.VM      `json:"owner"`
	Epoch decide.Epoch `json:"epoch"`
	// Wait is the estimated wait of a short request that arrives now, by urgency 0 to 3.
	Wait    [4]clock.Milli `json:"wait"`
	Queued  int            `json:"queued"`
	Running int            `json:"running"`
	// Free is the free KV memory on upstreams that take new work.
	Free decide.Tokens `json:"free"`
	// Largest is the longest prompt that fits.
	Largest   decide.Tokens `json:"largest"`
	Upstreams int           `json:"upstreams"`
}

// Upstream is one upstream as the owner of its pool sees it.
type Upstream struct {
	Name    decide.UpstreamID `json:"name"`
	Pool    peer.PoolID       `json:"pool"`
	Owner   peer.VM           `json:"owner"`
	Address string            `json:"address"`
	State   State             `json:"state"`
	Running int               `json:"running"`
	Slots   int               `json:"slots"`
	// Reserved is what grants hold of Memory; Used is the engine's own word.
	Reserved decide.Tokens `json:"reserved"`
	Used     decide.Tokens `json:"used"`
	Memory   decide.Tokens `json:"memory"`
	// Age is the time since its last report; below zero when there was none.
	Age    clock.Milli `json:"age"`
	Fenced bool        `json:"fenced"`
}

// Grant is one live grant.
type Grant struct {
	// Grant is a string in JSON, since it is too large for readers that hold numbers as floats.
	Grant     decide.GrantID      `json:"grant,string"`
	Pool      peer.PoolID         `json:"pool"`
	Owner     peer.VM             `json:"owner"`
	Request   decide.RequestID    `json:"request"`
	Workspace decide.WorkspaceID  `json:"workspace"`
	Gate      decide.GateID       `json:"gate"`
	Upstreams []decide.UpstreamID `json:"upstreams"`
	Urgency   decide.Urgency      `json:"urgency"`
	Prompt    decide.Tokens       `json:"prompt"`
	Output    decide.Tokens       `json:"output"`
	Reserved  decide.Tokens       `json:"reserved"`
	// Lease and Left are what remains until the lease lapses and of the allowed time.
	Lease clock.Milli `json:"lease"`
	Left  clock.Milli `json:"left"`
}

// UsageCounter is the absolute usage of one workspace through one life of one VM.
// The same counter may be known to several daemons; the largest is the newest.
type UsageCounter struct {
	VM          peer.VM            `json:"vm"`
	Incarnation peer.Incarnation   `json:"incarnation"`
	Workspace   decide.WorkspaceID `json:"workspace"`
	Usage
}

// Usage is what requests consumed.
type Usage struct {
	Requests uint64        `json:"requests"`
	Prompt   decide.Tokens `json:"prompt"`
	Cached   decide.Tokens `json:"cached"`
	Output   decide.Tokens `json:"output"`
}

// Document tells which configuration document is in force.
type Document struct {
	// Revision is zero while there is none.
	Revision peer.Revision `json:"revision"`
	// Sum is "sha256:" and the hex digest of the text.
	Sum  string `json:"sum"`
	Size int    `json:"size"`
	// Text is there when it was asked for.
	Text string `json:"text,omitempty"`
}

// Level is the lowest level of log lines that are written.
type Level struct {
	Level string `json:"level"`
}

// Drain tells how far the planned stop of a VM is.
type Drain struct {
	Draining bool `json:"draining"`
	// Requests counts what it still serves.
	Requests int `json:"requests"`
}

// Failure is the body of every answer that is no success.
type Failure struct {
	// Error is one line that says what to do.
	Error string `json:"error"`
}

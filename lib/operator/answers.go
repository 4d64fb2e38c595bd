// Package operator defines the protocol between the operator command and the daemons: JSON over HTTP
// on each daemon's operator address.
//
// Its responses never contain a prompt, a response to a client, or an API key.
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

// Query parameters of the timeline page. ParamSince and ParamUntil are milliseconds since the Unix
// epoch.
const (
	ParamRequest   = "request"
	ParamWorkspace = "workspace"
	ParamUpstream  = "upstream"
	ParamSince     = "since"
	ParamUntil     = "until"
)

// ParamText is the query parameter that requests the text of the document too.
const ParamText = "text"

// State is the state of a member or an upstream.
type State string

// All states.
const (
	Serving  State = "serving"
	Draining State = "draining" // accepts no new requests and finishes the running ones
	Silent   State = "silent"   // has not responded recently
	Gone     State = "gone"     // has left or did not respond for so long that it is considered lost
)

// Readiness reports whether a daemon accepts requests.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons has one line for each reason why the daemon is not ready.
	Reasons []string `json:"reasons,omitempty"`
}

// Member is one daemon as the responding daemon sees it.
type Member struct {
	VM          peer.VM          `json:"vm"`
	Incarnation peer.Incarnation `json:"incarnation"`
	Domain      peer.Domain      `json:"domain"`
	// Peer and Operator are the addresses (host:port) at which peers and operators reach it.
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
	State    State  `json:"state"`
	// Revision is that of its document in force, from its last heartbeat.
	Revision peer.Revision `json:"revision"`
	// Age is the time since its last heartbeat, in milliseconds.
	Age clock.Milli `json:"age"`
}

// Pool is one pool that the responding daemon owns.
type Pool struct {
	Pool  peer.PoolID  `json:"pool"`
	Owner peer.VM      `json:"owner"`
	Epoch decide.Epoch `json:"epoch"`
	// Wait is the estimated queueing time of a short request that arrives now, by urgency 0 to 3.
	Wait    [4]clock.Milli `json:"wait"`
	Queued  int            `json:"queued"`
	Running int            `json:"running"`
	// Free is the free KV memory, in tokens, on upstreams that accept new requests.
	Free decide.Tokens `json:"free"`
	// Largest is the length, in tokens, of the longest prompt that fits.
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
	// Reserved is the part of Memory that grants reserve. Used is the usage in the engine's last
	// report. All three are KV memory in tokens.
	Reserved decide.Tokens `json:"reserved"`
	Used     decide.Tokens `json:"used"`
	Memory   decide.Tokens `json:"memory"`
	// Age is the time since its last load report, in milliseconds; negative if there is none.
	Age    clock.Milli `json:"age"`
	Fenced bool        `json:"fenced"`
}

// Grant is one live grant.
type Grant struct {
	// Grant is a string in JSON, since it exceeds the precision of readers that decode numbers as
	// floats.
	Grant     decide.GrantID     `json:"grant,string"`
	Pool      peer.PoolID        `json:"pool"`
	Owner     peer.VM            `json:"owner"`
	Request   decide.RequestID   `json:"request"`
	Workspace decide.WorkspaceID `json:"workspace"`
	// Gate is the VM, in one incarnation, that holds the client's connection of the request.
	Gate      decide.GateID       `json:"gate"`
	Upstreams []decide.UpstreamID `json:"upstreams"`
	Urgency   decide.Urgency      `json:"urgency"`
	// Prompt and Output are estimated token counts. Reserved is the KV memory, in tokens, that is
	// reserved on each upstream.
	Prompt   decide.Tokens `json:"prompt"`
	Output   decide.Tokens `json:"output"`
	Reserved decide.Tokens `json:"reserved"`
	// Lease is the time until the lease expires, Left the time until the deadline of the request,
	// both in milliseconds.
	Lease clock.Milli `json:"lease"`
	Left  clock.Milli `json:"left"`
}

// UsageCounter is the total usage of one workspace through one incarnation of one VM. Several daemons may
// report the same counter; the largest value is the newest.
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

// Document describes the configuration document in force.
type Document struct {
	// Revision is zero if there is no document.
	Revision peer.Revision `json:"revision"`
	// Sum is "sha256:" and the hex digest of the text.
	Sum  string `json:"sum"`
	Size int    `json:"size"`
	// Text is set only if the request has ParamText.
	Text string `json:"text,omitempty"`
}

// Level is the lowest level of log lines that are written.
type Level struct {
	Level string `json:"level"`
}

// Drain is the progress of the graceful stop of a VM.
type Drain struct {
	Draining bool `json:"draining"`
	// Requests is the number of requests that are still running.
	Requests int `json:"requests"`
}

// Failure is the body of every error response.
type Failure struct {
	// Error is one line that describes the error and how to correct it.
	Error string `json:"error"`
}

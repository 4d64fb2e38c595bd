// Package document is the one validated document that operators write and the
// whole system obeys: workspaces, kinds, models, services and upstreams.
//
// Parse reads its text and reports everything that is wrong with it at once. A
// daemon looks things up in the Index of a document that passed.
package document

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Document is the whole configuration. Field names are one word each.
type Document struct {
	// Domains are the failure domains. With none listed any name will do; with
	// some, an upstream in another is refused as a mistyped name.
	Domains    []Domain    `json:"domains,omitempty"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Kinds      []Kind      `json:"kinds"`
	Workspaces []Workspace `json:"workspaces"`
	Upstreams  []Upstream  `json:"upstreams"`
	Limits     Limits      `json:"limits"`
}

// Domain is a failure domain: what may fail at once.
type Domain struct {
	Name string `json:"name"`
	// Region groups domains near each other.
	Region string `json:"region,omitempty"`
}

// Model is a language model that callers name in requests.
type Model struct {
	Name string `json:"name"`
	// Context is the longest prompt plus output in tokens.
	Context decide.Tokens `json:"context"`
}

// Service is a plain service, reached under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Kind is the kind of its requests unless the caller names one.
	Kind string `json:"kind"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `json:"name"`
	// Urgency is 0 for answers needed immediately, up to 3 for work that can wait.
	Urgency decide.Urgency `json:"urgency"`
	// TimeLimit is the time from arrival to the end of the answer, in milliseconds.
	TimeLimit clock.Milli `json:"allowed"`
	// Output is the usual output length in tokens, for requests that name no limit.
	Output decide.Tokens `json:"output"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `json:"repeat"`
}

// Workspace is a team that is charged for what it uses.
type Workspace struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Keys are "sha256:" and the hex digest of each API key.
	Keys []string `json:"keys"`
	// Rate is the most tokens per second, zero for no limit.
	Rate decide.Rate `json:"rate"`
	// Kinds are the kinds it may send; empty for all.
	Kinds []string `json:"kinds"`
	// Models are the models it may use; empty for all.
	Models []string `json:"models,omitempty"`
}

// Upstream is an engine (Model set) or a plain service (Service set).
type Upstream struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	Domain  string `json:"domain"`
	// Address is host:port.
	Address string `json:"address"`
	// Memory is KV memory in tokens.
	Memory decide.Tokens `json:"memory"`
	Slots  int           `json:"slots"`
	// Prefill is prompt tokens per second, Decode output tokens per second of one request.
	Prefill decide.Rate `json:"prefill"`
	Decode  decide.Rate `json:"decode"`
	// Fenced is true when it refuses orders with an old fencing number.
	Fenced bool `json:"fenced"`
	// Drain stops new work.
	Drain bool `json:"drain"`
}

// Limits bound what callers may send.
type Limits struct {
	// Body is the largest body in bytes.
	Body int64 `json:"body"`
	// Idle is the longest silence between two tokens, in milliseconds.
	Idle clock.Milli `json:"idle"`
}

// Package document defines the configuration document that operators write and all daemons
// apply: workspaces, kinds of request, models, services and upstreams.
//
// Parse decodes and validates its text and reports all problems at once. Daemons look up entries
// through the Index of a valid document.
package document

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Document is the whole configuration. Each field name is a single word.
type Document struct {
	// Domains are the failure domains. If none is listed, upstreams may name any domain; otherwise
	// an upstream that names a domain not in the list is refused, since the name is probably mistyped.
	Domains    []Domain    `json:"domains,omitempty"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Kinds      []Kind      `json:"kinds"`
	Workspaces []Workspace `json:"workspaces"`
	Upstreams  []Upstream  `json:"upstreams"`
	Limits     Limits      `json:"limits"`
}

// Domain is a failure domain: a set of machines that a single fault can take down together.
type Domain struct {
	Name string `json:"name"`
	// Region is the region of the domain; domains of one region are near each other.
	Region string `json:"region,omitempty"`
}

// Model is a language model that clients name in requests.
type Model struct {
	Name string `json:"name"`
	// Context is the largest sum of prompt and output of a request, in tokens.
	Context decide.Tokens `json:"context"`
}

// Service is a plain service, reached under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Kind is the kind of requests to the service that name none themselves.
	Kind string `json:"kind"`
}

// Kind is a kind of request: its urgency, time limit and defaults.
type Kind struct {
	Name string `json:"name"`
	// Urgency is 0 for answers needed immediately, up to 3 for work that can wait.
	Urgency decide.Urgency `json:"urgency"`
	// TimeLimit is the longest time from the arrival of a request to the end of its response, in
	// milliseconds.
	TimeLimit clock.Milli `json:"allowed"`
	// Output is the expected output in tokens of requests that set no limit.
	Output decide.Tokens `json:"output"`
	// Repeatable is false if a request must run at most once.
	Repeatable bool `json:"repeat"`
}

// Workspace is a customer of the system, to whom usage is charged.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of capacity relative to other workspaces of the same urgency.
	Weight float64 `json:"weight"`
	// Keys are the hashes of the API keys: "sha256:" followed by the digest in hex.
	Keys []string `json:"keys"`
	// Rate is the limit in tokens per second; zero for no limit.
	Rate decide.Rate `json:"rate"`
	// Kinds are the kinds of request that the workspace may send; empty for all.
	Kinds []string `json:"kinds"`
	// Models are the models that the workspace may use; empty for all.
	Models []string `json:"models,omitempty"`
}

// Upstream is an engine (Model set) or a plain service (Service set).
type Upstream struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	Domain  string `json:"domain"`
	// Address is the IP address and port, as in "10.0.0.7:8000".
	Address string `json:"address"`
	// Memory is the capacity of the KV cache in tokens.
	Memory decide.Tokens `json:"memory"`
	// Slots is the largest number of concurrent requests.
	Slots int `json:"slots"`
	// Prefill is the rated number of prompt tokens per second, Decode that of output tokens per
	// second of a single request.
	Prefill decide.Rate `json:"prefill"`
	Decode  decide.Rate `json:"decode"`
	// Fenced is true if the engine refuses orders with an outdated fencing number.
	Fenced bool `json:"fenced"`
	// Drain is true if the upstream is to receive no new requests.
	Drain bool `json:"drain"`
}

// Limits are bounds on requests and responses of all clients.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64 `json:"body"`
	// Idle is the longest pause between two tokens of a response, in milliseconds.
	Idle clock.Milli `json:"idle"`
}

package operator

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// PathWhere is the path of the page that tells where a request would be placed now, on the metrics address of a VM in relay
// mode and on the operator address of the daemon of OpenAI's API. ParamWhere is the parameter that describes the request: a WhereQuery as JSON.
const (
	PathWhere  = "/where"
	ParamWhere = "query"
)

// WhereQuery describes a request that is not sent. What is absent is taken from the route: the first one that leads to the
// service if only the service is named.
type WhereQuery struct {
	Service route.ServiceID `json:"service,omitempty"`
	// Model is a model of OpenAI's API, and Kind the kind of the request; the first one of the document if it is empty.
	Model string `json:"model,omitempty"`
	Kind  string `json:"kind,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Workspace is the id of a workspace, not a key.
	Workspace decide.WorkspaceID `json:"workspace,omitempty"`
	// Prompt is the length of the prompt, and Output the maximum length of the response, in tokens.
	Prompt decide.Tokens `json:"prompt,omitempty"`
	Output decide.Tokens `json:"output,omitempty"`
	// Parts are parts of the prompt that other requests may share, as the page of suspect parts shows them.
	Parts []string `json:"parts,omitempty"`
	// Deadline and Aim are the times left until the whole response and until the first byte, in milliseconds.
	Deadline clock.Milli      `json:"deadline,omitempty"`
	Aim      clock.Milli      `json:"aim,omitempty"`
	Urgency  *decide.Urgency  `json:"urgency,omitempty"`
	ID       decide.RequestID `json:"id,omitempty"`
}

// Verdict is what would become of a request now.
type Verdict string

// All verdicts.
const (
	Placed  Verdict = "placed"
	Queued  Verdict = "queued"
	Refused Verdict = "refused"
)

// Where tells where a request would be placed now.
type Where struct {
	// VM is the one that was asked, Owner the one that places the requests of the service, in this epoch. The owner is empty
	// if none is known yet, which is so before the first request.
	VM    peer.VM `json:"vm"`
	Owner peer.VM `json:"owner"`
	Epoch uint64  `json:"epoch"`
	// From is the VM whose records the answer is from: the owner, or the VM asked if the owner gave no answer. OwnerError
	// tells why it gave none.
	From       peer.VM         `json:"from"`
	OwnerError string          `json:"owner_error,omitempty"`
	Service    route.ServiceID `json:"service"`
	// Model and Pool are set for OpenAI's API in place of the service: the model, and its pool that decides.
	Model   string      `json:"model,omitempty"`
	Pool    peer.PoolID `json:"pool,omitempty"`
	Verdict Verdict     `json:"verdict"`
	// Reason names the rule that decided, as the reason in the log line of a request, or why the request would be queued.
	Reason   string              `json:"reason"`
	Upstream decide.UpstreamID   `json:"upstream,omitempty"`
	Helpers  []decide.UpstreamID `json:"helpers,omitempty"`
	// FirstByte is the time in milliseconds from the placement within which the first byte is expected; zero if it is not
	// estimated, as for plain services and for requests that would be queued.
	FirstByte clock.Milli `json:"first_byte"`
	// Others are up to five other upstreams.
	Others []WhereOther `json:"others"`
	// Place is the place in the queue, from 1; zero if the request would not be queued. Queued is the number of other
	// requests in the queue.
	Place  int `json:"place"`
	Queued int `json:"queued"`
	// Fault is the kind of a refusal, RetryAfter what its client is told, in milliseconds.
	Fault      fault.Kind  `json:"fault,omitempty"`
	RetryAfter clock.Milli `json:"retry_after,omitempty"`
	// DocumentAge and ListAge are the times since the answering VM last knew that its document and its list of upstreams are
	// current, in milliseconds.
	DocumentAge clock.Milli `json:"document_age"`
	ListAge     clock.Milli `json:"list_age"`
	// ReportAge is the age of the oldest load report of the pool's engines in milliseconds, for OpenAI's API.
	ReportAge clock.Milli `json:"report_age,omitempty"`
}

// WhereOther is an upstream on which the request would not be placed.
type WhereOther struct {
	Upstream decide.UpstreamID `json:"upstream"`
	// Against is full, memory, cold, excluded, leaving, back-off, limit, unverified or avoided; free if the upstream could
	// run the request but comes later in the order, equal if the id of the request would choose among several, reserved if a
	// pool of OpenAI's API keeps it for long or for urgent requests.
	Against string `json:"against"`
}

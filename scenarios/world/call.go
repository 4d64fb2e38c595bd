package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
)

// Call is one request of a client.
type Call struct {
	// Name is unique within the scenario.
	Name string
	// Daemon is the daemon that the client connects to.
	Daemon string
	// Kind is the request kind of the document; empty means KindDraft, or KindLookup for the
	// plain service.
	Kind string
	// Workspace defaults to the first of Workspaces.
	Workspace string
	// Key is the idempotency key; empty for none.
	Key string
	// PromptStart is the start of the prompt, or the path at the plain service. Calls with the same
	// PromptStart are the same request. It defaults to Name.
	PromptStart string
	// System is the text of a first message before the prompt; empty for none.
	System string
	// PromptTokens is the length of the prompt. OutputLimit is the limit of output tokens; zero means the
	// limit of the kind.
	PromptTokens, OutputLimit int
	// Deadline is the time limit that the client requests; zero for none. The limit of the kind
	// applies if it is shorter.
	Deadline clock.Milli
	// Service sends the call to the plain service instead of the model.
	Service bool
	// NonStreaming requests a response that is not streamed.
	NonStreaming bool
	// TimeLimit is the time limit that applies: the shorter one of Deadline and the limit of the kind.
	// StartCall sets it.
	TimeLimit clock.Milli
	// AtMostOnce is set for kinds that must run at most once. StartCall sets it.
	AtMostOnce bool
}

// Outcome is the state or outcome of a call as its client sees it.
type Outcome string

// States and outcomes of a call.
const (
	Running      Outcome = "running"
	Complete     Outcome = "whole"   // the complete, correct response
	Refused      Outcome = "refused" // an error response with an error kind
	Aborted      Outcome = "stopped" // a stream that ended with an error event
	Disconnected Outcome = "cut"     // the connection broke before any of the above
	TimedOut     Outcome = "late"    // the client gave up after the time limit
	Canceled     Outcome = "left"    // the client closed the connection
	Wrong        Outcome = "wrong"   // a response that belongs to another request or does not follow the API
)

// Result is the outcome of a call as its client sees it. The fields are final once Done is closed.
type Result struct {
	Call Call
	// SentAt is when the call was sent, Elapsed the time until its end.
	SentAt  time.Time
	Elapsed time.Duration
	Outcome Outcome
	// Status is the HTTP status; zero if no response came.
	Status int
	// Error is the error kind, Ran whether the request ran (no, yes or maybe), RetryAfter the value of
	// Retry-After, RequestID the request id and KeyState the state of the idempotency key. They come from
	// headers of the response; Error and Ran also from an error event of the stream.
	Error, Ran, RetryAfter, RequestID, KeyState string
	// FirstChunk is the time to the first chunk of the stream, zero if none came.
	FirstChunk time.Duration
	// Text is the generated text received, also if the response broke off.
	Text string
	// Problem explains an Outcome other than Complete; empty for Canceled.
	Problem string
	// Replayed is set for a stored response to an earlier call with the same idempotency key.
	Replayed bool

	// mu guards FirstChunk while the call runs.
	mu   sync.Mutex
	done chan struct{}
	// cancel cancels the call, as when the client closes the connection.
	cancel context.CancelFunc
}

// lateTimeout is how long a client waits beyond the time limit of a call. A response
// that arrives in this time is recorded as late instead of being cut off at the limit.
const lateTimeout = 4 * time.Second

// StartCall sends a call and returns without waiting for the response. A name used before is an error.
func (w *World) StartCall(c Call) (*Result, error) {
	n, err := w.node(c.Daemon)
	if err != nil {
		return nil, err
	}
	if err := w.setDefaults(&c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Result{Call: c, Outcome: Running, SentAt: time.Now(), done: make(chan struct{}), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.results[c.Name]; ok {
		return nil, fmt.Errorf("a call named %q was made before", c.Name)
	}
	w.results[c.Name] = r
	w.calls.Go(func() { r.run(ctx, n.relays[clientEndpoint].Address()) })
	return r, nil
}

// setDefaults sets unset fields of a call to their defaults, and sets the fields that the call's kind in
// the document determines.
func (w *World) setDefaults(c *Call) error {
	if c.PromptStart == "" {
		c.PromptStart = c.Name
	}
	if c.Kind == "" {
		c.Kind = KindDraft
		if c.Service {
			c.Kind = KindLookup
		}
	}
	w.mu.Lock()
	d, err := w.document.decode()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	for _, k := range d.Kinds {
		if k.Name != c.Kind {
			continue
		}
		c.TimeLimit, c.AtMostOnce = k.TimeLimit, !k.Repeatable
		if c.Deadline > 0 {
			c.TimeLimit = min(c.TimeLimit, c.Deadline)
		}
		if c.OutputLimit == 0 {
			c.OutputLimit = int(k.Output)
		}
	}
	return nil
}

// Result returns the result of a call by the call's name.
func (w *World) Result(name string) (*Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.results[name]
	if !ok {
		return nil, fmt.Errorf("no call named %q", name)
	}
	return r, nil
}

// Results returns the results of the call named prefix and of all calls whose names start with the
// prefix and a dot. An empty prefix selects all calls.
func (w *World) Results(prefix string) []*Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Result
	for name, r := range w.results {
		if prefix == "" || name == prefix || strings.HasPrefix(name, prefix+".") {
			out = append(out, r)
		}
	}
	return out
}

// Done returns a channel that is closed when the call has ended.
func (r *Result) Done() <-chan struct{} { return r.done }

// Ended reports whether the call has ended.
func (r *Result) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// HasChunk reports whether a chunk of a streamed response has arrived.
func (r *Result) HasChunk() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.FirstChunk > 0
}

// Wait waits for the end of the call, at the latest when the client gives up.
func (r *Result) Wait() { <-r.done }

// String describes the call and its outcome in one line, for messages of failed checks.
func (r *Result) String() string {
	s := fmt.Sprintf("%s to %s (%s): %s", r.Call.Name, r.Call.Daemon, r.Call.Kind, r.Outcome)
	if r.Outcome == Running {
		return s
	}
	s += fmt.Sprintf(" after %v of %v, status %d, request %s", r.Elapsed.Round(time.Millisecond), r.Call.TimeLimit.Duration(), r.Status, r.RequestID)
	if r.Error != "" {
		s += fmt.Sprintf(", error %s, ran %s", r.Error, r.Ran)
	}
	if r.Problem != "" {
		s += ", " + r.Problem
	}
	return s
}

// Hangup makes the client of a call close its connection.
func (w *World) Hangup(name string) error {
	r, err := w.Result(name)
	if err != nil {
		return err
	}
	r.cancel()
	return nil
}

func (r *Result) run(ctx context.Context, address string) {
	defer close(r.done)
	defer r.cancel()
	ctx, cancel := context.WithTimeout(ctx, r.Call.TimeLimit.Duration()+lateTimeout)
	defer cancel()
	r.exchange(ctx, address)
	r.Elapsed = time.Since(r.SentAt)
}

// exchange sends the request on a new connection and reads the response.
func (r *Result) exchange(ctx context.Context, address string) {
	req, err := r.Call.request(ctx, address)
	if err != nil {
		r.setOutcome(Wrong, err.Error())
		return
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	// Without GetBody the transport can't retry by itself, which would send the request twice although
	// the client sent it once.
	req.GetBody = nil
	resp, err := t.RoundTrip(req)
	if err != nil {
		r.recordError(ctx, err)
		return
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	h := resp.Header
	r.KeyState = h.Get("Snipeshift-Key")
	r.RequestID, r.Error, r.Ran, r.RetryAfter = h.Get("Snipeshift-Request"), h.Get("Snipeshift-Error"), h.Get("Snipeshift-Ran"), h.Get("Retry-After")
	r.Replayed = h.Get("Idempotent-Replayed") != ""
	r.read(ctx, resp)
}

// recordError records the outcome after an I/O error: the client gave up at its time limit, closed the
// connection itself, or lost it.
func (r *Result) recordError(ctx context.Context, err error) {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.setOutcome(TimedOut, "the client gave up")
		return
	case context.Canceled:
		r.setOutcome(Canceled, "")
		return
	}
	r.setOutcome(Disconnected, err.Error())
}

func (r *Result) setOutcome(o Outcome, problem string) { r.Outcome, r.Problem = o, problem }

// prompt returns the complete prompt: PromptStart and a colon, padded to the length in tokens.
func (c *Call) prompt() string {
	const pad = " please draft this for the ward"
	b := []byte(c.PromptStart + ":")
	for len(b) < c.PromptTokens*bytesPerToken {
		b = append(b, pad...)
	}
	return string(b[:max(len(c.PromptStart)+1, c.PromptTokens*bytesPerToken)])
}

// bytesPerToken is the ratio by which emulators and daemons convert the size of a prompt to tokens.
const bytesPerToken = 4

// completionRequest is the body of a chat completion request.
type completionRequest struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Max      int       `json:"max_tokens"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Call) body() ([]byte, error) {
	if c.Service {
		return []byte(c.prompt()), nil
	}
	messages := []message{{"user", c.prompt()}}
	if c.System != "" {
		messages = append([]message{{"system", c.System}}, messages...)
	}
	return json.Marshal(completionRequest{Model: Model, Stream: !c.NonStreaming, Max: c.OutputLimit, Messages: messages})
}

func (c *Call) path() string {
	if c.Service {
		return "/services/" + Service + "/" + c.PromptStart
	}
	return "/v1/chat/completions"
}

func (c *Call) request(ctx context.Context, address string) (*http.Request, error) {
	b, err := c.body()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path(), bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	h := req.Header
	workspace := c.Workspace
	if workspace == "" {
		workspace = Workspaces[0]
	}
	h.Set("Authorization", "Bearer "+APIKey(workspace))
	h.Set("Content-Type", "application/json")
	h.Set("Snipeshift-Kind", c.Kind)
	if c.Key != "" {
		h.Set("Idempotency-Key", c.Key)
	}
	if c.Deadline > 0 {
		h.Set("Snipeshift-Deadline", fmt.Sprint(int64(c.Deadline)))
	}
	return req, nil
}

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
	// To is the daemon that the client connects to.
	To string
	// Kind is the request kind of the document; empty means Draft, or Lookup for the plain service.
	Kind string
	// Workspace defaults to the first of Workspaces.
	Workspace string
	// Key is the idempotency key; empty for none.
	Key string
	// Text is the start of the prompt, or the path at the plain service. Calls with the same text are
	// the same request. It defaults to Name.
	Text string
	// Prompt is the length of the prompt in tokens. Output is the limit of output tokens; zero means
	// the limit of the kind.
	Prompt, Output int
	// Deadline is the time limit that the client requests; zero for none. The limit of the kind
	// applies if it is shorter.
	Deadline clock.Milli
	// Service sends the call to the plain service instead of the model.
	Service bool
	// Whole requests a response that is not streamed.
	Whole bool
	// Allowed is the time limit that applies: the shorter one of Deadline and the limit of the kind.
	// Begin sets it.
	Allowed clock.Milli
	// Once is set for kinds that must run at most once. Begin sets it.
	Once bool
}

// End is the state or outcome of a call as its client sees it.
type End string

// States and outcomes of a call.
const (
	Running End = "running"
	Whole   End = "whole"   // the complete, correct response
	Refused End = "refused" // an error response with an error kind
	Stopped End = "stopped" // a stream that ended with an error event
	Cut     End = "cut"     // the connection broke before any of the above
	Late    End = "late"    // the client gave up after the time limit
	Left    End = "left"    // the client closed the connection
	Wrong   End = "wrong"   // a response that belongs to another request or does not follow the API
)

// Result is the outcome of a call as its client sees it. The fields are final once Done is closed.
type Result struct {
	Call Call
	// Begun is when the call was sent, Elapsed the time until its end.
	Begun   time.Time
	Elapsed time.Duration
	End     End
	// Status is the HTTP status; zero if no response came.
	Status int
	// Error is the error kind, Ran whether the request ran (no, yes or maybe), Retry the value of
	// Retry-After, Request the request id and Key the state of the idempotency key. They come from
	// headers of the response; Error and Ran also from an error event of the stream.
	Error, Ran, Retry, Request, Key string
	// First is the time to the first chunk of the stream, zero if none came.
	First time.Duration
	// Text is the generated text received, also if the response broke off.
	Text string
	// Problem explains an End other than Whole; empty for Left.
	Problem string
	// Replayed is set for a stored response to an earlier call with the same idempotency key.
	Replayed bool

	// mu guards First while the call runs.
	mu   sync.Mutex
	done chan struct{}
	// cancel cancels the call, as when the client closes the connection.
	cancel context.CancelFunc
}

// lateTimeout is how long a client waits beyond the time limit of a call. A response
// in this time is seen to be late, instead of being cut off at the limit.
const lateTimeout = 4 * time.Second

// Begin sends a call and returns without waiting for the response. A name used before is an error.
func (w *World) Begin(c Call) (*Result, error) {
	n, err := w.node(c.To)
	if err != nil {
		return nil, err
	}
	if err := w.setDefaults(&c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Result{Call: c, End: Running, Begun: time.Now(), done: make(chan struct{}), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.results[c.Name]; ok {
		return nil, fmt.Errorf("a call named %q was made before", c.Name)
	}
	w.results[c.Name] = r
	w.calls.Go(func() { r.run(ctx, n.relays[clientEndpoint].Address()) })
	return r, nil
}

// setDefaults fills in the defaults of a call, and what its kind in the document determines.
func (w *World) setDefaults(c *Call) error {
	if c.Text == "" {
		c.Text = c.Name
	}
	if c.Kind == "" {
		c.Kind = Draft
		if c.Service {
			c.Kind = Lookup
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
		c.Allowed, c.Once = k.TimeLimit, !k.Repeatable
		if c.Deadline > 0 {
			c.Allowed = min(c.Allowed, c.Deadline)
		}
		if c.Output == 0 {
			c.Output = int(k.Output)
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

// Started reports whether a chunk of a streamed response has arrived.
func (r *Result) Started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.First > 0
}

// Wait waits for the end of the call, at the latest when the client gives up.
func (r *Result) Wait() { <-r.done }

// String describes the call and its outcome in one line, for messages of failed checks.
func (r *Result) String() string {
	s := fmt.Sprintf("%s to %s (%s): %s", r.Call.Name, r.Call.To, r.Call.Kind, r.End)
	if r.End == Running {
		return s
	}
	s += fmt.Sprintf(" after %v of %v, status %d, request %s", r.Elapsed.Round(time.Millisecond), r.Call.Allowed.Duration(), r.Status, r.Request)
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
	ctx, cancel := context.WithTimeout(ctx, r.Call.Allowed.Duration()+lateTimeout)
	defer cancel()
	r.exchange(ctx, address)
	r.Elapsed = time.Since(r.Begun)
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
	r.Key = h.Get("Snipeshift-Key")
	r.Request, r.Error, r.Ran, r.Retry = h.Get("Snipeshift-Request"), h.Get("Snipeshift-Error"), h.Get("Snipeshift-Ran"), h.Get("Retry-After")
	r.Replayed = h.Get("Idempotent-Replayed") != ""
	r.read(ctx, resp)
}

// recordError records the outcome after an I/O error: the client gave up at its time limit, closed the
// connection itself, or lost it.
func (r *Result) recordError(ctx context.Context, err error) {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.setOutcome(Late, "the client gave up")
		return
	case context.Canceled:
		r.setOutcome(Left, "")
		return
	}
	r.setOutcome(Cut, err.Error())
}

func (r *Result) setOutcome(e End, problem string) { r.End, r.Problem = e, problem }

// prompt returns the complete prompt: Text and a colon, padded to the length in tokens.
func (c *Call) prompt() string {
	const pad = " please draft this for the ward"
	b := []byte(c.Text + ":")
	for len(b) < c.Prompt*bytesPerToken {
		b = append(b, pad...)
	}
	return string(b[:max(len(c.Text)+1, c.Prompt*bytesPerToken)])
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
	return json.Marshal(completionRequest{Model: Model, Stream: !c.Whole, Max: c.Output, Messages: []message{{"user", c.prompt()}}})
}

func (c *Call) path() string {
	if c.Service {
		return "/services/" + Service + "/" + c.Text
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
	h.Set("Authorization", "Bearer "+KeyOf(workspace))
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

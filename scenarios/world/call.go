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

// Call is one request of a caller.
type Call struct {
	// Name tells calls of a scenario apart.
	Name string
	// Daemon is the daemon that the balancer chose.
	Daemon    string
	Kind      string
	Workspace string
	// Key is the idempotency key.
	Key string
	// PromptStart starts the prompt; calls with the same text are the same request. Empty means the name.
	PromptStart string
	// PromptTokens is the prompt's length in tokens, Output the limit of output tokens.
	PromptTokens, OutputLimit int
	// Deadline is the allowed time that the caller names; zero for the kind's.
	Deadline clock.Milli
	// Service sends it to the plain service.
	Service bool
	// NonStreaming asks for an answer that is not streamed.
	NonStreaming bool
	// TimeLimit is the time within which it must end, worked out from kind and Deadline.
	TimeLimit clock.Milli
	// AtMostOnce is set for kinds that must run at most once.
	AtMostOnce bool
}

// Outcome is how a call ended for its caller.
type Outcome string

// The ends.
const (
	Running      Outcome = "running"
	Complete     Outcome = "whole"   // the whole answer to its own request
	Refused      Outcome = "refused" // an answer with an error kind
	Aborted      Outcome = "stopped" // an answer that began and ended with an error event
	Disconnected Outcome = "cut"     // the connection broke before any of these
	TimedOut     Outcome = "late"    // the caller gave up, past the allowed time
	Canceled     Outcome = "left"    // the caller went away
	Wrong        Outcome = "wrong"   // an answer that looks whole and is not its own, or no answer of the API at all
)

// Result is what a caller saw.
type Result struct {
	Call    Call
	SentAt  time.Time
	Elapsed time.Duration
	Outcome Outcome
	Status  int
	// Error, Ran, Retry, Request and Key are headers of the answer, or fields of its error event.
	Error, Ran, RetryAfter, RequestID, KeyState string
	// FirstChunk is the time to the first chunk, zero if none came.
	FirstChunk time.Duration
	// Text is what came of the answer.
	Text string
	// Problem says why End is Cut, Late or Wrong.
	Problem string
	// Replayed is set when the answer was kept from an earlier call with the key.
	Replayed bool

	mu     sync.Mutex
	done   chan struct{}
	hangup context.CancelFunc
}

// patience is how long a caller waits beyond the allowed time, so that a late
// answer shows as late.
const patience = 4 * time.Second

// StartCall sends a call and returns at once.
func (w *World) StartCall(c Call) (*Result, error) {
	n, err := w.node(c.Daemon)
	if err != nil {
		return nil, err
	}
	if err := w.complete(&c); err != nil {
		return nil, err
	}
	ctx, hangup := context.WithCancel(context.Background())
	r := &Result{Call: c, Outcome: Running, SentAt: time.Now(), done: make(chan struct{}), hangup: hangup}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.results[c.Name]; ok {
		return nil, fmt.Errorf("there was a call %q before", c.Name)
	}
	w.results[c.Name] = r
	w.calls.Go(func() { r.run(ctx, n.doors[doorCaller].Address()) })
	return r, nil
}

// complete fills in what the kind determines.
func (w *World) complete(c *Call) error {
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

// Result returns a call by name.
func (w *World) Result(name string) (*Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.results[name]
	if !ok {
		return nil, fmt.Errorf("no call %q", name)
	}
	return r, nil
}

// Results returns all calls whose name is the prefix, or starts with it and a dot.
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

// Done is closed at the call's end.
func (r *Result) Done() <-chan struct{} { return r.done }

// Ended tells whether the call has ended.
func (r *Result) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// HasChunk tells whether a chunk of the answer came.
func (r *Result) HasChunk() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.FirstChunk > 0
}

// Wait waits for the end, which comes at the latest when the caller gives up.
func (r *Result) Wait() { <-r.done }

// String is one line for a failed scenario.
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

// Hangup makes the caller of a call go away.
func (w *World) Hangup(name string) error {
	r, err := w.Result(name)
	if err != nil {
		return err
	}
	r.hangup()
	return nil
}

func (r *Result) run(ctx context.Context, address string) {
	defer close(r.done)
	defer r.hangup()
	ctx, cancel := context.WithTimeout(ctx, r.Call.TimeLimit.Duration()+patience)
	defer cancel()
	r.exchange(ctx, address)
	r.Elapsed = time.Since(r.SentAt)
}

// exchange sends the request on a connection of its own and reads the answer.
func (r *Result) exchange(ctx context.Context, address string) {
	req, err := r.Call.request(ctx, address)
	if err != nil {
		r.ends(Wrong, err.Error())
		return
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	// The transport's own repeat would send a request twice in the caller's name.
	req.GetBody = nil
	resp, err := t.RoundTrip(req)
	if err != nil {
		r.broken(ctx, err)
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

// broken tells a caller that gave up from a connection that was lost.
func (r *Result) broken(ctx context.Context, err error) {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.ends(TimedOut, "the caller gave up")
		return
	case context.Canceled:
		r.ends(Canceled, "")
		return
	}
	r.ends(Disconnected, err.Error())
}

func (r *Result) ends(e Outcome, problem string) { r.Outcome, r.Problem = e, problem }

// prompt is the whole prompt: the text, padded to its length.
func (c *Call) prompt() string {
	const pad = " please draft this for the ward"
	b := []byte(c.PromptStart + ":")
	for len(b) < c.PromptTokens*bytesPerToken {
		b = append(b, pad...)
	}
	return string(b[:max(len(c.PromptStart)+1, c.PromptTokens*bytesPerToken)])
}

// bytesPerToken is how the stand-ins and daemons count prompts.
const bytesPerToken = 4

// generation is the body of a generation request.
type generation struct {
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
	return json.Marshal(generation{Model: Model, Stream: !c.NonStreaming, Max: c.OutputLimit, Messages: []message{{"user", c.prompt()}}})
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

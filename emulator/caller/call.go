// Package caller plays a caller of the daemons: it sends one request and judges
// the answer against what its prompt calls for.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"snipeshift.example/emulator/service"
	"snipeshift.example/lib/expect"
)

// Outcome is what became of one request, as its caller sees it.
type Outcome string

// The outcomes.
const (
	Finished Outcome = "finished" // the whole answer, checked
	Refused  Outcome = "refused"  // an error that says the request did not run
	Failed   Outcome = "failed"   // an error that says it ran or may have run
	Broken   Outcome = "broken"   // the connection ended without an error or an end mark
	Overdue  Outcome = "overdue"  // no end within the allowed time and the slack
	Wrong    Outcome = "wrong"    // an answer that is not the prompt's own, or is incomplete and marked whole
)

// Result is one request's outcome.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"`
	// ErrorKind and Ran are the error's, Retry is its Retry-After in seconds.
	ErrorKind  string `json:"kind,omitempty"`
	Ran        string `json:"ran,omitempty"`
	RetryAfter int    `json:"retry,omitempty"`
	// Request is the request id, Reason one line on anything but success.
	Request string `json:"request"`
	Reason  string `json:"reason,omitempty"`
	// Text is what came of the answer.
	Text string `json:"text"`
	// FirstToken is the time to the first token, Total that to the end; Gaps are the spans between tokens.
	FirstToken time.Duration   `json:"first"`
	Total      time.Duration   `json:"total"`
	Gaps       []time.Duration `json:"-"`
}

// Client sends requests.
type Client struct{ http *http.Client }

// idleConns is how many connections to one address are kept for reuse.
const idleConns = 1024

// New returns a client with connections of its own.
func New() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and judges the answer. Times count from start.
func (c *Client) Do(ctx context.Context, q Request, start time.Time) Result {
	if q.TimeLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, start.Add((q.TimeLimit + q.Slack).Duration()))
		defer cancel()
	}
	r := Result{}
	err := c.exchange(ctx, q, start, &r)
	r.Total = time.Since(start)
	if r.FirstToken == 0 {
		r.FirstToken = r.Total
	}
	if err != nil && r.Outcome == "" {
		r.Reason = err.Error()
		r.Outcome = Broken
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.Outcome = Overdue
		}
	}
	return r
}

func (c *Client) exchange(ctx context.Context, q Request, start time.Time, r *Result) error {
	h, err := q.encode(ctx)
	if err != nil {
		return err
	}
	a, err := c.http.Do(h)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	r.Status = a.StatusCode
	r.Request = a.Header.Get("Snipeshift-Request")
	switch {
	case a.StatusCode != http.StatusOK:
		return r.refusal(a)
	case q.Service:
		return r.plain(q, a.Body)
	case q.Stream:
		return r.stream(q, a.Body, start)
	default:
		return r.whole(q, a.Body)
	}
}

func (q *Request) encode(ctx context.Context) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	h.GetBody = nil // the client must not repeat a request by itself
	h.Header.Set("Content-Type", "application/json")
	if q.Direct {
		h.Header.Set("X-Request-Id", q.ID)
	} else {
		h.Header.Set("Authorization", "Bearer "+q.Key)
	}
	if q.Kind != "" {
		h.Header.Set("Snipeshift-Kind", q.Kind)
	}
	if q.IdempotencyKey != "" {
		h.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.Deadline > 0 {
		h.Header.Set("Snipeshift-Deadline", strconv.FormatInt(int64(q.Deadline), 10))
	}
	return h, nil
}

// problem is an error in the API's shape.
type problem struct {
	Error *struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Ran     string `json:"ran"`
		Request string `json:"request"`
	} `json:"error"`
}

// refusal reads an error answer.
func (r *Result) refusal(a *http.Response) error {
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	r.ErrorKind = a.Header.Get("Snipeshift-Error")
	if r.ErrorKind == "" {
		r.ErrorKind = "http-" + strconv.Itoa(a.StatusCode)
	}
	r.Ran = a.Header.Get("Snipeshift-Ran")
	r.RetryAfter, _ = strconv.Atoi(a.Header.Get("Retry-After"))
	r.Reason = string(text[:min(len(text), reasonLimit)])
	r.outcomeOfRan()
	return nil
}

// reasonLimit is how much of an error's body is kept, in bytes.
const reasonLimit = 300

func (r *Result) outcomeOfRan() {
	r.Outcome = Failed
	if r.Ran == "no" {
		r.Outcome = Refused
	}
}

// plain checks a service's answer.
func (r *Result) plain(q Request, body io.Reader) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.Text = string(text)
	var a service.Response
	if err := json.Unmarshal(text, &a); err != nil {
		return r.judge(fmt.Errorf("the service's answer is malformed: %w", err))
	}
	if want := service.Hash(q.Body); a.Hash != want {
		return r.judge(fmt.Errorf("the service's answer is to body %s in place of %s", a.Hash, want))
	}
	return r.judge(nil)
}

// judge settles the outcome of an answer that claims to be whole.
func (r *Result) judge(err error) error {
	r.Outcome = Finished
	if err != nil {
		r.Outcome = Wrong
		r.Reason = err.Error()
	}
	return nil
}

// chunk is one event of a stream, or a whole answer.
type chunk struct {
	problem
	ID      string `json:"id"`
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Prompt int `json:"prompt_tokens"`
		Output int `json:"completion_tokens"`
	} `json:"usage"`
}

// whole checks an answer that is no stream.
func (r *Result) whole(q Request, body io.Reader) error {
	var c chunk
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &c); err != nil || len(c.Choices) != 1 {
		return r.judge(fmt.Errorf("the answer is malformed: %.100q", text))
	}
	r.Text = c.Choices[0].Message.Content
	return r.judge(r.check(q, c.Usage != nil && c.Usage.Output == q.output()))
}

func (q *Request) output() int {
	if q.OutputTokens == 0 {
		return expect.DefaultTokens
	}
	return q.OutputTokens
}

func (r *Result) check(q Request, counted bool) error {
	if !counted {
		return errors.New("the answer's usage is missing or wrong")
	}
	return expect.Check(q.Prompt, r.Text, q.output())
}

// reader is what is known of a stream so far.
type reader struct {
	id   string
	last time.Time
	// miscounted is set by a usage that is not the answer's; a stream need not carry one.
	miscounted bool
}

// stream checks events as they come, up to the end mark.
func (r *Result) stream(q Request, body io.Reader, start time.Time) error {
	var s reader
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return r.partial(q, err)
		}
		if e.Data == "[DONE]" {
			return r.judge(r.check(q, !s.miscounted))
		}
		if done, err := r.event(q, &s, e.Data, start); done || err != nil {
			return err
		}
		time.Sleep(q.ReadPause.Duration())
	}
	return r.partial(q, io.ErrUnexpectedEOF)
}

// event takes one event in, and returns true if it ended the stream.
func (r *Result) event(q Request, s *reader, data string, start time.Time) (bool, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return true, r.judge(fmt.Errorf("malformed event %.100q", data))
	}
	if c.Error != nil {
		r.ErrorKind, r.Ran, r.Reason = c.Error.Type, c.Error.Ran, c.Error.Message
		r.outcomeOfRan()
		return true, r.partial(q, nil)
	}
	if s.id == "" {
		s.id = c.ID
	}
	if c.ID != s.id {
		return true, r.judge(fmt.Errorf("an event of request %q on the stream of %q", c.ID, s.id))
	}
	if c.Usage != nil {
		s.miscounted = c.Usage.Output != q.output()
	}
	if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
		if r.FirstToken == 0 && q.OnFirstToken != nil {
			q.OnFirstToken()
		}
		r.token(s, start)
		r.Text += c.Choices[0].Delta.Content
	}
	return false, nil
}

func (r *Result) token(s *reader, start time.Time) {
	now := time.Now()
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(s.last))
	}
	s.last = now
}

// partial settles an answer that stopped early: what came of it must still be the prompt's own.
func (r *Result) partial(q Request, err error) error {
	if want := expect.SeedOf(q.Prompt).Answer(q.output()); !strings.HasPrefix(want, r.Text) {
		return r.judge(errors.New("the part that came is not of the prompt's answer"))
	}
	return err
}

// Package caller is a test client of the daemons. It sends one request and checks that the
// response is the one that an emulated engine or service computes from the prompt or body.
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

// Outcome classifies the end of one request as the client sees it.
type Outcome string

// The outcomes of a request.
const (
	Finished Outcome = "finished" // complete response with the expected content
	Refused  Outcome = "refused"  // error response declaring that the request did not run
	Failed   Outcome = "failed"   // error response declaring that the request ran or may have run
	Broken   Outcome = "broken"   // no connection, or it ended without an error event or end marker
	Overdue  Outcome = "overdue"  // response not complete within Request.TimeLimit plus Request.Slack
	Wrong    Outcome = "wrong"    // content not expected for the prompt, or truncated but marked complete
)

// Result is the outcome of one request, with its content and timing.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"`
	// ErrorKind is the error type, Ran the declaration whether the request ran ("no", "yes" or
	// "maybe"), and RetryAfter the Retry-After header in seconds. All are empty without an error.
	ErrorKind  string `json:"kind,omitempty"`
	Ran        string `json:"ran,omitempty"`
	RetryAfter int    `json:"retry,omitempty"`
	// Request is the request ID that the daemon assigned. Reason describes the error if the
	// outcome is not Finished.
	Request string `json:"request"`
	Reason  string `json:"reason,omitempty"`
	// Text is the received part of the response text.
	Text string `json:"text"`
	// FirstToken is the time from start to the first token, Total the time to the end of the
	// response, and Gaps the times between successive tokens. Without tokens FirstToken is Total.
	FirstToken time.Duration   `json:"first"`
	Total      time.Duration   `json:"total"`
	Gaps       []time.Duration `json:"-"`
}

// Client sends requests over its own pool of HTTP connections.
type Client struct{ http *http.Client }

// idleConns is the maximum number of idle connections to one address that are kept for reuse.
const idleConns = 1024

// New returns a client that shares no connections with other clients.
func New() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and checks the response. Times in the result, and the time allowed for
// the request, are measured from start.
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
	req, err := q.httpRequest(ctx)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.Request = resp.Header.Get("Snipeshift-Request")
	switch {
	case resp.StatusCode != http.StatusOK:
		return r.readError(resp)
	case q.Service:
		return r.readServiceResponse(q, resp.Body)
	case q.Stream:
		return r.readStream(q, resp.Body, start)
	default:
		return r.readCompletion(q, resp.Body)
	}
}

func (q *Request) httpRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from retrying the request on its own
	req.Header.Set("Content-Type", "application/json")
	if q.Direct {
		req.Header.Set("X-Request-Id", q.ID)
	} else {
		req.Header.Set("Authorization", "Bearer "+q.Key)
	}
	if q.Kind != "" {
		req.Header.Set("Snipeshift-Kind", q.Kind)
	}
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.Deadline > 0 {
		req.Header.Set("Snipeshift-Deadline", strconv.FormatInt(int64(q.Deadline), 10))
	}
	return req, nil
}

// errorBody is an error in the format of the API.
type errorBody struct {
	Error *struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Ran     string `json:"ran"`
		Request string `json:"request"`
	} `json:"error"`
}

// readError reads an error response and sets the outcome from it.
func (r *Result) readError(resp *http.Response) error {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	r.ErrorKind = resp.Header.Get("Snipeshift-Error")
	if r.ErrorKind == "" {
		r.ErrorKind = "http-" + strconv.Itoa(resp.StatusCode)
	}
	r.Ran = resp.Header.Get("Snipeshift-Ran")
	r.RetryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	r.Reason = string(text[:min(len(text), maxReasonBytes)])
	r.setOutcomeFromRan()
	return nil
}

// maxReasonBytes is the length to which an error body is truncated in Result.Reason.
const maxReasonBytes = 300

func (r *Result) setOutcomeFromRan() {
	r.Outcome = Failed
	if r.Ran == "no" {
		r.Outcome = Refused
	}
}

// readServiceResponse reads the response of a plain service and checks its hash of the request body.
func (r *Result) readServiceResponse(q Request, body io.Reader) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.Text = string(text)
	var resp service.Response
	if err := json.Unmarshal(text, &resp); err != nil {
		return r.conclude(fmt.Errorf("malformed service response: %w", err))
	}
	if want := service.Hash(q.Body); resp.Hash != want {
		return r.conclude(fmt.Errorf("service response has body hash %s, want %s", resp.Hash, want))
	}
	return r.conclude(nil)
}

// conclude sets the outcome: Finished if err is nil, else Wrong. It always returns nil, since a
// wrong response is a result and not a transport error.
func (r *Result) conclude(err error) error {
	r.Outcome = Finished
	if err != nil {
		r.Outcome = Wrong
		r.Reason = err.Error()
	}
	return nil
}

// completion is one event of a streamed chat completion, or a complete non-streaming response.
type completion struct {
	errorBody
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

// readCompletion reads and checks a non-streaming response.
func (r *Result) readCompletion(q Request, body io.Reader) error {
	var c completion
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &c); err != nil || len(c.Choices) != 1 {
		return r.conclude(fmt.Errorf("malformed response: %.100q", text))
	}
	r.Text = c.Choices[0].Message.Content
	return r.conclude(r.checkAnswer(q, c.Usage != nil && c.Usage.Output == q.outputTokens()))
}

func (q *Request) outputTokens() int {
	if q.OutputTokens == 0 {
		return expect.DefaultTokens
	}
	return q.OutputTokens
}

func (r *Result) checkAnswer(q Request, usageCorrect bool) error {
	if !usageCorrect {
		return errors.New("token usage of the response is missing or wrong")
	}
	return expect.Check(q.Prompt, r.Text, q.outputTokens())
}

// streamState is the state carried from one event of a stream to the next.
type streamState struct {
	id        string
	lastToken time.Time
	// usageWrong is set if the last reported usage differs from the requested output length.
	// It stays false without a usage, which is optional in a stream.
	usageWrong bool
}

// readStream checks the events of a stream as they arrive, up to the end marker "[DONE]".
func (r *Result) readStream(q Request, body io.Reader, start time.Time) error {
	var s streamState
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return r.concludePartial(q, err)
		}
		if e.Data == "[DONE]" {
			return r.conclude(r.checkAnswer(q, !s.usageWrong))
		}
		if done, err := r.handleEvent(q, &s, e.Data, start); done || err != nil {
			return err
		}
		time.Sleep(q.ReadPause.Duration())
	}
	return r.concludePartial(q, io.ErrUnexpectedEOF)
}

// handleEvent processes the data of one event and reports whether the stream ended with it.
func (r *Result) handleEvent(q Request, s *streamState, data string, start time.Time) (bool, error) {
	var c completion
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return true, r.conclude(fmt.Errorf("malformed event %.100q", data))
	}
	if c.Error != nil {
		r.ErrorKind, r.Ran, r.Reason = c.Error.Type, c.Error.Ran, c.Error.Message
		r.setOutcomeFromRan()
		return true, r.concludePartial(q, nil)
	}
	if s.id == "" {
		s.id = c.ID
	}
	if c.ID != s.id {
		return true, r.conclude(fmt.Errorf("event of request %q received on the stream of request %q", c.ID, s.id))
	}
	if c.Usage != nil {
		s.usageWrong = c.Usage.Output != q.outputTokens()
	}
	if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
		if r.FirstToken == 0 && q.OnFirstToken != nil {
			q.OnFirstToken()
		}
		r.recordToken(s, start)
		r.Text += c.Choices[0].Delta.Content
	}
	return false, nil
}

func (r *Result) recordToken(s *streamState, start time.Time) {
	now := time.Now()
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(s.lastToken))
	}
	s.lastToken = now
}

// concludePartial checks the text of a response that ended early. The outcome is Wrong if the
// text is not a prefix of the expected response; otherwise concludePartial returns err.
func (r *Result) concludePartial(q Request, err error) error {
	if want := expect.SeedOf(q.Prompt).Answer(q.outputTokens()); !strings.HasPrefix(want, r.Text) {
		return r.conclude(errors.New("partial response is not a prefix of the expected one"))
	}
	return err
}

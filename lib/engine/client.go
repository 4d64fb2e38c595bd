package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/retryafter"
)

// The ways a call to an engine fails.
var (
	// ErrNotSent is proof that no byte of the request reached the engine.
	ErrNotSent = errs.Class("engine not reached")
	// ErrBroken is a connection that was cut, or whose bytes make no sense.
	ErrBroken = errs.Class("engine stream broken")
	// ErrIdleTimeout is a stream on which nothing came for longer than allowed.
	ErrIdleTimeout = errs.Class("engine stream silent")
	// ErrMismatch is a chunk that belongs to another request, or out of order.
	ErrMismatch = errs.Class("engine chunk of another request")
)

// Headers that an engine reads.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderReserve  = "X-Reserve"
	HeaderGrant    = "X-Grant"
	HeaderGroup    = "X-Group"
)

// smallAnswer bounds what is read of answers that are not streams, in bytes.
const smallAnswer = 8 << 20

// Client calls engines and plain services by address. It is safe for concurrent use.
type Client struct {
	// shared keeps connections; only calls that may run twice use it.
	shared *http.Client
	// fresh opens a connection for each call. A kept connection may have gone
	// silent, and net/http sends a request again when a kept connection turns
	// out closed, so a request that must not be repeated never uses one.
	fresh *http.Client
}

// NewClient returns a client that gives up a dial after the given time.
func NewClient(dial time.Duration) *Client {
	d := &net.Dialer{Timeout: dial, KeepAlive: 5 * time.Second}
	kept := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	once := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{shared: &http.Client{Transport: kept, CheckRedirect: noRedirect}, fresh: &http.Client{Transport: once, CheckRedirect: noRedirect}}
}

// noRedirect hands a redirect to the caller: following one would send the request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends req and tells whether any byte of it went out. Once sends it on a
// connection of its own, just opened.
func (c *Client) Do(req *http.Request, once bool) (*http.Response, error) {
	wrote := false
	trace := &httptrace.ClientTrace{
		// GotConn comes before the first byte is written; from here on nothing is proved.
		GotConn: func(httptrace.GotConnInfo) { wrote = true },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	h := c.shared
	if once {
		h = c.fresh
	}
	resp, err := h.Do(req)
	if err == nil {
		return resp, nil
	}
	if !wrote {
		return nil, ErrNotSent.Wrap(err)
	}
	return nil, ErrBroken.Wrap(err)
}

// CloseIdle throws kept connections away, after one was found silent.
func (c *Client) CloseIdle() { c.shared.CloseIdleConnections() }

// Call describes a generation to start.
type Call struct {
	Address string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	Body []byte
	// Once is true for a request that must not be repeated.
	Once    bool
	Request decide.RequestID
	// Priority is the grant's, 0 first.
	Priority uint8
	Reserve  decide.Tokens
	Grant    decide.GrantID
	// Group names the engines of a prompt that spans several, leader first.
	Group []decide.UpstreamID
	// IdempotencyKey is the caller's idempotency key, if any.
	IdempotencyKey string
}

// Start posts a generation and returns its stream. Idle is the longest silence
// between two events, the wait for the first one included in first.
func (c *Client) Start(ctx context.Context, call Call, first, idle time.Duration) (*Stream, error) {
	sctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(sctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		cancel(nil)
		return nil, ErrNotSent.Wrap(err)
	}
	// Without GetBody net/http cannot send the body a second time on its own.
	req.GetBody = nil
	setHeaders(req, call)
	w := newWatchdog(first, func() { cancel(ErrIdleTimeout.New("no event in time")) })
	resp, err := c.Do(req, call.Once)
	if err != nil {
		w.stop()
		err = silentOr(sctx, err)
		cancel(nil)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		w.stop()
		err := statusError(resp)
		cancel(nil)
		return nil, err
	}
	return &Stream{request: call.Request, body: resp.Body, ctx: sctx, cancel: cancel, dog: w, idle: idle}, nil
}

func setHeaders(req *http.Request, call Call) {
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, string(call.Request))
	h.Set(HeaderPriority, strconv.Itoa(int(call.Priority)))
	h.Set(HeaderReserve, strconv.FormatInt(int64(call.Reserve), 10))
	h.Set(HeaderGrant, strconv.FormatUint(uint64(call.Grant), 10))
	if len(call.Group) > 1 {
		names := make([]string, len(call.Group))
		for i, u := range call.Group {
			names[i] = string(u)
		}
		h.Set(HeaderGroup, strings.Join(names, ","))
	}
	if call.IdempotencyKey != "" {
		h.Set("Idempotency-Key", call.IdempotencyKey)
	}
}

// silentOr names the watchdog as the cause where it ended the call.
func silentOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && ErrIdleTimeout.Has(cause) {
		return cause
	}
	return err
}

func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	resp.Body.Close()
	e := &StatusError{Status: resp.StatusCode, Text: strings.TrimSpace(string(b))}
	if retryafter.IsRejection(e.Status) {
		e.RetryAfter, _ = retryafter.Parse(resp.Header)
	}
	return e
}

// StatusError is an engine's refusal.
type StatusError struct {
	Status int
	// Text is the start of the engine's answer.
	Text string
	// RetryAfter is for how long an engine that turned the request away wants none; zero where it does not say.
	RetryAfter clock.Milli
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered %d: %s", e.Status, e.Text) }

// Cancel ends a request and frees its memory. It is idempotent: an unknown request is no error.
func (c *Client) Cancel(ctx context.Context, address string, id decide.RequestID) error {
	return c.small(ctx, http.MethodDelete, address, "/v1/requests/"+string(id), nil, nil)
}

// Reserve holds memory on a group member for a request. Cancel frees it.
func (c *Client) Reserve(ctx context.Context, address string, id decide.RequestID, n decide.Tokens) error {
	return c.small(ctx, http.MethodPost, address, "/v1/kv", reservation{Request: id, Tokens: n}, nil)
}

// DeleteExport deletes an export.
func (c *Client) DeleteExport(ctx context.Context, address, handle string) error {
	return c.small(ctx, http.MethodDelete, address, "/v1/kv/"+handle, nil, nil)
}

// Load reads an engine's own report, which lags.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.small(ctx, http.MethodGet, address, "/load", nil, &l)
	return l, err
}

// Events reads cache events after a sequence number. Events may be missing.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]Event, error) {
	var es []Event
	err := c.small(ctx, http.MethodGet, address, "/events?after="+strconv.FormatUint(after, 10), nil, &es)
	return es, err
}

// Order asks an engine to change; an engine that checks answers 409 to an old fence.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.small(ctx, http.MethodPost, address, "/orders", o, nil)
}

type reservation struct {
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Load is an engine's report.
type Load struct {
	At      int64     `json:"at"`
	Seq     uint64    `json:"seq"`
	Running []Running `json:"running"`
	Exports []Export  `json:"exports"`
	// Used and Memory are KV memory in tokens.
	Used    decide.Tokens `json:"used"`
	Memory  decide.Tokens `json:"memory"`
	Queued  int           `json:"queued"`
	Leaving bool          `json:"leaving"`
	Role    string        `json:"role"`
}

// Running is one request an engine holds memory for.
type Running struct {
	ID       decide.RequestID `json:"id"`
	Reserved decide.Tokens    `json:"reserved"`
}

// Export is KV cache that waits to be fetched; it holds memory until deleted.
type Export struct {
	Handle  string           `json:"handle"`
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Event is one cache event.
type Event struct {
	Seq     uint64            `json:"seq"`
	Prefix  decide.PrefixHash `json:"prefix"`
	Evicted bool              `json:"evicted"`
}

// Order is an order with the fencing number of its holder.
type Order struct {
	Fence uint64 `json:"fence"`
	// Order is role, model, adapter or version.
	Order string `json:"order"`
	Value string `json:"value"`
}

// small runs a call with a short answer, repeatable by nature.
func (c *Client) small(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return ErrNotSent.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return ErrNotSent.Wrap(err)
	}
	resp, err := c.Do(req, false)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound && method == http.MethodDelete {
		return nil
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, smallAnswer))
		return err
	}
	return ErrBroken.Wrap(json.NewDecoder(io.LimitReader(resp.Body, smallAnswer)).Decode(out))
}

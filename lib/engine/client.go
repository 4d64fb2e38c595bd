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
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/http1"
	"snipeshift.example/lib/retryafter"
)

// Classes of errors of calls to an engine.
var (
	// ErrNotSent means that certainly no byte of the request was sent to the engine.
	ErrNotSent = errs.Class("engine not reached")
	// ErrBroken means that the connection was cut or that the response is malformed.
	ErrBroken = errs.Class("engine stream broken")
	// ErrIdleTimeout means that no event arrived on the stream within the allowed time.
	ErrIdleTimeout = errs.Class("engine stream timed out")
	// ErrMismatch means that a chunk belongs to another request or is out of order.
	ErrMismatch = errs.Class("engine chunk of another request")
)

// Header fields of requests to engines.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderReserve  = "X-Reserve"
	HeaderGrant    = "X-Grant"
	HeaderGroup    = "X-Group"
)

// Limits on the responses of engines, in bytes.
const (
	// maxHeaderBytes bounds the header of a response, which has some hundred bytes.
	maxHeaderBytes = 32 << 10
	// maxResponseBytes bounds how much is read of responses that are not streams: reports and cache events.
	maxResponseBytes = 1 << 20
	// maxErrorBytes bounds the part of an error response that is kept for its message.
	maxErrorBytes = 512
)

// Client calls engines and plain services by address. It is safe for concurrent use.
type Client struct {
	open dial.Dial
	// pooled reuses connections; only calls that may run twice use it.
	pooled *http.Client
	// unpooled opens a connection for each call. A pooled connection may be broken without a sign,
	// and net/http sends a request again when a pooled connection turns out to be closed, so a
	// request that must not be repeated never uses one.
	unpooled *http.Client
}

// NewClient returns a client that opens connections with open.
func NewClient(open dial.Dial) *Client {
	pooled := http1.NewTransport(&http.Transport{
		DialContext:            open,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	unpooled := http1.NewTransport(&http.Transport{DialContext: open, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Client{open: open, pooled: &http.Client{Transport: pooled, CheckRedirect: noRedirect}, unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect}}
}

// noRedirect makes http.Client return a redirect instead of following it, which would send the request
// a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends req. An error is in class ErrNotSent if certainly no byte of the request was sent, and in
// ErrBroken otherwise. If once is true, the request is sent on a new connection of its own.
func (c *Client) Do(req *http.Request, once bool) (*http.Response, error) {
	wrote := false
	trace := &httptrace.ClientTrace{
		// GotConn is called before the first byte is written; from then on, it cannot be ruled out
		// that bytes were sent.
		GotConn: func(httptrace.GotConnInfo) { wrote = true },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	h := c.pooled
	if once {
		h = c.unpooled
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

// Dial opens a connection to an engine on which nothing is sent.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	return c.open(ctx, "tcp", address)
}

// CloseIdle closes the idle pooled connections. It is called after one of them did not respond.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// Call is a generation to start.
type Call struct {
	Address string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	Body []byte
	// Once is true for a request that must not be repeated.
	Once    bool
	Request decide.RequestID
	// Priority is the priority of the grant; 0 is served first.
	Priority uint8
	// Reserve is the KV memory that the engine reserves for the request.
	Reserve decide.Tokens
	Grant   decide.GrantID
	// Group lists the engines if the prompt spans several, the leader first.
	Group []decide.UpstreamID
	// IdempotencyKey is the client's idempotency key, if any.
	IdempotencyKey string
	// Output is the most tokens that the engine was asked to generate; zero for no bound.
	Output decide.Tokens
}

// Start sends a generation request and returns its stream. The first event must arrive within first
// after the call, each further one within idle after the event before it.
func (c *Client) Start(ctx context.Context, call Call, first, idle time.Duration) (*Stream, error) {
	sctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(sctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		cancel(nil)
		return nil, ErrNotSent.Wrap(err)
	}
	// Without GetBody, net/http cannot send the body a second time by itself.
	req.GetBody = nil
	setHeaders(req, call)
	w := newWatchdog(first, func() { cancel(ErrIdleTimeout.New("no event within the allowed time")) })
	resp, err := c.Do(req, call.Once)
	if err != nil {
		w.stop()
		err = idleCauseOr(sctx, err)
		cancel(nil)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err := statusError(resp)
		w.stop()
		cancel(nil)
		return nil, err
	}
	return &Stream{request: call.Request, body: resp.Body, ctx: sctx, cancel: cancel, watchdog: w, idle: idle, most: maxEvents(call.Output)}, nil
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

// idleCauseOr returns the watchdog's error if the watchdog canceled the call, and err otherwise.
func idleCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && ErrIdleTimeout.Has(cause) {
		return cause
	}
	return err
}

// statusError closes the response and returns it as a StatusError. It waits for the text, which may not end before the
// context of the request does.
func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	resp.Body.Close()
	e := &StatusError{Status: resp.StatusCode, Text: strings.TrimSpace(string(b))}
	if retryafter.IsRejection(e.Status) {
		e.RetryAfter, _ = retryafter.Parse(resp.Header)
	}
	return e
}

// StatusError is a response of an engine with an error status.
type StatusError struct {
	Status int
	// Text is the start of the response body.
	Text string
	// RetryAfter is the back-off that an engine asks for when it rejects a request; zero if it names none.
	RetryAfter clock.Milli
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine responded with status %d: %s", e.Status, e.Text)
}

// Cancel ends a request and frees its memory. It is idempotent: an unknown request is not an error.
func (c *Client) Cancel(ctx context.Context, address string, id decide.RequestID) error {
	return c.shortCall(ctx, http.MethodDelete, address, "/v1/requests/"+string(id), nil, nil)
}

// Reserve reserves memory for a request on a group member. Cancel frees it.
func (c *Client) Reserve(ctx context.Context, address string, id decide.RequestID, n decide.Tokens) error {
	return c.shortCall(ctx, http.MethodPost, address, "/v1/kv", reservation{Request: id, Tokens: n}, nil)
}

// DeleteExport deletes an export, which frees its memory.
func (c *Client) DeleteExport(ctx context.Context, address, handle string) error {
	return c.shortCall(ctx, http.MethodDelete, address, "/v1/kv/"+handle, nil, nil)
}

// Load reads an engine's load report, which lags behind its state.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.shortCall(ctx, http.MethodGet, address, "/load", nil, &l)
	return l, err
}

// Events reads the cache events after a sequence number. Some events may be missing.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]Event, error) {
	var es []Event
	err := c.shortCall(ctx, http.MethodGet, address, "/events?after="+strconv.FormatUint(after, 10), nil, &es)
	return es, err
}

// Order sends an order to an engine. An engine that checks fencing numbers responds to an outdated one
// with status 409.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.shortCall(ctx, http.MethodPost, address, "/orders", o, nil)
}

type reservation struct {
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Load is an engine's load report.
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

// Running is one request for which an engine reserves memory.
type Running struct {
	ID       decide.RequestID `json:"id"`
	Reserved decide.Tokens    `json:"reserved"`
}

// Export is KV cache that is ready to be fetched by another engine; it occupies memory until deleted.
type Export struct {
	Handle  string           `json:"handle"`
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Event is one cache event: a prefix was added to the cache or evicted from it.
type Event struct {
	Seq     uint64            `json:"seq"`
	Prefix  decide.PrefixHash `json:"prefix"`
	Evicted bool              `json:"evicted"`
}

// Order instructs an engine to change, for example its role or model. Fence is the fencing number of
// the lease under which the order is given.
type Order struct {
	Fence uint64 `json:"fence"`
	// Order is the property to change: role, model, adapter or version. Value is its new value.
	Order string `json:"order"`
	Value string `json:"value"`
}

// shortCall makes a call with a short response. The call must be idempotent, since it may be sent
// twice. A 404 response to a DELETE counts as success.
func (c *Client) shortCall(ctx context.Context, method, address, path string, in, out any) error {
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
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return err
	}
	return ErrBroken.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out))
}

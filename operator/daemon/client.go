// Package daemon is a client of the daemons' operator addresses.
package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/timeline"
)

// Class is the error class of this package.
var Class = errs.Class("daemon")

// ErrUnreachable means that a daemon could not be reached or its response broke off.
var ErrUnreachable = errs.New("no answer")

// maxResponse bounds the memory for the response of one daemon: a complete timeline is some ten
// megabytes.
const maxResponse = 64 << 20

// maxQuote bounds the quotation of a response in an error message, in bytes.
const maxQuote = 100

// Client is an HTTP client of daemons.
type Client struct {
	transport http.RoundTripper
	timeout   time.Duration
}

// New returns a client that waits up to timeout for each response.
func New(t http.RoundTripper, timeout time.Duration) *Client { return &Client{t, timeout} }

// Get requests a page from a daemon and decodes it.
func Get[A any](ctx context.Context, c *Client, address, path string) (A, error) {
	var a A
	text, err := c.call(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return a, err
	}
	return a, decode(address, text, &a)
}

// Put sends order to a daemon and returns the response, which has the same type.
func Put[A any](ctx context.Context, c *Client, address, path string, value A) (A, error) {
	var a A
	body, err := json.Marshal(value)
	if err != nil {
		return a, Class.Wrap(err)
	}
	text, err := c.call(ctx, http.MethodPut, address, path, body)
	if err != nil {
		return a, err
	}
	return a, decode(address, text, &a)
}

// Timeline requests the events that match a filter from a daemon.
func (c *Client) Timeline(ctx context.Context, address string, f timeline.Filter) ([]timeline.Event, error) {
	text, err := c.call(ctx, http.MethodGet, address, answers.PathTimeline+"?"+query(f).Encode(), nil)
	if err != nil {
		return nil, err
	}
	var events []timeline.Event
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var e timeline.Event
		if err := decode(address, lines.Bytes(), &e); err != nil {
			return nil, err
		}
		events = append(events, e)
	}
	return events, Class.Wrap(lines.Err())
}

func query(f timeline.Filter) url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" && value != "0" {
			q.Set(name, value)
		}
	}
	set(answers.ParamRequest, string(f.Request))
	set(answers.ParamWorkspace, string(f.Workspace))
	set(answers.ParamUpstream, string(f.Upstream))
	set(answers.ParamSince, strconv.FormatInt(int64(f.Since), 10))
	set(answers.ParamUntil, strconv.FormatInt(int64(f.Until), 10))
	return q
}

func decode(address string, text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return Class.New("unexpected response from %s: %v; use the snipeshift command of the daemon's version", address, err)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	res, err := c.transport.RoundTrip(q)
	if err != nil {
		return nil, unreachableError(address, err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponse+1))
	if err != nil {
		return nil, unreachableError(address, err)
	}
	if len(text) > maxResponse {
		return nil, Class.New("response from %s exceeds %d bytes: narrow the query", address, maxResponse)
	}
	if res.StatusCode/100 != 2 {
		return nil, statusError(address, res.StatusCode, text)
	}
	return text, nil
}

func unreachableError(address string, err error) error {
	return Class.Wrap(fmt.Errorf("%s: %w", address, errors.Join(ErrUnreachable, err)))
}

// statusError returns the error for a response without a success status.
func statusError(address string, status int, text []byte) error {
	var f answers.Failure
	if json.Unmarshal(text, &f) != nil || f.Error == "" {
		// The response is not from the daemon's handlers but from its HTTP server, for example
		// because the server requires a client certificate.
		first, _, _ := strings.Cut(string(text), "\n")
		f.Error = fmt.Sprintf("%q; if the daemon requires certificates, set --authority, --certificate and --key", first[:min(len(first), maxQuote)])
	}
	if status == http.StatusNotFound || status == http.StatusBadRequest {
		return Class.Wrap(&RejectedError{address, status, f.Error})
	}
	return Class.New("%s responded with status %d: %s", address, status, f.Error)
}

// RejectedError is the response of a daemon to a request that names something that it does not know.
type RejectedError struct {
	address string
	status  int
	// Text describes the error and how to correct it.
	Text string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s responded with status %d: %s", e.address, e.status, e.Text)
}

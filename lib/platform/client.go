package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/http1"
	"snipeshift.example/lib/nesting"
)

// Client is a client of the store at one address. It is safe for concurrent use.
type Client struct {
	baseURL  string
	timeouts Timeouts
	// reads reuses connections between calls.
	reads *http1.Transport
	// writes opens a connection for each call. http.Transport retries some requests by itself when a
	// reused connection turns out to be broken; whether the first attempt took effect would then be
	// unknown. It never retries the first request on a connection. In addition, a write on a new
	// connection can't hang on one that has stopped responding earlier.
	writes *http1.Transport

	// Counters of calls and of calls that ended with ErrUnavailable or ErrUnknown.
	readCalls, watchCalls, writeCalls atomic.Uint64
	unavailableCalls, unknownOutcomes atomic.Uint64
	// unusableVMs is the number of entries of the last list of VMs that are no VMs.
	unusableVMs atomic.Uint64
}

// NewClient returns a client of the store at address (host:port).
func NewClient(address string, t Timeouts) *Client {
	dial := (&net.Dialer{Timeout: t.Dial.Duration()}).DialContext
	return &Client{
		baseURL:  "http://" + address,
		timeouts: t,
		reads:    http1.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: (30 * clock.Second).Duration()}),
		writes:   http1.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
	}
}

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads: c.readCalls.Load(), Watches: c.watchCalls.Load(), Writes: c.writeCalls.Load(),
		Unavailable: c.unavailableCalls.Load(), Unknown: c.unknownOutcomes.Load(),
		UnusableVMs: c.unusableVMs.Load(),
	}
}

// Get reads an object. The result may be older than the last write.
func (c *Client) Get(ctx context.Context, k Kind, n Name) (Object, error) {
	c.readCalls.Add(1)
	resp, err := c.read(ctx, c.objectURL(k, n), c.timeouts.Read)
	if err != nil {
		return Object{}, err
	}
	return resp.object(n)
}

// Watch waits until the version of an object is above after, for at most wait. It returns false if
// no newer version appeared within that time.
func (c *Client) Watch(ctx context.Context, k Kind, n Name, after Version, wait clock.Milli) (Object, bool, error) {
	c.watchCalls.Add(1)
	u := fmt.Sprintf("%s?after=%d&wait=%d", c.objectURL(k, n), after, wait)
	resp, err := c.read(ctx, u, wait+c.timeouts.Read)
	if err != nil {
		return Object{}, false, err
	}
	if resp.status == http.StatusNotModified {
		return Object{}, false, nil
	}
	o, err := resp.object(n)
	return o, err == nil && o.Version > after, err
}

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, k Kind, prefix string) ([]Object, error) {
	c.readCalls.Add(1)
	resp, err := c.read(ctx, c.baseURL+"/objects/"+url.PathEscape(string(k))+"?prefix="+url.QueryEscape(prefix), c.timeouts.Read)
	if err != nil {
		return nil, err
	}
	var os []Object
	return os, c.decode(resp, &os)
}

// VMs reads the platform's list of VMs, which may be outdated. It omits entries that are no VMs; Counts tells how many.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.readCalls.Add(1)
	resp, err := c.read(ctx, c.baseURL+"/vms", c.timeouts.Read)
	if err != nil {
		return nil, err
	}
	var entries []json.RawMessage
	if err := c.decode(resp, &entries); err != nil {
		return nil, err
	}
	return c.usableVMs(entries), nil
}

// usableVMs decodes each entry by itself, so that an odd one does not make the others unreadable.
func (c *Client) usableVMs(entries []json.RawMessage) []VM {
	vs := make([]VM, 0, len(entries))
	for _, entry := range entries {
		var v VM
		if json.Unmarshal(entry, &v) == nil {
			vs = append(vs, v)
		}
	}
	c.unusableVMs.Store(uint64(len(entries) - len(vs)))
	return vs
}

// Put writes an object if the condition holds, and returns its new version.
func (c *Client) Put(ctx context.Context, k Kind, n Name, value []byte, cond Condition) (Version, error) {
	if len(value) > MaxValueSize {
		return 0, Class.Wrap(fmt.Errorf("%w: %s/%s has %d bytes", ErrRefused, k, n, len(value)))
	}
	resp, err := c.write(ctx, http.MethodPut, c.objectURL(k, n), value, cond)
	if err != nil {
		return 0, err
	}
	v, err := parseVersion(resp.etag)
	if err != nil {
		// The write took effect, but its version is unknown.
		c.unknownOutcomes.Add(1)
		return 0, Class.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return v, nil
}

// Delete deletes an object if the condition holds.
func (c *Client) Delete(ctx context.Context, k Kind, n Name, cond Condition) error {
	_, err := c.write(ctx, http.MethodDelete, c.objectURL(k, n), nil, cond)
	return err
}

// objectURL returns the URL of an object.
func (c *Client) objectURL(k Kind, n Name) string {
	return c.baseURL + "/objects/" + url.PathEscape(string(k)) + "/" + url.PathEscape(string(n))
}

// response is a response of the store with its whole body.
type response struct {
	status int
	etag   string
	body   []byte
}

// object returns the object that a response contains.
func (r response) object(n Name) (Object, error) {
	v, err := parseVersion(r.etag)
	if err != nil {
		return Object{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return Object{Name: n, Version: v, Value: r.body}, nil
}

func (c *Client) decode(resp response, into any) error {
	if err := json.Unmarshal(nesting.Cut(resp.body, maxNesting), into); err != nil {
		c.unavailableCalls.Add(1)
		return Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return nil
}

func (c *Client) read(ctx context.Context, u string, limit clock.Milli) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return response{}, Class.Wrap(fmt.Errorf("%w: %w", ErrRefused, err))
	}
	resp, err := roundTrip(c.reads, req)
	if err != nil {
		// A reused connection can stop responding for good while new ones work. Which of the idle
		// connections are affected is unknown, so all are closed and the next call opens a new one.
		c.reads.CloseIdleConnections()
		c.unavailableCalls.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	switch {
	case resp.status == http.StatusOK, resp.status == http.StatusNotModified:
		return resp, nil
	case resp.status == http.StatusNotFound:
		return response{}, ErrNotFound
	case resp.status >= 500, resp.status == http.StatusTooManyRequests:
		c.unavailableCalls.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnavailable, resp.status))
	default:
		return response{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrRefused, resp.status))
	}
}

func (c *Client) write(ctx context.Context, method, u string, value []byte, cond Condition) (response, error) {
	c.writeCalls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Write.Duration())
	defer cancel()
	// Once a connection was established, the store may have received the write.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(value))
	if err != nil {
		return response{}, Class.Wrap(fmt.Errorf("%w: %w", ErrRefused, err))
	}
	// Without GetBody, http.Transport can't send the body again and therefore does not retry.
	req.GetBody = nil
	switch {
	case cond.Absent:
		req.Header.Set("If-None-Match", "*")
	case cond.Version != 0:
		req.Header.Set("If-Match", quote(cond.Version))
	}
	resp, err := roundTrip(c.writes, req)
	if err != nil && !sent.Load() {
		c.unavailableCalls.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	if err != nil {
		c.unknownOutcomes.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return c.checkWriteStatus(resp, cond)
}

// checkWriteStatus maps the status of a write to an error.
func (c *Client) checkWriteStatus(resp response, cond Condition) (response, error) {
	switch {
	case resp.status >= 200 && resp.status < 300:
		return resp, nil
	case resp.status == http.StatusPreconditionFailed:
		return response{}, ErrConflict
	case resp.status == http.StatusNotFound && cond.Version != 0:
		return response{}, ErrConflict
	case resp.status == http.StatusNotFound:
		return response{}, ErrNotFound
	case resp.status == http.StatusTooManyRequests:
		c.unavailableCalls.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnavailable, resp.status))
	case resp.status >= 500:
		// A proxy in front of the store may also respond so after it has forwarded the write.
		c.unknownOutcomes.Add(1)
		return response{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnknown, resp.status))
	default:
		return response{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrRefused, resp.status))
	}
}

// maxNesting is the deepest nesting of a response that is decoded. What nests deeper is left out, as the decoder would fail on
// the whole response.
const maxNesting = 32

// maxResponseSize is the largest accepted response body in bytes, which bounds the memory of a call.
const maxResponseSize = 64 << 20

// roundTrip sends a request and reads the response. It does not use http.Client, which would follow
// redirects.
func roundTrip(t *http1.Transport, req *http.Request) (response, error) {
	res, err := t.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseSize+1))
	if err != nil {
		return response{}, err
	}
	if len(body) > maxResponseSize {
		return response{}, errors.New("response larger than 64 MiB")
	}
	return response{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

func quote(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseVersion(etag string) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("etag %q: %w", etag, err)
	}
	return Version(v), nil
}

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
)

// Client calls the store at one address. It is safe for concurrent use.
type Client struct {
	base     string
	timeouts Timeouts
	// reads keeps connections open between calls.
	reads *http.Transport
	// writes opens a connection for each call. http.Transport repeats some
	// requests by itself when a kept connection turns out dead, and then
	// nobody could tell whether the first one took effect. It never does so
	// on a connection that carries its first request, and a write through a
	// connection of its own can't meet one that went silent earlier.
	writes *http.Transport

	reading, watching, writing atomic.Uint64
	unavailable, unknown       atomic.Uint64
}

// NewClient returns a client of the store at address (host:port).
func NewClient(address string, t Timeouts) *Client {
	dial := (&net.Dialer{Timeout: t.Dial.Duration()}).DialContext
	return &Client{
		base:     "http://" + address,
		timeouts: t,
		reads:    &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: (30 * clock.Second).Duration()},
		writes:   &http.Transport{DialContext: dial, DisableKeepAlives: true},
	}
}

// Counts returns the calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads: c.reading.Load(), Watches: c.watching.Load(), Writes: c.writing.Load(),
		Unavailable: c.unavailable.Load(), Unknown: c.unknown.Load(),
	}
}

// Get reads one object. The answer may be older than the newest write.
func (c *Client) Get(ctx context.Context, k Kind, n Name) (Object, error) {
	c.reading.Add(1)
	a, err := c.read(ctx, c.object(k, n), c.timeouts.Read)
	if err != nil {
		return Object{}, err
	}
	return a.object(n)
}

// Watch waits until the object's version is above after, at most for wait.
// It returns false when the wait ended without news.
func (c *Client) Watch(ctx context.Context, k Kind, n Name, after Version, wait clock.Milli) (Object, bool, error) {
	c.watching.Add(1)
	u := fmt.Sprintf("%s?after=%d&wait=%d", c.object(k, n), after, wait)
	a, err := c.read(ctx, u, wait+c.timeouts.Read)
	if err != nil {
		return Object{}, false, err
	}
	if a.status == http.StatusNotModified {
		return Object{}, false, nil
	}
	o, err := a.object(n)
	return o, err == nil && o.Version > after, err
}

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, k Kind, prefix string) ([]Object, error) {
	c.reading.Add(1)
	a, err := c.read(ctx, c.base+"/objects/"+url.PathEscape(string(k))+"?prefix="+url.QueryEscape(prefix), c.timeouts.Read)
	if err != nil {
		return nil, err
	}
	var os []Object
	return os, c.decode(a, &os)
}

// VMs reads the platform's list of VMs. It lags.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.reading.Add(1)
	a, err := c.read(ctx, c.base+"/vms", c.timeouts.Read)
	if err != nil {
		return nil, err
	}
	var vs []VM
	return vs, c.decode(a, &vs)
}

// Put writes one object if the condition holds, and returns its new version.
func (c *Client) Put(ctx context.Context, k Kind, n Name, value []byte, cond Condition) (Version, error) {
	if len(value) > MaxValueSize {
		return 0, Class.Wrap(fmt.Errorf("%w: %s/%s has %d bytes", ErrRefused, k, n, len(value)))
	}
	a, err := c.write(ctx, http.MethodPut, c.object(k, n), value, cond)
	if err != nil {
		return 0, err
	}
	v, err := parseVersion(a.etag)
	if err != nil {
		// The write was confirmed, but nobody knows under which version.
		c.unknown.Add(1)
		return 0, Class.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return v, nil
}

// Delete removes one object if the condition holds.
func (c *Client) Delete(ctx context.Context, k Kind, n Name, cond Condition) error {
	_, err := c.write(ctx, http.MethodDelete, c.object(k, n), nil, cond)
	return err
}

func (c *Client) object(k Kind, n Name) string {
	return c.base + "/objects/" + url.PathEscape(string(k)) + "/" + url.PathEscape(string(n))
}

// answer is a whole answer of the store.
type answer struct {
	status int
	etag   string
	body   []byte
}

func (a answer) object(n Name) (Object, error) {
	v, err := parseVersion(a.etag)
	if err != nil {
		return Object{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return Object{Name: n, Version: v, Value: a.body}, nil
}

func (c *Client) decode(a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		c.unavailable.Add(1)
		return Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return nil
}

func (c *Client) read(ctx context.Context, u string, limit clock.Milli) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return answer{}, Class.Wrap(fmt.Errorf("%w: %w", ErrRefused, err))
	}
	a, err := roundTrip(c.reads, req)
	if err != nil {
		// A kept connection can go silent for good while new ones work. Which
		// of the idle ones did is not known, so all go and the next call dials.
		c.reads.CloseIdleConnections()
		c.unavailable.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	switch {
	case a.status == http.StatusOK, a.status == http.StatusNotModified:
		return a, nil
	case a.status == http.StatusNotFound:
		return answer{}, ErrNotFound
	case a.status >= 500, a.status == http.StatusTooManyRequests:
		c.unavailable.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnavailable, a.status))
	default:
		return answer{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrRefused, a.status))
	}
}

func (c *Client) write(ctx context.Context, method, u string, value []byte, cond Condition) (answer, error) {
	c.writing.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Write.Duration())
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(value))
	if err != nil {
		return answer{}, Class.Wrap(fmt.Errorf("%w: %w", ErrRefused, err))
	}
	// Without GetBody a transport can't send the body twice.
	req.GetBody = nil
	switch {
	case cond.Absent:
		req.Header.Set("If-None-Match", "*")
	case cond.Version != 0:
		req.Header.Set("If-Match", quote(cond.Version))
	}
	a, err := roundTrip(c.writes, req)
	if err != nil && !sent.Load() {
		c.unavailable.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	if err != nil {
		c.unknown.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return c.judge(a, cond)
}

// judge turns the status of a write into an error.
func (c *Client) judge(a answer, cond Condition) (answer, error) {
	switch {
	case a.status >= 200 && a.status < 300:
		return a, nil
	case a.status == http.StatusPreconditionFailed:
		return answer{}, ErrConflict
	case a.status == http.StatusNotFound && cond.Version != 0:
		return answer{}, ErrConflict
	case a.status == http.StatusNotFound:
		return answer{}, ErrNotFound
	case a.status == http.StatusTooManyRequests:
		c.unavailable.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnavailable, a.status))
	case a.status >= 500:
		// A gateway before the store answers so as well, after it passed the write on.
		c.unknown.Add(1)
		return answer{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrUnknown, a.status))
	default:
		return answer{}, Class.Wrap(fmt.Errorf("%w: status %d", ErrRefused, a.status))
	}
}

// listLimit bounds what one answer may make this process hold.
const listLimit = 64 << 20

// roundTrip goes past http.Client, which would follow redirects.
func roundTrip(t *http.Transport, req *http.Request) (answer, error) {
	res, err := t.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, listLimit+1))
	if err != nil {
		return answer{}, err
	}
	if len(body) > listLimit {
		return answer{}, errors.New("answer too large")
	}
	return answer{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

func quote(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseVersion(etag string) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("etag %q: %w", etag, err)
	}
	return Version(v), nil
}

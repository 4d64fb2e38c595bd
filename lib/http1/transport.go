// Package http1 makes requests over HTTP/1 and takes only responses whose head is well formed. net/http takes several that are
// not: a status of 000, a blank in the name of a field, which hides a length or a transfer coding, so that the body is read in
// another framing than its sender's, a coding that the version lacks.
package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is a http.RoundTripper for requests without TLS. A response with a malformed head is an error of class ErrHead.
type Transport struct{ *http.Transport }

// maxHeadBytes bounds the head of a response unless the transport has a bound. Heads have some hundred bytes.
const maxHeadBytes = 64 << 10

// NewTransport returns a Transport that uses t, whose DialContext must be set and is replaced.
func NewTransport(t *http.Transport) *Transport {
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeadBytes
	}
	open := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, head: &head{}}, nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *conn
	var expected *head
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*conn)
		expected = used.expectHead()
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if used == nil {
		return nil, err
	}
	passed, headErr := used.checked(expected)
	switch {
	case headErr != nil:
		return nil, headErr // net/http may describe the line that this error cut off
	case err != nil:
		return nil, err
	case !passed:
		// The bytes had been read behind an earlier response on the connection, and were not checked.
		resp.Body.Close()
		return nil, errUnexpected
	}
	return resp, nil
}

// conn is a connection that checks the heads of the responses that are read from it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head is that of the present response, or of the last one if there is none.
	head *head
}

// NetConn returns the connection under this one.
func (c *conn) NetConn() net.Conn { return c.Conn }

// expectHead makes the next bytes that are read those of a new head, and returns it. If a response has no body, net/http may
// do so for the next request before the present one has returned.
func (c *conn) expectHead() *head {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &head{}
	return c.head
}

// checked reports whether a whole final head has been read, and the error of one that is malformed.
func (c *conn) checked(h *head) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.done, h.err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.check(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

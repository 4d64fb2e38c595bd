// Package dialtest has upstreams that respond without end, and connections that count what is read, for tests.
package dialtest

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"snipeshift.example/lib/dial"
)

// ReadAhead is more bytes than a client reads of a response beyond what it uses of it.
const ReadAhead = 64 << 10

// blockSize is the size in bytes of one write of a response that goes on without a pause.
const blockSize = 16 << 10

// Endless is a handler that responds with the text Begin, and then with Repeat again and again until the caller closes the
// connection. Neither need be a valid response.
type Endless struct {
	Name, Begin, Repeat string
	// Pause is the time between two writes of Repeat; zero for blocks of it without a pause.
	Pause time.Duration
}

// ServeHTTP implements http.Handler.
func (e Endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	block := []byte(e.Repeat)
	if e.Pause == 0 {
		block = bytes.Repeat(block, 1+blockSize/len(block))
	}
	_, err = io.WriteString(c, e.Begin)
	for err == nil {
		_, err = c.Write(block)
		time.Sleep(e.Pause)
	}
}

// Count returns a dial function whose connections add the bytes that are read from them to read.
func Count(open dial.Dial, read *atomic.Int64) dial.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, read}, nil
	}
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

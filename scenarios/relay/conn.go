package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// bufferSize is how much one direction holds at most, in bytes.
const bufferSize = 32 << 10

// conn is one connection with both its ends.
type conn struct {
	near *net.TCPConn
	// source names the process that dialled; empty until it is known. Relay.mu guards it.
	source string
	// found is closed once source was looked for.
	found chan struct{}
	// mute holds the Ways that are silent.
	mute atomic.Uint32
	// delay is how long each piece is held up in both directions, a time.Duration.
	delay atomic.Int64

	mu  sync.Mutex
	far *net.TCPConn
	// gone is set once the connection was reset.
	gone bool
}

func (c *conn) from(source string) bool { return source == Any || source == c.source }

func (c *conn) silence(w Ways) { c.mute.Or(uint32(w)) }

func (c *conn) silent(w Ways) bool { return c.mute.Load()&uint32(w) != 0 }

// run carries both directions until both have ended.
func (c *conn) run(far *net.TCPConn) {
	c.mu.Lock()
	c.far = far
	gone := c.gone
	c.mu.Unlock()
	if gone {
		hardClose(far)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(far, c.near, There) })
	wg.Go(func() { c.copy(c.near, far, Back) })
	wg.Wait()
	if !c.silent(Both) {
		_ = c.near.Close()
		_ = far.Close()
		return
	}
	// Both ends of a silent connection stay open: neither learns that the other left.
	// Reset closes them with the relay.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		hardClose(c.near)
		hardClose(far)
	}
}

// copy carries one direction. A silent one reads on and passes nothing, not
// even the end: whoever sends sees his writes succeed.
func (c *conn) copy(to, from *net.TCPConn, w Ways) {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		time.Sleep(time.Duration(c.delay.Load()))
		if c.silent(w) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				c.lost()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			c.lost()
			return
		}
	}
}

// reaches tells whether the target sees the connection come from an address.
func (c *conn) reaches(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.far != nil && c.far.LocalAddr().String() == address
}

// lost passes a broken end on to the other one, unless the link is silent.
func (c *conn) lost() {
	if !c.silent(Both) {
		c.reset()
	}
}

// reset breaks the connection for both ends.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	hardClose(c.near)
	if c.far != nil {
		hardClose(c.far)
	}
}

func (c *conn) isGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// hardClose closes with a reset in place of an orderly end.
func hardClose(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// bufferSize is the size of the copy buffer of one direction, in bytes.
const bufferSize = 32 << 10

// conn is one relayed connection: the accepted connection and the one dialed to the target.
type conn struct {
	// client is the connection accepted from the process that dialed.
	client *net.TCPConn
	// source is the name of the process that dialed, empty until it is known. Relay.mu protects it.
	source string
	// identified is closed when the lookup of source is done, whether or not it found a name.
	identified chan struct{}
	// silenced holds the Directions in which data is dropped.
	silenced atomic.Uint32
	// delay is the time by which each read is delayed in both directions, a time.Duration.
	delay atomic.Int64

	mu sync.Mutex
	// target is the connection to the target, nil until it is dialed.
	target *net.TCPConn
	// wasReset is set by reset. A target connection that is dialed later is reset too.
	wasReset bool
}

func (c *conn) matches(source string) bool { return source == AnySource || source == c.source }

func (c *conn) silence(dirs Directions) { c.silenced.Or(uint32(dirs)) }

func (c *conn) silent(dirs Directions) bool { return c.silenced.Load()&uint32(dirs) != 0 }

// forward copies data in both directions until both have ended.
func (c *conn) forward(target *net.TCPConn) {
	c.mu.Lock()
	c.target = target
	wasReset := c.wasReset
	c.mu.Unlock()
	if wasReset {
		hardClose(target)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(target, c.client, ToTarget) })
	wg.Go(func() { c.copy(c.client, target, FromTarget) })
	wg.Wait()
	if !c.silent(Both) {
		_ = c.client.Close()
		_ = target.Close()
		return
	}
	// Both ends of a silent connection stay open, so that neither sees the other close. They are
	// closed by reset, at the latest when the relay closes.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		hardClose(c.client)
		hardClose(target)
	}
}

// copy copies the data of one direction. While the direction is silent copy reads and drops the
// data, so that the sender's writes succeed, and does not pass on the end of the stream either.
func (c *conn) copy(to, from *net.TCPConn, dir Directions) {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		time.Sleep(time.Duration(c.delay.Load()))
		if c.silent(dir) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				c.propagateError()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			c.propagateError()
			return
		}
	}
}

// hasTargetSideAddr reports whether address is the remote address of the connection as the target
// sees it.
func (c *conn) hasTargetSideAddr(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target != nil && c.target.LocalAddr().String() == address
}

// propagateError resets both connections after one of them has failed, unless a direction is silent.
func (c *conn) propagateError() {
	if !c.silent(Both) {
		c.reset()
	}
}

// reset resets the connections to both ends.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wasReset = true
	hardClose(c.client)
	if c.target != nil {
		hardClose(c.target)
	}
}

func (c *conn) isReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasReset
}

// hardClose closes a connection with RST instead of FIN.
func hardClose(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// settleTime is how long a read that has reached the end of the data waits for a write to end.
const settleTime = 2 * time.Second

// errUnsettled means that a connection ended while something was still being written to it.
var errUnsettled = errors.New("the connection ended during a write")

// WithCheckedEOF returns a Dial whose connections report io.EOF only if the other end has closed the connection in order.
//
// The kernel reports a reset once. If a write gets that error, all later reads return io.EOF, as after an orderly close, and
// a response that ends with its connection looks complete although it was cut off. An upstream that responds while the
// request is still being written and then resets the connection causes this.
func WithCheckedEOF(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(c), nil
	}
}

// checkedConn is a connection as WithCheckedEOF returns it.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// writing counts the writes that have not returned.
	writing int
	// writeErr is the first error of a write.
	writeErr error
	// changed is signaled when a write returns.
	changed *sync.Cond
}

func newCheckedConn(c net.Conn) *checkedConn {
	x := &checkedConn{Conn: c}
	x.changed = sync.NewCond(&x.mu)
	return x
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWrites(); writeErr != nil {
			return n, fmt.Errorf("end of data after a failed write: %w", writeErr)
		}
	}
	return n, err
}

// awaitWrites waits until no write is under way and returns the error of a write that failed. A write that began before the
// end of the data was read may have got the error of a reset without having returned yet.
func (c *checkedConn) awaitWrites() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == 0 {
		return c.writeErr
	}
	expired := false
	t := time.AfterFunc(settleTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		expired = true
		c.changed.Broadcast()
	})
	defer t.Stop()
	for c.writing > 0 && c.writeErr == nil {
		if expired {
			return errUnsettled
		}
		c.changed.Wait()
	}
	return c.writeErr
}

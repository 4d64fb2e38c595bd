package dialtest

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"snipeshift.example/lib/dial"
)

const (
	// writeBuffer is the size in bytes of the kernel's buffer for writes of a late connection, far below that of a request.
	writeBuffer = 64 << 10
	// lateReturn is how long a failed write takes to return after it got its error.
	lateReturn = 50 * time.Millisecond
	// resetDelay is the time between a response and the reset of its connection.
	resetDelay = 20 * time.Millisecond
)

// ResetDuringUpload is a handler that reads nothing of a body: it sends the response at once, and resets the connection while
// the request is still being written. The response should have no length.
func ResetDuringUpload(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response) // an error means that the caller has closed the connection
		time.Sleep(resetDelay)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// LateWrites returns a dial function whose connections run reads and writes in an order that is rare otherwise: after a number
// of bytes has been read, the next read happens after a write has got the error of a reset and before that write returns.
func LateWrites(after int) dial.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = c.(*net.TCPConn).SetWriteBuffer(writeBuffer) // an error means that the connection has ended
		return &lateWriteConn{Conn: c, after: after, failed: make(chan struct{})}, nil
	}
}

// lateWriteConn is a connection as LateWrites returns it.
type lateWriteConn struct {
	net.Conn
	// after is how many more bytes are read without a wait.
	after int
	// failed is closed once a write has got an error.
	failed chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (c *lateWriteConn) Read(b []byte) (int, error) {
	if c.after <= 0 {
		select {
		case <-c.failed:
		case <-time.After(time.Second):
		}
	}
	n, err := c.Conn.Read(b)
	c.after -= n
	return n, err
}

// Write implements net.Conn.
func (c *lateWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		time.Sleep(lateReturn)
	}
	return n, err
}

package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"

	"snipeshift.example/lib/peer"
)

// bufferSize is the size in bytes of the copy buffer of one direction.
const bufferSize = 8 << 10

// Conn is a connection to an upstream through another VM. Data from the upstream arrives in chunks with an explicit
// end. If the carrier is lost, its kernel may close the connection in order, and a response without a length
// would look complete.
type Conn struct {
	net.Conn
	chunks  io.Reader
	carrier peer.VM
	// directRefused is set if the last direct connect of this VM was refused, not left without an answer.
	directRefused bool
}

// newConn returns the connection whose CONNECT was answered; r has read the answer.
func newConn(c net.Conn, r *bufio.Reader, carrier peer.VM) *Conn {
	return &Conn{Conn: c, chunks: httputil.NewChunkedReader(r), carrier: carrier}
}

// Carrier returns the VM that connected to the upstream.
func (c *Conn) Carrier() peer.VM { return c.carrier }

// DirectRefused reports whether direct connects of this VM are refused, not left without an answer. Open direct
// connections may work then.
func (c *Conn) DirectRefused() bool { return c.directRefused }

// Read implements net.Conn. The error is io.EOF only if the upstream closed the connection in order.
func (c *Conn) Read(p []byte) (int, error) { return c.chunks.Read(p) }

// copyChunks copies the data of an upstream in chunks until it ends.
func copyChunks(to io.Writer, from io.Reader) error {
	w := bufio.NewWriterSize(to, bufferSize+maxChunkOverhead)
	chunks := httputil.NewChunkedWriter(w)
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := chunks.Write(b[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if err := chunks.Close(); err != nil {
				return err
			}
			return w.Flush()
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// maxChunkOverhead is the most bytes that frame one chunk.
const maxChunkOverhead = 32

// reset closes a connection so that its other end notices an error.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that the connection is closed already
	}
	_ = c.Close()
}

package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the connections between daemons, before
// encryption. It is safe for concurrent use.
type Traffic struct{ read, written atomic.Uint64 }

// Read returns the number of bytes received.
func (t *Traffic) Read() uint64 { return t.read.Load() }

// Written returns the number of bytes sent.
func (t *Traffic) Written() uint64 { return t.written.Load() }

// countedConn adds the bytes of a connection to traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.read.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.written.Add(uint64(n))
	return n, err
}

package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// idleTimeout is the time without data after which a connection is closed. Dialers close their idle
// connections earlier, so it only applies to connections whose other end is lost.
const idleTimeout = 2 * time.Minute

// Server serves the registered receivers to peers over net/rpc.
type Server struct {
	rpc     *rpc.Server
	traffic Traffic
	// tunnels serves connections that begin with a CONNECT; nil closes them.
	tunnels func(net.Conn, *bufio.Reader)

	mu sync.Mutex
	// conns holds all open connections; nil after Close.
	conns map[net.Conn]struct{}
}

// Probe is the receiver that answers the probes of dialers.
type Probe struct{}

// Answer does nothing; its reply shows that the connection works in both directions.
func (Probe) Answer(Empty, *Empty) error { return nil }

// NewServer returns a server that answers only probes until further receivers are registered.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Probe", Probe{}); err != nil {
		panic(err) // fails only if the methods of Probe are not valid for net/rpc
	}
	return s
}

// Register serves the methods of receiver under name. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// ServeTunnels makes f serve the connections that begin with an HTTP CONNECT; the reader reads the whole connection. It
// must be called before Serve.
func (s *Server) ServeTunnels(f func(net.Conn, *bufio.Reader)) { s.tunnels = f }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.add(c) {
			closeQuietly(c)
			return nil
		}
		go s.serve(c)
	}
}

// Traffic returns the byte counters over all connections that s accepted.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Close closes all connections. Serve closes those that it accepts later and returns.
func (s *Server) Close() {
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		closeQuietly(c)
	}
}

// connectMethod begins a request for a tunnel. No net/rpc connection begins with it: the second byte of that is not
// a letter.
var connectMethod = []byte("CONNECT ")

func (s *Server) serve(c net.Conn) {
	defer s.remove(c)
	r := bufio.NewReaderSize(&idleConn{Conn: c}, startBuffer)
	start, err := r.Peek(len(connectMethod))
	if err == nil && bytes.Equal(start, connectMethod) {
		if s.tunnels != nil {
			s.tunnels(c, bufio.NewReader(io.MultiReader(io.LimitReader(r, int64(r.Buffered())), c)))
		}
		return
	}
	s.rpc.ServeConn(&startedConn{Conn: &countedConn{Conn: c, traffic: &s.traffic}, reader: r, traffic: &s.traffic})
}

// startBuffer is the size in bytes of the buffer for the start of a connection. Longer reads bypass it.
const startBuffer = 64

// startedConn is a connection whose start has been read into a buffer.
type startedConn struct {
	net.Conn
	reader  io.Reader
	traffic *Traffic
}

// Read implements net.Conn.
func (c *startedConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.traffic.read.Add(uint64(n))
	return n, err
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	closeQuietly(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// idleConn sets the read deadline to idleTimeout from now at each read.
type idleConn struct{ net.Conn }

// Read implements net.Conn.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

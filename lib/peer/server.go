package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"snipeshift.example/lib/accept"
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
	// limit bounds the open connections; zero for no bound.
	limit int
	// conns holds all open connections; nil after Close.
	conns            map[*serverConn]struct{}
	refused, evicted uint64
}

// serverConn is a connection that a Server has accepted.
type serverConn struct {
	net.Conn
	// lastRead is when data was last read, in Unix milliseconds; that of the accept before.
	lastRead atomic.Int64
	// tunnel is set once the connection serves a tunnel. It is guarded by the server's lock.
	tunnel bool
}

// Probe is the receiver that answers the probes of dialers.
type Probe struct{}

// Answer does nothing; its reply shows that the connection works in both directions.
func (Probe) Answer(Empty, *Empty) error { return nil }

// NewServer returns a server that answers only probes until further receivers are registered.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer(), conns: map[*serverConn]struct{}{}}
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

// SetLimit bounds the open connections. Beyond it the connection that has carried nothing for longest makes room, and a new
// one is closed unread if there is none. If the limit is lowered, unused connections are closed at once.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	for limit > 0 && len(s.conns) > limit && s.evict() {
	}
}

// Serve accepts connections until the listener is closed. Errors of Accept that pass do not end it.
func (s *Server) Serve(l net.Listener) error {
	l = accept.Persistent(l)
	for {
		inner, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		c := &serverConn{Conn: inner}
		c.lastRead.Store(time.Now().UnixMilli())
		added, open := s.add(c)
		if added {
			go s.serve(c)
			continue
		}
		closeQuietly(c)
		if !open {
			return nil
		}
	}
}

// Counts are the numbers of open connections, and of those that were closed for want of room, unread or unused.
type Counts struct {
	Open             int
	Refused, Evicted uint64
}

// Counts returns the present counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Open: len(s.conns), Refused: s.refused, Evicted: s.evicted}
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

func (s *Server) serve(c *serverConn) {
	defer s.remove(c)
	r := bufio.NewReaderSize(&idleConn{serverConn: c}, startBuffer)
	start, err := r.Peek(len(connectMethod))
	if err == nil && bytes.Equal(start, connectMethod) {
		if s.tunnels != nil {
			s.markTunnel(c)
			s.tunnels(c.Conn, bufio.NewReader(io.MultiReader(io.LimitReader(r, int64(r.Buffered())), c)))
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

// add adds a connection if there is room. open is false after Close.
func (s *Server) add(c *serverConn) (added, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false, false
	}
	if s.limit > 0 && len(s.conns) >= s.limit && !s.evict() {
		s.refused++
		return false, true
	}
	s.conns[c] = struct{}{}
	return true, true
}

// unusedTime is the time without data after which a connection may be closed in favor of others. No call waits on it then:
// its dialer would have probed it.
const unusedTime = probeEvery + probeTimeout

// evict closes the connection that has carried nothing for longest. It returns false if all are in use. The lock is held.
func (s *Server) evict() bool {
	var oldest *serverConn
	limit := time.Now().Add(-unusedTime).UnixMilli()
	for c := range s.conns {
		at := c.lastRead.Load()
		if c.tunnel || at > limit {
			continue
		}
		if oldest == nil || at < oldest.lastRead.Load() {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	closeQuietly(oldest)
	delete(s.conns, oldest)
	s.evicted++
	return true
}

func (s *Server) markTunnel(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.tunnel = true
}

func (s *Server) remove(c *serverConn) {
	closeQuietly(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// idleConn sets the read deadline to idleTimeout from now at each read and records when data arrives.
type idleConn struct{ *serverConn }

// Read implements net.Conn.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixMilli())
	}
	return n, err
}

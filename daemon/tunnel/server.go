package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/dial"
)

// Limits of a carrier.
const (
	// maxTunnels bounds the open tunnels. Each uses two descriptors and two buffers.
	maxTunnels = 512
	// requestTimeout bounds the time for reading a CONNECT.
	requestTimeout = time.Second
	// quietTime is how long a tunnel must have carried nothing to count as unused when the VM stops. Streams pause
	// for less.
	quietTime = 1500 * clock.Milli(1)
	// failedFor is how long a carrier declares an upstream unreachable without another connect, and maxFailed bounds
	// the upstreams for which it does.
	failedFor = 300 * clock.Milli(1)
	maxFailed = 4096
	// checks is how many upstreams a carrier tries to prove that its paths work.
	checks = 4
)

// keepAlive closes the tunnels of a VM that was lost within about eight seconds, so that engines free the memory of
// its requests.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Server carries connections of other VMs to upstreams. It is safe for concurrent use.
type Server struct {
	dialer *Dialer
	// limit bounds the open tunnels.
	limit int

	mu       sync.Mutex
	stopping bool
	tunnels  map[*carried]struct{}
	// failed holds upstreams to which this VM could not connect while it reached others, by address, with the end
	// of that verdict.
	failed map[string]clock.Milli
}

// carried is one tunnel.
type carried struct {
	// lastData is when data was last copied, in either direction, in milliseconds.
	lastData atomic.Int64
}

// NewServer returns a server that connects to upstreams as d does directly.
func NewServer(d *Dialer) *Server {
	return &Server{dialer: d, limit: maxTunnels, tunnels: map[*carried]struct{}{}, failed: map[string]clock.Milli{}}
}

// SetLimit bounds the open tunnels further; zero for no other bound. It must be called before Serve.
func (s *Server) SetLimit(limit int) {
	if limit > 0 {
		s.limit = min(s.limit, limit)
	}
}

// Serve serves one connection that began with a CONNECT until it ends. r reads the connection.
func (s *Server) Serve(c net.Conn, r *bufio.Reader) {
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout)) // a closed connection fails at the read
	req, err := http.ReadRequest(r)
	if err != nil || req.Method != http.MethodConnect {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	if t, ok := c.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		_ = t.SetKeepAliveConfig(keepAlive) // without keepalives a lost VM is noticed later
	}
	t, up, status := s.open(req.Host)
	s.dialer.metrics.countCarried(status)
	if status != http.StatusOK {
		s.decline(c, status)
		return
	}
	defer s.remove(t)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n\r\n", status, http.StatusText(status)); err != nil {
		_ = up.Close()
		return
	}
	dial.BoundSendBuffer(c)
	t.splice(c, r, up, s.dialer.Clock)
}

// open connects to an upstream and adds a tunnel. The status is 200 if it succeeds.
func (s *Server) open(address string) (*carried, net.Conn, int) {
	d := s.dialer
	if !d.Upstreams.Usable(address) {
		return nil, nil, http.StatusNotFound
	}
	if s.failedLately(address) {
		return nil, nil, http.StatusBadGateway
	}
	t, ok := s.add()
	if !ok || d.lostTo(address) {
		s.remove(t)
		return nil, nil, http.StatusServiceUnavailable
	}
	ctx, cancel := context.WithTimeout(context.Background(), carryTimeout)
	defer cancel()
	began := d.Clock.Now()
	up, err := d.connect(ctx, "tcp", address)
	if err == nil {
		return t, up, http.StatusOK
	}
	s.remove(t)
	if dial.ErrNoPath.Has(err) || !d.provesPaths(address, began, err) {
		return nil, nil, http.StatusServiceUnavailable
	}
	s.recordFailure(address)
	return nil, nil, http.StatusBadGateway
}

// failedLately reports whether this VM could not connect to the upstream a moment ago while it reached others. Each of
// hundreds of VMs may ask when an upstream crashes.
func (s *Server) failedLately(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialer.Clock.Now() < s.failed[address]
}

func (s *Server) recordFailure(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failed) >= maxFailed {
		clear(s.failed)
	}
	s.failed[address] = s.dialer.Clock.Now() + failedFor
}

// decline answers a CONNECT that failed.
func (s *Server) decline(c io.Writer, status int) {
	through := ""
	if status == http.StatusServiceUnavailable {
		d := s.dialer
		d.mu.Lock()
		vs := d.table.Carriers(d.Clock.Now())
		d.mu.Unlock()
		names := make([]string, len(vs))
		for i, v := range vs {
			names[i] = string(v)
		}
		through = headerThrough + ": " + strings.Join(names, ",") + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%s\r\n", status, http.StatusText(status), through) // an error means that the VM has disconnected
}

// add adds a tunnel unless the server stops or has as many as it may.
func (s *Server) add() (*carried, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.tunnels) >= s.limit {
		return nil, false
	}
	t := &carried{}
	t.lastData.Store(int64(s.dialer.Clock.Now()))
	s.tunnels[t] = struct{}{}
	return t, true
}

func (s *Server) remove(t *carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// Open returns the number of open tunnels.
func (s *Server) Open() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.tunnels) }

// splice copies data in both directions until one of them ends. An end in order of the upstream is passed on as such,
// an error as a reset. The end of the asking VM's data means that it gave up the request.
func (t *carried) splice(c net.Conn, r io.Reader, up net.Conn, k Clock) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b := make([]byte, bufferSize)
		_, _ = io.CopyBuffer(struct{ io.Writer }{up}, t.note(r, k), b) // either end closes both connections
		_ = up.Close()
	}()
	if err := copyChunks(c, t.note(up, k)); err != nil {
		reset(c)
	}
	_ = c.Close()
	_ = up.Close()
	<-done
}

// note returns a reader that records when data was read.
func (t *carried) note(r io.Reader, k Clock) io.Reader { return &notedReader{r, t, k} }

type notedReader struct {
	io.Reader
	tunnel *carried
	clock  Clock
}

// Read implements io.Reader.
func (n *notedReader) Read(p []byte) (int, error) {
	c, err := n.Reader.Read(p)
	if c > 0 {
		n.tunnel.lastData.Store(int64(n.clock.Now()))
	}
	return c, err
}

// Stop makes the server take no further tunnels.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain waits until the tunnels that are open are unused, or ctx ends. It must be called after Stop.
func (s *Server) Drain(ctx context.Context) {
	t := time.NewTicker(testPeriod)
	defer t.Stop()
	for s.inUse() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// inUse returns the number of tunnels that carried data a moment ago.
func (s *Server) inUse() (n int) {
	now := s.dialer.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if now-clock.Milli(t.lastData.Load()) < quietTime {
			n++
		}
	}
	return n
}

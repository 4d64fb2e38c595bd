package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrUnreachable is the class of all errors where no reply arrived: the connection was refused, broken or
// unresponsive, or the call timed out. Whether the peer executed the call is unknown.
var ErrUnreachable = errs.Class("peer unreachable")

// ErrUnanswered is the class of errors of a probe for which a connection was opened but no reply arrived:
// the kernel of the peer's VM is running, while the peer's process is busy or stopped.
var ErrUnanswered = errs.Class("probe unanswered")

// Times of connections between peers. If a firewall or NAT between two VMs drops its state of a connection, the
// connection stays open at both ends but carries nothing, and its calls would wait until their deadlines. So a
// connection is probed when a call has waited for probeEvery or was abandoned earlier, and then as long as calls
// wait. If a probe is not answered, the connection is closed and all its calls fail.
// Calls that are answered sooner need only their own timer. A permanent prober for each connection
// woke up an idle VM in a fleet of hundreds 50 times a second for its sixteen connections.
const (
	dialTimeout  = time.Second
	probeEvery   = 300 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
	idleClose    = 30 * time.Second
)

// ProbeMethod is the method that is called to check whether a connection works.
const ProbeMethod = "Probe.Answer"

// Dial opens a connection to a peer's address (host:port).
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dial of a deployment without TLS certificates.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Dialer calls methods of peers over net/rpc, with one connection per peer.
// It is safe for concurrent use.
type Dialer struct {
	dial    Dial
	traffic Traffic
	// openTimeout limits the time for opening a connection.
	openTimeout time.Duration

	mu sync.Mutex
	// conns holds the current connection to each address.
	conns map[string]*clientConn
	// closed is set by Close; no connection is added afterwards.
	closed bool
}

// clientConn is a connection to a peer and the state of its calls.
type clientConn struct {
	// ready is closed once client or err is set.
	ready  chan struct{}
	client *rpc.Client
	conn   net.Conn
	err    error

	mu sync.Mutex
	// pending counts the calls that wait for a reply.
	pending int
	// probing is set while probeLoop runs.
	probing bool
	// lastUsed is the start of the latest call.
	lastUsed time.Time
}

// NewDialer returns a dialer that opens connections with dial.
func NewDialer(dial Dial) *Dialer {
	return &Dialer{dial: dial, openTimeout: dialTimeout, conns: map[string]*clientConn{}}
}

// WithOpenTimeout sets the time limit for opening a connection and returns d. It must be called before any Call.
// The kernel retransmits a lost first packet only after a second. VMs that start together send
// such packets before the others listen, and with a long limit they would find no peer for that time.
func (d *Dialer) WithOpenTimeout(timeout time.Duration) *Dialer {
	d.openTimeout = timeout
	return d
}

// Call calls method of the peer at address and waits for the reply, the end of ctx, or a failed probe
// of the connection. An error is of type rpc.ServerError if the peer's method returned it, otherwise of
// class ErrUnreachable. After an error the reply must not be read.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := d.connTo(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err)
	}
	c.beginCall()
	defer c.endCall()
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	t := time.AfterFunc(probeEvery, func() { d.startProbing(address, c) })
	defer t.Stop()
	select {
	case <-call.Done:
		return d.result(address, c, call.Error)
	case <-ctx.Done():
		d.startProbing(address, c)
		return ErrUnreachable.Wrap(ctx.Err())
	}
}

// Probe checks over a new connection whether the peer at address responds before ctx ends. This distinguishes an
// unreachable peer from an existing connection that waits for the retransmission of a lost packet. An error
// is also of class ErrUnanswered if the connection was opened.
func (d *Dialer) Probe(ctx context.Context, address string) error {
	conn, err := d.dial(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err)
	}
	c := &clientConn{client: rpc.NewClient(&countedConn{Conn: conn, traffic: &d.traffic})}
	defer closeQuietly(c.client)
	call := c.client.Go(ProbeMethod, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return ErrUnreachable.Wrap(call.Error)
	case <-ctx.Done():
		return ErrUnreachable.Wrap(ErrUnanswered.Wrap(ctx.Err()))
	}
}

// result returns an error of the peer's method unchanged. On an error of the connection it drops the connection.
func (d *Dialer) result(address string, c *clientConn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return remote
	}
	d.drop(address, c)
	return ErrUnreachable.Wrap(err)
}

// Traffic returns the byte counters over all connections that d opened.
func (d *Dialer) Traffic() *Traffic { return &d.traffic }

// Drop closes the connection to address, which fails its calls; the next call opens a new one.
func (d *Dialer) Drop(address string) {
	d.mu.Lock()
	c := d.conns[address]
	d.mu.Unlock()
	if c != nil {
		d.drop(address, c)
	}
}

// Close closes all connections; later calls fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	conns := d.conns
	d.conns = map[string]*clientConn{}
	d.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// connTo returns the connection to address and opens it if there is none.
func (d *Dialer) connTo(ctx context.Context, address string) (*clientConn, error) {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	c, ok := d.conns[address]
	if !ok {
		c = &clientConn{ready: make(chan struct{}), lastUsed: time.Now()}
		d.conns[address] = c
		go d.open(address, c)
	}
	d.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials on behalf of all calls that wait for c. It does not use the context of the first call,
// whose deadline would fail the others too.
func (d *Dialer) open(address string, c *clientConn) {
	ctx, cancel := context.WithTimeout(context.Background(), d.openTimeout)
	defer cancel()
	conn, err := d.dial(ctx, address)
	if err != nil {
		c.err = err
		d.remove(address, c)
		close(c.ready)
		return
	}
	c.conn = &writeConn{Conn: &countedConn{Conn: conn, traffic: &d.traffic}}
	c.client = rpc.NewClient(c.conn)
	close(c.ready)
	time.AfterFunc(idleClose, func() { d.closeIdle(address, c) })
	if d.replaced(address, c) {
		c.close()
	}
}

// replaced reports whether c is no longer the current connection to address.
func (d *Dialer) replaced(address string, c *clientConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[address] != c
}

// startProbing starts the probing of c unless it is running.
func (d *Dialer) startProbing(address string, c *clientConn) {
	c.mu.Lock()
	start := !c.probing
	c.probing = true
	c.mu.Unlock()
	if start {
		go d.probeLoop(address, c)
	}
}

// probeLoop probes c once, then repeatedly as long as calls wait on it. It drops c if a probe is not answered.
func (d *Dialer) probeLoop(address string, c *clientConn) {
	for {
		if !c.probe() {
			d.drop(address, c)
			return
		}
		if c.endProbing() {
			return
		}
		time.Sleep(probeEvery)
	}
}

// endProbing marks the probing of c as ended if no call waits on it, and reports whether it did.
func (c *clientConn) endProbing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = c.pending > 0
	return !c.probing
}

// closeIdle drops c if it has been unused for idleClose, else schedules the next check.
func (d *Dialer) closeIdle(address string, c *clientConn) {
	pending, idle := c.state()
	if d.replaced(address, c) {
		return
	}
	if pending == 0 && idle >= idleClose {
		d.drop(address, c)
		return
	}
	time.AfterFunc(max(idleClose-idle, probeEvery), func() { d.closeIdle(address, c) })
}

// drop removes c from the current connections and closes it, which fails its waiting calls.
func (d *Dialer) drop(address string, c *clientConn) {
	d.remove(address, c)
	c.close()
}

func (d *Dialer) remove(address string, c *clientConn) {
	d.mu.Lock()
	if d.conns[address] == c {
		delete(d.conns, address)
	}
	d.mu.Unlock()
}

func (c *clientConn) beginCall() {
	c.mu.Lock()
	c.pending++
	c.lastUsed = time.Now()
	c.mu.Unlock()
}

func (c *clientConn) endCall() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
}

func (c *clientConn) state() (pending int, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, time.Since(c.lastUsed)
}

// probe sends a probe and reports whether it is answered within probeTimeout.
func (c *clientConn) probe() bool {
	call := c.client.Go(ProbeMethod, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	select {
	case <-call.Done:
		return call.Error == nil
	case <-t.C:
		return false
	}
}

func (c *clientConn) close() {
	select {
	case <-c.ready:
	default:
		return
	}
	if c.client != nil {
		// The connection is closed first: a client that is blocked in a write holds the lock that its Close needs.
		closeQuietly(c.conn)
		closeQuietly(c.client)
	}
}

// writeConn sets a deadline for each write. Once the buffers of an unresponsive connection are full, a
// write without one would block forever, and the probe with it.
type writeConn struct{ net.Conn }

// Write implements net.Conn.
func (c *writeConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(probeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func closeQuietly(c io.Closer) { _ = c.Close() }

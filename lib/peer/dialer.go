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

// ErrUnreachable wraps every failure to get an answer from a peer: refused,
// cut, silent or out of time. Whether the peer ran the call is not known.
var ErrUnreachable = errs.Class("peer unreachable")

// Times of the peer door. A connection that something between two VMs has
// forgotten stays open and silent for good; its calls would wait until their
// deadlines. So a connection is probed once a call has waited for probeEvery or was given up
// before, and as long as calls wait, and is thrown away with all its calls when a probe is not answered.
// Calls that are answered sooner cost no timer beside their own: with a prober for each
// connection an idle VM of a fleet of hundreds woke up 50 times a second for sixteen connections.
const (
	dialTimeout  = time.Second
	probeEvery   = 300 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
	idleClose    = 30 * time.Second
)

// ProbeMethod is the call that proves a connection alive.
const ProbeMethod = "Probe.Answer"

// Dial opens a connection to a peer's door.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dial of a deployment without certificates.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Dialer calls methods of peers over net/rpc, one connection a peer.
// It is safe for concurrent use.
type Dialer struct {
	dial    Dial
	traffic Traffic
	// patience bounds the opening of a connection.
	patience time.Duration

	mu sync.Mutex
	// links holds at most one connection in use for each address.
	links map[string]*link
	// closed is set once; no link is added after it.
	closed bool
}

// link is one connection with its calls.
type link struct {
	// ready is closed once client or err is set.
	ready  chan struct{}
	client *rpc.Client
	conn   net.Conn
	err    error

	mu      sync.Mutex
	pending int
	probing bool
	used    time.Time
}

// NewDialer returns a dialer that opens connections by dial.
func NewDialer(dial Dial) *Dialer {
	return &Dialer{dial: dial, patience: dialTimeout, links: map[string]*link{}}
}

// WithOpenTimeout bounds the opening of a connection. It is called before any Call.
// The first packet to a VM that is up a moment later is lost and sent again after a second: for so long VMs that start together would know nobody.
func (d *Dialer) WithOpenTimeout(patience time.Duration) *Dialer {
	d.patience = patience
	return d
}

// Call runs method at address and waits for the reply, the end of ctx, or
// proof that the connection is dead. Errors are of class ErrUnreachable, or
// rpc.ServerError when the peer's method returned one. After an error reply
// must not be read.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := d.link(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err)
	}
	l.enter()
	defer l.leave()
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	t := time.AfterFunc(probeEvery, func() { d.probe(address, l) })
	defer t.Stop()
	select {
	case <-call.Done:
		return d.result(address, l, call.Error)
	case <-ctx.Done():
		d.probe(address, l)
		return ErrUnreachable.Wrap(ctx.Err())
	}
}

// Probe finds out over a connection of its own whether address answers before ctx ends. It tells a peer that is gone
// from a kept connection that waits for a lost packet to be sent again.
func (d *Dialer) Probe(ctx context.Context, address string) error {
	conn, err := d.dial(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err)
	}
	l := &link{client: rpc.NewClient(&countedConn{Conn: conn, traffic: &d.traffic})}
	defer closeQuietly(l.client)
	call := l.client.Go(ProbeMethod, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return ErrUnreachable.Wrap(call.Error)
	case <-ctx.Done():
		return ErrUnreachable.Wrap(ctx.Err())
	}
}

// result tells an error of the peer's method from one of the connection.
func (d *Dialer) result(address string, l *link, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return remote
	}
	d.drop(address, l)
	return ErrUnreachable.Wrap(err)
}

// Traffic counts the bytes of all connections that d opened.
func (d *Dialer) Traffic() *Traffic { return &d.traffic }

// Drop throws the connection to address away, so that the next call opens a fresh one.
func (d *Dialer) Drop(address string) {
	d.mu.Lock()
	l := d.links[address]
	d.mu.Unlock()
	if l != nil {
		d.drop(address, l)
	}
}

// Close ends all connections; later calls fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	links := d.links
	d.links = map[string]*link{}
	d.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// link returns the connection to address, opening it when there is none.
func (d *Dialer) link(ctx context.Context, address string) (*link, error) {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	l, ok := d.links[address]
	if !ok {
		l = &link{ready: make(chan struct{}), used: time.Now()}
		d.links[address] = l
		go d.open(address, l)
	}
	d.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials for all callers that wait on l, so that the first one's deadline
// does not fail the others.
func (d *Dialer) open(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), d.patience)
	defer cancel()
	conn, err := d.dial(ctx, address)
	if err != nil {
		l.err = err
		d.forget(address, l)
		close(l.ready)
		return
	}
	l.conn = &writeConn{Conn: &countedConn{Conn: conn, traffic: &d.traffic}}
	l.client = rpc.NewClient(l.conn)
	close(l.ready)
	time.AfterFunc(idleClose, func() { d.expire(address, l) })
	if d.gone(address, l) {
		l.close()
	}
}

// gone reports whether l was dropped while it was being opened.
func (d *Dialer) gone(address string, l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[address] != l
}

// probe starts the prober of l unless one runs.
func (d *Dialer) probe(address string, l *link) {
	l.mu.Lock()
	start := !l.probing
	l.probing = true
	l.mu.Unlock()
	if start {
		go d.watch(address, l)
	}
}

// watch probes l at once and then as long as calls wait on it, and closes it when a probe is not answered.
func (d *Dialer) watch(address string, l *link) {
	for {
		if !l.alive() {
			d.drop(address, l)
			return
		}
		if l.rest() {
			return
		}
		time.Sleep(probeEvery)
	}
}

// rest ends the probing of l if no call waits on it, and tells whether it did.
func (l *link) rest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = l.pending > 0
	return !l.probing
}

// expire closes l once nobody has used it for long.
func (d *Dialer) expire(address string, l *link) {
	pending, idle := l.state()
	if d.gone(address, l) {
		return
	}
	if pending == 0 && idle >= idleClose {
		d.drop(address, l)
		return
	}
	time.AfterFunc(max(idleClose-idle, probeEvery), func() { d.expire(address, l) })
}

// drop forgets l and closes it, which ends its waiting calls.
func (d *Dialer) drop(address string, l *link) {
	d.forget(address, l)
	l.close()
}

func (d *Dialer) forget(address string, l *link) {
	d.mu.Lock()
	if d.links[address] == l {
		delete(d.links, address)
	}
	d.mu.Unlock()
}

func (l *link) enter() {
	l.mu.Lock()
	l.pending++
	l.used = time.Now()
	l.mu.Unlock()
}

func (l *link) leave() {
	l.mu.Lock()
	l.pending--
	l.mu.Unlock()
}

func (l *link) state() (pending int, idle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending, time.Since(l.used)
}

// alive sends one probe and waits for its answer.
func (l *link) alive() bool {
	call := l.client.Go(ProbeMethod, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	select {
	case <-call.Done:
		return call.Error == nil
	case <-t.C:
		return false
	}
}

func (l *link) close() {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.client != nil {
		// The connection first: a client that is blocked in a write would hold its own lock.
		closeQuietly(l.conn)
		closeQuietly(l.client)
	}
}

// writeConn bounds each write. Once a silent connection's buffers are full, a
// write would block for good and the probe with it.
type writeConn struct{ net.Conn }

// Write implements net.Conn.
func (c *writeConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(probeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func closeQuietly(c io.Closer) { _ = c.Close() }

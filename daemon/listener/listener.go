// Package listener accepts connections of clients within what the VM can serve. A balancer may hand most new connections
// of a failure domain to one VM. Beyond its limits the VM closes idle connections, and new ones unread, so that their
// clients try another VM at once; one that it accepted and could not serve would wait for its client's patience.
package listener

import (
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/dial"
)

// Times of a listener that is full.
const (
	// silentTime is how long a new connection may carry no byte before it may be closed in favor of others.
	silentTime = clock.Second
	// firstFullTime is how long the VM counts as full after it closed a new connection: longer than the balancer needs
	// to notice. The time doubles, up to maxFullTime, if the VM is full again within calmTime after it.
	firstFullTime = 3 * clock.Second
	maxFullTime   = 12 * clock.Second
	calmTime      = 30 * clock.Second
)

// Limits are what a VM can serve.
type Limits struct {
	// Connections bounds the open connections, Requests those of them that carry a request.
	Connections, Requests int
}

// OperatorLimits are those of listeners for operators, monitoring and the balancer's checks.
var OperatorLimits = Limits{Connections: minLimit, Requests: minLimit}

// Resources are those of a VM; zero for unknown ones.
type Resources struct {
	// Descriptors is the number of descriptors that the process may open, Memory its memory in bytes.
	Descriptors, Memory int
	Cores               float64
}

// Shares of a VM's resources for clients.
const (
	// descriptorsPerConnection leaves half of all descriptors for upstreams, peers, the store and connections carried for
	// other VMs.
	descriptorsPerConnection = 2
	// memoryShare is the part of the memory for connections. An idle one takes connectionMemory bytes, one with a
	// request requestMemory beside its body.
	memoryShare      = 0.25
	connectionMemory = 32 << 10
	requestMemory    = 128 << 10
	// requestsPerCore is the number of streams that take a whole core.
	requestsPerCore = 1000
	// minLimit is the least limit, however small the VM.
	minLimit = 64
)

// LimitsOf returns the limits of a VM with these resources.
func LimitsOf(r Resources) Limits {
	l := Limits{Connections: math.MaxInt, Requests: math.MaxInt}
	if r.Memory > 0 {
		l = Limits{Connections: int(memoryShare * float64(r.Memory) / connectionMemory), Requests: int(memoryShare * float64(r.Memory) / requestMemory)}
	}
	if r.Descriptors > 0 {
		l.Connections = min(l.Connections, r.Descriptors/descriptorsPerConnection)
	}
	if r.Cores > 0 {
		l.Requests = min(l.Requests, int(requestsPerCore*r.Cores))
	}
	l.Connections = max(l.Connections, minLimit)
	l.Requests = min(max(l.Requests, minLimit), l.Connections)
	return l
}

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Listener is a net.Listener within limits. Its Track method must be the ConnState hook of the server.
type Listener struct {
	net.Listener
	limits Limits
	clock  Clock
	// onAccept is called after each connection that was accepted.
	onAccept func()

	mu    sync.Mutex
	conns map[*conn]bool
	// busy counts the connections that carry a request.
	busy int
	// fullUntil is when the VM no longer counts as full, fullTime for how long it did last.
	fullUntil, fullTime clock.Milli
	refused, evicted    uint64
	// drainedBy is when connections that carry nothing are closed; zero before Drain.
	drainedBy time.Time
}

// New returns a Listener that accepts from l.
func New(l net.Listener, x Limits, k Clock) *Listener {
	return &Listener{Listener: l, limits: x, clock: k, onAccept: func() {}, conns: map[*conn]bool{}}
}

// OnAccept sets a function to be called after each connection that was accepted. It must be called before Accept.
func (l *Listener) OnAccept(f func()) { l.onAccept = f }

// Unused returns how many more connections the listener may have open.
func (l *Listener) Unused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.limits.Connections-len(l.conns))
}

// conn is an accepted connection. Its fields are guarded by the listener's lock.
type conn struct {
	net.Conn
	listener *Listener
	// busy is set from the first byte of a request to the end of its response, idleSince is the time of the last change.
	busy      bool
	idleSince clock.Milli
	// served is set once a response has ended on the connection; evicted once it was closed in favor of others.
	served, evicted bool
}

// Accept returns the next connection for which there is room. It closes all others unread.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := l.admit(c); x != nil {
			dial.BoundSendBuffer(c)
			l.onAccept()
			return x, nil
		}
		_ = c.Close()
	}
}

// admit returns the connection to serve, nil if there is no room.
func (l *Listener) admit(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.busy >= l.limits.Requests || len(l.conns) >= l.limits.Connections && !l.evict(now) {
		l.refused++
		l.noteFull(now)
		return nil
	}
	x := &conn{Conn: c, listener: l, idleSince: now}
	l.conns[x] = true
	return x
}

// Shed makes room after the process has run out of descriptors, although all limits hold: it may open fewer than at its
// start, or the rest of the process has more open than its share. Idle connections are closed down to the lower limit, one
// at least, and the VM counts as full. descriptors is the number that the process may open now, zero if it is not known.
func (l *Listener) Shed(descriptors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if descriptors > 0 {
		l.limits.Connections = min(l.limits.Connections, max(descriptors/descriptorsPerConnection, minLimit))
	}
	now := l.clock.Now()
	l.noteFull(now)
	for l.evict(now) && len(l.conns) > l.limits.Connections {
	}
}

// evict closes the connection that has been idle longest. It returns false if there is none. The lock is held.
func (l *Listener) evict(now clock.Milli) bool {
	var oldest *conn
	for x := range l.conns {
		if x.busy || !x.served && now-x.idleSince < silentTime {
			continue
		}
		if oldest == nil || x.idleSince < oldest.idleSince {
			oldest = x
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evicted = true
	delete(l.conns, oldest)
	l.evicted++
	_ = oldest.Conn.Close()
	return true
}

// noteFull records that there was no room for a connection. The lock is held.
func (l *Listener) noteFull(now clock.Milli) {
	if now < l.fullUntil {
		l.fullUntil = max(l.fullUntil, now+firstFullTime)
		return
	}
	if now-l.fullUntil < calmTime && l.fullTime > 0 {
		l.fullTime = min(2*l.fullTime, maxFullTime)
	} else {
		l.fullTime = firstFullTime
	}
	l.fullUntil = now + l.fullTime
}

// Handler returns a handler that asks clients to close their connections while the VM is full.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Full() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Full reports whether the VM has had no room for connections a moment ago. The balancer should choose others then, and
// clients should not keep their connections.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now() < l.fullUntil
}

// Drain makes the server close the connections that carry no request within a moment. The server would wait for them much
// longer before it ends.
func (l *Listener) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainedBy = time.Now().Add(silentTime.Duration())
	for x := range l.conns {
		if x.silent() {
			_ = x.Conn.SetReadDeadline(l.drainedBy) // the server moves it once it has read a header
		}
	}
}

// Counts are the numbers of open connections, of those that carry a request, and of all connections that were closed unread
// or while they were idle.
type Counts struct {
	Open, Busy       int
	Refused, Evicted uint64
}

// Counts returns the present counts.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Open: len(l.conns), Busy: l.busy, Refused: l.refused, Evicted: l.evicted}
}

// Track records the state of a connection, as the ConnState hook of the server.
func (l *Listener) Track(c net.Conn, s http.ConnState) {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	x, ok := c.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateIdle:
		x.setBusy(false)
		x.served, x.idleSince = true, l.clock.Now()
	case http.StateClosed, http.StateHijacked:
		x.setBusy(false)
		delete(l.conns, x)
	case http.StateNew, http.StateActive:
	}
}

// setBusy sets the state of a connection and counts it. The listener's lock is held.
func (c *conn) setBusy(busy bool) {
	if c.busy == busy {
		return
	}
	c.busy = busy
	if busy {
		c.listener.busy++
	} else {
		c.listener.busy--
	}
}

// silent reports whether no byte has arrived on the connection yet. The listener's lock is held.
func (c *conn) silent() bool { return !c.busy && !c.served }

// SetReadDeadline implements net.Conn. The server sets its own deadline for a header as it begins to serve a connection, which
// may be after Drain.
func (c *conn) SetReadDeadline(t time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainedBy.IsZero() && c.silent() && (t.IsZero() || t.After(l.drainedBy)) {
		t = l.drainedBy
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. A connection that was closed in favor of others returns nothing more: its request would reach
// an upstream, and its client never get the response.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	if l.conns[c] {
		c.setBusy(true)
	}
	return n, err
}

// CloseWrite lets the server end a connection without a reset.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Package relay forwards TCP connections between the processes of a scenario, so that a script can
// cut, silence or delay a link. Every address in the configuration of a process is the address of a
// relay. A relay determines which process dialed, so that faults can be limited to one source.
package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// AnySource as the source of a rule matches every source.
const AnySource = "any"

// Directions is a set of the directions of a link that a fault affects.
type Directions uint8

// The directions, seen from the process that dialed.
const (
	ToTarget   Directions = 1 << iota // from the dialing process to the target
	FromTarget                        // from the target to the dialing process
	Both       = ToTarget | FromTarget
)

// dialTimeout limits a connect to a process on this machine.
const dialTimeout = time.Second

// rule is the fault in force for the connections of one source.
type rule struct {
	// cut resets connections.
	cut bool
	// silent is the set of directions in which the data of new connections is dropped.
	silent Directions
	// delay delays the data of new connections.
	delay time.Duration
}

// Relay forwards connections to one target.
type Relay struct {
	address string
	finder  *Finder

	mu       sync.Mutex
	target   string
	listener net.Listener
	conns    map[*conn]struct{}
	rules    map[string]rule
	closed   bool
	// sourceWait is the longest time that a new connection waits until its source is known.
	sourceWait time.Duration
}

// Ports are chosen below the system's range of ephemeral ports, so that no outgoing connection
// occupies the port of a relay while the relay is down.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 200
)

// How the bits of a process id are distributed over the bytes of a loopback address.
const (
	lowBits  = 8
	highBits = 16
	lowMask  = 0xff
	// maxHighByte avoids 127.255.255.255, the broadcast address.
	maxHighByte = 250
)

// host is a loopback address that only this test process uses. Otherwise two test processes on one
// machine could take each other's ports while a daemon is down.
var host = loopbackHost(os.Getpid())

// loopbackHost derives a loopback address from a process id.
func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>highBits%maxHighByte, pid>>lowBits&lowMask, pid&lowMask)
}

// allocated holds the addresses that FreeAddress returned in this process, in use or not.
var allocated sync.Map

// FreeAddress returns a loopback address (host:port) that no process listens on. It never returns an
// address twice.
func FreeAddress() (string, error) {
	for range portTries {
		a := fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := allocated.LoadOrStore(a, true); taken {
			continue
		}
		l, err := net.Listen("tcp", a) //nolint:noctx // bound and closed at once
		if err != nil {
			continue
		}
		l.Close()
		return a, nil
	}
	return "", fmt.Errorf("no free port after %d tries", portTries)
}

// New returns a relay that does not listen until Up is called. Its address never changes.
func New(f *Finder) (*Relay, error) {
	a, err := FreeAddress()
	return &Relay{address: a, finder: f, conns: map[*conn]struct{}{}, rules: map[string]rule{}}, err
}

// WaitForSource makes new connections wait until their source is known, because the source of a
// connection that ends earlier can no longer be determined. They wait for limit at the longest:
// without a limit the target would appear unresponsive on a busy machine.
func (r *Relay) WaitForSource(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceWait = limit
}

// Address returns the address (host:port) that the relay listens on while it is up.
func (r *Relay) Address() string { return r.address }

// Up sets the target and makes the relay listen. It does nothing more on a relay that listens already
// or is closed.
func (r *Relay) Up(target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
	if r.listener != nil || r.closed {
		return nil
	}
	l, err := listen(r.address)
	if err != nil {
		return err
	}
	r.listener = l
	go r.accept(l)
	return nil
}

// Retries of listen on an address that is still in use.
const (
	listenTries      = 20
	listenRetryDelay = 50 * time.Millisecond
)

// listen listens on address and retries while the address is in use. A child process that is being
// started inherits a copy of a listening socket and keeps the address in use until its exec.
func listen(address string) (net.Listener, error) {
	for try := 1; ; try++ {
		l, err := net.Listen("tcp", address) //nolint:noctx // closed by Down
		if err == nil || try == listenTries || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(listenRetryDelay)
	}
}

// Down stops listening, so that new connections are refused as for a process that does not run.
// Open connections continue.
func (r *Relay) Down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
}

// Close stops listening for good and resets all connections.
func (r *Relay) Close() {
	r.Down()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		c.reset()
	}
}

// Cut resets the open connections of a source, and new ones until Heal.
func (r *Relay) Cut(source string) {
	r.awaitSources()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[source] = rule{cut: true}
	for c := range r.conns {
		if c.matches(source) {
			c.reset()
		}
	}
}

// Silence drops all data in the directions dirs of the open connections of a source. Heal does not
// undo this. With newConnsToo set, connections opened until Heal are silent too, also for good.
func (r *Relay) Silence(source string, dirs Directions, newConnsToo bool) {
	r.awaitSources()
	r.mu.Lock()
	defer r.mu.Unlock()
	if newConnsToo {
		r.rules[source] = rule{silent: dirs}
	}
	for c := range r.conns {
		if c.matches(source) {
			c.silence(dirs)
		}
	}
}

// Delay delays the data of a source's connections, open and new, by d until Heal.
func (r *Relay) Delay(source string, d time.Duration) {
	r.awaitSources()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[source] = rule{delay: d}
	for c := range r.conns {
		if c.matches(source) {
			c.delay.Store(int64(d))
		}
	}
}

// awaitSources waits until the source of every open connection is known, so that a fault of one
// source misses none of its connections.
func (r *Relay) awaitSources() {
	r.mu.Lock()
	identified := make([]chan struct{}, 0, len(r.conns))
	for c := range r.conns {
		identified = append(identified, c.identified)
	}
	r.mu.Unlock()
	for _, done := range identified {
		<-done
	}
}

// Heal removes the rule of a source, so that its new connections work, and ends the delay of its open
// ones.
func (r *Relay) Heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rules, source)
	for c := range r.conns {
		if c.matches(source) {
			c.delay.Store(0)
		}
	}
}

func (r *Relay) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(client.(*net.TCPConn))
	}
}

// serve forwards one connection until it ends.
func (r *Relay) serve(client *net.TCPConn) {
	c := &conn{client: client, identified: make(chan struct{})}
	target, ok := r.add(c)
	if !ok {
		close(c.identified)
		c.reset()
		return
	}
	defer r.remove(c)
	if !r.identify(c) {
		c.reset()
		return
	}
	targetConn, err := net.DialTimeout("tcp", target, dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		c.reset()
		return
	}
	c.forward(targetConn.(*net.TCPConn))
}

// identify starts the lookup of the connection's source. While rules exist it waits for the result,
// otherwise for sourceWait at most. It returns false if a rule has cut the connection.
func (r *Relay) identify(c *conn) bool {
	go func() {
		defer close(c.identified)
		name := r.finder.Find(c.client)
		r.mu.Lock()
		defer r.mu.Unlock()
		c.source = name
		r.applyRules(c)
	}()
	r.mu.Lock()
	hasRules, wait := len(r.rules) > 0, r.sourceWait
	r.mu.Unlock()
	if hasRules {
		<-c.identified
	}
	select {
	case <-c.identified:
	case <-time.After(wait):
	}
	return !c.isReset()
}

// applyRules applies the rules to a connection whose source has been determined. The caller holds mu.
func (r *Relay) applyRules(c *conn) {
	for source, x := range r.rules {
		switch {
		case !c.matches(source):
		case x.cut:
			c.reset()
		default:
			c.silence(x.silent)
			c.delay.Store(int64(x.delay))
		}
	}
}

// Source returns a function that returns the name of the process that dialed a connection, empty if
// there is no such connection or its process is not known. address is the remote address of the
// connection as the target sees it. Source must be called while the connection is open; the returned
// function waits until the lookup is done.
func (r *Relay) Source(address string) func() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.hasTargetSideAddr(address) {
			return func() string { return r.sourceOf(c) }
		}
	}
	return func() string { return "" }
}

func (r *Relay) sourceOf(c *conn) string {
	<-c.identified
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.source
}

func (r *Relay) add(c *conn) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return "", false
	}
	r.conns[c] = struct{}{}
	return r.target, true
}

func (r *Relay) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

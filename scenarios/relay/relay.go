// Package relay carries TCP connections between the processes of a scenario, so
// that a script can cut a link or let it go silent. Each address that a process
// is told leads to one relay; the relay knows which process dialled.
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

// Any stands for every source in a rule.
const Any = "any"

// Ways are the directions of a link that a fault concerns.
type Ways uint8

// The directions, seen from the process that dialled.
const (
	There Ways = 1 << iota // what the source sends does not arrive
	Back                   // what comes back does not arrive
	Both  = There | Back
)

// dialLimit bounds a connect to a process on this machine.
const dialLimit = time.Second

// rule is what happens to connections of one source.
type rule struct {
	// cut resets connections.
	cut bool
	// silent swallows what new connections carry.
	silent Ways
	// delay holds up each piece that they carry.
	delay time.Duration
}

// Relay passes connections on to one target.
type Relay struct {
	address string
	finder  *Finder

	mu       sync.Mutex
	target   string
	listener net.Listener
	conns    map[*conn]struct{}
	rules    map[string]rule
	closed   bool
	// named is how long connections wait at most until it is known who dialled.
	named time.Duration
}

// Ports are chosen below those that the system gives to outgoing connections,
// so that a relay which was down finds its port free again.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 200
)

// Bits of a process id that make a loopback address.
const (
	lowBits  = 8
	highBits = 16
	lowMask  = 0xff
	// highest keeps clear of 127.255.255.255, which is no address of a host.
	highest = 250
)

// host is a loopback address of this test process alone. Two test processes on
// one machine would otherwise take each other's ports while a daemon is down.
var host = hostOf(os.Getpid())

func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>highBits%highest, pid>>lowBits&lowMask, pid&lowMask)
}

// chosen holds the ports that this process gave out, in use or not.
var chosen sync.Map

// FreeAddress returns a loopback address that nobody listens on, and that is
// not given out again.
func FreeAddress() (string, error) {
	for range portTries {
		a := fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := chosen.LoadOrStore(a, true); taken {
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

// New returns a relay that is down; Up opens it. Its address stays the same.
func New(f *Finder) (*Relay, error) {
	a, err := FreeAddress()
	return &Relay{address: a, finder: f, conns: map[*conn]struct{}{}, rules: map[string]rule{}}, err
}

// Name has new connections wait until it is known who dialled: of one that ends before, it would never be known. They wait for a time at most, or a
// busy machine would make those that they lead to look silent.
func (r *Relay) Name(most time.Duration) { r.mu.Lock(); defer r.mu.Unlock(); r.named = most }

// Address is where the relay listens while it is up.
func (r *Relay) Address() string { return r.address }

// Up makes the relay take connections for a target.
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

// Listening again on an address that was just given up is tried for so long.
const (
	listenTries = 20
	listenPause = 50 * time.Millisecond
)

// listen takes an address that may still be held for a moment.
// A program that is being started meanwhile holds a copy of the socket until it runs.
func listen(address string) (net.Listener, error) {
	for try := 1; ; try++ {
		l, err := net.Listen("tcp", address) //nolint:noctx // closed by Down
		if err == nil || try == listenTries || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(listenPause)
	}
}

// Down refuses new connections, as the system does for a process that is gone.
func (r *Relay) Down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
}

// Close ends the relay with all its connections.
func (r *Relay) Close() {
	r.Down()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		c.reset()
	}
}

// Cut resets the connections of a source, present and future, until Heal.
func (r *Relay) Cut(source string) {
	r.settle()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[source] = rule{cut: true}
	for c := range r.conns {
		if c.from(source) {
			c.reset()
		}
	}
}

// Silence swallows what the present connections of a source carry, for good.
// With fresh set, connections opened until Heal are silent too.
func (r *Relay) Silence(source string, w Ways, fresh bool) {
	r.settle()
	r.mu.Lock()
	defer r.mu.Unlock()
	if fresh {
		r.rules[source] = rule{silent: w}
	}
	for c := range r.conns {
		if c.from(source) {
			c.silence(w)
		}
	}
}

// Delay holds up what the connections of a source carry, present and future, until Heal.
func (r *Relay) Delay(source string, d time.Duration) {
	r.settle()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[source] = rule{delay: d}
	for c := range r.conns {
		if c.from(source) {
			c.delay.Store(int64(d))
		}
	}
}

// settle waits until it is known who dialled the present connections, so that
// a fault of one source misses none of them.
func (r *Relay) settle() {
	r.mu.Lock()
	found := make([]chan struct{}, 0, len(r.conns))
	for c := range r.conns {
		found = append(found, c.found)
	}
	r.mu.Unlock()
	for _, f := range found {
		<-f
	}
}

// Heal lets new connections of a source work again, and ends the delay of present ones.
func (r *Relay) Heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rules, source)
	for c := range r.conns {
		if c.from(source) {
			c.delay.Store(0)
		}
	}
}

func (r *Relay) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go r.carry(near.(*net.TCPConn))
	}
}

// carry serves one connection to its end.
func (r *Relay) carry(near *net.TCPConn) {
	c := &conn{near: near, found: make(chan struct{})}
	target, ok := r.add(c)
	if !ok {
		close(c.found)
		c.reset()
		return
	}
	defer r.remove(c)
	if !r.identify(c) {
		c.reset()
		return
	}
	far, err := net.DialTimeout("tcp", target, dialLimit) //nolint:noctx // bounded by its timeout
	if err != nil {
		c.reset()
		return
	}
	c.run(far.(*net.TCPConn))
}

// identify finds out who dialled. While there are rules the connection waits for it, where names are wanted for a
// time; false means that a rule cuts it.
func (r *Relay) identify(c *conn) bool {
	go func() {
		defer close(c.found)
		name := r.finder.Find(c.near)
		r.mu.Lock()
		defer r.mu.Unlock()
		c.source = name
		r.apply(c)
	}()
	r.mu.Lock()
	ruled, named := len(r.rules) > 0, r.named
	r.mu.Unlock()
	if ruled {
		<-c.found
	}
	select {
	case <-c.found:
	case <-time.After(named):
	}
	return !c.isGone()
}

// apply brings the rules to a connection whose source is known now. It needs mu.
func (r *Relay) apply(c *conn) {
	for s, x := range r.rules {
		switch {
		case !c.from(s):
		case x.cut:
			c.reset()
		default:
			c.silence(x.silent)
			c.delay.Store(int64(x.delay))
		}
	}
}

// Source returns what names the process that dialled the connection which reaches the target from an address; empty if there
// is none. To find the process takes time, for which the name waits and the connection does not.
func (r *Relay) Source(address string) func() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.reaches(address) {
			return func() string { return r.sourceOf(c) }
		}
	}
	return func() string { return "" }
}

func (r *Relay) sourceOf(c *conn) string {
	<-c.found
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

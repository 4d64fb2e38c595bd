// Package accept keeps listeners accepting through errors that pass. A process that is out of descriptors or of kernel
// memory must serve what it has accepted, and accept again once there is room.
package accept

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"snipeshift.example/lib/clock"
)

// Times of a listener whose Accept fails.
const (
	// minWait and maxWait bound the pause before the next Accept. The pause doubles with each failure in a row.
	minWait = 5 * time.Millisecond
	maxWait = 100 * time.Millisecond
	// failingTime is how long after its last failure a listener counts as failing: some Accepts may succeed meanwhile.
	failingTime = clock.Second
	// reportTime is the time without failures after which the next one is reported again.
	reportTime = 10 * clock.Second
)

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Monitor counts the failures of all listeners of a process. It is safe for concurrent use.
type Monitor struct {
	clock Clock
	// report is called for the first failure after a time without any.
	report func(listener string, err error)
	// exhausted is called for each failure for want of descriptors.
	exhausted func()

	mu       sync.Mutex
	failures map[string]uint64
	// lastFailure is the time of the last failure of any listener; failed is set once there is one.
	lastFailure clock.Milli
	failed      bool
}

// NewMonitor returns a monitor. It calls report once for each period of failures, with the listener that failed first, and
// exhausted whenever a listener fails because there is no descriptor left.
func NewMonitor(k Clock, report func(listener string, err error), exhausted func()) *Monitor {
	return &Monitor{clock: k, report: report, exhausted: exhausted, failures: map[string]uint64{}}
}

// Failing reports whether a listener has failed a moment ago.
func (m *Monitor) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed && m.clock.Now()-m.lastFailure < failingTime
}

// Failures returns the number of failed Accepts by listener.
func (m *Monitor) Failures() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]uint64, len(m.failures))
	for name, n := range m.failures {
		counts[name] = n
	}
	return counts
}

// note records a failure.
func (m *Monitor) note(listener string, err error) {
	m.mu.Lock()
	now := m.clock.Now()
	first := !m.failed || now-m.lastFailure >= reportTime
	m.failures[listener]++
	m.lastFailure, m.failed = now, true
	m.mu.Unlock()
	if first {
		m.report(listener, err)
	}
	if outOfDescriptors(err) {
		m.exhausted()
	}
}

// Listener returns a listener whose Accept returns an error only once l is closed or unusable. The name identifies it in
// reports and counts.
func (m *Monitor) Listener(name string, l net.Listener) net.Listener {
	return &listener{Listener: l, failed: func(err error) { m.note(name, err) }}
}

// Persistent returns a listener like Monitor.Listener whose failures are not recorded.
func Persistent(l net.Listener) net.Listener { return &listener{Listener: l, failed: func(error) {}} }

// listener is a net.Listener that survives errors of Accept.
type listener struct {
	net.Listener
	failed func(error)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		c, err := l.Listener.Accept()
		if err == nil || unusable(err) {
			return c, err
		}
		l.failed(err)
		time.Sleep(wait)
	}
}

// unusable reports whether an error of Accept is one of the listener itself. All others, such as a connection that was
// aborted or a lack of descriptors or buffers, concern one connection or pass.
func unusable(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	for _, e := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// outOfDescriptors reports whether an error means that the process or the VM has no descriptor left.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

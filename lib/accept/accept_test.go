package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// failingListener returns its errors in turn, then connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// manualClock is a clock that a test sets.
type manualClock struct{ now clock.Milli }

func (c *manualClock) Now() clock.Milli { return c.now }

func acceptError(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// The process is out of descriptors or of kernel memory for a moment; the listener must go on, and the VM leave rotation for
// a second, with one report.
func TestAcceptSurvivesPassingErrors(t *testing.T) {
	k := &manualClock{now: clock.Minute}
	var reports []error
	exhausted := 0
	m := NewMonitor(k, func(name string, err error) {
		require.Equal(t, "peers", name)
		reports = append(reports, err)
	}, func() { exhausted++ })
	first := acceptError(syscall.EMFILE)
	l := m.Listener("peers", &failingListener{errs: []error{
		first, acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM), acceptError(syscall.ECONNABORTED), acceptError(syscall.EPROTO),
	}})
	require.False(t, m.Failing())
	c, err := l.Accept()
	require.NoError(t, err)
	require.NotNil(t, c)
	require.True(t, m.Failing())
	require.Equal(t, []error{first}, reports)
	require.Equal(t, 2, exhausted)
	require.Equal(t, map[string]uint64{"peers": 6}, m.Failures())
	k.now += clock.Second
	require.False(t, m.Failing())
}

// A listener that was closed ends its server; it must not be tried for ever.
func TestAcceptReturnsErrorsOfListener(t *testing.T) {
	for _, err := range []error{net.ErrClosed, acceptError(syscall.EBADF), acceptError(syscall.EINVAL)} {
		l := Persistent(&failingListener{errs: []error{acceptError(syscall.EMFILE), err}})
		_, got := l.Accept()
		require.True(t, errors.Is(got, err))
	}
}

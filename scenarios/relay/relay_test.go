package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back everything it receives, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newRelay(t *testing.T) *Relay {
	f := NewFinder()
	f.AddProcess(os.Getpid(), "me")
	r, err := New(f)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	require.NoError(t, r.Up(echo(t)))
	return r
}

func dial(t *testing.T, r *Relay) *net.TCPConn {
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func sendHello(c net.Conn, timeout time.Duration) (string, error) {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return bufio.NewReader(c).ReadString('\n')
}

func requireWorks(t *testing.T, c net.Conn) {
	s, err := sendHello(c, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello\n", s)
}

func requireReset(t *testing.T, c net.Conn) {
	_, err := sendHello(c, 5*time.Second)
	require.Error(t, err)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "connection is silent instead of reset")
}

func TestRelayForwardsBothDirectionsAndEOF(t *testing.T) {
	c := dial(t, newRelay(t))
	requireWorks(t, c)
	require.NoError(t, c.CloseWrite())
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestCutResetsOpenAndNewConnectionsOfOneSource(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	requireWorks(t, c)
	r.Cut("somebody")
	requireWorks(t, c)
	requireWorks(t, dial(t, r))
	r.Cut("me")
	requireReset(t, c)
	// The reset may come before the connect returns, or after it.
	if c, err := net.Dial("tcp", r.Address()); err == nil {
		requireReset(t, c.(*net.TCPConn))
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	r.Heal("me")
	requireWorks(t, dial(t, r))
}

// A child process that is being started holds a copy of a listening socket until its exec, so an
// address can still be in use for a moment after its listener was closed. Up must retry.
func TestUpRetriesWhileAddressIsInUse(t *testing.T) {
	r, err := New(NewFinder())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	listener, err := net.Listen("tcp", r.Address())
	require.NoError(t, err)
	time.AfterFunc(150*time.Millisecond, func() { listener.Close() })
	require.NoError(t, r.Up("127.0.0.1:1"))
}

func TestSilentConnectionsStayOpenWhileNewOnesWork(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	requireWorks(t, c)
	r.Silence(AnySource, Both, false)
	_, err := sendHello(c, 100*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	requireWorks(t, dial(t, r))
}

func TestSilenceOfOneDirectionAndHeal(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	requireWorks(t, c)
	r.Silence(AnySource, FromTarget, true)
	_, err := sendHello(c, 100*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = sendHello(dial(t, r), 100*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	r.Heal(AnySource)
	requireWorks(t, dial(t, r))
}

func TestDownRefusesConnectionsAndUpAcceptsAgain(t *testing.T) {
	r := newRelay(t)
	target := r.target
	r.Down()
	_, err := net.Dial("tcp", r.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.Up(target))
	requireWorks(t, dial(t, r))
}

// Delayed data arrives late and complete, and Heal ends the delay.
func TestDelayUntilHeal(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	_, err := sendHello(c, time.Second)
	require.NoError(t, err)
	r.Delay("me", 100*time.Millisecond)
	began := time.Now()
	_, err = sendHello(c, 2*time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
	r.Heal("me")
	began = time.Now()
	_, err = sendHello(dial(t, r), time.Second)
	require.NoError(t, err)
	require.Less(t, time.Since(began), 200*time.Millisecond)
}

// The source of a connection that closes at once cannot be determined afterwards, so a check of
// whether VMs obey the statements of upstreams would have to skip the statements sent over it.
// Relay.WaitForSource makes the connection wait for the lookup.
func TestSourceOfShortConnection(t *testing.T) {
	f := NewFinder()
	f.AddProcess(os.Getpid(), "me")
	r, err := New(f)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	r.WaitForSource(time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	names := make(chan func() string)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			name := r.Source(c.RemoteAddr().String())
			_ = c.Close()
			names <- name
		}
	}()
	require.NoError(t, r.Up(l.Addr().String()))
	for range 20 {
		c := dial(t, r)
		_, err := c.Write([]byte("hello\n"))
		require.NoError(t, err)
		name := <-names
		require.NoError(t, c.Close())
		require.Equal(t, "me", name())
	}
}

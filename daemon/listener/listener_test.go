package listener

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() clock.Milli { return clock.Milli(c.now.Load()) }

// server is a server behind a Listener. Requests for /wait end once release is closed.
type server struct {
	*Listener
	http    *http.Server
	clock   *manualClock
	release chan struct{}
	// waiting counts the requests for /wait that the handler has got.
	waiting atomic.Int64
}

func newServer(t *testing.T, x Limits) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{clock: &manualClock{}, release: make(chan struct{})}
	s.clock.now.Store(int64(clock.Minute))
	s.Listener = New(inner, x, s.clock)
	s.http = &http.Server{ConnState: s.Track, ReadHeaderTimeout: time.Minute, Handler: s.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.waiting.Add(1)
			<-s.release
		}
	}))}
	go func() { _ = s.http.Serve(s.Listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// dial opens a connection.
func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// closed reports whether the server closes a connection within a moment.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// request sends a request on a connection without reading the response.
func request(t *testing.T, c net.Conn, path string) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
}

// answered reports whether a response arrives on a connection.
func answered(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, _ := c.Read(make([]byte, 512))
	return n > 0
}

func (s *server) awaitOpen(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return s.Counts().Open == n }, 5*time.Second, time.Millisecond)
}

// All connections are in use; a new one that waited would hang until its client gives up.
func TestConnectionWithoutRoomIsClosedUnread(t *testing.T) {
	s := newServer(t, Limits{Connections: 2, Requests: 2})
	busy := []net.Conn{s.dial(t), s.dial(t)}
	for _, c := range busy {
		request(t, c, "/wait")
	}
	require.Eventually(t, func() bool { return s.Counts().Busy == 2 }, 5*time.Second, time.Millisecond)
	require.False(t, s.Full())
	require.True(t, closed(s.dial(t)))
	require.True(t, s.Full())
	close(s.release)
	for _, c := range busy {
		require.True(t, answered(c), "requests in progress are served")
	}
	s.clock.now.Add(int64(firstFullTime))
	require.False(t, s.Full())
}

// Kept connections without a request take all the room; the one idle for longest must make room for a new one.
func TestIdleConnectionMakesRoom(t *testing.T) {
	s := newServer(t, Limits{Connections: 2, Requests: 2})
	var idle []net.Conn
	for range 2 {
		c := s.dial(t)
		request(t, c, "/")
		require.True(t, answered(c))
		idle = append(idle, c)
		require.Eventually(t, func() bool { return s.Counts().Busy == 0 }, 5*time.Second, time.Millisecond)
		s.clock.now.Add(10)
	}
	c := s.dial(t)
	request(t, c, "/")
	require.True(t, answered(c))
	require.True(t, closed(idle[0]))
	require.False(t, closed(idle[1]))
	require.False(t, s.Full(), "there was room")
}

// Connections that never send anything take all the room; they make room after a second.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newServer(t, Limits{Connections: 2, Requests: 2})
	s.dial(t)
	s.dial(t)
	s.awaitOpen(t, 2)
	require.True(t, closed(s.dial(t)), "they may send a request yet")
	s.clock.now.Add(int64(silentTime))
	c := s.dial(t)
	request(t, c, "/")
	require.True(t, answered(c))
}

// A connection that carries nothing is open when the VM stops; the stop must not wait for it, and requests still get their
// responses.
func TestSilentConnectionDoesNotDelayStop(t *testing.T) {
	s := newServer(t, Limits{Connections: 3, Requests: 3})
	s.dial(t)
	c := s.dial(t)
	s.awaitOpen(t, 2)
	request(t, c, "/wait")
	require.Eventually(t, func() bool { return s.waiting.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.AfterFunc(silentTime.Duration()*3/2, func() { close(s.release) })
	stopped := time.Now()
	s.Drain()
	require.NoError(t, s.http.Shutdown(t.Context()))
	require.Less(t, time.Since(stopped), 3*time.Second)
	require.True(t, answered(c))
}

// A VM that is full again as soon as it is ready must not return to rotation every few seconds.
func TestVMStaysFullForLongerEachTime(t *testing.T) {
	l := New(nil, Limits{}, &manualClock{})
	now := clock.Minute
	for _, want := range []clock.Milli{firstFullTime, 2 * firstFullTime, maxFullTime, maxFullTime} {
		l.noteFull(now)
		require.Equal(t, now+want, l.fullUntil)
		now = l.fullUntil + clock.Second
	}
	now += calmTime
	l.noteFull(now)
	require.Equal(t, now+firstFullTime, l.fullUntil)
}

func TestLimitsOfVMs(t *testing.T) {
	require.Equal(t, Limits{Connections: 2050, Requests: 400}, LimitsOf(Resources{Descriptors: 4100, Memory: 284 << 20, Cores: 0.4}))
	require.Equal(t, Limits{Connections: 150, Requests: 150}, LimitsOf(Resources{Descriptors: 300, Memory: 256 << 20}))
	require.Equal(t, Limits{Connections: minLimit, Requests: minLimit}, LimitsOf(Resources{Descriptors: 64, Memory: 1 << 20, Cores: 0.01}))
}

// The process is out of descriptors below its limits of connections: idle connections make room until the lower limit
// holds, and those that carry requests stay.
func TestIdleConnectionsAreShed(t *testing.T) {
	s := newServer(t, Limits{Connections: 200, Requests: 200})
	busy := s.dial(t)
	request(t, busy, "/wait")
	require.Eventually(t, func() bool { return s.Counts().Busy == 1 }, 5*time.Second, time.Millisecond)
	for range 149 {
		s.dial(t)
	}
	s.awaitOpen(t, 150)
	s.Shed(2 * 100)
	require.Equal(t, 150, s.Counts().Open, "the connections may send a request yet")
	require.True(t, s.Full())
	s.clock.now.Add(int64(silentTime))
	s.Shed(2 * 100)
	require.Equal(t, 100, s.Counts().Open)
	s.Shed(2 * 100)
	require.Equal(t, 99, s.Counts().Open, "other parts of the process need room as well")
	close(s.release)
	require.True(t, answered(busy))
}

func TestSharesOfDescriptors(t *testing.T) {
	require.Equal(t, Quotas{Peers: 768, Upstreams: 1025, Tunnels: 512}, QuotasOf(4100))
	require.Equal(t, Quotas{Peers: minShare, Upstreams: minShare, Tunnels: minShare}, QuotasOf(32))
	require.Zero(t, QuotasOf(0))
	for _, n := range []int{300, 2870, 4100, 8192} {
		s := QuotasOf(n)
		require.Less(t, LimitsOf(Resources{Descriptors: n}).Connections+s.Peers+s.Upstreams, n)
	}
}

// Connections to upstreams use the room that clients leave; they must learn when clients need it.
func TestAcceptedConnectionsAreReported(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	l := New(inner, Limits{Connections: 2, Requests: 2}, &manualClock{})
	accepted := 0
	l.OnAccept(func() { accepted++ })
	require.Equal(t, 2, l.Unused())
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = l.Accept()
	require.NoError(t, err)
	require.Equal(t, 1, accepted)
	require.Equal(t, 1, l.Unused())
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/caller"
	"snipeshift.example/daemon/settings"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/door"
	answers "snipeshift.example/lib/operator"
)

// A client sends its header byte by byte, or sends one that is too large. The server must close the
// connection or refuse the request with the kind of error, and must leave no goroutine behind:
// leaked goroutines would accumulate until the daemon fails.
func TestServerRejectsSlowAndOversizedHeaders(t *testing.T) {
	d := &daemon{log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	g := caller.New(caller.Dependencies{Clock: clock.New()}, "vm-1", "hall", 1)
	s := d.server(g.Handler())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	defer func() { require.NoError(t, s.Close()) }()
	before := runtime.NumGoroutine()

	for _, size := range []int{caller.MaxHeaderBytes + 1, 2 * headerLimit} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		// The server may close the connection before it has read everything, so a write error is
		// no failure.
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", strings.Repeat("h", size))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.StatusCode)
		if size <= headerLimit {
			require.Equal(t, "header", r.Header.Get("Snipeshift-Error"))
			require.Equal(t, "no", r.Header.Get("Snipeshift-Ran"))
		}
		require.NoError(t, r.Body.Close())
		require.NoError(t, c.Close())
	}

	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nX-Slow: ")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*headerTimeout)))
	_, err = io.ReadAll(c)
	require.NoError(t, err, "the server must close the connection")
	// Eventually runs its condition in one additional goroutine.
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 5*time.Second, 10*time.Millisecond)
}

// The balancer hands most new connections to one VM. Beyond half of its descriptors it must close them unread, or none is
// left for engines and other VMs, and a stop must not wait for connections that carry nothing.
func TestDaemonClosesConnectionsBeyondItsDescriptors(t *testing.T) {
	c := clock.New()
	d := &daemon{clock: c, log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, endpoint: &door.Endpoint{}, settings: &settings.Settings{
		Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0", Descriptors: 200,
	}}
	ls, err := d.listen()
	require.NoError(t, err)
	s := d.clientServer(http.NotFoundHandler())
	go func() { _ = s.Serve(ls.client) }()
	defer func() { require.NoError(t, s.Close()) }()
	address := ls.client.Addr().String()
	for range 100 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
	}
	_, err = http.Get("http://" + address) //nolint:bodyclose,noctx // there is no response
	require.Error(t, err)
	require.True(t, d.clients.Full())
	stopped := time.Now()
	d.clients.Drain()
	require.NoError(t, s.Shutdown(t.Context()))
	require.Less(t, time.Since(stopped), 3*time.Second)
}

// An engine crashes and is excluded from placement, for which it is marked as leaving. Operators must
// not be told that it is draining.
func TestSilentEngineIsNotShownAsDraining(t *testing.T) {
	u := decide.UpstreamView{Upstream: decide.Upstream{Memory: 1, Leaving: true}}
	require.Equal(t, answers.Silent, upstreamState(u, reportMaxAge+1))
	require.Equal(t, answers.Draining, upstreamState(u, 0))
	u.Leaving = false
	require.Equal(t, answers.Serving, upstreamState(u, 0))
	u.Memory = 0
	require.Equal(t, answers.Serving, upstreamState(u, -1), "plain services send no load reports")
}

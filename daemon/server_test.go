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
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
)

// A caller trickles its header, or sends one without end. It is cut off or refused, the
// refusal names its kind, and no goroutine stays behind to pile up to an outage.
func TestServerLetsGoOfBadHeaders(t *testing.T) {
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
		// The server may close before it has read all, so an error here says nothing.
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
	require.NoError(t, err, "the server closes the connection by itself")
	// One more is that of the condition itself.
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 5*time.Second, 10*time.Millisecond)
}

// An engine dies and is shut out. An operator must not read that it is draining.
func TestSilentEngineIsNotShownAsDraining(t *testing.T) {
	u := decide.UpstreamView{Upstream: decide.Upstream{Memory: 1, Leaving: true}}
	require.Equal(t, answers.Silent, condition(u, silentAfter+1))
	require.Equal(t, answers.Draining, condition(u, 0))
	u.Leaving = false
	require.Equal(t, answers.Serving, condition(u, 0))
	u.Memory = 0
	require.Equal(t, answers.Serving, condition(u, -1), "plain services give no reports")
}

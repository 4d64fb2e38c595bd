package caller

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/peer"
)

// An upstream's process crashes. Its open streams break shortly before its listening socket is
// closed, so a check in between still connects and the connection is then reset. If that counted as
// running, the crash would not be recorded, and one request could crash more engines than the two
// that are permitted.
func TestCrashCheckRetriesAfterConnectionReset(t *testing.T) {
	b := newHarness(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		l.Close()
	}()
	require.True(t, b.gate.crashed(l.Addr().String()))
}

// A plain service breaks a connection but keeps running. If the check sent a request, the service
// would run it, and a service that counts or sends messages would do so once more than its clients
// asked.
func TestCrashCheckSendsNoRequest(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer s.Close()
	b := newHarness(t)
	require.False(t, b.gate.crashed(strings.TrimPrefix(s.URL, "http://")))
	require.Zero(t, calls.Load())
}

// A VM that has lost its own paths must not report its upstreams as crashed: owners would place nothing on them, and the
// requests would be refused by all VMs.
func TestLostPathIsNoCrash(t *testing.T) {
	var connects atomic.Int32
	b := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		c.Close()
	})
	b.fakes.dialErr = func() error {
		if connects.Add(1) > 1 {
			return dial.ErrNoPath.New("test")
		}
		return nil
	}
	b.post("/v1/chat/completions", chatBody)
	returned := func() []peer.ReturnArgs {
		b.fakes.mu.Lock()
		defer b.fakes.mu.Unlock()
		return slices.Clone(b.fakes.returned)
	}
	require.Eventually(t, func() bool { return len(returned()) > 1 }, 5*time.Second, 5*time.Millisecond)
	b.awaitIdle()
	for _, r := range returned() {
		require.NotEqual(t, decide.Lost, r.Outcome)
	}
	b.fakes.mu.Lock()
	defer b.fakes.mu.Unlock()
	require.Empty(t, b.fakes.crashes)
}

// An engine crashes under a stream that it has been writing for a while; suspected twice, the request would be refused
// everywhere.
func TestLongStreamCutOffByCrashIsNotSuspected(t *testing.T) {
	for written, suspected := range map[time.Duration]int{0: 1, 2 * blame.ProveTime.Duration(): 0} {
		b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r, 0, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(written)
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			panic(http.ErrAbortHandler)
		})
		b.post("/v1/chat/completions", chatBody)
		b.awaitIdle()
		b.fakes.mu.Lock()
		require.Len(t, b.fakes.crashes, suspected, "crash %v after the first token", written)
		b.fakes.mu.Unlock()
	}
}

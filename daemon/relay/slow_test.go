package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client asks for a large response and does not read it. Its grant must end soon after the deadline, and a connection that
// is kept must serve later requests.
func TestClientThatDoesNotReadLosesItsGrant(t *testing.T) {
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		for range 1 << 10 {
			if _, err := w.Write(bytes.Repeat([]byte("x"), 32<<10)); err != nil {
				return
			}
		}
	})
	w.setDocument(300, "key")
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: team.example\r\nId: a1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	ended := func() bool {
		w.placer.mu.Lock()
		defer w.placer.mu.Unlock()
		return len(w.placer.outcomes) == 1
	}
	require.Eventually(t, ended, writeGrace+2*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return w.gate.bodies.Load() == 0 }, time.Second, 10*time.Millisecond)
}

// Many responses wait for clients that read slowly. Those for which there is no room must be passed on as they arrive, whole.
func TestResponsesBeyondBufferBoundArePassedOn(t *testing.T) {
	const size, clients = 40 << 10, 6
	var most atomic.Int64
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		_, _ = w.Write(bytes.Repeat([]byte("x"), size/2))
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write(bytes.Repeat([]byte("x"), size/2))
	})
	results := make(chan error, clients)
	for range clients {
		go func() {
			resp, body, err := w.call(http.MethodPost, "/once/x", "")
			if err == nil && (resp.StatusCode != http.StatusOK || len(body) != size) {
				err = fmt.Errorf("%d with %d bytes", resp.StatusCode, len(body))
			}
			results <- err
		}()
	}
	for range clients {
		for done := false; !done; {
			most.Store(max(most.Load(), w.gate.bodies.Load()))
			select {
			case err := <-results:
				require.NoError(t, err)
				done = true
			case <-time.After(time.Millisecond):
			}
		}
	}
	require.LessOrEqual(t, most.Load(), w.gate.bounds.BodyBytes)
	require.Zero(t, w.gate.bodies.Load())
}

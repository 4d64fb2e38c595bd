package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
)

// memory counts the orders about reserved memory.
type memory struct {
	mu                 sync.Mutex
	reserved, released int
	longest            clock.Milli
	full               bool
	said               exchange.Declared
	// during is called while memory is being reserved.
	during func()
}

func (m *memory) Reserve(_ context.Context, _, _ string, _ decide.Tokens, hold clock.Milli) (exchange.Reserved, error) {
	if m.during != nil {
		m.during()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved++
	m.longest = max(m.longest, hold)
	return exchange.Reserved{Accepted: !m.full, Declared: m.said}, nil
}

func (m *memory) Release(context.Context, string, string) (exchange.Declared, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released++
	return exchange.Declared{}, nil
}

func (m *memory) counts() (reserved, released int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved, m.released
}

// giant is a prompt that needs memory on one helper.
func (w *world) giant(m *memory) {
	w.needs.Memory = m
	w.placer.helpers = []span.Placement{{Upstream: "h", Address: "127.0.0.1:1", Reserve: 60_000}}
	w.start()
}

func TestReservedMemoryIsRenewedAndFreed(t *testing.T) {
	m := &memory{}
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(renewEvery + 200*time.Millisecond)
		streamed(stream(1, 2))(w, r)
	})
	w.learn(5*clock.Second, "key")
	w.giant(m)
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, stream(1, 2), body)
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 1 }, time.Second, 5*time.Millisecond)
	reserved, _ := m.counts()
	require.Equal(t, 2, reserved, "once, and renewed once")
	require.LessOrEqual(t, m.longest, 3*clock.Second, "a VM that dies leaves nothing behind for long")
}

// The leader loses power in the middle of a long read: its address takes no connection, and
// nothing closes the one that is open. Memory that a helper holds for it is of no use to anybody.
func TestMemoryIsFreedWhenTheLeaderIsDark(t *testing.T) {
	m := &memory{}
	stop := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}, streamed(stream(1, 2)))
	defer close(stop)
	w.learn(8*clock.Second, "key")
	w.giant(m)
	// The leader's door closes once the request is in; what is open stays open.
	time.AfterFunc(100*time.Millisecond, func() { _ = w.upstreams[0].Listener.Close() })
	began := time.Now()
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, stream(1, 2), body)
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 2 }, time.Second, 5*time.Millisecond)
}

// An engine that only helps gets no requests, and names its limit in answers to orders alone. Not heard there, it would go on helping.
func TestAHelperNamesItsLimitInItsAnswersToOrders(t *testing.T) {
	w := newWorld(t, streamed(stream(1, 2)))
	w.giant(&memory{said: exchange.Declared{Limit: exchange.Limit{Named: true, Rate: 2.5}}})
	_, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	s, ok := w.placer.said.Of("h", statement.Limit)
	require.True(t, ok)
	require.InDelta(t, 2.5, float64(s.Rate), 0)
}

// A helper has less memory than its owner's books say. The request has not run.
func TestWithoutMemoryNothingIsSent(t *testing.T) {
	m := &memory{full: true}
	w := newWorld(t, streamed(stream(1, 2)))
	w.giant(m)
	resp, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, []span.Outcome{span.Full}, w.placer.outcomes)
}

// A prompt is spread over engines of which many leave without anybody knowing: each time one of them turns the whole away, within milliseconds. Others
// could read it for seconds still. A caller that is told after four tries that there is no room comes back to the same.
func TestASpreadPromptIsTriedUntilItFindsEnginesThatStay(t *testing.T) {
	leaving := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Idle", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	handlers := make([]http.HandlerFunc, 9)
	for i := range handlers {
		handlers[i] = leaving
	}
	w := newWorld(t, append(handlers, whole("body"))...)
	resp, _, err := w.call("POST", "/again/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "alone it is tried four times")

	w.placer.helpers = []span.Placement{{Upstream: "u9", Address: w.placer.upstreams[9].Address}}
	resp, body, err := w.call("POST", "/again/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "body", body)
}

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

// testMemory counts the calls that reserve and release memory.
type testMemory struct {
	mu                 sync.Mutex
	reserved, released int
	longest            clock.Milli
	full               bool
	// err is the error of each reservation.
	err      error
	declared exchange.Declared
	// during is called while memory is being reserved.
	during func()
}

func (m *testMemory) Reserve(_ context.Context, _, _ string, _ decide.Tokens, hold clock.Milli) (exchange.Reserved, error) {
	if m.during != nil {
		m.during()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved++
	m.longest = max(m.longest, hold)
	return exchange.Reserved{Accepted: !m.full, Declared: m.declared}, m.err
}

func (m *testMemory) Release(context.Context, string, string) (exchange.Declared, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released++
	return exchange.Declared{}, nil
}

func (m *testMemory) counts() (reserved, released int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved, m.released
}

// addHelper makes every grant require memory on one helper.
func (w *fixture) addHelper(m *testMemory) {
	w.deps.Memory = m
	w.placer.helpers = []span.Placement{{Upstream: "h", Address: "127.0.0.1:1", Reserve: 60_000}}
	w.start()
}

func TestReservedMemoryIsRenewedAndReleased(t *testing.T) {
	m := &testMemory{}
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(renewInterval + 200*time.Millisecond)
		respondStream(eventText(1, 2))(w, r)
	})
	w.setDocument(5*clock.Second, "key")
	w.addHelper(m)
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, eventText(1, 2), body)
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 1 }, time.Second, 5*time.Millisecond)
	reserved, _ := m.counts()
	require.Equal(t, 2, reserved, "reserved once and renewed once")
	require.LessOrEqual(t, m.longest, 3*clock.Second, "the reservation of a VM that crashes must expire soon")
}

// The leader loses power during a long prefill: its address accepts no new connection, and the open one
// is never closed. The memory reserved for it on a helper must be released.
func TestMemoryIsReleasedWhenLeaderLosesPower(t *testing.T) {
	m := &testMemory{}
	stop := make(chan struct{})
	w := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}, respondStream(eventText(1, 2)))
	defer close(stop)
	w.setDocument(8*clock.Second, "key")
	w.addHelper(m)
	// The listener of the leader closes once the request has arrived; the open connection stays open.
	time.AfterFunc(100*time.Millisecond, func() { _ = w.upstreams[0].Listener.Close() })
	began := time.Now()
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, eventText(1, 2), body)
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 2 }, time.Second, 5*time.Millisecond)
}

// An engine that is only used as a helper gets no requests, and so declares its rate limit only in
// responses to reservations. If those were ignored, the engine would be used beyond its limit.
func TestRateLimitInResponseToReservation(t *testing.T) {
	w := newFixture(t, respondStream(eventText(1, 2)))
	w.addHelper(&testMemory{declared: exchange.Declared{Limit: exchange.Limit{Named: true, Rate: 2.5}}})
	_, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	s, ok := w.placer.statements.Of("h", statement.Limit)
	require.True(t, ok)
	require.InDelta(t, 2.5, float64(s.Rate), 0)
}

// A helper has less free memory than the owner's accounting assumes. The request has not run.
func TestRequestIsNotSentIfReservationFails(t *testing.T) {
	m := &testMemory{full: true}
	w := newFixture(t, respondStream(eventText(1, 2)))
	w.addHelper(m)
	resp, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, []span.Outcome{span.Full}, w.placer.outcomes)
}

// A prompt is spread over a group of engines, many of which are leaving without this VM's
// knowledge. Each attempt is rejected by one of them within milliseconds, while other engines could
// still do the prefill, which takes seconds. If the request were refused after four attempts, the
// client's retry would meet the same engines.
func TestGroupRequestSurvivesManyRejections(t *testing.T) {
	leaving := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Idle", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	handlers := make([]http.HandlerFunc, 9)
	for i := range handlers {
		handlers[i] = leaving
	}
	w := newFixture(t, append(handlers, respond("body"))...)
	resp, _, err := w.call("POST", "/again/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "a request on a single engine is tried four times")

	w.placer.helpers = []span.Placement{{Upstream: "u9", Address: w.placer.upstreams[9].Address}}
	resp, body, err := w.call("POST", "/again/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "body", body)
}

package caller

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// sheddingEngine is an engine that rejects requests with a Retry-After until a given time.
type sheddingEngine struct {
	mu         sync.Mutex
	until      time.Time
	retryAfter string
	// requests are the times at which requests arrived.
	requests []time.Time
}

func (e *sheddingEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	e.mu.Lock()
	e.requests = append(e.requests, time.Now())
	shedding := time.Now().Before(e.until)
	e.mu.Unlock()
	if shedding {
		w.Header().Set("Retry-After", e.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	completeResponse(w, r)
}

func (e *sheddingEngine) requestTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.requests...)
}

// An engine asks this VM for a back-off. It must get no further requests from this VM until the
// back-off ends.
func TestEngineAskingForBackoffGetsNoMoreRequests(t *testing.T) {
	e := &sheddingEngine{until: time.Now().Add(time.Minute), retryAfter: "60"}
	b := newHarness(t, e.serve, completeResponse)
	b.fakes.honorAvoid = true
	for range 5 {
		require.Equal(t, http.StatusOK, b.post("/v1/chat/completions", chatBody).status)
	}
	require.Len(t, e.requestTimes(), 1)
}

// The only engine asks for a short back-off. A request with a later deadline must wait and not be
// refused, and must not be sent before the back-off ends.
func TestRequestWaitsForBackoffEndingBeforeDeadline(t *testing.T) {
	const backoff = 500 * time.Millisecond
	e := &sheddingEngine{until: time.Now().Add(backoff / 2), retryAfter: "0.5"}
	b := newHarness(t, e.serve)
	b.fakes.honorAvoid = true
	require.Equal(t, http.StatusOK, b.post("/v1/chat/completions", chatBody).status)
	requests := e.requestTimes()
	require.Len(t, requests, 2)
	require.GreaterOrEqual(t, requests[1].Sub(requests[0]), backoff)
}

// The only engine asks for a back-off that outlasts the request's deadline. The request must be
// refused at once, with a retry time that keeps the client from retrying immediately.
func TestRequestIsRefusedAtOnceIfBackoffOutlastsDeadline(t *testing.T) {
	e := &sheddingEngine{until: time.Now().Add(time.Minute), retryAfter: "60"}
	b := newHarness(t, e.serve)
	b.fakes.honorAvoid = true
	for range 2 {
		start := time.Now()
		a := b.post("/v1/chat/completions", chatBody)
		require.Less(t, time.Since(start), 5*time.Second)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, string(fault.RanNo), a.ran())
		retry, err := strconv.Atoi(a.header.Get("Retry-After"))
		require.NoError(t, err)
		require.Equal(t, int(maxBackoffRetryAfter/clock.Second), retry, "another VM may serve the request earlier")
	}
	require.Len(t, e.requestTimes(), 1)
}

// A plain service asks this VM for a back-off in a response that is forwarded to its client. It
// must get no further calls from this VM until the back-off ends.
func TestPlainServiceAskingForBackoffGetsNoMoreCalls(t *testing.T) {
	var calls atomic.Int64
	b := newHarness(t)
	b.addService(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b.fakes.honorAvoid = true
	for i := range 3 {
		require.Equal(t, http.StatusServiceUnavailable, b.post("/services/sms/lookup", "", headerIdempotencyKey, strconv.Itoa(i)).status)
	}
	require.EqualValues(t, 1, calls.Load())
}

// A plain service limits the rate of one client with a 429. If that counted as a back-off for this
// VM, all other clients would be refused too.
func TestPlainService429DoesNotBackOffOtherCallers(t *testing.T) {
	var calls atomic.Int64
	b := newHarness(t)
	b.addService(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	b.fakes.honorAvoid = true
	require.Equal(t, http.StatusTooManyRequests, b.post("/services/sms/lookup", "", headerIdempotencyKey, "1").status)
	require.Equal(t, http.StatusOK, b.post("/services/sms/lookup", "", headerIdempotencyKey, "2").status)
}

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

// shedding is an engine that turns requests away and asks for rest, for a while.
type shedding struct {
	mu    sync.Mutex
	until time.Time
	rest  string
	// asked are the instants at which it was sent a request.
	asked []time.Time
}

func (e *shedding) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	e.mu.Lock()
	e.asked = append(e.asked, time.Now())
	sheds := time.Now().Before(e.until)
	e.mu.Unlock()
	if sheds {
		w.Header().Set("Retry-After", e.rest)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wholeAnswer(w, r)
}

func (e *shedding) times() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.asked...)
}

// An engine asks this VM for rest, and gets each further request of it until the rest is over.
func TestAnEngineThatAsksForRestGetsNothingMore(t *testing.T) {
	e := &shedding{until: time.Now().Add(time.Minute), rest: "60"}
	b := newBench(t, e.serve, wholeAnswer)
	b.fakes.avoids = true
	for range 5 {
		require.Equal(t, http.StatusOK, b.post("/v1/chat/completions", ask).status)
	}
	require.Len(t, e.times(), 1)
}

// The only engine wants a short rest: a caller that can wait for it is refused, or the engine is asked before.
func TestARequestWaitsForARestThatEndsInItsTime(t *testing.T) {
	const rest = 500 * time.Millisecond
	e := &shedding{until: time.Now().Add(rest / 2), rest: "0.5"}
	b := newBench(t, e.serve)
	b.fakes.avoids = true
	require.Equal(t, http.StatusOK, b.post("/v1/chat/completions", ask).status)
	asked := e.times()
	require.Len(t, asked, 2)
	require.GreaterOrEqual(t, asked[1].Sub(asked[0]), rest)
}

// The only engine rests for longer than callers may wait: they are held until their time is over, or come back at once and again and again.
func TestARequestThatNoRestEndsForIsRefusedAtOnce(t *testing.T) {
	e := &shedding{until: time.Now().Add(time.Minute), rest: "60"}
	b := newBench(t, e.serve)
	b.fakes.avoids = true
	for range 2 {
		began := time.Now()
		a := b.post("/v1/chat/completions", ask)
		require.Less(t, time.Since(began), 5*time.Second)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, string(fault.RanNo), a.ran())
		retry, err := strconv.Atoi(a.header.Get("Retry-After"))
		require.NoError(t, err)
		require.Equal(t, int(otherVMs/clock.Second), retry, "another VM may be asked before")
	}
	require.Len(t, e.times(), 1)
}

// A plain service asks this VM for rest in an answer that its caller gets as it is, and gets the calls of all others meanwhile.
func TestAPlainServiceThatAsksForRestGetsNothingMore(t *testing.T) {
	var calls atomic.Int64
	b := newBench(t)
	b.serve(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b.fakes.avoids = true
	for i := range 3 {
		require.Equal(t, http.StatusServiceUnavailable, b.post("/services/sms/lookup", "", headerKey, strconv.Itoa(i)).status)
	}
	require.EqualValues(t, 1, calls.Load())
}

// A plain service holds one caller to its rate by a 429. Taken for a rest of this VM, it would shut all other callers out.
func TestA429OfAPlainServiceBindsItsCallerAlone(t *testing.T) {
	var calls atomic.Int64
	b := newBench(t)
	b.serve(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	b.fakes.avoids = true
	require.Equal(t, http.StatusTooManyRequests, b.post("/services/sms/lookup", "", headerKey, "1").status)
	require.Equal(t, http.StatusOK, b.post("/services/sms/lookup", "", headerKey, "2").status)
}

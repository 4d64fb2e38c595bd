package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/engine"
	"snipeshift.example/emulator/local"
	"snipeshift.example/emulator/service"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

func startEngine(t *testing.T) (*engine.Engine, string) {
	t.Helper()
	s := engine.Defaults()
	s.Prefill, s.Decode = 50_000_000, 5000
	e, err := engine.New(s, clock.New())
	require.NoError(t, err)
	address := serve(t, e)
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	return e, address
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://")
}

// control sends a POST /control with fields to an emulated engine or service.
func control(t *testing.T, h http.Handler, fields string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/control", strings.NewReader(fields)))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

func directSettings(address string) Settings {
	return Settings{
		Addresses:      []string{address},
		MaxOpen:        8,
		Count:          40,
		Seed:           7,
		StreamFraction: 1,
		SharedFraction: 0.5,
		Keys:           map[string]string{"a": "key-a", "b": "key-b"},
		Kinds:          Kinds{{Name: "ward-notice", Weight: 1, From: 10, To: 50, Output: 6, Allowed: 10_000}},
		Slack:          1000,
		Direct:         true,
	}
}

func TestPlanIsReproducible(t *testing.T) {
	s, err := Defaults(local.Indus)
	require.NoError(t, err)
	s.Addresses = []string{"a", "b"}
	s.LongFrom, s.LongTo = 100, 200
	p, q := newPlanner(s), newPlanner(s)
	kinds := map[string]int{}
	for range 300 {
		r := p.next()
		require.Equal(t, r, q.next())
		kinds[r.Kind]++
		if r.Kind == "certificate-check" {
			require.NotEmpty(t, r.IdempotencyKey)
		}
	}
	require.Len(t, kinds, 5)
	require.Less(t, kinds["depot-audit"], 20)
	s.Seed++
	require.NotEqual(t, newPlanner(s).next().Prompt, newPlanner(q.settings).next().Prompt)
}

func TestOpenAndClosedLoopsFinishAllRequests(t *testing.T) {
	_, address := startEngine(t)
	for _, rate := range []float64{0, 400} {
		s := directSettings(address)
		s.Rate = rate
		s.Seed += uint64(rate)
		if rate > 0 {
			// An open loop skips requests while MaxOpen are open, which can happen on a slow
			// machine. Here none may be skipped.
			s.MaxOpen = s.Count
		}
		r, err := Run(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, 40, r.Outcomes[caller.Finished], r.Examples)
		require.Equal(t, 240, r.Output)
		require.Equal(t, int64(40), r.Bands["under 4k"].First.Count)
		require.LessOrEqual(t, r.Bands["under 4k"].First.P50, r.Bands["under 4k"].Total.P50)
		var text bytes.Buffer
		require.NoError(t, r.WriteText(&text))
		require.Contains(t, text.String(), "finished  40")
	}
}

func TestClosedLoopEndsAfterSpan(t *testing.T) {
	_, address := startEngine(t)
	s := directSettings(address)
	s.Count, s.RunTime = 0, 100
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, r.Sent, r.Outcomes[caller.Finished], r.Examples)
	require.NotZero(t, r.Sent)
}

func TestTooManyOpenRequestsAreSkipped(t *testing.T) {
	e, address := startEngine(t)
	control(t, e, `{"stall":true}`)
	s := directSettings(address)
	s.Rate, s.MaxOpen, s.Kinds[0].Allowed, s.Slack = 1000, 2, 200, 0
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.NotZero(t, r.Skipped)
	require.Equal(t, r.Sent, r.Outcomes[caller.Overdue])
}

// An engine has a fault, and its response is forwarded unchecked. Each fault must result in its own
// outcome: a truncated stream is broken, and the text of another request is a wrong answer even with
// an end mark.
func TestFaultyStreamsHaveDistinctOutcomes(t *testing.T) {
	e, address := startEngine(t)
	for fields, want := range map[string]caller.Outcome{
		`{"truncate":2}`:              caller.Broken,
		`{"truncate":2,"clean":true}`: caller.Broken,
		`{"cross":true}`:              caller.Wrong,
		`{"duplicate":1}`:             caller.Wrong,
		`{"truncate":2,"cross":true}`: caller.Wrong,
		`{"refuse":true}`:             caller.Failed,
		`{}`:                          caller.Finished,
	} {
		control(t, e, `{"truncate":0,"clean":false,"cross":false,"duplicate":0,"refuse":false}`)
		control(t, e, fields)
		s := directSettings(address)
		s.Count, s.Seed = 1, xxhash.Sum64String(fields)
		r, err := Run(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, map[caller.Outcome]int{want: 1}, r.Outcomes, fields)
	}
}

func TestCompareMeasuresAddedLatency(t *testing.T) {
	e, address := startEngine(t)
	delay := 20 * time.Millisecond
	through := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay) // the added latency that the comparison must find
		r.Header.Set("X-Request-Id", "through-"+r.Header.Get("Authorization")+fmt.Sprint(time.Now().UnixNano()))
		e.ServeHTTP(w, r)
	}))
	r, err := Compare(t.Context(), Comparison{
		Direct: address, Through: through, Rate: 100, Slice: 200 * time.Millisecond, Rounds: 2,
		Key: "k", Model: "m", Kind: "ward-notice", Tokens: 20, Output: 2,
	})
	require.NoError(t, err)
	require.Equal(t, r.Direct.Sent, r.Through.Sent, "both paths receive the same requests")
	require.Equal(t, r.Direct.Sent, r.Direct.Outcomes[caller.Finished])
	require.Equal(t, r.Through.Sent, r.Through.Outcomes[caller.Finished])
	require.Greater(t, r.Through.First.P50, 20.0)
	require.Greater(t, r.Median, 0.0)
	require.NoError(t, r.WriteText(io.Discard))
}

func TestCompareStopsWithItsContext(t *testing.T) {
	_, address := startEngine(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Compare(ctx, Comparison{Direct: address, Through: address, Rate: 100, Slice: time.Second, Rounds: 1, Tokens: 1, Output: 1})
	require.ErrorIs(t, err, context.Canceled)
}

func TestSettingsThatCannotRunAreErrors(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Addresses = nil },
		func(s *Settings) { s.Keys = nil },
		func(s *Settings) { s.Kinds = nil },
		func(s *Settings) { s.MaxOpen = 0 },
		func(s *Settings) { s.Count = -1 },
		func(s *Settings) { s.Burst = 2 },
		func(s *Settings) { s.Count = 0 },
		func(s *Settings) { s.Kinds[0].From = 0 },
	} {
		s := directSettings("a")
		change(&s)
		_, err := Run(t.Context(), s)
		require.Error(t, err)
	}
}

func TestKindsFromSettingsReplaceTheDefaultMix(t *testing.T) {
	s, err := Defaults(local.Directorate)
	require.NoError(t, err)
	require.NoError(t, settings.Load("", []string{`kinds=[{"name":"a"},{"name":"b"}]`}, &s))
	require.Equal(t, Kinds{{Name: "a"}, {Name: "b"}}, s.Kinds)
	var k Kinds
	require.Error(t, json.Unmarshal([]byte(`[{"nam":"a"}]`), &k))
}

func TestErrorsAreCountedByKindAndExecution(t *testing.T) {
	for ran, want := range map[string]caller.Outcome{"no": caller.Refused, "maybe": caller.Failed, "yes": caller.Failed} {
		s := directSettings(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Snipeshift-Error", "k")
			w.Header().Set("Snipeshift-Ran", ran)
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		})))
		s.Count = 2
		r, err := Run(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, []ErrorCount{{"k", ran, 2}}, r.Faults)
		require.Equal(t, 2, r.Outcomes[want])
		require.Equal(t, 3, r.Examples[0].Result.RetryAfter)
	}
}

// The daemons refuse requests while they are full. Clients must retry after the time in Retry-After,
// and their latency is measured from their first attempt.
func TestRefusedRequestsAreRetried(t *testing.T) {
	e, address := startEngine(t)
	var refused atomic.Int32
	full := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) <= 2 {
			w.Header().Set("Snipeshift-Ran", "no")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		e.ServeHTTP(w, r)
	}))
	s := directSettings(full)
	s.Addresses = append(s.Addresses, address)
	s.Count, s.MaxOpen, s.Retries, s.Seed = 6, 6, 3, 3
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 6, r.Outcomes[caller.Finished], r.Examples)
	require.Equal(t, 2, r.Retried)
	require.GreaterOrEqual(t, r.Bands[ShortBand].First.Max, 1000.0)
	s.Retries, s.Seed = 0, 4
	refused.Store(0)
	r, err = Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 2, r.Outcomes[caller.Refused])
}

// A daemon that is about to stop reports that it is not ready. The balancer must then send it no more
// requests, so that none is interrupted when the daemon stops.
func TestBalancerSkipsDaemonsThatAreNotReady(t *testing.T) {
	e, address := startEngine(t)
	var ready atomic.Bool
	var received atomic.Int32
	leaving := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" && !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if r.URL.Path != "/ready" {
			received.Add(1)
			e.ServeHTTP(w, r)
		}
	}))
	healthy := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s := directSettings(address)
	s.Addresses = []string{address, leaving}
	s.Operators = []string{healthy, leaving}
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 40, r.Outcomes[caller.Finished], r.Examples)
	require.Zero(t, received.Load())
	ready.Store(true)
	s.Seed++
	_, err = Run(t.Context(), s)
	require.NoError(t, err)
	require.NotZero(t, received.Load())
	b := newBalancer(s)
	b.ready[0].Store(false)
	b.ready[1].Store(false)
	require.Equal(t, leaving, b.pick(3), "with none ready, all are tried")
	s.Operators = s.Operators[:1]
	_, err = Run(t.Context(), s)
	require.Error(t, err)
}

func TestSharesAndBurstsShapeThePlan(t *testing.T) {
	s := directSettings("a")
	s.Shares = map[string]float64{"a": 4}
	s.Rate, s.Burst, s.Period = 100, 10, 1000
	p := newPlanner(s)
	sent, early := map[string]int{}, 0
	for range 1000 {
		q := p.next()
		sent[q.Workspace]++
		if q.SendOffset%time.Second < time.Second/burstDivisor {
			early++
		}
	}
	require.InDelta(t, 800, sent["a"], 60)
	require.InDelta(t, 714, early, 100, "2 s of 10 at ten times the rate")
}

func TestUsageIsCountedByWorkspace(t *testing.T) {
	_, address := startEngine(t)
	r, err := Run(t.Context(), directSettings(address))
	require.NoError(t, err)
	a, b := r.Workspaces["a"], r.Workspaces["b"]
	require.Equal(t, 40, a.Finished+b.Finished)
	require.Equal(t, 240, a.Output+b.Output)
	require.Equal(t, r.Output, a.Output+b.Output)
	require.Greater(t, a.Prompt, a.Sent*9)
}

func TestServiceCallsHaveTheirOwnBand(t *testing.T) {
	v, err := service.New(service.Defaults(), clock.New())
	require.NoError(t, err)
	s := directSettings(serve(t, v))
	s.Kinds[0].Service = "alert-desk"
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 40, r.Outcomes[caller.Finished], r.Examples)
	require.Equal(t, int64(40), r.Bands[ServiceBand].Total.Count)
}

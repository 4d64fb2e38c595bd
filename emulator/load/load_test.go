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

// control sends fields to a stand-in.
func control(t *testing.T, h http.Handler, fields string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/control", strings.NewReader(fields)))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

func direct(address string) Settings {
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

func TestPlanIsRepeatable(t *testing.T) {
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

func TestOpenAndClosedLoopsFinishWhatTheySend(t *testing.T) {
	_, address := startEngine(t)
	for _, rate := range []float64{0, 400} {
		s := direct(address)
		s.Rate = rate
		s.Seed += uint64(rate)
		if rate > 0 {
			// An open loop skips what would be over Callers, as a slow machine makes it; here none may be.
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

func TestClosedLoopEndsByTheClock(t *testing.T) {
	_, address := startEngine(t)
	s := direct(address)
	s.Count, s.RunTime = 0, 100
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, r.Sent, r.Outcomes[caller.Finished], r.Examples)
	require.NotZero(t, r.Sent)
}

func TestTooManyOpenRequestsAreSkipped(t *testing.T) {
	e, address := startEngine(t)
	control(t, e, `{"stall":true}`)
	s := direct(address)
	s.Rate, s.MaxOpen, s.Kinds[0].Allowed, s.Slack = 1000, 2, 200, 0
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.NotZero(t, r.Skipped)
	require.Equal(t, r.Sent, r.Outcomes[caller.Overdue])
}

// Each fault of an engine, passed on unchecked, must show as what it is: a cut
// stream is no answer, and another's words are a wrong one even when marked whole.
func TestFaultyStreamsAreToldApart(t *testing.T) {
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
		s := direct(address)
		s.Count, s.Seed = 1, xxhash.Sum64String(fields)
		r, err := Run(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, map[caller.Outcome]int{want: 1}, r.Outcomes, fields)
	}
}

func TestCompareTakesTurns(t *testing.T) {
	e, address := startEngine(t)
	delay := 20 * time.Millisecond
	through := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay) // the latency that is to be found
		r.Header.Set("X-Request-Id", "through-"+r.Header.Get("Authorization")+fmt.Sprint(time.Now().UnixNano()))
		e.ServeHTTP(w, r)
	}))
	r, err := Compare(t.Context(), Comparison{
		Direct: address, Through: through, Rate: 100, Slice: 200 * time.Millisecond, Rounds: 2,
		Key: "k", Model: "m", Kind: "ward-notice", Tokens: 20, Output: 2,
	})
	require.NoError(t, err)
	require.Equal(t, r.Direct.Sent, r.Through.Sent, "both sides send the same requests")
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
		s := direct("a")
		change(&s)
		_, err := Run(t.Context(), s)
		require.Error(t, err)
	}
}

func TestReadKindsReplaceTheMixWhole(t *testing.T) {
	s, err := Defaults(local.Directorate)
	require.NoError(t, err)
	require.NoError(t, settings.Load("", []string{`kinds=[{"name":"a"},{"name":"b"}]`}, &s))
	require.Equal(t, Kinds{{Name: "a"}, {Name: "b"}}, s.Kinds)
	var k Kinds
	require.Error(t, json.Unmarshal([]byte(`[{"nam":"a"}]`), &k))
}

func TestErrorsAreCountedByKindAndRan(t *testing.T) {
	for ran, want := range map[string]caller.Outcome{"no": caller.Refused, "maybe": caller.Failed, "yes": caller.Failed} {
		s := direct(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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

// The daemons refuse while they are full; callers come back when told to, and
// their waiting counts from when they first asked.
func TestRefusedCallersComeBack(t *testing.T) {
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
	s := direct(full)
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

// A daemon that is about to stop says that it is not ready; the balancer then
// sends nothing more its way, and nothing is cut off when it goes.
func TestBalancerLeavesOutDaemonsThatAreNotReady(t *testing.T) {
	e, address := startEngine(t)
	var ready atomic.Bool
	var misses atomic.Int32
	leaving := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" && !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if r.URL.Path != "/ready" {
			misses.Add(1)
			e.ServeHTTP(w, r)
		}
	}))
	well := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s := direct(address)
	s.Addresses = []string{address, leaving}
	s.Operators = []string{well, leaving}
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 40, r.Outcomes[caller.Finished], r.Examples)
	require.Zero(t, misses.Load())
	ready.Store(true)
	s.Seed++
	_, err = Run(t.Context(), s)
	require.NoError(t, err)
	require.NotZero(t, misses.Load())
	b := newBalancer(s)
	b.ready[0].Store(false)
	b.ready[1].Store(false)
	require.Equal(t, leaving, b.pick(3), "with none ready, all are tried")
	s.Operators = s.Operators[:1]
	_, err = Run(t.Context(), s)
	require.Error(t, err)
}

func TestSharesAndBurstsShapeThePlan(t *testing.T) {
	s := direct("a")
	s.Shares = map[string]float64{"a": 4}
	s.Rate, s.Burst, s.Period = 100, 10, 1000
	p := newPlanner(s)
	sent, early := map[string]int{}, 0
	for range 1000 {
		q := p.next()
		sent[q.Workspace]++
		if q.SendOffset%time.Second < time.Second/burstPart {
			early++
		}
	}
	require.InDelta(t, 800, sent["a"], 60)
	require.InDelta(t, 714, early, 100, "2 s of 10 at ten times the rate")
}

func TestUsageIsCountedByWorkspace(t *testing.T) {
	_, address := startEngine(t)
	r, err := Run(t.Context(), direct(address))
	require.NoError(t, err)
	a, b := r.Workspaces["a"], r.Workspaces["b"]
	require.Equal(t, 40, a.Finished+b.Finished)
	require.Equal(t, 240, a.Output+b.Output)
	require.Equal(t, r.Output, a.Output+b.Output)
	require.Greater(t, a.Prompt, a.Sent*9)
}

func TestServiceCallsAreMeasuredApart(t *testing.T) {
	v, err := service.New(service.Defaults(), clock.New())
	require.NoError(t, err)
	s := direct(serve(t, v))
	s.Kinds[0].Service = "alert-desk"
	r, err := Run(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, 40, r.Outcomes[caller.Finished], r.Examples)
	require.Equal(t, int64(40), r.Bands[ServiceBand].Total.Count)
}

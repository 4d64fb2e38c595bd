package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// fakeDaemon implements the interfaces of Sources.
type fakeDaemon struct {
	reasons  []string
	draining bool
}

func (f *fakeDaemon) Unready() []string { return f.reasons }
func (f *fakeDaemon) Members() []answers.Member {
	return []answers.Member{{VM: "vm-1", State: answers.Serving}, {VM: "vm-2", State: answers.Silent}}
}

func (f *fakeDaemon) Pools() []answers.Pool {
	return []answers.Pool{{Pool: "m@d", Owner: "vm-1", Queued: 3, Wait: [4]clock.Milli{1500}}}
}

func (f *fakeDaemon) Upstreams() []answers.Upstream {
	return []answers.Upstream{{Name: "u", Pool: "m@d", State: answers.Draining, Used: 7}}
}
func (f *fakeDaemon) Grants() []answers.Grant { return nil }
func (f *fakeDaemon) Usage() []answers.UsageCounter {
	return []answers.UsageCounter{{VM: "vm-1", Workspace: "w"}}
}
func (f *fakeDaemon) Newest() (peer.Revision, []byte)  { return 7, []byte("{}") }
func (f *fakeDaemon) Drain()                           { f.draining = true }
func (f *fakeDaemon) Draining() (began bool, left int) { return f.draining, 2 }
func (f *fakeDaemon) Counts() platform.Counts          { return platform.Counts{Reads: 5, Unknown: 1} }

func (f *fakeDaemon) Where(_ context.Context, q *answers.WhereQuery) (answers.Where, error) {
	switch q.Model {
	case "m":
	case "unanswered":
		return answers.Where{}, fault.New(fault.Unavailable, "no owner answered")
	default:
		return answers.Where{}, fault.New(fault.Unknown, "no model %q", q.Model)
	}
	return answers.Where{Model: q.Model, Verdict: answers.Placed}, nil
}

type fixedClock struct{}

func (fixedClock) Now() clock.Milli { return 1000 }

type fixture struct {
	t       *testing.T
	daemon  *fakeDaemon
	ring    *timeline.Ring
	log     *log.Logger
	handler http.Handler
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, daemon: &fakeDaemon{}, ring: timeline.NewRing("snipeshiftd", "vm-1", 1, 16, fixedClock{}),
		log: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
	set := metrics.NewSet()
	set.NewCounter("snipeshift_test_total").Inc()
	f.handler = New(Sources{
		Health: f.daemon, Members: f.daemon, Pools: f.daemon, Usage: f.daemon, Documents: f.daemon,
		Timeline: f.ring, Stopper: f.daemon, Store: f.daemon, Where: f.daemon, Metrics: []Metrics{set},
	}, f.log).Handler()
	return f
}

func (f *fixture) request(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, httptest.NewRequestWithContext(f.t.Context(), method, path, strings.NewReader(body)))
	return w
}

// get requests a page and decodes the response.
func get[A any](f *fixture, path string) A {
	w := f.request(http.MethodGet, path, "")
	require.Equal(f.t, http.StatusOK, w.Code, path)
	var a A
	j := json.NewDecoder(w.Body)
	j.DisallowUnknownFields()
	require.NoError(f.t, j.Decode(&a), path)
	return a
}

func TestPages(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, f.daemon.Members(), get[[]answers.Member](f, "/members"))
	require.Equal(t, f.daemon.Pools(), get[[]answers.Pool](f, "/pools"))
	require.Equal(t, f.daemon.Upstreams(), get[[]answers.Upstream](f, "/upstreams"))
	require.Equal(t, f.daemon.Usage(), get[[]answers.UsageCounter](f, "/usage"))
	require.Equal(t, "[]\n", f.request(http.MethodGet, "/grants", "").Body.String())
	require.Equal(t, "live\n", f.request(http.MethodGet, "/live", "").Body.String())

	d := get[answers.Document](f, "/document")
	require.Equal(t, peer.Revision(7), d.Revision)
	require.Equal(t, 2, d.Size)
	require.Empty(t, d.Text)
	require.Equal(t, "{}", get[answers.Document](f, "/document?text").Text)
	require.Equal(t, http.StatusNotFound, f.request(http.MethodPost, "/members", "").Code)
	require.Contains(t, f.request(http.MethodGet, "/nothing", "").Body.String(), `"error"`)
}

// A query that the daemon does not understand must not be answered for another request: fields of later versions are errors.
func TestWhereRejectsUnknownQueries(t *testing.T) {
	f := newFixture(t)
	page := func(query string) string {
		return answers.PathWhere + "?" + url.Values{answers.ParamWhere: {query}}.Encode()
	}
	require.Equal(t, answers.Placed, get[answers.Where](f, page(`{"model":"m"}`)).Verdict)
	require.Equal(t, http.StatusNotFound, f.request(http.MethodGet, page(`{"model":"x"}`), "").Code)
	require.Equal(t, http.StatusServiceUnavailable, f.request(http.MethodGet, page(`{"model":"unanswered"}`), "").Code)
	for _, query := range []string{`{"model":"m","tokens":5}`, ""} {
		require.Equal(t, http.StatusBadRequest, f.request(http.MethodGet, page(query), "").Code)
	}
}

func TestReadyReportsReasons(t *testing.T) {
	f := newFixture(t)
	require.True(t, get[answers.Readiness](f, "/ready").Ready)
	f.daemon.reasons = []string{"no document yet"}
	w := f.request(http.MethodGet, "/ready", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.JSONEq(t, `{"ready":false,"reasons":["no document yet"]}`, w.Body.String())
}

func TestTimelineFilters(t *testing.T) {
	f := newFixture(t)
	f.ring.Add(timeline.Event{Kind: timeline.Arrived, Request: "r1", Workspace: "w"})
	f.ring.Add(timeline.Event{Kind: timeline.Granted, Request: "r2", Upstream: "u"})
	for query, want := range map[string]int{
		"": 2, "?request=r1": 1, "?workspace=w": 1, "?upstream=u": 1, "?since=1001": 0, "?since=1000&until=1000": 2,
	} {
		w := f.request(http.MethodGet, "/timeline"+query, "")
		require.Equal(t, want, bytes.Count(w.Body.Bytes(), []byte("\n")), query)
	}
	var e timeline.Event
	require.NoError(t, json.Unmarshal(f.request(http.MethodGet, "/timeline?request=r2", "").Body.Bytes(), &e))
	require.Equal(t, decide.UpstreamID("u"), e.Upstream)
	require.Equal(t, http.StatusBadRequest, f.request(http.MethodGet, "/timeline?since=yesterday", "").Code)
}

func TestLevelChangesAtRunTime(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, http.StatusOK, f.request(http.MethodPut, "/level", `{"level":"debug"}`).Code)
	require.Equal(t, "debug", get[answers.Level](f, "/level").Level)
	require.Len(t, f.ring.Events(timeline.Filter{}), 1)
	for _, body := range []string{`{"level":"loud"}`, `{"level":"fatal"}`, `{`, `{"lvl":"info"}`, strings.Repeat(" ", maxBody+1)} {
		require.Equal(t, http.StatusBadRequest, f.request(http.MethodPut, "/level", body).Code, body)
	}
	require.Equal(t, "debug", get[answers.Level](f, "/level").Level)
}

func TestDrain(t *testing.T) {
	f := newFixture(t)
	require.False(t, get[answers.Drain](f, "/drain").Draining)
	require.Equal(t, http.StatusBadRequest, f.request(http.MethodPut, "/drain", `{"draining":false}`).Code)
	require.False(t, f.daemon.draining)
	require.Equal(t, http.StatusAccepted, f.request(http.MethodPut, "/drain", `{"draining":true}`).Code)
	require.Equal(t, answers.Drain{Draining: true, Requests: 2}, get[answers.Drain](f, "/drain"))
}

func TestMetrics(t *testing.T) {
	f := newFixture(t)
	text := f.request(http.MethodGet, "/metrics", "").Body.String()
	for _, line := range []string{
		"snipeshift_test_total 1",
		`snipeshift_pool_queued{pool="m@d"} 3`,
		`snipeshift_pool_wait_seconds{pool="m@d",urgency="0"} 1.5`,
		`snipeshift_upstream_serving{pool="m@d",upstream="u"} 0`,
		`snipeshift_members{state="silent"} 1`,
		`snipeshift_members{state="gone"} 0`,
		`snipeshift_store_calls_total{call="read"} 5`,
		"snipeshift_store_unknown_total 1",
		"snipeshift_document_revision 7",
		"snipeshift_ready 1",
		"process_resident_memory_bytes",
	} {
		require.Contains(t, text, line)
	}
}

func FuzzTimelineQuery(f *testing.F) {
	f.Add("request=r&since=1")
	f.Add("since=-1&until=x")
	f.Fuzz(func(t *testing.T, query string) {
		x := newFixture(t)
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/timeline", http.NoBody)
		r.URL.RawQuery = query
		w := httptest.NewRecorder()
		x.handler.ServeHTTP(w, r)
		require.Contains(t, []int{http.StatusOK, http.StatusBadRequest}, w.Code)
	})
}

// On-call engineers look up alarms in the operations page. A metric that is renamed in the code but
// not in the page could not be found there.
func TestOperationsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	text := newFixture(t).request(http.MethodGet, "/metrics", "").Body.String()
	for _, line := range strings.Split(text, "\n") {
		name, _, _ := strings.Cut(line, "{")
		name, _, _ = strings.Cut(name, " ")
		if !strings.HasPrefix(name, "snipeshift_") || name == "snipeshift_test_total" {
			continue
		}
		// Of several metrics with a common prefix, the page lists all but the first by suffix only.
		short := name[strings.LastIndex(strings.TrimSuffix(strings.TrimSuffix(name, "_tokens"), "_seconds"), "_"):]
		require.True(t, bytes.Contains(page, []byte("`"+name+"`")) || bytes.Contains(page, []byte("`"+short+"`")), name)
	}
}

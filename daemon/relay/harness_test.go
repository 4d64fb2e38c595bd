package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/dial/dialtest"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// testCodec is a minimal protocol, so that these tests do not depend on header names of a platform.
type testCodec struct{}

func (testCodec) RequestHead(h http.Header) (exchange.RequestHead, error) {
	head := exchange.RequestHead{ID: h.Get("Id"), Key: route.Key(h.Get("Key")), LastEventID: h.Get("Last")}
	for _, p := range h.Get("Parts") {
		head.Parts = append(head.Parts, blame.Part(p))
	}
	return head, nil
}

func (testCodec) Forward(from http.Header, s exchange.Send) http.Header {
	h := from.Clone()
	h.Del("Key")
	h.Set("Workspace", string(s.Workspace))
	h.Set("Left", fmt.Sprint(int64(s.TimeLeft)))
	if s.LastEventID != "" {
		h.Set("Last", s.LastEventID)
	}
	h["User-Agent"] = nil
	return h
}

func (testCodec) ResponseHead(resp *http.Response, id string) exchange.ResponseHead {
	head := exchange.ResponseHead{Matches: resp.Header.Get("Id") == id, Signed: resp.Header.Get("Mark") != "", NotRun: resp.Header.Get("Idle") != ""}
	if rate, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64); err == nil {
		head.Declared.Limit = exchange.Limit{Named: true, Rate: statement.PerSecond(rate)}
	}
	if backOff, err := strconv.ParseInt(resp.Header.Get("Rest"), 10, 64); err == nil {
		head.Declared.BackOff = clock.Milli(backOff)
	}
	head.Declared.Leaving = resp.Header.Get("Leaving") != ""
	return head
}

func (testCodec) Answer(to, from http.Header) {
	for n, vs := range from {
		if n != "Connection" {
			to[n] = vs
		}
	}
}

func (testCodec) Refuse(to http.Header, _ string, retry clock.Milli) {
	if retry > 0 {
		to.Set("Retry-After", fmt.Sprint(float64(retry)/1000))
	}
}

// testPlacer grants each request the first upstream of its list that the request does not avoid.
type testPlacer struct {
	mu        sync.Mutex
	upstreams []route.Upstream
	outcomes  []span.Outcome
	// again and counted record the fields Again and Counted of each Ask, parts its parts.
	again, counted []bool
	parts          [][]blame.Part
	// deadlines records the field Deadline of each Ask.
	deadlines  []clock.Milli
	statements *statement.Table
	// wait is how long each Ask takes; beforeAsk is called at its start.
	wait      time.Duration
	beforeAsk func()
	refuse    fault.Kind
	// booked is the Retry-After time of refusals with a booking; zero for refusals without one.
	booked clock.Milli
	// fingerprints records the field Fingerprint of each Ask.
	fingerprints []uint64
	// passed are the statements passed on to carriers.
	passed []string
	// helpers are the helpers in each grant.
	helpers []span.Placement
}

func (p *testPlacer) Ask(ctx context.Context, _ route.ServiceID, a span.Ask) (placer.AskReply, error) {
	if p.beforeAsk != nil {
		p.beforeAsk()
	}
	p.mu.Lock()
	p.again = append(p.again, a.Again)
	p.counted = append(p.counted, a.Counted)
	p.parts = append(p.parts, a.Parts)
	p.deadlines = append(p.deadlines, a.Deadline)
	p.fingerprints = append(p.fingerprints, a.Fingerprint)
	p.mu.Unlock()
	select {
	case <-time.After(p.wait):
	case <-ctx.Done():
		return placer.AskReply{}, ctx.Err()
	}
	if p.refuse != "" {
		return placer.AskReply{Decided: true, Fault: p.refuse, Reason: "test", Retry: p.booked, Booked: p.booked > 0}, nil
	}
	for _, h := range p.helpers {
		if slices.Contains(a.Avoid, h.Upstream) {
			return placer.AskReply{Decided: true, Fault: fault.Unavailable, Reason: "none"}, nil
		}
	}
	for _, u := range p.upstreams {
		if !slices.Contains(a.Avoid, u.ID) {
			return placer.AskReply{Decided: true, Grant: span.Grant{Request: a.ID, Leader: span.Placement{Upstream: u.ID, Address: u.Address}, Helpers: p.helpers, First: 100}}, nil
		}
	}
	return placer.AskReply{Decided: true, Fault: fault.Unavailable, Reason: "none"}, nil
}

func (p *testPlacer) FirstByte(decide.RequestID) {}

func (p *testPlacer) End(_ decide.RequestID, o span.Outcome, _ decide.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *testPlacer) Withdraw(route.ServiceID, decide.RequestID) {}

func (p *testPlacer) RecordStatement(_ route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statements.Learn(u, st)
}

func (p *testPlacer) Binding(_ route.ServiceID, l span.Placement) (statement.Statement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statements.Blocking(clock.Boot{}.Now(), l.Upstream, l.Born)
}

// testRegistry is a Registry whose view a test sets.
type testRegistry struct {
	mu   sync.Mutex
	view *registry.View
	// known is closed once a document has been set.
	known chan struct{}
}

func (f *testRegistry) View() *registry.View { f.mu.Lock(); defer f.mu.Unlock(); return f.view }

func (f *testRegistry) Known() <-chan struct{} { return f.known }

func (f *testRegistry) set(v *registry.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Table == nil && v.Table != nil {
		close(f.known)
	}
	f.view = v
}

// emptyRegistry returns the registry of a VM that has just started.
func emptyRegistry() *testRegistry {
	return &testRegistry{view: &registry.View{}, known: make(chan struct{})}
}

// testSuspects gives the same verdict on every request, and records the argument whole of each End.
type testSuspects struct {
	verdict gate.Verdict
	whole   *[]bool
	// crashes counts the recorded crashes.
	crashes *atomic.Int64
}

func (n testSuspects) Check(uint64) gate.Verdict { return n.verdict }
func (testSuspects) Begin(uint64) bool           { return true }
func (n testSuspects) End(_ uint64, whole bool) {
	if n.whole != nil {
		*n.whole = append(*n.whole, whole)
	}
}

func (n testSuspects) RecordCrash(uint64, decide.UpstreamID, decide.Incarnation) {
	if n.crashes != nil {
		n.crashes.Add(1)
	}
}

// testPaths connects directly unless fail returns an error, and through the VM carrier if it is set.
type testPaths struct {
	net.Dialer
	fail    func(address string) error
	carrier peer.VM
	// read counts the bytes that were read from upstreams.
	read atomic.Int64
}

func (p *testPaths) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.fail != nil {
		if err := p.fail(address); err != nil {
			return nil, err
		}
	}
	c, err := dialtest.Count(p.DialContext, &p.read)(ctx, network, address)
	if err != nil || p.carrier == "" {
		return c, err
	}
	return carriedConn{c, p.carrier}, nil
}

// carriedConn is a connection through another VM.
type carriedConn struct {
	net.Conn
	carrier peer.VM
}

func (c carriedConn) Carrier() peer.VM    { return c.carrier }
func (c carriedConn) DirectRefused() bool { return false }

// fixture is a gate with upstreams whose responses a test defines.
type fixture struct {
	t        *testing.T
	placer   *testPlacer
	paths    *testPaths
	registry *testRegistry
	gate     *Gate
	server   *httptest.Server
	// upstreams are the servers of the placer's upstreams.
	upstreams []*httptest.Server
	table     *route.Table
	deps      Dependencies
}

func (p *testPlacer) PassToCarrier(carrier peer.VM, _ route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed = append(p.passed, fmt.Sprint(carrier, " ", u, " ", st.Kind))
}

// routes returns one route of each kind, under a prefix equal to its name.
func routes(timeout clock.Milli) []route.Route {
	r := func(name string, repeat route.Repeat, stream bool) route.Route {
		return route.Route{
			Name: name, Host: "team.example", Prefix: "/" + name + "/", Targets: []route.Target{{Service: "s", Weight: 1}},
			Repeat: repeat, Stream: stream, Timeout: timeout, Aim: 100, Gap: 100, Attempts: 2,
		}
	}
	return []route.Route{r("once", route.Once, false), r("again", route.Repeatable, false), r("stream", route.Resumable, true), r("stream1", route.Once, true)}
}

func newFixture(t *testing.T, upstreams ...http.HandlerFunc) *fixture {
	t.Helper()
	w := &fixture{t: t, placer: &testPlacer{statements: statement.NewTable()}, registry: emptyRegistry()}
	for i, h := range upstreams {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		w.upstreams = append(w.upstreams, s)
		w.placer.upstreams = append(w.placer.upstreams, route.Upstream{
			ID: decide.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: strings.TrimPrefix(s.URL, "http://"),
		})
	}
	w.setDocument(2*clock.Second, "key")
	w.paths = &testPaths{}
	transport, unpooled := NewTransport(w.paths.Dial), NewTransport(w.paths.Dial)
	unpooled.DisableKeepAlives = true
	t.Cleanup(transport.CloseIdleConnections)
	w.deps = Dependencies{
		Paths: w.paths,
		Clock: clock.Boot{}, Log: &log.Logger{Level: log.FatalLevel}, Codec: testCodec{}, Placer: w.placer, Registry: w.registry,
		Suspects: testSuspects{}, Pooled: transport, Unpooled: unpooled,
	}
	w.start()
	return w
}

func (w *fixture) start() {
	w.gate = New(w.deps, Bounds{Revoke: 5 * clock.Second, Config: 2 * clock.Second, BodyBytes: 1 << 16, ResponseBytes: 1 << 20}, "vm.1")
	w.server = httptest.NewServer(w.gate)
	w.t.Cleanup(w.server.Close)
}

// setDocument puts a document in force in which the workspace "ward" has these keys.
func (w *fixture) setDocument(timeout clock.Milli, keys ...route.Key) {
	d := &route.Document{Revision: 1, Routes: routes(timeout), Workspaces: []route.Workspace{{ID: "ward", Keys: keys}}}
	t, err := route.Index(d)
	require.NoError(w.t, err)
	now := clock.Boot{}.Now()
	w.table = t
	w.registry.set(&registry.View{
		Table: t, TableVerified: now, UpstreamsVerified: now, Generation: 1, Upstreams: map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams},
	})
}

// markLeaving sets a list of upstreams in which one is leaving; the placer keeps its earlier list.
func (w *fixture) markLeaving(id decide.UpstreamID) {
	v := *w.registry.View()
	us := slices.Clone(w.placer.upstreams)
	for i := range us {
		us[i].Leaving = us[i].Leaving || us[i].ID == id
	}
	v.Upstreams = map[route.ServiceID][]route.Upstream{"s": us}
	w.registry.set(&v)
}

// call sends one request and returns its response and the response body.
func (w *fixture) call(method, path, body string) (*http.Response, string, error) {
	w.t.Helper()
	r, err := http.NewRequest(method, w.server.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	r.Host = "team.example"
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", "key")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// respond returns a handler that sends a complete, valid response.
func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw returns a handler that sends arbitrary bytes and closes the connection, with a TCP
// reset if reset is set.
func respondRaw(t *testing.T, reset bool, answer func(r *http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = buffer.WriteString(answer(r))
		_ = buffer.Flush()
		if reset {
			time.Sleep(20 * time.Millisecond) // the bytes before the reset must arrive
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// counting wraps h and counts its requests.
func counting(n *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

// eventText returns the events of a stream with the ids from and to, and those between them.
func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func respondStream(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		respond(text)(w, r)
	}
}

func lines(s string) []string {
	var out []string
	for sc := bufio.NewScanner(strings.NewReader(s)); sc.Scan(); {
		out = append(out, sc.Text())
	}
	return out
}

// rejectWithBackOff rejects a request without running it, and asks for a back-off of 3 s.
func rejectWithBackOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Idle", "1")
	w.Header().Set("Rest", "3000")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// declareLeaving wraps h and declares in each response that the upstream is leaving.
func declareLeaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		h(w, r)
	}
}

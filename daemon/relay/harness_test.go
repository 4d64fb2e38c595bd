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
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// testCodec is a protocol of few headers, so that these tests know no platform's names.
type testCodec struct{}

func (testCodec) RequestHead(h http.Header) (exchange.RequestHead, error) {
	return exchange.RequestHead{ID: h.Get("Id"), Key: route.Key(h.Get("Key")), LastEventID: h.Get("Last")}, nil
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
	word := exchange.ResponseHead{Matches: resp.Header.Get("Id") == id, Signed: resp.Header.Get("Mark") != "", NotRun: resp.Header.Get("Idle") != ""}
	if rate, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64); err == nil {
		word.Declared.Limit = exchange.Limit{Named: true, Rate: statement.PerSecond(rate)}
	}
	if rest, err := strconv.ParseInt(resp.Header.Get("Rest"), 10, 64); err == nil {
		word.Declared.BackOff = clock.Milli(rest)
	}
	word.Declared.Leaving = resp.Header.Get("Leaving") != ""
	return word
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

// inTurn places sends on upstreams in turn, leaving out those to avoid.
type inTurn struct {
	mu        sync.Mutex
	upstreams []route.Upstream
	outcomes  []span.Outcome
	// again holds for each question whether something had been sent before, counted whether nothing was sent under the last grant.
	again, counted []bool
	said           *statement.Table
	// wait is how long a place takes to come, during which during is called.
	wait   time.Duration
	during func()
	refuse fault.Kind
	// helpers are those of every grant.
	helpers []span.Placement
}

func (p *inTurn) Ask(ctx context.Context, _ route.ServiceID, a span.Ask) (placer.AskReply, error) {
	if p.during != nil {
		p.during()
	}
	p.mu.Lock()
	p.again = append(p.again, a.Again)
	p.counted = append(p.counted, a.Counted)
	p.mu.Unlock()
	select {
	case <-time.After(p.wait):
	case <-ctx.Done():
		return placer.AskReply{}, ctx.Err()
	}
	if p.refuse != "" {
		return placer.AskReply{Decided: true, Fault: p.refuse, Reason: "test"}, nil
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

func (p *inTurn) FirstByte(decide.RequestID) {}

func (p *inTurn) End(_ decide.RequestID, o span.Outcome, _ decide.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *inTurn) Withdraw(route.ServiceID, decide.RequestID) {}

func (p *inTurn) RecordStatement(_ route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.said.Learn(u, st)
}

func (p *inTurn) Binding(_ route.ServiceID, l span.Placement) (statement.Statement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.said.Blocking(clock.Boot{}.Now(), l.Upstream, l.Born)
}

// fixed is knowledge that a test sets.
type fixed struct {
	mu   sync.Mutex
	view *registry.View
	// known is closed once a document was set.
	known chan struct{}
}

func (f *fixed) View() *registry.View { f.mu.Lock(); defer f.mu.Unlock(); return f.view }

func (f *fixed) Known() <-chan struct{} { return f.known }

func (f *fixed) set(v *registry.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Table == nil && v.Table != nil {
		close(f.known)
	}
	f.view = v
}

// unknown is the knowledge of a VM that has just started.
func unknown() *fixed { return &fixed{view: &registry.View{}, known: make(chan struct{})} }

// noSuspects finds every request the same, and notes which of its sends were whole.
type noSuspects struct {
	check gate.Verdict
	whole *[]bool
}

func (n noSuspects) Check(uint64) gate.Verdict { return n.check }
func (noSuspects) Begin(uint64) bool           { return true }
func (n noSuspects) End(_ uint64, whole bool) {
	if n.whole != nil {
		*n.whole = append(*n.whole, whole)
	}
}
func (noSuspects) RecordCrash(uint64, decide.UpstreamID, decide.Incarnation) {}

// world is a gate before upstreams that a test scripts.
type world struct {
	t      *testing.T
	placer *inTurn
	known  *fixed
	gate   *Gate
	server *httptest.Server
	// upstreams are the servers behind the placer's.
	upstreams []*httptest.Server
	table     *route.Table
	needs     Dependencies
}

// routes are one of each kind, under paths of their names.
func routes(timeout clock.Milli) []route.Route {
	r := func(name string, repeat route.Repeat, stream bool) route.Route {
		return route.Route{
			Name: name, Host: "team.example", Prefix: "/" + name + "/", Targets: []route.Target{{Service: "s", Weight: 1}},
			Repeat: repeat, Stream: stream, Timeout: timeout, Aim: 100, Gap: 100, Attempts: 2,
		}
	}
	return []route.Route{r("once", route.Once, false), r("again", route.Repeatable, false), r("stream", route.Resumable, true), r("stream1", route.Once, true)}
}

func newWorld(t *testing.T, upstreams ...http.HandlerFunc) *world {
	t.Helper()
	w := &world{t: t, placer: &inTurn{said: statement.NewTable()}, known: unknown()}
	for i, h := range upstreams {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		w.upstreams = append(w.upstreams, s)
		w.placer.upstreams = append(w.placer.upstreams, route.Upstream{
			ID: decide.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: strings.TrimPrefix(s.URL, "http://"),
		})
	}
	w.learn(2*clock.Second, "key")
	transport := &http.Transport{DisableCompression: true, DialContext: DialPoolHost((&net.Dialer{}).DialContext)}
	t.Cleanup(transport.CloseIdleConnections)
	w.needs = Dependencies{
		Clock: clock.Boot{}, Log: &log.Logger{Level: log.FatalLevel}, Codec: testCodec{}, Placer: w.placer, Registry: w.known,
		Suspects: noSuspects{}, Pooled: transport, Unpooled: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	w.start()
	return w
}

func (w *world) start() {
	w.gate = New(w.needs, Bounds{Revoke: 5 * clock.Second, Config: 2 * clock.Second, BodyBytes: 1 << 16}, "vm.1")
	w.server = httptest.NewServer(w.gate)
	w.t.Cleanup(w.server.Close)
}

// learn puts a document in force that gives the workspace ward these keys.
func (w *world) learn(timeout clock.Milli, keys ...route.Key) {
	d := &route.Document{Revision: 1, Routes: routes(timeout), Workspaces: []route.Workspace{{ID: "ward", Keys: keys}}}
	t, err := route.Index(d)
	require.NoError(w.t, err)
	now := clock.Boot{}.Now()
	w.table = t
	w.known.set(&registry.View{
		Table: t, TableVerified: now, UpstreamsVerified: now, Generation: 1, Upstreams: map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams},
	})
}

// leave puts a list in force in which an upstream leaves; the placer keeps the earlier one.
func (w *world) leave(id decide.UpstreamID) {
	v := *w.known.View()
	us := slices.Clone(w.placer.upstreams)
	for i := range us {
		us[i].Leaving = us[i].Leaving || us[i].ID == id
	}
	v.Upstreams = map[route.ServiceID][]route.Upstream{"s": us}
	w.known.set(&v)
}

// call sends one request and returns its answer.
func (w *world) call(method, path, body string) (*http.Response, string, error) {
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

// whole answers as a sound upstream does.
func whole(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		_, _ = io.WriteString(w, body)
	}
}

// raw answers with bytes of the test's own and closes the connection, resetting it if told.
func raw(t *testing.T, reset bool, answer func(r *http.Request) string) http.HandlerFunc {
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

// counted counts the requests that reach an upstream.
func counted(n *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

// stream writes a stream's events from one id to another.
func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func streamed(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		whole(text)(w, r)
	}
}

func lines(s string) []string {
	var out []string
	for sc := bufio.NewScanner(strings.NewReader(s)); sc.Scan(); {
		out = append(out, sc.Text())
	}
	return out
}

// sheds turns every request away and asks for rest.
func sheds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Idle", "1")
	w.Header().Set("Rest", "3000")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leaving answers as h does, and says that the upstream leaves.
func leaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		h(w, r)
	}
}

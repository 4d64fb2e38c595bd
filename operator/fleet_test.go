package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
	"snipeshift.example/lib/route"
	"snipeshift.example/lib/timeline"
)

// platformHandler serves the protocol of the platform's store from a store in memory.
func platformHandler(s *platformtest.Store) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		o, err := s.Get(r.Context(), platform.Kind(r.PathValue("kind")), platform.Name(r.PathValue("name")))
		writeObject(w, o.Version, o.Value, err)
	})
	m.HandleFunc("PUT /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		base, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
		v, err := s.Put(r.Context(), platform.Kind(r.PathValue("kind")), platform.Name(r.PathValue("name")), text, platform.IfVersion(platform.Version(base)))
		writeObject(w, v, nil, err)
	})
	return m
}

func writeObject(w http.ResponseWriter, v platform.Version, value []byte, err error) {
	switch {
	case err == nil:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
		_, _ = w.Write(value)
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler) // the response is lost
	case errors.Is(err, platform.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// fleet is a fake of three daemons: vm-1 and vm-2 respond, vm-3 does not.
type fleet struct {
	servers   []*httptest.Server
	timelines []*timeline.Ring
}

const unreachableDaemon = "127.0.0.1:9" // the port of the discard protocol, where nothing listens

func startFleet(e *testscript.Env) *fleet {
	f := &fleet{}
	for i := range 2 {
		f.servers = append(f.servers, httptest.NewUnstartedServer(f.daemon(i)))
	}
	f.recordEvents()
	for _, s := range f.servers {
		s.Start()
		e.Defer(s.Close)
	}
	return f
}

func (f *fleet) addresses() []string {
	return []string{f.servers[0].Listener.Addr().String(), f.servers[1].Listener.Addr().String()}
}

// manualClock is a clock that is advanced by the test.
type manualClock struct{ now clock.Milli }

func (h *manualClock) Now() clock.Milli { return h.now }

// noon is 2026-01-02 12:00:00 UTC.
const noon clock.Milli = 1767355200000

// recordEvents records the events of one request on both daemons. The clock of vm-2 is one minute
// behind, and the request is sent twice.
func (f *fleet) recordEvents() {
	clock1, clock2 := &manualClock{noon}, &manualClock{noon - clock.Minute}
	a := timeline.NewRing("snipeshiftd", "vm-1", 1, 64, clock1)
	b := timeline.NewRing("snipeshiftd", "vm-2", 4, 64, clock2)
	f.timelines = []*timeline.Ring{a, b}
	e := timeline.Event{Request: "r-1", Workspace: "ward-inspectors"}
	add := func(r *timeline.Ring, k timeline.Kind, u decide.UpstreamID, peer, text string) {
		e.Kind, e.Upstream, e.Peer, e.Text = k, u, peer, text
		r.Add(e)
		clock1.now += 5
	}
	add(a, timeline.Arrived, "", "", "kind=ward-draft")
	b.ReceiveStamp(a.SendStamp())
	add(b, timeline.Queued, "", "vm-1", "")
	add(b, timeline.Granted, "runner-01", "vm-1", "")
	a.ReceiveStamp(b.SendStamp())
	add(a, timeline.Sent, "runner-01", "", "")
	add(a, timeline.Retried, "runner-01", "", "the connection was cut before the first token")
	b.ReceiveStamp(a.SendStamp())
	add(b, timeline.Granted, "runner-02", "vm-1", "")
	a.ReceiveStamp(b.SendStamp())
	add(a, timeline.Sent, "runner-02", "", "")
	add(a, timeline.Finished, "runner-02", "", "")
	a.Add(timeline.Event{Kind: timeline.Arrived, Request: "r-2", Workspace: "sms-desk"})
}

// daemon returns the handler of vm-1 (i is 0) or vm-2 (i is 1).
func (f *fleet) daemon(i int) http.Handler {
	m := http.NewServeMux()
	page := func(path string, lists ...any) {
		m.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(lists[i]) })
	}
	m.HandleFunc("GET "+answers.PathMembers, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.members()) })
	page(answers.PathPools,
		[]answers.Pool{{Pool: "notice-writer@tvm-hall", Owner: "vm-1", Epoch: 9, Wait: [4]clock.Milli{0, 120, 900, 4000}, Queued: 3, Running: 17, Free: 120000, Largest: 800000, Upstreams: 2}},
		[]answers.Pool{{Pool: "alert-desk@kochi-hall", Owner: "vm-2", Epoch: 4, Running: 1, Upstreams: 1}})
	page(answers.PathUpstreams,
		[]answers.Upstream{
			{Name: "runner-02", Pool: "notice-writer@tvm-hall", Owner: "vm-1", Address: "10.1.0.12:8000", State: answers.Draining, Slots: 64, Memory: 400000, Age: -1},
			{Name: "runner-01", Pool: "notice-writer@tvm-hall", Owner: "vm-1", Address: "10.1.0.11:8000", State: answers.Serving, Running: 17, Slots: 64, Reserved: 280000, Used: 260000, Memory: 400000, Age: 250, Fenced: true},
		},
		[]answers.Upstream{{Name: "desk-01", Pool: "alert-desk@kochi-hall", Owner: "vm-2", Address: "10.3.0.21:8080", State: answers.Serving, Running: 1, Slots: 16, Age: 400}})
	page(answers.PathGrants,
		[]answers.Grant{{Grant: 77, Pool: "notice-writer@tvm-hall", Owner: "vm-1", Request: "r-1", Workspace: "ward-inspectors", Gate: "vm-1/1", Upstreams: []decide.UpstreamID{"runner-01", "runner-02"}, Urgency: 1, Prompt: 600000, Output: 800, Reserved: 300400, Lease: 4200, Left: 533000}},
		[]answers.Grant{})
	page(answers.PathUsage,
		[]answers.UsageCounter{
			{VM: "vm-1", Incarnation: 1, Workspace: "ward-inspectors", Usage: answers.Usage{Requests: 10, Prompt: 50000, Cached: 20000, Output: 4000}},
			{VM: "vm-2", Incarnation: 4, Workspace: "ward-inspectors", Usage: answers.Usage{Requests: 1, Prompt: 100, Output: 10}},
		},
		[]answers.UsageCounter{
			{VM: "vm-2", Incarnation: 4, Workspace: "ward-inspectors", Usage: answers.Usage{Requests: 2, Prompt: 300, Output: 20}},
			{VM: "vm-2", Incarnation: 4, Workspace: "sms-desk", Usage: answers.Usage{Requests: 5, Prompt: 900}},
		})
	m.HandleFunc("GET "+answers.PathTimeline, func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		q := timeline.Filter{Request: decide.RequestID(r.URL.Query().Get("request")), Since: clock.Milli(since)}
		for _, e := range f.timelines[i].Events(q) {
			_ = json.NewEncoder(w).Encode(e)
		}
	})
	m.HandleFunc("PUT "+answers.PathParts, func(w http.ResponseWriter, r *http.Request) {
		var x answers.Part
		_ = json.NewDecoder(r.Body).Decode(&x)
		x.Cleared = x.Part == "bad1"
		_ = json.NewEncoder(w).Encode(x)
	})
	bad := answers.Part{Service: "notice-writer", Part: "bad1", Upstreams: []decide.UpstreamID{"u-1", "u-2", "u-3"}, First: 64_000, Last: 62_000}
	page(answers.PathParts,
		[]answers.Part{{Service: "notice-writer", Part: "bad1", Upstreams: bad.Upstreams[:2], First: 64_000, Last: 63_000}, {Service: "alert-desk", Part: "f00", Upstreams: []decide.UpstreamID{"u-8", "u-9"}, First: 9000, Last: 5500}},
		[]answers.Part{bad})
	page(answers.PathServices,
		answers.RelayStatus{
			VM: "vm-1", Era: 2, Evacuated: []route.Domain{"kochi-hall"},
			Services: []answers.Service{
				{Service: "notice-writer", Holder: "vm-2", Epoch: 3, Since: 242_000, Successor: "vm-1", Upstreams: 18},
				{Service: "alert-desk", Holder: "vm-1", Epoch: 1, Since: 540_000, Successor: "vm-2", Upstreams: 3},
			},
			Statements: []answers.Statement{
				{Service: "alert-desk", Upstream: "u-3", Kind: "leaving", Gate: "vm-1/7", Age: 3400},
				{Service: "notice-writer", Upstream: "u-1", Kind: "limit", Rate: 2.3, Age: 200},
				{Service: "notice-writer", Upstream: "u-2", Kind: "rest", Gate: "vm-1/7", Left: 2500, Age: 500},
			},
		},
		answers.RelayStatus{
			VM: "vm-2", Era: 2,
			Services:   []answers.Service{{Service: "notice-writer", Holder: "vm-2", Epoch: 4, Since: 1500, Successor: "vm-1", Upstreams: 18}},
			Statements: []answers.Statement{},
		})
	m.HandleFunc("GET "+answers.PathWhere, func(w http.ResponseWriter, r *http.Request) { f.where(i, w, r) })
	page(answers.PathDocument, answers.Document{Revision: 1}, answers.Document{Revision: 1})
	m.HandleFunc("PUT "+answers.PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(answers.Drain{Draining: true, Requests: 17})
	})
	return m
}

func (f *fleet) members() []answers.Member {
	a := f.addresses()
	return []answers.Member{
		{VM: "vm-3", Incarnation: 2, Domain: "kochi-hall", Peer: "10.3.0.4:7001", Operator: unreachableDaemon, State: answers.Silent, Revision: 1, Age: 4000},
		{VM: "vm-1", Incarnation: 1, Domain: "tvm-hall", Peer: "10.1.0.4:7001", Operator: a[0], State: answers.Serving, Revision: 2},
		{VM: "vm-2", Incarnation: 4, Domain: "kollam-hall", Peer: "10.2.0.4:7001", Operator: a[1], State: answers.Serving, Revision: 2, Age: 310},
		{VM: "vm-0", Incarnation: 1, Domain: "tvm-hall", State: answers.Gone},
	}
}

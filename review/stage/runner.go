package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the engines, as the configuration declares them.
const (
	engineSlots   = 16
	engineMemory  = 450_000
	readPerMilli  = 256
	eventTokens   = 46
	eventInterval = 45 * time.Millisecond
)

// runner is a server of a service. A model runner has engine set; another one answers after work.
type runner struct {
	id, service, zone string
	engine            bool
	work              time.Duration
	slots             int
	record            *record
	stage             *stage
	server            *http.Server
	listener          *darkListener
	born              int64

	mu      sync.Mutex
	active  int
	memory  int
	tickets map[string]*ticket
	// runs has the times at which requests began to run, by attempt.
	runs map[string][]time.Time
}

// ticket is a reservation of memory.
type ticket struct {
	tokens int
	until  time.Time
}

var signatures atomic.Uint64

func (s *stage) newRunner(id, service, zone string, engine bool, work time.Duration) (*runner, error) {
	return s.newRunnerAt("127.0.0.1:0", id, service, zone, engine, work)
}

// newRunnerAt starts a runner at an address and registers it.
func (s *stage) newRunnerAt(address, id, service, zone string, engine bool, work time.Duration) (*runner, error) {
	l, err := listenDark(address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, engine: engine, work: work, slots: 6, record: s.record, listener: l,
		stage: s, born: time.Now().UnixMilli(), tickets: map[string]*ticket{}, runs: map[string][]time.Time{},
	}
	if engine {
		r.slots = engineSlots
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	s.mu.Lock()
	s.runners = append(s.runners, r)
	s.mu.Unlock()
	s.register(r, "ready")
	return r, nil
}

// register writes the entry of a runner into the store.
func (s *stage) register(r *runner, state string) {
	s.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	})
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) close() {
	r.listener.end()
	_ = r.server.Close()
}

// reserved returns the tokens of all tickets. The lock must be held.
func (r *runner) reserved() int {
	sum := 0
	for id, t := range r.tickets {
		if time.Now().After(t.until) {
			delete(r.tickets, id)
			continue
		}
		sum += t.tokens
	}
	return sum
}

// ServeHTTP serves reports, orders, liveness checks and requests.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.listener.isDark() {
		<-q.Context().Done() // a machine without power reads nothing
		panic(http.ErrAbortHandler)
	}
	switch q.URL.Path {
	case "/api/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, map[string]any{
			"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 1, "queued_requests": 0, "active_requests": r.active, "kv_used_tokens": r.memory + r.reserved(),
			"kv_total_tokens": engineMemory, "cache_handles": 0, "pace": 1.0, "born": r.born,
		})
	case "/api/order":
		r.order(w, q)
	case "/healthz":
		w.Header().Set("X-Runner-Id", r.id)
	default:
		r.request(w, q)
	}
}

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"token_count"`
		HoldMS    int    `json:"hold_ms"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.Operation {
	case "reserve":
		if r.tickets[o.ID] == nil && r.memory+r.reserved()+o.Tokens > engineMemory {
			w.WriteHeader(http.StatusConflict)
			return
		}
		r.tickets[o.ID] = &ticket{o.Tokens, time.Now().Add(time.Duration(o.HoldMS) * time.Millisecond)}
	case "release":
		delete(r.tickets, o.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]any{"free_capacity": engineMemory - r.memory - r.reserved()})
}

func (r *runner) request(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := q.Header.Get("X-Expected-Runner"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	poison := q.URL.Path == poisonPath
	if poison {
		r.stage.crashes.mu.Lock()
		r.stage.crashes.arrivals = append(r.stage.crashes.arrivals, time.Now())
		r.stage.crashes.mu.Unlock()
	}
	prompt, output := tokens(q.Header.Get("X-Token-Usage"))
	if !r.begin(prompt + output) {
		r.record.add("%s rejects %s, full", r.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end(prompt + output)
	if r.engine {
		helpers := 0
		if h := q.Header.Get("X-Helper-Nodes"); h != "" {
			helpers = strings.Count(h, ",") + 1
		}
		if !sleep(q, time.Duration(float64(prompt)/readPerMilli/float64(1+helpers)*float64(time.Millisecond))) {
			return
		}
	}
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], time.Now())
	r.mu.Unlock()
	r.record.add("%s runs %s, X-Tenant %q, X-Deadline-Ms %s", r.id, id, q.Header.Get("X-Tenant"), q.Header.Get("X-Deadline-Ms"))
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%d", r.id, signatures.Add(1)))
	if !r.engine {
		if sleep(q, r.work) {
			_, _ = fmt.Fprintf(w, "answer to %s", id)
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= max(1, output/eventTokens); i++ {
		if i > last+1 && !sleep(q, eventInterval) && !r.listener.isDark() {
			r.record.add("%s: the channel of %s was closed after %d events", r.id, id, i-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
		if poison {
			r.stage.crash(r)
		}
		if r.listener.isDark() {
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	r.record.add("%s has done %s", r.id, id)
}

func (r *runner) begin(memory int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.slots || r.engine && r.memory+r.reserved()+memory > engineMemory {
		return false
	}
	r.active++
	r.memory += memory
	return true
}

func (r *runner) end(memory int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	r.memory -= memory
}

// ran returns when a request began to run here.
func (r *runner) ran(id string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time{}, r.runs[id]...)
}

// sleep returns false if the channel of the request was closed meanwhile.
func sleep(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func tokens(header string) (prompt, output int) {
	p, o, _ := strings.Cut(header, ",")
	prompt, _ = strconv.Atoi(p)
	output, _ = strconv.Atoi(o)
	return prompt, output
}

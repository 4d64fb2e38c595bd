package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runner stands in for one runner of the platform.
type runner struct {
	run                        *run
	id, service, zone, address string
	slots                      int
	// coldMS is cold_remaining_ms, born the start in Unix milliseconds.
	coldMS, born int64
	// answer runs a request that was admitted.
	answer func(x *runner, w http.ResponseWriter, q *http.Request, body []byte)
	// gone is closed when the runner exits.
	gone   chan struct{}
	server *http.Server
}

// startRunner starts a runner and registers it.
func (r *run) startRunner(id, service, zone string, slots int, answer func(*runner, http.ResponseWriter, *http.Request, []byte)) *runner {
	x := &runner{born: time.Now().UnixMilli(), run: r, id: id, service: service, zone: zone, slots: slots, answer: answer, gone: make(chan struct{})}
	x.server = &http.Server{Handler: x}
	x.address = serve(x.server)
	if r.traffic {
		x.coldMS = int64(1000 * coldStart)
	}
	x.register("ready")
	return x
}

// register writes the entry of the runner.
func (x *runner) register(state string) {
	x.run.store.put("servers", x.id, map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": x.slots, "state": state,
		"cold_remaining_ms": x.coldMS, "sequence": 1, "born": x.born,
	})
}

// exit ends the runner, with the requests that it runs.
func (x *runner) exit() {
	close(x.gone)
	_ = x.server.Close()
}

// ServeHTTP answers reports, orders and requests.
func (x *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/api/report":
		writeJSON(w, map[string]any{
			"stage": "prefill_decode", "models": []any{}, "busy": false, "sequence": 1, "queued_requests": 0, "active_requests": 0,
			"kv_used_tokens": 0, "kv_total_tokens": 450_000, "cache_handles": 0, "pace": 1,
		})
		return
	case "/api/order":
		writeJSON(w, map[string]any{"free_capacity": 450_000})
		return
	}
	if to := q.Header.Get("X-Expected-Runner"); to != "" && to != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	if !quiet {
		x.run.note("%s: request %s arrives, Last-Event-Id %q, X-Deadline-Ms %s, helpers %q", x.id, id, q.Header.Get("Last-Event-Id"), q.Header.Get("X-Deadline-Ms"), q.Header.Get("X-Helper-Nodes"))
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Signature", "r."+id)
	x.answer(x, w, q, body)
}

// Figures of an engine of the site.
const (
	readPerMilli  = 256.0
	pairsPerMilli = 0.0917
	eventTokens   = 46
	eventTime     = 45 * time.Millisecond
)

// readTime is how long an engine reads a prompt, by the formula of PROTOCOL.md.
func readTime(tokens float64) time.Duration {
	ms := tokens/readPerMilli + pairsPerMilli*tokens*tokens/2/1e6
	return time.Duration(math.Round(ms)) * time.Millisecond
}

// stream returns an engine's answer of a number of events. preemptAt, unless zero, is the event after which the request is
// preempted by the first run: it is read again before the next event, by this engine alone.
func stream(events, preemptAt int) func(*runner, http.ResponseWriter, *http.Request, []byte) {
	return func(x *runner, w http.ResponseWriter, q *http.Request, _ []byte) {
		id := q.Header.Get("X-Attempt-Id")
		prompt, _, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
		tokens, _ := strconv.ParseFloat(prompt, 64)
		parts := 1
		if h := q.Header.Get("X-Helper-Nodes"); h != "" {
			parts += 1 + strings.Count(h, ",")
		}
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		first := x.run.firstRun(id)
		w.Header().Set("Content-Type", "text/event-stream")
		wait := readTime(tokens) / time.Duration(parts)
		for i := last + 1; i <= events; i++ {
			select {
			case <-time.After(wait):
			case <-q.Context().Done():
				if !quiet {
					x.run.note("%s: the channel of %s is closed before event %d", x.id, id, i)
				}
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 65))
			_ = http.NewResponseController(w).Flush() // the next wait notices a closed channel
			wait = eventTime
			if first && i == preemptAt {
				wait = readTime(tokens)
				x.run.note("%s: %s is preempted after event %d and read again, which takes %v", x.id, id, i, wait)
			}
		}
		if !quiet {
			x.run.note("%s: %s ends after event %d", x.id, id, events)
		}
	}
}

// firstRun reports whether no run of the request has begun before.
func (r *run) firstRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun == nil {
		r.begun = map[string]bool{}
	}
	again := r.begun[id]
	r.begun[id] = true
	return !again
}

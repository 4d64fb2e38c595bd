package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

// maxWait limits the duration of a watch, so that an abandoned one does not stay open indefinitely.
const maxWait = 60 * clock.Second

// maxControlBytes is the maximum size of the body of a control call or a VM list.
const maxControlBytes = 1 << 20

func (p *Platform) route() {
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("GET /objects/{kind}/{name...}", p.withFaults(p.get))
	p.mux.HandleFunc("GET /objects/{kind}", p.withFaults(p.list))
	p.mux.HandleFunc("PUT /objects/{kind}/{name...}", p.withFaults(p.put))
	p.mux.HandleFunc("DELETE /objects/{kind}/{name...}", p.withFaults(p.remove))
	p.mux.HandleFunc("GET /vms", p.withFaults(p.listVMs))
	p.mux.HandleFunc("PUT /vms", p.putVMs)
	p.mux.HandleFunc("GET /calls", p.getCalls)
	p.mux.HandleFunc("GET /control", p.getControl)
	p.mux.HandleFunc("POST /control", p.postControl)
	p.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
}

// handler serves one call. It returns false to have the connection reset without a response.
type handler func(w http.ResponseWriter, r *http.Request) bool

// withFaults wraps a handler so that calls are subject to the outage and the delay set by Control.
func (p *Platform) withFaults(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.awaitOutageEnd(r) || !p.delay(r) || !p.awaitOutageEnd(r) || !h(w, r) {
			resetConnection(w)
		}
	}
}

// awaitOutageEnd returns true if there is no outage. During a Hang outage it blocks until the outage
// changes. It returns false during a Refuse outage and when the client disconnects.
func (p *Platform) awaitOutageEnd(r *http.Request) bool {
	for {
		p.mu.Lock()
		outage, changed := p.control.Outage, p.changed
		p.mu.Unlock()
		switch outage {
		case Up:
			return true
		case Refuse:
			return false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *Platform) delay(r *http.Request) bool {
	p.mu.Lock()
	slow := p.control.Slow
	p.mu.Unlock()
	return sleep(r, slow)
}

// resetConnection closes the connection with a TCP reset, so that the client sees a connection error.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// admit counts a call and reports whether it is within its rate limit. If it isn't, admit responds
// with 429 and returns false.
func (p *Platform) admit(w http.ResponseWriter, b *tokenBucket, count *int, kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	p.calls.Kinds[kind]++
	if b.take(p.clock.Now()) {
		return true
	}
	p.calls.Refused++
	w.Header().Set("Retry-After", "1")
	http.Error(w, "too many calls", http.StatusTooManyRequests)
	return false
}

func keyFromPath(r *http.Request) key { return key{r.PathValue("kind"), r.PathValue("name")} }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Has("after") {
		return p.watch(w, r)
	}
	k := keyFromPath(r)
	if !p.admit(w, &p.reads, &p.calls.Reads, k.kind) {
		return true
	}
	p.mu.Lock()
	s := p.table.read(k, p.stale())
	p.mu.Unlock()
	writeState(w, s)
	return true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) bool {
	kind := r.PathValue("kind")
	if !p.admit(w, &p.reads, &p.calls.Reads, kind) {
		return true
	}
	p.mu.Lock()
	items := p.table.list(kind, r.URL.Query().Get("prefix"), p.stale())
	p.mu.Unlock()
	writeJSON(w, items)
	return true
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) bool {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(p.settings.Limit)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		http.Error(w, "value is over the limit", http.StatusRequestEntityTooLarge)
		return true
	case err != nil:
		return false
	}
	return p.write(w, r, value, false)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) bool {
	return p.write(w, r, nil, true)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) bool {
	k := keyFromPath(r)
	c, err := parseCondition(r.Header)
	if err != nil || k.name == "" {
		http.Error(w, "malformed name or condition", http.StatusBadRequest)
		return true
	}
	if !p.admit(w, &p.writes, &p.calls.Writes, k.kind) {
		return true
	}
	p.mu.Lock()
	s, ok := p.table.write(k, value, deleted, c)
	loseResponse := ok && p.control.Lose > 0
	if loseResponse {
		p.control.Lose--
	}
	p.wakeWaiters()
	p.mu.Unlock()
	if loseResponse {
		return false
	}
	if s.version > 0 {
		w.Header().Set("ETag", s.version.etag())
	}
	if !ok {
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return true
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}

// etag returns the version as an entity tag, a number in quotes.
func (v Version) etag() string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseCondition(h http.Header) (condition, error) {
	if h.Get("If-None-Match") == "*" {
		return condition{set: true, absent: true}, nil
	}
	match := h.Get("If-Match")
	if match == "" {
		return condition{}, nil
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	return condition{set: true, match: Version(v)}, err
}

func writeState(w http.ResponseWriter, s state) {
	if s.version > 0 {
		w.Header().Set("ETag", s.version.etag())
	}
	if s.deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(s.value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.At = p.clock.Now()
	writeJSON(w, p.calls)
}

func (p *Platform) getControl(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.control)
}

func (p *Platform) postControl(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.control
	c.Stale = 0
	if err := settings.Parse(text, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.Outage != Up && c.Outage != Refuse && c.Outage != Hang {
		http.Error(w, `outage is "", "refuse" or "hang"`, http.StatusBadRequest)
		return
	}
	if c.Stale > 0 {
		p.staleUntil = p.clock.Now() + c.Stale
	}
	p.control = c
	p.wakeWaiters()
	writeJSON(w, c)
}

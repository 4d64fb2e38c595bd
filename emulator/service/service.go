// Package service stands in for a plain service beside the model engines, such
// as the alert desk or the licence records. It keeps a ledger of every call it
// executed, so that a test can see what ran and how often.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/emulator/ledger"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

// Settings of the stand-in.
type Settings struct {
	// Name is the upstream's.
	Name string `json:"name"`
	// Delay is how long a call takes, in milliseconds.
	Delay clock.Milli `json:"delay"`
	// Body is the largest body in bytes.
	Body int64 `json:"body"`
	// Ledger is a file that gets every call as a line of JSON, so that the record survives a kill; empty for none.
	Ledger string `json:"ledger"`
}

// Defaults are fit for a loopback deployment.
func Defaults() Settings { return Settings{Name: "service", Delay: 2, Body: 8 << 20} }

// Control is what a test tells the service to do wrong. A field that is absent
// from a request keeps its value.
type Control struct {
	// Delay is added to every call, in milliseconds.
	Delay clock.Milli `json:"delay"`
	// Fail is the status that every call gets after it ran; zero for success.
	Fail int `json:"fail"`
	// Die lets the next N calls run and closes their connections without an answer.
	Die int `json:"die"`
	// Silent lets every call run and keeps its connection open without an answer.
	Silent bool `json:"silent"`
	// Refuse answers 503 before a call runs.
	Refuse bool `json:"refuse"`
}

// Call is one executed call in the ledger.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Hash is xxhash64 of the body in hexadecimal.
	Hash  string `json:"hash"`
	Bytes int    `json:"bytes"`
	// Key, Request and Grant are the headers Idempotency-Key, X-Request-Id and X-Grant.
	Key     string      `json:"key"`
	Request string      `json:"request"`
	Grant   string      `json:"grant"`
	Started clock.Milli `json:"started"`
	// Finished is zero until the call ended.
	Finished clock.Milli `json:"finished"`
	// Outcome is "running", "done", "failed", "died", "silent" or "canceled" (its caller left).
	Outcome string `json:"outcome"`
}

// Response is the body of every success; a caller can check it against what it sent.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Hash    string `json:"hash"`
	Request string `json:"request"`
}

// Service is the stand-in. It is an http.Handler.
type Service struct {
	settings Settings
	clock    *clock.Clock
	mux      *http.ServeMux
	journal  *ledger.Journal

	mu      sync.Mutex
	control Control
	calls   []*Call
}

// New opens the ledger and returns a service.
func New(s Settings, c *clock.Clock) (*Service, error) {
	j, err := ledger.Open(s.Ledger)
	if err != nil {
		return nil, err
	}
	v := &Service{settings: s, clock: c, journal: j}
	v.mux = http.NewServeMux()
	v.mux.HandleFunc("GET /ledger", v.getLedger)
	v.mux.HandleFunc("POST /control", v.postControl)
	v.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	v.mux.HandleFunc("/", v.call)
	return v, nil
}

// Close closes the ledger's file.
func (v *Service) Close() error { return v.journal.Close() }

// ServeHTTP implements http.Handler.
func (v *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Hash is the hash of a body as the ledger and answers show it.
func Hash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (v *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, v.settings.Body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, control, ok := v.begin(r, body)
	if !ok {
		http.Error(w, "refused before it ran", http.StatusServiceUnavailable)
		return
	}
	if !pause(r, v.settings.Delay+control.Delay) {
		v.end(c, "canceled")
		return
	}
	switch {
	case control.Silent:
		v.end(c, "silent")
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case control.Die > 0:
		v.end(c, "died")
		panic(http.ErrAbortHandler)
	case control.Fail != 0:
		v.end(c, "failed")
		http.Error(w, "the service failed", control.Fail)
	default:
		v.end(c, "done")
		v.answer(w, c)
	}
}

// begin records the call, unless calls are refused.
func (v *Service) begin(r *http.Request, body []byte) (*Call, Control, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	control := v.control
	if control.Refuse {
		return nil, control, false
	}
	if control.Die > 0 {
		v.control.Die--
	}
	c := &Call{
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Hash:    Hash(body),
		Bytes:   len(body),
		Key:     r.Header.Get("Idempotency-Key"),
		Request: r.Header.Get("X-Request-Id"),
		Grant:   r.Header.Get("X-Grant"),
		Started: v.clock.Now(),
		Outcome: "running",
	}
	v.calls = append(v.calls, c)
	v.journal.Write(c)
	return c, control, true
}

func (v *Service) end(c *Call, outcome string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.Finished = v.clock.Now()
	c.Outcome = outcome
	v.journal.Write(c)
}

func (v *Service) answer(w http.ResponseWriter, c *Call) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		Service: v.settings.Name,
		Method:  c.Method,
		Path:    c.Path,
		Hash:    c.Hash,
		Request: c.Request,
	})
}

func (v *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	calls := make([]Call, 0, len(v.calls))
	for _, c := range v.calls {
		calls = append(calls, *c)
	}
	v.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Ledger{Calls: calls})
}

// Ledger is the answer to GET /ledger.
type Ledger struct {
	Calls []Call `json:"calls"`
}

func (v *Service) postControl(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, v.settings.Body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.control
	if err := settings.Parse(text, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.control = c
	_ = json.NewEncoder(w).Encode(c)
}

func pause(r *http.Request, span clock.Milli) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Package service emulates a plain service, an upstream that serves no model, such as the alert desk or
// the licence records of the example deployments. It records every executed call in a ledger, with
// which tests check which calls ran and how often.
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

// Settings are the settings of an emulated service.
type Settings struct {
	// Name is the name of the upstream.
	Name string `json:"name"`
	// Delay is the duration of a call, in milliseconds.
	Delay clock.Milli `json:"delay"`
	// Body is the maximum size of a request body in bytes.
	Body int64 `json:"body"`
	// Ledger is the path of a file to which the start and the end of every call are appended as
	// lines of JSON, so that the record survives if the process is killed. Empty for no file.
	Ledger string `json:"ledger"`
}

// Defaults returns settings for a deployment on the loopback interface.
func Defaults() Settings { return Settings{Name: "service", Delay: 2, Body: 8 << 20} }

// Control sets the failures that the service emulates. A field that is absent from a control call
// keeps its value.
type Control struct {
	// Delay is added to every call, in milliseconds.
	Delay clock.Milli `json:"delay"`
	// Fail is the HTTP status of the response to every call after it ran; zero for success.
	Fail int `json:"fail"`
	// Die is the number of following calls that run and whose connections are then closed
	// without a response.
	Die int `json:"die"`
	// Silent lets every call run and then leaves its connection open without a response.
	Silent bool `json:"silent"`
	// Refuse responds to every call with status 503 and does not run it.
	Refuse bool `json:"refuse"`
}

// Call is the record of one executed call in the ledger.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Hash is xxhash64 of the body in hexadecimal.
	Hash  string `json:"hash"`
	Bytes int    `json:"bytes"`
	// Key, Request and Grant are the values of the headers Idempotency-Key, X-Request-Id and
	// X-Grant.
	Key     string `json:"key"`
	Request string `json:"request"`
	Grant   string `json:"grant"`
	// Started and Finished are times on the emulator's clock. Finished is zero while the call
	// runs.
	Started  clock.Milli `json:"started"`
	Finished clock.Milli `json:"finished"`
	// Outcome is "running", "done", "failed" (after Control.Fail), "died" (after Control.Die),
	// "silent" (after Control.Silent) or "canceled" (the client disconnected).
	Outcome string `json:"outcome"`
}

// Response is the body of every successful response. It describes the received call, so that the client
// can check that the response belongs to its request.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Hash    string `json:"hash"`
	Request string `json:"request"`
}

// Service is an emulated service. It is an http.Handler.
type Service struct {
	settings Settings
	clock    *clock.Clock
	mux      *http.ServeMux
	journal  *ledger.Journal

	mu      sync.Mutex
	control Control
	calls   []*Call
}

// New opens the ledger file and returns a service.
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

// Close closes the ledger file.
func (v *Service) Close() error { return v.journal.Close() }

// ServeHTTP implements http.Handler.
func (v *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Hash returns the xxhash64 of a body in hexadecimal, as in Call.Hash and Response.Hash.
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
	if !sleep(r, v.settings.Delay+control.Delay) {
		v.finish(c, "canceled")
		return
	}
	switch {
	case control.Silent:
		v.finish(c, "silent")
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case control.Die > 0:
		v.finish(c, "died")
		panic(http.ErrAbortHandler)
	case control.Fail != 0:
		v.finish(c, "failed")
		http.Error(w, "the service failed", control.Fail)
	default:
		v.finish(c, "done")
		v.writeResponse(w, c)
	}
}

// begin records the start of a call and returns it with the control settings that apply to it. It
// returns false and records nothing if calls are refused.
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

func (v *Service) finish(c *Call, outcome string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.Finished = v.clock.Now()
	c.Outcome = outcome
	v.journal.Write(c)
}

func (v *Service) writeResponse(w http.ResponseWriter, c *Call) {
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

// Ledger is the body of the response to GET /ledger.
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

func sleep(r *http.Request, duration clock.Milli) bool {
	t := time.NewTimer(duration.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

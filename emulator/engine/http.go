package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/emulator/completion"
	"snipeshift.example/emulator/kv"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

func (e *Engine) registerRoutes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.unlessMuted(e.postChat))
	e.mux.HandleFunc("POST /v1/completions", e.unlessMuted(e.postCompletion))
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.unlessMuted(e.getStream))
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.unlessMuted(e.deleteRequest))
	e.mux.HandleFunc("POST /v1/kv", e.unlessMuted(e.postMemory))
	e.mux.HandleFunc("POST /v1/kv/{request}/export", e.unlessMuted(e.postExport))
	e.mux.HandleFunc("POST /v1/kv/import", e.unlessMuted(e.postImport))
	e.mux.HandleFunc("DELETE /v1/kv/{handle}", e.unlessMuted(e.deleteExport))
	e.mux.HandleFunc("GET /load", e.unlessMuted(e.getLoad))
	e.mux.HandleFunc("GET /events", e.unlessMuted(e.getEvents))
	e.mux.HandleFunc("POST /orders", e.unlessMuted(e.postOrder))
	e.mux.HandleFunc("GET /health", e.unlessMuted(func(http.ResponseWriter, *http.Request) {}))
	e.mux.HandleFunc("GET /ledger", e.getLedger)
	e.mux.HandleFunc("GET /control", e.getControl)
	e.mux.HandleFunc("POST /control", e.postControl)
}

// unlessMuted delays the handling of calls while the engine is mute. Calls whose client disconnects
// meanwhile are dropped.
func (e *Engine) unlessMuted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			e.mu.Lock()
			mute, changed := e.control.Mute, e.controlChanged
			e.mu.Unlock()
			if !mute {
				h(w, r)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	}
}

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	e.generate(w, r, true, (*completion.Request).ChatPrompt)
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	e.generate(w, r, false, (*completion.Request).CompletionPrompt)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool, promptOf func(*completion.Request) (string, error)) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var body completion.Request
	if err := json.Unmarshal(raw, &body); err != nil || !utf8.Valid(raw) {
		writeError(w, http.StatusBadRequest, "malformed body")
		return
	}
	prompt, err := promptOf(&body)
	if err != nil || prompt == "" || !body.Stream {
		writeError(w, http.StatusBadRequest, "a prompt and stream:true are needed")
		return
	}
	q, status, err := e.newRequest(r, &body, prompt)
	if err != nil {
		writeError(w, status, err.Error())
		return
	}
	q.Chat = chat
	if status, err := e.enqueue(q); err != nil {
		writeError(w, status, err.Error())
		return
	}
	if e.dropsAnswer() {
		e.detach(q, false)
		panic(http.ErrAbortHandler)
	}
	e.serveStream(w, r, q, 0)
}

// dropsAnswer reports whether the answer to this request must be dropped, and counts it against
// Control.DropAnswers.
func (e *Engine) dropsAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.DropAnswers == 0 {
		return false
	}
	e.control.DropAnswers--
	return true
}

// newRequest returns the request from its headers, body and prompt, with the memory that it needs. On
// an error it also returns the status of the response.
func (e *Engine) newRequest(r *http.Request, body *completion.Request, prompt string) (*batch.Request, int, error) {
	h := r.Header
	id := h.Get("X-Request-Id")
	priority, errPriority := parseNumber(h.Get("X-Priority"))
	reserve, errReserve := parseNumber(h.Get("X-Reserve"))
	if id == "" || errPriority != nil || errReserve != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("X-Request-Id is missing, or X-Priority or X-Reserve is no number")
	}
	limit := body.Limit(e.settings.DefaultOutput)
	tokens := decide.Tokens(expect.Tokens(prompt))
	need := tokens + decide.Tokens(limit)
	if group := h.Get("X-Group"); group != "" {
		members := decide.Tokens(strings.Count(group, ",") + 1)
		need = (need + members - 1) / members
	}
	need = max(need, decide.Tokens(reserve))
	if need > e.settings.Memory {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("%d tokens are more than the memory of %d", need, e.settings.Memory)
	}
	seed := expect.SeedOf(prompt)
	return &batch.Request{
		Entry: &batch.Entry{
			ID:       decide.RequestID(id),
			Key:      h.Get("Idempotency-Key"),
			Grant:    h.Get("X-Grant"),
			Group:    h.Get("X-Group"),
			Priority: priority,
			Arrived:  e.clock.Now(),
			Hash:     strconv.FormatUint(uint64(seed), 16),
			Text:     strings.ToValidUTF8(prompt[:min(len(prompt), maxLedgerText)], ""),
			Prompt:   tokens,
			Reserved: need,
		},
		Model:   body.Model,
		Prompt:  prompt,
		Seed:    seed,
		Levels:  kv.LevelsOf(prompt),
		Limit:   limit,
		Readers: 1, // the stream of this call, until detach
	}, 0, nil
}

// maxLedgerText is the number of bytes of a prompt that the ledger shows.
const maxLedgerText = 80

// enqueue adds a request to the batch's queue. If the engine refuses the request, it returns an error
// and the status of the response.
func (e *Engine) enqueue(q *batch.Request) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping || e.control.Refuse {
		return http.StatusServiceUnavailable, fmt.Errorf("no new work is taken")
	}
	if e.model != "" && q.Model != e.model {
		return http.StatusNotFound, fmt.Errorf("no such model %q", q.Model)
	}
	if old := e.batch.Find(q.ID()); old != nil && !old.Ended {
		return http.StatusConflict, fmt.Errorf("request %q is running", q.ID())
	}
	e.openStreams++
	e.entries = append(e.entries, q.Entry)
	e.batch.Add(q)
	e.wake()
	return 0, nil
}

// parseNumber parses a non-negative number. An empty string counts as zero.
func parseNumber(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

// errorBody is an error response in the API's format.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	var p errorBody
	p.Error.Message = message
	p.Error.Type = http.StatusText(status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON parses the body and rejects unknown fields. If it returns false, it has responded with
// status 400.
func (e *Engine) readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBody))
	if err == nil {
		err = settings.Parse(raw, into)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

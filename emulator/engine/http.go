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

func (e *Engine) route() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.hear(e.postChat))
	e.mux.HandleFunc("POST /v1/completions", e.hear(e.postCompletion))
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.hear(e.getStream))
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.hear(e.deleteRequest))
	e.mux.HandleFunc("POST /v1/kv", e.hear(e.postMemory))
	e.mux.HandleFunc("POST /v1/kv/{request}/export", e.hear(e.postExport))
	e.mux.HandleFunc("POST /v1/kv/import", e.hear(e.postImport))
	e.mux.HandleFunc("DELETE /v1/kv/{handle}", e.hear(e.deleteExport))
	e.mux.HandleFunc("GET /load", e.hear(e.getLoad))
	e.mux.HandleFunc("GET /events", e.hear(e.getEvents))
	e.mux.HandleFunc("POST /orders", e.hear(e.postOrder))
	e.mux.HandleFunc("GET /health", e.hear(func(http.ResponseWriter, *http.Request) {}))
	e.mux.HandleFunc("GET /ledger", e.getLedger)
	e.mux.HandleFunc("GET /control", e.getControl)
	e.mux.HandleFunc("POST /control", e.postControl)
}

// hear leaves calls unanswered while the engine is mute.
func (e *Engine) hear(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			e.mu.Lock()
			mute, commanded := e.control.Mute, e.commanded
			e.mu.Unlock()
			if !mute {
				h(w, r)
				return
			}
			select {
			case <-commanded:
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
		refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var b completion.Request
	if err := json.Unmarshal(raw, &b); err != nil || !utf8.Valid(raw) {
		refuse(w, http.StatusBadRequest, "malformed body")
		return
	}
	prompt, err := promptOf(&b)
	if err != nil || prompt == "" || !b.Stream {
		refuse(w, http.StatusBadRequest, "a prompt and stream:true are needed")
		return
	}
	q, status, err := e.requestOf(r, &b, prompt)
	if err != nil {
		refuse(w, status, err.Error())
		return
	}
	q.Chat = chat
	if status, err := e.take(q); err != nil {
		refuse(w, status, err.Error())
		return
	}
	if e.dies() {
		e.leave(q, false)
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, q, 0)
}

// dies tells whether the next answer is to be lost whole.
func (e *Engine) dies() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.DropAnswers == 0 {
		return false
	}
	e.control.DropAnswers--
	return true
}

// requestOf reads the headers and works out what memory the request needs.
func (e *Engine) requestOf(r *http.Request, b *completion.Request, prompt string) (*batch.Request, int, error) {
	h := r.Header
	id := h.Get("X-Request-Id")
	priority, err1 := number(h.Get("X-Priority"))
	reserve, err2 := number(h.Get("X-Reserve"))
	if id == "" || err1 != nil || err2 != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("X-Request-Id is missing, or X-Priority or X-Reserve is no number")
	}
	limit := b.Limit(e.settings.DefaultOutput)
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
			Text:     strings.ToValidUTF8(prompt[:min(len(prompt), textLimit)], ""),
			Prompt:   tokens,
			Reserved: need,
		},
		Model:   b.Model,
		Prompt:  prompt,
		Seed:    seed,
		Levels:  kv.LevelsOf(prompt),
		Limit:   limit,
		Readers: 1, // the caller's own stream, counted out by leave
	}, 0, nil
}

// textLimit is how much of a prompt the ledger shows, in bytes.
const textLimit = 80

// take queues a request unless the engine does not want it.
func (e *Engine) take(q *batch.Request) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.control.Refuse {
		return http.StatusServiceUnavailable, fmt.Errorf("no new work is taken")
	}
	if e.model != "" && q.Model != e.model {
		return http.StatusNotFound, fmt.Errorf("no such model %q", q.Model)
	}
	if old := e.batch.Find(q.ID()); old != nil && !old.Ended {
		return http.StatusConflict, fmt.Errorf("request %q is running", q.ID())
	}
	e.streams++
	e.history = append(e.history, q.Entry)
	e.batch.Add(q)
	e.kick()
	return 0, nil
}

func number(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

// problem is an error in the API's shape.
type problem struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func refuse(w http.ResponseWriter, status int, message string) {
	var p problem
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

// readJSON reads a small body strictly, or answers 400.
func (e *Engine) readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBody))
	if err == nil {
		err = settings.Parse(raw, into)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

package engine

import (
	"net/http"
	"strconv"

	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// deleteRequest cancels a request and frees its memory. The call is idempotent until the engine has
// removed the request from its records.
func (e *Engine) deleteRequest(w http.ResponseWriter, r *http.Request) {
	id := decide.RequestID(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.DropDeletes > 0 {
		e.control.DropDeletes--
		panic(http.ErrAbortHandler)
	}
	if !e.batch.Cancel(id, e.clock.Now()) {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	e.wake()
	w.WriteHeader(http.StatusNoContent)
}

// memoryRequest is a request for memory without a generation, for a member of a group.
type memoryRequest struct {
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

func (e *Engine) postMemory(w http.ResponseWriter, r *http.Request) {
	var m memoryRequest
	if !e.readJSON(w, r, &m) {
		return
	}
	if m.Request == "" || m.Tokens < 0 {
		writeError(w, http.StatusBadRequest, "request and tokens are needed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping || e.control.Refuse {
		writeError(w, http.StatusServiceUnavailable, "no new work is taken")
		return
	}
	if !e.memory.Reserve(m.Request, m.Tokens) {
		writeError(w, http.StatusInsufficientStorage, "not enough memory")
		return
	}
	w.WriteHeader(http.StatusCreated)
}

// transfer identifies an export and the request that it belongs to.
type transfer struct {
	Handle  kv.Handle        `json:"handle"`
	Request decide.RequestID `json:"request"`
}

// postExport copies the KV cache of a request that has memory on this engine.
func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	id := decide.RequestID(r.PathValue("request"))
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.memory.Reserved(id)
	if !ok {
		writeError(w, http.StatusNotFound, "the request holds no memory here")
		return
	}
	if q := e.batch.Find(id); q != nil {
		n = q.Size()
	}
	e.exportCount++
	h := kv.NewHandle(e.settings.Name, e.exportCount, n)
	if !e.memory.Export(h, id, n) {
		writeError(w, http.StatusInsufficientStorage, "not enough memory")
		return
	}
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, transfer{h, id})
}

// postImport imports an export of any engine. Its tokens then count as cached for the request.
func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	var t transfer
	if !e.readJSON(w, r, &t) {
		return
	}
	n, err := t.Handle.Tokens()
	if err != nil || t.Request == "" {
		writeError(w, http.StatusBadRequest, "malformed handle or no request")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.memory.Reserve(t.Request, n) {
		writeError(w, http.StatusInsufficientStorage, "not enough memory")
		return
	}
	e.batch.Import(t.Request, n)
	w.WriteHeader(http.StatusCreated)
}

func (e *Engine) deleteExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.DropDeletes > 0 {
		e.control.DropDeletes--
		panic(http.ErrAbortHandler)
	}
	if !e.memory.DeleteExport(kv.Handle(r.PathValue("handle"))) {
		writeError(w, http.StatusNotFound, "no such export")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order is an order that the engine received, as recorded in the ledger.
type Order struct {
	Fence uint64 `json:"fence"`
	// Order is "role", "model", "adapter" or "version".
	Order string      `json:"order"`
	Value string      `json:"value"`
	At    clock.Milli `json:"at"`
	// Refused is set if the fencing number was old and the engine checks fencing numbers.
	Refused bool `json:"refused"`
	// Stale is set if the fencing number was below that of an earlier order, whether or not the engine
	// checks fencing numbers.
	Stale bool `json:"old"`
}

// orderRequest is the body of POST /orders.
type orderRequest struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Value string `json:"value"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var m orderRequest
	if !e.readJSON(w, r, &m) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := Order{Fence: m.Fence, Order: m.Order, Value: m.Value, At: e.clock.Now(), Stale: m.Fence < e.highestFence}
	o.Refused = o.Stale && e.settings.CheckFence
	if !o.Refused && !e.applyOrder(m) {
		writeError(w, http.StatusBadRequest, "order is role, model, adapter or version")
		return
	}
	e.highestFence = max(e.highestFence, m.Fence)
	e.orders = append(e.orders, o)
	e.journal.Write(o)
	if o.Refused {
		writeError(w, http.StatusConflict, "fencing number is old")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) applyOrder(m orderRequest) bool {
	switch m.Order {
	case "role":
		e.role = m.Value
	case "model":
		e.model = m.Value
	case "adapter", "version":
	default:
		return false
	}
	return true
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.visibleReport()
	e.mu.Unlock()
	writeJSON(w, r)
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed after")
		return
	}
	e.mu.Lock()
	events := e.eventsAfter(after)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) getLedger(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.ledger()
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) getControl(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.control)
}

func (e *Engine) postControl(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.control
	e.mu.Unlock()
	if !e.readJSON(w, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.control = c
	close(e.controlChanged)
	e.controlChanged = make(chan struct{})
	writeJSON(w, c)
}

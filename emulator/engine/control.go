package engine

import (
	"net/http"
	"strconv"

	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// deleteRequest cancels a request and frees what it holds. A repeat is fine
// while the engine remembers the request.
func (e *Engine) deleteRequest(w http.ResponseWriter, r *http.Request) {
	id := decide.RequestID(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.DropDeletes > 0 {
		e.control.DropDeletes--
		panic(http.ErrAbortHandler)
	}
	if !e.batch.Cancel(id, e.clock.Now()) {
		refuse(w, http.StatusNotFound, "no such request")
		return
	}
	e.kick()
	w.WriteHeader(http.StatusNoContent)
}

// reservation asks for memory without a generation.
type reservation struct {
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

func (e *Engine) postMemory(w http.ResponseWriter, r *http.Request) {
	var m reservation
	if !e.readJSON(w, r, &m) {
		return
	}
	if m.Request == "" || m.Tokens < 0 {
		refuse(w, http.StatusBadRequest, "request and tokens are needed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.control.Refuse {
		refuse(w, http.StatusServiceUnavailable, "no new work is taken")
		return
	}
	if !e.memory.Reserve(m.Request, m.Tokens) {
		refuse(w, http.StatusInsufficientStorage, "not enough memory")
		return
	}
	w.WriteHeader(http.StatusCreated)
}

// transfer names an export.
type transfer struct {
	Handle  kv.Handle        `json:"handle"`
	Request decide.RequestID `json:"request"`
}

// postExport copies the KV cache of a request that holds memory here.
func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	id := decide.RequestID(r.PathValue("request"))
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.memory.Reserved(id)
	if !ok {
		refuse(w, http.StatusNotFound, "the request holds no memory here")
		return
	}
	if q := e.batch.Find(id); q != nil {
		n = q.Size()
	}
	e.handles++
	h := kv.NewHandle(e.settings.Name, e.handles, n)
	if !e.memory.Export(h, id, n) {
		refuse(w, http.StatusInsufficientStorage, "not enough memory")
		return
	}
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, transfer{h, id})
}

// postImport takes an export of any engine in; its tokens then count as cached for the request.
func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	var t transfer
	if !e.readJSON(w, r, &t) {
		return
	}
	n, err := t.Handle.Tokens()
	if err != nil || t.Request == "" {
		refuse(w, http.StatusBadRequest, "malformed handle or no request")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.memory.Reserve(t.Request, n) {
		refuse(w, http.StatusInsufficientStorage, "not enough memory")
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
		refuse(w, http.StatusNotFound, "no such export")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order is an order that reached the engine, with what became of it.
type Order struct {
	Fence uint64 `json:"fence"`
	// Order is "role", "model", "adapter" or "version".
	Order string      `json:"order"`
	Value string      `json:"value"`
	At    clock.Milli `json:"at"`
	// Refused is set where the fencing number was old and the engine checks it.
	Refused bool `json:"refused"`
	// Stale is set where the number was below an earlier one, checked or not.
	Stale bool `json:"old"`
}

// order is what a caller sends.
type order struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Value string `json:"value"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var m order
	if !e.readJSON(w, r, &m) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := Order{Fence: m.Fence, Order: m.Order, Value: m.Value, At: e.clock.Now(), Stale: m.Fence < e.fence}
	o.Refused = o.Stale && e.settings.CheckFence
	if !o.Refused && !e.obey(m) {
		refuse(w, http.StatusBadRequest, "order is role, model, adapter or version")
		return
	}
	e.fence = max(e.fence, m.Fence)
	e.orders = append(e.orders, o)
	e.journal.Write(o)
	if o.Refused {
		refuse(w, http.StatusConflict, "fencing number is old")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) obey(m order) bool {
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
	r := e.visible()
	e.mu.Unlock()
	writeJSON(w, r)
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed after")
		return
	}
	e.mu.Lock()
	seen := e.after(seq)
	e.mu.Unlock()
	writeJSON(w, seen)
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
	close(e.commanded)
	e.commanded = make(chan struct{})
	writeJSON(w, c)
}

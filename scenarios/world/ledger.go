package world

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Execution is one request that an emulated engine or service received.
type Execution struct {
	Upstream string
	// Request is the request id, Key the idempotency key.
	Request string
	Key     string
	// Text is the start of the prompt, or the path of a request to a plain service.
	Text string
	// Arrived, Started and Finished are Unix times; Started is zero if the request never ran.
	Arrived, Started, Finished clock.Milli
	Prompt, Cached, Output     decide.Tokens
	// Reserved is the reserved KV memory: the prompt and the limit of output tokens.
	Reserved decide.Tokens
	// Outcome is "done" for a request that ran to its end.
	Outcome string
	// Service is set for a request to a plain service.
	Service bool
}

// Ran reports whether the upstream began to run the request.
func (x *Execution) Ran() bool { return x.Started > 0 }

// Order is one order that reached an engine: a change of its role, model, adapter or version.
type Order struct {
	Upstream string
	// Fence is the fencing number of the order.
	Fence uint64 `json:"fence"`
	// Order is what to change, Value the new value.
	Order string `json:"order"`
	Value string `json:"value"`
	// Old is set if an earlier order had a higher fencing number. Refused is set if the engine
	// rejected the order for that reason.
	Refused bool `json:"refused"`
	Old     bool `json:"old"`
}

// ledgerLine is the union of all kinds of lines in a ledger file: a request to an engine, a request to a
// plain service (with Method) and an order (with Order).
type ledgerLine struct {
	ID       string        `json:"id"`
	Key      string        `json:"key"`
	Arrived  clock.Milli   `json:"arrived"`
	Started  clock.Milli   `json:"started"`
	Finished clock.Milli   `json:"finished"`
	Text     string        `json:"text"`
	Prompt   decide.Tokens `json:"prompt"`
	Cached   decide.Tokens `json:"cached"`
	Output   decide.Tokens `json:"output"`
	Reserved decide.Tokens `json:"reserved"`
	Outcome  string        `json:"outcome"`
	Method   string        `json:"method"`
	Path     string        `json:"path"`
	Request  string        `json:"request"`
	Order    string        `json:"order"`
	Value    string        `json:"value"`
	Fence    uint64        `json:"fence"`
	Refused  bool          `json:"refused"`
	Old      bool          `json:"old"`
}

// Ledger is what all emulated engines and services received.
type Ledger struct {
	Executions []*Execution
	Orders     []Order
}

// Ledger reads the ledger files of all engines and services. The files remain when an emulator is
// killed.
func (w *World) Ledger() (*Ledger, error) {
	l := &Ledger{}
	for _, n := range append(w.nodesOf(roleEngine), w.nodesOf(roleService)...) {
		if err := l.addFile(n); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// addFile adds one ledger file. A line replaces an earlier line with the same request id and arrival time.
// A missing file counts as empty.
func (l *Ledger) addFile(n *node) error {
	f, err := os.Open(n.ledgerPath)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	seen := map[string]*Execution{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var x ledgerLine
		if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
			return fmt.Errorf("%s: %w", n.ledgerPath, err)
		}
		if x.Order != "" {
			l.Orders = append(l.Orders, Order{n.name, x.Fence, x.Order, x.Value, x.Refused, x.Old})
			continue
		}
		l.addLine(n, x, seen)
	}
	return lines.Err()
}

// addLine adds a line about a request, or updates the execution in seen that it belongs to.
func (l *Ledger) addLine(n *node, x ledgerLine, seen map[string]*Execution) {
	e := &Execution{
		Upstream: n.name, Request: x.ID, Key: x.Key, Text: x.Text, Arrived: x.Arrived, Started: x.Started, Finished: x.Finished,
		Prompt: x.Prompt, Cached: x.Cached, Output: x.Output, Reserved: x.Reserved, Outcome: x.Outcome,
	}
	if x.Method != "" {
		e.Service, e.Request, e.Text, e.Arrived = true, x.Request, x.Path, x.Started
	}
	id := fmt.Sprintf("%s %d", e.Request, e.Arrived)
	if old, ok := seen[id]; ok {
		*old = *e
		return
	}
	seen[id] = e
	l.Executions = append(l.Executions, e)
}

// ForCall returns the executions whose prompt or path matches the text of a call.
func (l *Ledger) ForCall(c Call) []*Execution {
	var out []*Execution
	for _, x := range l.Executions {
		if x.Text == "/"+c.PromptStart || strings.HasPrefix(x.Text, c.PromptStart+":") {
			out = append(out, x)
		}
	}
	return out
}

// loadReport is the load report of an emulated engine.
type loadReport struct {
	Running []struct {
		ID       string        `json:"id"`
		Reserved decide.Tokens `json:"reserved"`
	} `json:"running"`
	Exports []struct {
		Handle  string        `json:"handle"`
		Request string        `json:"request"`
		Tokens  decide.Tokens `json:"tokens"`
	} `json:"exports"`
	Used decide.Tokens `json:"used"`
}

// loadReport reads the load report of an engine.
func (w *World) loadReport(ctx context.Context, name string) (loadReport, error) {
	var l loadReport
	n, err := w.node(name)
	if err != nil {
		return l, err
	}
	resp, err := send(ctx, http.MethodGet, "http://"+n.address+"/load", nil, nil)
	if err != nil {
		return l, err
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// OrphanedMemory describes the reservations and exports in an engine's memory that belong to no call
// that is still running.
func (w *World) OrphanedMemory(ctx context.Context, engine string) ([]string, error) {
	l, err := w.loadReport(ctx, engine)
	if err != nil {
		return nil, err
	}
	ledger, err := w.Ledger()
	if err != nil {
		return nil, err
	}
	live := map[string]bool{}
	for _, r := range w.Results("") {
		if r.Ended() {
			continue
		}
		for _, x := range ledger.ForCall(r.Call) {
			live[x.Request] = true
		}
	}
	var out []string
	for _, x := range l.Running {
		if !live[x.ID] {
			out = append(out, fmt.Sprintf("%s still reserves %d tokens for request %s", engine, x.Reserved, x.ID))
		}
	}
	for _, x := range l.Exports {
		if !live[x.Request] {
			out = append(out, fmt.Sprintf("%s still reserves %d tokens for export %s of request %s", engine, x.Tokens, x.Handle, x.Request))
		}
	}
	return out, nil
}

// ExportCache makes an engine export the KV cache of a call that runs on it, which is
// the first step of a transfer to another engine.
func (w *World) ExportCache(ctx context.Context, call string) error {
	r, err := w.Result(call)
	if err != nil {
		return err
	}
	l, err := w.Ledger()
	if err != nil {
		return err
	}
	xs := l.ForCall(r.Call)
	if len(xs) == 0 {
		return fmt.Errorf("no upstream received call %s", call)
	}
	n, err := w.node(xs[0].Upstream)
	if err != nil {
		return err
	}
	_, err = send(ctx, http.MethodPost, "http://"+n.address+"/v1/kv/"+xs[0].Request+"/export", nil, nil)
	return err
}

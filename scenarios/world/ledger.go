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

// Execution is one request or call that a stand-in took.
type Execution struct {
	Upstream string
	Request  string
	Key      string
	// Text is the start of the prompt, or the path of a call.
	Text string
	// Arrived and Started are instants; Started is zero for one that never ran.
	Arrived, Started, Finished clock.Milli
	Prompt, Cached, Output     decide.Tokens
	// Reserved is the memory it took, prompt and most output.
	Reserved decide.Tokens
	Outcome  string
	// Service is set for a call to a plain service.
	Service bool
}

// Ran tells whether it began to run.
func (x *Execution) Ran() bool { return x.Started > 0 }

// Order is one order that reached an engine.
type Order struct {
	Upstream string
	Fence    uint64 `json:"fence"`
	Order    string `json:"order"`
	Value    string `json:"value"`
	Refused  bool   `json:"refused"`
	Old      bool   `json:"old"`
}

// line is any line of a ledger's file.
type line struct {
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

// Ledger is what all stand-ins executed.
type Ledger struct {
	Executions []*Execution
	Orders     []Order
}

// Ledger reads the files that outlive killed stand-ins.
func (w *World) Ledger() (*Ledger, error) {
	l := &Ledger{}
	for _, n := range append(w.named(roleEngine), w.named(roleService)...) {
		if err := l.read(n); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// read adds one stand-in's file. A line replaces earlier ones of the same request.
func (l *Ledger) read(n *node) error {
	f, err := os.Open(n.ledger)
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
		var x line
		if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
			return fmt.Errorf("%s: %w", n.ledger, err)
		}
		if x.Order != "" {
			l.Orders = append(l.Orders, Order{n.name, x.Fence, x.Order, x.Value, x.Refused, x.Old})
			continue
		}
		l.take(n, x, seen)
	}
	return lines.Err()
}

func (l *Ledger) take(n *node, x line, seen map[string]*Execution) {
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

// ForCall returns what was executed for a call, by its text.
func (l *Ledger) ForCall(c Call) []*Execution {
	var out []*Execution
	for _, x := range l.Executions {
		if x.Text == "/"+c.PromptStart || strings.HasPrefix(x.Text, c.PromptStart+":") {
			out = append(out, x)
		}
	}
	return out
}

// load is an engine's own report.
type load struct {
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

// Load reads what an engine's memory holds.
func (w *World) load(ctx context.Context, name string) (load, error) {
	var l load
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

// OrphanedMemory lists what an engine's memory holds for no call that still runs.
func (w *World) OrphanedMemory(ctx context.Context, engine string) ([]string, error) {
	l, err := w.load(ctx, engine)
	if err != nil {
		return nil, err
	}
	led, err := w.Ledger()
	if err != nil {
		return nil, err
	}
	live := map[string]bool{}
	for _, r := range w.Results("") {
		if r.Ended() {
			continue
		}
		for _, x := range led.ForCall(r.Call) {
			live[x.Request] = true
		}
	}
	var out []string
	for _, x := range l.Running {
		if !live[x.ID] {
			out = append(out, fmt.Sprintf("%s holds %d tokens for %s", engine, x.Reserved, x.ID))
		}
	}
	for _, x := range l.Exports {
		if !live[x.Request] {
			out = append(out, fmt.Sprintf("%s holds %d tokens for export %s of %s", engine, x.Tokens, x.Handle, x.Request))
		}
	}
	return out, nil
}

// ExportCache makes an engine export the KV cache of a call that runs there, as a
// transfer to another engine begins.
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
		return fmt.Errorf("%s runs nowhere", call)
	}
	n, err := w.node(xs[0].Upstream)
	if err != nil {
		return err
	}
	_, err = send(ctx, http.MethodPost, "http://"+n.address+"/v1/kv/"+xs[0].Request+"/export", nil, nil)
	return err
}

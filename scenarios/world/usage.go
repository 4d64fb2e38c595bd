package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// total is what one workspace used, or the bounds of what it may be charged.
type total struct{ requests, prompt, output int64 }

func (t *total) add(o total) {
	t.requests += o.requests
	t.prompt += o.prompt
	t.output += o.output
}

// within tells whether t lies between two totals.
func (t total) within(least, most total) bool {
	return t.requests >= least.requests && t.requests <= most.requests &&
		t.prompt >= least.prompt && t.prompt <= most.prompt &&
		t.output >= least.output && t.output <= most.output
}

// sheet is a usage object of the store: the counters of one life of one VM.
type sheet struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// counter is one workspace of a sheet.
type counter struct {
	Workspace string `json:"workspace"`
	Requests  int64  `json:"requests"`
	Prompt    int64  `json:"prompt"`
	Output    int64  `json:"output"`
}

// counted sums the sheets of the store by workspace.
func (w *World) counted(ctx context.Context) (map[string]total, error) {
	resp, err := w.tellStore(ctx, http.MethodGet, "/objects/usage", nil, nil)
	if err != nil {
		return nil, err
	}
	var sheets []sheet
	if err := json.NewDecoder(resp.Body).Decode(&sheets); err != nil {
		return nil, err
	}
	out := map[string]total{}
	for _, s := range sheets {
		var cs []counter
		if err := json.Unmarshal(s.Value, &cs); err != nil {
			return nil, fmt.Errorf("usage/%s: %w", s.Name, err)
		}
		for _, c := range cs {
			t := out[c.Workspace]
			t.add(total{c.Requests, c.Prompt, c.Output})
			out[c.Workspace] = t
		}
	}
	return out, nil
}

// executed sums the ledgers by workspace: least counts what callers got whole,
// most all that upstreams took, each with the most output it can have made.
func (w *World) executed() (least, most map[string]total, err error) {
	l, err := w.Ledger()
	if err != nil {
		return nil, nil, err
	}
	least, most = map[string]total{}, map[string]total{}
	for _, r := range w.Results("") {
		name := r.Call.Workspace
		if name == "" {
			name = Workspaces[0]
		}
		lo, hi := least[name], most[name]
		due := r.Ended() && r.Outcome == Complete
		for _, x := range l.ForCall(r.Call) {
			if x.Request != r.RequestID && r.RequestID != "" {
				continue
			}
			hi.add(x.most())
			// A caller got one answer, even where an engine went on with an attempt
			// that was given up: it was frozen, and missed the cancel.
			if due && x.Outcome == "done" {
				lo.add(x.counted())
				due = false
			}
		}
		least[name], most[name] = lo, hi
	}
	return least, most, nil
}

// counted is what a request that ended well is charged.
func (x *Execution) counted() total {
	if x.Service {
		return total{requests: 1}
	}
	return total{1, int64(x.Prompt), int64(x.Output)}
}

// most is the most that a request may be charged, however it ended.
func (x *Execution) most() total {
	if x.Service {
		return total{requests: 1}
	}
	if x.Outcome == "done" {
		return x.counted()
	}
	return total{1, int64(x.Prompt), int64(max(x.Output, x.Reserved-x.Prompt))}
}

// CheckUsage waits until the store's counters hold what callers got whole, but
// for a number of requests, and checks that they never hold more than was executed.
func (w *World) CheckUsage(ctx context.Context, within time.Duration, missing int64) error {
	var short error
	err := Await(ctx, within, "usage in the store", func() (bool, error) {
		got, err := w.counted(ctx)
		if err != nil {
			return false, err
		}
		least, most, err := w.executed()
		if err != nil {
			return false, err
		}
		short, err = compare(got, least, most, missing)
		return short == nil, err
	})
	if err != nil {
		return errors.Join(err, short)
	}
	return nil
}

// compare returns what is short of the least, which may still come, and what is
// over the most, which is final.
func compare(got, least, most map[string]total, missing int64) (short, over error) {
	for name, lo := range least {
		g, hi := got[name], most[name]
		if g.requests > hi.requests || g.prompt > hi.prompt || g.output > hi.output {
			return nil, fmt.Errorf("workspace %s is charged %+v, and upstreams executed %+v", name, g, hi)
		}
		if missing > 0 && g.requests >= lo.requests-missing {
			continue
		}
		if !g.within(lo, hi) {
			short = errors.Join(short, fmt.Errorf("workspace %s is charged %+v, and its callers got %+v", name, g, lo))
		}
	}
	return short, nil
}

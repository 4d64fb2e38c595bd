package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// usage counts what one workspace is charged for, or a bound of it: requests, prompt tokens and output
// tokens.
type usage struct{ requests, prompt, output int64 }

func (u *usage) add(o usage) {
	u.requests += o.requests
	u.prompt += o.prompt
	u.output += o.output
}

// within reports whether every count of u lies between the bounds, inclusive.
func (u usage) within(least, most usage) bool {
	return u.requests >= least.requests && u.requests <= most.requests &&
		u.prompt >= least.prompt && u.prompt <= most.prompt &&
		u.output >= least.output && u.output <= most.output
}

// usageObject is a usage object in the store: the counters of one incarnation of one daemon.
type usageObject struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// workspaceUsage is the usage of one workspace in a usage object.
type workspaceUsage struct {
	Workspace string `json:"workspace"`
	Requests  int64  `json:"requests"`
	Prompt    int64  `json:"prompt"`
	Output    int64  `json:"output"`
}

// storedUsage sums the usage objects in the store by workspace.
func (w *World) storedUsage(ctx context.Context) (map[string]usage, error) {
	resp, err := w.callStore(ctx, http.MethodGet, "/objects/usage", nil, nil)
	if err != nil {
		return nil, err
	}
	var objects []usageObject
	if err := json.NewDecoder(resp.Body).Decode(&objects); err != nil {
		return nil, err
	}
	out := map[string]usage{}
	for _, s := range objects {
		var cs []workspaceUsage
		if err := json.Unmarshal(s.Value, &cs); err != nil {
			return nil, fmt.Errorf("usage/%s: %w", s.Name, err)
		}
		for _, c := range cs {
			t := out[c.Workspace]
			t.add(usage{c.Requests, c.Prompt, c.Output})
			out[c.Workspace] = t
		}
	}
	return out, nil
}

// executedUsage sums the ledgers by workspace. least counts the requests with a complete
// response to the client. most counts all requests that upstreams received, each
// with the largest output that it can have generated.
func (w *World) executedUsage() (least, most map[string]usage, err error) {
	l, err := w.Ledger()
	if err != nil {
		return nil, nil, err
	}
	least, most = map[string]usage{}, map[string]usage{}
	for _, r := range w.Results("") {
		name := r.Call.Workspace
		if name == "" {
			name = Workspaces[0]
		}
		lo, hi := least[name], most[name]
		pending := r.Ended() && r.Outcome == Complete
		for _, x := range l.ForCall(r.Call) {
			if x.Request != r.RequestID && r.RequestID != "" {
				continue
			}
			hi.add(x.maxCharge())
			// Count one execution per response. There may be a second one that is done: an engine that
			// was frozen missed the cancel of an abandoned attempt and completed it later.
			if pending && x.Outcome == "done" {
				lo.add(x.charge())
				pending = false
			}
		}
		least[name], most[name] = lo, hi
	}
	return least, most, nil
}

// charge returns what is charged for a request that ran to its end.
func (x *Execution) charge() usage {
	if x.Service {
		return usage{requests: 1}
	}
	return usage{1, int64(x.Prompt), int64(x.Output)}
}

// maxCharge returns the upper bound of what may be charged for a request, whatever its outcome.
func (x *Execution) maxCharge() usage {
	if x.Service {
		return usage{requests: 1}
	}
	if x.Outcome == "done" {
		return x.charge()
	}
	return usage{1, int64(x.Prompt), int64(max(x.Output, x.Reserved-x.Prompt))}
}

// CheckUsage waits until the usage in the store covers all requests with a complete
// response, except for a number of missing requests in each workspace. It fails at
// once if the usage exceeds what upstreams executed.
func (w *World) CheckUsage(ctx context.Context, timeout time.Duration, missing int64) error {
	var short error
	err := Await(ctx, timeout, "usage in the store", func() (bool, error) {
		got, err := w.storedUsage(ctx)
		if err != nil {
			return false, err
		}
		least, most, err := w.executedUsage()
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

// compare compares the usage got with its bounds. short is an error for usage below least, which may
// still rise when daemons report more. over is an error for usage above most, which no later report
// can correct.
func compare(got, least, most map[string]usage, missing int64) (short, over error) {
	for name, lo := range least {
		g, hi := got[name], most[name]
		if g.requests > hi.requests || g.prompt > hi.prompt || g.output > hi.output {
			return nil, fmt.Errorf("workspace %s is charged %+v, more than the %+v that upstreams executed", name, g, hi)
		}
		if missing > 0 && g.requests >= lo.requests-missing {
			continue
		}
		if !g.within(lo, hi) {
			short = errors.Join(short, fmt.Errorf("workspace %s is charged %+v, but its clients received %+v", name, g, lo))
		}
	}
	return short, nil
}

package main

import (
	"encoding/json"
	"net/http"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	answers "snipeshift.example/lib/operator"
)

// where answers like VMs in relay mode. Prompts of up to 10,000 tokens are placed, of up to 100,000 queued, and others
// refused. vm-2 does not reach the owner.
func (f *fleet) where(i int, w http.ResponseWriter, r *http.Request) {
	var q answers.WhereQuery
	if err := json.Unmarshal([]byte(r.URL.Query().Get(answers.ParamWhere)), &q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Model != "" {
		f.whereModel(i, w, &q)
		return
	}
	if q.Service != "notice-writer" && q.Host != "hall.example" {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(answers.Failure{Error: "no route leads to a service " + string(q.Service)})
		return
	}
	x := answers.Where{
		VM: "vm-1", Owner: "vm-1", Epoch: 3, From: "vm-1", Service: "notice-writer", DocumentAge: 900, ListAge: 400, Queued: 2,
		Others: []answers.WhereOther{{Upstream: "u-2", Against: "back-off"}, {Upstream: "u-3", Against: "free"}},
	}
	if i == 1 {
		x.VM, x.From, x.OwnerError = "vm-2", "vm-2", "no answer"
	}
	switch {
	case q.Prompt <= 10_000:
		x.Verdict, x.Reason, x.Upstream, x.FirstByte = answers.Placed, "packed", "u-1", 120
		x.Helpers = []decide.UpstreamID{"u-4", "u-5"}
	case q.Prompt <= 100_000:
		x.Verdict, x.Reason, x.Place = answers.Queued, "no-room", 2
	default:
		x.Verdict, x.Reason, x.Fault, x.RetryAfter, x.Others = answers.Refused, "pressure", fault.Overloaded, 1500, []answers.WhereOther{}
	}
	_ = json.NewEncoder(w).Encode(x)
}

// whereModel answers like daemons of OpenAI's API. vm-2 gets its answer from the VM that answers in place of the owner.
func (f *fleet) whereModel(i int, w http.ResponseWriter, q *answers.WhereQuery) {
	if q.Model != "drafter" || q.Path != "" {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(answers.Failure{Error: "no model " + q.Model})
		return
	}
	x := answers.Where{
		VM: "vm-1", Owner: "vm-1", Epoch: 9, From: "vm-1", Model: "drafter", Pool: "drafter@tvm-hall", DocumentAge: 900, ListAge: 900, ReportAge: 250,
		Others: []answers.WhereOther{{Upstream: "u-3", Against: "reserved"}},
	}
	if i == 1 {
		x.VM, x.From, x.OwnerError = "vm-2", "vm-3", "no answer"
	}
	switch {
	case q.Kind == "send":
		x.Verdict, x.Reason, x.Fault, x.RetryAfter = answers.Refused, "deadline", fault.Overloaded, 2000
	case q.Prompt <= 10_000:
		x.Verdict, x.Reason, x.Upstream, x.FirstByte = answers.Placed, "least-cost", "u-1", 120
	default:
		x.Verdict, x.Reason, x.Place, x.Queued = answers.Queued, "no-room", 1, 2
	}
	_ = json.NewEncoder(w).Encode(x)
}

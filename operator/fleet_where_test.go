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

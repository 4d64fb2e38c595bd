package table

import (
	"slices"
	"strings"

	"snipeshift.example/lib/clock"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// Where are the columns of the answers to where a request would be placed.
var Where = []Column[answers.Where]{
	{"ASKED", func(r answers.Where) string { return string(r.VM) }},
	{"OWNER", func(r answers.Where) string { return string(r.Owner) }},
	{"EPOCH", func(r answers.Where) string { return text(r.Epoch) }},
	{"FROM", func(r answers.Where) string { return string(r.From) }},
	{"VERDICT", func(r answers.Where) string { return string(r.Verdict) }},
	{"REASON", whereReason},
	{"UPSTREAM", func(r answers.Where) string { return string(r.Upstream) }},
	{"HELPERS", func(r answers.Where) string {
		names := make([]string, len(r.Helpers))
		for i, h := range r.Helpers {
			names[i] = string(h)
		}
		return strings.Join(names, ",")
	}},
	{"FIRST", func(r answers.Where) string { return span(r.FirstByte) }},
	{"PLACE", wherePlace},
	{"RETRY", func(r answers.Where) string { return span(r.RetryAfter) }},
	{"DOCUMENT", func(r answers.Where) string { return r.DocumentAge.Duration().String() }},
	{"LIST", func(r answers.Where) string { return r.ListAge.Duration().String() }},
}

// WhereModel are the columns of these answers for models of OpenAI's API.
var WhereModel = append(slices.Insert(slices.Clone(Where), poolColumn, Column[answers.Where]{"POOL", func(r answers.Where) string { return string(r.Pool) }}),
	Column[answers.Where]{"REPORT", func(r answers.Where) string { return span(r.ReportAge) }})

// poolColumn is the place of the pool among the columns, before its owner.
const poolColumn = 1

// whereReason formats the reason, after the kind of a refusal.
func whereReason(r answers.Where) string {
	if r.Fault == "" {
		return r.Reason
	}
	return string(r.Fault) + "/" + r.Reason
}

// wherePlace formats the place in the queue.
func wherePlace(r answers.Where) string {
	if r.Place == 0 {
		return ""
	}
	return text(r.Place) + "/" + text(r.Queued+1)
}

// span formats a time, zero as absent.
func span(m clock.Milli) string {
	if m == 0 {
		return ""
	}
	return m.Duration().String()
}

// WhereOtherRow is an upstream on which the request would not be placed, with the VM that was asked.
type WhereOtherRow struct {
	VM peer.VM
	answers.WhereOther
}

// WhereOthers are the columns of the other upstreams.
var WhereOthers = []Column[WhereOtherRow]{
	{"ASKED", func(r WhereOtherRow) string { return string(r.VM) }},
	{"UPSTREAM", func(r WhereOtherRow) string { return string(r.Upstream) }},
	{"AGAINST", func(r WhereOtherRow) string { return r.Against }},
}

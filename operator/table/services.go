package table

import (
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// ServiceRow is a service as a VM knows it.
type ServiceRow struct {
	VM  peer.VM
	Era route.Era
	answers.Service
}

// StatementRow is what a VM has heard an upstream say of itself.
type StatementRow struct {
	VM peer.VM
	answers.Statement
}

// Services are the columns of services.
var Services = []Column[ServiceRow]{
	{"ASKED", func(r ServiceRow) string { return string(r.VM) }},
	{"SERVICE", func(r ServiceRow) string { return string(r.Service.Service) }},
	{"HOLDER", func(r ServiceRow) string { return string(r.Holder) }},
	{"EPOCH", func(r ServiceRow) string { return text(r.Epoch) }},
	{"SINCE", func(r ServiceRow) string { return r.Since.Duration().String() }},
	{"SUCCESSOR", func(r ServiceRow) string { return string(r.Successor) }},
	{"UPSTREAMS", func(r ServiceRow) string { return text(r.Upstreams) }},
	{"ERA", func(r ServiceRow) string { return text(r.Era) }},
}

// Statements are the columns of what upstreams say of themselves.
var Statements = []Column[StatementRow]{
	{"ASKED", func(r StatementRow) string { return string(r.VM) }},
	{"SERVICE", func(r StatementRow) string { return string(r.Service) }},
	{"UPSTREAM", func(r StatementRow) string { return string(r.Upstream) }},
	{"SAYS", func(r StatementRow) string { return r.Kind }},
	{"TO", func(r StatementRow) string { return string(r.Gate) }},
	{"RATE", rate},
	{"LEFT", left},
	{"AGE", func(r StatementRow) string { return r.Age.Duration().String() }},
}

// rate is a limit in requests a second; empty for other statements.
func rate(r StatementRow) string {
	if r.Kind != "limit" {
		return ""
	}
	return text(r.Rate)
}

// left is what remains of a rest; empty for other statements.
func left(r StatementRow) string {
	if r.Left <= 0 {
		return ""
	}
	return r.Left.Duration().String()
}

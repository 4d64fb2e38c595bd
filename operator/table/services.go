package table

import (
	"fmt"
	"strings"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// ServiceRow is the state of a service as reported by one VM.
type ServiceRow struct {
	VM  peer.VM
	Era route.Era
	// Evacuated are the evacuated failure domains that the VM knows of.
	Evacuated []route.Domain
	answers.Service
}

// StatementRow is a statement of an upstream (a rate limit, a back-off or a drain notice) as reported by
// one VM.
type StatementRow struct {
	VM peer.VM
	answers.Statement
}

// Services are the columns of the list of services.
var Services = []Column[ServiceRow]{
	{"ASKED", func(r ServiceRow) string { return string(r.VM) }},
	{"SERVICE", func(r ServiceRow) string { return string(r.Service.Service) }},
	{"HOLDER", func(r ServiceRow) string { return string(r.Holder) }},
	{"EPOCH", func(r ServiceRow) string { return text(r.Epoch) }},
	{"SINCE", func(r ServiceRow) string { return r.Since.Duration().String() }},
	{"SUCCESSOR", func(r ServiceRow) string { return string(r.Successor) }},
	{"UPSTREAMS", func(r ServiceRow) string { return text(r.Upstreams) }},
	{"ERA", func(r ServiceRow) string { return text(r.Era) }},
	{"EVACUATED", func(r ServiceRow) string { return strings.Trim(fmt.Sprint(r.Evacuated), "[]") }},
}

// Statements are the columns of the list of statements of upstreams.
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

// rate formats a rate limit in requests per second; it is empty for other statements.
func rate(r StatementRow) string {
	if r.Kind != "limit" {
		return ""
	}
	return text(r.Rate)
}

// left formats the remaining time of a back-off; it is empty for other statements.
func left(r StatementRow) string {
	if r.Left <= 0 {
		return ""
	}
	return r.Left.Duration().String()
}

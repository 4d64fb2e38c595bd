package table

import (
	"fmt"
	"strings"

	"snipeshift.example/lib/clock"
	answers "snipeshift.example/lib/operator"
)

// Members are the columns of the list of daemons.
var Members = []Column[answers.Member]{
	{"VM", func(m answers.Member) string { return string(m.VM) }},
	{"STATE", func(m answers.Member) string { return string(m.State) }},
	{"DOMAIN", func(m answers.Member) string { return string(m.Domain) }},
	{"REVISION", func(m answers.Member) string { return text(m.Revision) }},
	{"HEARD", func(m answers.Member) string { return m.Age.Duration().String() }},
	{"PEER", func(m answers.Member) string { return m.Peer }},
	{"OPERATOR", func(m answers.Member) string { return m.Operator }},
	{"INCARNATION", func(m answers.Member) string { return text(m.Incarnation) }},
}

// Pools are the columns of the list of pools.
var Pools = []Column[answers.Pool]{
	{"POOL", func(p answers.Pool) string { return string(p.Pool) }},
	{"OWNER", func(p answers.Pool) string { return string(p.Owner) }},
	{"UPSTREAMS", func(p answers.Pool) string { return text(p.Upstreams) }},
	{"QUEUED", func(p answers.Pool) string { return text(p.Queued) }},
	{"RUNNING", func(p answers.Pool) string { return text(p.Running) }},
	{"FREE", func(p answers.Pool) string { return text(p.Free) }},
	{"LARGEST", func(p answers.Pool) string { return text(p.Largest) }},
	{"WAIT(ms)", func(p answers.Pool) string { return waits(p.Wait) }},
}

// waits formats the estimated waits of urgencies 0 to 3.
func waits(ms [4]clock.Milli) string {
	return strings.Trim(fmt.Sprint(ms), "[]")
}

// Upstreams are the columns of the list of upstreams.
var Upstreams = []Column[answers.Upstream]{
	{"UPSTREAM", func(u answers.Upstream) string { return string(u.Name) }},
	{"STATE", func(u answers.Upstream) string { return string(u.State) }},
	{"POOL", func(u answers.Upstream) string { return string(u.Pool) }},
	{"ADDRESS", func(u answers.Upstream) string { return u.Address }},
	{"RUNNING", func(u answers.Upstream) string { return fmt.Sprintf("%d/%d", u.Running, u.Slots) }},
	{"RESERVED", func(u answers.Upstream) string { return text(u.Reserved) }},
	{"USED", func(u answers.Upstream) string { return text(u.Used) }},
	{"MEMORY", func(u answers.Upstream) string { return text(u.Memory) }},
	{"REPORTED", reported},
	{"FENCED", func(u answers.Upstream) string { return text(u.Fenced) }},
}

// reported formats the age of the last load report.
func reported(u answers.Upstream) string {
	if u.Age < 0 {
		return "never"
	}
	return u.Age.Duration().String()
}

// Grants are the columns of the list of live grants.
var Grants = []Column[answers.Grant]{
	{"REQUEST", func(g answers.Grant) string { return string(g.Request) }},
	{"WORKSPACE", func(g answers.Grant) string { return string(g.Workspace) }},
	{"POOL", func(g answers.Grant) string { return string(g.Pool) }},
	{"UPSTREAMS", func(g answers.Grant) string { return strings.Trim(fmt.Sprint(g.Upstreams), "[]") }},
	{"GATE", func(g answers.Grant) string { return string(g.Gate) }},
	{"URGENCY", func(g answers.Grant) string { return text(g.Urgency) }},
	{"PROMPT", func(g answers.Grant) string { return text(g.Prompt) }},
	{"RESERVED", func(g answers.Grant) string { return text(g.Reserved) }},
	{"LEASE", func(g answers.Grant) string { return g.Lease.Duration().String() }},
	{"LEFT", func(g answers.Grant) string { return g.Left.Duration().String() }},
}

// Totals are the columns of the usage by workspace.
var Totals = []Column[answers.Total]{
	{"WORKSPACE", func(t answers.Total) string { return string(t.Workspace) }},
	{"REQUESTS", func(t answers.Total) string { return text(t.Requests) }},
	{"PROMPT", func(t answers.Total) string { return text(t.Prompt) }},
	{"CACHED", func(t answers.Total) string { return text(t.Cached) }},
	{"OUTPUT", func(t answers.Total) string { return text(t.Output) }},
}

func text[T any](value T) string { return fmt.Sprint(value) }

package operator

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Total is the usage of one workspace over all VMs.
type Total struct {
	Workspace decide.WorkspaceID `json:"workspace"`
	Usage
}

// life names one counter: counters of two lives of a VM both count.
type life struct {
	vm          peer.VM
	incarnation peer.Incarnation
	workspace   decide.WorkspaceID
}

// SumUsage adds up counters that several daemons told, each counter once. Counters
// only rise, so the larger of two readings is the newer one.
func SumUsage(readings []UsageCounter) []Total {
	newest := map[life]Usage{}
	for _, c := range readings {
		l := life{c.VM, c.Incarnation, c.Workspace}
		newest[l] = newest[l].max(c.Usage)
	}
	sums := map[decide.WorkspaceID]Usage{}
	for l, u := range newest {
		sums[l.workspace] = sums[l.workspace].plus(u)
	}
	totals := make([]Total, 0, len(sums))
	for w, u := range sums {
		totals = append(totals, Total{w, u})
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return totals
}

func (u Usage) max(o Usage) Usage {
	return Usage{max(u.Requests, o.Requests), max(u.Prompt, o.Prompt), max(u.Cached, o.Cached), max(u.Output, o.Output)}
}

func (u Usage) plus(o Usage) Usage {
	return Usage{u.Requests + o.Requests, u.Prompt + o.Prompt, u.Cached + o.Cached, u.Output + o.Output}
}

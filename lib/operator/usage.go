package operator

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Total is the usage of one workspace on all VMs.
type Total struct {
	Workspace decide.WorkspaceID `json:"workspace"`
	Usage
}

// counterKey identifies one counter. Two incarnations of a VM have separate counters, which are added.
type counterKey struct {
	vm          peer.VM
	incarnation peer.Incarnation
	workspace   decide.WorkspaceID
}

// SumUsage adds up, for each workspace, the counters that several daemons reported. It counts each counter
// once: counters never decrease, so of several values of a counter the largest is the newest.
// The totals are sorted by workspace.
func SumUsage(counters []UsageCounter) []Total {
	newest := map[counterKey]Usage{}
	for _, c := range counters {
		key := counterKey{c.VM, c.Incarnation, c.Workspace}
		newest[key] = newest[key].max(c.Usage)
	}
	sums := map[decide.WorkspaceID]Usage{}
	for key, u := range newest {
		sums[key.workspace] = sums[key.workspace].plus(u)
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

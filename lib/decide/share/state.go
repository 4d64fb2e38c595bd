package share

import (
	"cmp"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// MaxUsages bounds the workspaces that Usages returns.
const MaxUsages = 64

// Usage is what one workspace was granted.
type Usage struct {
	Workspace decide.WorkspaceID
	// Tokens is the total that this account granted; it is not handed over.
	Tokens float64
	// Lag is by how many tokens the workspace is behind its share of what all active workspaces were
	// granted lately, negative if it exceeds its share; zero if it does not wait.
	Lag float64
}

// Usages returns the workspaces with the most tokens, at most MaxUsages of them.
func (a *Account) Usages() []Usage {
	out := make([]Usage, 0, len(a.rows))
	for id, r := range a.rows {
		u := Usage{Workspace: id, Tokens: r.tokens}
		if r.round == a.round {
			u.Lag = a.lag(r)
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Tokens, x.Tokens), cmp.Compare(x.Workspace, y.Workspace))
	})
	return out[:min(len(out), MaxUsages)]
}

// Snapshot is the state of an account for the next owner.
type Snapshot struct {
	Workspaces []State
	// Recent is the number of tokens granted, and Freed that of slots that became free, within the last
	// second.
	Recent, Freed float64
}

// State is the state of one workspace.
type State struct {
	Workspace decide.WorkspaceID
	// Ahead is by how much its virtual time is ahead of the current one, Used what it was granted
	// lately, in tokens.
	Ahead, Used float64
	// Variance is that of Used. Arrivals and Patience describe its requests of the last second.
	Variance, Arrivals, Patience float64
}

// Snapshot returns the state for the next owner. Workspaces that are not active are as if unknown.
func (a *Account) Snapshot(now clock.Milli) Snapshot {
	a.decay(now)
	a.freed.decay(now)
	s := Snapshot{Recent: a.recent, Freed: a.freed.arrivals}
	for _, id := range slices.Sorted(maps.Keys(a.rows)) {
		r := a.rows[id]
		if r.decay(now); r.active(now) {
			r.demand.decay(now)
			s.Workspaces = append(s.Workspaces, State{
				Workspace: id, Ahead: max(0, r.virtual-a.current), Used: r.used,
				Variance: r.variance, Arrivals: r.demand.arrivals, Patience: r.demand.patience,
			})
		}
	}
	return s
}

// Restore continues the account of the previous owner. What gates presented before the snapshot
// arrived is contained in it and is not added.
func (a *Account) Restore(now clock.Milli, s Snapshot) {
	for _, r := range a.rows {
		r.virtual, r.used, r.variance = a.current, 0, 0
	}
	a.recent, a.used, a.at = s.Recent, 0, now
	a.freed = demand{arrivals: s.Freed, at: now}
	for _, x := range s.Workspaces {
		r := a.row(x.Workspace)
		r.virtual, r.used, r.at, r.usedAt = a.current+x.Ahead, x.Used, now, now
		r.variance = x.Variance
		r.demand = demand{arrivals: x.Arrivals, patience: x.Patience, at: now}
		a.used += x.Used
	}
}

// Clone returns an independent copy of the account; nil for none.
func (a *Account) Clone() *Account {
	if a == nil {
		return nil
	}
	c := *a
	c.rows = make(map[decide.WorkspaceID]*row, len(a.rows))
	for id, r := range a.rows {
		copied := *r
		c.rows[id] = &copied
	}
	return &c
}

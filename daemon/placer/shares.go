package placer

import (
	"maps"
	"slices"
	"sync"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// unknownWorkspaces are the workspaces with a weight that were logged as unknown.
type unknownWorkspaces struct {
	mu     sync.Mutex
	logged map[decide.WorkspaceID]bool
}

// warnUnknownWorkspaces logs, once for each, the workspaces with a weight that the document in force
// does not contain.
func (o *Owner) warnUnknownWorkspaces(t *route.Table) {
	if !o.Shares.Enabled || len(o.Shares.Weights) == 0 {
		return
	}
	known := map[decide.WorkspaceID]bool{}
	for _, w := range t.Document().Workspaces {
		known[w.ID] = true
	}
	u := &o.unknown
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(o.Shares.Weights)) {
		if known[id] || u.logged[id] {
			continue
		}
		if u.logged == nil {
			u.logged = map[decide.WorkspaceID]bool{}
		}
		u.logged[id] = true
		o.Log.Warn().Str(logline.Key, logline.Shares).Str("workspace", string(id)).Int64("revision", int64(t.Revision())).
			Msg("a workspace in the setting shares.weights is not in the document in force")
	}
}

// ShareUsages calls f with what workspaces were granted by this VM, for each service.
func (o *Owner) ShareUsages(f func(route.ServiceID, share.Usage)) {
	pools := o.allPools()
	for _, s := range slices.Sorted(maps.Keys(pools)) {
		p := pools[s]
		p.mu.Lock()
		usages := p.pool.Shares()
		p.mu.Unlock()
		for _, u := range usages {
			f(s, u)
		}
	}
}

// ReservedSlots calls f with the number of free slots that workspaces beyond their shares leave to
// others, for each service.
func (o *Owner) ReservedSlots(f func(route.ServiceID, int)) {
	if !o.Shares.Enabled {
		return
	}
	pools := o.allPools()
	for _, s := range slices.Sorted(maps.Keys(pools)) {
		p := pools[s]
		p.mu.Lock()
		n := p.pool.ReservedSlots()
		p.mu.Unlock()
		f(s, n)
	}
}

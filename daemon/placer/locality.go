package placer

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/route"
)

// ServiceLocality counts in which failure domains the requests of one service run.
type ServiceLocality struct {
	Service route.ServiceID
	Counts  locality.Counts
}

// ListLocality lists the counts of the services for which this VM has a pool. It is empty unless
// placement by failure domain is enabled.
func (o *Owner) ListLocality() []ServiceLocality {
	var rows []ServiceLocality
	for s, p := range o.allPools() {
		p.mu.Lock()
		if c, enabled := p.pool.LocalityCounts(); enabled {
			rows = append(rows, ServiceLocality{Service: s, Counts: c})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(rows, func(x, y ServiceLocality) int { return cmp.Compare(x.Service, y.Service) })
	return rows
}

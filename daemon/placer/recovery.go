package placer

import (
	"cmp"
	"slices"
	"time"

	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// logRecoveriesEvery is the interval at which pools are checked for a recovery that has begun or ended.
// A recovery lasts at least twice as long.
const logRecoveriesEvery = 250 * time.Millisecond

// ServiceRecovery is the recovery of one service after a loss of VMs.
type ServiceRecovery struct {
	Service route.ServiceID
	span.RecoveryStatus
}

// ListRecoveries lists the state of recovery of the services for which this VM has a pool. It is empty
// unless the setting is on.
func (o *Owner) ListRecoveries() []ServiceRecovery {
	var rows []ServiceRecovery
	for s, p := range o.allPools() {
		p.mu.Lock()
		if status, enabled := p.pool.Recovery(o.Clock.Now()); enabled {
			rows = append(rows, ServiceRecovery{Service: s, RecoveryStatus: status})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(rows, func(x, y ServiceRecovery) int { return cmp.Compare(x.Service, y.Service) })
	return rows
}

// logRecoveries logs the recoveries that have begun or ended since the last call.
func (o *Owner) logRecoveries() {
	for s, p := range o.allPools() {
		p.mu.Lock()
		o.logRecovery(s, p)
		p.mu.Unlock()
	}
}

// logRecovery logs the beginning or the end of a recovery since the last call. The pool's lock is held.
func (o *Owner) logRecovery(s route.ServiceID, p *ownedPool) {
	status, _ := p.pool.Recovery(o.Clock.Now())
	before := p.loggedRecovery
	if status.Active == before.Active {
		return
	}
	p.loggedRecovery = status
	message := "recovery after a loss began: late requests are limited"
	if !status.Active {
		message = "recovery after a loss ended"
	}
	o.Log.Info().Str(logline.Key, logline.Recovery).Str("service", string(s)).Bool("on", status.Active).
		Uint64("placed", status.Counts.Placed-before.Counts.Placed).Uint64("refused", status.Counts.Refused-before.Counts.Refused).
		Int("queued", p.pool.Counts().Queued).Msg(message)
}

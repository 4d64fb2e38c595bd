package registry

import (
	"sync"

	"snipeshift.example/lib/logline"
)

// Role is the reason why a VM calls the store.
type Role string

// Roles of a caller of the store.
const (
	// Prover is a VM whose short watches verify for all VMs that their copies are current.
	Prover Role = "prover"
	// Watcher is a VM of a small fleet that watches the store, with long waits while a prover
	// verifies its copy.
	Watcher Role = "watcher"
	// StandIn is a VM that watches because too few of the VMs that rank before it can reach the
	// store.
	StandIn Role = "standin"
	// Starter is a VM that has just started and knows no document yet.
	Starter Role = "starter"
	// Alone is a VM that reads for itself because the members it asks do not answer or have no
	// current copy.
	Alone Role = "alone"
	// Follower is a VM that makes no calls because other members send it all updates.
	Follower Role = "follower"
)

// Call identifies a kind of call of the store.
type Call struct {
	// Feed is "routes" or "upstreams".
	Feed string
	Role Role
	List bool
}

// Name is "list" or "watch".
func (c Call) Name() string {
	if c.List {
		return "list"
	}
	return "watch"
}

// calls counts the calls of the store, which are billed. It is safe for concurrent use.
type calls struct {
	mu     sync.Mutex
	counts map[Call]uint64
}

func (c *calls) add(k Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Call]uint64{}
	}
	c.counts[k]++
}

// Calls returns the number of calls of each kind since the start.
func (r *Registry) Calls() map[Call]uint64 {
	r.calls.mu.Lock()
	defer r.calls.mu.Unlock()
	counts := make(map[Call]uint64, len(r.calls.counts))
	for k, n := range r.calls.counts {
		counts[k] = n
	}
	return counts
}

// noteRole logs a change of this VM's role in reading the store, and returns its current role.
func (r *Registry) noteRole(rs Roster, before Role) Role {
	current := r.role()
	if r.delegates(r.documentFeed()) {
		current = Follower
	}
	if current != before {
		r.log.Info().Str(logline.Key, logline.Reader).Str("role", string(current)).Str("before", string(before)).Int("rank", rs.Rank).
			Int("open", r.connectedAhead(rs)).Int64("age", int64(r.documentAge())).Msg("role of this VM in reading the store changed")
	}
	return current
}

// role returns the role in which this VM would call the store now.
func (r *Registry) role() Role {
	if r.readers == nil {
		return Prover
	}
	rs := r.readers()
	switch {
	case rs.Primary:
		return Prover
	case r.View().Table == nil:
		return Starter
	case !rs.LargeFleet:
		return Watcher
	case r.standsIn(rs):
		return StandIn
	default:
		return Alone
	}
}

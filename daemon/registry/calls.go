package registry

import (
	"sync"

	"snipeshift.example/lib/logline"
)

// Role is why a VM called the store.
type Role string

// The roles of a caller of the store.
const (
	// Prover proves for all, by short watches, that what is known is new.
	Prover Role = "prover"
	// Watcher keeps long watches.
	Watcher Role = "watcher"
	// StandIn steps in for VMs before it whose way to the store is shut.
	StandIn Role = "standin"
	// Starter has just started and knows nothing yet.
	Starter Role = "starter"
	// Alone reads since those it asks are silent, or know nothing new.
	Alone Role = "alone"
	// Follower makes no calls: others tell it what is new.
	Follower Role = "follower"
)

// Call is one kind of calls of the store.
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

// calls counts the calls of the store, which are priced. It is safe for concurrent use.
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

// Calls returns how many calls of each kind were made.
func (r *Registry) Calls() map[Call]uint64 {
	r.calls.mu.Lock()
	defer r.calls.mu.Unlock()
	counts := make(map[Call]uint64, len(r.calls.counts))
	for k, n := range r.calls.counts {
		counts[k] = n
	}
	return counts
}

// noteRole writes a line if this VM's part in reading the store has changed, and returns its present part.
func (r *Registry) noteRole(rs Roster, before Role) Role {
	now := r.role()
	if r.rests(r.documents()) {
		now = Follower
	}
	if now != before {
		r.log.Info().Str(logline.Key, logline.Reader).Str("role", string(now)).Str("before", string(before)).Int("rank", rs.Rank).
			Int("open", r.ahead(rs)).Int64("age", int64(r.age())).Msg("this VM has another part in reading the store")
	}
	return now
}

// role is why this VM calls the store now.
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
	case r.stepsIn(rs):
		return StandIn
	default:
		return Alone
	}
}

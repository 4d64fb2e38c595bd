// Package member maintains the list of live daemons by heartbeats between them (a gossip
// protocol), and determines the owner of each pool from it.
//
// The decisions - which members are live, which get heartbeats with what content, which
// member owns a pool - are in Table and in pure functions, which take the time as an
// argument. Members runs them: it has the lock, the goroutines and the calls.
package member

import "snipeshift.example/lib/clock"

// Rules are the intervals, fan-out and limits of heartbeats.
type Rules struct {
	// FullMesh is the number of members up to which every member sends heartbeats to all others.
	FullMesh int
	// RingTargets is the number of successors on the hash ring to which a member sends
	// heartbeats in larger groups, and RandomTargets the number of further members, chosen
	// anew each Rotation.
	RingTargets, RandomTargets int
	Rotation                   clock.Milli
	// MeshPeriod is the time between two heartbeats to a member in groups up to FullMesh,
	// SparsePeriod in larger ones.
	MeshPeriod, SparsePeriod clock.Milli
	// IsolatedSeedPeriod is the time between two contacts of the seeds before any other member
	// has been heard from. If the first heartbeats of a member are lost, no other member knows
	// about it, and until the next contact it would serve without their shared state.
	IsolatedSeedPeriod clock.Milli
	// MaxMisses is the number of consecutive unanswered heartbeats after which a member is suspected.
	MaxMisses int
	// RefutePeriods is the time that a suspected member has to refute the suspicion, in periods.
	RefutePeriods clock.Milli
	// ForgetAfter is the time after which a gone member is removed from the table.
	ForgetAfter clock.Milli
	// UpdateSends is the number of heartbeats in which each update is sent, and MaxUpdates the
	// number of updates in one heartbeat.
	UpdateSends, MaxUpdates int
	// MeshSeedPeriod is the time between two contacts of the seeds, which include the platform's
	// VM list, in groups up to FullMesh, SparseSeedPeriod in larger ones. With 450 members that read
	// the list every 5 s the store would serve 90 reads a second; with 30 s it serves 15.
	MeshSeedPeriod, SparseSeedPeriod clock.Milli
}

// DefaultRules are for 3 to 450 members. A crashed member is removed from the live list of every
// table after MaxMisses periods, plus RefutePeriods periods, plus the time for spreading the
// suspicion: about 3 s in small groups and 8 s with hundreds of members. With fewer misses a
// garbage collection pause or a lost packet would count as a crash; with more, requests would
// wait longer for a crashed owner. Beyond FullMesh members the cost of heartbeats to all grows
// with the square of the size, and two ring successors suffice to detect a crash. The random
// targets reconnect the parts of a ring after a network partition.
var DefaultRules = Rules{
	FullMesh: 12, RingTargets: 2, RandomTargets: 2, Rotation: 20 * clock.Second,
	MeshPeriod: 500, SparsePeriod: clock.Second, IsolatedSeedPeriod: clock.Second,
	MaxMisses: 3, RefutePeriods: 3, ForgetAfter: 10 * clock.Minute,
	UpdateSends: 8, MaxUpdates: 32,
	MeshSeedPeriod: 5 * clock.Second, SparseSeedPeriod: 30 * clock.Second,
}

// RelayRules are the rules of VMs that are a few milliseconds apart. A crashed owner costs each gate one
// placement query that is not answered, and there are no failure domains here that lose contact with each
// other, so a member may be suspected sooner than under the default rules.
var RelayRules = func() Rules {
	r := DefaultRules
	r.MeshPeriod, r.MaxMisses, r.RefutePeriods, r.MeshSeedPeriod = 400, 2, 2, 2*clock.Second
	// After a power failure all VMs may start at once. Until they have found each other, each one
	// decides placements by itself, and all choose the same engines. So seeds are tried often.
	r.IsolatedSeedPeriod = 100
	return r
}()

// Period returns the time between two heartbeats to the same member in a group of size members.
func (r Rules) Period(size int) clock.Milli {
	if size <= r.FullMesh {
		return r.MeshPeriod
	}
	return r.SparsePeriod
}

// SeedPeriod returns the time between two contacts of the seeds in a group of size members.
func (r Rules) SeedPeriod(size int) clock.Milli {
	if size <= r.FullMesh {
		return r.MeshSeedPeriod
	}
	return r.SparseSeedPeriod
}

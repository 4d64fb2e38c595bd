// Package member keeps the list of daemons that are alive, by heartbeats
// between them, and names the owner of each pool from it.
//
// What is decided - who is alive, whom to beat, what to tell, who owns - is in
// Table and in pure functions, which take the time as an argument. Members
// runs them: it holds the lock, the goroutines and the calls.
package member

import "snipeshift.example/lib/clock"

// Rules set the pace and the fan-out of heartbeats.
type Rules struct {
	// FullMesh is the size up to which every member beats every other.
	FullMesh int
	// RingTargets is how many neighbours on the ring of names a member beats beyond
	// that size, and Random how many others, chosen anew each Rotation.
	RingTargets, RandomTargets int
	Rotation                   clock.Milli
	// MeshPeriod is the period between beats up to the size Full, Far beyond it.
	MeshPeriod, SparsePeriod clock.Milli
	// IsolatedSeedPeriod is the time between two looks at the seeds while nobody was heard of. If the
	// first beats of a member are lost, nobody else knows of it, and until the
	// next look it would serve without what the others know.
	IsolatedSeedPeriod clock.Milli
	// MaxMisses is how many beats in a row go unanswered before a member is doubted.
	MaxMisses int
	// RefutePeriods is how long a doubted member has to contradict, in periods.
	RefutePeriods clock.Milli
	// ForgetAfter is when a gone member leaves the table.
	ForgetAfter clock.Milli
	// UpdateSends is how often one piece of news is sent, and Most how many a beat carries.
	UpdateSends, MaxUpdates int
	// MeshSeedPeriod is the time between two looks at the seeds and the platform's VM
	// list up to the size Full, Sparse beyond it: 450 members that read the list
	// every 5 s would take 90 reads a second of the store, every 30 s they take 15.
	MeshSeedPeriod, SparseSeedPeriod clock.Milli
}

// DefaultRules are made for 3 to 450 members. A dead member is out of every
// table after Misses periods, plus Doubt periods, plus the spread of the doubt:
// about 3 s among few and 8 s among hundreds. Fewer misses would take a pause
// of the garbage collector or one lost packet for a death; more would leave
// requests waiting for a dead owner. Beyond Full members the cost of beating
// all grows with the square of the size, and two neighbours suffice to notice
// a death; the random ones join the halves of a ring that was cut.
var DefaultRules = Rules{
	FullMesh: 12, RingTargets: 2, RandomTargets: 2, Rotation: 20 * clock.Second,
	MeshPeriod: 500, SparsePeriod: clock.Second, IsolatedSeedPeriod: clock.Second,
	MaxMisses: 3, RefutePeriods: 3, ForgetAfter: 10 * clock.Minute,
	UpdateSends: 8, MaxUpdates: 32,
	MeshSeedPeriod: 5 * clock.Second, SparseSeedPeriod: 30 * clock.Second,
}

// Period is the time between two beats at a size.
func (r Rules) Period(size int) clock.Milli {
	if size <= r.FullMesh {
		return r.MeshPeriod
	}
	return r.SparsePeriod
}

// SeedPeriod is the time between two looks at the seeds at a size.
func (r Rules) SeedPeriod(size int) clock.Milli {
	if size <= r.FullMesh {
		return r.MeshSeedPeriod
	}
	return r.SparseSeedPeriod
}

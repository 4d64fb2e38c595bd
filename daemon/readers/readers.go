// Package readers works out which VMs read the platform's store for all, and whom each VM asks.
//
// All VMs that know the same members work out the same order, so nothing is agreed on: while they differ, some
// VMs ask others than they should, and a few more read.
package readers

import (
	"slices"
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/peer"
)

const (
	// watchers keep watches in a large fleet. The first one proves by short ones that what is known is new; those of the
	// other are long and bring news at once although the first is cut off.
	watchers = 2
	// stepIn VMs behind the watchers step in, one after the other, once too few before them have an open way to the store. If it
	// turns a third of the VMs away, all eight are shut off once in six thousand times; others then step in by the age of
	// what they know.
	stepIn = 6
	// relayers VMs ask the watchers, and all others ask two of these. One answers thirteen VMs of 450, each two or three
	// times a second. Were there a reader for each
	// 32 VMs instead, their watches would be most of the store's calls in a large fleet.
	relayers = 32
	// asked is how many relayers each VM asks in turn.
	asked = 2
	// watchersMost is the size up to which every VM watches the store itself. News of one
	// upstream costs a call of each: beside readers a dozen more are no load yet.
	watchersMost = 12
)

// Selector is what one VM works out. It is safe for concurrent use.
type Selector struct {
	self peer.VM
	// seed is set if the settings of others name this VM.
	seed bool

	mu sync.Mutex
	// live is the list that last was worked out from. Members never change a list that they gave out, so the same list is
	// the same members.
	live []peer.Member
	last registry.Roster
}

// New returns the readers as a VM sees them; seed is set if the settings of others name it.
func New(self peer.VM, seed bool) *Selector { return &Selector{self: self, seed: seed} }

// Roster is the part of this VM among the live members.
func (r *Selector) Roster(live []peer.Member) registry.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same {
		r.live = live
		r.last = rosterOf(r.self, live)
		r.last.Seed = r.seed
	}
	return r.last
}

// rosterOf is the roster of one VM. All VMs that know the same members work out the same order.
func rosterOf(self peer.VM, live []peer.Member) registry.Roster {
	ranked := readingOrder(live)
	rank := slices.IndexFunc(ranked, func(m peer.Member) bool { return m.VM == self })
	if rank < 0 {
		// It is stopping: it reads for nobody, and steps in last.
		rank = len(ranked)
	}
	large := len(live) > watchersMost
	return registry.Roster{Sources: sources(ranked, rank, large), Primary: rank == 0, Rank: rank, LargeFleet: large && rank >= watchers}
}

// readingOrder puts the strong members first, and the first two into different failure domains, so that the loss of one leaves
// a reader.
func readingOrder(live []peer.Member) []peer.Member {
	ranked := member.RankStrong("registry", live)
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Domain == ranked[0].Domain {
			continue
		}
		m := ranked[i]
		copy(ranked[2:i+1], ranked[1:i])
		ranked[1] = m
		break
	}
	return ranked
}

// sources are the members that the one at a rank asks: the watchers and those that step in for them, and
// in a large fleet some of those that ask these.
func sources(ranked []peer.Member, rank int, large bool) []peer.Member {
	const first = watchers + stepIn
	if large && rank >= watchers+relayers {
		layer := ranked[watchers : watchers+relayers] // those that may step in are among them
		var ms []peer.Member
		for i := range asked {
			ms = append(ms, layer[(rank+i*relayers/asked)%relayers])
		}
		return ms
	}
	var ms []peer.Member
	for i, m := range ranked[:min(first, len(ranked))] {
		if i != rank {
			ms = append(ms, m)
		}
	}
	return ms
}

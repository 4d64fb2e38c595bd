// Package readers computes which VMs read the platform's store for all VMs, and which members each
// VM asks for updates.
//
// All VMs with the same list of members compute the same order, so no agreement protocol is needed.
// While their lists differ, some VMs ask other members than they should, and a few more VMs read
// the store.
package readers

import (
	"slices"
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/peer"
)

const (
	// watchers is the number of VMs that keep watches in a large fleet. The first one uses short
	// watches, which verify for all VMs that their copies are current. Those of the other are long
	// and deliver updates at once even if the first VM is cut off from the store.
	watchers = 2
	// standIns is the number of VMs that rank after the watchers and start to watch, in this order,
	// once too few of the VMs before them can reach the store. If the store rejects the calls of a
	// third of the VMs, all eight are cut off with a probability of one in six thousand. Other VMs
	// then read the store depending on the age of their copy.
	standIns = 6
	// relayers is the number of VMs that ask the watchers. All other VMs ask two of the relayers.
	// In a fleet of 450 VMs each relayer answers thirteen VMs, each of them two or three times a
	// second. With one reader for each 32 VMs instead, the readers' watches would make up most of
	// the store's calls in a large fleet.
	relayers = 32
	// relayersAsked is how many relayers each VM asks in turn.
	relayersAsked = 2
	// maxWatchingFleet is the fleet size up to which every VM watches the store itself. Each update
	// of an upstream then costs one call of every VM, which is no significant load for a dozen VMs.
	maxWatchingFleet = 12
)

// Selector computes the roster of one VM. It is safe for concurrent use.
type Selector struct {
	self peer.VM
	// seed is set if the settings of other VMs name this VM.
	seed bool

	mu sync.Mutex
	// live is the list for which roster was computed. Returned lists of members are never modified,
	// so the same slice means the same members.
	live   []peer.Member
	roster registry.Roster
}

// New returns a value that computes the rosters of the VM self. seed is set if the settings of
// other VMs name this VM.
func New(self peer.VM, seed bool) *Selector { return &Selector{self: self, seed: seed} }

// Roster returns the roster of this VM for the live members.
func (r *Selector) Roster(live []peer.Member) registry.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same {
		r.live = live
		r.roster = rosterOf(r.self, live)
		r.roster.Seed = r.seed
	}
	return r.roster
}

// rosterOf computes the roster of one VM. It depends only on the list of members, so VMs with the
// same list agree.
func rosterOf(self peer.VM, live []peer.Member) registry.Roster {
	ranked := rankReaders(live)
	rank := slices.IndexFunc(ranked, func(m peer.Member) bool { return m.VM == self })
	if rank < 0 {
		// This VM is stopping. It reads for no other VM and ranks last among the stand-ins.
		rank = len(ranked)
	}
	large := len(live) > maxWatchingFleet
	return registry.Roster{Sources: sources(ranked, rank, large), Primary: rank == 0, Rank: rank, LargeFleet: large && rank >= watchers}
}

// rankReaders orders members by capacity, with the first two in different failure domains, so that
// the loss of one domain leaves a reader.
func rankReaders(live []peer.Member) []peer.Member {
	ranked := member.RankByCapacity("registry", live)
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

// sources returns the members that the VM of a rank asks: the watchers and their stand-ins or, for
// most VMs of a large fleet, some of the relayers, which ask these.
func sources(ranked []peer.Member, rank int, large bool) []peer.Member {
	const watchersAndStandIns = watchers + standIns
	if large && rank >= watchers+relayers {
		layer := ranked[watchers : watchers+relayers] // includes the stand-ins
		var ms []peer.Member
		for i := range relayersAsked {
			ms = append(ms, layer[(rank+i*relayers/relayersAsked)%relayers])
		}
		return ms
	}
	var ms []peer.Member
	for i, m := range ranked[:min(watchersAndStandIns, len(ranked))] {
		if i != rank {
			ms = append(ms, m)
		}
	}
	return ms
}

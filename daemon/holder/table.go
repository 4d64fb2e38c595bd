// Package holder decides which VM places the requests of a service.
//
// One VM at a time holds a service, under an epoch that rises with each change of holder. It
// remains the holder until it stops, hands the service over or does not respond: a VM that ranks
// higher does not take the service over by joining. VMs learn of holders from answers, heartbeats
// and announcements; the record with the later epoch wins.
//
// There is no consensus, so the two sides of a partition may each have a holder, and engines then
// queue the excess requests. When the partition heals, all VMs follow the later epoch, and gates
// present their live grants to its holder.
//
// A Table has no lock, no network access and no clock.
package holder

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Table is one VM's view of which VM holds each service.
type Table struct {
	self    peer.Member
	holders map[route.ServiceID]peer.Holder
}

// New returns the table of a VM without any known holder.
func New(self peer.Member) *Table {
	return &Table{self: self, holders: map[route.ServiceID]peer.Holder{}}
}

// Of returns the holder of a service, if one is known.
func (t *Table) Of(s route.ServiceID) (peer.Holder, bool) { h, ok := t.holders[s]; return h, ok }

// Epoch returns the epoch of the known holder; zero if none is known.
func (t *Table) Epoch(s route.ServiceID) uint64 { return t.holders[s].Epoch }

// All returns the known holders of all services, in no particular order.
func (t *Table) All() []peer.Holder {
	hs := make([]peer.Holder, 0, len(t.holders))
	for _, h := range t.holders {
		hs = append(hs, h)
	}
	return hs
}

// Digest returns a digest of all known holders, which is equal for equal ones; zero if none is known.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, h := range t.holders {
		sum ^= xxhash.Sum64String(string(h.Service) + "\x00" + string(h.VM) + "\x00" + strconv.FormatUint(uint64(h.Incarnation), 36) + "/" + strconv.FormatUint(h.Epoch, 36))
	}
	return sum
}

// Learn records a holder and reports whether the record replaced the known one.
func (t *Table) Learn(h peer.Holder) bool {
	known, ok := t.holders[h.Service]
	if ok && !newer(h, known) {
		return false
	}
	t.holders[h.Service] = h
	return true
}

// newer reports whether record x replaces record y. VMs that became holder at the same epoch did
// not know of each other: the VM with more cores wins, and among equals a hash decides, which is
// the same on all VMs.
func newer(x, y peer.Holder) bool {
	return cmp.Or(
		cmp.Compare(x.Epoch, y.Epoch),
		cmp.Compare(x.Cores, y.Cores),
		cmp.Compare(hash(x), hash(y)),
		cmp.Compare(x.Incarnation, y.Incarnation),
	) > 0
}

func hash(h peer.Holder) uint64 {
	return xxhash.Sum64String(string(h.Service) + "\x00" + string(h.VM))
}

// Holds reports whether this VM holds a service.
func (t *Table) Holds(s route.ServiceID) bool {
	h, ok := t.holders[s]
	return ok && sameIncarnation(h, t.self)
}

// Take makes this VM the holder at the epoch after prevEpoch, if the current epoch is still
// prevEpoch.
func (t *Table) Take(s route.ServiceID, prevEpoch uint64) (peer.Holder, bool) {
	return t.Assign(s, prevEpoch, t.self)
}

// Assign makes a member the holder at the epoch after prevEpoch, if the current epoch is still
// prevEpoch.
func (t *Table) Assign(s route.ServiceID, prevEpoch uint64, m peer.Member) (peer.Holder, bool) {
	if t.holders[s].Epoch != prevEpoch {
		return t.holders[s], false
	}
	h := NewHolder(s, m, prevEpoch+1)
	t.holders[s] = h
	return h, true
}

// NewHolder returns the record that a member holds a service at an epoch.
func NewHolder(s route.ServiceID, m peer.Member, epoch uint64) peer.Holder {
	return peer.Holder{Service: s, VM: m.VM, Incarnation: m.Incarnation, Address: m.Address, Epoch: epoch, Cores: m.Cores}
}

// sameIncarnation reports whether a member is the holder, in the same incarnation.
func sameIncarnation(h peer.Holder, m peer.Member) bool {
	return h.VM == m.VM && h.Incarnation == m.Incarnation
}

// Member returns the holder of a service as a member. It returns false if no holder is known or if
// the live list has another incarnation of the holder's VM. A holder that is not in the live list
// counts, because VMs that start together learn of the holder long before they list it.
func (t *Table) Member(s route.ServiceID, live []peer.Member) (peer.Member, bool) {
	h, ok := t.holders[s]
	if !ok {
		return peer.Member{}, false
	}
	for _, m := range live {
		if m.VM == h.VM {
			return m, m.Incarnation == h.Incarnation
		}
	}
	return peer.Member{VM: h.VM, Incarnation: h.Incarnation, Address: h.Address, Cores: h.Cores}, true
}

// Step is how a VM handles a placement query.
type Step uint8

// The steps.
const (
	// Decide: this VM holds the service and decides.
	Decide Step = iota
	// Take: this VM becomes the holder, and decides.
	Take
	// Forward: this VM queries another VM on behalf of the gate, and becomes the holder if that VM
	// does not respond.
	Forward
	// Redirect: this VM replies with the holder of the service, and the gate queries that holder.
	Redirect
)

// Route decides how this VM handles a query, and returns the VM to forward it to. The ranked
// members are in their order of preference as holders. A query that another VM forwarded is not
// forwarded again.
func (t *Table) Route(s route.ServiceID, forwarded bool, live, ranked []peer.Member) (Step, peer.Member) {
	if t.Holds(s) {
		return Decide, t.self
	}
	m, ok := t.Member(s, live)
	switch {
	case ok && forwarded:
		return Redirect, m
	case ok:
		return Forward, m
	case forwarded || len(ranked) == 0 || ranked[0].VM == t.self.VM:
		return Take, t.self
	default:
		return Forward, ranked[0]
	}
}

// Successor returns the member to which this VM has to hand over a service that it holds: the first
// in rank, if this VM stops (so that it is not ranked) or is not one of the high-capacity members.
// ranked are the members that may hold a service, best first; the first highCapacity of them are
// the high-capacity ones.
func (t *Table) Successor(s route.ServiceID, ranked []peer.Member, highCapacity int) (peer.Member, bool) {
	if !t.Holds(s) {
		return peer.Member{}, false
	}
	for _, m := range ranked[:min(highCapacity, len(ranked))] {
		if m.VM == t.self.VM {
			return peer.Member{}, false
		}
	}
	if len(ranked) == 0 || ranked[0].VM == t.self.VM {
		return peer.Member{}, false
	}
	return ranked[0], true
}

// Candidates returns the members that a gate queries for a placement, in order: the holder, if it
// is live, then the members by rank. Members that did not answer lately are left out.
func (t *Table) Candidates(s route.ServiceID, live, ranked []peer.Member, unresponsive func(peer.Member) bool) []peer.Member {
	out := make([]peer.Member, 0, maxCandidates)
	h, ok := t.Member(s, live)
	if ok && !unresponsive(h) {
		out = append(out, h)
	}
	for _, m := range ranked {
		if len(out) == maxCandidates {
			break
		}
		if !unresponsive(m) && !(ok && m.VM == h.VM) {
			out = append(out, m)
		}
	}
	return out
}

// maxCandidates is how many VMs are queried for one placement: the holder, and two more in case the
// first of them was lost together with the holder.
const maxCandidates = 3

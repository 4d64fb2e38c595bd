// Package holder decides which VM places the requests of a service.
//
// One VM holds a service at a time, under an epoch that rises with each change. It keeps the service until it stops,
// hands it over, or does not answer: a VM that ranks higher and comes back does not take it away. VMs learn who holds a service from
// answers, heartbeats and announcements; of two words the one with the later epoch counts.
//
// Nothing is agreed on in advance, so two sides of a partition may each have a holder, and engines then queue what both give them. When they
// meet, all follow the later epoch, and gates present their live grants to its holder.
//
// A Table has no lock, no sockets and no clock.
package holder

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Table is what one VM believes of who holds each service.
type Table struct {
	self peer.Member
	rows map[route.ServiceID]peer.Holder
}

// New returns the table of a VM that knows of no holder.
func New(self peer.Member) *Table {
	return &Table{self: self, rows: map[route.ServiceID]peer.Holder{}}
}

// Of names the holder of a service, if one is known.
func (t *Table) Of(s route.ServiceID) (peer.Holder, bool) { h, ok := t.rows[s]; return h, ok }

// Epoch is that of the holder known; zero if none is.
func (t *Table) Epoch(s route.ServiceID) uint64 { return t.rows[s].Epoch }

// All lists the holders of all services, in no order.
func (t *Table) All() []peer.Holder {
	hs := make([]peer.Holder, 0, len(t.rows))
	for _, h := range t.rows {
		hs = append(hs, h)
	}
	return hs
}

// Learn takes a word about a holder, and reports whether it replaces what was known.
func (t *Table) Learn(h peer.Holder) bool {
	known, ok := t.rows[h.Service]
	if ok && !newer(h, known) {
		return false
	}
	t.rows[h.Service] = h
	return true
}

// newer reports whether word x replaces word y. VMs that became holder at the same epoch did not know of each other:
// the one with more processor keeps the service, and among equals a hash decides, the same on all VMs.
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
	h, ok := t.rows[s]
	return ok && is(h, t.self)
}

// Take makes this VM the holder at the next epoch, unless the holder is another one than before by now.
func (t *Table) Take(s route.ServiceID, before uint64) (peer.Holder, bool) {
	return t.Assign(s, before, t.self)
}

// Assign makes a member the holder at the next epoch, unless the holder changed since the epoch before.
func (t *Table) Assign(s route.ServiceID, before uint64, m peer.Member) (peer.Holder, bool) {
	if t.rows[s].Epoch != before {
		return t.rows[s], false
	}
	h := NewHolder(s, m, before+1)
	t.rows[s] = h
	return h, true
}

// NewHolder is the word that a member holds a service.
func NewHolder(s route.ServiceID, m peer.Member, epoch uint64) peer.Holder {
	return peer.Holder{Service: s, VM: m.VM, Incarnation: m.Incarnation, Address: m.Address, Epoch: epoch, Cores: m.Cores}
}

// is reports whether a member is the holder, in the same life.
func is(h peer.Holder, m peer.Member) bool { return h.VM == m.VM && h.Incarnation == m.Incarnation }

// Member is the holder of a service as a member, unless a later life of its VM is among the live ones.
// VMs that start together hear of the holder long before they list it: it counts also while it is not listed.
func (t *Table) Member(s route.ServiceID, live []peer.Member) (peer.Member, bool) {
	h, ok := t.rows[s]
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

// Step is what a VM does with a question for a place.
type Step uint8

// The steps.
const (
	// Decide: this VM holds the service.
	Decide Step = iota
	// Take: this VM becomes the holder, and decides.
	Take
	// Forward: another VM is asked on behalf of the gate. If it is silent this VM becomes the holder.
	Forward
	// Redirect: the gate is told who holds the service.
	Redirect
)

// Route decides what becomes of a question, and names the VM to forward it to. The ranked members are in the order in which they
// are to hold the service. A question that another VM forwarded is not forwarded again.
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

// Successor is the member to which this VM hands a service over that it holds: the first by rank, if this VM stops or ranked members
// are stronger than it is. Ranked are the members that may hold a service, best first, of which strong are the first.
func (t *Table) Successor(s route.ServiceID, ranked []peer.Member, strong int) (peer.Member, bool) {
	if !t.Holds(s) {
		return peer.Member{}, false
	}
	for _, m := range ranked[:min(strong, len(ranked))] {
		if m.VM == t.self.VM {
			return peer.Member{}, false
		}
	}
	if len(ranked) == 0 || ranked[0].VM == t.self.VM {
		return peer.Member{}, false
	}
	return ranked[0], true
}

// Candidates lists whom a gate asks for a place, in this order: the holder, if it is live, then the members by
// rank. Those that did not answer lately are left out.
func (t *Table) Candidates(s route.ServiceID, live, ranked []peer.Member, silent func(peer.Member) bool) []peer.Member {
	out := make([]peer.Member, 0, candidates)
	h, ok := t.Member(s, live)
	if ok && !silent(h) {
		out = append(out, h)
	}
	for _, m := range ranked {
		if len(out) == candidates {
			break
		}
		if !silent(m) && !(ok && m.VM == h.VM) {
			out = append(out, m)
		}
	}
	return out
}

// candidates is how many VMs are asked for one place: the holder, and two more in case that the first of them was lost with it.
const candidates = 3

// Package usage counts the requests and tokens that each workspace consumes. Lost
// responses and repeated messages never make usage count twice, and a VM that crashes
// loses almost none of it.
//
// Each incarnation of a VM has one counter per workspace, with absolute numbers that only
// grow. So the merge of two copies is the larger value of each field, and writing or
// merging a copy twice changes nothing. With each heartbeat a VM sends the counters that
// changed to two other members, its ring successors, and every few seconds it writes all its
// counters to the store. When a VM is gone, the VMs that have a copy of its counters
// write to the store what is missing there.
//
// A VM that crashes loses what it counted after its last acknowledged heartbeat: at most
// the usage of one heartbeat interval (0.5 s with up to 12 members, 1 s with more) and one
// round trip. Only if both ring successors crash together with it, up to one interval between
// writes to the store is lost.
package usage

import (
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// incarnation identifies one incarnation of a VM: one run of its daemon process.
type incarnation struct {
	vm          peer.VM
	incarnation peer.Incarnation
}

// counters has the counters of one incarnation by workspace.
type counters map[decide.WorkspaceID]peer.Usage

// merge raises the counters to those of another copy of the same incarnation, and reports
// whether any counter changed.
func (s counters) merge(o counters) bool {
	changed := false
	for w, u := range o {
		m := Max(s[w], u)
		if m != s[w] {
			s[w] = m
			changed = true
		}
	}
	return changed
}

// Max returns the larger value of each field. It merges two copies of one counter.
func Max(a, b peer.Usage) peer.Usage {
	return peer.Usage{
		Requests: max(a.Requests, b.Requests),
		Prompt:   max(a.Prompt, b.Prompt),
		Cached:   max(a.Cached, b.Cached),
		Output:   max(a.Output, b.Output),
	}
}

// Sum adds two counts, for example counters of different incarnations.
func Sum(a, b peer.Usage) peer.Usage {
	return peer.Usage{
		Requests: a.Requests + b.Requests,
		Prompt:   a.Prompt + b.Prompt,
		Cached:   a.Cached + b.Cached,
		Output:   a.Output + b.Output,
	}
}

// Rules are the timing of writes to the store.
type Rules struct {
	// MinInterval is the shortest interval between two writes of a VM's counters.
	MinInterval clock.Milli
	// MaxBytesPerSecond is the largest average write rate in bytes per second. The counters of
	// 3,500 workspaces have about 400 KB. Written every 5 s they would take eleven times
	// the 7 KB per second that a VM may use, so they are written less often.
	MaxBytesPerSecond int
	// CheckInterval is the interval at which a VM checks for counters to be written.
	CheckInterval clock.Milli
	// Retention is how long a copy of the counters of a VM that is gone is retained after
	// it was written.
	Retention clock.Milli
}

// DefaultRules write counters of up to 10 KB every 5 s, and of 400 KB every 200 s.
var DefaultRules = Rules{MinInterval: 5 * clock.Second, MaxBytesPerSecond: 2048, CheckInterval: clock.Second, Retention: 10 * clock.Minute}

// counter is the usage of one workspace as counted by this VM.
type counter struct {
	usage peer.Usage
	// change is the Meter's change number of the last change to this counter.
	change uint64
}

// replica is a copy of the counters of another VM's incarnation.
type replica struct {
	counters counters
	// dirty is set while the store may lack some of the usage in the copy.
	dirty bool
	// writtenAt is when the copy was last written to the store.
	writtenAt clock.Milli
}

// Meter counts the usage on this VM and retains copies of other VMs' counters.
type Meter struct {
	store Store
	clock Clock
	rules Rules
	peers Membership
	self  incarnation

	mu  sync.Mutex
	own map[decide.WorkspaceID]*counter
	// change is the number of changes made to own. It identifies the changes that a
	// peer has acknowledged.
	change uint64
	// sent has the number of the last change sent to each ring successor, and acked that of
	// the last change that the ring successor acknowledged.
	sent, acked map[incarnation]uint64
	// replicas has the counters received from other VMs.
	replicas map[incarnation]*replica

	// writeMu serializes writes to the store and protects the fields below.
	writeMu sync.Mutex
	// version is the version of this VM's object in the store, zero if unknown.
	version platform.Version
	// storedChange is the number of the last change that is in the store.
	storedChange uint64
	// nextWrite is when this VM's counters may be written again.
	nextWrite clock.Milli
}

// New returns a Meter without counters for the present incarnation of this VM.
func New(s Store, k Clock, r Rules, p Membership) *Meter {
	self := p.Self()
	return &Meter{
		store: s, clock: k, rules: r, peers: p,
		self: incarnation{self.VM, self.Incarnation},
		own:  map[decide.WorkspaceID]*counter{},
		sent: map[incarnation]uint64{}, acked: map[incarnation]uint64{},
		replicas: map[incarnation]*replica{},
	}
}

// Add adds usage to the counter of a workspace. It is also called while a request is
// running, with the usage since the last call, so that little is lost if this VM crashes.
func (b *Meter) Add(w decide.WorkspaceID, u peer.Usage) {
	if u == (peer.Usage{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.own[w]
	if c == nil {
		c = &counter{}
		b.own[w] = c
	}
	b.change++
	c.usage, c.change = Sum(c.usage, u), b.change
}

// OwnUsage returns the usage of a workspace that this VM has counted since its start.
func (b *Meter) OwnUsage(w decide.WorkspaceID) peer.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.own[w]; c != nil {
		return c.usage
	}
	return peer.Usage{}
}

// Fill implements member.Part. It adds nothing, because usage is sent by Load.
func (b *Meter) Fill(peer.VM, *peer.BeatArgs) {}

// Counters returns this VM's own counters and the copies of other VMs' counters.
func (b *Meter) Counters() []peer.WorkspaceUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var us []peer.WorkspaceUsage
	for w, c := range b.own {
		us = append(us, peer.WorkspaceUsage{VM: b.self.vm, Incarnation: b.self.incarnation, Workspace: w, Usage: c.usage})
	}
	for inc, r := range b.replicas {
		for w, u := range r.counters {
			us = append(us, peer.WorkspaceUsage{VM: inc.vm, Incarnation: inc.incarnation, Workspace: w, Usage: u})
		}
	}
	return us
}

// Load implements member.AckedPart. It adds the counters that changed since the last
// heartbeat that the ring successor acknowledged.
func (b *Meter) Load(to peer.Member, m *peer.BeatArgs) {
	if !b.isRingSuccessor(to) {
		return
	}
	inc := incarnation{to.VM, to.Incarnation}
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.acked[inc]
	b.sent[inc] = b.change
	if after == b.change {
		return
	}
	for w, c := range b.own {
		if c.change > after {
			m.Usage = append(m.Usage, peer.WorkspaceUsage{VM: b.self.vm, Incarnation: b.self.incarnation, Workspace: w, Usage: c.usage})
		}
	}
}

// isRingSuccessor reports whether a member is to store a copy of this VM's counters.
func (b *Meter) isRingSuccessor(m peer.Member) bool {
	for _, n := range b.peers.RingSuccessors() {
		if n.VM == m.VM && n.Incarnation == m.Incarnation {
			return true
		}
	}
	return false
}

// Arrived implements member.AckedPart. It records that a member acknowledged the last
// heartbeat sent to it.
func (b *Meter) Arrived(to peer.Member) {
	inc := incarnation{to.VM, to.Incarnation}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acked[inc] = b.sent[inc]
}

// Learn implements member.Part. It stores copies of other VMs' counters.
func (b *Meter) Learn(m *peer.BeatArgs, _ clock.Milli) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range m.Usage {
		inc := incarnation{u.VM, u.Incarnation}
		if inc == b.self {
			continue
		}
		r := b.replicas[inc]
		if r == nil {
			r = &replica{counters: counters{}}
			b.replicas[inc] = r
		}
		if r.counters.merge(counters{u.Workspace: u.Usage}) {
			r.dirty = true
		}
	}
}

var _ member.AckedPart = (*Meter)(nil)

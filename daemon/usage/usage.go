// Package usage counts what each workspace consumes, so that no answer that
// is lost and no repeat counts twice, and a VM that dies loses next to nothing.
//
// A VM counts in absolute numbers for each workspace and its own incarnation.
// Numbers only grow, so of two copies the larger of each field is right, and
// writing or merging one twice changes nothing. Two neighbours get what
// changed with each heartbeat; the store gets the whole every few seconds.
// When a VM is gone, whoever holds a copy writes what the store lacks.
//
// What can be lost: of a VM that dies, what it counted after its last answered
// heartbeat, that is one period of heartbeats (0.5 s up to 12 members, 1 s
// beyond) and one round trip. Only if both neighbours die with it, up to one
// period between writes.
package usage

import (
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// life is one incarnation of a VM.
type life struct {
	vm          peer.VM
	incarnation peer.Incarnation
}

// sheet holds the counters of one life by workspace.
type sheet map[decide.WorkspaceID]peer.Usage

// merge raises the counters to those of another copy of the same sheet, and
// tells whether that changed any.
func (s sheet) merge(o sheet) bool {
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

// Max is the larger of each field.
func Max(a, b peer.Usage) peer.Usage {
	return peer.Usage{
		Requests: max(a.Requests, b.Requests),
		Prompt:   max(a.Prompt, b.Prompt),
		Cached:   max(a.Cached, b.Cached),
		Output:   max(a.Output, b.Output),
	}
}

// Sum adds two counts of different lives.
func Sum(a, b peer.Usage) peer.Usage {
	return peer.Usage{
		Requests: a.Requests + b.Requests,
		Prompt:   a.Prompt + b.Prompt,
		Cached:   a.Cached + b.Cached,
		Output:   a.Output + b.Output,
	}
}

// Rules set the pace of writing.
type Rules struct {
	// MinInterval is the time between two writes of a small sheet.
	MinInterval clock.Milli
	// MaxBytesPerSecond is the most bytes a second that writes take on average. A sheet of
	// 3,500 workspaces has about 400 KB; written every 5 s it would take eleven
	// times the 7 KB a second that a node may spend, so it is written less often.
	MaxBytesPerSecond int
	// CheckInterval is the time between two looks at what is to be written.
	CheckInterval clock.Milli
	// Retention is how long a copy of a dead VM's sheet is kept after it was written.
	Retention clock.Milli
}

// DefaultRules write a small sheet every 5 s and one of 400 KB every 200 s.
var DefaultRules = Rules{MinInterval: 5 * clock.Second, MaxBytesPerSecond: 2048, CheckInterval: clock.Second, Retention: 10 * clock.Minute}

// counter is one workspace of this VM's own sheet.
type counter struct {
	usage peer.Usage
	// change is the Book's count of changes when this one changed last.
	change uint64
}

// tail is the copy of another VM's sheet.
type tail struct {
	sheet sheet
	// dirty is set while the store may lack part of it.
	dirty bool
	// since is when it was last found written.
	since clock.Milli
}

// Meter counts for this VM and keeps copies for others.
type Meter struct {
	store Store
	clock Clock
	rules Rules
	peers Membership
	self  life

	mu  sync.Mutex
	own map[decide.WorkspaceID]*counter
	// change counts changes of own; it orders them for acknowledgment.
	change uint64
	// sent and arrived are the changes that each neighbour's life was sent
	// last, and is known to have.
	sent, arrived map[life]uint64
	copies        map[life]*tail

	// writing holds one writer at a time, and guards the rest.
	writing sync.Mutex
	// version is that of this VM's object, zero if not known.
	version platform.Version
	// stored is the change that the store has.
	stored uint64
	// next is when this VM's sheet may be written again.
	next clock.Milli
}

// New returns the book of one life of a VM.
func New(s Store, k Clock, r Rules, p Membership) *Meter {
	self := p.Self()
	return &Meter{
		store: s, clock: k, rules: r, peers: p,
		self: life{self.VM, self.Incarnation},
		own:  map[decide.WorkspaceID]*counter{},
		sent: map[life]uint64{}, arrived: map[life]uint64{},
		copies: map[life]*tail{},
	}
}

// Add counts. It is called with what was consumed since the last call, also
// while a request still runs, so that a gate that dies loses little of it.
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

// OwnUsage is what this life has counted for a workspace.
func (b *Meter) OwnUsage(w decide.WorkspaceID) peer.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.own[w]; c != nil {
		return c.usage
	}
	return peer.Usage{}
}

// Fill implements member.Part.
func (b *Meter) Fill(peer.VM, *peer.BeatArgs) {}

// Counters lists every counter known here: this life's own and the copies of others'.
func (b *Meter) Counters() []peer.WorkspaceUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var us []peer.WorkspaceUsage
	for w, c := range b.own {
		us = append(us, peer.WorkspaceUsage{VM: b.self.vm, Incarnation: b.self.incarnation, Workspace: w, Usage: c.usage})
	}
	for l, t := range b.copies {
		for w, u := range t.sheet {
			us = append(us, peer.WorkspaceUsage{VM: l.vm, Incarnation: l.incarnation, Workspace: w, Usage: u})
		}
	}
	return us
}

// Load implements member.AckedPart: a neighbour gets what it is not known to have.
func (b *Meter) Load(to peer.Member, m *peer.BeatArgs) {
	if !b.keeps(to) {
		return
	}
	l := life{to.VM, to.Incarnation}
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.arrived[l]
	b.sent[l] = b.change
	if after == b.change {
		return
	}
	for w, c := range b.own {
		if c.change > after {
			m.Usage = append(m.Usage, peer.WorkspaceUsage{VM: b.self.vm, Incarnation: b.self.incarnation, Workspace: w, Usage: c.usage})
		}
	}
}

// keeps tells whether a member is to hold a copy of this VM's sheet.
func (b *Meter) keeps(m peer.Member) bool {
	for _, n := range b.peers.RingSuccessors() {
		if n.VM == m.VM && n.Incarnation == m.Incarnation {
			return true
		}
	}
	return false
}

// Arrived implements member.AckedPart.
func (b *Meter) Arrived(to peer.Member) {
	l := life{to.VM, to.Incarnation}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived[l] = b.sent[l]
}

// Learn implements member.Part: it keeps copies of others' counters.
func (b *Meter) Learn(m *peer.BeatArgs, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range m.Usage {
		l := life{u.VM, u.Incarnation}
		if l == b.self {
			continue
		}
		t := b.copies[l]
		if t == nil {
			t = &tail{sheet: sheet{}}
			b.copies[l] = t
		}
		if t.sheet.merge(sheet{u.Workspace: u.Usage}) {
			t.dirty = true
		}
	}
}

var _ member.AckedPart = (*Meter)(nil)

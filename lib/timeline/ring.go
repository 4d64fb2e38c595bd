package timeline

import (
	"strings"
	"sync"
)

// Bounds on the memory of a ring: its number of events times its longest texts.
const (
	// DefaultSize holds the last minute and a half of a VM with 30 requests a
	// second of a dozen events each, in 5 MB, or 30 MB if every text is as long as allowed.
	DefaultSize = 1 << 15
	// MaxIDLen and MaxTextLen are the longest id and text kept, in bytes. A caller
	// may choose an id; without the bound one caller could fill the memory.
	MaxIDLen   = 128
	MaxTextLen = 256
)

// Ring keeps the last events of a process and overwrites the oldest. All
// methods may be called at once, and on a nil Ring, which keeps nothing.
type Ring struct {
	// origin is copied into every event.
	origin Event
	clock  hybrid

	mu sync.Mutex
	// events is a circle; event number n stands at (n-1) modulo its length.
	events []Event
	// seq is the number of events ever added.
	seq uint64
}

// NewRing makes a ring of size events for one life of a process.
func NewRing(process, vm string, incarnation uint64, size int, w WallClock) *Ring {
	return &Ring{
		origin: Event{Process: process, VM: vm, Incarnation: incarnation},
		clock:  hybrid{wall: w},
		events: make([]Event, max(size, 1)),
	}
}

// Add records an event; the ring fills in process, VM, incarnation, number,
// stamp and instant. It does not allocate, but for an id or text over its bound.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	e.Process, e.VM, e.Incarnation = r.origin.Process, r.origin.VM, r.origin.Incarnation
	e.Request = clip(e.Request, MaxIDLen)
	e.Workspace = clip(e.Workspace, MaxIDLen)
	e.Upstream = clip(e.Upstream, MaxIDLen)
	e.Peer = clip(e.Peer, MaxIDLen)
	e.Text = clip(e.Text, MaxTextLen)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the same lock as the number, so both rise together.
	e.Stamp, e.At = r.clock.tick()
	r.seq++
	e.Seq = r.seq
	r.events[(r.seq-1)%uint64(len(r.events))] = e
}

// clip copies the head of a long string, so that the rest can be freed.
func clip[S ~string](s S, most int) S {
	if len(s) <= most {
		return s
	}
	return S(strings.ToValidUTF8(strings.Clone(string(s[:most])), ""))
}

// SendStamp returns the stamp to put into a message to another process.
func (r *Ring) SendStamp() Stamp {
	if r == nil {
		return 0
	}
	s, _ := r.clock.tick()
	return s
}

// ReceiveStamp takes the stamp of a message; events added later stand after it.
func (r *Ring) ReceiveStamp(s Stamp) {
	if r == nil {
		return
	}
	r.clock.receive(s)
}

// batch is how many events are copied while holding the lock. The whole ring
// takes several milliseconds, for which every request on this VM would stall.
const batch = 1024

// Events returns a copy of the selected events, oldest first. Events that are
// overwritten while it copies are left out.
func (r *Ring) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	last := r.seq
	r.mu.Unlock()
	var found []Event
	for next := uint64(0); next < last; {
		found, next = r.copy(found, f, next, last)
	}
	return found
}

// copy adds the selected ones of the next events up to number last, and returns
// the number after the last one it looked at.
func (r *Ring) copy(found []Event, f Filter, next, last uint64) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	first := r.seq - min(r.seq, size)
	next = max(next, first)
	end := min(next+batch, last)
	for n := next; n < end; n++ {
		if e := &r.events[n%size]; f.Match(e) {
			found = append(found, *e)
		}
	}
	return found, max(end, next)
}

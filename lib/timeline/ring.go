package timeline

import (
	"strings"
	"sync"
)

// Bounds on the memory of a ring, which is at most its number of events times the longest event.
const (
	// DefaultSize is sufficient for the last 90 seconds of a VM with 30 requests per second and a
	// dozen events each. It takes 5 MB, or 30 MB if every text has the maximum length.
	DefaultSize = 1 << 15
	// MaxIDLen and MaxTextLen are the largest recorded lengths of an id and a text, in bytes. Clients may
	// choose ids; without the bound a single client could exhaust the memory.
	MaxIDLen   = 128
	MaxTextLen = 256
)

// Ring is a ring buffer of the last events of a process; new events overwrite the oldest. It is safe
// for concurrent use. A nil Ring records nothing.
type Ring struct {
	// origin has the fields that are the same in every event of this process.
	origin Event
	clock  hybridClock

	mu sync.Mutex
	// events is the ring buffer; the event with Seq n is at index (n-1) modulo its length.
	events []Event
	// seq is the total number of events added.
	seq uint64
}

// NewRing returns a ring of size events for one incarnation of a process.
func NewRing(process, vm string, incarnation uint64, size int, w WallClock) *Ring {
	return &Ring{
		origin: Event{Process: process, VM: vm, Incarnation: incarnation},
		clock:  hybridClock{wall: w},
		events: make([]Event, max(size, 1)),
	}
}

// Add records an event and sets its Process, VM, Incarnation, Seq, Stamp and At. It allocates only to
// truncate an id or text that is too long.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	e.Process, e.VM, e.Incarnation = r.origin.Process, r.origin.VM, r.origin.Incarnation
	e.Request = truncate(e.Request, MaxIDLen)
	e.Workspace = truncate(e.Workspace, MaxIDLen)
	e.Upstream = truncate(e.Upstream, MaxIDLen)
	e.Peer = truncate(e.Peer, MaxIDLen)
	e.Text = truncate(e.Text, MaxTextLen)
	r.mu.Lock()
	defer r.mu.Unlock()
	// Stamp and Seq are assigned under the same lock, so that they order events alike.
	e.Stamp, e.At = r.clock.tick()
	r.seq++
	e.Seq = r.seq
	r.events[(r.seq-1)%uint64(len(r.events))] = e
}

// truncate truncates a string to maxLen bytes. It copies the result, so that the original can be freed.
func truncate[S ~string](s S, maxLen int) S {
	if len(s) <= maxLen {
		return s
	}
	return S(strings.ToValidUTF8(strings.Clone(string(s[:maxLen])), ""))
}

// SendStamp returns the stamp for an outgoing message to another process.
func (r *Ring) SendStamp() Stamp {
	if r == nil {
		return 0
	}
	s, _ := r.clock.tick()
	return s
}

// ReceiveStamp processes the stamp of an incoming message. Events added later are ordered after it.
func (r *Ring) ReceiveStamp(s Stamp) {
	if r == nil {
		return
	}
	r.clock.receive(s)
}

// copyBatch is the number of events copied while holding the lock. Copying the whole ring takes several
// milliseconds, during which every request on this VM would be blocked.
const copyBatch = 1024

// Events returns copies of the selected events, oldest first, without those that are overwritten
// during the call.
func (r *Ring) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	last := r.seq
	r.mu.Unlock()
	var found []Event
	for next := uint64(0); next < last; {
		found, next = r.copyMatching(found, f, next, last)
	}
	return found
}

// copyMatching appends the selected events among the next batch to found. next and last are numbers of
// events, counted from 0; last is exclusive. It returns the number to continue at.
func (r *Ring) copyMatching(found []Event, f Filter, next, last uint64) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	first := r.seq - min(r.seq, size)
	next = max(next, first)
	end := min(next+copyBatch, last)
	for n := next; n < end; n++ {
		if e := &r.events[n%size]; f.Match(e) {
			found = append(found, *e)
		}
	}
	return found, max(end, next)
}

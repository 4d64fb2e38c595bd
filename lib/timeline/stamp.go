package timeline

import (
	"strconv"
	"strings"
	"sync"

	"snipeshift.example/lib/clock"
)

// Stamp is a timestamp of a hybrid logical clock: the upper 48 bits are milliseconds since the Unix
// epoch, the lower 16 a counter within one millisecond. If an event could have caused another, it has
// the smaller stamp, even if the wall clocks of their VMs differ. A receiver only advances its own
// stamps past a received one; it never adjusts its wall clock by it.
type Stamp uint64

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
)

// maxLead is the largest accepted lead of a received stamp over the local wall clock, in
// milliseconds. A stamp further ahead results from a wrong clock or a corrupt message. If it were
// accepted, all later events of all VMs would be dated in that future. It is ignored instead, and
// the events of its sender may be ordered wrongly.
const maxLead = 24 * 60 * clock.Minute

// Milli returns the millisecond part.
func (s Stamp) Milli() clock.Milli { return clock.Milli(s >> counterBits) }

// StampOf returns the first stamp of a millisecond, or zero if it is before 1970.
func StampOf(m clock.Milli) Stamp {
	if m < 0 {
		return 0
	}
	return Stamp(m) << counterBits
}

// MarshalText implements encoding.TextMarshaler: milliseconds, a dot and the counter. As a single
// number a stamp would exceed the precision of JSON decoders that use floats.
func (s Stamp) MarshalText() ([]byte, error) {
	text := strconv.AppendUint(nil, uint64(s.Milli()), 10)
	return strconv.AppendUint(append(text, '.'), uint64(s&counterMask), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler for the format of MarshalText.
func (s *Stamp) UnmarshalText(text []byte) error {
	head, tail, _ := strings.Cut(string(text), ".")
	milli, err := strconv.ParseUint(head, 10, 64-counterBits)
	if err != nil {
		return Class.New("invalid stamp %q: want milliseconds, a dot and a counter", text)
	}
	count, err := strconv.ParseUint(tail, 10, counterBits)
	if err != nil {
		return Class.New("invalid stamp %q: want milliseconds, a dot and a counter", text)
	}
	*s = StampOf(clock.Milli(milli)) | Stamp(count)
	return nil
}

// WallClock is the wall clock of the process.
type WallClock interface {
	Now() clock.Milli
}

// hybridClock is a hybrid logical clock. Its stamps increase strictly.
type hybridClock struct {
	wall WallClock
	mu   sync.Mutex
	// last is the largest stamp issued or received.
	last Stamp
}

// tick returns the next stamp and the wall-clock time at which it was issued.
func (h *hybridClock) tick() (Stamp, clock.Milli) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.wall.Now()
	h.last = max(h.last+1, StampOf(now))
	return h.last, now
}

// receive advances the clock past a stamp of another process, unless it is too far ahead.
func (h *hybridClock) receive(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Milli() > h.wall.Now()+maxLead {
		return
	}
	h.last = max(h.last, s)
}

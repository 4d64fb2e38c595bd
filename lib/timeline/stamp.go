package timeline

import (
	"strconv"
	"strings"
	"sync"

	"snipeshift.example/lib/clock"
)

// Stamp is an instant of a hybrid logical clock: the upper 48 bits are
// milliseconds since the Unix epoch, the lower 16 count events within one.
// If one event could have caused another, its stamp is the smaller one, however
// far apart the clocks of their VMs are. It is safe to send: receivers never
// compare it with their own wall clock, they only move their own stamps past it.
type Stamp uint64

const (
	stampBits = 16
	countMask = 1<<stampBits - 1
)

// maxLead is how far ahead of the own clock a received stamp may be. A stamp
// further ahead comes from a broken clock or message; taking it over would put
// every later event of all VMs into that future. It is ignored, and events of
// that one sender may then be drawn out of order.
const maxLead = 24 * 60 * clock.Minute

// Milli returns the millisecond part.
func (s Stamp) Milli() clock.Milli { return clock.Milli(s >> stampBits) }

// StampOf returns the first stamp of a millisecond; instants before 1970 read as zero.
func StampOf(m clock.Milli) Stamp {
	if m < 0 {
		return 0
	}
	return Stamp(m) << stampBits
}

// MarshalText writes milliseconds, a dot and the count: as one number it would
// be too large for readers that hold numbers as floats.
func (s Stamp) MarshalText() ([]byte, error) {
	text := strconv.AppendUint(nil, uint64(s.Milli()), 10)
	return strconv.AppendUint(append(text, '.'), uint64(s&countMask), 10), nil
}

// UnmarshalText reads what MarshalText wrote.
func (s *Stamp) UnmarshalText(text []byte) error {
	head, tail, _ := strings.Cut(string(text), ".")
	milli, err := strconv.ParseUint(head, 10, 64-stampBits)
	if err != nil {
		return Class.New("no stamp %q: use milliseconds, a dot and a count", text)
	}
	count, err := strconv.ParseUint(tail, 10, stampBits)
	if err != nil {
		return Class.New("no stamp %q: use milliseconds, a dot and a count", text)
	}
	*s = StampOf(clock.Milli(milli)) | Stamp(count)
	return nil
}

// WallClock reads the time of this process.
type WallClock interface {
	Now() clock.Milli
}

// hybrid hands out stamps that rise strictly.
type hybrid struct {
	wall WallClock
	mu   sync.Mutex
	// last is the largest stamp given out or received.
	last Stamp
}

// tick returns the next stamp and the wall time it was taken at.
func (h *hybrid) tick() (Stamp, clock.Milli) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.wall.Now()
	h.last = max(h.last+1, StampOf(now))
	return h.last, now
}

// receive moves past a stamp that came from another process.
func (h *hybrid) receive(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Milli() > h.wall.Now()+maxLead {
		return
	}
	h.last = max(h.last, s)
}

package span

import "snipeshift.example/lib/clock"

// Times for which an upstream is shut out.
const (
	// firstShut is how long an upstream that failed is left alone at first. A
	// crashed one is back after some seconds; trying it costs one request a
	// delay, so the first rest is short and each further one doubles.
	firstShut clock.Milli = 500
	// longestShut bounds the doubling: an upstream that is well again is
	// missed for no longer than this.
	longestShut = 4 * clock.Second
	// strikesAllowed is how many suspicious ends in a row an upstream has before it
	// is shut out. A single broken answer happens to sound upstreams as well.
	strikesAllowed = 2
)

// health is what the outcomes of its sends say of an upstream.
type health struct {
	// strikes counts suspicious ends since the last good one.
	strikes int
	// until is when the next request may try it.
	until clock.Milli
	// last is the length of the last shutting out.
	last clock.Milli
	// helps is when it may be asked again to read a part for another engine, declined the length of the last
	// time for which it was not.
	helps, declined clock.Milli
}

// open reports whether requests may be sent.
func (h *health) open(now clock.Milli) bool { return now >= h.until }

// note takes the end of one send.
func (h *health) note(now clock.Milli, o Outcome) {
	switch o {
	case Done:
		*h = health{helps: h.helps, declined: h.declined}
	case Unreachable:
		h.shut(now)
	case Silent, Broken:
		h.strikes++
		if h.strikes >= strikesAllowed {
			h.shut(now)
		}
	case Failed, Full, Left:
	}
}

// shut leaves the upstream alone, longer each time it fails again.
func (h *health) shut(now clock.Milli) {
	if !h.open(now) {
		return
	}
	h.last = min(max(firstShut, 2*h.last), longestShut)
	h.until = now + h.last
}

// Times for which an engine that declined to read a part for another one is not asked to.
const (
	firstDeclined   = clock.Second
	longestDeclined = 8 * clock.Second
)

// decline notes that the engine did not read a part for another one.
// Engines that are being emptied while the store is away decline parts of new prompts, and nobody knows that they leave.
func (h *health) decline(now clock.Milli) {
	if now < h.helps {
		return
	}
	h.declined = min(max(firstDeclined, 2*h.declined), longestDeclined)
	h.helps = now + h.declined
}

// helped notes that it read a part.
func (h *health) helped() { h.helps, h.declined = 0, 0 }

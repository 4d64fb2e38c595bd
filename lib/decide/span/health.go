package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Times and counts for excluding failing upstreams.
const (
	// firstExclusion is how long an upstream is excluded after a first failure. A crashed one is
	// back after some seconds, and trying it costs one request a delay, so the first exclusion is
	// short and each further one doubles.
	firstExclusion clock.Milli = 500
	// maxExclusion bounds the doubling, so that a recovered upstream is not left unused for longer.
	maxExclusion = 4 * clock.Second
	// failuresToExclude is how many suspicious outcomes in a row exclude an upstream. A single
	// broken answer occurs on sound upstreams as well.
	failuresToExclude = 2
)

// health is the state of an upstream as shown by the outcomes of sends.
type health struct {
	// failures counts suspicious outcomes since the last success.
	failures int
	// excludedUntil is when the next request may try the upstream.
	excludedUntil clock.Milli
	// lastExclusion is the length of the last exclusion.
	lastExclusion clock.Milli
	// helpsFrom is when the upstream may be used as a helper again, and declinePause the length of
	// the last pause for which it was not.
	helpsFrom, declinePause clock.Milli
}

// available reports whether requests may be sent.
func (h *health) available(now clock.Milli) bool { return now >= h.excludedUntil }

// record updates the state with the outcome of one send.
func (h *health) record(now clock.Milli, o Outcome) {
	switch o {
	case Done:
		*h = health{helpsFrom: h.helpsFrom, declinePause: h.declinePause}
	case Unreachable, Crashed:
		h.exclude(now)
	case Silent, Broken:
		h.failures++
		if h.failures >= failuresToExclude {
			h.exclude(now)
		}
	case Failed, Full, Left:
	}
}

// Exclusion is the result of a failed send that makes an upstream unavailable to all gates for a while.
type Exclusion struct {
	Upstream decide.UpstreamID
	Gate     decide.GateID
	Outcome  Outcome
	// Until is when the next request may try the upstream.
	Until clock.Milli
}

// exclude excludes the upstream, for twice as long as the last time. It does nothing during an
// exclusion.
func (h *health) exclude(now clock.Milli) {
	if !h.available(now) {
		return
	}
	h.lastExclusion = min(max(firstExclusion, 2*h.lastExclusion), maxExclusion)
	h.excludedUntil = now + h.lastExclusion
}

// Bounds of the time for which an engine that declined to be a helper is not used as one.
const (
	firstDeclinePause = clock.Second
	maxDeclinePause   = 8 * clock.Second
)

// recordDecline records that the engine declined to compute a part of a prompt as a helper. Engines
// that are being drained while the store is unavailable do so, and the owner can't learn from the
// store that they are leaving.
func (h *health) recordDecline(now clock.Milli) {
	if now < h.helpsFrom {
		return
	}
	h.declinePause = min(max(firstDeclinePause, 2*h.declinePause), maxDeclinePause)
	h.helpsFrom = now + h.declinePause
}

// recordHelp records that the engine computed a part as a helper.
func (h *health) recordHelp() { h.helpsFrom, h.declinePause = 0, 0 }

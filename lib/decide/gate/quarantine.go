package gate

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const (
	// MaxCrashes is how many upstreams a request may cost: one death may be a
	// coincidence, a second while it ran alone is not.
	MaxCrashes = 2
	// DefaultHold is how long an entry lasts after its last death: longer than
	// callers go on repeating a failed request, short enough that a fixed engine
	// gets another chance within a shift.
	DefaultHold = 30 * clock.Minute
	// suspectsKept bounds the table. An engine that dies under 200 requests makes
	// 200 suspects; the oldest singles are forgotten before any quarantined one.
	suspectsKept = 4096
	// sameDeath is how long after a death of an upstream another word of it is of the
	// same death: each gate looks at the upstream for up to a second before it tells.
	sameDeath = 2 * clock.Second
)

// Verdict tells how a request with some fingerprint may run.
type Verdict uint8

// The verdicts on a request.
const (
	Clean       Verdict = iota // runs as usual
	Suspected                  // an upstream died while it ran: runs alone
	Quarantined                // two did: never runs again
)

// Suspect is one entry of the table, as it travels to other daemons.
type Suspect struct {
	Fingerprint uint64
	Deaths      int
	// Left is how long the entry still holds.
	Left clock.Milli
	// Last is the upstream of the newest death counted, Born its life, Ago the time since.
	Last decide.UpstreamID
	Born decide.Incarnation
	Ago  clock.Milli
}

// Quarantine counts the upstreams that died while they ran a request, by the
// request's fingerprint. The fault it is made for is a request that crashes every
// engine which runs it and whose caller sends it again and again: each repeat
// would take down one more engine with all that runs there.
//
// A suspect that is still running elsewhere must not be started a second time
// at once: Begin and End keep one run a fingerprint on this VM.
type Quarantine struct {
	hold    clock.Milli
	entries map[uint64]entry
	running map[uint64]int
}

type entry struct {
	deaths int
	until  clock.Milli
	// last is the upstream of the newest death counted, born its life, at when that was.
	last decide.UpstreamID
	born decide.Incarnation
	at   clock.Milli
}

// NewQuarantine returns an empty table; hold zero takes DefaultHold.
func NewQuarantine(hold clock.Milli) *Quarantine {
	if hold <= 0 {
		hold = DefaultHold
	}
	return &Quarantine{hold: hold, entries: make(map[uint64]entry), running: make(map[uint64]int)}
}

// Check tells how a request may run now.
func (q *Quarantine) Check(now clock.Milli, fingerprint uint64) Verdict {
	e, ok := q.entries[fingerprint]
	if !ok || e.until <= now {
		return Clean
	}
	if e.deaths >= MaxCrashes {
		return Quarantined
	}
	return Suspected
}

// Begin asks to run a request now and counts it as running. It is false for a
// quarantined one, and for a suspect of which another copy runs: two copies at
// once could cost a second and a third upstream before the second death is known.
func (q *Quarantine) Begin(now clock.Milli, fingerprint uint64) bool {
	v := q.Check(now, fingerprint)
	if v == Quarantined || v == Suspected && q.running[fingerprint] > 0 {
		return false
	}
	q.running[fingerprint]++
	return true
}

// End undoes one Begin.
func (q *Quarantine) End(fingerprint uint64) {
	if q.running[fingerprint]--; q.running[fingerprint] <= 0 {
		delete(q.running, fingerprint)
	}
}

// RecordCrash records that an upstream died while it ran the request, and returns the
// verdict on it from now on.
//
// An engine that dies under several copies of one request dies once. Counted by copy,
// an alert lookup that many callers send in the same words would be refused to all of
// them for half an hour because one engine lost power.
// Lives that are told apart die apart, however soon one follows another.
func (q *Quarantine) RecordCrash(now clock.Milli, fingerprint uint64, u decide.UpstreamID, born decide.Incarnation) Verdict {
	e := q.entries[fingerprint]
	if e.until <= now {
		e = entry{}
	}
	if e.deaths > 0 && e.last == u && e.born == born && (born > 0 || now-e.at < sameDeath) {
		return q.Check(now, fingerprint)
	}
	q.put(now, fingerprint, entry{e.deaths + 1, now + q.hold, u, born, now})
	return q.Check(now, fingerprint)
}

// Clear drops a suspect that ran alone to its end: the death was a coincidence.
// A quarantined one stays.
func (q *Quarantine) Clear(now clock.Milli, fingerprint uint64) {
	if q.Check(now, fingerprint) == Suspected {
		delete(q.entries, fingerprint)
	}
}

// Merge takes the table of a peer, entry by entry the larger count. Counts are
// not added up: both may have heard of the same death.
func (q *Quarantine) Merge(now clock.Milli, suspects []Suspect) {
	for _, s := range suspects {
		left := min(s.Left, q.hold)
		if left <= 0 {
			continue
		}
		e := q.entries[s.Fingerprint]
		if e.until <= now {
			e = entry{}
		}
		if s.Deaths > e.deaths || s.Deaths == e.deaths && now+left > e.until {
			q.put(now, s.Fingerprint, entry{s.Deaths, max(e.until, now+left), s.Last, s.Born, now - s.Ago})
		}
	}
}

// Digest lists the entries that hold, worst first, at most limit of them.
func (q *Quarantine) Digest(now clock.Milli, limit int) []Suspect {
	list := make([]Suspect, 0, len(q.entries))
	for f, e := range q.entries {
		if e.until <= now {
			delete(q.entries, f)
			continue
		}
		list = append(list, Suspect{f, e.deaths, e.until - now, e.last, e.born, now - e.at})
	}
	slices.SortFunc(list, worse)
	return list[:min(limit, len(list))]
}

// worse orders quarantined ones first, then the newest.
func worse(a, b Suspect) int {
	switch {
	case a.Deaths != b.Deaths:
		return b.Deaths - a.Deaths
	case a.Left != b.Left:
		return int(b.Left - a.Left)
	case a.Fingerprint < b.Fingerprint:
		return -1
	default:
		return 1
	}
}

func (q *Quarantine) put(now clock.Milli, fingerprint uint64, e entry) {
	q.entries[fingerprint] = e
	if len(q.entries) <= suspectsKept {
		return
	}
	kept := q.Digest(now, suspectsKept/2)
	clear(q.entries)
	for _, s := range kept {
		q.entries[s.Fingerprint] = entry{s.Deaths, now + s.Left, s.Last, s.Born, now - s.Ago}
	}
}

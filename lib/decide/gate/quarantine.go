package gate

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const (
	// MaxCrashes is the number of upstream crashes after which a request is quarantined. One crash
	// may be a coincidence; a second one while the request ran alone is not.
	MaxCrashes = 2
	// DefaultHold is how long an entry lasts after its last crash: longer than clients repeat a
	// failed request, short enough that a repaired engine may run the request again within a work
	// shift.
	DefaultHold = 30 * clock.Minute
	// maxSuspects bounds the table. A crash of an engine with 200 requests makes 200 suspects; the
	// oldest entries with one crash are dropped before any quarantined one.
	maxSuspects = 4096
	// sameCrashWindow is the time after a recorded crash of an upstream in which further reports
	// are attributed to the same crash: each gate probes the upstream for up to a second before it
	// reports.
	sameCrashWindow = 2 * clock.Second
)

// Verdict determines how a request with some fingerprint may run.
type Verdict uint8

// Verdicts.
const (
	Clean       Verdict = iota // runs as usual
	Suspected                  // one upstream crashed while running it: runs alone
	Quarantined                // two upstreams crashed: is refused
)

// Suspect is one entry of the table as exchanged between daemons.
type Suspect struct {
	Fingerprint uint64
	Deaths      int
	// Left is the remaining validity of the entry.
	Left clock.Milli
	// Last is the upstream of the newest crash counted, Born its incarnation, Ago the time since
	// the crash.
	Last decide.UpstreamID
	Born decide.Incarnation
	Ago  clock.Milli
}

// Quarantine counts, by request fingerprint, the upstreams that crashed while running a request. It
// stops a request that crashes every engine that runs it and whose client sends it again and again:
// each repetition would take down one more engine with everything that runs there.
//
// A suspect that is still running must not be started a second time concurrently: Begin and End
// allow one run per fingerprint on this VM.
type Quarantine struct {
	retention clock.Milli
	entries   map[uint64]entry
	running   map[uint64]int
}

type entry struct {
	crashes int
	until   clock.Milli
	// upstream and incarnation identify the upstream of the newest crash counted, crashedAt the
	// time.
	upstream    decide.UpstreamID
	incarnation decide.Incarnation
	crashedAt   clock.Milli
}

// NewQuarantine returns an empty table. A zero hold selects DefaultHold.
func NewQuarantine(hold clock.Milli) *Quarantine {
	if hold <= 0 {
		hold = DefaultHold
	}
	return &Quarantine{retention: hold, entries: make(map[uint64]entry), running: make(map[uint64]int)}
}

// Check returns the current verdict on a request.
func (q *Quarantine) Check(now clock.Milli, fingerprint uint64) Verdict {
	e, ok := q.entries[fingerprint]
	if !ok || e.until <= now {
		return Clean
	}
	if e.crashes >= MaxCrashes {
		return Quarantined
	}
	return Suspected
}

// Begin reports whether a request may run now and counts it as running if so. It returns false for
// a quarantined request, and for a suspect of which another copy is running: two concurrent copies
// could crash a second and a third upstream before the second crash is known.
func (q *Quarantine) Begin(now clock.Milli, fingerprint uint64) bool {
	v := q.Check(now, fingerprint)
	if v == Quarantined || v == Suspected && q.running[fingerprint] > 0 {
		return false
	}
	q.running[fingerprint]++
	return true
}

// End undoes one call of Begin.
func (q *Quarantine) End(fingerprint uint64) {
	if q.running[fingerprint]--; q.running[fingerprint] <= 0 {
		delete(q.running, fingerprint)
	}
}

// RecordCrash records that an upstream crashed while it ran the request, and returns the new
// verdict.
//
// A crash under several copies of one request counts once. Otherwise a harmless request that many
// clients send with identical content would be refused to all of them for half an hour because one
// engine lost power. Crashes of different known incarnations count separately, however close in
// time.
func (q *Quarantine) RecordCrash(now clock.Milli, fingerprint uint64, u decide.UpstreamID, incarnation decide.Incarnation) Verdict {
	e := q.entries[fingerprint]
	if e.until <= now {
		e = entry{}
	}
	if e.crashes > 0 && e.upstream == u && e.incarnation == incarnation && (incarnation > 0 || now-e.crashedAt < sameCrashWindow) {
		return q.Check(now, fingerprint)
	}
	q.put(now, fingerprint, entry{e.crashes + 1, now + q.retention, u, incarnation, now})
	return q.Check(now, fingerprint)
}

// Clear drops a suspect that ran alone to completion: the crash was a coincidence. Quarantined
// entries stay.
func (q *Quarantine) Clear(now clock.Milli, fingerprint uint64) {
	if q.Check(now, fingerprint) == Suspected {
		delete(q.entries, fingerprint)
	}
}

// Merge merges the table of a peer, using the larger count for each entry. Counts are not added,
// since both may include the same crash.
func (q *Quarantine) Merge(now clock.Milli, suspects []Suspect) {
	for _, s := range suspects {
		left := min(s.Left, q.retention)
		if left <= 0 {
			continue
		}
		e := q.entries[s.Fingerprint]
		if e.until <= now {
			e = entry{}
		}
		if s.Deaths > e.crashes || s.Deaths == e.crashes && now+left > e.until {
			q.put(now, s.Fingerprint, entry{s.Deaths, max(e.until, now+left), s.Last, s.Born, now - s.Ago})
		}
	}
}

// Digest returns at most limit valid entries in the order of compareSuspects.
func (q *Quarantine) Digest(now clock.Milli, limit int) []Suspect {
	list := make([]Suspect, 0, len(q.entries))
	for f, e := range q.entries {
		if e.until <= now {
			delete(q.entries, f)
			continue
		}
		list = append(list, Suspect{f, e.crashes, e.until - now, e.upstream, e.incarnation, now - e.crashedAt})
	}
	slices.SortFunc(list, compareSuspects)
	return list[:min(limit, len(list))]
}

// compareSuspects orders entries by descending number of crashes, then newest first.
func compareSuspects(a, b Suspect) int {
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
	if len(q.entries) <= maxSuspects {
		return
	}
	kept := q.Digest(now, maxSuspects/2)
	clear(q.entries)
	for _, s := range kept {
		q.entries[s.Fingerprint] = entry{s.Deaths, now + s.Left, s.Last, s.Born, now - s.Ago}
	}
}

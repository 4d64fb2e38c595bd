package blame

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
)

// Table records the crashes and answers of one service. It is not safe for concurrent use.
type Table struct {
	// runs holds the sends that have not ended. unproven counts, by part, those of them that have not lasted long enough
	// to acquit their parts.
	runs     map[Run]*run
	unproven map[Part]int
	// begun lists the unproven runs with an answer, in the order in which their answers began.
	begun []*run
	// answered holds the times at which the latest proven answer on a part began, in two generations.
	answered, answeredBefore map[Part]clock.Milli
	crashes                  []*crash
	suspects                 map[Part]*suspect
	changes                  []Change
	// spare are rows for reuse, so that a send in steady state does not allocate.
	spare []*run
}

// run is one send.
type run struct {
	id        Run
	upstream  Upstream
	parts     []Part
	grantedAt clock.Milli
	// begunAt is the time of the first event; zero before it.
	begunAt clock.Milli
	// proven is set once the answer has acquitted the parts, ended once the send has ended, listed while the run is in
	// Table.begun.
	proven, ended, listed bool
}

// crash is one crash of an upstream.
type crash struct {
	upstream Upstream
	at       clock.Milli
}

// suspect is a part that was part of a request under which an upstream crashed, and has not been acquitted since.
type suspect struct {
	// crashes are the crashes since the last acquittal, by their times; never empty.
	crashes []*crash
	// familiar is set if the part was answered shortly before the first of them.
	familiar bool
	// seenAt is when the latest crash was reported or a request was last refused for the part.
	seenAt clock.Milli
}

// New returns an empty table.
func New() *Table {
	return &Table{runs: map[Run]*run{}, unproven: map[Part]int{}, answered: map[Part]clock.Milli{}, suspects: map[Part]*suspect{}}
}

// Granted records that a request that holds these shared parts is sent to an upstream.
func (t *Table) Granted(now clock.Milli, id Run, u Upstream, parts []Part) {
	if len(parts) == 0 || t.runs[id] != nil {
		return
	}
	r := t.newRun()
	r.id, r.upstream, r.grantedAt = id, u, now
	r.parts = appendDistinct(r.parts, parts)
	t.runs[id] = r
	for _, p := range r.parts {
		t.unproven[p]++
	}
}

// newRun returns an empty row.
func (t *Table) newRun() *run {
	n := len(t.spare)
	if n == 0 {
		return &run{}
	}
	r := t.spare[n-1]
	t.spare = t.spare[:n-1]
	return r
}

// recycle makes the row of a run available again.
func (t *Table) recycle(r *run) {
	if r.ended && !r.listed {
		*r = run{parts: r.parts[:0]}
		t.spare = append(t.spare, r)
	}
}

// appendDistinct appends the first MaxParts parts without repetitions.
func appendDistinct(to, parts []Part) []Part {
	for _, p := range parts[:min(len(parts), MaxParts)] {
		if !slices.Contains(to, p) {
			to = append(to, p)
		}
	}
	return to
}

// Begun records that the first event of the answer to a run has arrived.
func (t *Table) Begun(now clock.Milli, id Run) {
	t.Advance(now)
	if r := t.runs[id]; r != nil && r.begunAt == 0 {
		r.begunAt, r.listed = now, true
		t.begun = append(t.begun, r)
	}
}

// Answered records that a run has ended with a complete answer.
func (t *Table) Answered(now clock.Milli, id Run) {
	t.Advance(now)
	r := t.runs[id]
	if r == nil {
		return
	}
	if r.begunAt == 0 {
		r.begunAt = r.grantedAt // the message about the first event is late or lost
	}
	t.prove(r)
	t.end(r)
}

// Crashed records that the upstream of a run broke off the response and is gone. It speaks against the parts of the run
// unless its answer had lasted long enough by then.
func (t *Table) Crashed(now clock.Milli, id Run) {
	t.Advance(now)
	r := t.runs[id]
	if r == nil {
		return
	}
	if !r.proven {
		t.accuse(now, r)
	}
	t.end(r)
}

// Ended records that a run has ended in any other way, which says nothing about its parts.
func (t *Table) Ended(now clock.Milli, id Run) {
	t.Advance(now)
	if r := t.runs[id]; r != nil {
		t.end(r)
	}
}

// Advance acquits the parts of runs whose answers have lasted long enough.
func (t *Table) Advance(now clock.Milli) {
	n := 0
	for ; n < len(t.begun) && (t.begun[n].ended || now-t.begun[n].begunAt >= ProveTime); n++ {
		r := t.begun[n]
		if !r.ended {
			t.prove(r)
		}
		r.listed = false
		t.recycle(r)
	}
	t.begun = slices.Delete(t.begun, 0, n)
}

// prove records that the answer to a run acquits its parts.
func (t *Table) prove(r *run) {
	if r.proven {
		return
	}
	r.proven = true
	t.release(r)
	for _, p := range r.parts {
		t.acquit(p, r.begunAt)
	}
}

// end removes a run.
func (t *Table) end(r *run) {
	if !r.proven {
		t.release(r)
	}
	r.ended = true
	delete(t.runs, r.id)
	t.recycle(r)
}

// release removes a run from the counts of unproven ones.
func (t *Table) release(r *run) {
	for _, p := range r.parts {
		if t.unproven[p]--; t.unproven[p] <= 0 {
			delete(t.unproven, p)
		}
	}
}

// accuse records a crash against the parts of a run.
func (t *Table) accuse(now clock.Milli, r *run) {
	x := t.crash(now, r.upstream)
	for _, p := range r.parts {
		if at, ok := t.answeredAt(p); ok && at > x.at {
			continue // answered between the crash and this report
		}
		t.add(now, p, x)
	}
}

// add records a crash against one part.
func (t *Table) add(now clock.Milli, p Part, x *crash) {
	s := t.suspects[p]
	if s == nil {
		at, ok := t.answeredAt(p)
		s = &suspect{familiar: ok && x.at-at < familiarTime}
		t.suspects[p] = s
		t.limitSuspects()
	}
	s.seenAt = now
	if slices.Contains(s.crashes, x) {
		return
	}
	s.crashes = append(s.crashes, x)
	slices.SortStableFunc(s.crashes, func(x, y *crash) int { return cmp.Compare(x.at, y.at) })
	if len(s.crashes) >= s.crashesNeeded() {
		t.note(now, Blamed, p, s)
	}
}

// crash returns the record of an upstream's crash at this time, a new one if there is none.
func (t *Table) crash(at clock.Milli, u Upstream) *crash {
	for _, x := range t.crashes {
		if x.upstream == u && (u.Born != 0 || max(x.at-at, at-x.at) < sameCrashTime) {
			return x
		}
	}
	x := &crash{upstream: u, at: at}
	t.crashes = append(t.crashes, x)
	t.limitCrashes()
	return x
}

// limitCrashes removes crashes once there are too many: those that speak against no part, or else the oldest.
func (t *Table) limitCrashes() {
	if len(t.crashes) <= maxRecords {
		return
	}
	newest := t.crashes[len(t.crashes)-1]
	t.crashes = slices.DeleteFunc(t.crashes, func(x *crash) bool { return x != newest && !t.speaks(x) })
	if len(t.crashes) <= maxRecords {
		return
	}
	oldest := t.crashes[0]
	t.crashes = slices.Delete(t.crashes, 0, 1)
	for p, s := range t.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(x *crash) bool { return x == oldest })
		if len(s.crashes) == 0 {
			delete(t.suspects, p)
		}
	}
}

// speaks reports whether a crash speaks against any part.
func (t *Table) speaks(x *crash) bool {
	for _, s := range t.suspects {
		if slices.Contains(s.crashes, x) {
			return true
		}
	}
	return false
}

// acquit removes the crashes before an answer on a part from those that speak against it.
func (t *Table) acquit(p Part, begunAt clock.Milli) {
	t.recordAnswer(p, begunAt)
	s := t.suspects[p]
	if s == nil {
		return
	}
	if s.crashes[0].at >= begunAt {
		return
	}
	if len(s.crashes) >= crashesToCopy {
		t.note(begunAt, Acquitted, p, s)
	}
	s.familiar = true
	s.crashes = slices.DeleteFunc(s.crashes, func(x *crash) bool { return x.at < begunAt })
	if len(s.crashes) == 0 {
		delete(t.suspects, p)
	}
}

// recordAnswer records when an answer on a part began.
func (t *Table) recordAnswer(p Part, begunAt clock.Milli) {
	if at, ok := t.answeredAt(p); ok && begunAt <= at {
		return
	}
	t.answered[p] = begunAt
	if len(t.answered) > maxAnswered {
		t.answered, t.answeredBefore = map[Part]clock.Milli{}, t.answered
	}
}

// answeredAt returns when the latest proven answer on a part began.
func (t *Table) answeredAt(p Part) (clock.Milli, bool) {
	at, ok := t.answered[p]
	if !ok {
		at, ok = t.answeredBefore[p]
	}
	return at, ok
}

// limitSuspects removes the suspects of which least is known once there are too many.
func (t *Table) limitSuspects() {
	for len(t.suspects) > maxSuspects {
		var least Part
		var x *suspect
		for p, s := range t.suspects {
			if x == nil || len(s.crashes) < len(x.crashes) || len(s.crashes) == len(x.crashes) && s.seenAt < x.seenAt {
				least, x = p, s
			}
		}
		delete(t.suspects, least)
	}
}

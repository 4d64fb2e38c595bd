package blame

import "snipeshift.example/lib/clock"

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of Change.
const (
	// Blamed means that a crash settled the blame, or confirmed it.
	Blamed ChangeKind = "blamed"
	// Acquitted means that an answer cleared the part, Lapsed that no request has held it for a long time, and Pardoned
	// that the operator cleared it.
	Acquitted ChangeKind = "acquitted"
	Lapsed    ChangeKind = "lapsed"
	Pardoned  ChangeKind = "pardoned"
)

// Change is a change of what is known of a part with several crashes.
type Change struct {
	Kind ChangeKind
	Part Part
	// Crashes are the upstreams that crashed under the part, First the time since the first of them.
	Crashes []string
	First   clock.Milli
	// Familiar is set if the part was answered shortly before.
	Familiar bool
}

// maxChanges bounds the changes that nobody has taken.
const maxChanges = 64

// note records a change.
func (t *Table) note(now clock.Milli, k ChangeKind, p Part, s *suspect) {
	if len(t.changes) >= maxChanges {
		return
	}
	c := Change{Kind: k, Part: p, Familiar: s.familiar}
	for _, x := range s.crashes {
		c.Crashes = append(c.Crashes, x.upstream.ID)
	}
	if len(s.crashes) > 0 {
		c.First = now - s.crashes[0].at
	}
	t.changes = append(t.changes, c)
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	cs := t.changes
	t.changes = nil
	return cs
}

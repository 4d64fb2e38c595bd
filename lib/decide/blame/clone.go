package blame

import (
	"maps"
	"slices"
)

// Clone returns a copy of the table that shares with it nothing that a verdict or a send changes. Rows of crashes are shared:
// only reports of crashes change them.
func (t *Table) Clone() *Table {
	copies := map[*run]*run{}
	copyOf := func(r *run) *run {
		if c := copies[r]; c != nil {
			return c
		}
		c := *r
		c.parts = slices.Clone(r.parts)
		copies[r] = &c
		return &c
	}
	c := &Table{
		runs: make(map[Run]*run, len(t.runs)), unproven: maps.Clone(t.unproven),
		answered: maps.Clone(t.answered), answeredBefore: maps.Clone(t.answeredBefore),
		crashes: slices.Clone(t.crashes), suspects: make(map[Part]*suspect, len(t.suspects)), changes: slices.Clone(t.changes),
	}
	for id, r := range t.runs {
		c.runs[id] = copyOf(r)
	}
	for _, r := range t.begun {
		c.begun = append(c.begun, copyOf(r))
	}
	for p, s := range t.suspects {
		x := *s
		x.crashes = slices.Clone(s.crashes)
		c.suspects[p] = &x
	}
	return c
}

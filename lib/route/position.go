package route

import "cmp"

// Position is a point in the store's history: a revision number and the era in which it was
// assigned. The zero Position is before all others.
type Position struct {
	Era  Era
	Mark StoreRevision
}

// After reports whether p is later than o. When the store has restarted from an older copy, its
// writes are later than all earlier ones, although their revision numbers may be lower; so the era
// is compared first.
func (p Position) After(o Position) bool { return p.compare(o) > 0 }

// Later returns the later of two positions.
func Later(p, o Position) Position {
	if o.After(p) {
		return o
	}
	return p
}

func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Mark, o.Mark))
}

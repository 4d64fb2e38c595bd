package route

import "cmp"

// Position is a place in the store's history: a revision, in the era that gave it out. The zero Position is
// before everything.
type Position struct {
	Era  Era
	Mark StoreRevision
}

// After reports whether p is later than o. The store may come back from an older copy of itself: what it writes then is later than
// all that was before, though its revisions are lower.
func (p Position) After(o Position) bool { return p.compare(o) > 0 }

// Later is the later of two positions.
func Later(p, o Position) Position {
	if o.After(p) {
		return o
	}
	return p
}

func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Mark, o.Mark))
}

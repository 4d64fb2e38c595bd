package timeline

import (
	"cmp"
	"slices"
)

// Merge merges the events of several processes into one order in which no effect precedes its
// cause. Events without a causal relation are ordered roughly by wall clock. Duplicates are removed.
func Merge(parts [][]Event) []Event {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool {
		return compare(a, b) == 0
	})
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp, b.Stamp),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}

package forecast

import (
	"cmp"
	"math"
	"slices"
)

// End is the number of the interval in which work in progress is expected to end, counted from time
// zero of the caller's clock.
type End int64

// EndAt returns the interval of an instant in milliseconds.
func EndAt(at float64) End { return End(math.Floor(at / Interval)) }

// Ends counts the work in progress by its expected end. Grants and their ends change the counts, so
// that a computation of the capacities does not read each request in progress.
type Ends struct {
	// counts are in ascending order of their intervals; none is zero.
	counts []endCount
}

type endCount struct {
	end End
	n   int
}

// Add adds n requests that end in an interval; n may be negative.
func (e *Ends) Add(end End, n int) {
	i, found := slices.BinarySearchFunc(e.counts, end, func(c endCount, end End) int { return cmp.Compare(c.end, end) })
	if !found {
		e.counts = slices.Insert(e.counts, i, endCount{end, n})
		return
	}
	if e.counts[i].n += n; e.counts[i].n == 0 {
		e.counts = slices.Delete(e.counts, i, i+1)
	}
}

// Clone returns an independent copy.
func (e *Ends) Clone() Ends { return Ends{slices.Clone(e.counts)} }

// AddEnds adds a place for each request in progress, from its expected end on.
func (s *Supply) AddEnds(e *Ends) {
	for _, c := range e.counts {
		if i := s.remaining(c.end); i < intervals {
			s.places[i] += float64(c.n)
		}
	}
}

// PostponeEnds corrects AddEnds for requests whose upstream accepts none before an instant, in
// milliseconds from now. Their places are available from that instant on; none are with an instant
// after the horizon.
func (s *Supply) PostponeEnds(ends []End, from float64) {
	first, ok := s.index(from)
	if !ok {
		first = intervals
	}
	for _, end := range ends {
		i := s.remaining(end)
		if i < intervals {
			s.places[i]--
		}
		if i = max(i, first); i < intervals {
			s.places[i]++
		}
	}
}

// remaining returns the interval in which work is expected to end, see Remaining.
func (s *Supply) remaining(end End) int {
	left := int64(end) - s.start
	return int(min(max(left, -left), intervals))
}

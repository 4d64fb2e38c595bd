package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
)

// This file handles a phase of long prompts of very different lengths, about as many as the engines
// can prefill. If the shortest went first, the largest would wait until their aims are missed
// although the others had time; if the order were by aims alone, each prompt too many would make
// all behind it late. So large prompts are ordered by their aims, and where one would miss its aim
// behind those before it, the largest of them is deferred, so that as few as possible are late.

// orderedQueue returns the queue in the order of placing. Requests that can still meet their aims
// come before late ones, since a late answer is worth a quarter of one in time, however late it is;
// then by urgency; then late ones that have taken a booking; then those that occupy engines for the
// shortest time, which serves most clients. Short requests that have begun come before all others.
// They are not refused for overload, so under lasting overload they would wait behind new requests
// until their deadlines.
// Large prompts in time are ordered by their aims, after all requests with a short prefill.
func (p *Pool) orderedQueue(now clock.Milli) []*queuedRequest {
	ws := make([]*queuedRequest, 0, len(p.queue))
	for _, w := range p.queue {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(x, y *queuedRequest) int { return compare(x, y, now) })
	ahead := 0.0
	for from := 0; from < len(ws); {
		to := from + 1
		for to < len(ws) && ws[to].class(now) == ws[from].class(now) && ws[to].Urgency == ws[from].Urgency {
			to++
		}
		if ws[from].class(now) == classLargeInTime {
			ahead = p.deferLargest(now, ws[from:to], ahead)
		}
		from = to
	}
	p.orderByShares(now, ws)
	return ws
}

// The classes of queued requests, in the order of placing.
const (
	classQuickInTime = iota
	classLargeInTime
	classLate
)

// class returns the present class of a request. A prompt counts as large if its prefill is too long
// for a whole group beside short streams. A smaller one competes with short requests for moments of
// engine time, not with large prompts for whole engines.
func (w *queuedRequest) class(now clock.Milli) int {
	switch {
	case w.late(now):
		return classLate
	case w.long && w.groupPrefillTime > interleavedPrefill:
		return classLargeInTime
	default:
		return classQuickInTime
	}
}

// begunRank returns 0 for a short request that has begun and 1 for all others.
func (w *queuedRequest) begunRank() int {
	if w.Begun && !w.long {
		return 0
	}
	return 1
}

// lateRank returns 0 for a request in time and 1 for a late one.
func (w *queuedRequest) lateRank(now clock.Milli) int {
	if w.late(now) {
		return 1
	}
	return 0
}

// compare orders queued requests as orderedQueue describes, before large prompts are deferred.
func compare(x, y *queuedRequest, now clock.Milli) int {
	first := cmp.Or(
		cmp.Compare(x.begunRank(), y.begunRank()), cmp.Compare(x.lateRank(now), y.lateRank(now)), cmp.Compare(x.Urgency, y.Urgency),
		cmp.Compare(x.class(now), y.class(now)), cmp.Compare(x.bookedRank(now), y.bookedRank(now)),
	)
	if first != 0 {
		return first
	}
	if x.class(now) == classLargeInTime {
		return cmp.Or(cmp.Compare(x.slack(now), y.slack(now)), cmp.Compare(x.ID, y.ID))
	}
	return cmp.Or(cmp.Compare(x.occupancy(), y.occupancy()), cmp.Compare(x.due(now), y.due(now)), cmp.Compare(x.ID, y.ID))
}

// occupancy returns the least time in milliseconds for which engines are occupied. A prompt that
// several engines prefill beside short streams occupies each for one part.
func (w *queuedRequest) occupancy() float64 {
	if w.long {
		return max(w.groupPrefillTime, interleavedPrefill)
	}
	return w.groupPrefillTime
}

// deferLargest orders large prompts, which must be sorted by slack. The argument ahead is the time
// in milliseconds in which all engines together prefill the prompts placed before these, and the
// result is that time with the prompts that are not deferred added. The order is that of Moore and
// Hodgson: with all engines taken for one machine of their total speed, no other order has fewer
// late prompts.
func (p *Pool) deferLargest(now clock.Milli, large []*queuedRequest, ahead float64) float64 {
	engines := float64(max(p.headroom.engines, 1))
	kept := make([]*queuedRequest, 0, len(large))
	var deferred []*queuedRequest
	for _, w := range large {
		kept = append(kept, w)
		ahead += w.prefillTime / engines
		if ahead <= w.slack(now)+w.groupPrefillTime {
			continue
		}
		i := indexOfLargest(kept)
		ahead -= kept[i].prefillTime / engines
		deferred = append(deferred, kept[i])
		kept = slices.Delete(kept, i, i+1)
	}
	slices.SortStableFunc(deferred, func(x, y *queuedRequest) int { return cmp.Compare(x.groupPrefillTime, y.groupPrefillTime) })
	copy(large, append(kept, deferred...))
	return ahead
}

// indexOfLargest returns the index of the prompt with the longest prefill.
func indexOfLargest(ws []*queuedRequest) int {
	largest := 0
	for i, w := range ws {
		if w.prefillTime > ws[largest].prefillTime {
			largest = i
		}
	}
	return largest
}

// slack returns how long a long prompt can still wait, in milliseconds.
func (w *queuedRequest) slack(now clock.Milli) float64 {
	return float64(w.Aim-now) - startDelay - w.groupPrefillTime
}

// late reports whether the request can no longer meet its aim.
func (w *queuedRequest) late(now clock.Milli) bool {
	return float64(w.Aim-now) < startDelay+w.groupPrefillTime
}

// due returns the aim, or the latest useful time of the first byte once the request is late.
func (w *queuedRequest) due(now clock.Milli) clock.Milli {
	if w.late(now) {
		return w.latestFirst
	}
	return w.Aim
}

package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
)

// The load of this file is a phase of long prompts of very unlike lengths, about as many as the engines can read. Read shortest
// first, the largest wait until their aims are lost, though the others had time; read by their aims alone, each
// one too many makes all behind it late. So large prompts are read by their aims, and where one would miss its aim behind those
// before it, the largest of them is put back: as few as possible are late.

// ordered is the queue in the order of placing: those that can still come in time before the late ones, since a late one is
// worth a quarter whenever it comes; then by urgency; then what takes engines for the shortest time, which serves most callers. Large
// prompts in time go by their aims, after all that is read sooner.
func (p *Pool) ordered(now clock.Milli) []*waiting {
	ws := make([]*waiting, 0, len(p.queue))
	for _, w := range p.queue {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(x, y *waiting) int { return compare(x, y, now) })
	ahead := 0.0
	for from := 0; from < len(ws); {
		to := from + 1
		for to < len(ws) && ws[to].class(now) == ws[from].class(now) && ws[to].Urgency == ws[from].Urgency {
			to++
		}
		if ws[from].class(now) == largeInTime {
			ahead = p.putBack(now, ws[from:to], ahead)
		}
		from = to
	}
	return ws
}

// The classes of queued requests, in the order of placing.
const (
	soonInTime = iota
	largeInTime
	late
)

// class is that of a request now. A prompt counts as large if a whole group could not read it beside short streams: what can be
// read there competes with short requests for moments, not with large prompts for engines.
func (w *waiting) class(now clock.Milli) int {
	switch {
	case w.late(now):
		return late
	case w.heavy && w.least > interleavedRead:
		return largeInTime
	default:
		return soonInTime
	}
}

// rank is 0 for what is in time, 1 for what is late.
func (w *waiting) rank(now clock.Milli) int {
	if w.late(now) {
		return 1
	}
	return 0
}

func compare(x, y *waiting, now clock.Milli) int {
	first := cmp.Or(cmp.Compare(x.rank(now), y.rank(now)), cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.class(now), y.class(now)))
	if first != 0 {
		return first
	}
	if x.class(now) == largeInTime {
		return cmp.Or(cmp.Compare(x.slack(now), y.slack(now)), cmp.Compare(x.ID, y.ID))
	}
	return cmp.Or(cmp.Compare(x.takes(), y.takes()), cmp.Compare(x.due(now), y.due(now)), cmp.Compare(x.ID, y.ID))
}

// takes is for how long engines are taken at the least, in milliseconds: a prompt that several read beside short streams
// takes each for one part.
func (w *waiting) takes() float64 {
	if w.heavy {
		return max(w.least, interleavedRead)
	}
	return w.least
}

// putBack orders large prompts, which come by their slack. It takes and returns the time in milliseconds that the engines need to read
// what is kept before them. The order of Moore and Hodgson: with the engines taken for one that is as fast as all of
// them, no other one has fewer late.
func (p *Pool) putBack(now clock.Milli, large []*waiting, ahead float64) float64 {
	engines := float64(max(p.headroom.engines, 1))
	kept := make([]*waiting, 0, len(large))
	var back []*waiting
	for _, w := range large {
		kept = append(kept, w)
		ahead += w.cost / engines
		if ahead <= w.slack(now)+w.least {
			continue
		}
		i := largest(kept)
		ahead -= kept[i].cost / engines
		back = append(back, kept[i])
		kept = slices.Delete(kept, i, i+1)
	}
	slices.SortStableFunc(back, func(x, y *waiting) int { return cmp.Compare(x.least, y.least) })
	copy(large, append(kept, back...))
	return ahead
}

// largest is the index of the prompt that takes engines longest.
func largest(ws []*waiting) int {
	most := 0
	for i, w := range ws {
		if w.cost > ws[most].cost {
			most = i
		}
	}
	return most
}

// slack is how long a long prompt can still wait, in milliseconds.
func (w *waiting) slack(now clock.Milli) float64 { return float64(w.Aim-now) - settleTime - w.least }

// late reports whether the aim can't be met any more.
func (w *waiting) late(now clock.Milli) bool { return float64(w.Aim-now) < settleTime+w.least }

func (w *waiting) due(now clock.Milli) clock.Milli {
	if w.late(now) {
		return w.last
	}
	return w.Aim
}

package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// The load of this file is more long prompts than the engines can read, of very unlike lengths. Where some must be late
// the largest are, which serves most callers, so these never find as many free engines as they need, and one
// notices that they are served half as often as others. So a part of the reading is kept for
// them: it is saved up while others are read, and once it suffices for a large prompt that waits,
// engines that become free are held for it.

const (
	// keptShare is what is saved for large prompts of each millisecond that is read for others, while they are
	// starved. With much less the largest are still served half as often as others; more serves the others less.
	keptShare = 0.4
	// keptMost bounds what is saved, in milliseconds of reading, so that a calm hour does not give large
	// prompts all engines for a minute.
	keptMost = 30_000.0
	// largeFrom is from how many times the mean reading on a long prompt counts as large: about the largest
	// sixth of a kind.
	largeFrom = 3
	// starvedBelow is the share of large prompts served, against that of the others, below which reading is
	// kept for them. Where they fare better they need no help, and keeping some costs the others.
	starvedBelow = 0.85
	// refusalOver is over about how many prompts these shares are taken.
	refusalOver = 20.0
	// meanOver is over about how many long prompts the mean reading is taken.
	meanOver = 50.0
)

// largeShare saves reading for large prompts.
type largeShare struct {
	// saved is the reading in milliseconds that is kept for them.
	saved float64
	// mean is the mean reading of the long prompts asked for, in milliseconds.
	mean float64
	// large and others are what became of the last long prompts of either size.
	large, others refusals
	// next is the prompt that is next; empty for none.
	next decide.RequestID
	// urgency is that of next: engines are held from no work that is more urgent.
	urgency decide.Urgency
	// held is how many engines are held for it.
	held int
}

// refusals is how often the last prompts of one size were refused.
type refusals struct {
	// refused is the share of them that was refused, from 0 to 1.
	refused float64
}

// ends takes what became of one more prompt.
func (r *refusals) ends(refused bool) {
	share := 0.0
	if refused {
		share = 1
	}
	r.refused += (share - r.refused) / refusalOver
}

// ends takes what became of a long prompt.
func (t *largeShare) ends(w *waiting, refused bool) {
	if t.isLarge(w) {
		t.large.ends(refused)
		return
	}
	t.others.ends(refused)
}

// starved reports whether large prompts are served much less often than others.
func (t *largeShare) starved() bool { return 1-t.large.refused < starvedBelow*(1-t.others.refused) }

// asks takes a new long prompt into the mean.
func (t *largeShare) asks(cost float64) {
	if t.mean == 0 {
		t.mean = cost
	}
	t.mean += (cost - t.mean) / meanOver
}

// grants notes that a long prompt is read.
func (t *largeShare) grants(id decide.RequestID, cost float64) {
	if id == t.next {
		t.next, t.held = "", 0
		t.saved = max(0, t.saved-cost)
		return
	}
	if t.starved() {
		t.saved = min(t.saved+keptShare*cost, keptMost)
	}
}

// isLarge reports whether a long prompt is one of those for which reading is kept.
func (t *largeShare) isLarge(w *waiting) bool { return w.heavy && w.cost >= largeFrom*t.mean }

// choose finds that is next: the largest prompt that can be in time, once enough is saved for it. Smaller ones do not
// use up meanwhile what is saved: they find engines sooner by themselves. One that has waited for most of its aim
// needs more engines at once than come free until then, and is passed over.
func (t *largeShare) choose(now clock.Milli, queue map[decide.RequestID]*waiting, group int) {
	t.next, t.held = "", 0
	var largest *waiting
	for _, w := range queue {
		if !t.isLarge(w) || w.late(now) || w.needs(now) > max(group/2, 1) {
			continue
		}
		if largest == nil || t.before(w, largest, now) {
			largest = w
		}
	}
	if largest != nil && largest.cost <= t.saved {
		t.next, t.urgency, t.held = largest.ID, largest.Urgency, largest.needs(now)
	}
}

// before orders large prompts: the largest first, then the one that needs fewest engines.
func (t *largeShare) before(x, y *waiting, now clock.Milli) bool {
	return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(x.needs(now), y.needs(now)), cmp.Compare(x.ID, y.ID)) < 0
}

// needs is how many engines must read a long prompt for it to come by its aim, or by its deadline
// once it is late.
func (w *waiting) needs(now clock.Milli) int {
	by := w.Aim
	if w.late(now) {
		by = w.last
	}
	left := float64(by-now) - settleTime
	if left <= 0 {
		return math.MaxInt
	}
	return int(math.Ceil(w.cost / left))
}

// leaves are the free engines that a long prompt may have: those not held for the one that is next. Those are
// held that write nothing: its parts are longer than the pauses that other streams bear. Short requests and more
// urgent prompts are not bound by it.
func (t *largeShare) leaves(w *waiting, free []*row) []*row {
	if t.next == "" || t.next == w.ID || w.Urgency < t.urgency {
		return free
	}
	held := 0
	return slices.DeleteFunc(free, func(r *row) bool {
		if r.streams > 0 || held >= t.held {
			return false
		}
		held++
		return true
	})
}

package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// The load of this file is more long prompts than the engines can read, of very unlike lengths. What engines read soonest
// goes first, which serves most callers, so the largest prompts never find as many free engines as they need: of
// the largest tenth of a kind 0.40 were served where 0.85 of all were. So a part of the reading is kept for
// them: it is saved up while others are read, and once it suffices for a large prompt that waits,
// engines that become free are held for it.

const (
	// keptShare is what is saved for large prompts of each millisecond that is read for others, while they are
	// starved. In the model's flood of 1.2 times what engines read 0.39 of the largest tenth came in time, 0.14 with
	// nothing kept, and of all 0.88 in place of 0.91; at 0.25 0.30 and 0.88. At 0.25 one played day of three
	// still served the largest tenth less than half as often as all, at 0.4 and 0.6 none; 0.6 served others less.
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

// turn saves reading for large prompts.
type turn struct {
	// saved is the reading in milliseconds that is kept for them.
	saved float64
	// mean is the mean reading of the long prompts asked for, in milliseconds.
	mean float64
	// large and others are what became of the last long prompts of either size.
	large, others refusals
	// next is the prompt whose turn it is; empty for none.
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
func (t *turn) ends(w *waiting, refused bool) {
	if t.isLarge(w) {
		t.large.ends(refused)
		return
	}
	t.others.ends(refused)
}

// starved tells whether large prompts are served much less often than others.
func (t *turn) starved() bool { return 1-t.large.refused < starvedBelow*(1-t.others.refused) }

// asks takes a new long prompt into the mean.
func (t *turn) asks(cost float64) {
	if t.mean == 0 {
		t.mean = cost
	}
	t.mean += (cost - t.mean) / meanOver
}

// grants notes that a long prompt is read.
func (t *turn) grants(id decide.RequestID, cost float64) {
	if id == t.next {
		t.next, t.held = "", 0
		t.saved = max(0, t.saved-cost)
		return
	}
	if t.starved() {
		t.saved = min(t.saved+keptShare*cost, keptMost)
	}
}

// isLarge tells whether a long prompt is one of those for which reading is kept.
func (t *turn) isLarge(w *waiting) bool { return w.heavy && w.cost >= largeFrom*t.mean }

// choose finds whose turn it is: the largest prompt that can be in time, once enough is saved for it. Smaller ones do not
// use up meanwhile what is saved: they find engines sooner by themselves. One that has waited for most of its aim
// needs more engines at once than come free until then, and is passed over.
func (t *turn) choose(now clock.Milli, queue map[decide.RequestID]*waiting, group int) {
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
func (t *turn) before(x, y *waiting, now clock.Milli) bool {
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

// leaves are the free engines that a long prompt may have: those not held for the one whose turn it is. Those are
// held that write nothing: its parts are longer than the pauses that other streams bear. Short requests and more
// urgent prompts are not bound by it.
func (t *turn) leaves(w *waiting, free []*row) []*row {
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

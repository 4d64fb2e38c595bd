package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// This file handles a load of more long prompts than the engines can prefill, of very different
// lengths. Where some must be late, most clients are served if the largest prompts are the late
// ones. But then the largest never find as many free engines as they need and are served half as
// often as the others. So a share of the prefill time is reserved for them: that share is saved up
// while other prompts are prefilled, and once the savings suffice for a waiting large prompt,
// engines that become free are held for that prompt.

const (
	// savedShare is how much is saved for large prompts per millisecond of prefill for other
	// prompts, while large prompts are starved. With a much smaller share the largest prompts are
	// still served half as often as others; a larger share delays the others.
	savedShare = 0.4
	// maxSaved bounds the saved prefill time in milliseconds, so that after a period of low load
	// large prompts do not get all engines for a minute.
	maxSaved = 30_000.0
	// largeFactor is the multiple of the mean prefill time of long prompts from which on a prompt
	// counts as large: about the largest sixth of the prompts of one kind.
	largeFactor = 3
	// starvedRatio is the ratio of the shares of large and of other prompts that are served, below
	// which prefill time is reserved for large prompts. Above it they need no help, and the
	// reservation would cost the others.
	starvedRatio = 0.85
	// refusalWindow is the number of prompts over which the shares of refused prompts are averaged.
	refusalWindow = 20.0
	// meanWindow is the number of long prompts over which the mean prefill time is averaged.
	meanWindow = 50.0
)

// largeReserve saves prefill time for large prompts.
type largeReserve struct {
	// savedPrefill is the prefill time in milliseconds that is saved.
	savedPrefill float64
	// meanPrefill is the mean prefill time of the requested long prompts, in milliseconds.
	meanPrefill float64
	// large and others are the refusal rates of the last long prompts, large ones and the others.
	large, others refusals
	// next is the large prompt for which engines are held; empty for none.
	next decide.RequestID
	// urgency is the urgency of next: prompts that are more urgent may use the held engines.
	urgency decide.Urgency
	// heldEngines is how many engines are held for next.
	heldEngines int
}

// refusals is the refusal rate of the last prompts of one size class.
type refusals struct {
	// refused is the moving average of the share that was refused, from 0 to 1.
	refused float64
}

// add includes the result of one more prompt.
func (r *refusals) add(refused bool) {
	share := 0.0
	if refused {
		share = 1
	}
	r.refused += (share - r.refused) / refusalWindow
}

// noteDecided records whether a long prompt was refused.
func (t *largeReserve) noteDecided(w *queuedRequest, refused bool) {
	if t.isLarge(w) {
		t.large.add(refused)
		return
	}
	t.others.add(refused)
}

// starved reports whether large prompts are served much less often than others.
func (t *largeReserve) starved() bool { return 1-t.large.refused < starvedRatio*(1-t.others.refused) }

// noteAsked includes a new long prompt in the mean.
func (t *largeReserve) noteAsked(prefillTime float64) {
	if t.meanPrefill == 0 {
		t.meanPrefill = prefillTime
	}
	t.meanPrefill += (prefillTime - t.meanPrefill) / meanWindow
}

// noteGranted records the grant of a long prompt. The prompt in next uses up savings; other prompts
// add to the savings while large prompts are starved.
func (t *largeReserve) noteGranted(id decide.RequestID, prefillTime float64) {
	if id == t.next {
		t.next, t.heldEngines = "", 0
		t.savedPrefill = max(0, t.savedPrefill-prefillTime)
		return
	}
	if t.starved() {
		t.savedPrefill = min(t.savedPrefill+savedShare*prefillTime, maxSaved)
	}
}

// isLarge reports whether prefill time is reserved for prompts of this length.
func (t *largeReserve) isLarge(w *queuedRequest) bool {
	return w.long && w.prefillTime >= largeFactor*t.meanPrefill
}

// choose sets next to the largest prompt that can still be in time, once enough prefill time is
// saved for that prompt. Smaller large prompts do not use up the savings meanwhile, since they find
// enough engines sooner without help. A prompt that has waited until shortly before its aim needs
// more engines at once than become free until then, and is skipped.
func (t *largeReserve) choose(now clock.Milli, queue map[decide.RequestID]*queuedRequest, maxGroup int) {
	t.next, t.heldEngines = "", 0
	var largest *queuedRequest
	for _, w := range queue {
		if !t.isLarge(w) || w.late(now) || w.enginesNeeded(now) > max(maxGroup/2, 1) {
			continue
		}
		if largest == nil || t.before(w, largest, now) {
			largest = w
		}
	}
	if largest != nil && largest.prefillTime <= t.savedPrefill {
		t.next, t.urgency, t.heldEngines = largest.ID, largest.Urgency, largest.enginesNeeded(now)
	}
}

// before orders large prompts: the largest first, then the one that needs fewest engines.
func (t *largeReserve) before(x, y *queuedRequest, now clock.Milli) bool {
	return cmp.Or(cmp.Compare(y.prefillTime, x.prefillTime), cmp.Compare(x.enginesNeeded(now), y.enginesNeeded(now)), cmp.Compare(x.ID, y.ID)) < 0
}

// enginesNeeded returns over how many engines the prefill must be spread to be done by the aim, or
// by the latest useful first byte once the request is late.
func (w *queuedRequest) enginesNeeded(now clock.Milli) int {
	by := w.Aim
	if w.late(now) {
		by = w.latestFirst
	}
	left := float64(by-now) - startDelay
	if left <= 0 {
		return math.MaxInt
	}
	return int(math.Ceil(w.prefillTime / left))
}

// availableTo returns the free engines that a long prompt may use: those not held for next. Only
// engines without streams are held, because the parts of next are longer than the pauses that other
// streams tolerate. Short requests and more urgent prompts are not restricted.
func (t *largeReserve) availableTo(w *queuedRequest, free []*upstreamState) []*upstreamState {
	if t.next == "" || t.next == w.ID || w.Urgency < t.urgency {
		return free
	}
	held := 0
	return slices.DeleteFunc(free, func(r *upstreamState) bool {
		if r.streams > 0 || held >= t.heldEngines {
			return false
		}
		held++
		return true
	})
}

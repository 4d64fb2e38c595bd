package blame

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// Verdict determines how a request may run.
type Verdict uint8

// The verdicts, from best to worst.
const (
	// Clear requests run as usual.
	Clear Verdict = iota
	// Alone requests may run now, as the only one with a suspect part.
	Alone
	// Held requests wait until another one with the same suspect part has been answered or has crashed its upstream.
	Held
	// Refused requests hold a blamed part.
	Refused
)

// Judgment is the verdict on a request.
type Judgment struct {
	Verdict Verdict
	// Part is the part that decided, unless the verdict is Clear.
	Part Part
	// Retry is the time until a trial of the blamed part, for a refused request.
	Retry clock.Milli
}

// Judge returns how a request that holds these shared parts may run now.
func (t *Table) Judge(now clock.Milli, parts []Part) Judgment {
	worst := Judgment{}
	if len(t.suspects) == 0 {
		return worst
	}
	t.Advance(now)
	for _, p := range parts[:min(len(parts), MaxParts)] {
		if j := t.judge(now, p, parts); j.Verdict > worst.Verdict {
			worst = j
		}
	}
	return worst
}

// judge returns the verdict on a request by one of its parts.
func (t *Table) judge(now clock.Milli, p Part, parts []Part) Judgment {
	s := t.suspects[p]
	if s == nil {
		return Judgment{}
	}
	if now-s.seenAt > retention {
		t.clear(now, p, Lapsed)
		return Judgment{}
	}
	blamed := len(s.crashes) >= s.crashesNeeded() && t.unexplained(s, parts) >= unexplainedToBlame
	if blamed {
		s.seenAt = now
	}
	switch {
	case !blamed && s.familiar && len(s.crashes) == 1:
		return Judgment{}
	case t.unproven[p] > 0:
		return Judgment{Verdict: Held, Part: p}
	case !blamed || now >= s.trialAt():
		return Judgment{Verdict: Alone, Part: p}
	default:
		return Judgment{Verdict: Refused, Part: p, Retry: min(s.trialAt()-now, firstTrialPause)}
	}
}

// crashesNeeded returns the number of crashes from which the part is blamed.
func (s *suspect) crashesNeeded() int {
	if s.familiar {
		return crashesToBlameFamiliar
	}
	return crashesToBlame
}

// trialAt returns when a request that holds the blamed part may run again.
func (s *suspect) trialAt() clock.Milli {
	if len(s.crashes) >= maxCrashes {
		return s.seenAt + 2*retention
	}
	pause := firstTrialPause
	for range len(s.crashes) - crashesToBlame {
		pause *= trialPauseFactor
	}
	return s.crashes[len(s.crashes)-1].at + pause
}

// unexplained returns the number of crashes of s that can't as well be those of a part that the request does not hold, and
// that was at as many crashes. A familiar part is no such explanation for the crashes of an unfamiliar one.
func (t *Table) unexplained(s *suspect, parts []Part) int {
	var others []*suspect
	for q, o := range t.suspects {
		if o != s && len(o.crashes) >= len(s.crashes) && (!o.familiar || s.familiar) && !slices.Contains(parts, q) {
			others = append(others, o)
		}
	}
	n := 0
	for _, x := range s.crashes {
		if !slices.ContainsFunc(others, func(o *suspect) bool { return slices.Contains(o.crashes, x) }) {
			n++
		}
	}
	return n
}

// Pardon clears a part, for the operator. It reports whether the part was suspect. Copies of its crashes that arrive later
// do not count, as after an answer.
func (t *Table) Pardon(now clock.Milli, p Part) bool {
	known := t.suspects[p] != nil
	t.clear(now, p, Pardoned)
	t.recordAnswer(p, now)
	return known
}

// clear removes a suspect.
func (t *Table) clear(now clock.Milli, p Part, k ChangeKind) {
	s := t.suspects[p]
	if s == nil {
		return
	}
	if len(s.crashes) >= crashesToCopy {
		t.note(now, k, p, s)
	}
	delete(t.suspects, p)
}

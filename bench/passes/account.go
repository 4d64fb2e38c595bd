package passes

import "snipeshift.example/lib/clock"

// EngineTime is the engines' time by use, in milliseconds summed over the engines.
type EngineTime struct {
	// PrefillInTime, PrefillLate and PrefillLost are prefill time for responses that came in time,
	// came late, or were lost.
	PrefillInTime, PrefillLate, PrefillLost float64
	// DecodeShortGap and DecodeOther are decode time of responses that tolerate only short pauses,
	// and of all others.
	DecodeShortGap, DecodeOther float64
	// IdleQueued is time without work while a request was queued, Idle that while none was.
	IdleQueued, Idle float64
}

// maxShortGap is the longest tolerated pause in milliseconds of responses whose decode time counts
// as DecodeShortGap.
const maxShortGap clock.Milli = 300

// tickPeriod is the time in milliseconds between two scans of the queue; idle time is measured in
// the same steps.
const tickPeriod = 10

// note adds the time that one request took.
func (t *EngineTime) note(j *job, o Outcome) {
	switch o {
	case InTime:
		t.PrefillInTime += j.prefillTime
	case Late:
		t.PrefillLate += j.prefillTime
	default:
		t.PrefillLost += j.prefillTime
	}
	if j.kind.Gap > 0 && j.kind.Gap <= maxShortGap {
		t.DecodeShortGap += j.decodeTime
	} else {
		t.DecodeOther += j.decodeTime
	}
}

// Total returns the total time.
func (t *EngineTime) Total() float64 {
	return t.PrefillInTime + t.PrefillLate + t.PrefillLost + t.DecodeShortGap + t.DecodeOther + t.IdleQueued + t.Idle
}

// countIdle adds one tick to the idle time of each engine without work, as long as requests arrive.
func (s *simulation) countIdle() {
	if s.now > clockOffset+s.load.Length {
		return
	}
	waits := s.pool.Counts().Queued > 0
	for _, e := range s.engineList {
		switch {
		case e.busy:
		case waits:
			e.idleQueuedTime += tickPeriod
		default:
			e.idleTime += tickPeriod
		}
	}
}

package passes

import "snipeshift.example/lib/clock"

// EngineTime is what the engines' time went to, in milliseconds of one engine.
type EngineTime struct {
	// PrefillInTime, Late and Nobody are reading for answers that came in time, late, or not at all.
	PrefillInTime, PrefillLate, PrefillLost float64
	// DecodeShortGap and Long are writing of answers that bear short pauses, and of others.
	DecodeShortGap, DecodeOther float64
	// IdleQueued is time without work while a request waited for a place, Idle that while none did.
	IdleQueued, Idle float64
}

// shortGap is the longest pause in milliseconds of answers that count as short work.
const shortGap clock.Milli = 300

// tickTime is the time in milliseconds between two scans of the queue, and by which idle time is measured.
const tickTime = 10

// note adds what one request took.
func (a *EngineTime) note(j *job, e Outcome) {
	switch e {
	case InTime:
		a.PrefillInTime += j.reading
	case Late:
		a.PrefillLate += j.reading
	default:
		a.PrefillLost += j.reading
	}
	if j.kind.Gap > 0 && j.kind.Gap <= shortGap {
		a.DecodeShortGap += j.written
	} else {
		a.DecodeOther += j.written
	}
}

// Total is all of it.
func (a *EngineTime) Total() float64 {
	return a.PrefillInTime + a.PrefillLate + a.PrefillLost + a.DecodeShortGap + a.DecodeOther + a.IdleQueued + a.Idle
}

// idle adds the idle time of one tick, as long as requests arrive.
func (p *play) idle() {
	if p.now > start+p.load.Length {
		return
	}
	waits := p.pool.Counts().Queued > 0
	for _, e := range p.rows {
		switch {
		case e.busy:
		case waits:
			e.idleWaiting += tickTime
		default:
			e.idle += tickTime
		}
	}
}

package passes

import "snipeshift.example/lib/clock"

// Account is what the engines' time went to, in milliseconds of one engine.
type Account struct {
	// InTime, Late and Nobody are reading for answers that came in time, late, or not at all.
	InTime, Late, Nobody float64
	// Short and Long are writing of answers that bear short pauses, and of others.
	Short, Long float64
	// IdleWaiting is time without work while a request waited for a place, Idle that while none did.
	IdleWaiting, Idle float64
}

// shortGap is the longest pause in milliseconds of answers that count as short work.
const shortGap clock.Milli = 300

// tickTime is the time in milliseconds between two scans of the queue, and by which idle time is measured.
const tickTime = 10

// note adds what one request took.
func (a *Account) note(j *job, e Ending) {
	switch e {
	case InTime:
		a.InTime += j.reading
	case Late:
		a.Late += j.reading
	default:
		a.Nobody += j.reading
	}
	if j.kind.Gap > 0 && j.kind.Gap <= shortGap {
		a.Short += j.written
	} else {
		a.Long += j.written
	}
}

// Sum is all of it.
func (a *Account) Sum() float64 {
	return a.InTime + a.Late + a.Nobody + a.Short + a.Long + a.IdleWaiting + a.Idle
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

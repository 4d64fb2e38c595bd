package passes

import "snipeshift.example/lib/clock"

// Account is the engines' time by use, in milliseconds summed over the engines.
type Account struct {
	// InTime, Late and Nobody are prefill time for responses that came in time, came late, or were
	// lost.
	InTime, Late, Nobody float64
	// Short and Long are decode time of responses that tolerate only short pauses, and of all
	// others.
	Short, Long float64
	// IdleWaiting is time without work while a request was queued, Idle that while none was.
	IdleWaiting, Idle float64
}

// maxShortGap is the longest tolerated pause in milliseconds of responses whose decode time counts
// as Short.
const maxShortGap clock.Milli = 300

// tickPeriod is the time in milliseconds between two scans of the queue; idle time is measured in
// the same steps.
const tickPeriod = 10

// note adds the time that one request took.
func (a *Account) note(j *job, e Ending) {
	switch e {
	case InTime:
		a.InTime += j.prefillTime
	case Late:
		a.Late += j.prefillTime
	default:
		a.Nobody += j.prefillTime
	}
	if j.kind.Gap > 0 && j.kind.Gap <= maxShortGap {
		a.Short += j.decodeTime
	} else {
		a.Long += j.decodeTime
	}
}

// Sum returns the total time.
func (a *Account) Sum() float64 {
	return a.InTime + a.Late + a.Nobody + a.Short + a.Long + a.IdleWaiting + a.Idle
}

// countIdle adds one tick to the idle time of each engine without work, as long as requests arrive.
func (p *simulation) countIdle() {
	if p.now > clockOffset+p.load.Length {
		return
	}
	waits := p.pool.Counts().Queued > 0
	for _, e := range p.engineList {
		switch {
		case e.busy:
		case waits:
			e.idleQueuedTime += tickPeriod
		default:
			e.idleTime += tickPeriod
		}
	}
}

package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Report is the answer to GET /load.
type Report struct {
	// At is when it was true, on the engine's clock; Seq rises with every report.
	At  clock.Milli `json:"at"`
	Seq uint64      `json:"seq"`
	// Running lists all that hold memory: running requests, group members and imports.
	Running []kv.Reservation `json:"running"`
	Exports []kv.Export      `json:"exports"`
	// Used is the memory taken by them in tokens, the prefix cache not counted.
	Used    decide.Tokens `json:"used"`
	Memory  decide.Tokens `json:"memory"`
	Queued  int           `json:"queued"`
	Leaving bool          `json:"leaving"`
	Role    string        `json:"role"`
}

// reports is what was true lately, oldest first.
type reports struct {
	list []Report
	seq  uint64
}

// reportStep is how often the load is recorded.
const reportStep = 25 * time.Millisecond

// watch records the load until the engine closes.
func (e *Engine) watch() {
	t := time.NewTicker(reportStep)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.mu.Lock()
			e.report()
			e.mu.Unlock()
		case <-e.closing:
			return
		}
	}
}

// report records the present load and drops what no reader will see again.
func (e *Engine) report() {
	old := 0
	l := e.reports.list
	for old+1 < len(l) && l[old+1].At <= e.clock.Now()-e.settings.ReportDelay {
		old++
	}
	e.reports.list = append(slices.Delete(l, 0, old), e.load())
}

// visible returns the newest report that is old enough to be seen, or the very first.
func (e *Engine) visible() Report {
	if e.settings.ReportDelay == 0 {
		return e.load()
	}
	seen := e.reports.list[0]
	for _, r := range e.reports.list {
		if r.At <= e.clock.Now()-e.settings.ReportDelay {
			seen = r
		}
	}
	return seen
}

func (e *Engine) load() Report {
	e.reports.seq++
	return Report{
		At:      e.clock.Now(),
		Seq:     e.reports.seq,
		Running: e.memory.Reservations(),
		Exports: e.memory.Exports(),
		Used:    e.memory.Used(),
		Memory:  e.memory.Size(),
		Queued:  e.batch.QueueLen(),
		Leaving: e.control.Leaving,
		Role:    e.role,
	}
}

// Event is one change of the prefix cache.
type Event struct {
	Seq     uint64            `json:"seq"`
	Prefix  decide.PrefixHash `json:"prefix"`
	Evicted bool              `json:"evicted"`
	at      clock.Milli
}

// events is the published part of the cache's history, oldest first.
type events struct {
	list   []Event
	seq    uint64
	random *rand.Rand
}

// eventsKept is how many events a reader can still ask for.
const eventsKept = 4096

// cacheChanged numbers an event and loses some: a lost one leaves a gap in the numbers.
func (e *Engine) cacheChanged(h decide.PrefixHash, evicted bool) {
	v := &e.events
	v.seq++
	if v.random.Float64() < e.settings.EventLoss {
		return
	}
	v.list = append(v.list, Event{v.seq, h, evicted, e.clock.Now()})
	if len(v.list) > eventsKept {
		v.list = slices.Delete(v.list, 0, len(v.list)-eventsKept)
	}
}

// after returns events above seq that are old enough to be seen.
func (e *Engine) after(seq uint64) []Event {
	seen := []Event{}
	for _, v := range e.events.list {
		if v.Seq > seq && v.at <= e.clock.Now()-e.settings.EventDelay {
			seen = append(seen, v)
		}
	}
	return seen
}

// Ledger is the answer to GET /ledger.
type Ledger struct {
	Requests []batch.Entry `json:"requests"`
	Orders   []Order       `json:"orders"`
	// Orphans lists ids that hold memory without a request that runs.
	Orphans []decide.RequestID `json:"orphans"`
}

// ledger copies the record, so that writing a long one out does not hold the engine up.
func (e *Engine) ledger() Ledger {
	l := Ledger{
		Requests: make([]batch.Entry, 0, len(e.history)),
		Orders:   append([]Order{}, e.orders...),
		Orphans:  []decide.RequestID{},
	}
	for _, n := range e.history {
		l.Requests = append(l.Requests, *n)
	}
	for _, h := range e.memory.Reservations() {
		if q := e.batch.Find(h.ID); q == nil || q.Ended {
			l.Orphans = append(l.Orphans, h.ID)
		}
	}
	return l
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

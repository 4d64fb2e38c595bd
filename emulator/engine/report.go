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

// Report is the response to GET /load.
type Report struct {
	// At is the time of the measurement on the engine's clock. Seq increases with every report.
	At  clock.Milli `json:"at"`
	Seq uint64      `json:"seq"`
	// Running lists all reservations of memory: running requests, group members and imports.
	Running []kv.Reservation `json:"running"`
	Exports []kv.Export      `json:"exports"`
	// Used is the memory of Running and Exports in tokens, without the prefix cache.
	Used    decide.Tokens `json:"used"`
	Memory  decide.Tokens `json:"memory"`
	Queued  int           `json:"queued"`
	Leaving bool          `json:"leaving"`
	Role    string        `json:"role"`
}

// reportHistory holds the recent load reports, oldest first.
type reportHistory struct {
	list []Report
	seq  uint64
}

// reportInterval is how often the load is recorded.
const reportInterval = 25 * time.Millisecond

// recordReports records the load at every reportInterval until the engine is closed.
func (e *Engine) recordReports() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.mu.Lock()
			e.recordReport()
			e.mu.Unlock()
		case <-e.done:
			return
		}
	}
}

// recordReport records the current load and removes reports that are older than the newest visible
// one.
func (e *Engine) recordReport() {
	old := 0
	l := e.reports.list
	for old+1 < len(l) && l[old+1].At <= e.clock.Now()-e.settings.ReportDelay {
		old++
	}
	e.reports.list = append(slices.Delete(l, 0, old), e.currentReport())
}

// visibleReport returns the newest report that is at least Settings.ReportDelay old. Before there is
// one, it returns the first report.
func (e *Engine) visibleReport() Report {
	if e.settings.ReportDelay == 0 {
		return e.currentReport()
	}
	newest := e.reports.list[0]
	for _, r := range e.reports.list {
		if r.At <= e.clock.Now()-e.settings.ReportDelay {
			newest = r
		}
	}
	return newest
}

func (e *Engine) currentReport() Report {
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

// Event is one change of the prefix cache: a prefix was added or evicted.
type Event struct {
	Seq     uint64            `json:"seq"`
	Prefix  decide.PrefixHash `json:"prefix"`
	Evicted bool              `json:"evicted"`
	at      clock.Milli
}

// eventLog holds the published events of the prefix cache, oldest first.
type eventLog struct {
	list   []Event
	seq    uint64
	random *rand.Rand
}

// maxEvents is the number of events that are stored for readers.
const maxEvents = 4096

// onCacheChange numbers and stores an event. It drops some events at random, which leaves gaps in the
// numbers.
func (e *Engine) onCacheChange(h decide.PrefixHash, evicted bool) {
	v := &e.events
	v.seq++
	if v.random.Float64() < e.settings.EventLoss {
		return
	}
	v.list = append(v.list, Event{v.seq, h, evicted, e.clock.Now()})
	if len(v.list) > maxEvents {
		v.list = slices.Delete(v.list, 0, len(v.list)-maxEvents)
	}
}

// eventsAfter returns the events with numbers above seq that are at least Settings.EventDelay old.
func (e *Engine) eventsAfter(seq uint64) []Event {
	visible := []Event{}
	for _, v := range e.events.list {
		if v.Seq > seq && v.at <= e.clock.Now()-e.settings.EventDelay {
			visible = append(visible, v)
		}
	}
	return visible
}

// Ledger is the response to GET /ledger.
type Ledger struct {
	Requests []batch.Entry `json:"requests"`
	Orders   []Order       `json:"orders"`
	// Orphans lists the IDs that have memory reserved but no queued or running request.
	Orphans []decide.RequestID `json:"orphans"`
}

// ledger returns a copy of the ledger. It can be encoded without the lock, so that a long ledger does
// not delay the batch.
func (e *Engine) ledger() Ledger {
	l := Ledger{
		Requests: make([]batch.Entry, 0, len(e.entries)),
		Orders:   append([]Order{}, e.orders...),
		Orphans:  []decide.RequestID{},
	}
	for _, n := range e.entries {
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

// Package engine stands in for a model engine: it batches continuously, caches
// prompt prefixes in limited memory, honours priorities, resumes and cancels
// streams, exports and imports KV cache, takes orders, and reports its load
// late and its cache events late and with gaps. It can be told to fail.
package engine

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/emulator/kv"
	"snipeshift.example/emulator/ledger"
	"snipeshift.example/lib/clock"
)

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	settings Settings
	clock    *clock.Clock
	mux      *http.ServeMux
	journal  *ledger.Journal
	// exit ends the process when a request crashes it.
	exit func(status int)

	mu      sync.Mutex
	control Control
	memory  *kv.Memory
	batch   *batch.Batch
	// history holds every request's entry for good; the prompts go with their requests.
	history []*batch.Entry
	orders  []Order
	fence   uint64
	role    string
	model   string
	handles uint64
	reports reports
	events  events
	// closed refuses new work while the process stops.
	closed bool
	// streams counts open answers.
	streams int
	// commanded is closed and replaced when the control changes.
	commanded chan struct{}

	// work ends the rest of an idle batch.
	work    chan struct{}
	closing chan struct{}
	running sync.WaitGroup
}

// New opens the ledger and starts the batch; Close ends it.
func New(s Settings, c *clock.Clock) (*Engine, error) {
	j, err := ledger.Open(s.LedgerFile)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		settings:  s,
		clock:     c,
		journal:   j,
		exit:      os.Exit,
		role:      s.Role,
		model:     s.Model,
		commanded: make(chan struct{}),
		work:      make(chan struct{}, 1),
		closing:   make(chan struct{}),
	}
	e.events.random = newRandom(s.Seed)
	e.memory = kv.New(s.Memory, e.cacheChanged)
	e.batch = batch.New(s.batch(), e.memory, e.started, e.changed)
	e.report()
	e.route()
	e.running.Go(e.run)
	e.running.Go(e.watch)
	return e, nil
}

// Close stops the batch and closes the ledger's file.
func (e *Engine) Close() error {
	close(e.closing)
	e.running.Wait()
	return e.journal.Close()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// crashStatus is the exit status of a process that a request killed.
const crashStatus = 3

// started is called when a request begins to run: this is where one that
// crashes every engine takes the process down.
func (e *Engine) started(q *batch.Request) {
	if m := e.control.PoisonText; m != "" && strings.Contains(q.Prompt, m) {
		q.Entry.Outcome = batch.Crashed
		e.changed(q)
		e.exit(crashStatus)
	}
}

func (e *Engine) changed(q *batch.Request) { e.journal.Write(q.Entry) }

// idleStep is how often an engine without work looks for streams to forget.
const idleStep = 100 * time.Millisecond

// run steps the batch until the engine closes. Each step is planned, then its
// time passes, then its tokens appear.
func (e *Engine) run() {
	due := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s := e.plan()
		if s.Idle() {
			if !e.rest(timer) {
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(s.Duration)
		if late := time.Since(due); late > s.Duration {
			due = due.Add(late) // the machine is too slow for the settings
		}
		if !e.pass(timer, time.Until(due)) {
			return
		}
		e.mu.Lock()
		e.batch.Apply(s, e.clock.Now())
		e.mu.Unlock()
	}
}

func (e *Engine) plan() batch.Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := e.control.Slowdown
	if slow <= 0 {
		slow = 1
	}
	return e.batch.Plan(e.clock.Now(), slow)
}

// rest waits for work.
func (e *Engine) rest(t *time.Timer) bool {
	t.Reset(idleStep)
	select {
	case <-e.work:
		return true
	case <-t.C:
		return true
	case <-e.closing:
		return false
	}
}

func (e *Engine) pass(t *time.Timer, d time.Duration) bool {
	if d > 0 {
		t.Reset(d)
		select {
		case <-t.C:
		case <-e.closing:
			return false
		}
	}
	select {
	case <-e.closing:
		return false
	default:
		return true
	}
}

// kick ends the rest of an idle batch.
func (e *Engine) kick() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// Drain is the graceful stop: the engine reports that it leaves, still takes
// work for the notice, then refuses it and waits for what runs.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.control.Leaving = true
	e.mu.Unlock()
	time.Sleep(e.settings.NoticePeriod.Duration())
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	limit := e.clock.Now() + e.settings.DrainTimeout
	for e.busy() && e.clock.Now() < limit {
		time.Sleep(drainStep)
	}
}

// drainStep is how often a stopping engine looks whether its work is done.
const drainStep = 5 * time.Millisecond

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Active()+e.streams > 0
}

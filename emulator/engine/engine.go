// Package engine emulates a model engine: it batches continuously, caches prompt prefixes in limited
// memory, schedules by priority, resumes and cancels streams, exports and imports KV cache and
// executes orders. Its load reports are delayed, and its cache events are delayed and incomplete.
// Faults can be injected through POST /control.
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

// Engine is an emulated engine. It is an http.Handler.
type Engine struct {
	settings Settings
	clock    *clock.Clock
	mux      *http.ServeMux
	journal  *ledger.Journal
	// exit ends the process when a poison request is started. Tests replace it.
	exit func(status int)

	mu      sync.Mutex
	control Control
	memory  *kv.Memory
	batch   *batch.Batch
	// entries holds the ledger entries of all requests and is never truncated. The entries do not
	// refer to the prompts, which are freed with their requests.
	entries      []*batch.Entry
	orders       []Order
	highestFence uint64
	role         string
	model        string
	exportCount  uint64
	reports      reportHistory
	events       eventLog
	// stopping is set while the process stops. New requests are then refused.
	stopping bool
	// openStreams is the number of answers that are being sent or are about to be sent.
	openStreams int
	// controlChanged is closed and replaced when control changes.
	controlChanged chan struct{}

	// wakeup wakes the batch loop while it has no work.
	wakeup     chan struct{}
	done       chan struct{}
	background sync.WaitGroup
}

// New opens the ledger file and starts the batch loop. Close stops it.
func New(s Settings, c *clock.Clock) (*Engine, error) {
	j, err := ledger.Open(s.LedgerFile)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		settings:       s,
		clock:          c,
		journal:        j,
		exit:           os.Exit,
		role:           s.Role,
		model:          s.Model,
		controlChanged: make(chan struct{}),
		wakeup:         make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	e.events.random = newRandom(s.Seed)
	e.memory = kv.New(s.Memory, e.onCacheChange)
	e.batch = batch.New(s.batch(), e.memory, e.onStart, e.onChange)
	e.recordReport()
	e.registerRoutes()
	e.background.Go(e.run)
	e.background.Go(e.recordReports)
	return e, nil
}

// Close stops the batch loop and closes the ledger file.
func (e *Engine) Close() error {
	close(e.done)
	e.background.Wait()
	return e.journal.Close()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// crashStatus is the exit status of the process after a poison request.
const crashStatus = 3

// onStart is called when a request begins to run. It ends the process if the request is a poison
// request, as declared by Control.PoisonText.
func (e *Engine) onStart(q *batch.Request) {
	if m := e.control.PoisonText; m != "" && strings.Contains(q.Prompt, m) {
		q.Entry.Outcome = batch.Crashed
		e.onChange(q)
		e.exit(crashStatus)
	}
}

func (e *Engine) onChange(q *batch.Request) { e.journal.Write(q.Entry) }

// idleInterval is how often an engine without work plans a step, which removes old requests.
const idleInterval = 100 * time.Millisecond

// run executes the steps of the batch until the engine is closed. It plans a step, waits for its
// duration and then applies it, which produces its tokens.
func (e *Engine) run() {
	stepEnd := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s := e.plan()
		if s.Idle() {
			if !e.waitForWork(timer) {
				return
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(s.Duration)
		if delay := time.Since(stepEnd); delay > s.Duration {
			stepEnd = stepEnd.Add(delay) // the machine is too slow for the settings, so do not try to catch up
		}
		if !e.sleep(timer, time.Until(stepEnd)) {
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
	slowdown := e.control.Slowdown
	if slowdown <= 0 {
		slowdown = 1
	}
	return e.batch.Plan(e.clock.Now(), slowdown)
}

// waitForWork waits for a wakeup or idleInterval. It returns false if the engine is closed.
func (e *Engine) waitForWork(t *time.Timer) bool {
	t.Reset(idleInterval)
	select {
	case <-e.wakeup:
		return true
	case <-t.C:
		return true
	case <-e.done:
		return false
	}
}

// sleep waits for a duration. It returns false if the engine is closed.
func (e *Engine) sleep(t *time.Timer, d time.Duration) bool {
	if d > 0 {
		t.Reset(d)
		select {
		case <-t.C:
		case <-e.done:
			return false
		}
	}
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// wake wakes the batch loop if it waits for work.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// Drain stops the engine gracefully. The engine reports that it is leaving and accepts requests for
// the notice period. Then it refuses new requests and waits for the running ones, at most for
// Settings.DrainTimeout.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.control.Leaving = true
	e.mu.Unlock()
	time.Sleep(e.settings.NoticePeriod.Duration())
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	limit := e.clock.Now() + e.settings.DrainTimeout
	for e.busy() && e.clock.Now() < limit {
		time.Sleep(drainInterval)
	}
}

// drainInterval is how often a stopping engine checks whether all requests have ended.
const drainInterval = 5 * time.Millisecond

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Active()+e.openStreams > 0
}

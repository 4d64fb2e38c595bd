// Package engine models a model engine as far as decisions under load depend on
// it: continuous batching, prefill that interferes with decoding, KV memory, a
// prefix cache in what memory is left, priorities. Times are milliseconds.
//
// It is a fluid model: between two events everything advances at a steady rate.
package engine

import (
	"math"
	"slices"
)

const (
	// interference is how much longer a decoding step takes while a prompt is
	// prefilled beside it.
	interference = 0.5
	// batchCost is how much longer a decoding step takes for each further request
	// in the batch, prefillCost how much slower prefill is for each.
	batchCost, prefillCost = 0.004, 0.003
)

// Spec is the rated size of an engine.
type Spec struct {
	// Memory is in tokens, Slots in requests.
	Memory int64
	Slots  int
	// PrefillRate and Decode are tokens per millisecond.
	PrefillRate, DecodeRate float64
}

// Job is one request on an engine. A job of a group is led by one engine;
// the others lend memory.
type Job struct {
	ID       int
	Priority int
	// Prompt, Output and Share (memory on each member) are in tokens.
	Prompt, Output, MemoryPerMember int64
	Prefixes                        []Prefix
	Members                         []*Engine
	// Cached is the part of the prompt found in the prefix cache.
	Cached int64
	// Prefilled is how much was prefilled, in tokens.
	Prefilled float64
	admitted  bool
	first     bool
	finish    float64
	order     int
}

// Prefix is a leading part of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int64
}

// Event tells of a job's first token or its end.
type Event struct {
	Job   *Job
	Ended bool
}

// Engine is one engine.
type Engine struct {
	Spec Spec
	// Slowdown multiplies every duration.
	Slowdown float64
	Index    int
	// ShortestFirst makes the engine admit and prefill the shortest prompt first.
	ShortestFirst bool
	// Cache holds prefixes in the memory that jobs leave free.
	Cache Cache
	// OnCacheChange is told of each change of the cache.
	OnCacheChange func(hash uint64, evicted bool)

	used    int64
	running int
	// frozen is the waiting group head that keeps this member from admitting others.
	frozen *Job
	// freezer is the engine's own head that froze others.
	freezer  *Job
	held     []*Job
	waiting  []*Job
	prefill  []*Job
	decoding []*Job
	// virtual counts tokens that each decoding job has got since the beginning.
	virtual float64
	now     float64
	orders  int
}

// New returns an idle engine.
func New(index int, s Spec) *Engine {
	e := &Engine{Spec: s, Slowdown: 1, Index: index}
	e.Cache.entries = map[uint64]*entry{}
	return e
}

// UsedMemory is the memory in use, Load the number of requests, waiting ones included.
func (e *Engine) UsedMemory() int64 { return e.used }

// JobCount counts requests on the engine, waiting ones included.
func (e *Engine) JobCount() int { return len(e.waiting) + e.running }

// Admitted lists the jobs that hold memory on the engine.
func (e *Engine) Admitted() []*Job { return e.held }

func (e *Engine) prefillRate() float64 {
	return e.Spec.PrefillRate / e.Slowdown / (1 + prefillCost*float64(len(e.decoding)))
}

func (e *Engine) decodeRate() float64 {
	rate := e.Spec.DecodeRate / e.Slowdown / (1 + batchCost*float64(max(len(e.decoding)-1, 0)))
	if len(e.prefill) > 0 {
		rate /= 1 + interference
	}
	return rate
}

// TimesOnIdle is the time to first token and the whole time of a job on an idle
// engine that has cached tokens of its prompt.
func TimesOnIdle(s Spec, prompt, cached, output int64) (first, whole float64) {
	first = float64(prompt-cached) / s.PrefillRate
	return first, first + float64(output)/s.DecodeRate
}

// NextEvent is when the next event happens if nothing changes.
func (e *Engine) NextEvent() float64 {
	next := math.Inf(1)
	if len(e.prefill) > 0 {
		j := e.prefill[0]
		next = e.now + (float64(j.Prompt-j.Cached)-j.Prefilled)/e.prefillRate()
	}
	if len(e.decoding) > 0 {
		left := math.Inf(1)
		for _, j := range e.decoding {
			left = min(left, j.finish-e.virtual)
		}
		next = min(next, e.now+left/e.decodeRate())
	}
	return next
}

const tiny = 1e-6

// Advance moves on to now, which must not be past Next, and appends what happened.
func (e *Engine) Advance(now float64, out []Event) []Event {
	span := now - e.now
	if span > 0 {
		pre, dec := e.prefillRate(), e.decodeRate()
		if len(e.prefill) > 0 {
			e.prefill[0].Prefilled += span * pre
		}
		if len(e.decoding) > 0 {
			e.virtual += span * dec
		}
	}
	e.now = now
	if len(e.prefill) > 0 {
		j := e.prefill[0]
		if j.Prefilled >= float64(j.Prompt-j.Cached)-tiny*e.Spec.PrefillRate-1e-3 {
			e.prefill = e.prefill[1:]
			j.first = true
			j.finish = e.virtual + float64(j.Output)
			e.decoding = append(e.decoding, j)
			e.keep(j)
			out = append(out, Event{Job: j})
		}
	}
	for i := len(e.decoding) - 1; i >= 0; i-- {
		if j := e.decoding[i]; j.finish <= e.virtual+1e-6 {
			e.decoding = slices.Delete(e.decoding, i, i+1)
			e.free(j)
			out = append(out, Event{Job: j, Ended: true})
		}
	}
	return out
}

func (e *Engine) keep(j *Job) {
	for _, p := range j.Prefixes {
		e.Cache.add(e, p)
	}
}

// Submit queues a job; Admit starts what fits.
func (e *Engine) Submit(j *Job) {
	e.orders++
	j.order = e.orders
	e.waiting = append(e.waiting, j)
	if e.ShortestFirst {
		slices.SortStableFunc(e.waiting, func(a, b *Job) int { return int(a.Prompt - b.Prompt) })
	}
}

// Admit starts waiting jobs in order while memory and slots last. A head that
// waits for a group freezes its members, so that it is not starved.
func (e *Engine) Admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.freezer != nil && e.freezer != j {
			e.freezer.thaw() // a shorter one came before it
			e.freezer = nil
		}
		if !j.fits() {
			e.freezer = j
			j.freeze()
			return
		}
		e.freezer = nil
		e.waiting = e.waiting[1:]
		e.start(j)
	}
}

func (j *Job) fits() bool {
	for _, m := range j.Members {
		if m.used+j.MemoryPerMember > m.Spec.Memory || m.running >= m.Spec.Slots {
			return false
		}
		if m.frozen != nil && m.frozen != j {
			return false
		}
	}
	return true
}

func (e *Engine) start(j *Job) {
	for _, m := range j.Members {
		m.used += j.MemoryPerMember
		m.running++
		m.held = append(m.held, j)
		m.Cache.trim(m)
	}
	j.thaw()
	j.admitted = true
	j.Cached = e.Cache.longest(j)
	e.prefill = append(e.prefill, j)
	slices.SortStableFunc(e.prefill, e.before)
}

// freeze keeps the members of a waiting group from admitting others. The earlier job
// wins, so that two groups never wait for each other.
func (j *Job) freeze() {
	if len(j.Members) == 1 {
		return
	}
	for _, m := range j.Members {
		if m.frozen == nil || j.ID < m.frozen.ID {
			m.frozen = j
		}
	}
}

func (j *Job) thaw() {
	for _, m := range j.Members {
		if m.frozen == j {
			m.frozen = nil
		}
	}
}

// before is the order of prefill: by priority and then by arrival. Only engines that
// are given unlike priorities interrupt a prompt for another.
func (e *Engine) before(a, b *Job) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if e.ShortestFirst && a.Prefilled == 0 && b.Prefilled == 0 {
		return int(a.Prompt - b.Prompt)
	}
	return a.order - b.order
}

func (e *Engine) free(j *Job) {
	for _, m := range j.Members {
		m.used -= j.MemoryPerMember
		m.running--
		m.held = slices.DeleteFunc(m.held, func(o *Job) bool { return o == j })
	}
	j.admitted = false
}

// Cancel takes a job off the engine.
func (e *Engine) Cancel(j *Job) {
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		j.thaw()
		if e.freezer == j {
			e.freezer = nil
		}
		return
	}
	if i := slices.Index(e.prefill, j); i >= 0 {
		e.prefill = slices.Delete(e.prefill, i, i+1)
	}
	if i := slices.Index(e.decoding, j); i >= 0 {
		e.decoding = slices.Delete(e.decoding, i, i+1)
	}
	if j.admitted {
		e.free(j)
	}
}

// PrefillBacklog is the prompt tokens still to be prefilled, waiting jobs included.
func (e *Engine) PrefillBacklog() int64 {
	sum := int64(0)
	for _, j := range e.waiting {
		sum += j.Prompt
	}
	for _, j := range e.prefill {
		sum += j.Prompt - j.Cached - int64(j.Prefilled)
	}
	return sum
}

// HasWaiting tells whether jobs wait to be admitted.
func (e *Engine) HasWaiting() bool { return len(e.waiting) > 0 }

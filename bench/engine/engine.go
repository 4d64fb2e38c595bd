// Package engine models an inference engine in the respects that matter for scheduling under load:
// continuous batching, prefill that slows down decoding, KV memory, a prefix cache in the memory
// left free, and priorities. Times are milliseconds.
//
// It is a fluid model: between two events, all work advances at constant rates.
package engine

import (
	"math"
	"slices"
)

const (
	// prefillInterference is the fraction by which a decoding step takes longer while a prompt is
	// prefilled at the same time.
	prefillInterference = 0.5
	// decodeBatchCost is the fraction by which each further request in the batch lengthens a
	// decoding step, prefillBatchCost that by which each decoding request slows down prefill.
	decodeBatchCost, prefillBatchCost = 0.004, 0.003
)

// Spec is the rated capacity of an engine.
type Spec struct {
	// Memory is the KV memory in tokens, Slots the most requests that run at the same time.
	Memory int64
	Slots  int
	// PrefillRate and DecodeRate are rates of a single request in tokens per millisecond.
	PrefillRate, DecodeRate float64
}

// Job is one request on an engine or on a group of engines. The first member is the leader, which
// does all of the job's work; the others only provide memory.
type Job struct {
	ID       int
	Priority int
	// Prompt, Output and MemoryPerMember (reserved on each member) are in tokens. A lower Priority
	// value is prefilled first.
	Prompt, Output, MemoryPerMember int64
	Prefixes                        []Prefix
	Members                         []*Engine
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int64
	// Prefilled is the number of prompt tokens prefilled.
	Prefilled float64
	admitted  bool
	first     bool
	// finishAt is the engine's decodedPerJob at which the job ends.
	finishAt float64
	// sequence is the order of arrival on the engine.
	sequence int
}

// Prefix identifies the leading tokens of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int64
}

// Event is the first token of a job or, if Ended is set, its end.
type Event struct {
	Job   *Job
	Ended bool
}

// Engine is the simulated state of one engine.
type Engine struct {
	Spec Spec
	// Slowdown is a factor on the duration of all work; 1 is the rated speed.
	Slowdown float64
	Index    int
	// ShortestFirst makes the engine admit and prefill the shortest prompt first.
	ShortestFirst bool
	// Cache is the prefix cache.
	Cache Cache
	// OnCacheChange, if set, is called on each change of the prefix cache.
	OnCacheChange func(hash uint64, evicted bool)

	used    int64
	running int
	// blockedBy is the waiting group job that keeps this engine, one of its members, from admitting
	// other jobs.
	blockedBy *Job
	// blockingHead is the group job at the head of this engine's own queue that blocks other
	// engines.
	blockingHead *Job
	admitted     []*Job
	waiting      []*Job
	prefill      []*Job
	decoding     []*Job
	// decodedPerJob is the number of tokens that a job decoding since the start would have
	// produced; it measures progress for all decoding jobs at once.
	decodedPerJob float64
	now           float64
	lastSequence  int
}

// New returns an idle engine.
func New(index int, s Spec) *Engine {
	e := &Engine{Spec: s, Slowdown: 1, Index: index}
	e.Cache.entries = map[uint64]*entry{}
	return e
}

// UsedMemory returns the memory in use, in tokens.
func (e *Engine) UsedMemory() int64 { return e.used }

// JobCount returns the number of jobs on the engine, waiting ones included.
func (e *Engine) JobCount() int { return len(e.waiting) + e.running }

// Admitted returns the admitted jobs that hold memory on the engine.
func (e *Engine) Admitted() []*Job { return e.admitted }

func (e *Engine) prefillRate() float64 {
	return e.Spec.PrefillRate / e.Slowdown / (1 + prefillBatchCost*float64(len(e.decoding)))
}

func (e *Engine) decodeRate() float64 {
	rate := e.Spec.DecodeRate / e.Slowdown / (1 + decodeBatchCost*float64(max(len(e.decoding)-1, 0)))
	if len(e.prefill) > 0 {
		rate /= 1 + prefillInterference
	}
	return rate
}

// TimesOnIdle returns the time to first token and the total time of a job on an idle engine whose
// prefix cache holds the given number of tokens of its prompt.
func TimesOnIdle(s Spec, prompt, cached, output int64) (first, total float64) {
	first = float64(prompt-cached) / s.PrefillRate
	return first, first + float64(output)/s.DecodeRate
}

// NextEvent returns the instant of the engine's next event if no job is added or canceled before;
// infinity if it has no work.
func (e *Engine) NextEvent() float64 {
	next := math.Inf(1)
	if len(e.prefill) > 0 {
		j := e.prefill[0]
		next = e.now + (float64(j.Prompt-j.Cached)-j.Prefilled)/e.prefillRate()
	}
	if len(e.decoding) > 0 {
		left := math.Inf(1)
		for _, j := range e.decoding {
			left = min(left, j.finishAt-e.decodedPerJob)
		}
		next = min(next, e.now+left/e.decodeRate())
	}
	return next
}

// epsilon is the rounding tolerance, in milliseconds of prefill.
const epsilon = 1e-6

// Advance simulates the engine up to now, which must not be later than NextEvent, and appends the
// events that occur to out.
func (e *Engine) Advance(now float64, out []Event) []Event {
	elapsed := now - e.now
	if elapsed > 0 {
		pre, dec := e.prefillRate(), e.decodeRate()
		if len(e.prefill) > 0 {
			e.prefill[0].Prefilled += elapsed * pre
		}
		if len(e.decoding) > 0 {
			e.decodedPerJob += elapsed * dec
		}
	}
	e.now = now
	if len(e.prefill) > 0 {
		j := e.prefill[0]
		if j.Prefilled >= float64(j.Prompt-j.Cached)-epsilon*e.Spec.PrefillRate-1e-3 {
			e.prefill = e.prefill[1:]
			j.first = true
			j.finishAt = e.decodedPerJob + float64(j.Output)
			e.decoding = append(e.decoding, j)
			e.cachePrefixes(j)
			out = append(out, Event{Job: j})
		}
	}
	for i := len(e.decoding) - 1; i >= 0; i-- {
		if j := e.decoding[i]; j.finishAt <= e.decodedPerJob+1e-6 {
			e.decoding = slices.Delete(e.decoding, i, i+1)
			e.release(j)
			out = append(out, Event{Job: j, Ended: true})
		}
	}
	return out
}

// cachePrefixes adds the prefixes of a job's prompt to the prefix cache.
func (e *Engine) cachePrefixes(j *Job) {
	for _, p := range j.Prefixes {
		e.Cache.add(e, p)
	}
}

// Submit queues a job. Admit starts it once it fits.
func (e *Engine) Submit(j *Job) {
	e.lastSequence++
	j.sequence = e.lastSequence
	e.waiting = append(e.waiting, j)
	if e.ShortestFirst {
		slices.SortStableFunc(e.waiting, func(a, b *Job) int { return int(a.Prompt - b.Prompt) })
	}
}

// Admit starts waiting jobs in order until the next one does not fit. If that is a group job, it
// blocks all of its members for other jobs, so that it is not starved.
func (e *Engine) Admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.blockingHead != nil && e.blockingHead != j {
			e.blockingHead.unblockMembers() // a job with a shorter prompt was queued ahead of it
			e.blockingHead = nil
		}
		if !j.fits() {
			e.blockingHead = j
			j.blockMembers()
			return
		}
		e.blockingHead = nil
		e.waiting = e.waiting[1:]
		e.start(j)
	}
}

func (j *Job) fits() bool {
	for _, m := range j.Members {
		if m.used+j.MemoryPerMember > m.Spec.Memory || m.running >= m.Spec.Slots {
			return false
		}
		if m.blockedBy != nil && m.blockedBy != j {
			return false
		}
	}
	return true
}

func (e *Engine) start(j *Job) {
	for _, m := range j.Members {
		m.used += j.MemoryPerMember
		m.running++
		m.admitted = append(m.admitted, j)
		m.Cache.trim(m)
	}
	j.unblockMembers()
	j.admitted = true
	j.Cached = e.Cache.longestPrefix(j)
	e.prefill = append(e.prefill, j)
	slices.SortStableFunc(e.prefill, e.comparePrefill)
}

// blockMembers keeps the members of a waiting group job from admitting other jobs. If two group
// jobs compete for a member, the one with the lower ID, which arrived first, gets it, so that they
// never wait for each other.
func (j *Job) blockMembers() {
	if len(j.Members) == 1 {
		return
	}
	for _, m := range j.Members {
		if m.blockedBy == nil || j.ID < m.blockedBy.ID {
			m.blockedBy = j
		}
	}
}

func (j *Job) unblockMembers() {
	for _, m := range j.Members {
		if m.blockedBy == j {
			m.blockedBy = nil
		}
	}
}

// comparePrefill orders jobs for prefill: by priority, then by arrival or, with ShortestFirst, by
// prompt length among jobs not yet begun. A prompt whose prefill has begun is interrupted only for
// a job of another priority.
func (e *Engine) comparePrefill(a, b *Job) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if e.ShortestFirst && a.Prefilled == 0 && b.Prefilled == 0 {
		return int(a.Prompt - b.Prompt)
	}
	return a.sequence - b.sequence
}

func (e *Engine) release(j *Job) {
	for _, m := range j.Members {
		m.used -= j.MemoryPerMember
		m.running--
		m.admitted = slices.DeleteFunc(m.admitted, func(o *Job) bool { return o == j })
	}
	j.admitted = false
}

// Cancel removes a job from the engine and releases its memory.
func (e *Engine) Cancel(j *Job) {
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		j.unblockMembers()
		if e.blockingHead == j {
			e.blockingHead = nil
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
		e.release(j)
	}
}

// PrefillBacklog returns the number of prompt tokens that still have to be prefilled, those of
// waiting jobs included.
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

// HasWaiting reports whether jobs wait to be admitted.
func (e *Engine) HasWaiting() bool { return len(e.waiting) > 0 }

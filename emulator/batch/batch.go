// Package batch implements the continuous batching of the emulated engine, without sockets or
// goroutines. Its caller holds the lock, waits for the duration of each step and passes in the
// current time.
package batch

import (
	"cmp"
	"slices"
	"time"

	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Settings of a batch. The fields of the same name in the engine's settings describe them.
type Settings struct {
	Slots                    int
	Prefill, Decode          decide.Rate
	Chunk                    decide.Tokens
	Retention, OrphanTimeout clock.Milli
}

// Batch is the queue and the running batch of one engine.
type Batch struct {
	settings Settings
	memory   *kv.Memory
	// onStart is called when a request takes a slot, onChange whenever the state of its ledger
	// entry changes.
	onStart  func(q *Request)
	onChange func(q *Request)
	// requests holds queued and running requests, and ended ones whose stream can still be resumed.
	requests map[decide.RequestID]*Request
	// queue and running are ordered by priority, then arrival.
	queue, running []*Request
	// imported is the number of tokens of KV cache that were imported for a request that has not ended.
	imported map[decide.RequestID]decide.Tokens
	// lastSweep is the time of the last sweep.
	lastSweep clock.Milli
}

// New returns an empty batch.
func New(s Settings, m *kv.Memory, onStart, onChange func(q *Request)) *Batch {
	return &Batch{
		settings: s,
		memory:   m,
		onStart:  onStart,
		onChange: onChange,
		requests: map[decide.RequestID]*Request{},
		imported: map[decide.RequestID]decide.Tokens{},
	}
}

// Find returns the request if it has not ended or can still be resumed, otherwise nil.
func (b *Batch) Find(id decide.RequestID) *Request { return b.requests[id] }

// AnyOther returns any request other than q, or nil if there is none.
func (b *Batch) AnyOther(q *Request) *Request {
	for _, o := range b.requests {
		if o != q {
			return o
		}
	}
	return nil
}

// QueueLen returns the number of queued requests.
func (b *Batch) QueueLen() int { return len(b.queue) }

// Active returns the number of queued and running requests.
func (b *Batch) Active() int { return len(b.queue) + len(b.running) }

// Add queues a request behind all others of its priority. An earlier request with the same ID must
// have ended.
func (b *Batch) Add(q *Request) {
	q.Entry.Outcome = Queued
	q.Changed = make(chan struct{})
	b.requests[q.ID()] = q
	b.onChange(q)
	i, _ := slices.BinarySearchFunc(b.queue, q.Entry.Priority+1, func(r *Request, p int) int { return r.Entry.Priority - p })
	b.queue = slices.Insert(b.queue, i, q)
}

// Import records that n tokens of the request's KV cache were imported from another engine.
func (b *Batch) Import(id decide.RequestID, n decide.Tokens) { b.imported[id] = n }

// Cancel ends a request and frees its memory. It returns false if there was neither a request nor
// memory.
func (b *Batch) Cancel(id decide.RequestID, now clock.Milli) bool {
	q := b.requests[id]
	if q != nil {
		b.end(q, Canceled, now)
		q.Delivered = true // nobody will resume it
	}
	return b.Release(id) || q != nil
}

// Release frees the memory of a request, but not its exports. It returns false if it had none.
func (b *Batch) Release(id decide.RequestID) bool {
	delete(b.imported, id)
	return b.memory.Release(id)
}

// Step is one iteration of the batch: the number of prompt tokens to prefill for each request, the
// requests that decode one token, and the duration.
type Step struct {
	Duration time.Duration
	prefill  []prefillPart
	decode   []*Request
}

// prefillPart is the part of a step's prefill that belongs to one request.
type prefillPart struct {
	req    *Request
	tokens decide.Tokens
}

// Idle reports whether the step has no work.
func (s *Step) Idle() bool { return len(s.prefill)+len(s.decode) == 0 }

// Plan removes old requests, admits queued ones and plans the next step. The step takes slowdown
// times as long as at full speed.
func (b *Batch) Plan(now clock.Milli, slowdown float64) Step {
	b.sweep(now)
	b.admit(now)
	return b.planStep(slowdown)
}

// sweepInterval is the time between two sweeps, since each sweep visits every stored request.
const sweepInterval clock.Milli = 50

// sweep cancels requests whose reader disconnected and did not return within OrphanTimeout, and
// removes requests that ended at least Retention ago. With a negative OrphanTimeout it cancels none,
// and also retains an ended request until a reader has received the complete stream or the request is
// deleted.
func (b *Batch) sweep(now clock.Milli) {
	if now-b.lastSweep < sweepInterval {
		return
	}
	b.lastSweep = now
	for id, q := range b.requests {
		orphan := b.settings.OrphanTimeout >= 0 && !q.Delivered && q.Readers == 0 && now-q.LastClosed >= b.settings.OrphanTimeout
		switch {
		case !q.Ended && orphan:
			b.end(q, Canceled, now)
		case q.Ended && now-q.Entry.Finished >= b.settings.Retention && q.Readers == 0:
			if b.settings.OrphanTimeout >= 0 || q.Delivered {
				delete(b.requests, id)
			}
		}
	}
}

// admit assigns slots and memory to queued requests by priority, then in order of arrival. It stops
// at the first request that does not fit into memory.
func (b *Batch) admit(now clock.Milli) {
	for len(b.queue) > 0 && len(b.running) < b.settings.Slots {
		q := b.queue[0]
		if !b.memory.Reserve(q.ID(), q.Entry.Reserved) {
			return
		}
		b.queue = b.queue[1:]
		b.start(q, now)
	}
}

func (b *Batch) start(q *Request, now clock.Milli) {
	q.Entry.Started = now
	q.Entry.Outcome = Running
	b.onStart(q)
	b.onChange(q)
	// The last prompt token is always computed: it yields the first output token.
	cached := max(b.memory.CachedTokens(q.Levels), b.imported[q.ID()])
	q.Entry.Cached = max(0, min(cached, q.Entry.Prompt-1))
	q.prefilled = q.Entry.Cached
	b.running = append(b.running, q)
	slices.SortStableFunc(b.running, byPriority)
}

// planStep plans the next step: every decoding request produces one token, and the others share a
// chunk of prefill, most urgent first. The prefill lengthens the step for all requests, so a long
// prompt slows down the decoding of the others, as it does in a real engine.
func (b *Batch) planStep(slowdown float64) Step {
	var s Step
	budget := b.settings.Chunk
	for _, q := range b.running {
		need := q.Entry.Prompt - q.prefilled
		if need <= 0 {
			s.decode = append(s.decode, q)
			continue
		}
		if n := min(need, budget); n > 0 {
			s.prefill = append(s.prefill, prefillPart{q, n})
			budget -= n
		}
	}
	seconds := float64(b.settings.Chunk-budget) / float64(b.settings.Prefill)
	if len(s.decode) > 0 {
		seconds += 1 / float64(b.settings.Decode)
	}
	s.Duration = time.Duration(slowdown * seconds * float64(time.Second))
	return s
}

// Apply records the progress and the stream events of a finished step. Requests that have ended
// since the step was planned are skipped.
func (b *Batch) Apply(s Step, now clock.Milli) {
	for _, q := range s.decode {
		b.emit(q, now)
	}
	for _, p := range s.prefill {
		q := p.req
		q.prefilled += p.tokens
		if q.prefilled < q.Entry.Prompt || q.Ended {
			continue
		}
		b.memory.CachePrompt(q.Levels)
		b.emit(q, now)
	}
}

// emit produces the next output token, and after the last token also the final event with the usage.
func (b *Batch) emit(q *Request, now clock.Milli) {
	if q.Ended {
		return
	}
	if len(q.Events) == 0 {
		q.Entry.FirstToken = now
	}
	q.Events = append(q.Events, now)
	q.Entry.Output++
	if len(q.Events) < q.Limit {
		q.notify()
		return
	}
	q.Events = append(q.Events, now)
	b.end(q, Done, now)
}

// end removes a request from the batch or the queue and frees its memory. With a negative
// OrphanTimeout, a request that is done without an open stream retains its memory until a stream is
// read to the end or the request is deleted.
func (b *Batch) end(q *Request, o Outcome, now clock.Milli) {
	if q.Ended {
		return
	}
	q.Ended = true
	q.Entry.Finished = now
	q.Entry.Outcome = o
	b.onChange(q)
	b.running = slices.DeleteFunc(b.running, func(r *Request) bool { return r == q })
	b.queue = slices.DeleteFunc(b.queue, func(r *Request) bool { return r == q })
	if b.settings.OrphanTimeout >= 0 || o == Canceled || q.Readers > 0 {
		b.Release(q.ID())
	}
	q.notify()
}

func byPriority(a, b *Request) int { return cmp.Compare(a.Entry.Priority, b.Entry.Priority) }

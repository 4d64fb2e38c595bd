// Package batch is the heart of the stand-in engine: continuous batching over
// tables of requests, without sockets or goroutines. Its caller locks, lets
// the time of each step pass, and passes the clock's readings in.
package batch

import (
	"cmp"
	"slices"
	"time"

	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Settings of a batch; the fields are those of the engine's settings.
type Settings struct {
	Slots                    int
	Prefill, Decode          decide.Rate
	Chunk                    decide.Tokens
	Retention, OrphanTimeout clock.Milli
}

// Batch holds the requests of one engine.
type Batch struct {
	settings Settings
	memory   *kv.Memory
	// started is called when a request takes its slot, changed with every change of its entry.
	started func(q *Request)
	changed func(q *Request)
	// requests holds live ones and ended ones that can still be resumed.
	requests map[decide.RequestID]*Request
	// queue and running are ordered by priority, then arrival.
	queue, running []*Request
	// imported counts tokens that came by import, until their request ends.
	imported map[decide.RequestID]decide.Tokens
	// forgot is when old requests were last dropped.
	forgot clock.Milli
}

// New returns an empty batch.
func New(s Settings, m *kv.Memory, started, changed func(q *Request)) *Batch {
	return &Batch{
		settings: s,
		memory:   m,
		started:  started,
		changed:  changed,
		requests: map[decide.RequestID]*Request{},
		imported: map[decide.RequestID]decide.Tokens{},
	}
}

// Find returns a request that runs or can still be resumed, or nil.
func (b *Batch) Find(id decide.RequestID) *Request { return b.requests[id] }

// AnyOther returns some other request, or nil.
func (b *Batch) AnyOther(q *Request) *Request {
	for _, o := range b.requests {
		if o != q {
			return o
		}
	}
	return nil
}

// QueueLen counts queued requests.
func (b *Batch) QueueLen() int { return len(b.queue) }

// Active counts queued and running requests.
func (b *Batch) Active() int { return len(b.queue) + len(b.running) }

// Add queues a request behind all of its priority. One of the same id must have ended.
func (b *Batch) Add(q *Request) {
	q.Entry.Outcome = Queued
	q.Changed = make(chan struct{})
	b.requests[q.ID()] = q
	b.changed(q)
	i, _ := slices.BinarySearchFunc(b.queue, q.Entry.Priority+1, func(r *Request, p int) int { return r.Entry.Priority - p })
	b.queue = slices.Insert(b.queue, i, q)
}

// Import notes that n tokens of a request came from another engine.
func (b *Batch) Import(id decide.RequestID, n decide.Tokens) { b.imported[id] = n }

// Cancel ends a request and frees what it holds; it tells whether there was anything to end or free.
func (b *Batch) Cancel(id decide.RequestID, now clock.Milli) bool {
	q := b.requests[id]
	if q != nil {
		b.end(q, Canceled, now)
		q.Delivered = true // nobody will resume it
	}
	return b.Release(id) || q != nil
}

// Release frees all that a request holds; exports stay.
func (b *Batch) Release(id decide.RequestID) bool {
	delete(b.imported, id)
	return b.memory.Release(id)
}

// Step is one pass of the batch: how many prompt tokens each request gets
// prefilled, who decodes one token, and how long that takes.
type Step struct {
	Duration time.Duration
	prefill  []part
	decode   []*Request
}

// part is one request's share of a step's prefill.
type part struct {
	req    *Request
	tokens decide.Tokens
}

// Idle tells whether there is nothing to do.
func (s *Step) Idle() bool { return len(s.prefill)+len(s.decode) == 0 }

// Plan runs the tables' systems: forget, admit, then share the next step, which
// takes slow times as long as at full speed.
func (b *Batch) Plan(now clock.Milli, slow float64) Step {
	b.forget(now)
	b.admit(now)
	return b.share(slow)
}

// forgetStep is how often old requests are looked for: the look costs time for each one kept.
const forgetStep clock.Milli = 50

// forget cancels requests whose reader stayed away and drops old streams.
func (b *Batch) forget(now clock.Milli) {
	if now-b.forgot < forgetStep {
		return
	}
	b.forgot = now
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

// admit gives slots and memory to queued requests, most urgent first, then in order of arrival.
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
	b.started(q)
	b.changed(q)
	// The last prompt token is always computed: it yields the first output token.
	cached := max(b.memory.CachedTokens(q.Levels), b.imported[q.ID()])
	q.Entry.Cached = max(0, min(cached, q.Entry.Prompt-1))
	q.filled = q.Entry.Cached
	b.running = append(b.running, q)
	slices.SortStableFunc(b.running, byPriority)
}

// share splits the next step: all that decode get one token, and a chunk of
// prefill goes to the others, most urgent first. The chunk lengthens the step
// for all, which is how a long prompt slows the decode of its neighbours.
func (b *Batch) share(slow float64) Step {
	var s Step
	left := b.settings.Chunk
	for _, q := range b.running {
		need := q.Entry.Prompt - q.filled
		if need <= 0 {
			s.decode = append(s.decode, q)
			continue
		}
		if n := min(need, left); n > 0 {
			s.prefill = append(s.prefill, part{q, n})
			left -= n
		}
	}
	seconds := float64(b.settings.Chunk-left) / float64(b.settings.Prefill)
	if len(s.decode) > 0 {
		seconds += 1 / float64(b.settings.Decode)
	}
	s.Duration = time.Duration(slow * seconds * float64(time.Second))
	return s
}

// Apply makes the events of a step, for requests that still run.
func (b *Batch) Apply(s Step, now clock.Milli) {
	for _, q := range s.decode {
		b.emit(q, now)
	}
	for _, p := range s.prefill {
		q := p.req
		q.filled += p.tokens
		if q.filled < q.Entry.Prompt || q.Ended {
			continue
		}
		b.memory.CachePrompt(q.Levels)
		b.emit(q, now)
	}
}

// emit makes the next token, and with the last one the event that carries the usage.
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
		q.wake()
		return
	}
	q.Events = append(q.Events, now)
	b.end(q, Done, now)
}

// end takes a request out of the batch or the queue and frees its memory,
// unless it is to be held until its deletion.
func (b *Batch) end(q *Request, o Outcome, now clock.Milli) {
	if q.Ended {
		return
	}
	q.Ended = true
	q.Entry.Finished = now
	q.Entry.Outcome = o
	b.changed(q)
	b.running = slices.DeleteFunc(b.running, func(r *Request) bool { return r == q })
	b.queue = slices.DeleteFunc(b.queue, func(r *Request) bool { return r == q })
	if b.settings.OrphanTimeout >= 0 || o == Canceled || q.Readers > 0 {
		b.Release(q.ID())
	}
	q.wake()
}

func byPriority(a, b *Request) int { return cmp.Compare(a.Entry.Priority, b.Entry.Priority) }

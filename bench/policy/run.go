// Package policy runs scheduling policies against the engine model in simulated time.
package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"snipeshift.example/bench/engine"
	"snipeshift.example/bench/load"
)

const (
	// hop is the one-way network delay between daemon and engine, in milliseconds.
	hop = 3
	// RoundTrip is the round trip between daemon and engine, in milliseconds.
	RoundTrip = 2 * hop
	// reportPeriod is the time between two load reports of an engine, reportLag the delay before
	// the policy receives one, both in milliseconds.
	reportPeriod, reportLag = 500, 250
	// cacheEventLag is the delay of cache events in milliseconds, cacheEventLossRate the fraction
	// of them that is lost.
	cacheEventLag, cacheEventLossRate = 500, 0.02
)

// Policy places requests on engines. All times are milliseconds of simulated time.
type Policy interface {
	// Arrive is called when a request arrives.
	Arrive(now float64, q *load.Request)
	// FirstToken is called when the first token of a response arrives, Done when its last one does.
	FirstToken(now float64, q *load.Request)
	Done(now float64, q *load.Request)
	// Canceled is called when a request is canceled at its deadline.
	Canceled(now float64, q *load.Request)
	// Report is called when a load report of an engine arrives, CacheEvent when an event of its
	// prefix cache does.
	Report(now float64, r Report)
	CacheEvent(now float64, h CacheEvent)
	// Wake is called at the instant that NextWake returns; NextWake returns infinity for a policy
	// without timers.
	Wake(now float64)
	NextWake(now float64) float64
}

// Fleet carries out the decisions of a policy.
type Fleet interface {
	// Dispatch sends a request to engines, the leader of the group first; each reserves share
	// tokens of memory. A lower priority value is prefilled first.
	Dispatch(q *load.Request, members []int, priority int, share int64)
	// Refuse refuses a request on arrival, with a retry delay in milliseconds.
	Refuse(q *load.Request, retry float64)
	// Drop cancels a request that was accepted before.
	Drop(q *load.Request)
}

// Report is an engine's load report.
type Report struct {
	Engine int
	// Backlog is the prompt tokens not yet prefilled, UsedMemory the memory in use in tokens.
	Backlog    int64
	UsedMemory int64
	Running    []*load.Request
}

// CacheEvent reports a change of an engine's prefix cache. Seq counts the events of the engine, so
// that a lost one leaves a gap.
type CacheEvent struct {
	Engine  int
	Seq     uint64
	Hash    uint64
	Evicted bool
}

type eventKind uint8

// The kinds of events. At an event whose name ends in Seen, the policy receives a notification, a
// report or a cache event.
const (
	arrival eventKind = iota
	dispatched
	engineTimer
	firstTokenSeen
	lastTokenSeen
	deadline
	reportTaken
	reportSeen
	cacheEventSeen
)

type event struct {
	at     float64
	seq    int
	kind   eventKind
	q      *load.Request
	job    *engine.Job
	engine *engine.Engine
	// timerVersion is the engine's timer version when the event was scheduled; a later version
	// makes the event obsolete.
	timerVersion int
	report       Report
	cacheEvent   CacheEvent
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Run is one run of a policy over a list of requests.
type Run struct {
	engines []*engine.Engine
	// timerVersions counts the timers set for each engine; only the last one is valid.
	timerVersions []int
	requests      []*load.Request
	jobs          []*engine.Job
	policy        Policy
	events        eventHeap
	seq           int
	now           float64
	// unfinished counts the requests that are neither done, refused nor dropped.
	unfinished int
	// cacheEventSeq is the number of cache events of each engine so far.
	cacheEventSeq []uint64
	random        *rand.Rand
	engineEvents  []engine.Event
	nextWake      float64
}

// New sets up a run. shortestFirst makes the engines admit and prefill the shortest prompt first;
// build creates the policy on the run as its fleet.
func New(d *load.Deployment, s load.Scenario, requests []*load.Request, shortestFirst bool, build func(Fleet) Policy) *Run {
	r := &Run{
		requests: requests, jobs: make([]*engine.Job, len(requests)), unfinished: len(requests),
		cacheEventSeq: make([]uint64, d.Engines), timerVersions: make([]int, d.Engines),
		random: rand.New(rand.NewPCG(9, 9)),
	}
	for i := range d.Engines {
		e := engine.New(i, d.Engine)
		e.ShortestFirst = shortestFirst
		if i == min(slowEngine, d.Engines-1) && s.Slowdown > 1 {
			e.Slowdown = s.Slowdown
		}
		e.OnCacheChange = func(hash uint64, evicted bool) { r.cacheChanged(i, hash, evicted) }
		r.engines = append(r.engines, e)
		r.push(&event{at: float64(i) * reportPeriod / float64(d.Engines), kind: reportTaken, engine: e})
	}
	for _, q := range requests {
		r.push(&event{at: q.Arrived, kind: arrival, q: q})
	}
	r.policy = build(r)
	return r
}

// slowEngine is the index of the engine that is slowed down if the scenario has a slow one.
const slowEngine = 5

func (r *Run) push(e *event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

func (r *Run) cacheChanged(i int, hash uint64, evicted bool) {
	r.cacheEventSeq[i]++
	if r.random.Float64() < cacheEventLossRate {
		return
	}
	h := CacheEvent{Engine: i, Seq: r.cacheEventSeq[i], Hash: hash, Evicted: evicted}
	r.push(&event{at: r.now + cacheEventLag, kind: cacheEventSeen, cacheEvent: h})
}

// Simulate runs until every request has ended.
func (r *Run) Simulate() {
	r.nextWake = r.policy.NextWake(0)
	for r.unfinished > 0 {
		next := r.events[0].at
		if r.nextWake <= next {
			r.now = max(r.nextWake, r.now)
			r.policy.Wake(r.now)
		} else {
			e := heap.Pop(&r.events).(*event)
			r.now = e.at
			r.handleEvent(e)
		}
		r.nextWake = r.policy.NextWake(r.now)
	}
}

// handleEvent processes one event of the simulation.
func (r *Run) handleEvent(e *event) {
	switch e.kind {
	case arrival:
		r.push(&event{at: e.q.Deadline, kind: deadline, q: e.q})
		r.policy.Arrive(r.now, e.q)
	case dispatched:
		r.submit(e.job)
	case engineTimer:
		if e.timerVersion == r.timerVersions[e.engine.Index] {
			r.advance(e.engine)
			r.admit()
		}
	case firstTokenSeen:
		if e.q.Done < 0 && !e.q.Dropped {
			r.policy.FirstToken(r.now, e.q)
		}
	case lastTokenSeen:
		r.policy.Done(r.now, e.q)
	case deadline:
		r.handleDeadline(e.q)
	case reportTaken:
		r.report(e.engine)
	case reportSeen:
		r.policy.Report(r.now, e.report)
	case cacheEventSeen:
		r.policy.CacheEvent(r.now, e.cacheEvent)
	}
}

// advance simulates one engine up to now and schedules the notifications of its events to the
// policy.
func (r *Run) advance(en *engine.Engine) {
	r.engineEvents = en.Advance(r.now, r.engineEvents[:0])
	for _, h := range r.engineEvents {
		q := r.requests[h.Job.ID]
		if !h.Ended {
			q.FirstToken = r.now + hop
			r.push(&event{at: r.now + hop, kind: firstTokenSeen, q: q})
			continue
		}
		q.Done = r.now + hop
		r.recordPrefill(q)
		r.unfinished--
		r.push(&event{at: r.now + hop, kind: lastTokenSeen, q: q})
	}
	r.schedule(en)
}

// schedule sets the engine's timer to its next event and invalidates the previous timer.
func (r *Run) schedule(en *engine.Engine) {
	r.timerVersions[en.Index]++
	if next := en.NextEvent(); !math.IsInf(next, 1) {
		r.push(&event{at: max(next, r.now), kind: engineTimer, engine: en, timerVersion: r.timerVersions[en.Index]})
	}
}

// admit starts the waiting jobs that now fit, on every engine.
func (r *Run) admit() {
	for _, en := range r.engines {
		if en.HasWaiting() {
			r.advance(en)
			en.Admit()
			r.schedule(en)
		}
	}
}

func (r *Run) submit(j *engine.Job) {
	q := r.requests[j.ID]
	if q.Dropped {
		return
	}
	j.Members[0].Submit(j)
	r.admit()
}

// recordPrefill copies the numbers of cached and prefilled tokens from the request's job.
func (r *Run) recordPrefill(q *load.Request) {
	if j := r.jobs[q.ID]; j != nil {
		q.Cached, q.Prefilled = j.Cached, j.Prefilled
	}
}

// handleDeadline cancels a request that has not ended by its deadline.
func (r *Run) handleDeadline(q *load.Request) {
	if q.Done >= 0 || q.Refused || q.Dropped {
		return
	}
	r.abort(q)
	r.policy.Canceled(r.now, q)
}

// abort marks a request as dropped and cancels its job, if it has one.
func (r *Run) abort(q *load.Request) {
	q.Dropped = true
	r.unfinished--
	j := r.jobs[q.ID]
	if j == nil {
		return
	}
	lead := j.Members[0]
	r.advance(lead)
	r.recordPrefill(q)
	lead.Cancel(j)
	r.schedule(lead)
	r.admit()
}

// report takes a load report of an engine, to be delivered after reportLag, and schedules the next
// one.
func (r *Run) report(en *engine.Engine) {
	r.advance(en)
	rep := Report{Engine: en.Index, Backlog: en.PrefillBacklog(), UsedMemory: en.UsedMemory()}
	for _, j := range en.Admitted() {
		rep.Running = append(rep.Running, r.requests[j.ID])
	}
	r.push(&event{at: r.now + reportLag, kind: reportSeen, report: rep})
	r.push(&event{at: r.now + reportPeriod, kind: reportTaken, engine: en})
}

// Dispatch implements Fleet.
func (r *Run) Dispatch(q *load.Request, members []int, priority int, share int64) {
	j := &engine.Job{
		ID: q.ID, Priority: priority, Prompt: q.Prompt, Output: q.Output, MemoryPerMember: share, Prefixes: q.Prefixes,
	}
	for _, m := range members {
		j.Members = append(j.Members, r.engines[m])
	}
	r.jobs[q.ID] = j
	r.push(&event{at: r.now + hop, kind: dispatched, job: j})
}

// Refuse implements Fleet.
func (r *Run) Refuse(q *load.Request, retry float64) {
	q.Refused, q.RetryAfter = true, retry
	r.unfinished--
}

// Drop implements Fleet.
func (r *Run) Drop(q *load.Request) { r.abort(q) }

// Package policy runs a policy against the engines in simulated time.
package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"snipeshift.example/bench/engine"
	"snipeshift.example/bench/load"
)

const (
	// hop is the time in milliseconds between daemon and engine, one way.
	hop = 3
	// RoundTrip is the way to the engine and back.
	RoundTrip = 2 * hop
	// reportEvery and reportLag are how often engines report and how late it arrives.
	reportEvery, reportLag = 500, 250
	// hintLag is how late cache events arrive, hintLoss how many are lost.
	hintLag, hintLoss = 500, 0.02
)

// Policy decides. All times are milliseconds.
type Policy interface {
	Arrive(now float64, q *load.Request)
	FirstToken(now float64, q *load.Request)
	Done(now float64, q *load.Request)
	// Canceled tells that the caller gave up at its deadline.
	Canceled(now float64, q *load.Request)
	Report(now float64, r Report)
	CacheEvent(now float64, h CacheEvent)
	// Wake is called at Next; Next is infinite for a policy without timers.
	Wake(now float64)
	NextWake(now float64) float64
}

// Fleet is what a policy acts on.
type Fleet interface {
	Dispatch(q *load.Request, members []int, priority int, share int64)
	Refuse(q *load.Request, retry float64)
	Drop(q *load.Request)
}

// Report is an engine's word on its load.
type Report struct {
	Engine     int
	Backlog    int64
	UsedMemory int64
	Running    []*load.Request
}

// CacheEvent is a cache event.
type CacheEvent struct {
	Engine  int
	Seq     uint64
	Hash    uint64
	Evicted bool
}

type eventKind uint8

const (
	arrival eventKind = iota
	dispatched
	engineDue
	firstSeen
	doneSeen
	deadline
	reportDue
	reportSeen
	hintSeen
)

type event struct {
	at     float64
	seq    int
	kind   eventKind
	q      *load.Request
	job    *engine.Job
	engine *engine.Engine
	// version tells a timer that was overtaken.
	version int
	report  Report
	hint    CacheEvent
}

type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Run is one run of a policy over a list of requests.
type Run struct {
	engines  []*engine.Engine
	versions []int
	requests []*load.Request
	jobs     []*engine.Job
	policy   Policy
	events   events
	seq      int
	now      float64
	open     int
	hints    []uint64
	random   *rand.Rand
	happened []engine.Event
	wake     float64
}

// New sets up a run; make builds the policy on the run's fleet.
func New(d *load.Deployment, s load.Scenario, requests []*load.Request, shortest bool, build func(Fleet) Policy) *Run {
	r := &Run{
		requests: requests, jobs: make([]*engine.Job, len(requests)), open: len(requests),
		hints: make([]uint64, d.Engines), versions: make([]int, d.Engines),
		random: rand.New(rand.NewPCG(9, 9)),
	}
	for i := range d.Engines {
		e := engine.New(i, d.Engine)
		e.ShortestFirst = shortest
		if i == min(slowEngine, d.Engines-1) && s.Slowdown > 1 {
			e.Slowdown = s.Slowdown
		}
		e.OnCacheChange = func(hash uint64, evicted bool) { r.cacheChanged(i, hash, evicted) }
		r.engines = append(r.engines, e)
		r.push(&event{at: float64(i) * reportEvery / float64(d.Engines), kind: reportDue, engine: e})
	}
	for _, q := range requests {
		r.push(&event{at: q.Arrived, kind: arrival, q: q})
	}
	r.policy = build(r)
	return r
}

// slowEngine is the one that a slow scenario slows down.
const slowEngine = 5

func (r *Run) push(e *event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

func (r *Run) cacheChanged(i int, hash uint64, evicted bool) {
	r.hints[i]++
	if r.random.Float64() < hintLoss {
		return
	}
	h := CacheEvent{Engine: i, Seq: r.hints[i], Hash: hash, Evicted: evicted}
	r.push(&event{at: r.now + hintLag, kind: hintSeen, hint: h})
}

// Simulate runs until every request has ended.
func (r *Run) Simulate() {
	r.wake = r.policy.NextWake(0)
	for r.open > 0 {
		next := r.events[0].at
		if r.wake <= next {
			r.now = max(r.wake, r.now)
			r.policy.Wake(r.now)
		} else {
			e := heap.Pop(&r.events).(*event)
			r.now = e.at
			r.handle(e)
		}
		r.wake = r.policy.NextWake(r.now)
	}
}

func (r *Run) handle(e *event) {
	switch e.kind {
	case arrival:
		r.push(&event{at: e.q.Deadline, kind: deadline, q: e.q})
		r.policy.Arrive(r.now, e.q)
	case dispatched:
		r.submit(e.job)
	case engineDue:
		if e.version == r.versions[e.engine.Index] {
			r.advance(e.engine)
			r.admit()
		}
	case firstSeen:
		if e.q.Done < 0 && !e.q.Dropped {
			r.policy.FirstToken(r.now, e.q)
		}
	case doneSeen:
		r.policy.Done(r.now, e.q)
	case deadline:
		r.giveUp(e.q)
	case reportDue:
		r.report(e.engine)
	case reportSeen:
		r.policy.Report(r.now, e.report)
	case hintSeen:
		r.policy.CacheEvent(r.now, e.hint)
	}
}

// advance brings one engine to now and tells what happened on it.
func (r *Run) advance(en *engine.Engine) {
	r.happened = en.Advance(r.now, r.happened[:0])
	for _, h := range r.happened {
		q := r.requests[h.Job.ID]
		if !h.Ended {
			q.FirstToken = r.now + hop
			r.push(&event{at: r.now + hop, kind: firstSeen, q: q})
			continue
		}
		q.Done = r.now + hop
		r.settle(q)
		r.open--
		r.push(&event{at: r.now + hop, kind: doneSeen, q: q})
	}
	r.schedule(en)
}

func (r *Run) schedule(en *engine.Engine) {
	r.versions[en.Index]++
	if next := en.NextEvent(); !math.IsInf(next, 1) {
		r.push(&event{at: max(next, r.now), kind: engineDue, engine: en, version: r.versions[en.Index]})
	}
}

// admit lets every engine start what fits now.
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

func (r *Run) settle(q *load.Request) {
	if j := r.jobs[q.ID]; j != nil {
		q.Cached, q.Prefilled = j.Cached, j.Prefilled
	}
}

// giveUp cancels a request whose deadline came.
func (r *Run) giveUp(q *load.Request) {
	if q.Done >= 0 || q.Refused || q.Dropped {
		return
	}
	r.end(q)
	r.policy.Canceled(r.now, q)
}

func (r *Run) end(q *load.Request) {
	q.Dropped = true
	r.open--
	j := r.jobs[q.ID]
	if j == nil {
		return
	}
	lead := j.Members[0]
	r.advance(lead)
	r.settle(q)
	lead.Cancel(j)
	r.schedule(lead)
	r.admit()
}

func (r *Run) report(en *engine.Engine) {
	r.advance(en)
	rep := Report{Engine: en.Index, Backlog: en.PrefillBacklog(), UsedMemory: en.UsedMemory()}
	for _, j := range en.Admitted() {
		rep.Running = append(rep.Running, r.requests[j.ID])
	}
	r.push(&event{at: r.now + reportLag, kind: reportSeen, report: rep})
	r.push(&event{at: r.now + reportEvery, kind: reportDue, engine: en})
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
	r.open--
}

// Drop implements Fleet: an admitted request is given up.
func (r *Run) Drop(q *load.Request) { r.end(q) }

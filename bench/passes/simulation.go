package passes

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/route"
)

// Kind is one kind of request of a load.
type Kind struct {
	Name string
	// Rate is in requests a second.
	Rate float64
	// Prompt lengths in tokens are log-normal with mean MeanPrompt and standard deviation
	// PromptSpread of the logarithm, limited to MaxPrompt.
	MeanPrompt, PromptSpread, MaxPrompt float64
	// MeanEvents and EventSpread are the same two parameters for the number of events of a
	// response.
	MeanEvents, EventSpread float64
	// Aim is the target time to the first event, Gap the longest tolerated pause between events,
	// TimeLimit the time for the whole response, all in milliseconds. The simulation does not read
	// TimeLimit.
	Aim, Gap, TimeLimit clock.Milli
	// Worth is the value of a response in time to a prompt of the mean length; a late response has
	// a quarter of its value.
	Worth float64
}

// patience returns how long a client waits for the first event before it gives up.
func (k *Kind) patience() clock.Milli { return max(2000, 4*k.Aim, 8*k.Gap) }

// Load describes arrivals and the engines that serve them.
type Load struct {
	Kinds []Kind
	// Phases are factors on the rates of the kinds. Each applies for PhaseTime milliseconds, in
	// turn and over again; none means a factor of 1.
	Phases    [][]float64
	PhaseTime float64
	// Scale is a factor on all rates.
	Scale   float64
	Engines int
	Engine  route.Engine
	// Length is how long requests arrive, in milliseconds.
	Length float64
	// Forecast is set if requests are refused by the forecast of their wait.
	Forecast bool
}

// hopDelay is the one-way network delay between a gate (the VM that holds the client's connection)
// and an engine, in milliseconds.
const hopDelay = 1.5

// KindResult is the outcome for one kind of request. Requests counts all requests, InTime, Late and
// Lost those with each outcome, PausedTooLong those with a pause longer than tolerated.
type KindResult struct {
	Requests, InTime, Late, Lost int
	// QueueingLoss is the value lost by queueing requests that were refused in the end: nothing for
	// those refused within an eighth of their aim, rising to the whole value at three quarters of
	// the client's patience.
	QueueingLoss float64
	// Worth is the value of the responses, MaxWorth the value if all had come in time.
	Worth, MaxWorth float64
	// FirstP50 and FirstP99 are percentiles of the time to the first event, in milliseconds.
	FirstP50, FirstP99, PausedTooLong float64
}

// Result is the outcome of one simulation.
type Result struct {
	Kinds map[string]*KindResult
	// Worth is the value of all responses divided by their value if all had come in time. Net is
	// the same less the value lost by queueing requests that were refused in the end.
	Worth, Net float64
	// BusyFraction is the fraction of the engines' time spent in passes, PrefillFraction that spent
	// on prefill.
	BusyFraction, PrefillFraction float64
	// Responses are the outcomes of all arrivals, in the order of the arrivals.
	Responses []Response
	// EngineTime is the engines' time by use.
	EngineTime EngineTime
}

// Arrival is one request of a load.
type Arrival struct {
	Kind *Kind
	// At is the instant of arrival, in milliseconds from the start of the load.
	At     float64
	Prompt decide.Tokens
	// Events is the number of events of the response, Output its token limit; zero stands for the
	// tokens of Events.
	Events int
	Output decide.Tokens
	// TimeLimit is the time from arrival to the deadline of the whole response; zero stands for the
	// time that the client waits for the first event.
	TimeLimit clock.Milli
	Urgency   decide.Urgency
	// Kept is set if the client waits for the first event without end.
	Kept bool
}

// Response is the response to one arrival, as its client receives it.
type Response struct {
	// First is the time to the first event, zero if none came, and Pause the longest pause after
	// it, both in milliseconds.
	First, Pause float64
	// Complete is set if the last event was received.
	Complete bool
	// RefusalReason is the reason of the refusal; empty if the request was not refused.
	RefusalReason string
	// Queued is the time from arrival to the refusal, in milliseconds.
	Queued float64
}

// Outcome classifies a response by its use to the client.
type Outcome uint8

// All values of Outcome: a response that met its targets, one that missed its aim or a pause limit,
// and no response of use to the client.
const (
	InTime Outcome = iota
	Late
	Lost
)

// Outcome classifies the response to a request of kind k. A response that begins after the client
// has given up, or that is not complete, is lost.
func (r *Response) Outcome(k *Kind) Outcome {
	switch {
	case r.First == 0 || !r.Complete || r.First > float64(k.patience()):
		return Lost
	case r.First > float64(k.Aim) || k.Gap > 0 && r.Pause > float64(k.Gap):
		return Late
	default:
		return InTime
	}
}

// WorthOf returns the value of a response in time to a prompt. It grows with the prompt length, up
// to four times the value at the mean length.
func (k *Kind) WorthOf(prompt decide.Tokens) float64 {
	return k.Worth * min(4, 0.3+0.7*float64(prompt)/k.MeanPrompt)
}

// LateFraction is the fraction of its value that a late response has.
const LateFraction = 0.25

// event is an action scheduled for an instant; seq keeps the order of events at the same instant.
type event struct {
	at  float64
	seq int
	do  func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one simulation.
type simulation struct {
	load    *Load
	now     float64
	seq     int
	queue   eventHeap
	pool    *span.Pool
	engines map[decide.UpstreamID]*engine
	// engineList holds the engines in a fixed order.
	engineList []*engine
	jobs       map[decide.RequestID]*job
	// waiting holds the jobs that are neither refused nor have produced their first event.
	waiting    map[decide.RequestID]*job
	jobList    []*job
	results    map[string]*KindResult
	firstTimes map[string][]float64
}

// clockOffset shifts the simulated time away from zero, which the pool reads as "never".
const clockOffset = 1000

// Simulate runs a load under the pool's decisions with the given rules. The same seed gives the
// same result.
func Simulate(l *Load, r span.Rules, seed uint64) Result {
	return SimulateArrivals(l, r, Draw(l, seed))
}

// SimulateArrivals runs the given arrivals on the engines of a load.
func SimulateArrivals(l *Load, r span.Rules, as []Arrival) Result {
	s := &simulation{
		load: l, now: clockOffset,
		pool:    span.New(r, gate.NewBudget(0.2, 100, 10*clock.Second)),
		engines: map[decide.UpstreamID]*engine{}, jobs: map[decide.RequestID]*job{}, waiting: map[decide.RequestID]*job{},
		results: map[string]*KindResult{}, firstTimes: map[string][]float64{},
	}
	spec := l.Engine
	var us []route.Upstream
	for i := range l.Engines {
		id := decide.UpstreamID("e" + strconv.Itoa(10_000+i))
		us = append(us, route.Upstream{ID: id, Service: "s", Address: string(id), Slots: spec.Slots})
		s.engines[id] = &engine{spec: &spec}
		s.engineList = append(s.engineList, s.engines[id])
	}
	s.pool.SetForecast(l.Forecast)
	s.pool.SetUpstreams(0, &route.Service{ID: "s", Engine: &spec}, us)
	for i := range l.Kinds {
		s.results[l.Kinds[i].Name] = &KindResult{}
	}
	for i := range as {
		s.scheduleArrival(&as[i])
	}
	s.scheduleEvery(tickPeriod, func() {
		s.tick()
		s.countIdle()
	})
	s.scheduleEvery(500, func() { s.renewQueued() })
	for len(s.queue) > 0 && s.now < clockOffset+l.Length+20_000 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s.result()
}

// schedule runs do at the given instant.
func (s *simulation) schedule(at float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at, s.seq, do})
}

// scheduleEvery runs do once every period, until at most one other event is scheduled.
func (s *simulation) scheduleEvery(period float64, do func()) {
	s.schedule(s.now+period, func() {
		do()
		if len(s.queue) > 1 {
			s.scheduleEvery(period, do)
		}
	})
}

// Draw draws the arrivals of a load. The same seed gives the same arrivals.
func Draw(l *Load, seed uint64) []Arrival {
	g := generator{load: l, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range l.Kinds {
		g.arrivals(&l.Kinds[i], i)
	}
	return g.out
}

// generator draws arrivals.
type generator struct {
	load *Load
	rng  *rand.Rand
	out  []Arrival
}

// arrivals draws the requests of one kind.
func (g *generator) arrivals(k *Kind, index int) {
	phase := func(t float64) float64 {
		if len(g.load.Phases) == 0 {
			return 1
		}
		return g.load.Phases[int(t/g.load.PhaseTime)%len(g.load.Phases)][index]
	}
	for t := 0.0; t < g.load.Length; {
		rate := k.Rate * g.load.Scale * phase(t) / 1000
		t += g.rng.ExpFloat64() / max(rate, 1e-9)
		if t >= g.load.Length {
			return
		}
		g.out = append(g.out, Arrival{
			Kind: k, At: t, Prompt: decide.Tokens(min(g.lognormal(k.MeanPrompt, k.PromptSpread), k.MaxPrompt)) + 40,
			Events: max(1, int(min(g.lognormal(k.MeanEvents, k.EventSpread), 2.5*k.MeanEvents))),
		})
	}
}

// lognormal draws a number from the log-normal distribution with that mean; spread is the standard
// deviation of its logarithm.
func (g *generator) lognormal(mean, spread float64) float64 {
	return math.Exp(math.Log(mean) - spread*spread/2 + spread*g.rng.NormFloat64())
}

// scheduleArrival creates the job of an arrival and schedules it.
func (s *simulation) scheduleArrival(a *Arrival) {
	j := &job{kind: a.Kind, arrived: clockOffset + a.At, prompt: a.Prompt, eventsLeft: a.Events, output: a.Output, timeLimit: a.TimeLimit, urgency: a.Urgency, patience: a.Kind.patience()}
	if a.Kept {
		j.patience = unlimited
	}
	if j.output == 0 {
		j.output = decide.Tokens(a.Events * s.load.Engine.Stride)
	}
	if j.timeLimit == 0 {
		j.timeLimit = a.Kind.patience()
	}
	j.id = decide.RequestID(a.Kind.Name + strconv.FormatInt(int64(len(s.jobList)), 10))
	s.jobs[j.id] = j
	s.jobList = append(s.jobList, j)
	s.schedule(j.arrived, func() { s.arrive(j) })
}

// arrive asks the pool for a placement.
func (s *simulation) arrive(j *job) {
	now := clock.Milli(j.arrived)
	s.waiting[j.id] = j
	s.pool.Ask(now, span.Ask{
		ID: j.id, Gate: "g", Prompt: j.prompt, Output: j.output, Urgency: j.urgency,
		Aim: now + j.kind.Aim, Patience: now + j.patience, Deadline: now + j.timeLimit, Gap: j.kind.Gap, Stream: true,
	})
	s.tick()
}

// renewQueued presents all waiting requests to the pool again, as gates do.
func (s *simulation) renewQueued() {
	now := clock.Milli(s.now)
	for id, j := range s.waiting {
		s.pool.Ask(now, span.Ask{ID: id, Gate: "g", Deadline: now - 1, Prompt: j.prompt})
	}
}

// tick carries out the pool's pending decisions.
func (s *simulation) tick() {
	for _, d := range s.pool.Tick(clock.Milli(s.now)) {
		j := s.jobs[d.Request]
		if d.Action == span.Refused {
			j.last, j.refused = s.now, d.Reason
			delete(s.waiting, j.id)
			k := s.results[j.kind.Name]
			k.Lost++
			if waited := s.now - j.arrived; waited > float64(j.kind.Aim)/8 {
				k.QueueingLoss += j.worth() * min(1, waited/(0.75*float64(j.kind.patience())))
			}
			continue
		}
		s.schedule(s.now+hopDelay, func() { s.startPrefill(j, d.Grant) })
	}
}

// startPrefill distributes the parts of a prompt over the granted engines. On a helper engine the
// part goes ahead of the engine's own prompts, on the leader behind them.
func (s *simulation) startPrefill(j *job, g span.Grant) {
	places := append([]span.Placement{g.Leader}, g.Helpers...)
	j.members, j.partsLeft = len(places), len(places)
	j.leader = s.engines[g.Leader.Upstream]
	tokens := float64(j.prompt) / float64(len(places))
	cost := s.load.Engine.PrefillTime(j.prompt) / float64(j.prompt)
	for _, pl := range places {
		e := s.engines[pl.Upstream]
		pt := &part{job: j, tokensLeft: tokens, costPerToken: cost}
		if pl.Upstream == g.Leader.Upstream {
			e.parts = append(e.parts, pt)
		} else {
			e.parts = append([]*part{pt}, e.parts...)
		}
		s.startPass(e)
	}
}

// startPass starts a pass on an engine that is idle and has work.
func (s *simulation) startPass(e *engine) {
	if e.busy || len(e.parts)+len(e.streams) == 0 {
		return
	}
	e.busy = true
	streams := append([]*job(nil), e.streams...)
	length, finished := e.runPass()
	s.schedule(s.now+length, func() {
		e.busy = false
		for _, j := range streams {
			s.writeEvent(j)
		}
		for _, j := range finished {
			s.firstEvent(j)
		}
		s.startPass(e)
	})
}

// firstEvent starts the decoding of a job at the end of the pass that completed its prefill, and
// produces its first event.
func (s *simulation) firstEvent(j *job) {
	j.leader.streams = append(j.leader.streams, j)
	s.writeEvent(j)
	s.schedule(s.now+hopDelay, func() {
		s.pool.First(clock.Milli(s.now), j.id)
		s.tick()
	})
	s.startPass(j.leader)
}

// writeEvent produces one event of a response; the last one ends the stream.
func (s *simulation) writeEvent(j *job) {
	if j.first == 0 {
		j.first = s.now + hopDelay
		delete(s.waiting, j.id)
	} else {
		j.longestPause = max(j.longestPause, s.now+hopDelay-j.last)
	}
	j.last = s.now + hopDelay
	if j.eventsLeft--; j.eventsLeft > 0 {
		return
	}
	ws := j.leader.streams
	for i := range ws {
		if ws[i] == j {
			j.leader.streams = append(append([]*job(nil), ws[:i]...), ws[i+1:]...)
			break
		}
	}
	s.schedule(s.now+hopDelay, func() {
		s.pool.End(clock.Milli(s.now), j.id, span.Done, "")
		s.tick()
	})
}

// result summarizes the simulation.
func (s *simulation) result() Result {
	r := Result{Kinds: s.results}
	var earned, maxWorth float64
	for _, j := range s.jobList {
		k := s.results[j.kind.Name]
		k.Requests++
		worth := j.worth()
		k.MaxWorth += worth
		maxWorth += worth
		response := j.response()
		r.Responses = append(r.Responses, response)
		outcome := response.Outcome(j.kind)
		r.EngineTime.note(j, outcome)
		if outcome == Lost {
			continue
		}
		s.firstTimes[j.kind.Name] = append(s.firstTimes[j.kind.Name], response.First)
		if j.longestPause > float64(j.kind.Gap) {
			k.PausedTooLong++
		}
		if outcome == Late {
			k.Late++
			worth *= LateFraction
		} else {
			k.InTime++
		}
		k.Worth += worth
		earned += worth
	}
	for n, fs := range s.firstTimes {
		sort.Float64s(fs)
		s.results[n].FirstP50 = fs[len(fs)/2]
		s.results[n].FirstP99 = fs[len(fs)*99/100]
	}
	r.Worth = earned / max(maxWorth, 1e-9)
	for _, k := range s.results {
		r.Net += k.QueueingLoss
	}
	r.Net = (earned - r.Net) / max(maxWorth, 1e-9)
	for _, e := range s.engineList {
		r.EngineTime.Idle += e.idleTime
		r.EngineTime.IdleQueued += e.idleQueuedTime
		r.BusyFraction += e.passTime / (s.load.Length * float64(s.load.Engines))
		r.PrefillFraction += e.prefillTime / (s.load.Length * float64(s.load.Engines))
	}
	return r
}

// Add adds the result of another simulation. Percentiles are summed as well, for the caller to
// divide into a mean.
func (k *KindResult) Add(o *KindResult) {
	k.Requests += o.Requests
	k.InTime += o.InTime
	k.Late += o.Late
	k.Lost += o.Lost
	k.QueueingLoss += o.QueueingLoss
	k.Worth += o.Worth
	k.MaxWorth += o.MaxWorth
	k.FirstP50 += o.FirstP50
	k.FirstP99 += o.FirstP99
	k.PausedTooLong += o.PausedTooLong
}

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
	// Rate is requests a second.
	Rate float64
	// MeanPrompt and Spread shape the log-normal length of prompts, cut at Most tokens.
	MeanPrompt, PromptSpread, MaxPrompt float64
	// MeanEvents and EventSpread shape the number of events of an answer.
	MeanEvents, EventSpread float64
	// Aim, Gap and Time are milliseconds.
	Aim, Gap, TimeLimit clock.Milli
	// Worth is what an answer in time is worth at the mean size; a late one is worth a quarter.
	Worth float64
}

// patience is how long a caller waits for the first event.
func (k *Kind) patience() clock.Milli { return max(2000, 4*k.Aim, 8*k.Gap) }

// Load is a series of phases over kinds.
type Load struct {
	Kinds []Kind
	// Phases multiply the rates, in turn, each for PhaseTime milliseconds.
	Phases    [][]float64
	PhaseTime float64
	// Scale multiplies all rates.
	Scale   float64
	Engines int
	Engine  route.Engine
	// Length is the time of arrivals in milliseconds.
	Length float64
}

// delay is the way from a gate to an engine or back, in milliseconds.
const delay = 1.5

// KindResult is what the callers of one kind got.
type KindResult struct {
	Requests, InTime, Late, Lost int
	// QueueingLoss is the worth that was lost by holding requests that were then refused:
	// none up to an eighth of their aim, all of it from three quarters of their time on.
	QueueingLoss                      float64
	Worth, MaxWorth                   float64
	FirstP50, FirstP99, PausedTooLong float64
}

// Result is the outcome of one play.
type Result struct {
	Kinds map[string]*KindResult
	// Worth is the share of the worth that was asked, Net the same less what was
	// lost by holding requests in vain.
	Worth, Net float64
	// BusyFraction is the share of the engines' time in passes, Reading in reading.
	BusyFraction, PrefillFraction float64
	// Responses are the ends of all arrivals, in their order.
	Responses []Response
	// EngineTime is what the engines' time went to.
	EngineTime EngineTime
}

// Arrival is one request of a load.
type Arrival struct {
	Kind *Kind
	// At is when it comes, in milliseconds from the start of the load.
	At     float64
	Prompt decide.Tokens
	// Events is how many events its answer has; Output the most tokens that it may have, zero for those of Events.
	Events int
	Output decide.Tokens
	// TimeLimit is how long after its arrival the whole answer is due; zero for as long as the caller waits for the first event.
	TimeLimit clock.Milli
	Urgency   decide.Urgency
}

// Response is the end of one arrival.
type Response struct {
	// First and Pause are the time to the first event and the longest pause after it, in milliseconds. First is zero if none came.
	First, Pause float64
	// Complete is set if the last event came.
	Complete bool
	// RefusalReason names the rule that refused it; empty if none did.
	RefusalReason string
}

// Outcome is what a request is worth to its caller.
type Outcome uint8

// The closed list of endings.
const (
	InTime Outcome = iota
	Late
	Lost
)

// Outcome judges a request of a kind: an answer that begins after its caller has left, or does not end, is lost.
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

// WorthOf is what the engine's answer to an arrival is worth, if it is in time: it grows with the prompt, up to four times the usual.
func (k *Kind) WorthOf(prompt decide.Tokens) float64 {
	return k.Worth * min(4, 0.3+0.7*float64(prompt)/k.MeanPrompt)
}

// LateFraction is the part of its worth that a late answer has.
const LateFraction = 0.25

// event is something that happens at an instant.
type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play is one run of the model.
type play struct {
	load    *Load
	now     float64
	seq     int
	agenda  events
	pool    *span.Pool
	engines map[decide.UpstreamID]*engine
	// rows are the engines in their order.
	rows []*engine
	jobs map[decide.RequestID]*job
	// waiting holds the jobs that are neither refused nor begun to be answered.
	waiting map[decide.RequestID]*job
	order   []*job
	results map[string]*KindResult
	firsts  map[string][]float64
}

// start shifts the model's clock away from zero, which the pool takes for "never".
const start = 1000

// Simulate runs a load against a pool with rules, the same for the same seed.
func Simulate(l *Load, r span.Rules, seed uint64) Result {
	return SimulateArrivals(l, r, Draw(l, seed))
}

// SimulateArrivals runs given arrivals on a load's engines.
func SimulateArrivals(l *Load, r span.Rules, as []Arrival) Result {
	p := &play{
		load: l, now: start,
		pool:    span.New(r, gate.NewBudget(0.2, 100, 10*clock.Second)),
		engines: map[decide.UpstreamID]*engine{}, jobs: map[decide.RequestID]*job{}, waiting: map[decide.RequestID]*job{},
		results: map[string]*KindResult{}, firsts: map[string][]float64{},
	}
	spec := l.Engine
	var us []route.Upstream
	for i := range l.Engines {
		id := decide.UpstreamID("e" + strconv.Itoa(10_000+i))
		us = append(us, route.Upstream{ID: id, Service: "s", Address: string(id), Slots: spec.Slots})
		p.engines[id] = &engine{spec: &spec}
		p.rows = append(p.rows, p.engines[id])
	}
	p.pool.SetUpstreams(&route.Service{ID: "s", Engine: &spec}, us)
	for i := range l.Kinds {
		p.results[l.Kinds[i].Name] = &KindResult{}
	}
	for i := range as {
		p.arrival(&as[i])
	}
	p.every(tickTime, func() {
		p.tick()
		p.idle()
	})
	p.every(500, func() { p.present() })
	for len(p.agenda) > 0 && p.now < start+l.Length+20_000 {
		e := heap.Pop(&p.agenda).(event)
		p.now = e.at
		e.do()
	}
	return p.result()
}

func (p *play) at(at float64, do func()) {
	p.seq++
	heap.Push(&p.agenda, event{at, p.seq, do})
}

func (p *play) every(period float64, do func()) {
	p.at(p.now+period, func() {
		do()
		if len(p.agenda) > 1 {
			p.every(period, do)
		}
	})
}

// Draw draws the arrivals of a load, the same for the same seed.
func Draw(l *Load, seed uint64) []Arrival {
	d := drawing{load: l, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range l.Kinds {
		d.arrivals(&l.Kinds[i], i)
	}
	return d.out
}

// drawing is a draw of arrivals.
type drawing struct {
	load *Load
	rng  *rand.Rand
	out  []Arrival
}

// arrivals draws the requests of one kind.
func (d *drawing) arrivals(k *Kind, index int) {
	phase := func(t float64) float64 {
		if len(d.load.Phases) == 0 {
			return 1
		}
		return d.load.Phases[int(t/d.load.PhaseTime)%len(d.load.Phases)][index]
	}
	for t := 0.0; t < d.load.Length; {
		rate := k.Rate * d.load.Scale * phase(t) / 1000
		t += d.rng.ExpFloat64() / max(rate, 1e-9)
		if t >= d.load.Length {
			return
		}
		d.out = append(d.out, Arrival{
			Kind: k, At: t, Prompt: decide.Tokens(min(d.lognormal(k.MeanPrompt, k.PromptSpread), k.MaxPrompt)) + 40,
			Events: max(1, int(min(d.lognormal(k.MeanEvents, k.EventSpread), 2.5*k.MeanEvents))),
		})
	}
}

func (d *drawing) lognormal(mean, spread float64) float64 {
	return math.Exp(math.Log(mean) - spread*spread/2 + spread*d.rng.NormFloat64())
}

// arrival schedules one request.
func (p *play) arrival(a *Arrival) {
	j := &job{kind: a.Kind, arrived: start + a.At, prompt: a.Prompt, events: a.Events, output: a.Output, due: a.TimeLimit, urgency: a.Urgency}
	if j.output == 0 {
		j.output = decide.Tokens(a.Events * p.load.Engine.Stride)
	}
	if j.due == 0 {
		j.due = a.Kind.patience()
	}
	j.id = decide.RequestID(a.Kind.Name + strconv.FormatInt(int64(len(p.order)), 10))
	p.jobs[j.id] = j
	p.order = append(p.order, j)
	p.at(j.arrived, func() { p.arrive(j) })
}

func (p *play) arrive(j *job) {
	now := clock.Milli(j.arrived)
	p.waiting[j.id] = j
	p.pool.Ask(now, span.Ask{
		ID: j.id, Gate: "g", Prompt: j.prompt, Output: j.output, Urgency: j.urgency,
		Aim: now + j.kind.Aim, Patience: now + j.kind.patience(), Deadline: now + j.due, Gap: j.kind.Gap, Stream: true,
	})
	p.tick()
}

// present renews everything, as gates do.
func (p *play) present() {
	now := clock.Milli(p.now)
	for id, j := range p.waiting {
		p.pool.Ask(now, span.Ask{ID: id, Gate: "g", Deadline: now - 1, Prompt: j.prompt})
	}
}

func (p *play) tick() {
	for _, d := range p.pool.Tick(clock.Milli(p.now)) {
		j := p.jobs[d.Request]
		if d.Action == span.Refused {
			j.last, j.refused = p.now, d.Reason
			delete(p.waiting, j.id)
			k := p.results[j.kind.Name]
			k.Lost++
			if held := p.now - j.arrived; held > float64(j.kind.Aim)/8 {
				k.QueueingLoss += j.worth() * min(1, held/(0.75*float64(j.kind.patience())))
			}
			continue
		}
		p.at(p.now+delay, func() { p.begin(j, d.Grant) })
	}
}

// begin hands the parts of a prompt to engines.
func (p *play) begin(j *job, g span.Grant) {
	places := append([]span.Placement{g.Leader}, g.Helpers...)
	j.members, j.parts = len(places), len(places)
	j.leader = p.engines[g.Leader.Upstream]
	tokens := float64(j.prompt) / float64(len(places))
	cost := p.load.Engine.PrefillTime(j.prompt) / float64(j.prompt)
	for _, pl := range places {
		e := p.engines[pl.Upstream]
		pt := &part{job: j, tokens: tokens, cost: cost}
		if pl.Upstream == g.Leader.Upstream {
			e.parts = append(e.parts, pt)
		} else {
			e.parts = append([]*part{pt}, e.parts...)
		}
		p.wake(e)
	}
}

// wake starts a pass on an idle engine that has work.
func (p *play) wake(e *engine) {
	if e.busy || len(e.parts)+len(e.writers) == 0 {
		return
	}
	e.busy = true
	writers := append([]*job(nil), e.writers...)
	length, finished := e.pass()
	p.at(p.now+length, func() {
		e.busy = false
		for _, j := range writers {
			p.write(j)
		}
		for _, j := range finished {
			p.first(j)
		}
		p.wake(e)
	})
}

// first is the first event of an answer, at the end of the pass that read its prompt.
func (p *play) first(j *job) {
	j.leader.writers = append(j.leader.writers, j)
	p.write(j)
	p.at(p.now+delay, func() {
		p.pool.First(clock.Milli(p.now), j.id)
		p.tick()
	})
	p.wake(j.leader)
}

// write is one event of an answer.
func (p *play) write(j *job) {
	if j.first == 0 {
		j.first = p.now + delay
		delete(p.waiting, j.id)
	} else {
		j.pause = max(j.pause, p.now+delay-j.last)
	}
	j.last = p.now + delay
	if j.events--; j.events > 0 {
		return
	}
	ws := j.leader.writers
	for i := range ws {
		if ws[i] == j {
			j.leader.writers = append(append([]*job(nil), ws[:i]...), ws[i+1:]...)
			break
		}
	}
	p.at(p.now+delay, func() {
		p.pool.End(clock.Milli(p.now), j.id, span.Done, "")
		p.tick()
	})
}

// result sums up.
func (p *play) result() Result {
	r := Result{Kinds: p.results}
	var got, most float64
	for _, j := range p.order {
		k := p.results[j.kind.Name]
		k.Requests++
		worth := j.worth()
		k.MaxWorth += worth
		most += worth
		end := j.end()
		r.Responses = append(r.Responses, end)
		ending := end.Outcome(j.kind)
		r.EngineTime.note(j, ending)
		if ending == Lost {
			continue
		}
		p.firsts[j.kind.Name] = append(p.firsts[j.kind.Name], end.First)
		if j.pause > float64(j.kind.Gap) {
			k.PausedTooLong++
		}
		if ending == Late {
			k.Late++
			worth *= LateFraction
		} else {
			k.InTime++
		}
		k.Worth += worth
		got += worth
	}
	for n, fs := range p.firsts {
		sort.Float64s(fs)
		p.results[n].FirstP50 = fs[len(fs)/2]
		p.results[n].FirstP99 = fs[len(fs)*99/100]
	}
	r.Worth = got / max(most, 1e-9)
	for _, k := range p.results {
		r.Net += k.QueueingLoss
	}
	r.Net = (got - r.Net) / max(most, 1e-9)
	for _, e := range p.rows {
		r.EngineTime.Idle += e.idle
		r.EngineTime.IdleQueued += e.idleWaiting
		r.BusyFraction += e.used / (p.load.Length * float64(p.load.Engines))
		r.PrefillFraction += e.read / (p.load.Length * float64(p.load.Engines))
	}
	return r
}

// Add sums the results of several plays; quantiles are summed for a mean.
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

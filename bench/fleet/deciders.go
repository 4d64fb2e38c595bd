package fleet

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/balance"
)

// DeciderLoad describes one simulation of deciders that do not know of each other's requests and
// place them on the same upstreams. Requests arrive at random, each at a random decider, and their
// running times are distributed exponentially. An upstream queues what it has no slot for.
type DeciderLoad struct {
	Deciders, Upstreams, Slots int
	Policy                     Policy
	Seed                       uint64
	For                        clock.Milli
	// Age is the mean age of the report by which a decider chooses: each decider gets a report of
	// each upstream once in this time, which arrives half of this time later.
	Age clock.Milli
	// Load is the mean number of requests in progress per slot if none waits.
	Load float64
	// Unequal makes every third upstream work at half the pace.
	Unequal bool
	// Burst raises the load to burstLoad for burstTime in each burstEvery.
	Burst bool
	// False is the number of upstreams whose reports say that they are empty.
	False int
	// Stopped is the number of upstreams whose reports stop at half time.
	Stopped int
	// Changing is set if only half of the deciders get requests, and others every changeEvery.
	Changing bool
}

// changeEvery is how long the same half of the deciders gets requests.
const changeEvery = 5 * clock.Second

// Times of a burst, and its load per slot.
const (
	burstEvery = 20 * clock.Second
	burstTime  = 2 * clock.Second
	burstLoad  = 1.3
)

// serviceTime is the mean running time of a request at pace 1, that of a short request with its answer.
const serviceTime = clock.Second

// drainTime is the time after the last request in which all have to end.
const drainTime = 2 * clock.Minute

// warmTime is the time at the start that is not measured.
const warmTime = 5 * clock.Second

// DeciderResult is what a simulation of deciders shows.
type DeciderResult struct {
	Policy   Policy      `json:"policy"`
	Deciders int         `json:"deciders"`
	Age      clock.Milli `json:"age"`
	Requests int         `json:"requests"`
	// Unserved counts requests that had not ended when all were to have ended.
	Unserved int `json:"unserved"`
	// P50 and P99 are percentiles of the waiting time, Answer99 that of the time to the end of the
	// answer, in milliseconds.
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
	Answer99 float64 `json:"answer99"`
	// Idle is the share of time in which an upstream queues while another one has no request, Free
	// that in which another one has a free slot.
	Idle float64 `json:"idle"`
	Free float64 `json:"free"`
	// Waited is the share of requests that waited.
	Waited float64 `json:"waited"`
}

// simRequest is one request. Times are in milliseconds.
type simRequest struct {
	decider, upstream      int
	sent, started, endedAt float64
	work                   float64
}

// endQueue orders running requests by their ends.
type endQueue []*simRequest

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].endedAt < q[j].endedAt }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *endQueue) Push(x any) { *q = append(*q, x.(*simRequest)) }

// Pop implements heap.Interface.
func (q *endQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

// sample is the load of an upstream from an instant on.
type sample struct {
	at   float64
	load int
}

// simUpstream is one upstream.
type simUpstream struct {
	slots, running int
	pace           float64
	queue          []*simRequest
	// history has the loads of the last time in which a report may be made, oldest first.
	history []sample
	false   bool
}

func (u *simUpstream) load() int { return u.running + len(u.queue) }

// loadAt returns the load at an instant.
func (u *simUpstream) loadAt(at float64) int {
	for i := len(u.history) - 1; i >= 0; i-- {
		if u.history[i].at <= at {
			return u.history[i].load
		}
	}
	return 0
}

// view is what one decider knows of one upstream.
type view struct {
	record balance.Record
	// reported is the load in the last report, made at reportedAt; phase is the time of the first one.
	reported          int
	reportedAt, phase float64
	// own lists the requests sent that run or may be counted by a report that is still to arrive.
	own []*simRequest
}

// live returns how many own requests were in progress at an instant.
func (v *view) live(at float64) int {
	n := 0
	for _, r := range v.own {
		if r.sent <= at && (r.endedAt == 0 || r.endedAt > at) {
			n++
		}
	}
	return n
}

// deciderSimulation is the state of one run.
type deciderSimulation struct {
	load DeciderLoad
	// random draws the requests, which are the same for all policies, and choices all else.
	random, choices *rand.Rand
	now             float64
	upstreams       []*simUpstream
	views           [][]view
	// tokens are the free slots that upstreams have announced, by decider, for join-idle-queue.
	tokens  [][]int
	running endQueue
	// queueing, idle and free count the upstreams that queue, have no request, and have a free slot.
	queueing, idle, free int
	idleTime, freeTime   float64
	arrived              int
	waits, answers       []float64
	waited               int
}

// RunDeciders simulates one policy.
func RunDeciders(l DeciderLoad) DeciderResult {
	s := &deciderSimulation{load: l, random: rand.New(rand.NewPCG(l.Seed, 0)), choices: rand.New(rand.NewPCG(l.Seed, 1))}
	for i := range l.Upstreams {
		u := &simUpstream{slots: l.Slots, pace: 1, false: i < l.False}
		if l.Unequal && i%3 == 0 {
			u.pace = 2
		}
		s.upstreams = append(s.upstreams, u)
	}
	s.idle, s.free = l.Upstreams, l.Upstreams
	s.tokens = make([][]int, l.Deciders)
	for range l.Deciders {
		vs := make([]view, l.Upstreams)
		for i := range vs {
			vs[i].phase = s.choices.Float64() * float64(l.Age)
		}
		s.views = append(s.views, vs)
	}
	for i := range l.Upstreams * l.Slots {
		s.announce(i % l.Upstreams)
	}
	for {
		at := s.now + s.random.ExpFloat64()/s.rate()
		if at >= float64(l.For) {
			break
		}
		s.advance(at)
		s.arrive()
	}
	r := s.summary()
	s.advance(float64(l.For + drainTime))
	s.summarizeTimes(&r)
	return r
}

// rate returns the requests per millisecond at this instant.
func (s *deciderSimulation) rate() float64 {
	load := s.load.Load
	if s.load.Burst && clock.Milli(s.now)%burstEvery >= burstEvery-burstTime {
		load = burstLoad
	}
	capacity := 0.0
	for _, u := range s.upstreams {
		capacity += float64(u.slots) / u.pace
	}
	return load * capacity / float64(serviceTime)
}

// advance ends the requests that end until an instant.
func (s *deciderSimulation) advance(to float64) {
	for len(s.running) > 0 && s.running[0].endedAt <= to {
		r := heap.Pop(&s.running).(*simRequest)
		s.advanceClock(r.endedAt)
		s.end(r)
	}
	s.advanceClock(to)
}

// advanceClock lets time go by without events.
func (s *deciderSimulation) advanceClock(to float64) {
	if s.queueing > 0 && to > float64(warmTime) {
		elapsed := to - max(s.now, float64(warmTime))
		if s.idle > 0 {
			s.idleTime += elapsed
		}
		if s.free > 0 {
			s.freeTime += elapsed
		}
	}
	s.now = to
}

// count adds an upstream to the counts, or removes it from them.
func (s *deciderSimulation) count(u *simUpstream, n int) {
	if len(u.queue) > 0 {
		s.queueing += n
	}
	if u.load() == 0 {
		s.idle += n
	}
	if u.running < u.slots {
		s.free += n
	}
}

// change changes an upstream and records its load.
func (s *deciderSimulation) change(u *simUpstream, change func()) {
	s.count(u, -1)
	change()
	s.count(u, 1)
	u.history = append(u.history, sample{s.now, u.load()})
	// Half of the samples are dropped at once, so that each costs little.
	outdated := slices.IndexFunc(u.history, func(x sample) bool { return x.at > s.now-2*float64(s.load.Age) })
	if outdated > 1 && outdated > len(u.history)/2 {
		u.history = slices.Delete(u.history, 0, outdated-1)
	}
}

// arrive places a new request.
func (s *deciderSimulation) arrive() {
	d := s.decider()
	s.readReports(d)
	i := s.choose(d)
	r := &simRequest{decider: d, upstream: i, sent: s.now, work: s.random.ExpFloat64() * float64(serviceTime)}
	if s.now >= float64(warmTime) {
		s.arrived++
	}
	v := &s.views[d][i]
	v.own = append(v.own, r)
	u := s.upstreams[i]
	s.change(u, func() {
		if u.running < u.slots {
			s.start(u, r)
		} else {
			u.queue = append(u.queue, r)
		}
	})
}

// decider returns the decider of a new request.
func (s *deciderSimulation) decider() int {
	n := s.load.Deciders
	if !s.load.Changing {
		return s.random.IntN(n)
	}
	half := (n + 1) / 2
	return (s.random.IntN(half) + half*int(clock.Milli(s.now)/changeEvery)) % n
}

// start runs a request.
func (s *deciderSimulation) start(u *simUpstream, r *simRequest) {
	u.running++
	r.started = s.now
	r.endedAt = s.now + r.work*u.pace
	heap.Push(&s.running, r)
}

// end ends a request and starts the next one of its upstream.
func (s *deciderSimulation) end(r *simRequest) {
	u := s.upstreams[r.upstream]
	s.change(u, func() {
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			s.start(u, next)
		}
	})
	if u.running < u.slots {
		s.announce(r.upstream)
	}
	if r.sent < float64(warmTime) {
		return
	}
	s.waits = append(s.waits, r.started-r.sent)
	s.answers = append(s.answers, r.endedAt-r.sent)
	if r.started > r.sent {
		s.waited++
	}
}

// announce tells a random decider of a free slot.
func (s *deciderSimulation) announce(upstream int) {
	if s.load.Policy != JoinIdle {
		return
	}
	d := s.choices.IntN(s.load.Deciders)
	s.tokens[d] = append(s.tokens[d], upstream)
}

// readReports gives a decider the reports that have arrived since its last choice.
func (s *deciderSimulation) readReports(d int) {
	age := float64(s.load.Age)
	for i := range s.views[d] {
		v := &s.views[d][i]
		since := s.now - age/2 - v.phase
		if since < 0 {
			continue
		}
		at := v.phase + float64(int(since/age))*age
		if v.reportedAt == at || i < s.load.Stopped && at > float64(s.load.For)/2 {
			continue
		}
		u := s.upstreams[i]
		v.reported, v.reportedAt = u.loadAt(at), at
		if u.false {
			v.reported = 0
		}
		v.record.Note(clock.Milli(at), v.reported, v.live(at))
		v.own = slices.DeleteFunc(v.own, func(r *simRequest) bool { return r.endedAt > 0 && r.endedAt <= at })
	}
}

// summary returns the result up to now without the times of requests, most of which may still run.
func (s *deciderSimulation) summary() DeciderResult {
	l := s.load
	measured := float64(max(l.For-warmTime, 1))
	return DeciderResult{
		Policy: l.Policy, Deciders: l.Deciders, Age: l.Age, Requests: s.arrived,
		Idle: s.idleTime / measured, Free: s.freeTime / measured,
	}
}

// summarizeTimes adds the times of all requests that have ended.
func (s *deciderSimulation) summarizeTimes(r *DeciderResult) {
	n := len(s.waits)
	r.Unserved = s.arrived - n
	if n == 0 {
		return
	}
	slices.Sort(s.waits)
	slices.Sort(s.answers)
	r.P50, r.P99, r.Answer99 = s.waits[n/2], s.waits[n*99/100], s.answers[n*99/100]
	r.Waited = float64(s.waited) / float64(n)
}

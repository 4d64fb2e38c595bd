package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// Load describes one simulation.
type Load struct {
	VMs  int         `json:"vms"`
	Seed uint64      `json:"seed"`
	For  clock.Milli `json:"for"`
	// Lost is the share of messages that are lost.
	Lost float64 `json:"lost"`
	// Killed is the share of VMs that lose power halfway through, Frozen the share that stops at a quarter
	// of the time, and Cut the share from which nothing arrives at others from three quarters on. Each
	// lasts for Down.
	Killed, Frozen, Cut float64
	Down                clock.Milli `json:"down"`
}

// Result is what a simulation shows. Times are in milliseconds; zero means that it did not happen.
type Result struct {
	VMs int `json:"vms"`
	// Start counts what was sent until all VMs agreed for the first time, Rest what was sent afterwards.
	Start Traffic `json:"start"`
	Rest  Traffic `json:"rest"`
	// Agreed is the time from the start until all VMs know all, Noticed the time from the loss of power
	// until no VM counts a lost one as live, and Rejoined the time from their return until all know all.
	Agreed   clock.Milli `json:"agreed"`
	Noticed  clock.Milli `json:"noticed"`
	Rejoined clock.Milli `json:"rejoined"`
	// FalseDeaths counts how often a VM took a running one for gone that no fault had hit.
	FalseDeaths int `json:"falseDeaths"`
}

// Traffic counts messages and bytes, heartbeats and their replies.
type Traffic struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
	// Rows is the part of Bytes for descriptions of members, Opened that for new connections.
	Rows   int         `json:"rows"`
	Opened int         `json:"opened"`
	For    clock.Milli `json:"for"`
}

// startSpread is the time within which VMs that start together begin to run.
const startSpread = 300

// seeds is the number of VMs that the settings of all VMs name.
const seeds = 3

// Delay of a message between two VMs, in milliseconds.
const (
	minDelay = 1
	maxDelay = 4
)

// minRoundGap is the shortest time between two rounds of heartbeats of a VM, and watchEvery the time
// between two checks whether all VMs agree.
const (
	minRoundGap = 50
	watchEvery  = 100
)

// vm is one simulated VM.
type vm struct {
	name    peer.VM
	address string
	index   int
	table   *member.Table
	// up is set while the VM has power, frozenUntil is the end of its pause and cutUntil the time until
	// which nothing that it sends arrives.
	up                    bool
	frozenUntil, cutUntil clock.Milli
	incarnation           peer.Incarnation
	// lastRound is when the last round of heartbeats began, dueAt when the next one is scheduled.
	lastRound, dueAt clock.Milli
	lastContact      clock.Milli
	lastSeeds        clock.Milli
	inFlight         map[string]bool
}

// event is a function that runs at an instant of simulated time.
type event struct {
	at     clock.Milli
	serial int
	run    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is the state of one run.
type simulation struct {
	load   Load
	rules  member.Rules
	random *rand.Rand
	now    clock.Milli
	events queue
	serial int
	vms    []*vm
	byAddr map[string]*vm
	sizes  *sizer
	conns  connections
	result Result
	// killedAt and backAt are when VMs lose power and when the last of them is back.
	killedAt, backAt clock.Milli
	// hit marks VMs that a fault has hit.
	hit map[peer.VM]bool
	// dead marks pairs of a VM and the one that it takes for gone.
	dead map[[2]peer.VM]bool
}

// Run simulates a fleet whose VMs all start together.
func Run(l Load, rules member.Rules) Result {
	s := &simulation{
		load: l, rules: rules, random: rand.New(rand.NewPCG(l.Seed, 0)), byAddr: map[string]*vm{}, sizes: newSizer(), conns: connections{},
		result: Result{VMs: l.VMs}, hit: map[peer.VM]bool{}, dead: map[[2]peer.VM]bool{},
	}
	for i := range l.VMs {
		v := &vm{name: peer.VM(fmt.Sprintf("edge-hall-%03d", i)), address: fmt.Sprintf("10.2.%d.%d:8363", i/250, i%250), index: i}
		s.vms = append(s.vms, v)
		s.byAddr[v.address] = v
		s.after(clock.Milli(s.random.IntN(startSpread)), func() { s.start(v) })
	}
	s.plan()
	s.after(watchEvery, s.watch)
	for len(s.events) > 0 && s.now < l.For {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	if s.result.Agreed == 0 {
		s.result.Start.For = s.now
	} else {
		s.result.Rest.For = s.now - s.result.Agreed
	}
	return s.result
}

// after schedules an event.
func (s *simulation) after(d clock.Milli, run func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + max(d, 0), s.serial, run})
}

// plan schedules the faults.
func (s *simulation) plan() {
	pick := func(share float64, at clock.Milli, f func(*vm)) {
		for _, i := range s.random.Perm(len(s.vms))[:int(share*float64(len(s.vms)))] {
			v := s.vms[i]
			s.after(at, func() {
				s.hit[v.name] = true
				f(v)
			})
		}
	}
	pick(s.load.Frozen, s.load.For/4, func(v *vm) { v.frozenUntil = s.now + s.load.Down })
	pick(s.load.Cut, s.load.For*3/4, func(v *vm) { v.cutUntil = s.now + s.load.Down })
	if s.load.Killed > 0 {
		s.killedAt = s.load.For / 2
		s.backAt = s.killedAt + s.load.Down
	}
	pick(s.load.Killed, s.load.For/2, func(v *vm) {
		v.up = false
		s.after(s.load.Down, func() { s.start(v) })
	})
}

// start begins a new incarnation of a VM.
func (s *simulation) start(v *vm) {
	v.incarnation = peer.Incarnation(1_796_245_057_123 + s.now)
	cores, link := 192, 20
	if v.index%20 == 0 {
		cores, link = 800, 1000
	}
	self := peer.Member{VM: v.name, Incarnation: v.incarnation, Domain: peer.Domain(fmt.Sprintf("hall-%d", v.index%5)), Address: v.address, Cores: cores, Link: link}
	v.table = member.NewTable(self, s.rules)
	v.up, v.frozenUntil, v.inFlight, v.lastContact = true, 0, map[string]bool{}, 0
	v.lastSeeds, v.lastRound = -s.rules.SparseSeedPeriod, s.now
	s.schedule(v, 0)
}

// schedule schedules the next round of a VM's heartbeats, unless an earlier one is scheduled.
func (s *simulation) schedule(v *vm, d clock.Milli) {
	at := s.now + d
	if v.dueAt > s.now && v.dueAt <= at {
		return
	}
	v.dueAt = at
	incarnation := v.incarnation
	s.after(d, func() {
		if v.dueAt == at && v.incarnation == incarnation && v.up {
			s.round(v)
		}
	})
}

// wake schedules an early round, which sends an update without delay.
func (s *simulation) wake(v *vm) { s.schedule(v, max(0, minRoundGap-(s.now-v.lastRound))) }

// round sends the heartbeats that are due, as member.Members does.
func (s *simulation) round(v *vm) {
	if s.now < v.frozenUntil {
		s.schedule(v, v.frozenUntil-s.now)
		return
	}
	v.lastRound = s.now
	live := v.table.Live()
	seedPeriod, period := s.rules.SeedPeriod(len(live)), s.rules.Period(len(live))
	if v.lastContact == 0 {
		seedPeriod, period = s.rules.IsolatedSeedPeriod, min(period, s.rules.IsolatedSeedPeriod)
	}
	changed := v.table.Tick(s.now)
	for _, m := range v.table.Targets(s.now) {
		s.send(v, m.Address, m.VM)
	}
	if s.now-v.lastSeeds >= seedPeriod {
		v.lastSeeds = s.now
		s.contactSeeds(v, live)
	}
	if changed {
		s.wake(v)
		return
	}
	s.schedule(v, period)
}

func (s *simulation) contactSeeds(v *vm, live []peer.Member) {
	known := map[string]bool{}
	for _, m := range live {
		known[m.Address] = true
	}
	for i := range min(seeds, len(s.vms)) {
		if a := s.vms[i].address; !known[a] {
			s.send(v, a, "")
		}
	}
}

// send sends a heartbeat, and its reply back.
func (s *simulation) send(v *vm, address string, to peer.VM) {
	if v.inFlight[address] {
		return
	}
	v.inFlight[address] = true
	other, incarnation, timeout := s.byAddr[address], v.incarnation, s.rules.Period(len(v.table.Live()))
	answered := false
	end := func(ok bool) {
		if answered || v.incarnation != incarnation || !v.up {
			return
		}
		answered = true
		delete(v.inFlight, address)
		if !ok && to != "" && v.table.Missed(s.now, to) {
			s.wake(v)
		}
	}
	s.after(timeout, func() { end(false) })
	if !other.up {
		s.after(s.delay(), func() { end(false) })
		return
	}
	m := v.table.Message(to, false)
	s.count(m, s.conns.opens(s.now, v.address, address))
	s.deliver(v, other, m, func() {
		reply := other.table.Message(v.name, true)
		s.count(reply, false)
		s.deliver(other, v, reply, func() { end(true) })
	})
}

func (s *simulation) delay() clock.Milli {
	return minDelay + clock.Milli(s.random.IntN(maxDelay-minDelay))
}

// deliver delivers a message unless it is lost, and then calls f.
func (s *simulation) deliver(from, to *vm, m *peer.BeatArgs, f func()) {
	if s.now < from.cutUntil || s.random.Float64() < s.load.Lost {
		return
	}
	incarnation := to.incarnation
	s.after(max(s.delay(), to.frozenUntil-s.now), func() {
		if !to.up || to.incarnation != incarnation {
			return
		}
		changed := to.table.Receive(s.now, m)
		to.lastContact = s.now
		if changed {
			s.wake(to)
		}
		f()
	})
}

// count adds a message to the traffic; opens is set if it is the first one on a new connection.
func (s *simulation) count(m *peer.BeatArgs, opens bool) {
	t := &s.result.Start
	if s.result.Agreed > 0 {
		t = &s.result.Rest
	}
	whole, rows := s.sizes.heartbeat(m)
	t.Messages++
	t.Rows += rows
	if opens {
		t.Opened += 2 * s.sizes.first // both directions
		whole += 2 * s.sizes.first
	}
	t.Bytes += whole
}

// watch checks periodically what the VMs know of each other.
func (s *simulation) watch() {
	s.after(watchEvery, s.watch)
	if s.now%clock.Second < watchEvery {
		s.findFalseDeaths()
	}
	r := &s.result
	switch {
	case r.Agreed == 0:
		if s.agree() {
			r.Agreed = s.now
			r.Start.For = s.now
		}
	case s.killedAt > 0 && s.now > s.killedAt && r.Noticed == 0 && s.now < s.backAt:
		if s.agree() {
			r.Noticed = s.now - s.killedAt
		}
	case s.backAt > 0 && s.now > s.backAt && r.Rejoined == 0:
		if s.agree() {
			r.Rejoined = s.now - s.backAt
		}
	}
}

// agree reports whether each VM that is up counts exactly the VMs as live that are up.
func (s *simulation) agree() bool {
	up := 0
	for _, v := range s.vms {
		if v.up {
			up++
		}
	}
	for _, v := range s.vms {
		if v.up && len(v.table.Live()) != up {
			return false
		}
	}
	return true
}

// findFalseDeaths counts the VMs that are running and that another one has come to take for gone.
func (s *simulation) findFalseDeaths() {
	if s.result.Agreed == 0 {
		return
	}
	up := 0
	for _, v := range s.vms {
		if v.up {
			up++
		}
	}
	for _, v := range s.vms {
		if !v.up || len(v.table.Live()) >= up {
			continue
		}
		live := map[peer.VM]bool{}
		for _, m := range v.table.Live() {
			live[m.VM] = true
		}
		for _, o := range s.vms {
			pair := [2]peer.VM{v.name, o.name}
			gone := o.up && !live[o.name]
			if gone && !s.dead[pair] && !s.hit[o.name] && !s.hit[v.name] {
				s.result.FalseDeaths++
			}
			s.dead[pair] = gone
		}
	}
}

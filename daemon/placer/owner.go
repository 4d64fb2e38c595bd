package placer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Clock reads a clock that goes on while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Knowledge is what is known of services and upstreams.
type Knowledge interface{ View() *registry.View }

const (
	// longestWait bounds how long a question waits for its decision.
	longestWait = clock.Second
	// busyQueue is the length of a queue from which on it is scanned by the clock alone. With a scan for
	// each of a thousand messages a second, an owner with a part of a core answers too late, is passed over, and its
	// successor goes the same way.
	busyQueue = 32
	// tickEvery is the time between two scans of a queue: estimates run out and
	// aims pass without any message.
	tickEvery = 10 * time.Millisecond
	// keptDecisions bounds the answers that wait for their gates to ask again.
	keptDecisions = 4096
	// settleTime is how long an owner that knows no other member gives out none of the
	// budget's floor: members that start together need about as long to agree on one.
	settleTime = 3 * clock.Second
	// startShare is the part of the floor, one in so many, that any other new owner has at
	// once: a planned change of owner must not leave broken streams without a second try.
	startShare = 4
	// AloneWait is how long after its start an owner that knows no other member takes it that there are
	// others, and uses a few engines of its own: members that start within 0.3 s of each other meet in that
	// time, and their gates ask the one owner of all.
	AloneWait = 500 * clock.Milli(1)
)

// Budget bounds the sends beyond the first of each request.
type Budget struct {
	// Share is the part of the requests that may be sent again, and Floor how
	// many more, within Window.
	Share, Floor float64
	Window       clock.Milli
}

// OwnerNeeds are what an Owner works with.
type OwnerNeeds struct {
	Clock     Clock
	Knowledge Knowledge
	Reports   Reports
	// Gate names this VM in this life, to upstreams that are asked for their load.
	Gate decide.GateID
	// Name is that of this VM, and Alone reports whether no other member was ever heard of.
	Name  string
	Alone func() bool
	// Holders tells who holds a service; Members and Peers are for asking them.
	Holders *Holders
	Members Members
	Peers   Peers
	Log     *log.Logger
}

// Owner holds the pools of all services that gates ask for here. Any VM may
// become the owner of any service.
type Owner struct {
	OwnerNeeds
	budget Budget
	heard  *statements.Cache

	mu    sync.Mutex
	pools map[route.ServiceID]*ownedPool
	// passing holds a place for each message that is being passed on, dropped counts those that found none.
	passing chan struct{}
	dropped atomic.Uint64
	// taking makes one question of many the one that makes this VM the holder.
	taking sync.Mutex
}

// ownedPool is one pool with those who wait for its decisions.
type ownedPool struct {
	mu   sync.Mutex
	pool *span.Pool
	// born is when the pool was made here.
	born clock.Milli
	// generation is that of the knowledge which the pool has.
	generation uint64
	// waiters are those who wait for a decision: the gate, and whoever asks in its place beside.
	waiters map[decide.RequestID][]chan span.Decision
	// kept holds refusals that came while no question was waiting.
	kept map[decide.RequestID]span.Decision
	// ticking is set while a goroutine scans the queue, polling while one
	// asks upstreams for their load.
	ticking, polling bool
	// asked is when a gate asked last: a pool that nobody asks for polls nothing.
	asked clock.Milli
	// gathering is set while gates tell a new holder what runs. Nothing is decided meanwhile.
	gathering bool
}

// NewOwner returns an owner without pools.
func NewOwner(n OwnerNeeds, b Budget) *Owner {
	o := &Owner{OwnerNeeds: n, budget: b, heard: statements.New(n.Clock, n.Log), pools: map[route.ServiceID]*ownedPool{}, passing: make(chan struct{}, passedOnAtOnce)}
	n.Holders.OnChange(o.followed)
	return o
}

// host returns a service's pool, with what is known now, locked.
func (o *Owner) host(s route.ServiceID) *ownedPool {
	o.mu.Lock()
	h := o.pools[s]
	if h == nil {
		budget := gate.NewBudget(o.budget.Share, o.budget.Floor, o.budget.Window)
		since := o.Clock.Now() - o.budget.Window/startShare
		if o.Alone() {
			since = o.Clock.Now() + settleTime
		}
		budget.GrowFrom(since)
		h = &ownedPool{
			born: o.Clock.Now(), pool: span.New(span.DefaultRules, budget),
			waiters: map[decide.RequestID][]chan span.Decision{}, kept: map[decide.RequestID]span.Decision{},
		}
		o.pools[s] = h
	}
	o.mu.Unlock()
	h.mu.Lock()
	h.pool.SetIsolated(o.Alone() && o.Clock.Now()-h.born < AloneWait, o.Name)
	if v := o.Knowledge.View(); v.Generation != h.generation && v.Table != nil {
		first := h.generation == 0
		h.generation = v.Generation
		h.pool.SetUpstreams(v.Table.Service(s), v.Upstreams[s])
		if first {
			h.pool.MarkUnverified()
		}
	}
	return h
}

// decide puts a question into the queue and waits for its decision. Moved ends the wait; nil for never.
func (o *Owner) decide(args *AskArgs, reply *AskReply, moved <-chan struct{}) {
	now := o.Clock.Now()
	a := args.Ask
	a.Aim += now
	a.Deadline += now
	if a.Patience != 0 { // gates of an earlier version do not tell it
		a.Patience += now
	}
	h := o.host(args.Service)
	h.pool.SetLimitShare(now, o.part(args))
	o.learn(args.Service, h, now, args.Statements)
	h.asked = now
	o.pollReports(args.Service, h)
	if d, ok := h.kept[a.ID]; ok {
		delete(h.kept, a.ID)
		h.mu.Unlock()
		reply.decided(d)
		return
	}
	known := h.pool.Queued(a.ID)
	g, granted := h.pool.Ask(now, a)
	if granted {
		h.mu.Unlock()
		reply.decided(span.Decision{Action: span.Granted, Request: a.ID, Grant: g, Reason: "again"})
		return
	}
	c := make(chan span.Decision, 1)
	h.waiters[a.ID] = append(h.waiters[a.ID], c)
	counts := h.pool.Counts()
	if !known && counts.Queued < busyQueue {
		o.tick(h, now)
		counts = h.pool.Counts()
	}
	o.keepTicking(h)
	h.mu.Unlock()
	reply.Queued, reply.Granted = counts.Queued, counts.Granted
	o.await(h, a.ID, c, min(args.Wait, longestWait), moved, reply)
	reply.Waited = o.Clock.Now() - now
}

// await waits for the decision on a queued request.
func (o *Owner) await(h *ownedPool, id decide.RequestID, c chan span.Decision, wait clock.Milli, moved <-chan struct{}, reply *AskReply) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case d := <-c:
		reply.decided(d)
		return
	case <-moved:
		reply.Moved = true
	case <-t.C:
	}
	h.mu.Lock()
	h.leave(id, c)
	h.mu.Unlock()
	select {
	case d := <-c:
		reply.Moved = false
		reply.decided(d)
	default:
	}
}

// leave takes one who waits out. The pool's lock is held.
func (h *ownedPool) leave(id decide.RequestID, c chan span.Decision) {
	rest := slices.DeleteFunc(h.waiters[id], func(x chan span.Decision) bool { return x == c })
	if len(rest) == 0 {
		delete(h.waiters, id)
		return
	}
	h.waiters[id] = rest
}

func (r *AskReply) decided(d span.Decision) {
	r.Decided = true
	r.Grant, r.Fault, r.Retry, r.Reason, r.Limit = d.Grant, d.Fault, d.Retry, d.Reason, d.Limit
}

// tick decides what can be decided and hands it out. The pool's lock is held.
func (o *Owner) tick(h *ownedPool, now clock.Milli) {
	if h.gathering {
		return
	}
	for _, d := range h.pool.Tick(now) {
		if cs := h.waiters[d.Request]; len(cs) > 0 {
			delete(h.waiters, d.Request)
			for _, c := range cs {
				c <- d
			}
			continue
		}
		// A grant stays in the books and is given when its gate asks again.
		if d.Action == span.Refused {
			if len(h.kept) >= keptDecisions {
				clear(h.kept)
			}
			h.kept[d.Request] = d
		}
	}
}

// keepTicking scans the queue again and again while something waits there.
// The pool's lock is held.
func (o *Owner) keepTicking(h *ownedPool) {
	if h.ticking || h.pool.Counts().Queued == 0 {
		return
	}
	h.ticking = true
	time.AfterFunc(tickEvery, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ticking = false
		o.tick(h, o.Clock.Now())
		o.keepTicking(h)
	})
}

// Note implements Placer.Note.
func (o *Owner) Note(args *NoteArgs, _ *peer.Empty) error {
	if m, ok := o.elsewhere(args.Service); ok && !args.Forwarded {
		o.passOn(args, m)
		return nil
	}
	now := o.Clock.Now()
	h := o.host(args.Service)
	defer h.mu.Unlock()
	defer o.pollReports(args.Service, h)
	o.learn(args.Service, h, now, args.Statements)
	switch args.Event {
	case FirstByte:
		h.pool.First(now, args.Request)
	case Ended:
		h.pool.End(now, args.Request, args.Outcome, args.Culprit)
	case Withdraw:
		h.pool.Withdraw(now, args.Request)
	}
	if h.pool.Counts().Queued < busyQueue {
		o.tick(h, now)
	}
	return nil
}

// Present implements Placer.Present.
func (o *Owner) Present(args *PresentArgs, reply *PresentReply) error {
	if _, ok := o.elsewhere(args.Service); ok {
		x, _ := o.Holders.Of(args.Service)
		reply.Holder = &x
		return nil
	}
	now := o.Clock.Now()
	h := o.host(args.Service)
	defer h.mu.Unlock()
	o.learn(args.Service, h, now, args.Statements)
	h.pool.Present(now, args.Gate, args.Live)
	o.tick(h, now)
	return nil
}

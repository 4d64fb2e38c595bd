package placer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
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
	// busyQueue is the length of a queue from which on it is looked at by the clock
	// alone. A flood of a hundred queued requests makes a look cost some 20 us;
	// with a look for each of a thousand messages a second, an owner with 0.4 of a core
	// answers too late, is passed over, and its successor goes the same way.
	busyQueue = 32
	// tickEvery is the time between two looks at a queue: estimates run out and
	// aims pass without any message.
	tickEvery = 10 * time.Millisecond
	// keptDecisions bounds the answers that wait for their gates to ask again.
	keptDecisions = 4096
)

// Budget bounds the sends beyond the first of each request.
type Budget struct {
	// Share is the part of the requests that may be sent again, and Floor how
	// many more, within Window.
	Share, Floor float64
	Window       clock.Milli
}

// Reports reads upstreams' own word on their load.
type Reports interface {
	Report(ctx context.Context, address string) (exchange.Load, error)
}

// Times of reports.
const (
	// reportEvery is the time between two looks at upstreams in doubt. Their word is
	// some 200 ms old, and each look costs them a little.
	reportEvery = 300 * time.Millisecond
	// reportTimeout bounds a look at an upstream, which is milliseconds away.
	reportTimeout = 150 * time.Millisecond
	// settleTime is how long an owner that has met no other member gives out none of the
	// budget's floor: members that start together need about as long to agree on one.
	settleTime = 3 * clock.Second
	// startShare is the part of the floor, one in so many, that any other new owner has at
	// once: a planned change of owner must not leave broken streams without a second try.
	startShare = 4
	// AloneWait is how long after its start an owner that has met no other member takes it that there are
	// others, and uses a few engines of its own: members that start within 0.3 s of each other meet in that
	// time, and their gates ask the one owner of all.
	AloneWait = 500 * clock.Milli(1)
	// askedLately is how recent a gate's question must be for a pool to be worth a look.
	askedLately = clock.Second
	// reportsAtOnce bounds the looks under way.
	reportsAtOnce = 16
)

// OwnerNeeds are what an Owner works with.
type OwnerNeeds struct {
	Clock     Clock
	Knowledge Knowledge
	Reports   Reports
	// Name is that of this VM, and Alone tells whether no other member was ever heard of.
	Name  string
	Alone func() bool
	Log   *log.Logger
}

// Owner holds the pools of all services that gates ask for here. Any VM may
// become the owner of any service.
type Owner struct {
	OwnerNeeds
	budget Budget

	mu    sync.Mutex
	pools map[route.ServiceID]*ownedPool
}

// ownedPool is one pool with those who wait for its decisions.
type ownedPool struct {
	mu   sync.Mutex
	pool *span.Pool
	// born is when the pool was made here.
	born clock.Milli
	// generation is that of the knowledge which the pool was told.
	generation uint64
	waiters    map[decide.RequestID]chan span.Decision
	// kept holds refusals that came while no question was waiting.
	kept map[decide.RequestID]span.Decision
	// ticking is set while a goroutine looks at the queue, looking while one
	// asks upstreams for their load.
	ticking, looking bool
	// asked is when a gate asked last: a pool that nobody asks for looks at nothing.
	asked clock.Milli
}

// NewOwner returns an owner without pools.
func NewOwner(n OwnerNeeds, b Budget) *Owner {
	return &Owner{OwnerNeeds: n, budget: b, pools: map[route.ServiceID]*ownedPool{}}
}

// host returns a service's pool, told of what is known now, locked.
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
			waiters: map[decide.RequestID]chan span.Decision{}, kept: map[decide.RequestID]span.Decision{},
		}
		o.pools[s] = h
	}
	o.mu.Unlock()
	h.mu.Lock()
	h.pool.Isolate(o.Alone() && o.Clock.Now()-h.born < AloneWait, o.Name)
	if v := o.Knowledge.View(); v.Generation != h.generation && v.Table != nil {
		first := h.generation == 0
		h.generation = v.Generation
		h.pool.Serve(v.Table.Service(s), v.Upstreams[s])
		if first {
			h.pool.Doubt()
		}
	}
	return h
}

// look asks upstreams in doubt for their load, while there are any. The pool's lock is held.
func (o *Owner) look(s route.ServiceID, h *ownedPool) {
	v := o.Knowledge.View()
	if h.looking || v.Table == nil || v.Table.Service(s) == nil || v.Table.Service(s).Engine == nil {
		return
	}
	ids := h.pool.Doubtful()
	if len(ids) == 0 || o.Clock.Now()-h.asked > askedLately {
		return
	}
	h.looking = true
	go func() {
		var g errgroup.Group
		g.SetLimit(reportsAtOnce)
		for _, id := range ids {
			u := v.Upstream(s, func(u *route.Upstream) bool { return u.ID == id })
			g.Go(func() error { o.report(h, id, u); return nil })
		}
		_ = g.Wait() // the looks return no errors
		time.Sleep(reportEvery)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.looking = false
		o.tick(h, o.Clock.Now())
		o.look(s, h)
	}()
}

// report takes one upstream's word into the books.
func (o *Owner) report(h *ownedPool, id decide.UpstreamID, u *route.Upstream) {
	if u == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pool.Unreported(id)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	load, err := o.Reports.Report(ctx, u.Address)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		o.Log.Warn().Str(logline.Key, logline.Report).Str("upstream", string(id)).Err(err).Msg("an upstream in doubt does not report")
		h.pool.Unreported(id)
		return
	}
	h.pool.Report(o.Clock.Now(), id, load)
	if load.Requests == 0 && load.Pace <= 1 {
		return
	}
	o.Log.Info().Str(logline.Key, logline.Report).Str("upstream", string(id)).Int("requests", load.Requests).
		Int64("used", int64(load.Used)).Float64("pace", load.Pace).Msg("an upstream in doubt reports")
}

// Ask implements Placer.Ask.
func (o *Owner) Ask(args *AskArgs, reply *AskReply) error {
	now := o.Clock.Now()
	a := args.Ask
	a.Aim += now
	a.Deadline += now
	if a.Patience != 0 { // gates of an earlier version do not tell it
		a.Patience += now
	}
	h := o.host(args.Service)
	h.asked = now
	o.look(args.Service, h)
	if d, ok := h.kept[a.ID]; ok {
		delete(h.kept, a.ID)
		h.mu.Unlock()
		reply.decided(d)
		return nil
	}
	known := h.pool.Queued(a.ID)
	g, granted := h.pool.Ask(now, a)
	if granted {
		h.mu.Unlock()
		reply.decided(span.Decision{Action: span.Granted, Request: a.ID, Grant: g, Reason: "again"})
		return nil
	}
	c := make(chan span.Decision, 1)
	h.waiters[a.ID] = c
	counts := h.pool.Counts()
	if !known && counts.Queued < busyQueue {
		o.tick(h, now)
		counts = h.pool.Counts()
	}
	o.keepTicking(h)
	h.mu.Unlock()
	reply.Queued, reply.Granted = counts.Queued, counts.Granted
	t := time.NewTimer(min(args.Wait, longestWait).Duration())
	defer t.Stop()
	select {
	case d := <-c:
		reply.decided(d)
	case <-t.C:
		h.mu.Lock()
		if h.waiters[a.ID] == c {
			delete(h.waiters, a.ID)
		}
		h.mu.Unlock()
		select {
		case d := <-c:
			reply.decided(d)
		default:
		}
	}
	return nil
}

func (r *AskReply) decided(d span.Decision) {
	r.Decided = true
	r.Grant, r.Fault, r.Retry, r.Reason = d.Grant, d.Fault, d.Retry, d.Reason
}

// tick decides what can be decided and hands it out. The pool's lock is held.
func (o *Owner) tick(h *ownedPool, now clock.Milli) {
	for _, d := range h.pool.Tick(now) {
		if c := h.waiters[d.Request]; c != nil {
			delete(h.waiters, d.Request)
			c <- d
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

// keepTicking looks at the queue again and again while something waits there.
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
	now := o.Clock.Now()
	h := o.host(args.Service)
	defer h.mu.Unlock()
	defer o.look(args.Service, h)
	switch args.Event {
	case First:
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
func (o *Owner) Present(args *PresentArgs, _ *peer.Empty) error {
	now := o.Clock.Now()
	h := o.host(args.Service)
	defer h.mu.Unlock()
	h.pool.Present(now, args.Gate, args.Live)
	o.tick(h, now)
	return nil
}

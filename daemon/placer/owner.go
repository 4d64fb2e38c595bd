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
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Clock reads a clock that continues while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Knowledge provides the current view of services and upstreams.
type Knowledge interface{ View() *registry.View }

const (
	// maxWait bounds how long a query may wait for its decision.
	maxWait = clock.Second
	// longQueue is the queue length from which on the queue is scanned periodically only, not on
	// each message. With a scan for each of a thousand messages a second, an owner with a fraction
	// of a core answers too late, gates skip it, and its successor fails in the same way.
	longQueue = 32
	// tickEvery is the interval between two scans of a queue. Periodic scans are needed because
	// estimates expire and latency targets pass without any message.
	tickEvery = 10 * time.Millisecond
	// maxUndelivered bounds the refusals that are stored until their gates query again.
	maxUndelivered = 4096
	// settleTime is how long an owner without known members grants nothing from the floor of the
	// retry budget: members that start together need about that long to agree on one owner.
	settleTime = 3 * clock.Second
	// startDivisor sets the part of the floor, one in startDivisor, that any other new owner has at
	// once: after a planned change of owner, broken streams must still be able to retry.
	startDivisor = 4
	// AloneWait is how long after its start an owner without known members assumes that other
	// members exist and restricts itself to a few engines of its own. Members that start within 0.3
	// s of each other discover each other in that time, and their gates then query one common
	// owner.
	AloneWait = 500 * clock.Milli(1)
)

// Budget bounds the retries: the sends beyond the first of each request.
type Budget struct {
	// The number of retries allowed within Window is Floor plus the fraction Share of the number of
	// requests.
	Share, Floor float64
	Window       clock.Milli
}

// OwnerNeeds are the dependencies of an Owner.
type OwnerNeeds struct {
	Clock     Clock
	Knowledge Knowledge
	Reports   Reports
	// Gate identifies this VM and its incarnation to upstreams that are polled for their load.
	Gate decide.GateID
	// Name is the name of this VM. Alone reports whether this VM has never heard of another member.
	Name  string
	Alone func() bool
	// Holders is the view of which VM holds each service; Members and Peers serve to query those
	// VMs.
	Holders *Holders
	Members Members
	Peers   Peers
	Log     *log.Logger
	// Spread is set if pools that don't know all grants spread short requests, see span.Pool.SetSpread.
	Spread bool
	// Shares divide scarce capacity among workspaces, if they are enabled.
	Shares share.Settings
	// Bookings bound the bookings for refused clients of each service; without a horizon none are made.
	Bookings booking.Limits
	// Forecast is set if requests are refused by the forecast of their wait.
	Forecast bool
	// Locality is set if requests are preferably placed in the failure domain of their gate.
	Locality bool
	// Recovery is set if pools limit late requests after a loss, see span.Pool.SetRecovery.
	Recovery bool
}

// Owner has the pools of all services for which gates query this VM. Any VM may become the owner of
// any service.
type Owner struct {
	OwnerNeeds
	budget     Budget
	statements *statements.Cache

	mu    sync.Mutex
	pools map[route.ServiceID]*ownedPool
	// noteSlots is a semaphore for messages being forwarded; dropped counts the messages for which
	// no slot was free.
	noteSlots chan struct{}
	dropped   atomic.Uint64
	// holderMu serialises attempts to become the holder, so that only one of several concurrent
	// queries does.
	holderMu sync.Mutex
	watches  watches
	detours  detours
	checks   checks
	unknown  unknownWorkspaces
}

// ownedPool is the pool of one service with the queries that wait for its decisions.
type ownedPool struct {
	mu   sync.Mutex
	pool *span.Pool
	// createdAt is when this VM created the pool. alone is set if this VM knew no other member then,
	// until it meets one.
	createdAt clock.Milli
	alone     bool
	budget    *gate.Budget
	// countedGates are the gates whose earlier sends the budget has counted. handedOver is set if the
	// previous owner handed over its count, which has them all.
	countedGates map[decide.GateID]bool
	handedOver   bool
	// generation is the generation of the view that the pool uses.
	generation uint64
	// forecastErrors counts the errors of forecasts.
	forecastErrors errorHistogram
	// paceRatios counts the observed times to the first byte as multiples of the planned ones.
	paceRatios ratioHistogram
	// waiters are the channels of calls that wait for a decision, by request: one for the gate and
	// one for each VM that forwards its query.
	waiters map[decide.RequestID][]chan span.Decision
	// undelivered has the refusals that were decided while no call was waiting for them.
	undelivered map[decide.RequestID]span.Decision
	// ticking is set while a timer is scheduled to scan the queue, polling while a goroutine polls
	// upstreams for their load.
	ticking, polling bool
	// lastAsk is when a gate last sent a query. A pool without recent queries does not poll
	// upstreams.
	lastAsk clock.Milli
	// gathering is set while gates present their live grants to a new holder, and while a holder hands
	// over. Nothing is decided meanwhile.
	gathering bool
	// loggedBookings are the bookings as of the last log line on them.
	loggedBookings booking.Counts
	// loggedRecovery is the recovery as of the last log line on it.
	loggedRecovery span.RecoveryStatus
	// hasStandbys is set while goroutines send keepalives to the standbys.
	hasStandbys bool
}

// NewOwner returns an owner without pools.
func NewOwner(n OwnerNeeds, b Budget) *Owner {
	o := &Owner{OwnerNeeds: n, budget: b, statements: statements.New(n.Clock, n.Log), pools: map[route.ServiceID]*ownedPool{}, noteSlots: make(chan struct{}, maxForwardedNotes)}
	o.watches.byService = map[route.ServiceID]*watch{}
	o.detours.byVM = map[peer.VM]peer.Member{}
	o.checks.open = map[checkKey]*holderCheck{}
	n.Holders.OnChange(o.onHolderChange)
	return o
}

// lockedPool returns the pool of a service with its lock held, updated to the current view. It
// creates the pool if there is none.
func (o *Owner) lockedPool(s route.ServiceID) *ownedPool {
	o.mu.Lock()
	p := o.pools[s]
	if p == nil {
		p = o.newPool()
		o.pools[s] = p
	}
	o.mu.Unlock()
	p.mu.Lock()
	alone := o.Alone()
	if p.alone && !alone {
		p.alone = false
		p.budget.GrowFrom(o.floorStart(false))
	}
	if g := o.follow(s, p, p.pool, alone); g != p.generation {
		p.generation = g
		o.warnUnknownWorkspaces(o.Knowledge.View().Table)
	}
	return p
}

// newPool returns an empty pool.
func (o *Owner) newPool() *ownedPool {
	budget := gate.NewBudget(o.budget.Share, o.budget.Floor, o.budget.Window)
	p := &ownedPool{
		createdAt: o.Clock.Now(), budget: budget, alone: o.Alone(), pool: span.New(span.DefaultRules, budget), countedGates: map[decide.GateID]bool{},
		waiters: map[decide.RequestID][]chan span.Decision{}, undelivered: map[decide.RequestID]span.Decision{},
	}
	p.pool.SetShares(o.Shares)
	p.pool.SetBookings(o.Bookings)
	p.pool.SetForecast(o.Forecast)
	p.pool.SetLocality(o.Locality)
	p.pool.SetRecovery(o.Recovery)
	budget.GrowFrom(o.floorStart(p.alone))
	return p
}

// follow updates the pool of p, or a copy of it, to the current view and returns the generation of the view.
func (o *Owner) follow(s route.ServiceID, p *ownedPool, pool *span.Pool, alone bool) uint64 {
	now := o.Clock.Now()
	pool.SetIsolated(alone && now-p.createdAt < AloneWait, o.Name)
	v := o.Knowledge.View()
	if v.Generation == p.generation || v.Table == nil {
		return p.generation
	}
	pool.SetUpstreams(now, v.Table.Service(s), v.Upstreams[s])
	if p.generation == 0 {
		pool.MarkUnverified()
	}
	return v.Generation
}

// floorStart returns the time from which the floor of the retry budget grows in a pool that begins now,
// or whose owner has just met another member.
func (o *Owner) floorStart(alone bool) clock.Milli {
	if alone {
		return o.Clock.Now() + settleTime
	}
	return o.Clock.Now() - o.budget.Window/startDivisor
}

// decide queues a request and waits for its decision. A receive from moved ends the wait; a nil
// moved never does.
func (o *Owner) decide(args *AskArgs, reply *AskReply, moved <-chan struct{}) {
	now := o.Clock.Now()
	a := args.at(now)
	p := o.lockedPool(args.Service)
	p.pool.SetLimitShare(now, o.limitShare(args))
	o.setSpread(args, p)
	o.learnStatements(args.Service, p, now, args.Statements)
	p.pool.Parts().Merge(now, args.Crashes)
	p.lastAsk = now
	o.notePaces(args.Service, p)
	o.keepStandbys(args.Service, p)
	o.pollReports(args.Service, p)
	if d, ok := p.undelivered[a.ID]; ok {
		delete(p.undelivered, a.ID)
		p.mu.Unlock()
		reply.decided(d.DeliveredAt(now))
		return
	}
	queued := p.pool.Queued(a.ID)
	g, granted := p.pool.Ask(now, a)
	if granted {
		p.mu.Unlock()
		reply.decided(span.Decision{Action: span.Granted, Request: a.ID, Grant: g, Reason: "again"})
		return
	}
	c := make(chan span.Decision, 1)
	p.waiters[a.ID] = append(p.waiters[a.ID], c)
	counts := p.pool.Counts()
	if !queued && counts.Queued < longQueue {
		o.tick(p, now)
		counts = p.pool.Counts()
	}
	o.keepTicking(p)
	p.mu.Unlock()
	reply.Queued, reply.Granted = counts.Queued, counts.Granted
	o.await(p, a.ID, c, min(args.Wait, maxWait), moved, reply)
	reply.Waited = o.Clock.Now() - now
}

// await waits for the decision on a queued request and fills the reply.
func (o *Owner) await(p *ownedPool, id decide.RequestID, c chan span.Decision, wait clock.Milli, moved <-chan struct{}, reply *AskReply) {
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
	p.mu.Lock()
	p.removeWaiter(id, c)
	p.mu.Unlock()
	select {
	case d := <-c:
		reply.Moved = false
		reply.decided(d)
	default:
	}
}

// removeWaiter removes one waiting channel of a request. The pool's lock is held.
func (p *ownedPool) removeWaiter(id decide.RequestID, c chan span.Decision) {
	remaining := slices.DeleteFunc(p.waiters[id], func(x chan span.Decision) bool { return x == c })
	if len(remaining) == 0 {
		delete(p.waiters, id)
		return
	}
	p.waiters[id] = remaining
}

func (r *AskReply) decided(d span.Decision) {
	r.Decided = true
	r.Grant, r.Fault, r.Retry, r.Reason, r.Limit = d.Grant, d.Fault, d.Retry, d.Reason, d.Limit
	r.Booked = d.BookedAt != 0
}

// tick makes the decisions that are possible now and delivers them. The pool's lock is held.
func (o *Owner) tick(p *ownedPool, now clock.Milli) {
	if p.gathering {
		return
	}
	ds := p.pool.Tick(now)
	p.forecastErrors.add(p.pool.TakeForecastErrors())
	for _, d := range ds {
		if cs := p.waiters[d.Request]; len(cs) > 0 {
			delete(p.waiters, d.Request)
			for _, c := range cs {
				c <- d
			}
			continue
		}
		// A grant without a waiter stays in the pool and is delivered when its gate queries again.
		if d.Action == span.Refused {
			if len(p.undelivered) >= maxUndelivered {
				clear(p.undelivered)
			}
			p.undelivered[d.Request] = d
		}
	}
}

// keepTicking schedules scans of the queue every tickEvery until it is empty. The pool's lock is
// held.
func (o *Owner) keepTicking(p *ownedPool) {
	if p.ticking || p.pool.Counts().Queued == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(tickEvery, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ticking = false
		o.tick(p, o.Clock.Now())
		o.keepTicking(p)
	})
}

// Note implements Placer.Note.
func (o *Owner) Note(args *NoteArgs, _ *peer.Empty) error {
	if m, ok := o.remoteHolder(args.Service); ok && !args.Forwarded {
		o.forwardNote(args, m)
		return nil
	}
	now := o.Clock.Now()
	p := o.lockedPool(args.Service)
	defer p.mu.Unlock()
	defer o.pollReports(args.Service, p)
	o.learnStatements(args.Service, p, now, args.Statements)
	switch args.Event {
	case FirstByte:
		p.pool.First(now, args.Request)
	case Ended:
		if x, excluded := p.pool.End(now, args.Request, args.Outcome, args.Culprit); excluded {
			o.Log.Warn().Str(logline.Key, logline.Excluded).Str("service", string(args.Service)).Str("upstream", string(x.Upstream)).Str("gate", string(x.Gate)).
				Str("send", x.Outcome.String()).Int64("for", int64(x.Until-now)).Msg("upstream gets no requests for a while after a failed send")
		}
	case Withdraw:
		p.pool.Withdraw(now, args.Request)
	}
	if p.pool.Counts().Queued < longQueue {
		o.tick(p, now)
	}
	o.logParts(args.Service, p)
	return nil
}

// Pardon implements Placer.Pardon.
func (o *Owner) Pardon(args *PardonArgs, reply *PardonReply) error {
	if _, ok := o.remoteHolder(args.Service); ok {
		x, _ := o.Holders.Of(args.Service)
		reply.Holder = &x
		return nil
	}
	p := o.lockedPool(args.Service)
	defer p.mu.Unlock()
	reply.Suspect = p.pool.Parts().Pardon(o.Clock.Now(), args.Part)
	o.logParts(args.Service, p)
	return nil
}

// Present implements Placer.Present.
func (o *Owner) Present(args *PresentArgs, reply *PresentReply) error {
	if _, ok := o.remoteHolder(args.Service); ok {
		x, _ := o.Holders.Of(args.Service)
		reply.Holder = &x
		return nil
	}
	now := o.Clock.Now()
	p := o.lockedPool(args.Service)
	defer p.mu.Unlock()
	o.learnStatements(args.Service, p, now, args.Statements)
	p.countEarlier(now, args)
	p.pool.Present(now, args.Gate, args.Live)
	p.exchangeCrashes(now, args, reply)
	if limits := p.pool.Limits(now); statement.LimitsDigest(limits) != args.LimitDigest {
		reply.Limits = limits
	}
	o.tick(p, now)
	o.logParts(args.Service, p)
	return nil
}

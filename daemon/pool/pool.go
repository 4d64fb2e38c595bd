package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Pool holds the scheduling state of one pool and the calls that wait for its decisions.
type Pool struct {
	id    peer.PoolID
	owner *Owner
	epoch decide.Epoch
	ctx   context.Context //nolint:containedctx // ends when the pool is closed
	stop  context.CancelFunc
	// wakeup wakes the run loop when the next tick may be needed earlier than planned.
	wakeup chan struct{}

	mu        sync.Mutex
	scheduler *decide.Pool
	// waiters holds the calls that wait for the decision on a request. A request can
	// have several, because a gate that lost its connection calls Acquire again
	// under the same id.
	waiters map[decide.RequestID][]chan peer.AcquireReply
	// serials has the serial number of the newest Acquire call for each request in
	// waiters, and for each in granted whose grant was not adopted.
	serials map[decide.RequestID]uint64
	// granted holds the live grants, so that a repeated Acquire call gets the same grant.
	granted map[decide.RequestID]liveGrant
	// upstreams are the pool's upstreams in the current configuration.
	upstreams map[decide.UpstreamID]document.Upstream
	// reports holds the latest load report of each engine.
	reports map[decide.UpstreamID]decide.Report
	// missedPolls counts the consecutive polls that each engine did not answer while at
	// least one other engine answered.
	missedPolls map[decide.UpstreamID]int
	// handedOver is set when the pool is handed over or closed, and never cleared; the
	// pool then accepts no requests.
	handedOver bool
	// orphanSince is when an engine first reported each request that has no live grant
	// on that engine.
	orphanSince map[decide.RequestID]clock.Milli
}

// liveGrant is a live grant with the time at which it was granted or adopted here.
type liveGrant struct {
	decide.Grant
	since clock.Milli
}

func newPool(o *Owner, id peer.PoolID, epoch decide.Epoch) *Pool {
	ctx, cancel := context.WithCancel(o.ctx)
	p := &Pool{
		id: id, owner: o, epoch: epoch, ctx: ctx, stop: cancel,
		wakeup:      make(chan struct{}, 1),
		waiters:     map[decide.RequestID][]chan peer.AcquireReply{},
		serials:     map[decide.RequestID]uint64{},
		granted:     map[decide.RequestID]liveGrant{},
		upstreams:   map[decide.UpstreamID]document.Upstream{},
		reports:     map[decide.UpstreamID]decide.Report{},
		orphanSince: map[decide.RequestID]clock.Milli{},
		missedPolls: map[decide.UpstreamID]int{},
	}
	p.scheduler = newScheduler(epoch)
	p.configure()
	return p
}

func newScheduler(epoch decide.Epoch) *decide.Pool {
	return decide.New(decide.Config{Epoch: epoch, Lease: Lease, Recovery: rebuildPeriod, Seed: uint64(epoch), ProgressDelay: firstTokenDelay})
}

// configure applies the current configuration to the scheduler.
func (p *Pool) configure() {
	c, ok := p.owner.registry.Index()
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	p.applyIndex(now, c)
	p.tick(now)
}

// applyIndex passes the upstreams and workspaces of a configuration to the scheduler. The caller holds mu.
func (p *Pool) applyIndex(now clock.Milli, c *document.Index) {
	us := c.Upstreams(p.id)
	next := make(map[decide.UpstreamID]document.Upstream, len(us))
	for _, u := range us {
		id := decide.UpstreamID(u.Name)
		next[id] = *u
		p.setUpstream(now, *u)
	}
	for id := range p.upstreams {
		if _, ok := next[id]; !ok {
			p.scheduler.RemoveUpstream(now, id)
			delete(p.missedPolls, id)
		}
	}
	p.upstreams = next
	for _, w := range c.Document().Workspaces {
		p.scheduler.SetWorkspace(now, decide.Workspace{ID: decide.WorkspaceID(w.Name), Weight: w.Weight})
	}
}

// setUpstream passes an upstream to the scheduler. An upstream that has not answered its
// recent polls is marked as leaving, so that it gets no work. The caller holds mu.
func (p *Pool) setUpstream(now clock.Milli, u document.Upstream) {
	id := decide.UpstreamID(u.Name)
	p.scheduler.SetUpstream(now, decide.Upstream{
		ID: id, Memory: u.Memory, Slots: u.Slots, Prefill: u.Prefill, Decode: u.Decode,
		Leaving: u.Drain || p.owner.registry.Leaving(id) || p.missedPolls[id] >= missedPollLimit,
	})
}

// run ticks the scheduler whenever it has something to do, and polls the engines.
func (p *Pool) run() {
	guard.Go(p.owner.log, "poll", p.pollPeriodically)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		case <-p.wakeup:
		}
		p.mu.Lock()
		now := p.owner.clock.Now()
		p.tick(now)
		wait := min(p.scheduler.Next(now)-now, maxTickInterval)
		p.mu.Unlock()
		t.Reset(max(wait, 1).Duration())
	}
}

// acquire queues a request and waits for the decision on it.
func (p *Pool) acquire(args peer.AcquireArgs) peer.AcquireReply {
	c := make(chan peer.AcquireReply, 1)
	p.mu.Lock()
	if p.handedOver {
		p.mu.Unlock()
		return peer.AcquireReply{Fault: peer.NewFault(handingOverFault())}
	}
	now := p.owner.clock.Now()
	r := args.Request
	r.Deadline = now + args.Left
	p.serials[r.ID] = max(p.serials[r.ID], args.Serial)
	if g, ok := p.granted[r.ID]; ok && !isReplaced(r, g.Grant) {
		p.mu.Unlock()
		return peer.AcquireReply{Grant: withRelativeTimes(g.Grant, now)}
	} else if ok {
		delete(p.granted, r.ID)
		p.scheduler.Finish(now, g.ID, decide.Failed)
	}
	cs, known := p.waiters[r.ID]
	p.waiters[r.ID] = append(cs, c)
	if !known {
		if f := p.owner.CrashesElsewhere; f != nil {
			p.scheduler.LearnCrashes(now, f(p.id))
		}
		p.scheduler.Submit(now, r)
		p.recordEvent(timeline.Queued, r.ID, r.Workspace, "", "")
	}
	p.tick(now)
	p.mu.Unlock()
	p.wake()
	return <-c
}

// isReplaced reports whether the gate has given up g and asks for another grant, which it
// indicates by listing an upstream of g as one to avoid.
//
// A gate returns a grant in the background and calls Acquire again at once, so the
// call may arrive before the return. If it were answered with the old grant, the gate
// would send the request to the same failed upstream until its attempts are used up,
// and the request would be refused although other upstreams are idle.
func isReplaced(r decide.Request, g decide.Grant) bool {
	return slices.ContainsFunc(r.Avoid, func(u decide.UpstreamID) bool { return slices.Contains(g.Upstreams, u) })
}

// dropGrant removes the grant of a request. The caller holds mu.
func (p *Pool) dropGrant(r decide.RequestID) {
	delete(p.granted, r)
	if len(p.waiters[r]) == 0 {
		delete(p.serials, r)
	}
}

// dropGrantIfCurrent removes the grant of a request, unless the request has another grant
// by now. The caller holds mu.
func (p *Pool) dropGrantIfCurrent(r decide.RequestID, id decide.GrantID) {
	if p.granted[r].ID == id {
		p.dropGrant(r)
	}
}

// finish ends a grant and records the final progress of its request.
func (p *Pool) finish(args peer.ReturnArgs) {
	p.mu.Lock()
	now := p.owner.clock.Now()
	if g, ok := p.granted[args.Request]; ok && g.ID == args.Grant {
		p.recordEvent(timeline.Returned, g.Request, g.Workspace, g.Upstreams[0], "")
	}
	p.recordProgress(now, args.Request, args.Grant, args.First, args.Usage.Output)
	p.dropGrantIfCurrent(args.Request, args.Grant)
	p.scheduler.Finish(now, args.Grant, args.Outcome)
	p.tick(now)
	p.mu.Unlock()
	p.wake()
}

// renew extends the leases of grants and adopts unknown grants that are presented in full.
// For grants presented only by id, it returns the requests whose grant is unknown here.
func (p *Pool) renew(args peer.RenewArgs) (unknown []decide.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	for _, r := range args.Grants {
		g := r.Grant
		if !p.scheduler.Renew(now, g.ID) && !p.adopt(now, g) {
			continue
		}
		p.recordProgress(now, g.Request, g.ID, r.First, r.Output)
	}
	for _, r := range args.Known {
		if !p.scheduler.Renew(now, r.Grant) {
			unknown = append(unknown, r.Request)
			continue
		}
		p.recordProgress(now, r.Request, r.Grant, r.First, r.Output)
	}
	return unknown
}

// recordProgress passes the progress of a request, as its gate observed it, to the
// scheduler. A renewal arrives up to a second after the first token, and a short
// response ends before any renewal. If the time of the message counted as the time of
// the first token, every engine would seem many times slower than it is and get no
// work. So the message contains the time from the grant to the first token, and the
// scheduler gets the time that follows from it. The caller holds mu.
func (p *Pool) recordProgress(now clock.Milli, id decide.RequestID, g decide.GrantID, first clock.Milli, output decide.Tokens) {
	at := now
	if x, ok := p.granted[id]; ok && first > 0 {
		at = min(now, x.since+first)
	}
	p.scheduler.Progress(at, g, first > 0, output)
}

// adopt records a grant that its gate presents and that this pool did not issue. It
// returns false if the scheduler rejects the grant. The caller holds mu.
//
// A renewal can arrive after the return of its grant, and the scheduler then rejects
// the grant. If it were recorded in granted all the same, it would never expire: the
// pool would never become idle, and memory that the engine still uses for the request
// would never be reclaimed.
func (p *Pool) adopt(now clock.Milli, g decide.Grant) bool {
	g.Until = now + Lease
	g.Deadline += now
	if !p.scheduler.Adopt(now, g) || !p.scheduler.Renew(now, g.ID) {
		return false
	}
	p.granted[g.Request] = liveGrant{g, now}
	p.recordEvent(timeline.Presented, g.Request, g.Workspace, g.Upstreams[0], "")
	return true
}

// withdraw cancels an Acquire call of a gate. The serial number ensures that a late
// withdrawal doesn't cancel a newer call for the same request.
func (p *Pool) withdraw(id decide.RequestID, serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if serial < p.serials[id] {
		return
	}
	now := p.owner.clock.Now()
	if g, ok := p.granted[id]; ok {
		// The grant was issued while the withdrawal was on its way, or the reply with
		// the grant was lost; nothing was sent to an upstream under it.
		p.dropGrant(id)
		p.scheduler.Finish(now, g.ID, decide.Unused)
	}
	p.scheduler.Withdraw(now, id)
	if p.reply(id, peer.AcquireReply{Fault: peer.NewFault(fault.New(fault.Canceled, "withdrawn"))}) {
		p.recordEvent(timeline.Withdrawn, id, "", "", "")
	}
	p.tick(now)
}

func (p *Pool) handOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedOver = true
	now := p.owner.clock.Now()
	for id := range p.waiters {
		p.scheduler.Withdraw(now, id)
		p.reply(id, peer.AcquireReply{Fault: peer.NewFault(handingOverFault())})
	}
}

func (p *Pool) summary() decide.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Summary(p.owner.clock.Now())
}

// closeIfIdle closes an idle pool; it returns false if the pool is in use. A call that
// looked the pool up before it was closed is then answered with the Draining fault. If
// its request were queued here it would wait until its deadline, because nothing ticks
// the scheduler of a closed pool.
func (p *Pool) closeIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 || len(p.granted) > 0 {
		return false
	}
	p.handedOver = true
	p.stop()
	return true
}

// tick runs the scheduler and carries out its decisions. The caller holds mu.
func (p *Pool) tick(now clock.Milli) {
	for _, d := range p.scheduler.Tick(now) {
		p.execute(now, d)
	}
	for _, c := range p.scheduler.TakePartChanges() {
		p.owner.log.Warn().Str("pool", string(p.id)).Str("part", c.Part.String()).Str("verdict", string(c.Kind)).Strs("upstreams", c.Crashes).
			Bool("familiar", c.Familiar).Msg("what is known of a part of requests that crashes upstreams has changed")
	}
}

// execute carries out one decision of the scheduler. The caller holds mu.
func (p *Pool) execute(now clock.Milli, d decide.Decision) {
	switch d.Action {
	case decide.Granted:
		p.granted[d.Request] = liveGrant{d.Grant, now}
		p.recordEvent(timeline.Granted, d.Request, d.Grant.Workspace, d.Grant.Upstreams[0], "")
		if !p.reply(d.Request, peer.AcquireReply{Grant: withRelativeTimes(d.Grant, now)}) {
			// No call waits for the grant any more: it was withdrawn during this tick.
			p.dropGrant(d.Request)
			p.scheduler.Finish(now, d.Grant.ID, decide.Unused)
		}
	case decide.Refused:
		e := fault.New(d.Fault, "%s", refusalText(d.Fault)).WithRan(fault.RanNo).WithRetry(d.Retry)
		p.recordEvent(timeline.Refused, d.Request, "", "", e.Error())
		p.reply(d.Request, peer.AcquireReply{Fault: peer.NewFault(e)})
	case decide.Lapsed:
		p.recordEvent(timeline.Lapsed, d.Request, d.Grant.Workspace, d.Grant.Upstreams[0], "")
		// The memory stays reserved until the engine reports it as free. freeOrphans
		// cancels the request on the engine once it is certain that the gate doesn't
		// hold it.
		p.dropGrantIfCurrent(d.Request, d.Grant.ID)
	case decide.Ordered:
		if u, ok := p.upstreams[d.Order.Upstream]; ok {
			// Before it sends an order the daemon checks whether this process was paused,
			// and if so discards all pools, which locks mu. Called here, under mu, that
			// check would deadlock.
			guard.Go(p.owner.log, "order", func() { p.owner.orders.Order(p.id, u, d.Order) })
		}
	}
}

func (p *Pool) recordEvent(k timeline.Kind, id decide.RequestID, w decide.WorkspaceID, u decide.UpstreamID, text string) {
	p.owner.ring.Add(timeline.Event{Kind: k, Request: id, Workspace: w, Upstream: u, Peer: string(p.id), Text: text})
}

// reply sends a reply to all calls that wait for the decision on a request, and
// reports whether there were any. The caller holds mu.
func (p *Pool) reply(id decide.RequestID, r peer.AcquireReply) bool {
	cs := p.waiters[id]
	delete(p.waiters, id)
	if _, ok := p.granted[id]; !ok {
		delete(p.serials, id)
	}
	for _, c := range cs {
		c <- r
	}
	return len(cs) > 0
}

func (p *Pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// withRelativeTimes converts the absolute times of a grant to durations from now, because
// the clock of the receiver may differ.
func withRelativeTimes(g decide.Grant, now clock.Milli) decide.Grant {
	g.Until -= now
	g.Deadline -= now
	return g
}

func refusalText(k fault.Kind) string {
	switch k {
	case fault.Overloaded:
		return "it would not finish within its allowed time"
	case fault.Expired:
		return "its allowed time ended while it waited"
	case fault.Oversize:
		return "the prompt fits no group of engines"
	case fault.Unavailable:
		return "no upstream of the pool takes work"
	case fault.Quarantined:
		return "upstreams died running requests with the same content or part"
	default:
		return string(k)
	}
}

// Status describes a pool for operators.
type Status struct {
	Summary   decide.Summary
	Upstreams []decide.UpstreamView
	Grants    []decide.Grant
	// Addresses has the host:port of each upstream.
	Addresses map[decide.UpstreamID]string
	// Used has the memory in use as each engine last reported it, in tokens, and
	// Reported the time at which that report was received.
	Used     map[decide.UpstreamID]decide.Tokens
	Reported map[decide.UpstreamID]clock.Milli
	// Fenced reports which upstreams check the fencing numbers of orders.
	Fenced map[decide.UpstreamID]bool
}

// ID returns the id of the pool.
func (p *Pool) ID() peer.PoolID { return p.id }

// Epoch returns the epoch of the pool: the time at which this VM opened it. It differs
// between successive owners, and each time that a pool is reopened.
func (p *Pool) Epoch() decide.Epoch { return p.epoch }

// Status returns a copy of the pool's state for operators.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	status := Status{
		Summary: p.scheduler.Summary(now), Upstreams: p.scheduler.Upstreams(now), Grants: p.scheduler.Grants(),
		Addresses: map[decide.UpstreamID]string{}, Used: map[decide.UpstreamID]decide.Tokens{},
		Reported: map[decide.UpstreamID]clock.Milli{}, Fenced: map[decide.UpstreamID]bool{},
	}
	for id, u := range p.upstreams {
		status.Addresses[id], status.Fenced[id] = u.Address, u.Fenced
	}
	for id, r := range p.reports {
		status.Used[id], status.Reported[id] = r.Used, r.At
	}
	return status
}

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

// Pool is one pool's tables with the calls that wait on them.
type Pool struct {
	id    peer.PoolID
	owner *Owner
	epoch decide.Epoch
	ctx   context.Context //nolint:containedctx // the life of the pool
	stop  context.CancelFunc
	// kick wakes the run loop when the next tick may have moved nearer.
	kick chan struct{}

	mu   sync.Mutex
	core *decide.Pool
	// waiting holds the calls that wait for the decision on a request; a gate
	// that lost its connection asks again under the same id.
	waiting map[decide.RequestID][]chan peer.AcquireReply
	// asked is the serial of the newest question for each request in waiting, and in
	// granted unless its grant was adopted.
	asked map[decide.RequestID]uint64
	// granted holds live grants, to give the same answer to the same question.
	granted map[decide.RequestID]given
	// upstreams are the ones of the configuration in force.
	upstreams map[decide.UpstreamID]document.Upstream
	// reports holds the last report of each engine.
	reports map[decide.UpstreamID]decide.Report
	// missed counts the looks in a row that each engine left unanswered while another
	// one answered.
	missed map[decide.UpstreamID]int
	// handed is set once; a pool that was handed over takes no request.
	handed bool
	// seen is when each request that no grant explains was first reported.
	seen map[decide.RequestID]clock.Milli
}

// given is a live grant with the instant at which it was granted or adopted here.
type given struct {
	decide.Grant
	made clock.Milli
}

func newPool(o *Owner, id peer.PoolID, epoch decide.Epoch) *Pool {
	ctx, cancel := context.WithCancel(o.ctx)
	p := &Pool{
		id: id, owner: o, epoch: epoch, ctx: ctx, stop: cancel,
		kick:      make(chan struct{}, 1),
		waiting:   map[decide.RequestID][]chan peer.AcquireReply{},
		asked:     map[decide.RequestID]uint64{},
		granted:   map[decide.RequestID]given{},
		upstreams: map[decide.UpstreamID]document.Upstream{},
		reports:   map[decide.UpstreamID]decide.Report{},
		seen:      map[decide.RequestID]clock.Milli{},
		missed:    map[decide.UpstreamID]int{},
	}
	p.core = decide.New(decide.Config{Epoch: epoch, Lease: Lease, Recovery: rebuild, Seed: uint64(epoch), ProgressDelay: wordDelay})
	p.configure()
	return p
}

// configure brings the tables in line with the configuration in force.
func (p *Pool) configure() {
	c, ok := p.owner.book.Index()
	if !ok {
		return
	}
	us := c.Upstreams(p.id)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	next := make(map[decide.UpstreamID]document.Upstream, len(us))
	for _, u := range us {
		id := decide.UpstreamID(u.Name)
		next[id] = *u
		p.set(now, *u)
	}
	for id := range p.upstreams {
		if _, ok := next[id]; !ok {
			p.core.RemoveUpstream(now, id)
			delete(p.missed, id)
		}
	}
	p.upstreams = next
	for _, w := range c.Document().Workspaces {
		p.core.SetWorkspace(now, decide.Workspace{ID: decide.WorkspaceID(w.Name), Weight: w.Weight})
	}
	p.tick(now)
}

// set gives an upstream to the tables; one that does not answer takes no work. It needs mu.
func (p *Pool) set(now clock.Milli, u document.Upstream) {
	id := decide.UpstreamID(u.Name)
	p.core.SetUpstream(now, decide.Upstream{
		ID: id, Memory: u.Memory, Slots: u.Slots, Prefill: u.Prefill, Decode: u.Decode,
		Leaving: u.Drain || p.owner.book.Leaving(id) || p.missed[id] >= awayAfter,
	})
}

// run ticks the tables when they are due and polls the engines.
func (p *Pool) run() {
	guard.Go(p.owner.log, "poll", p.poll)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		case <-p.kick:
		}
		p.mu.Lock()
		now := p.owner.clock.Now()
		p.tick(now)
		wait := min(p.core.Next(now)-now, idleTick)
		p.mu.Unlock()
		t.Reset(max(wait, 1).Duration())
	}
}

// acquire waits for the decision on a request.
func (p *Pool) acquire(args peer.AcquireArgs) peer.AcquireReply {
	c := make(chan peer.AcquireReply, 1)
	p.mu.Lock()
	if p.handed {
		p.mu.Unlock()
		return peer.AcquireReply{Fault: peer.NewFault(moved())}
	}
	now := p.owner.clock.Now()
	r := args.Request
	r.Deadline = now + args.Left
	p.asked[r.ID] = max(p.asked[r.ID], args.Serial)
	if g, ok := p.granted[r.ID]; ok && !gaveUp(r, g.Grant) {
		p.mu.Unlock()
		return peer.AcquireReply{Grant: spans(g.Grant, now)}
	} else if ok {
		delete(p.granted, r.ID)
		p.core.Finish(now, g.ID, decide.Failed)
	}
	cs, known := p.waiting[r.ID]
	p.waiting[r.ID] = append(cs, c)
	if !known {
		p.core.Submit(now, r)
		p.note(timeline.Queued, r.ID, r.Workspace, "", "")
	}
	p.tick(now)
	p.mu.Unlock()
	p.wake()
	return <-c
}

// gaveUp reports whether the gate asks for a grant in place of g.
//
// A gate returns a grant in the background and asks for the next one at once, so
// the question may come first. Given the old grant again, it would send the
// request to the same dead upstream until its tries are spent, and be refused
// while others are idle.
func gaveUp(r decide.Request, g decide.Grant) bool {
	return slices.ContainsFunc(r.Avoid, func(u decide.UpstreamID) bool { return slices.Contains(g.Upstreams, u) })
}

// drop lets go of a request's grant. It needs mu.
func (p *Pool) drop(r decide.RequestID) {
	delete(p.granted, r)
	if len(p.waiting[r]) == 0 {
		delete(p.asked, r)
	}
}

// forget lets go of a request's grant unless it has a newer one already. It needs mu.
func (p *Pool) forget(r decide.RequestID, id decide.GrantID) {
	if p.granted[r].ID == id {
		p.drop(r)
	}
}

func (p *Pool) finish(args peer.ReturnArgs) {
	p.mu.Lock()
	now := p.owner.clock.Now()
	if g, ok := p.granted[args.Request]; ok && g.ID == args.Grant {
		p.note(timeline.Returned, g.Request, g.Workspace, g.Upstreams[0], "")
	}
	p.progress(now, args.Request, args.Grant, args.First, args.Usage.Output)
	p.forget(args.Request, args.Grant)
	p.core.Finish(now, args.Grant, args.Outcome)
	p.tick(now)
	p.mu.Unlock()
	p.wake()
}

func (p *Pool) renew(args peer.RenewArgs) (unknown []decide.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	for _, r := range args.Grants {
		g := r.Grant
		if !p.core.Renew(now, g.ID) && !p.adopt(now, g) {
			continue
		}
		p.progress(now, g.Request, g.ID, r.First, r.Output)
	}
	for _, r := range args.Known {
		if !p.core.Renew(now, r.Grant) {
			unknown = append(unknown, r.Request)
			continue
		}
		p.progress(now, r.Request, r.Grant, r.First, r.Output)
	}
	return unknown
}

// progress feeds what a gate saw. A renewal comes up to a second after the first
// token, and a short answer ends before any; taken at the time of the message,
// every engine would look many times slower than it is and get no work. So the
// message says when the token came, and the tables take that instant.
func (p *Pool) progress(now clock.Milli, id decide.RequestID, g decide.GrantID, first clock.Milli, output decide.Tokens) {
	at := now
	if x, ok := p.granted[id]; ok && first > 0 {
		at = min(now, x.made+first)
	}
	p.core.Progress(at, g, first > 0, output)
}

// adopt enters a grant that its gate presents; false means that the tables do not
// take it. It needs mu.
//
// A renewal can arrive after the return of its grant. Kept as granted, a row that
// the tables do not know would never lapse: the pool would never be idle, and what
// the engine may still hold for the request would count as explained for good.
func (p *Pool) adopt(now clock.Milli, g decide.Grant) bool {
	g.Until = now + Lease
	g.Deadline += now
	if !p.core.Adopt(now, g) || !p.core.Renew(now, g.ID) {
		return false
	}
	p.granted[g.Request] = given{g, now}
	p.note(timeline.Presented, g.Request, g.Workspace, g.Upstreams[0], "")
	return true
}

// withdraw takes a question back.
// The serial keeps a withdrawal that was overtaken by the next question from ending that one.
func (p *Pool) withdraw(id decide.RequestID, serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if serial < p.asked[id] {
		return
	}
	now := p.owner.clock.Now()
	if g, ok := p.granted[id]; ok {
		// The grant crossed the withdrawal, or its answer was lost; nothing was sent under it.
		p.drop(id)
		p.core.Finish(now, g.ID, decide.Unused)
	}
	p.core.Withdraw(now, id)
	if p.answer(id, peer.AcquireReply{Fault: peer.NewFault(fault.New(fault.Canceled, "withdrawn"))}) {
		p.note(timeline.Withdrawn, id, "", "", "")
	}
	p.tick(now)
}

func (p *Pool) handOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handed = true
	now := p.owner.clock.Now()
	for id := range p.waiting {
		p.core.Withdraw(now, id)
		p.answer(id, peer.AcquireReply{Fault: peer.NewFault(moved())})
	}
}

func (p *Pool) summary() decide.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Summary(p.owner.clock.Now())
}

// retire ends an idle pool; false means that it is in use. A call that found the
// pool before its end is told to ask the next owner: queued in tables that nothing
// ticks any more, its request would wait until its deadline.
func (p *Pool) retire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 || len(p.granted) > 0 {
		return false
	}
	p.handed = true
	p.stop()
	return true
}

// tick runs the systems and carries out what they decided. It needs mu.
func (p *Pool) tick(now clock.Milli) {
	for _, d := range p.core.Tick(now) {
		p.carry(now, d)
	}
}

// carry carries one decision out. It needs mu.
func (p *Pool) carry(now clock.Milli, d decide.Decision) {
	switch d.Action {
	case decide.Granted:
		p.granted[d.Request] = given{d.Grant, now}
		p.note(timeline.Granted, d.Request, d.Grant.Workspace, d.Grant.Upstreams[0], "")
		if !p.answer(d.Request, peer.AcquireReply{Grant: spans(d.Grant, now)}) {
			// Nobody waits any more: the call was withdrawn in this very tick.
			p.drop(d.Request)
			p.core.Finish(now, d.Grant.ID, decide.Unused)
		}
	case decide.Refused:
		e := fault.New(d.Fault, "%s", refusal(d.Fault)).WithRan(fault.RanNo).WithRetry(d.Retry)
		p.note(timeline.Refused, d.Request, "", "", e.Error())
		p.answer(d.Request, peer.AcquireReply{Fault: peer.NewFault(e)})
	case decide.Lapsed:
		p.note(timeline.Lapsed, d.Request, d.Grant.Workspace, d.Grant.Upstreams[0], "")
		// The memory stays reserved until the engine's report shows it free;
		// the reaper cancels it once its gate is proved not to hold it.
		p.forget(d.Request, d.Grant.ID)
	case decide.Ordered:
		if u, ok := p.upstreams[d.Order.Upstream]; ok {
			// Not under mu: before an order goes out this process checks whether it stood
			// still, and if it did, every pool is forgotten, which takes mu. Held
			// here, the daemon would stand for good after a pause that it noticed so.
			guard.Go(p.owner.log, "order", func() { p.owner.orders.Order(p.id, u, d.Order) })
		}
	}
}

func (p *Pool) note(k timeline.Kind, id decide.RequestID, w decide.WorkspaceID, u decide.UpstreamID, text string) {
	p.owner.ring.Add(timeline.Event{Kind: k, Request: id, Workspace: w, Upstream: u, Peer: string(p.id), Text: text})
}

// answer gives every call that waits on a request its reply. It needs mu.
func (p *Pool) answer(id decide.RequestID, r peer.AcquireReply) bool {
	cs := p.waiting[id]
	delete(p.waiting, id)
	if _, ok := p.granted[id]; !ok {
		delete(p.asked, id)
	}
	for _, c := range cs {
		c <- r
	}
	return len(cs) > 0
}

func (p *Pool) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// spans turns a grant's instants into remaining spans for the wire.
func spans(g decide.Grant, now clock.Milli) decide.Grant {
	g.Until -= now
	g.Deadline -= now
	return g
}

func refusal(k fault.Kind) string {
	switch k {
	case fault.Overloaded:
		return "it would not finish within its allowed time"
	case fault.Expired:
		return "its allowed time ended while it waited"
	case fault.Oversize:
		return "the prompt fits no group of engines"
	case fault.Unavailable:
		return "no upstream of the pool takes work"
	default:
		return string(k)
	}
}

// Status is a pool as operators see it.
type Status struct {
	Summary   decide.Summary
	Upstreams []decide.UpstreamView
	Grants    []decide.Grant
	// Addresses, Used, Reported and Fenced are by upstream: host:port, the
	// engine's own word on its memory, when it gave it, and whether it checks
	// fencing numbers.
	Addresses map[decide.UpstreamID]string
	Used      map[decide.UpstreamID]decide.Tokens
	Reported  map[decide.UpstreamID]clock.Milli
	Fenced    map[decide.UpstreamID]bool
}

// ID is the pool's id.
func (p *Pool) ID() peer.PoolID { return p.id }

// Epoch tells this pool from the ones of earlier and other owners.
func (p *Pool) Epoch() decide.Epoch { return p.epoch }

// Status copies what operators see.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	l := Status{
		Summary: p.core.Summary(now), Upstreams: p.core.Upstreams(now), Grants: p.core.Grants(),
		Addresses: map[decide.UpstreamID]string{}, Used: map[decide.UpstreamID]decide.Tokens{},
		Reported: map[decide.UpstreamID]clock.Milli{}, Fenced: map[decide.UpstreamID]bool{},
	}
	for id, u := range p.upstreams {
		l.Addresses[id], l.Fenced[id] = u.Address, u.Fenced
	}
	for id, r := range p.reports {
		l.Used[id], l.Reported[id] = r.Used, r.At
	}
	return l
}

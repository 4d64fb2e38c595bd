// Package pool is the owner's side of pools: it feeds the decision library with
// what gates ask and engines report, and carries its decisions out.
//
// Ownership is soft state. Two owners at once may grant more than an engine
// has room for, and the engine queues; no promise depends on there being one.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Times of an owner.
const (
	// Lease is how long a grant lives without renewal: five renewals, so that a
	// lost one, or the change of an owner, never ends a live request.
	Lease = 5 * clock.Second
	// rebuild is how long a new owner waits for gates to present their grants.
	rebuild = 1500 * clock.Milli(1)
	// wordDelay is how late the word of a first token may be: a renewal is sent
	// every second, and takes its way.
	wordDelay = 1300 * clock.Milli(1)
	// pollEvery is the time between two looks at an engine's report.
	pollEvery = 500 * time.Millisecond
	// pollTimeout bounds one look, so that a frozen engine does not hold up the next.
	pollTimeout = time.Second
	// idleTick is the longest wait between two ticks.
	idleTick = 200 * clock.Milli(1)
)

// Engines is what an owner asks of engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	Events(ctx context.Context, address string, after uint64) ([]engine.Event, error)
	Cancel(ctx context.Context, address string, id decide.RequestID) error
	DeleteExport(ctx context.Context, address, handle string) error
}

// Registry gives the configuration in force for a pool.
type Registry interface {
	Index() (*document.Index, bool)
	// Leaving tells whether the platform lists an upstream as leaving.
	Leaving(id decide.UpstreamID) bool
}

// Evidence is what is known of a request's gate.
type Evidence uint8

// The closed list of evidence.
const (
	Unknown Evidence = iota // the gate cannot be asked; it may still be there
	Held                    // the gate holds the request
	NotHeld                 // proved: the gate does not hold it, or that life of the gate is over
)

// Gates finds out whether requests are still held.
type Gates interface {
	Evidence(ctx context.Context, ids []decide.RequestID) map[decide.RequestID]Evidence
}

// Orders sends orders to engines, or does not where it must not.
type Orders interface {
	Order(id peer.PoolID, u document.Upstream, o decide.Order)
}

// Owner serves the pools that gates ask this VM for.
type Owner struct {
	clock   *clock.Clock
	log     *log.Logger
	ring    *timeline.Ring
	engines Engines
	book    Registry
	gates   Gates
	orders  Orders

	mu sync.Mutex
	// epoch is that of the newest pool; it starts as the incarnation of this VM.
	epoch decide.Epoch
	// pools holds a pool from the first call for it until it is idle and not owned.
	pools map[peer.PoolID]*Pool
	// moved is set while this VM hands its duties over; it then takes no queued request.
	moved bool
	ctx   context.Context //nolint:containedctx // the life of the process, for pools made later
}

// New returns an owner without pools. Ctx ends all its work.
func New(ctx context.Context, c *clock.Clock, l *log.Logger, r *timeline.Ring, e Engines, b Registry, g Gates, od Orders, epoch decide.Epoch) *Owner {
	return &Owner{clock: c, log: l, ring: r, engines: e, book: b, gates: g, orders: od, epoch: epoch, pools: map[peer.PoolID]*Pool{}, ctx: ctx}
}

// Acquire waits for the decision on a request. It is the method Pool.Acquire of the peer door.
func (o *Owner) Acquire(args peer.AcquireArgs, reply *peer.AcquireReply) error {
	o.ring.ReceiveStamp(args.Stamp)
	p, ok := o.open(args.Pool)
	if !ok {
		reply.Fault = peer.NewFault(moved())
		return nil
	}
	*reply = p.acquire(args)
	reply.Summary = p.summary()
	reply.Stamp = o.ring.SendStamp()
	return nil
}

// Return ends a grant.
func (o *Owner) Return(args peer.ReturnArgs, _ *peer.Empty) error {
	o.ring.ReceiveStamp(args.Stamp)
	if p := o.find(args.Pool); p != nil {
		p.finish(args)
	}
	return nil
}

// Renew takes the live grants of a gate; those unknown here are adopted.
func (o *Owner) Renew(args peer.RenewArgs, reply *peer.RenewReply) error {
	if p, ok := o.open(args.Pool); ok {
		reply.Unknown = p.renew(args)
	}
	return nil
}

// Withdraw takes a queued request back.
func (o *Owner) Withdraw(args peer.WithdrawArgs, _ *peer.Empty) error {
	if p := o.find(args.Pool); p != nil {
		p.withdraw(args.Request, args.Serial)
	}
	return nil
}

// HandOver answers every queued request with "moved", so that its gate asks the
// next owner, and takes no new one. Grants stay: their gates present them to
// the next owner.
func (o *Owner) HandOver() {
	o.mu.Lock()
	o.moved = true
	ps := o.list()
	o.mu.Unlock()
	for _, p := range ps {
		p.handOver()
	}
}

// DiscardPools forgets all pools after this process stood still for longer than a
// lease: others own them by now, and what is in these tables is history. Gates
// present what is live.
func (o *Owner) DiscardPools() {
	o.mu.Lock()
	ps := o.list()
	o.pools = map[peer.PoolID]*Pool{}
	o.mu.Unlock()
	for _, p := range ps {
		p.handOver()
		p.stop()
	}
}

// Reconfigure makes every pool take the configuration in force.
func (o *Owner) Reconfigure() {
	o.mu.Lock()
	ps := o.list()
	o.mu.Unlock()
	for _, p := range ps {
		p.configure()
	}
}

// SetOwned opens the pools that this VM owns now and lets go of idle ones it does not.
func (o *Owner) SetOwned(owned []peer.PoolID) {
	mine := make(map[peer.PoolID]bool, len(owned))
	for _, id := range owned {
		mine[id] = true
		o.open(id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, p := range o.pools {
		if !mine[id] && p.retire() {
			delete(o.pools, id)
		}
	}
}

// Summaries returns one summary a pool.
func (o *Owner) Summaries() []peer.PoolSummary {
	o.mu.Lock()
	ps := o.list()
	o.mu.Unlock()
	out := make([]peer.PoolSummary, 0, len(ps))
	for _, p := range ps {
		out = append(out, peer.PoolSummary{Pool: p.id, Summary: p.summary()})
	}
	return out
}

// Pools returns the open pools for operators.
func (o *Owner) Pools() []*Pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list()
}

// list needs mu.
func (o *Owner) list() []*Pool {
	out := make([]*Pool, 0, len(o.pools))
	for _, p := range o.pools {
		out = append(out, p)
	}
	return out
}

func (o *Owner) find(id peer.PoolID) *Pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pools[id]
}

// open returns the pool, making it when it is new here; ok is false while this VM hands over.
//
// Each pool has an epoch of its own, the instant it was opened. With one epoch a
// process, a pool that is opened anew after a pause would issue the same grant ids
// again: a return under an old one would free the memory of somebody's live
// request. And a VM that started early would succeed one that started late with
// the smaller epoch, though it is the later owner.
func (o *Owner) open(id peer.PoolID) (p *Pool, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[id]; ok {
		return p, true
	}
	if o.moved {
		return nil, false
	}
	o.epoch = max(o.epoch+1, decide.Epoch(o.clock.Now()))
	p = newPool(o, id, o.epoch)
	o.pools[id] = p
	guard.Go(o.log, "pool", p.run)
	return p, true
}

// moved is the answer that sends a gate to the next owner.
func moved() *fault.Error {
	return fault.New(fault.Draining, "the owner of the pool is handing over")
}

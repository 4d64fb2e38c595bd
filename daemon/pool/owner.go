// Package pool is the server side of pools, run by the VM that owns them. It passes
// the requests of gates (the VMs that hold the client connections) and the load
// reports of engines to the scheduler in package decide, and carries out the
// decisions of the scheduler.
//
// Ownership is soft state. If a pool has two owners for a while, they may together
// grant more than an engine has room for, and the engine queues the excess. No
// guarantee of the system depends on a pool having a single owner.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Timing of an owner.
const (
	// Lease is how long a grant stays valid without renewal. It spans five renewal
	// periods, so that neither a lost renewal nor a change of the owner ends a
	// running request.
	Lease = 5 * clock.Second
	// rebuildPeriod is how long a new owner waits for gates to present their grants before
	// it grants anything itself.
	rebuildPeriod = 1500 * clock.Milli(1)
	// firstTokenDelay is the longest time from a first token at the gate until the owner
	// learns of it: gates send a renewal every second, and the message takes time
	// to arrive.
	firstTokenDelay = 1300 * clock.Milli(1)
	// pollInterval is the interval at which the load report of each engine is fetched.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds each round of calls to an engine, so that a paused engine
	// does not delay the next poll.
	pollTimeout = time.Second
	// maxTickInterval is the longest wait between two ticks of the scheduler.
	maxTickInterval = 200 * clock.Milli(1)
)

// Engines is the client for the engines' control interface.
type Engines interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	Events(ctx context.Context, address string, after uint64) ([]engine.Event, error)
	Cancel(ctx context.Context, address string, id decide.RequestID) error
	DeleteExport(ctx context.Context, address, handle string) error
}

// Registry provides the current configuration and the state of upstreams.
type Registry interface {
	Index() (*document.Index, bool)
	// Leaving reports whether the platform lists an upstream as about to be removed.
	Leaving(id decide.UpstreamID) bool
}

// Evidence reports whether the gate of a request still holds the request.
type Evidence uint8

// All values of Evidence.
const (
	Unknown Evidence = iota // the gate did not answer; it may still be running
	Held                    // the gate holds the request
	NotHeld                 // the gate denied holding the request, or its process has ended
)

// Gates finds out whether the gates of requests still hold them.
type Gates interface {
	Evidence(ctx context.Context, ids []decide.RequestID) map[decide.RequestID]Evidence
}

// Orders sends orders to engines. It drops an order to an engine that it may not
// send orders to.
type Orders interface {
	Order(id peer.PoolID, u document.Upstream, o decide.Order)
}

// Owner serves the pools for which gates send requests to this VM.
type Owner struct {
	clock    *clock.Clock
	log      *log.Logger
	ring     *timeline.Ring
	engines  Engines
	registry Registry
	gates    Gates
	orders   Orders

	// CrashesElsewhere returns the crashes that other owners know of a pool and of others of the same model or service;
	// nil if there are no others. It must be set before the first call.
	CrashesElsewhere func(id peer.PoolID) []blame.Crash
	// DocumentAge returns the time since the configuration was known to be current; nil if that is not known. It must be set
	// before the first call.
	DocumentAge func() clock.Milli

	mu sync.Mutex
	// epoch is the epoch of the pool opened last. It starts as the incarnation of
	// this process.
	epoch decide.Epoch
	// pools holds each pool from the first call for it until it is idle and no longer
	// owned by this VM.
	pools map[peer.PoolID]*Pool
	// handedOver is set once this VM hands its pools over; it then opens no new pools.
	handedOver bool
	ctx        context.Context //nolint:containedctx // ends with the process; parent context of pools opened later
}

// New returns an owner without pools. Cancelling ctx stops all pools.
func New(ctx context.Context, c *clock.Clock, l *log.Logger, ring *timeline.Ring, engines Engines, registry Registry, gates Gates, orders Orders, epoch decide.Epoch) *Owner {
	return &Owner{clock: c, log: l, ring: ring, engines: engines, registry: registry, gates: gates, orders: orders, epoch: epoch, pools: map[peer.PoolID]*Pool{}, ctx: ctx}
}

// Acquire queues a request and waits for its grant or refusal. Peers call it as
// Pool.Acquire over net/rpc.
func (o *Owner) Acquire(args peer.AcquireArgs, reply *peer.AcquireReply) error {
	o.ring.ReceiveStamp(args.Stamp)
	p, ok := o.open(args.Pool)
	if !ok {
		reply.Fault = peer.NewFault(handingOverFault())
		return nil
	}
	*reply = p.acquire(args)
	reply.Summary = p.summary()
	reply.Stamp = o.ring.SendStamp()
	return nil
}

// Return ends a grant that its gate no longer needs.
func (o *Owner) Return(args peer.ReturnArgs, _ *peer.Empty) error {
	o.ring.ReceiveStamp(args.Stamp)
	if p := o.find(args.Pool); p != nil {
		p.finish(args)
	}
	return nil
}

// Renew extends the leases of a gate's live grants and adopts grants that another
// owner issued.
func (o *Owner) Renew(args peer.RenewArgs, reply *peer.RenewReply) error {
	if p, ok := o.open(args.Pool); ok {
		reply.Unknown = p.renew(args)
	}
	return nil
}

// Withdraw cancels a queued request at the demand of its gate.
func (o *Owner) Withdraw(args peer.WithdrawArgs, _ *peer.Empty) error {
	if p := o.find(args.Pool); p != nil {
		p.withdraw(args.Request, args.Serial)
	}
	return nil
}

// HandOver answers every queued request with the Draining fault, so that its gate
// asks the next owner, and accepts no new ones. Grants stay valid: their gates
// present them to the next owner.
func (o *Owner) HandOver() {
	o.mu.Lock()
	o.handedOver = true
	ps := o.openPools()
	o.mu.Unlock()
	for _, p := range ps {
		p.handOver()
	}
}

// DiscardPools discards all pools. It is called after this process was paused for longer
// than a lease: other VMs own the pools by then, and the state here is outdated. Gates
// present their live grants again.
func (o *Owner) DiscardPools() {
	o.mu.Lock()
	ps := o.openPools()
	o.pools = map[peer.PoolID]*Pool{}
	o.mu.Unlock()
	for _, p := range ps {
		p.handOver()
		p.stop()
	}
}

// Reconfigure applies the current configuration to every pool.
func (o *Owner) Reconfigure() {
	o.mu.Lock()
	ps := o.openPools()
	o.mu.Unlock()
	for _, p := range ps {
		p.configure()
	}
}

// SetOwned opens the pools that this VM owns now and closes idle pools that it doesn't own.
func (o *Owner) SetOwned(owned []peer.PoolID) {
	isOwned := make(map[peer.PoolID]bool, len(owned))
	for _, id := range owned {
		isOwned[id] = true
		o.open(id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, p := range o.pools {
		if !isOwned[id] && p.closeIfIdle() {
			delete(o.pools, id)
		}
	}
}

// Summaries returns a load summary of each open pool.
func (o *Owner) Summaries() []peer.PoolSummary {
	o.mu.Lock()
	ps := o.openPools()
	o.mu.Unlock()
	out := make([]peer.PoolSummary, 0, len(ps))
	for _, p := range ps {
		out = append(out, peer.PoolSummary{Pool: p.id, Summary: p.summary()})
	}
	return out
}

// Pools returns the open pools, for display to operators.
func (o *Owner) Pools() []*Pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.openPools()
}

// openPools returns the open pools. The caller holds mu.
func (o *Owner) openPools() []*Pool {
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

// open returns the pool and opens it if necessary; ok is false if the pool is not
// open and this VM is handing over.
//
// Each pool gets its own epoch, the time at which it was opened. With one epoch per
// process, a pool reopened after a pause would issue the same grant ids again, and
// the return of an old grant would free the memory of a running request. Also, a
// successor that started before its predecessor would have the smaller epoch.
func (o *Owner) open(id peer.PoolID) (p *Pool, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[id]; ok {
		return p, true
	}
	if o.handedOver {
		return nil, false
	}
	o.epoch = max(o.epoch+1, decide.Epoch(o.clock.Now()))
	p = newPool(o, id, o.epoch)
	o.pools[id] = p
	guard.Go(o.log, "pool", p.run)
	return p, true
}

// handingOverFault returns the fault that makes a gate ask the next owner.
func handingOverFault() *fault.Error {
	return fault.New(fault.Draining, "the owner of the pool is handing over")
}

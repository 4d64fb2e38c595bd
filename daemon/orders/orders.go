// Package orders sends engines the orders that the schedulers of pools decide on, such as
// a change of role. Each order is sent under a lease of the store and contains the fencing
// number of the lease.
package orders

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/lease"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// orderTimeout is the timeout for sending an order. An order is sent only if the lease is
// valid for longer than this, so it can't arrive after the lease has expired unless this
// process is paused in between. In that case the engine rejects the old fencing number
// once it has seen a newer one.
const orderTimeout = 2 * clock.Second

// Registry provides the current configuration.
type Registry interface {
	Index() (*document.Index, bool)
}

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Sender sends orders for the pools owned on this VM.
type Sender struct {
	// ctx cancels orders under way when the process stops.
	ctx      context.Context //nolint:containedctx // ends with the process
	log      *log.Logger
	ring     *timeline.Ring
	registry Registry
	engines  Engines
	leases   *lease.Leases
}

// New returns a Sender without leases. Call RequestLeases to request them.
func New(ctx context.Context, l *log.Logger, r *timeline.Ring, registry Registry, e Engines, ls *lease.Leases) *Sender {
	return &Sender{ctx: ctx, log: l, ring: r, registry: registry, engines: e, leases: ls}
}

// leaseName returns the name of the lease under which orders are sent to the engines of
// a pool.
func leaseName(id peer.PoolID) platform.Name { return platform.Name("orders-" + string(id)) }

// RequestLeases requests the leases of those pools owned by this VM that have an engine
// which checks fencing numbers. Other engines are never sent orders: if this VM were paused
// while it sends one and resumed later, the order would override those of its successor,
// and the engine could not detect that.
func (h *Sender) RequestLeases(owned []peer.PoolID) {
	x, ok := h.registry.Index()
	if !ok {
		return
	}
	var names []platform.Name
	for _, id := range owned {
		for _, u := range x.Upstreams(id) {
			if lease.Allowed(u.Fenced) {
				names = append(names, leaseName(id))
				break
			}
		}
	}
	h.leases.SetWanted(names...)
}

// Order implements pool.Orders. It sends an order if this VM has the lease of the pool, and
// otherwise drops it. The scheduler repeats a dropped order as long as it applies.
func (h *Sender) Order(id peer.PoolID, u document.Upstream, o decide.Order) {
	if !lease.Allowed(u.Fenced) {
		return
	}
	fence, left, ok := h.leases.Fence(leaseName(id))
	if !ok || left <= orderTimeout {
		return
	}
	guard.Go(h.log, "order", func() { h.send(u, fence, o) })
}

func (h *Sender) send(u document.Upstream, f lease.Fence, o decide.Order) {
	ctx, cancel := context.WithTimeout(h.ctx, orderTimeout.Duration())
	defer cancel()
	start := time.Now()
	h.ring.Add(timeline.Event{Kind: timeline.Ordered, Upstream: o.Upstream, Text: "role " + o.Role})
	err := h.engines.Order(ctx, u.Address, engine.Order{Fence: uint64(f), Order: "role", Value: o.Role})
	if err != nil {
		h.ring.Add(timeline.Event{Kind: timeline.Outdated, Upstream: o.Upstream, Text: err.Error()})
		h.log.Warn().Str("upstream", u.Name).Err(err).Msg("engine did not confirm order")
		return
	}
	h.ring.Add(timeline.Event{Kind: timeline.Obeyed, Upstream: o.Upstream, Text: "role " + o.Role})
	h.log.Info().Str("upstream", u.Name).Str("role", o.Role).Dur("took", time.Since(start)).Msg("engine confirmed order")
}

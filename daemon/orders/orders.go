// Package orders sends engines the orders that pools decide on, under a lease of
// the store and with its fencing number.
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

// orderTimeout bounds an order. One is sent only while the lease has longer
// left than this, so that it cannot arrive after the lease has lapsed unless
// this process stands still in between; then the engine refuses its old fence.
const orderTimeout = 2 * clock.Second

// Registry gives the configuration in force.
type Registry interface {
	Index() (*document.Index, bool)
}

// Engines takes orders to engines.
type Engines interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Sender sends orders for the pools owned on this VM.
type Sender struct {
	// ctx ends orders under way with the process's work.
	ctx     context.Context //nolint:containedctx // the life of the process
	log     *log.Logger
	ring    *timeline.Ring
	book    Registry
	engines Engines
	leases  *lease.Leases
}

// New returns a holder without leases; Want asks for them.
func New(ctx context.Context, l *log.Logger, r *timeline.Ring, b Registry, e Engines, ls *lease.Leases) *Sender {
	return &Sender{ctx: ctx, log: l, ring: r, book: b, engines: e, leases: ls}
}

// orderLease is the lease under which a pool's engines take orders.
func orderLease(id peer.PoolID) platform.Name { return platform.Name("orders-" + string(id)) }

// RequestLeases asks for the leases of the pools owned here that have an engine
// which checks fencing numbers. No other engine is ever sent an order: a holder
// that was frozen in the middle of one and thawed later could then overrule
// its successor, and nothing would stop it.
func (h *Sender) RequestLeases(owned []peer.PoolID) {
	x, ok := h.book.Index()
	if !ok {
		return
	}
	var names []platform.Name
	for _, id := range owned {
		for _, u := range x.Upstreams(id) {
			if lease.Allowed(u.Fenced) {
				names = append(names, orderLease(id))
				break
			}
		}
	}
	h.leases.SetWanted(names...)
}

// Order implements pool.Orders: it sends an order under the pool's lease, or
// not at all. The decision is made again while it still holds.
func (h *Sender) Order(id peer.PoolID, u document.Upstream, o decide.Order) {
	if !lease.Allowed(u.Fenced) {
		return
	}
	fence, left, ok := h.leases.Fence(orderLease(id))
	if !ok || left <= orderTimeout {
		return
	}
	guard.Go(h.log, "order", func() { h.order(u, fence, o) })
}

func (h *Sender) order(u document.Upstream, f lease.Fence, o decide.Order) {
	ctx, cancel := context.WithTimeout(h.ctx, orderTimeout.Duration())
	defer cancel()
	start := time.Now()
	h.ring.Add(timeline.Event{Kind: timeline.Ordered, Upstream: o.Upstream, Text: "role " + o.Role})
	err := h.engines.Order(ctx, u.Address, engine.Order{Fence: uint64(f), Order: "role", Value: o.Role})
	if err != nil {
		h.ring.Add(timeline.Event{Kind: timeline.Outdated, Upstream: o.Upstream, Text: err.Error()})
		h.log.Warn().Str("upstream", u.Name).Err(err).Msg("order not obeyed")
		return
	}
	h.ring.Add(timeline.Event{Kind: timeline.Obeyed, Upstream: o.Upstream, Text: "role " + o.Role})
	h.log.Info().Str("upstream", u.Name).Str("role", o.Role).Dur("took", time.Since(start)).Msg("order obeyed")
}

package load

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/local"
)

// probeInterval is how often the balancer checks whether each daemon is ready. A daemon that is no
// longer ready still receives requests for up to this time.
const probeInterval = 100 * time.Millisecond

// probeTimeout is the time within which a daemon must answer a readiness check.
const probeTimeout = time.Second

// balancer emulates the platform's load balancer. It distributes requests over the daemons that
// report that they are ready, without regard to their load. Without operator addresses it treats all
// daemons as ready.
type balancer struct {
	addresses []string
	operators []string
	// ready holds for each address whether the daemon was ready at the last check.
	ready []atomic.Bool
}

func newBalancer(s Settings) *balancer {
	b := &balancer{addresses: s.Addresses, operators: s.Operators, ready: make([]atomic.Bool, len(s.Addresses))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// watch checks every daemon periodically in goroutines of g until ctx ends. It returns after the first
// check of each.
func (b *balancer) watch(ctx context.Context, g *errgroup.Group) {
	var first errgroup.Group
	for i := range b.operators {
		first.Go(func() error {
			b.probe(ctx, i)
			return nil
		})
		g.Go(func() error {
			for sleepUntil(ctx, time.Now().Add(probeInterval)) {
				b.probe(ctx, i)
			}
			return nil
		})
	}
	_ = first.Wait()
}

func (b *balancer) probe(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	b.ready[i].Store(local.IsReady(ctx, b.operators[i]))
}

// pick returns the address of the nth ready daemon, modulo their number. If none is ready, it chooses
// from all.
func (b *balancer) pick(n int) string {
	var ready []string
	for i, a := range b.addresses {
		if b.ready[i].Load() {
			ready = append(ready, a)
		}
	}
	if len(ready) == 0 {
		ready = b.addresses
	}
	return ready[n%len(ready)]
}

// Package dial opens TCP connections within a few milliseconds where the other end is a few milliseconds away.
package dial

import (
	"context"
	"net"
	"time"
)

// Dial opens a connection to an address (host:port).
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// HedgeDelay is how long a connect is given before another one is tried beside it: many times the few
// milliseconds among VMs and upstreams of a region.
const HedgeDelay = 60 * time.Millisecond

// Hedged tries again, beside the attempts under way, each time that a span passes without a connection. The first
// connection counts, the others are closed.
// The kernel sends a lost first packet again after a second, for which a peer that is up would count as unreachable.
//
// Refusals and other errors count at once: whoever answers so is reached.
func Hedged(d Dial, again time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		h := &hedge{dial: d, ends: make(chan end), cancel: cancel}
		return h.run(ctx, again, network, address)
	}
}

// end is the result of one attempt.
type end struct {
	conn net.Conn
	err  error
}

// hedge is one connection being opened.
type hedge struct {
	dial   Dial
	ends   chan end
	cancel context.CancelFunc
	// pending counts the attempts under way.
	pending int
}

func (h *hedge) run(ctx context.Context, again time.Duration, network, address string) (net.Conn, error) {
	t := time.NewTicker(again)
	defer t.Stop()
	defer h.rest()
	h.start(ctx, network, address)
	for {
		select {
		case e := <-h.ends:
			h.pending--
			return e.conn, e.err
		case <-t.C:
			h.start(ctx, network, address)
		}
	}
}

// start begins one more attempt.
func (h *hedge) start(ctx context.Context, network, address string) {
	h.pending++
	go func() {
		c, err := h.dial(ctx, network, address)
		h.ends <- end{c, err}
	}()
}

// rest ends the attempts that are still under way.
func (h *hedge) rest() {
	h.cancel()
	go func(n int) {
		for range n {
			if e := <-h.ends; e.conn != nil {
				_ = e.conn.Close()
			}
		}
	}(h.pending)
}

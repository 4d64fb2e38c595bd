// Package dial opens TCP connections with hedging, so that a lost packet doesn't delay a connect by a second.
package dial

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// ErrNoPath is the class of errors of connects that failed although the target may take connections: this VM has
// lost its paths, and no other VM could tell. Nothing was sent.
var ErrNoPath = errs.Class("no path")

// Dial opens a connection to address (host:port), as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// HedgeDelay is the time that an attempt gets before a parallel one is started. A connect between VMs
// and upstreams of a region takes a few milliseconds, far less than this delay.
const HedgeDelay = 60 * time.Millisecond

// Hedged returns a Dial that starts a further attempt by d, in parallel with the earlier ones, after each delay
// without a result. The first connection or error is returned; connections of the other attempts are closed.
// The kernel retransmits a lost first packet only after a second, during which a peer that is up would count
// as unreachable.
//
// A refusal or other error is returned at once, without waiting for other attempts: a host that refuses was reached.
func Hedged(d Dial, delay time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		h := &hedge{dial: d, results: make(chan result), cancel: cancel}
		return h.run(ctx, delay, network, address)
	}
}

// result is the outcome of one attempt.
type result struct {
	conn net.Conn
	err  error
}

// hedge is the state of one call of a hedged Dial.
type hedge struct {
	dial    Dial
	results chan result
	cancel  context.CancelFunc
	// pending counts the attempts that have not ended.
	pending int
}

func (h *hedge) run(ctx context.Context, delay time.Duration, network, address string) (net.Conn, error) {
	t := time.NewTicker(delay)
	defer t.Stop()
	defer h.cancelPending()
	h.start(ctx, network, address)
	for {
		select {
		case r := <-h.results:
			h.pending--
			return r.conn, r.err
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
		h.results <- result{c, err}
	}()
}

// cancelPending cancels the attempts that have not ended and closes connections that they still open.
func (h *hedge) cancelPending() {
	h.cancel()
	go func(n int) {
		for range n {
			if r := <-h.results; r.conn != nil {
				_ = r.conn.Close()
			}
		}
	}(h.pending)
}

package relay

import (
	"context"
	"net"
	"time"

	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/peer"
)

// probeTimeout bounds a probe, which tests whether the upstream accepts a new connection. Other VMs are asked within it
// if this VM can't connect. A request whose time is over waits for minProbeTimeout at most.
const (
	probeTimeout    = 400 * time.Millisecond
	minProbeTimeout = 150 * time.Millisecond
)

// reach is the result of a probe.
type reach uint8

const (
	// reachable means that the upstream accepts a direct connection.
	reachable reach = iota
	// detoured means that it accepts connections through other VMs only, and direct connects get no answer, so that
	// open direct connections probably carry nothing either. detouredRefused means that direct connects are
	// refused, so that open ones may work.
	detoured
	detouredRefused
	// unreachable means that no VM that was asked can connect, though it reaches other upstreams.
	unreachable
	// unproven means that no VM could tell.
	unproven
)

// carried is a connection to an upstream through another VM.
type carried interface {
	// Carrier returns that VM.
	Carrier() peer.VM
	// DirectRefused reports whether direct connects of this VM are refused, not left without an answer.
	DirectRefused() bool
}

// probe opens a new connection to an upstream and closes it. The error is that of a connect that failed. An upstream
// that merely cut off a response is reachable.
func (g *Gate) probe(address string, timeout time.Duration) (reach, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := g.Paths.Dial(ctx, "tcp", address)
	switch {
	case err != nil && (dial.ErrNoPath.Has(err) || ctx.Err() != nil):
		return unproven, err
	case err != nil:
		return unreachable, err
	}
	defer c.Close()
	through, ok := c.(carried)
	switch {
	case !ok:
		return reachable, nil
	case through.DirectRefused():
		return detouredRefused, nil
	default:
		return detoured, nil
	}
}

// noteCarrier records the VM through which a send goes.
func (x *request) noteCarrier(c net.Conn) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn() // the transport checks what is read from it
	}
	through, ok := c.(carried)
	if !ok {
		x.carrier.Store(nil)
		return
	}
	v := through.Carrier()
	x.carrier.Store(&v)
}

// noPath returns the result of a send for which no connection could be opened through no fault of the upstream.
func noPath(err error) result {
	return result{verdict: notRun, outcome: span.Left, err: err, unsent: true}
}

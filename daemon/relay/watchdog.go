package relay

import (
	"io"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Time limits for upstreams that do not respond.
const (
	// The first byte of a stream may take firstByteFactor times the expected time plus
	// firstByteSlack while the engine still accepts connections: engines need 1.5 s to
	// detect and report that a helper is gone.
	firstByteFactor             = 2
	firstByteSlack  clock.Milli = 1800
	// A stream may pause for pauseShare of the client's patience, at least minPause and at
	// most maxPause, while its engine still accepts connections: a pass (batch iteration)
	// with a long prefill sometimes takes a second, and a stream that is cut off for it may
	// get no other engine. The remaining patience is for the engine that continues the stream.
	pauseShare             = 0.75
	minPause   clock.Milli = 1000
	maxPause   clock.Milli = 3000
	// A plain service may take aimFactor times the route's aim, and at least minResponseTime,
	// to respond to a request that may be repeated.
	aimFactor                   = 2
	minResponseTime clock.Milli = 150
	// probeDelay is the time from the expected response to the first probe of an engine that
	// does not respond, and probeInterval the time between two probes.
	probeDelay    clock.Milli = 300
	probeInterval clock.Milli = 600
)

// limits bound one period without a response, both counted from its start.
type limits struct {
	// probe is the time of the first probe, repeated every probeInterval; zero for no probes.
	probe clock.Milli
	// timeout is when the send fails regardless of the probes.
	timeout clock.Milli
}

// firstByteLimits returns the limits for the first byte of a response. A request that must not
// run twice cannot be retried, so it waits until its deadline.
func (x *request) firstByteLimits(grant span.Grant) limits {
	switch {
	case x.route.Repeat == route.Once:
		return limits{timeout: x.timeLeft() + clock.Second}
	case x.route.Stream:
		return limits{probe: grant.First + probeDelay, timeout: firstByteFactor*grant.First + firstByteSlack}
	default:
		return limits{timeout: max(aimFactor*x.route.Aim, minResponseTime)}
	}
}

// pauseLimits returns the limits for a pause within a response.
func (x *request) pauseLimits() limits {
	return limits{probe: x.route.Gap + probeDelay, timeout: min(max(clock.Milli(pauseShare*float64(x.route.Patience)), minPause), maxPause)}
}

// watchdog ends a send whose upstream does not respond. The connection to an engine that lost power is
// never closed, and an engine that is merely busy does not respond either. So the upstream is probed
// with a new connection, and the send is given up early only if the upstream does not accept it.
type watchdog struct {
	gate    *Gate
	address string
	giveUp  func()
	// viaCarrier reports whether the send goes through another VM.
	viaCarrier func() bool

	mu      sync.Mutex
	probe   *time.Timer
	timeout *time.Timer
	ended   bool
}

// newWatchdog returns a running watchdog; l bounds the wait for the first byte.
func (x *request) newWatchdog(address string, l limits, giveUp func()) *watchdog {
	w := &watchdog{gate: x.gate, address: address, giveUp: giveUp, viaCarrier: func() bool { return x.carrier.Load() != nil }}
	w.timeout = time.AfterFunc(l.timeout.Duration(), giveUp)
	if l.probe > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.probe = time.AfterFunc(l.probe.Duration(), w.check)
	}
	return w
}

// reset restarts the timers after a part of the response has arrived.
func (w *watchdog) reset(l limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.timeout.Reset(l.timeout.Duration())
	if w.probe != nil {
		w.probe.Reset(l.probe.Duration())
	}
}

// check probes the upstream, and gives up the send if the upstream is unreachable or the path to it carries nothing.
func (w *watchdog) check() {
	defer guard.ReportPanic(w.gate.Log, "probe of an upstream that does not respond")
	if w.deadTwice() {
		w.gate.Log.Warn().Str(logline.Key, logline.Unresponsive).Str("address", w.address).Msg("upstream does not respond and accepts no connection; send given up")
		w.giveUp()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.probe.Reset(probeInterval.Duration())
	}
}

// deadTwice reports whether two probes in a row show that the send will get no response: in a single one, a packet may
// be lost.
func (w *watchdog) deadTwice() bool {
	for range 2 {
		if !w.dead() {
			return false
		}
	}
	return true
}

// dead reports whether one probe shows that the send will get no response.
func (w *watchdog) dead() bool {
	state, _ := w.gate.probe(w.address, probeTimeout) // the state tells all that counts here
	return state == unreachable || state == detoured && !w.viaCarrier()
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timeout.Stop()
	if w.probe != nil {
		w.probe.Stop()
	}
}

// drainLimit and drainTime bound the remainder of a response, in bytes and time, that is read for its connection to be reused.
const (
	drainLimit = 4 << 10
	drainTime  = 50 * time.Millisecond
)

// drain reads the remainder of a short response, so that its connection can be reused. It gives the send up if the
// remainder does not end soon: the client waits meanwhile.
func (w *watchdog) drain(r io.Reader) {
	t := time.AfterFunc(drainTime, w.giveUp)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(r, drainLimit))
}

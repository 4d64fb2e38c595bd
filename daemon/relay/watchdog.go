package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Patience with silent upstreams.
const (
	// firstFactor times the expected time, and firstSlack more, is how long the
	// first byte of a stream may take from an engine that still takes connections:
	// engines need 1.5 s to notice that a helper is gone, and say so.
	firstFactor             = 2
	firstSlack  clock.Milli = 1800
	// silenceShare of its caller's patience, within silenceLeast and silenceMost, is how
	// long a stream may pause whose engine takes connections: a pass with a long read
	// takes a second now and then, and a stream that is cut for it may find no other
	// engine. What is left of the patience is for the engine that continues.
	silenceShare             = 0.75
	silenceLeast clock.Milli = 1000
	silenceMost  clock.Milli = 3000
	// aimFactor times its aim, and patienceLeast at least, is how long a plain
	// service may take to answer what may be repeated.
	aimFactor                 = 2
	patienceLeast clock.Milli = 150
	// probeAfter is how long after the expected time the first probe of a silent
	// engine comes, and probeEvery the time between two.
	probeAfter clock.Milli = 300
	probeEvery clock.Milli = 600
	// deathWait bounds a probe: whether a new connection is taken.
	deathWait = 150 * time.Millisecond
)

// limits are the times of one silence.
type limits struct {
	// probe is when the upstream is probed, and again every probeEvery; zero for never.
	probe clock.Milli
	// most is when the silence is taken for a failure whatever the probes say.
	most clock.Milli
}

// firstLimits bound the wait for the first byte of an answer. A request that must not
// run twice has nowhere to go, so it waits.
func (x *flight) firstLimits(grant span.Grant) limits {
	switch {
	case x.route.Repeat == route.Once:
		return limits{most: x.left() + clock.Second}
	case x.route.Stream:
		return limits{probe: grant.First + probeAfter, most: firstFactor*grant.First + firstSlack}
	default:
		return limits{most: max(aimFactor*x.route.Aim, patienceLeast)}
	}
}

// nextLimits bound a pause within an answer.
func (x *flight) nextLimits() limits {
	return limits{probe: x.route.Gap + probeAfter, most: min(max(clock.Milli(silenceShare*float64(x.route.Patience)), silenceLeast), silenceMost)}
}

// watchdog ends a send whose upstream is silent.
// Nothing closes the connection of an engine that lost power, and one that is merely busy is silent as well. So a silent one is probed by a new
// connection, and only one that takes none is given up early.
type watchdog struct {
	gate    *Gate
	address string
	giveUp  func()

	mu    sync.Mutex
	probe *time.Timer
	most  *time.Timer
	ended bool
}

// newWatchdog starts with the wait for the first byte.
func newWatchdog(g *Gate, address string, l limits, giveUp func()) *watchdog {
	w := &watchdog{gate: g, address: address, giveUp: giveUp}
	w.most = time.AfterFunc(l.most.Duration(), giveUp)
	if l.probe > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.probe = time.AfterFunc(l.probe.Duration(), w.check)
	}
	return w
}

// touch starts the next silence.
func (w *watchdog) touch(l limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.most.Reset(l.most.Duration())
	if w.probe != nil {
		w.probe.Reset(l.probe.Duration())
	}
}

// gone reports whether two probes in a row fail: a single packet may be lost.
func (g *Gate) gone(address string) bool {
	for range 2 {
		if !g.died(address) {
			return false
		}
	}
	return true
}

// check probes the upstream.
func (w *watchdog) check() {
	defer guard.ReportPanic(w.gate.Log, "probe of a silent upstream")
	if w.gate.gone(w.address) {
		w.gate.Log.Warn().Str(logline.Key, logline.Silent).Str("address", w.address).Msg("a silent upstream takes no connection")
		w.giveUp()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.probe.Reset(probeEvery.Duration())
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.most.Stop()
	if w.probe != nil {
		w.probe.Stop()
	}
}

// died finds out whether an upstream is gone: a new connection is refused or not
// answered, while one that merely cut an answer takes it.
func (g *Gate) died(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deathWait)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

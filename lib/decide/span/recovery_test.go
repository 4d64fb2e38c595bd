package span

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
)

// lossCase is a loss at the peak of a wave of requests, in shares of what the engines serve. Its
// clients return within half a second of the end of the outage.
type lossCase struct {
	enabled, ownerOnly, silent, resumed bool
	engines                             int
	peak                                float64
	outage                              clock.Milli
}

// lossClient is a client with its present request.
type lossClient struct {
	arrived clock.Milli
	// begun is set from the first byte on, served once the response is complete.
	begun, inTime, served bool
}

// loss plays a loss. Engines generate output for gone clients, their reports have the age of
// engine.Lag, and they reject requests without a free slot.
type loss struct {
	lossCase
	*flood
	random  *rand.Rand
	clients []*lossClient
	senders map[decide.RequestID]*lossClient
	live    map[decide.RequestID]LiveGrant
	// runs are the times from which and until which requests run on the engines.
	runs               map[decide.UpstreamID][][2]clock.Milli
	down               bool
	pollsDone          clock.Milli
	refusals, rejected int
	returning          int
}

const (
	lossLikely         decide.Tokens = 1600
	riseTime, lastsFor               = 4 * clock.Second, 7 * clock.Second
)

// playLoss plays the rising wave, the loss, and five seconds after the outage. It returns the play and
// the time at which the outage ended.
func playLoss(t *testing.T, c lossCase) (l *loss, up clock.Milli) {
	t.Helper()
	l = &loss{
		lossCase: c, flood: newFlood(t, c.engines), random: rand.New(rand.NewPCG(1, 2)), senders: map[decide.RequestID]*lossClient{},
		live: map[decide.RequestID]LiveGrant{}, runs: map[decide.UpstreamID][][2]clock.Milli{},
	}
	capacity := float64(c.engines*engine.Slots) / (engine.DecodeTime(lossLikely, 5000) + 170)
	for at := now; at < now+lastsFor+c.outage+5000; at++ {
		for rate := capacity * c.peak * min(1, 0.4+0.6*float64(at-now)/float64(riseTime)); rate > 0; rate-- {
			if l.random.Float64() < rate {
				l.later(at, func() { l.arrive() })
			}
		}
	}
	l.playUntil(now + lastsFor)
	l.down = true
	if !c.ownerOnly {
		clear(l.live)
	}
	l.playUntil(l.at + c.outage)
	l.takeOver()
	up = l.at
	l.playUntil(up + 5000)
	return l, up
}

// takeOver replaces the pool by that of a new owner.
func (l *loss) takeOver() {
	l.testPool, l.down = &testPool{t: l.t, Pool: newTestPool(l.t, l.engines).Pool, asked: l.asked}, false
	l.SetRecovery(l.enabled)
	l.MarkUnverified()
	if l.ownerOnly {
		l.RequestReports()
		var live []LiveGrant
		for _, g := range l.live {
			live = append(live, g)
		}
		l.Present(l.at, "g", live)
	}
	for _, c := range l.clients {
		if c.served || l.ownerOnly && c.begun {
			continue
		}
		l.returning++
		l.later(l.at+clock.Milli(l.random.IntN(500)), func() { l.send(c) })
	}
}

func (l *loss) arrive() {
	c := &lossClient{arrived: l.at}
	l.clients = append(l.clients, c)
	if !l.down {
		l.send(c)
	}
}

// send sends a new request of a client, which waits for two seconds.
func (l *loss) send(c *lossClient) {
	deadline := c.arrived + 10_000
	if deadline <= l.at || l.down {
		return
	}
	a := l.shortAsk(l.at)
	a.Aim, a.Patience, a.Deadline, a.Likely, a.Begun = c.arrived+300, min(l.at+2000, deadline), deadline, lossLikely, c.begun && l.resumed
	l.senders[a.ID] = c
	l.Ask(l.at, a)
}

func (l *loss) playUntil(end clock.Milli) {
	for ; l.at < end; l.at++ {
		for _, e := range l.events[l.at] {
			e()
		}
		if l.down || l.at%10 != 0 {
			continue
		}
		for _, w := range l.queue {
			w.askedAt = l.at
		}
		for _, g := range l.grants {
			g.namedAt = l.at
		}
		l.poll()
		for _, d := range l.Tick(l.at) {
			l.carryOut(d, l.senders[d.Request])
		}
	}
}

// poll polls engines as owners do: 16 at a time, in rounds. A silent one costs a timeout.
func (l *loss) poll() {
	if l.at < l.pollsDone {
		return
	}
	took := clock.Milli(5)
	if l.silent {
		took = 150
	}
	for i, id := range l.TakeDuePolls(l.at, "owner", 128) {
		pool := l.Pool
		l.pollsDone = l.at + took*clock.Milli(1+i/16)
		l.later(l.pollsDone, func() {
			if l.silent {
				pool.AssumeVerified(id)
				return
			}
			n := l.running(id, l.at-engine.Lag)
			pool.Report(l.at, id, exchange.Load{Requests: n, Used: decide.Tokens(n) * 6600})
		})
	}
}

// running returns how many requests run on an engine at an instant.
func (l *loss) running(id decide.UpstreamID, at clock.Milli) int {
	n := 0
	for _, r := range l.runs[id] {
		if r[0] <= at && at < r[1] {
			n++
		}
	}
	return n
}

func (l *loss) carryOut(d Decision, c *lossClient) {
	id, pool := d.Grant.Leader.Upstream, l.Pool
	switch {
	case d.Action == Refused:
		require.False(l.t, c.begun && l.resumed, "a request that has begun is refused for %s", d.Reason)
		l.refusals++
		if d.Retry <= (c.arrived+10_000-l.at)/3 {
			l.later(l.at+d.Retry, func() { l.send(c) })
		}
		return
	case l.running(id, l.at) >= engine.Slots:
		l.rejected++
		l.later(l.at+5, func() { pool.End(l.at, d.Request, Full, ""); l.send(c) })
		return
	}
	first := l.at + max(d.Grant.First, 1)
	end := first + clock.Milli(engine.DecodeTime(lossLikely, 5000)*(0.5+l.random.Float64()))
	l.runs[id] = append(l.runs[id], [2]clock.Milli{l.at, end})
	l.live[d.Request] = LiveGrant{Grant: d.Grant}
	l.later(first, func() {
		if _, live := l.live[d.Request]; live {
			l.live[d.Request] = LiveGrant{Grant: d.Grant, Writing: true}
			l.First(l.at, d.Request)
			c.inTime = c.inTime || !c.begun && l.at <= c.arrived+300
			c.begun = true
		}
	})
	l.later(end, func() {
		if _, live := l.live[d.Request]; live {
			delete(l.live, d.Request)
			l.End(l.at, d.Request, Done, "")
			c.served = true
		}
	})
}

// inTimeShare returns the share in time of the clients that first came in an interval.
func (l *loss) inTimeShare(from, to clock.Milli) float64 {
	n, inTime := 0, 0
	for _, c := range l.clients {
		if c.arrived < from || c.arrived >= to {
			continue
		}
		n++
		if c.inTime {
			inTime++
		}
	}
	return float64(inTime) / float64(max(n, 1))
}

// After a loss, returned clients that are late already took all slots, and new requests were late for
// up to three seconds. Engines whose load is not known got nothing until their polls timed out. The
// log shows the same without the setting.
func TestServiceInTimeReturnsAfterLoss(t *testing.T) {
	for name, c := range map[string]lossCase{
		"all VMs":                {engines: 64, peak: 0.9, outage: 500},
		"all VMs, few engines":   {engines: 16, peak: 0.9, outage: 500},
		"all VMs, longer":        {engines: 64, peak: 0.9, outage: 1500},
		"all VMs, no reports":    {engines: 200, peak: 0.9, outage: 500, silent: true},
		"all VMs, begun streams": {engines: 64, peak: 0.7, outage: 500, resumed: true},
		"owner":                  {engines: 64, peak: 0.9, outage: 100, ownerOnly: true},
		"owner, no reports":      {engines: 64, peak: 0.9, outage: 100, ownerOnly: true, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, c.enabled = range []bool{false, true} {
				l, up := playLoss(t, c)
				before := l.inTimeShare(now+lastsFor-2000, now+lastsFor-500)
				var shares []float64
				for from := up; from < up+4500; from += 500 {
					shares = append(shares, l.inTimeShare(from, from+500))
				}
				t.Logf("enabled %t: in time %.2f before, by half seconds after %.2f; %d clients return, %d refusals, %d rejected by engines",
					c.enabled, before, shares, l.returning, l.refusals, l.rejected)
				require.True(t, !c.enabled || slices.Min(shares[4:]) >= 0.95*before)
			}
		})
	}
}

// At low load there are slots for all, so that none may be held back or refused.
func TestRecoveryAtLowLoadChangesNothing(t *testing.T) {
	l, up := playLoss(t, lossCase{enabled: true, engines: 32, peak: 0.3, outage: 500})
	require.Zero(t, l.refusals)
	require.InDelta(t, 1, l.inTimeShare(up, up+4500), 0)
	status, enabled := l.Recovery(l.at)
	require.True(t, enabled)
	require.False(t, status.Active)
	require.Positive(t, status.Counts.Placed)
	require.Zero(t, status.Counts.Refused)
}

// A planned change of owner loses nothing, and a part that is off must not change any decision.
func TestRecoveryBeginsOnlyAfterLoss(t *testing.T) {
	b := newTestPool(t, 4)
	b.SetRecovery(true)
	begins := func() bool {
		b.Ask(now, b.shortAsk(now))
		status, _ := b.Recovery(now)
		return status.Active
	}
	require.False(t, begins())
	b.MarkUnverified()
	b.Restore(now, b.Snapshot(now))
	require.False(t, begins(), "there is a snapshot")
	b.MarkUnverified()
	require.True(t, begins())
	b.SetRecovery(false)
	require.False(t, begins())
	b.SetRecovery(true)
	for _, r := range b.upstreams {
		r.unverified = false
	}
	b.queue = map[decide.RequestID]*queuedRequest{}
	var live []decide.RequestID
	for range 20 {
		live = append(live, b.mustStream(b.shortAsk(now)).Request)
	}
	for i, id := range live {
		require.Equal(t, i > 10, begins(), "after %d of 20 grants have ended", i)
		b.End(now, id, Silent, "")
	}
	for seed := range uint64(3) {
		never, off := newTestPool(t, 3), newTestPool(t, 3)
		off.SetRecovery(true)
		off.SetRecovery(false)
		off.expectRecovery(true)
		require.Equal(t, never.randomLoad(seed), off.randomLoad(seed))
		require.Equal(t, recoveryState{}, off.recovery)
	}
}

// Late requests are limited from the first one on, before the demand is known, and `snipeshift where` must not
// say that engines with free slots have no room.
func TestHeldBackRequestIsExplained(t *testing.T) {
	b := newTestPool(t, 4)
	b.SetRecovery(true)
	b.MarkUnverified()
	for range 40 {
		a := b.shortAsk(now)
		a.Aim = now - 100
		b.Ask(now, a)
	}
	require.Len(t, b.Tick(now), 3)
	e, ok := b.Copy().ExplainQueued(now, b.QueuedIDs(now, 1)[0])
	require.True(t, ok)
	require.Equal(t, LateLimited, e.Reason)
}

package span

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// learnLimit records a rate limit that an upstream declares.
func (b *testPool) learnLimit(at clock.Milli, u decide.UpstreamID, rate statement.PerSecond) {
	b.Learn(at, u, statement.Statement{Named: true, Rate: rate, At: at})
}

// runShort asks for one short request per interval, ends each at once, and returns how many
// requests each upstream led.
func (b *testPool) runShort(from, to, every clock.Milli) map[decide.UpstreamID]int {
	led := map[decide.UpstreamID]int{}
	for at := from; at < to; at += every {
		b.Ask(at, b.shortAsk(at))
		for _, d := range b.Tick(at) {
			if d.Action == Granted {
				led[d.Grant.Leader.Upstream]++
				b.First(at, d.Request)
				b.End(at, d.Request, Done, "")
			}
		}
	}
	return led
}

// Short requests are packed on the first engine, which declares a limit far below their rate. The
// other engines must take the remainder at once.
func TestDeclaredLimitIsKept(t *testing.T) {
	b := newTestPool(t, 4)
	require.Equal(t, 100, b.runShort(now, now+10*clock.Second, 100)["e00"])
	b.learnLimit(now+10*clock.Second, "e00", 2)
	led := b.runShort(now+10*clock.Second, now+20*clock.Second, 100)
	require.InDelta(t, 20, led["e00"], 1)
	require.Equal(t, 100, led["e00"]+led["e01"])
}

// Parts of prompts count as requests, and so do orders that reserve memory. An engine that declares
// a limit computes parts within the limit and reserves no memory for others.
func TestPartsCountTowardLimit(t *testing.T) {
	b := newTestPool(t, 4)
	for _, u := range []decide.UpstreamID{"e00", "e01", "e02"} {
		b.learnLimit(now, u, 2)
	}
	at := now + 500
	require.Len(t, b.mustGrant(at, b.longAsk(at, 200_000)).Helpers, 3)
	_, decided := b.ask(at+100, b.longAsk(at+100, 200_000))
	require.False(t, decided, "three of four engines have used up their limits")
	for at += clock.Second; at < now+3*clock.Second; at += 10 {
		for _, d := range b.Tick(at) {
			require.Equal(t, Granted, d.Action)
			b.End(at, d.Request, Done, "")
		}
	}
	for _, id := range []decide.UpstreamID{"e00", "e01", "e02"} {
		b.Learn(at, id, statement.Statement{Named: true, Rate: 2, At: at})
	}
	_, decided = b.ask(at, b.longAsk(at, 600_000))
	require.False(t, decided, "the prompt needs memory on other engines, and limited ones reserve none")
}

// Few requests arrive, and all go to the first engine. The limits of the other engines have ended,
// but no answer of theirs shows that. Without a probe, long prompts, which need these engines,
// would be refused until something else is sent there.
func TestStaleLimitIsProbed(t *testing.T) {
	b := newTestPool(t, 4)
	b.learnLimit(now, "e02", 1)
	led := b.runShort(now, now+10*clock.Second, 500)
	require.InDelta(t, 4, led["e02"], 1, "no answer has confirmed that the limit ended")
	g := b.mustGrant(now+12*clock.Second, b.shortAsk(now+12*clock.Second))
	require.EqualValues(t, "e02", g.Leader.Upstream)
	b.Learn(now+12*clock.Second, "e02", statement.Statement{At: now + 12*clock.Second})
	require.Zero(t, b.runShort(now+13*clock.Second, now+20*clock.Second, 500)["e02"])
}

// All upstreams of a service declare limits, and more requests arrive than these admit. A request
// that will not be served is refused at once, with the time after which the limits admit it, not at
// its deadline.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	b := &testPool{t: t, Pool: New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))}
	b.SetUpstreams(now, &route.Service{ID: "s"}, []route.Upstream{{ID: "a", Service: "s", Slots: 6}, {ID: "b", Service: "s", Slots: 6}})
	b.learnLimit(now, "a", 1)
	b.learnLimit(now, "b", 1)
	at := now + 5*clock.Second
	granted, waiting := 0, 0
	var refused []Decision
	for i := range 10 {
		a := Ask{ID: decide.RequestID(rune('a' + i)), Gate: "g", Aim: at + 100, Deadline: at + 1500}
		d, decided := b.ask(at, a)
		switch {
		case !decided:
			waiting++
		case d.Action == Granted:
			granted++
		default:
			refused = append(refused, d)
		}
	}
	require.Equal(t, 2, granted)
	require.InDelta(t, 2, waiting, 1, "the limits admit two more within 1.5 s")
	require.NotEmpty(t, refused)
	for _, d := range refused {
		require.Equal(t, fault.Overloaded, d.Fault)
		require.Equal(t, "limit", d.Reason)
		require.GreaterOrEqual(t, d.Retry, clock.Second)
	}
}

// When a rate limit admits one more request, an urgent request is granted before a less urgent one.
func TestUrgentRequestGoesFirstUnderLimit(t *testing.T) {
	b := newTestPool(t, 1)
	b.learnLimit(now, "e00", 1)
	later, urgent := b.shortAsk(now), b.shortAsk(now)
	later.Urgency, urgent.Urgency = 3, 0
	b.Ask(now, later)
	b.Ask(now, urgent)
	require.Empty(t, b.Tick(now+500))
	ds := b.Tick(now + clock.Second)
	require.Len(t, ds, 1)
	require.Equal(t, urgent.ID, ds[0].Request)
}

// A limit stays known while the upstream is missing from the list for a moment, and ends when the
// next incarnation of the upstream starts.
func TestLimitLastsForItsIncarnation(t *testing.T) {
	b := newTestPool(t, 2)
	b.learnLimit(now, "e00", 1)
	b.serve(0)
	b.serve(2)
	require.InDelta(t, 2, b.runShort(now, now+2*clock.Second, 100)["e00"], 1)
	b.serveIncarnation(7)
	require.True(t, b.Learn(now+2*clock.Second, "e00", statement.Statement{Named: true, Rate: 3, Born: 7, At: now + 2*clock.Second}))
	b.serveIncarnation(8)
	require.Greater(t, b.runShort(now+3*clock.Second, now+5*clock.Second, 100)["e00"], 10)
	require.False(t, b.Learn(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 7, At: now + 5*clock.Second}))
	b.Learn(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 9, At: now + 5*clock.Second})
	b.serveIncarnation(9)
	require.InDelta(t, 2, b.runShort(now+5*clock.Second, now+7*clock.Second, 100)["e00"], 1, "the limit was declared before the list showed the new incarnation")
}

// The owner of a service stops gracefully just after it has granted all requests that the limit
// allows. Its successor must not grant as many again.
func TestSuccessorKeepsToLimit(t *testing.T) {
	b, next := newTestPool(t, 2), newTestPool(t, 2)
	b.learnLimit(now, "e00", 8)
	b.runShort(now, now+clock.Second, 20)
	next.Restore(now+clock.Second, b.Snapshot(now+clock.Second))
	require.LessOrEqual(t, next.runShort(now+clock.Second, now+clock.Second+100, 10)["e00"], 1)
	require.InDelta(t, 16, next.runShort(now+1100, now+3100, 20)["e00"], 2)
}

// An engine whose load is unverified is polled repeatedly, and may count the polls as requests.
func TestLimitedEngineIsPolledRarely(t *testing.T) {
	b := newTestPool(t, 2)
	b.learnLimit(now, "e00", 1)
	b.MarkUnverified()
	polls := map[decide.UpstreamID]int{}
	for at := now + clock.Second; at < now+5*clock.Second; at += 100 {
		for _, id := range b.TakeDuePolls(at, "owner", math.MaxInt) {
			polls[id]++
		}
	}
	require.Equal(t, map[decide.UpstreamID]int{"e00": 4, "e01": 14}, polls)
}

// learnBackOff records that an upstream asks a gate for a back-off.
func (b *testPool) learnBackOff(at clock.Milli, u decide.UpstreamID, g decide.GateID, span clock.Milli) {
	b.Learn(at, u, statement.Statement{Kind: statement.BackOff, Named: true, Gate: g, At: at, Until: at + span})
}

// learnLeaving records that an upstream declares to a gate that it is leaving.
func (b *testPool) learnLeaving(u decide.UpstreamID, g decide.GateID) {
	b.Learn(now, u, statement.Statement{Kind: statement.Leaving, Named: true, Gate: g, At: now})
}

// shortAskFrom returns a short request of a gate.
func (b *testPool) shortAskFrom(at clock.Milli, g decide.GateID) Ask {
	a := b.shortAsk(at)
	a.Gate = g
	return a
}

// An engine rejects a request of a gate and asks the gate for a back-off. The engine must get no
// requests from that gate until the back-off ends.
func TestBackOffExcludesGate(t *testing.T) {
	b := newTestPool(t, 1)
	b.learnBackOff(now, "e00", "g", 3*clock.Second)
	for at := now; at < now+3*clock.Second; at += 100 {
		_, decided := b.ask(at, b.shortAskFrom(at, "g"))
		require.False(t, decided, "decided %v after the back-off began", at-now)
	}
	ds := b.Tick(now + 3*clock.Second + 1)
	require.NotEmpty(t, ds)
	require.Equal(t, Granted, ds[0].Action)
}

// Many requests wait for the end of a back-off. All at once they would overload the engine again,
// so one is sent first.
func TestOneProbeAfterBackOff(t *testing.T) {
	b := newTestPool(t, 1)
	b.learnBackOff(now, "e00", "g", clock.Second)
	at := now + clock.Second
	for range 5 {
		b.Ask(at, b.shortAskFrom(at, "g"))
	}
	first := b.Tick(at)
	require.Len(t, first, 1)
	require.Empty(t, b.Tick(at+50))
	b.First(at+100, first[0].Request)
	require.Greater(t, len(b.Tick(at+100)), 1)
}

// The engine rejected one gate because of the load from that gate, and serves the others. These
// must not lose the engine for the whole back-off.
func TestOtherGatesProbeAfterBackOffOfOne(t *testing.T) {
	b := newTestPool(t, 1)
	b.learnBackOff(now, "e00", "g", 10*clock.Second)
	_, decided := b.ask(now+firstExclusion/2, b.shortAskFrom(now+firstExclusion/2, "h"))
	require.False(t, decided, "an engine that asks for a back-off is excluded for all gates at first")
	at := now + firstExclusion
	ds := b.Tick(at)
	require.Len(t, ds, 1)
	b.First(at+10, ds[0].Request)
	b.mustGrant(at+20, b.shortAskFrom(at+20, "h"))
	_, decided = b.ask(at+20, b.shortAskFrom(at+20, "g"))
	require.False(t, decided)
}

// The engine remains overloaded by one gate, which tries it at the end of each back-off. The other
// gates must not lose the engine each time.
func TestBackOffOfOneGateDoesNotBindOthers(t *testing.T) {
	b := newTestPool(t, 1)
	lost, asked := 0, 0
	for at := now; at < now+10*clock.Second; at += 50 {
		g := []decide.GateID{"g", "h", "i"}[int(at/50)%3]
		a := b.shortAskFrom(at, g)
		b.Ask(at, a)
		asked++
		for _, d := range b.Tick(at) {
			if d.Gate == "g" {
				b.learnBackOff(at, "e00", "g", clock.Second)
				b.End(at, d.Request, Full, "")
				continue
			}
			b.End(at, d.Request, Done, "")
		}
		if g != "g" && b.queue[a.ID] != nil {
			lost++
		}
	}
	require.Less(t, lost, asked/15, "other gates may lose the first half second of ten")
}

// One engine rejects the requests of all gates. Each probe costs its request a round trip, so the
// probes must become less and less frequent.
func TestSheddingEngineIsProbedLessOften(t *testing.T) {
	b := newTestPool(t, 2)
	tries := 0
	for at := now; at < now+9*clock.Second; at += 20 {
		a := b.shortAskFrom(at, decide.GateID(rune('a'+int(at/20)%9)))
		b.Ask(at, a)
		for _, d := range b.Tick(at) {
			if d.Grant.Leader.Upstream == "e00" {
				tries++
				b.learnBackOff(at, "e00", d.Gate, 3*clock.Second)
				b.End(at, d.Request, Full, "")
				continue
			}
			b.End(at, d.Request, Done, "")
		}
	}
	require.LessOrEqual(t, tries, 5)
	require.GreaterOrEqual(t, tries, 3)
}

// Every engine asked this gate for a back-off that outlasts the client's patience. The request is
// refused at once, not when the client disconnects.
func TestBackOffBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	b := newTestPool(t, 2)
	b.learnBackOff(now, "e00", "g", 30*clock.Second)
	b.learnBackOff(now, "e01", "g", 20*clock.Second)
	d, decided := b.ask(now+10, b.shortAskFrom(now+10, "g"))
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	require.Equal(t, "rest", d.Reason)
	require.LessOrEqual(t, d.Retry, firstExclusion, "another gate may send sooner")
}

// Every engine has declared that it is leaving, so no queued request will be served.
func TestRequestIsRefusedWhenAllEnginesLeave(t *testing.T) {
	b := newTestPool(t, 2)
	b.learnLeaving("e00", "g")
	b.learnLeaving("e01", "h")
	d, decided := b.ask(now+10, b.shortAsk(now+10))
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	require.Equal(t, "leaving", d.Reason)
}

// The store is unavailable, or restored from an older copy, and lists an engine as ready that has
// declared that it is leaving. The engine must get no requests.
func TestUpstreamListDoesNotRevokeLeaving(t *testing.T) {
	b := newTestPool(t, 0)
	us := []route.Upstream{{ID: "e00", Service: "s", Slots: engine.Slots, Born: 5}, {ID: "e01", Service: "s", Slots: engine.Slots, Born: 5}}
	s := &route.Service{ID: "s", Engine: &engine}
	b.SetUpstreams(now, s, us)
	b.Learn(now, "e00", statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", Born: 5, At: now})
	b.SetUpstreams(now, s, us[1:])
	b.SetUpstreams(now, s, us)
	require.Zero(t, b.runShort(now+clock.Second, now+3*clock.Second, 50)["e00"])
	us[0].Born = 6
	b.SetUpstreams(now, s, us)
	require.NotZero(t, b.runShort(now+4*clock.Second, now+5*clock.Second, 50)["e00"], "a later incarnation has not declared that it is leaving")
}

// An engine leaves, and its next incarnation appears under the same ID after the list has lacked
// the engine. Statements of the earlier incarnation must not apply to it.
func TestIncarnationAfterAbsenceStartsFresh(t *testing.T) {
	b := newTestPool(t, 0)
	s := &route.Service{ID: "s", Engine: &engine}
	list := func(born decide.Incarnation) []route.Upstream {
		return []route.Upstream{{ID: "e00", Service: "s", Slots: engine.Slots, Born: born}}
	}
	b.SetUpstreams(now, s, list(5))
	b.Learn(now, "e00", statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", Born: 5, At: now})
	b.learnBackOff(now, "e00", "g", clock.Minute)
	b.SetUpstreams(now, s, nil)
	b.SetUpstreams(now, s, list(6))
	d, _ := b.ask(now+clock.Second, b.shortAsk(now+clock.Second))
	require.Equal(t, "rest", d.Reason, "a back-off without a start time may belong to the new incarnation")
	b.upstreams["e00"].declared.backOffs = nil
	b.mustGrant(now+2*clock.Second, b.shortAsk(now+2*clock.Second))
}

// A late request of a gate that must not use the engine can't be placed. A request of another gate,
// which may use the engine, must be tried nevertheless.
func TestUnplacedLateRequestDoesNotAffectOtherGates(t *testing.T) {
	b := newTestPool(t, 1)
	b.learnBackOff(now, "e00", "g", clock.Minute)
	at := now + firstExclusion
	for _, g := range []decide.GateID{"g", "h"} {
		a := b.shortAskFrom(at, g)
		a.Aim = at - 1
		b.Ask(at, a)
	}
	ds := b.Tick(at)
	require.Len(t, ds, 2)
	require.Equal(t, Refused, ds[0].Action)
	require.Equal(t, Granted, ds[1].Action)
}

// An owner hands over gracefully while engines are leaving or in a back-off. Without these
// statements its successor would place requests there at once.
func TestSnapshotCarriesLeavingAndBackOff(t *testing.T) {
	b, next := newTestPool(t, 3), newTestPool(t, 3)
	b.learnLeaving("e00", "g")
	b.learnBackOff(now, "e01", "g", 3*clock.Second)
	next.Restore(now+100, b.Snapshot(now+100))
	at := now + 200
	led := map[decide.UpstreamID]int{}
	for ; at < now+3*clock.Second; at += 50 {
		next.Ask(at, next.shortAskFrom(at, "g"))
		for _, d := range next.Tick(at) {
			led[d.Grant.Leader.Upstream]++
			next.End(at, d.Request, Done, "")
		}
	}
	require.Zero(t, led["e00"])
	require.Zero(t, led["e01"])
	require.NotZero(t, led["e02"])
}

// The owner polls engines whose load is unverified. An engine that asked the owner's VM for a
// back-off, or is leaving, must not be polled.
func TestBackOffAndLeavingStopPolls(t *testing.T) {
	b := newTestPool(t, 3)
	b.MarkUnverified()
	b.learnBackOff(now, "e00", "owner", clock.Second)
	b.learnLeaving("e01", "g")
	require.Equal(t, []decide.UpstreamID{"e02"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	_, decided := b.ask(now+firstExclusion, b.shortAskFrom(now+firstExclusion, "h"))
	require.True(t, decided, "other gates still use the engine")
}

// Messages carry the time that is left of a back-off, and each takes some time in transit. If each
// counted as a new back-off, the engine would be excluded longer and longer.
func TestTransitTimeIsNotANewBackOff(t *testing.T) {
	b := newTestPool(t, 1)
	s := statement.Statement{Kind: statement.BackOff, Named: true, Gate: "g", At: now, Until: now + clock.Second}
	require.True(t, b.Learn(now, "e00", s))
	require.False(t, b.Learn(now+5, "e00", s.Message(now, "e00").Statement(now+5)))
	s.Until += clock.Second
	require.True(t, b.Learn(now+10, "e00", s))
}

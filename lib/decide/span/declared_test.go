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

// limit has an upstream name a limit.
func (b *bench) limit(at clock.Milli, u decide.UpstreamID, rate statement.PerSecond) {
	b.Learn(at, u, statement.Statement{Named: true, Rate: rate, At: at})
}

// notes asks for short requests, one each this many milliseconds, and returns how many upstreams led. Each is over at once.
func (b *bench) notes(from, to, every clock.Milli) map[decide.UpstreamID]int {
	led := map[decide.UpstreamID]int{}
	for at := from; at < to; at += every {
		b.Ask(at, b.note(at))
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

// Short work is packed on the first engine of the order, which names a limit far below that. The others take the rest at once.
func TestAnEngineThatNamesALimitGetsNoMore(t *testing.T) {
	b := newBench(t, 4)
	require.Equal(t, 100, b.notes(now, now+10*clock.Second, 100)["e00"])
	b.limit(now+10*clock.Second, "e00", 2)
	led := b.notes(now+10*clock.Second, now+20*clock.Second, 100)
	require.InDelta(t, 20, led["e00"], 1)
	require.Equal(t, 100, led["e00"]+led["e01"])
}

// Parts of prompts count as requests, and orders that set memory aside do. An engine that names a limit reads parts within it, and holds no
// memory for others.
func TestAnEngineInNeedReadsPartsWithinItsLimit(t *testing.T) {
	b := newBench(t, 4)
	for _, u := range []decide.UpstreamID{"e00", "e01", "e02"} {
		b.limit(now, u, 2)
	}
	at := now + 500
	require.Len(t, b.granted(at, b.history(at, 200_000)).Helpers, 3)
	_, decided := b.ask(at+100, b.history(at+100, 200_000))
	require.False(t, decided, "three of four have had their share")
	for at += clock.Second; at < now+3*clock.Second; at += 10 {
		for _, d := range b.Tick(at) {
			require.Equal(t, Granted, d.Action)
			b.End(at, d.Request, Done, "")
		}
	}
	for _, id := range []decide.UpstreamID{"e00", "e01", "e02"} {
		b.Learn(at, id, statement.Statement{Named: true, Rate: 2, At: at})
	}
	_, decided = b.ask(at, b.history(at, 600_000))
	require.False(t, decided, "it needs memory of others")
}

// Little is asked for, and that goes to the first engine. The other ones' limits are over, but no answer of theirs says so: long prompts, which
// need them, were refused as long as nothing else was sent there.
func TestAnOldLimitIsAskedAfter(t *testing.T) {
	b := newBench(t, 4)
	b.limit(now, "e02", 1)
	led := b.notes(now, now+10*clock.Second, 500)
	require.InDelta(t, 4, led["e02"], 1, "nobody answered")
	g := b.granted(now+12*clock.Second, b.note(now+12*clock.Second))
	require.EqualValues(t, "e02", g.Leader.Upstream)
	b.Learn(now+12*clock.Second, "e02", statement.Statement{At: now + 12*clock.Second})
	require.Zero(t, b.notes(now+13*clock.Second, now+20*clock.Second, 500)["e02"])
}

// All upstreams of a service name limits, and more is asked than they take. Who won't be served is refused at once, with the time at
// which there is room, and not when its time is over.
func TestWhatLimitsWillNotServeIsRefusedAtOnce(t *testing.T) {
	b := &bench{t: t, Pool: New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))}
	b.SetUpstreams(&route.Service{ID: "s"}, []route.Upstream{{ID: "a", Service: "s", Slots: 6}, {ID: "b", Service: "s", Slots: 6}})
	b.limit(now, "a", 1)
	b.limit(now, "b", 1)
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
	require.InDelta(t, 2, waiting, 1, "so many come within 1.5 s")
	require.NotEmpty(t, refused)
	for _, d := range refused {
		require.Equal(t, fault.Overloaded, d.Fault)
		require.Equal(t, "limit", d.Reason)
		require.GreaterOrEqual(t, d.Retry, clock.Second)
	}
}

// What a limit leaves goes to the urgent first.
func TestTheUrgentGetsWhatALimitLeaves(t *testing.T) {
	b := newBench(t, 1)
	b.limit(now, "e00", 1)
	later, urgent := b.note(now), b.note(now)
	later.Urgency, urgent.Urgency = 3, 0
	b.Ask(now, later)
	b.Ask(now, urgent)
	require.Empty(t, b.Tick(now+500))
	ds := b.Tick(now + clock.Second)
	require.Len(t, ds, 1)
	require.Equal(t, urgent.ID, ds[0].Request)
}

// The list of upstreams lacks one for a moment, or an upstream's next life begins.
func TestALimitLastsAsLongAsItsLife(t *testing.T) {
	b := newBench(t, 2)
	b.limit(now, "e00", 1)
	b.serve(0)
	b.serve(2)
	require.InDelta(t, 2, b.notes(now, now+2*clock.Second, 100)["e00"], 1)
	b.lives(7)
	require.True(t, b.Learn(now+2*clock.Second, "e00", statement.Statement{Named: true, Rate: 3, Born: 7, At: now + 2*clock.Second}))
	b.lives(8)
	require.Greater(t, b.notes(now+3*clock.Second, now+5*clock.Second, 100)["e00"], 10)
	require.False(t, b.Learn(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 7, At: now + 5*clock.Second}))
	b.Learn(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 9, At: now + 5*clock.Second})
	b.lives(9)
	require.InDelta(t, 2, b.notes(now+5*clock.Second, now+7*clock.Second, 100)["e00"], 1, "its answer came before the list told of its life")
}

// The owner of a service stops as planned just after it gave out what the limit allows. Its successor must not give it out again.
func TestASuccessorGoesOnWithinTheLimit(t *testing.T) {
	b, next := newBench(t, 2), newBench(t, 2)
	b.limit(now, "e00", 8)
	b.notes(now, now+clock.Second, 20)
	next.Restore(now+clock.Second, b.Snapshot(now+clock.Second))
	require.LessOrEqual(t, next.notes(now+clock.Second, now+clock.Second+100, 10)["e00"], 1)
	require.InDelta(t, 16, next.notes(now+1100, now+3100, 20)["e00"], 2)
}

// An engine in doubt is asked for its load again and again; it may count that as requests.
func TestAnEngineThatNamesALimitIsPolledRarely(t *testing.T) {
	b := newBench(t, 2)
	b.limit(now, "e00", 1)
	b.MarkUnverified()
	polls := map[decide.UpstreamID]int{}
	for at := now + clock.Second; at < now+5*clock.Second; at += 100 {
		for _, id := range b.TakeDuePolls(at, "owner", math.MaxInt) {
			polls[id]++
		}
	}
	require.Equal(t, map[decide.UpstreamID]int{"e00": 4, "e01": 14}, polls)
}

// rest has an upstream ask a VM for rest.
func (b *bench) rest(at clock.Milli, u decide.UpstreamID, g decide.GateID, span clock.Milli) {
	b.Learn(at, u, statement.Statement{Kind: statement.BackOff, Named: true, Gate: g, At: at, Until: at + span})
}

// leave has an upstream say to a VM that it leaves.
func (b *bench) leave(u decide.UpstreamID, g decide.GateID) {
	b.Learn(now, u, statement.Statement{Kind: statement.Leaving, Named: true, Gate: g, At: now})
}

// by is a short request at one VM.
func (b *bench) by(at clock.Milli, g decide.GateID) Ask {
	a := b.note(at)
	a.Gate = g
	return a
}

// An engine turns one VM away and asks it for rest. Granted to that VM again, it gets what it had asked not to get.
func TestAVMThatWasAskedForRestIsGrantedNothingThere(t *testing.T) {
	b := newBench(t, 1)
	b.rest(now, "e00", "g", 3*clock.Second)
	for at := now; at < now+3*clock.Second; at += 100 {
		_, decided := b.ask(at, b.by(at, "g"))
		require.False(t, decided, "at %v", at-now)
	}
	ds := b.Tick(now + 3*clock.Second + 1)
	require.NotEmpty(t, ds)
	require.Equal(t, Granted, ds[0].Action)
}

// Many requests wait for the end of a rest. All at once they would put the engine in need again, so one goes first.
func TestAfterARestOneRequestGoesFirst(t *testing.T) {
	b := newBench(t, 1)
	b.rest(now, "e00", "g", clock.Second)
	at := now + clock.Second
	for range 5 {
		b.Ask(at, b.by(at, "g"))
	}
	first := b.Tick(at)
	require.Len(t, first, 1)
	require.Empty(t, b.Tick(at+50))
	b.First(at+100, first[0].Request)
	require.Greater(t, len(b.Tick(at+100)), 1)
}

// The engine turned away one VM for what that VM had sent. It serves the others, which must not lose it for the whole rest.
func TestOtherVMsTryAnEngineThatWantsRestOfOne(t *testing.T) {
	b := newBench(t, 1)
	b.rest(now, "e00", "g", 10*clock.Second)
	_, decided := b.ask(now+firstShut/2, b.by(now+firstShut/2, "h"))
	require.False(t, decided, "an engine in need of rest is left alone at first")
	at := now + firstShut
	ds := b.Tick(at)
	require.Len(t, ds, 1)
	b.First(at+10, ds[0].Request)
	b.granted(at+20, b.by(at+20, "h"))
	_, decided = b.ask(at+20, b.by(at+20, "g"))
	require.False(t, decided)
}

// The engine goes on to have too much of one VM, which tries it at the end of each rest. The others must not lose it each time.
func TestTheRestsOfOneVMAreNoRestsOfOthers(t *testing.T) {
	b := newBench(t, 1)
	lost, asked := 0, 0
	for at := now; at < now+10*clock.Second; at += 50 {
		g := []decide.GateID{"g", "h", "i"}[int(at/50)%3]
		a := b.by(at, g)
		b.Ask(at, a)
		asked++
		for _, d := range b.Tick(at) {
			if d.Gate == "g" {
				b.rest(at, "e00", "g", clock.Second)
				b.End(at, d.Request, Full, "")
				continue
			}
			b.End(at, d.Request, Done, "")
		}
		if g != "g" && b.queue[a.ID] != nil {
			lost++
		}
	}
	require.Less(t, lost, asked/15, "half a second at first, of ten")
}

// All VMs are turned away by the same engine. Each that tries it in its turn costs a caller a way, so they try more and more seldom.
func TestAnEngineThatShedsForAllIsTriedLessAndLess(t *testing.T) {
	b := newBench(t, 2)
	tries := 0
	for at := now; at < now+9*clock.Second; at += 20 {
		a := b.by(at, decide.GateID(rune('a'+int(at/20)%9)))
		b.Ask(at, a)
		for _, d := range b.Tick(at) {
			if d.Grant.Leader.Upstream == "e00" {
				tries++
				b.rest(at, "e00", d.Gate, 3*clock.Second)
				b.End(at, d.Request, Full, "")
				continue
			}
			b.End(at, d.Request, Done, "")
		}
	}
	require.LessOrEqual(t, tries, 5)
	require.GreaterOrEqual(t, tries, 3)
}

// Every engine wants a rest from this VM for longer than its caller waits. It is refused at once, and not when its time is over.
func TestWhatRestsWillNotServeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 2)
	b.rest(now, "e00", "g", 30*clock.Second)
	b.rest(now, "e01", "g", 20*clock.Second)
	d, decided := b.ask(now+10, b.by(now+10, "g"))
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	require.Equal(t, "rest", d.Reason)
	require.LessOrEqual(t, d.Retry, firstShut, "another VM may try sooner")
}

// Every engine has said that it leaves. Nothing that waits will be served.
func TestNothingWaitsForEnginesThatAllLeave(t *testing.T) {
	b := newBench(t, 2)
	b.leave("e00", "g")
	b.leave("e01", "h")
	d, decided := b.ask(now+10, b.note(now+10))
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	require.Equal(t, "leaving", d.Reason)
}

// The store is away or back from an older copy, and lists an engine as ready that has said that it leaves. Believed, it would get requests.
func TestNoListTakesTheWordOfALeavingBack(t *testing.T) {
	b := newBench(t, 0)
	us := []route.Upstream{{ID: "e00", Service: "s", Slots: engine.Slots, Born: 5}, {ID: "e01", Service: "s", Slots: engine.Slots, Born: 5}}
	s := &route.Service{ID: "s", Engine: &engine}
	b.SetUpstreams(s, us)
	b.Learn(now, "e00", statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", Born: 5, At: now})
	b.SetUpstreams(s, us[1:])
	b.SetUpstreams(s, us)
	require.Zero(t, b.notes(now+clock.Second, now+3*clock.Second, 50)["e00"])
	us[0].Born = 6
	b.SetUpstreams(s, us)
	require.NotZero(t, b.notes(now+4*clock.Second, now+5*clock.Second, 50)["e00"], "a later life is another upstream")
}

// An engine leaves, and its next life comes under its id after the list has lacked it. Nothing that the earlier one said is about it.
func TestALifeThatComesAfterAGapIsAnotherUpstream(t *testing.T) {
	b := newBench(t, 0)
	s := &route.Service{ID: "s", Engine: &engine}
	list := func(born decide.Incarnation) []route.Upstream {
		return []route.Upstream{{ID: "e00", Service: "s", Slots: engine.Slots, Born: born}}
	}
	b.SetUpstreams(s, list(5))
	b.Learn(now, "e00", statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", Born: 5, At: now})
	b.rest(now, "e00", "g", clock.Minute)
	b.SetUpstreams(s, nil)
	b.SetUpstreams(s, list(6))
	d, _ := b.ask(now+clock.Second, b.note(now+clock.Second))
	require.Equal(t, "rest", d.Reason, "a rest of an unknown life may be its own")
	b.rows["e00"].declared.rests = nil
	b.granted(now+2*clock.Second, b.note(now+2*clock.Second))
}

// A late request of a VM that must not use an engine finds no place. One of another VM, which may, must be tried all the same.
func TestALateRequestWithoutAPlaceSaysNothingOfOtherVMs(t *testing.T) {
	b := newBench(t, 1)
	b.rest(now, "e00", "g", clock.Minute)
	at := now + firstShut
	for _, g := range []decide.GateID{"g", "h"} {
		a := b.by(at, g)
		a.Aim = at - 1
		b.Ask(at, a)
	}
	ds := b.Tick(at)
	require.Len(t, ds, 2)
	require.Equal(t, Refused, ds[0].Action)
	require.Equal(t, Granted, ds[1].Action)
}

// The owner changes by plan while engines leave and rest. A successor that did not know of it would grant there at once.
func TestASuccessorKnowsWhoLeavesAndWhoRests(t *testing.T) {
	b, next := newBench(t, 3), newBench(t, 3)
	b.leave("e00", "g")
	b.rest(now, "e01", "g", 3*clock.Second)
	next.Restore(now+100, b.Snapshot(now+100))
	at := now + 200
	led := map[decide.UpstreamID]int{}
	for ; at < now+3*clock.Second; at += 50 {
		next.Ask(at, next.by(at, "g"))
		for _, d := range next.Tick(at) {
			led[d.Grant.Leader.Upstream]++
			next.End(at, d.Request, Done, "")
		}
	}
	require.Zero(t, led["e00"])
	require.Zero(t, led["e01"])
	require.NotZero(t, led["e02"])
}

// An owner polls engines in doubt. One that wants a rest from its VM, or leaves, must not get polls either.
func TestAnOwnerDoesNotPollWhoWantsRestFromIt(t *testing.T) {
	b := newBench(t, 3)
	b.MarkUnverified()
	b.rest(now, "e00", "owner", clock.Second)
	b.leave("e01", "g")
	require.Equal(t, []decide.UpstreamID{"e02"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	_, decided := b.ask(now+firstShut, b.by(now+firstShut, "h"))
	require.True(t, decided, "others use the engine all the same")
}

// What is left of a rest travels in messages, each of which takes its time. Taken for a new rest each time, the engine would be left alone longer and longer.
func TestAMessageThatTakesItsTimeIsNoNewRest(t *testing.T) {
	b := newBench(t, 1)
	s := statement.Statement{Kind: statement.BackOff, Named: true, Gate: "g", At: now, Until: now + clock.Second}
	require.True(t, b.Learn(now, "e00", s))
	require.False(t, b.Learn(now+5, "e00", s.Message(now, "e00").Statement(now+5)))
	s.Until += clock.Second
	require.True(t, b.Learn(now+10, "e00", s))
}

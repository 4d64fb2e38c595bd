package span

import (
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
	b.Limit(at, u, statement.Statement{Named: true, Rate: rate, At: at})
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
		b.Limit(at, id, statement.Statement{Named: true, Rate: 2, At: at})
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
	b.Limit(now+12*clock.Second, "e02", statement.Statement{At: now + 12*clock.Second})
	require.Zero(t, b.notes(now+13*clock.Second, now+20*clock.Second, 500)["e02"])
}

// All upstreams of a service name limits, and more is asked than they take. Who won't be served is refused at once, with the time at
// which there is room, and not when its time is over.
func TestWhatLimitsWillNotServeIsRefusedAtOnce(t *testing.T) {
	b := &bench{t: t, Pool: New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))}
	b.Serve(&route.Service{ID: "s"}, []route.Upstream{{ID: "a", Service: "s", Slots: 6}, {ID: "b", Service: "s", Slots: 6}})
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
	require.True(t, b.Limit(now+2*clock.Second, "e00", statement.Statement{Named: true, Rate: 3, Born: 7, At: now + 2*clock.Second}))
	b.lives(8)
	require.Greater(t, b.notes(now+3*clock.Second, now+5*clock.Second, 100)["e00"], 10)
	require.False(t, b.Limit(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 7, At: now + 5*clock.Second}))
	b.Limit(now+5*clock.Second, "e00", statement.Statement{Named: true, Rate: 1, Born: 9, At: now + 5*clock.Second})
	b.lives(9)
	require.InDelta(t, 2, b.notes(now+5*clock.Second, now+7*clock.Second, 100)["e00"], 1, "its answer came before the list told of its life")
}

// The owner of a service stops as planned just after it gave out what the limit allows. Its successor must not give it out again.
func TestASuccessorGoesOnWithinTheLimit(t *testing.T) {
	b, next := newBench(t, 2), newBench(t, 2)
	b.limit(now, "e00", 8)
	b.notes(now, now+clock.Second, 20)
	next.Restore(now+clock.Second, b.Books(now+clock.Second))
	require.LessOrEqual(t, next.notes(now+clock.Second, now+clock.Second+100, 10)["e00"], 1)
	require.InDelta(t, 16, next.notes(now+1100, now+3100, 20)["e00"], 2)
}

// An engine in doubt is asked for its load again and again; it may count that as requests.
func TestAnEngineThatNamesALimitIsPolledRarely(t *testing.T) {
	b := newBench(t, 2)
	b.limit(now, "e00", 1)
	b.Doubt()
	polls := map[decide.UpstreamID]int{}
	for at := now + clock.Second; at < now+5*clock.Second; at += 100 {
		for _, id := range b.Doubtful(at) {
			polls[id]++
		}
	}
	require.Equal(t, map[decide.UpstreamID]int{"e00": 4, "e01": 40}, polls)
}

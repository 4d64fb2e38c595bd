package span

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// engine is that of today's deployments, by its published figures.
var engine = route.Engine{
	Slots: 16, Memory: 450_000, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 46, Hop: 0.1, Lag: 200,
}

const now clock.Milli = 1_000_000

// bench is a pool with its ids counted.
type bench struct {
	t *testing.T
	*Pool
	asked int
}

func newBench(t *testing.T, engines int) *bench {
	t.Helper()
	b := &bench{t: t, Pool: New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))}
	b.serve(engines)
	return b
}

func (b *bench) serve(engines int) {
	us := make([]route.Upstream, engines)
	for i := range us {
		id := decide.UpstreamID(fmt.Sprintf("e%02d", i))
		us[i] = route.Upstream{ID: id, Service: "s", Address: string(id), Slots: engine.Slots}
	}
	b.SetUpstreams(&route.Service{ID: "s", Engine: &engine}, us)
}

// note is a short request.
func (b *bench) note(at clock.Milli) Ask {
	b.asked++
	return Ask{
		ID: decide.RequestID(fmt.Sprintf("note%d", b.asked)), Gate: "g", Prompt: 5000, Output: 1600,
		Aim: at + 300, Deadline: at + 10_000, Gap: 200, Stream: true,
	}
}

// history is a long one.
func (b *bench) history(at clock.Milli, prompt decide.Tokens) Ask {
	b.asked++
	return Ask{
		ID: decide.RequestID(fmt.Sprintf("history%d", b.asked)), Gate: "g", Prompt: prompt, Output: 800,
		Aim: at + 3000, Deadline: at + 15_000, Gap: 800, Stream: true,
	}
}

// ask returns what the pool decides on a request at once.
func (b *bench) ask(at clock.Milli, a Ask) (Decision, bool) {
	b.t.Helper()
	_, granted := b.Ask(at, a)
	require.False(b.t, granted)
	for _, d := range b.Tick(at) {
		if d.Request == a.ID {
			return d, true
		}
	}
	return Decision{}, false
}

// granted asks and requires a grant.
func (b *bench) granted(at clock.Milli, a Ask) Grant {
	b.t.Helper()
	d, ok := b.ask(at, a)
	require.True(b.t, ok, "%s is queued", a.ID)
	require.Equal(b.t, Granted, d.Action, d.Reason)
	return d.Grant
}

// runs asks and notes the first byte at once.
func (b *bench) runs(a Ask) Grant {
	b.t.Helper()
	g := b.granted(now, a)
	b.First(now, a.ID)
	return g
}

func TestShortWorkIsPacked(t *testing.T) {
	b := newBench(t, 4)
	used := map[decide.UpstreamID]int{}
	for range 2 * DefaultRules.PackedStreams {
		used[b.runs(b.note(now)).Leader.Upstream]++
	}
	require.Equal(t, map[decide.UpstreamID]int{"e00": DefaultRules.PackedStreams, "e01": DefaultRules.PackedStreams}, used)
}

// Twenty short requests arrive within a millisecond. An engine reads all prompts that
// wait within one pass, so all of them on one engine would make every stream
// there pause for half a second. A user would see text that stops and starts.
func TestABurstDoesNotLengthenAPass(t *testing.T) {
	b := newBench(t, 8)
	read := map[decide.UpstreamID]float64{}
	for range 20 {
		g := b.granted(now, b.note(now))
		read[g.Leader.Upstream] += g.Leader.Read
	}
	for id, r := range read {
		require.Less(t, r+engine.PassTime(1, 5000), 200.0, id)
	}
}

// A prompt of two hundred thousand tokens takes one engine 2.8 s, nearly all of its
// aim. Read by one engine alone it would be late after any wait.
func TestALongPromptIsSpread(t *testing.T) {
	b := newBench(t, 18)
	g := b.granted(now, b.history(now, 210_000))
	require.GreaterOrEqual(t, len(g.Helpers), 10)
	require.Less(t, g.First, 400*clock.Milli(1))
	require.Zero(t, reserved(g.Helpers), "it fits the leader")
}

// A long prompt is read on the engine where short streams are written. Each pass
// there takes as long as the part that is read, and the streams stand still.
func TestALongReadKeepsAwayFromShortStreams(t *testing.T) {
	b := newBench(t, 3)
	note := b.runs(b.note(now))
	g := b.granted(now, b.history(now, 210_000))
	for _, p := range append([]Placement{g.Leader}, g.Helpers...) {
		require.NotEqual(t, note.Leader.Upstream, p.Upstream)
	}
	require.NotContains(t, []decide.UpstreamID{g.Leader.Upstream}, b.granted(now, b.note(now)).Leader.Upstream)
}

// A part of a long prompt is read where the answer to another one is written. The
// caller of that answer bears a pause of 800 ms and no more.
func TestAPartStaysWithinThePausesBorneThere(t *testing.T) {
	b := newBench(t, 2)
	first := b.runs(b.history(now, 120_000))
	g := b.granted(now, b.history(now, 210_000))
	for _, p := range append([]Placement{g.Leader}, g.Helpers...) {
		if p.Upstream == first.Leader.Upstream {
			require.Less(t, p.Read+engine.PassTime(2, 330_000), 800.0)
		}
	}
}

// Two engines are free where the aim needs four. A read that starts on two is late
// for certain, and holds both for as long as it takes.
func TestALongPromptWaitsForEnoughEngines(t *testing.T) {
	b := newBench(t, 4)
	busy := b.granted(now, b.history(now, 150_000))
	require.Len(t, busy.Helpers, 3)
	a := b.history(now, 290_000)
	_, decided := b.ask(now, a)
	require.False(t, decided)
	b.First(now+300, busy.Request)
	b.End(now+500, busy.Request, Done, "")
	ds := b.Tick(now + 500)
	require.Len(t, ds, 1)
	require.Len(t, ds[0].Grant.Helpers, 3)
}

// A million tokens are more than twice an engine's memory. Sent without memory
// reserved on others, the engine turns it away each time.
func TestAPromptLargerThanAnEngineReservesMemory(t *testing.T) {
	b := newBench(t, 18)
	g := b.granted(now, b.history(now, 1_000_000))
	require.GreaterOrEqual(t, reserved(g.Helpers)+engine.Memory, decide.Tokens(1_000_800))
	for _, h := range g.Helpers {
		require.LessOrEqual(t, h.Reserve, engine.Memory)
	}
	small := newBench(t, 2)
	d, decided := small.ask(now, small.history(now, 1_000_000))
	require.True(t, decided, "two engines will never have room for it")
	require.Equal(t, Refused, d.Action)
}

// A prompt that missed its aim is worth a quarter to its caller. Placed as soon
// as one engine is free, it keeps one that is in time from gathering its engines.
func TestWhatIsLateMakesWay(t *testing.T) {
	b := newBench(t, 3)
	busy := b.granted(now, b.history(now, 100_000))
	late, fresh := b.history(now-4000, 100_000), b.history(now, 390_000)
	_, _ = b.Ask(now, late)
	_, _ = b.Ask(now, fresh)
	require.Empty(t, b.Tick(now))
	b.End(now+1, busy.Request, Done, "")
	for _, d := range b.Tick(now + 1) {
		require.Equal(t, fresh.ID, d.Request)
	}
}

// Long prompts come twice as fast as engines can read them. Kept until their
// deadlines they all fail at the end of their time; a caller that is refused
// early can come back when there is room.
func TestPressureRefusesEarly(t *testing.T) {
	b := newBench(t, 2)
	refused, waited := 0, clock.Milli(0)
	asked := map[decide.RequestID]clock.Milli{}
	ends := map[decide.RequestID]clock.Milli{}
	for at := now; at < now+30_000; at += 50 {
		for id, end := range ends {
			if at >= end {
				delete(ends, id)
				b.First(at, id)
				b.End(at, id, Done, "")
			}
		}
		if (at-now)%1000 == 0 {
			a := b.history(at, 210_000)
			asked[a.ID] = at
			_, _ = b.Ask(at, a)
		}
		for id := range b.queue {
			b.queue[id].heard = at
		}
		for id := range b.grants {
			b.grants[id].heard = at
		}
		for _, d := range b.Tick(at) {
			if d.Action == Granted {
				ends[d.Request] = at + clock.Milli(d.Grant.Leader.Read)
				continue
			}
			require.Equal(t, fault.Overloaded, d.Fault)
			require.Positive(t, d.Retry)
			refused++
			waited = max(waited, at-asked[d.Request])
		}
	}
	require.Positive(t, refused)
	require.Less(t, waited, 8*clock.Second, "of 15 s that a caller has")
}

// The answer to a question is lost on its way. The gate asks again, and must not
// get a second place for one request while the first stays booked.
func TestALostGrantIsGivenAgain(t *testing.T) {
	b := newBench(t, 2)
	a := b.note(now)
	g := b.granted(now, a)
	again, ok := b.Ask(now+200, a)
	require.True(t, ok)
	require.Equal(t, g, again)
	require.Equal(t, 1, b.Counts().Granted)
}

// The owner dies. Its successor's books are empty until the gates name what runs,
// and it would give every engine out a second time.
// A question is put by way of a second VM beside, and arrives there when its send is over already. Granted again, it would hold a slot for
// seconds.
func TestAQuestionAfterItsEndIsNotGranted(t *testing.T) {
	b := newBench(t, 1)
	a := b.note(now)
	b.granted(now, a)
	b.End(now, a.ID, Done, "")
	_, granted := b.Ask(now+10, a)
	require.False(t, granted)
	require.Empty(t, b.Tick(now+10))
	require.Equal(t, Counts{Upstreams: 1}, b.Counts())
}

// A gate lists what it has running, its request ends, and the word of the end is faster than the list. Entered again, the grant would hold
// a slot for seconds.
func TestAListThatTheEndOvertookBringsNothingBack(t *testing.T) {
	b := newBench(t, 1)
	g := b.granted(now, b.note(now))
	b.End(now, g.Request, Done, "")
	b.Present(now+10, "g", []LiveGrant{{Grant: g}})
	require.Equal(t, Counts{Upstreams: 1}, b.Counts())
}

func TestASuccessorLearnsWhatRuns(t *testing.T) {
	old, successor := newBench(t, 2), newBench(t, 2)
	var live []LiveGrant
	for range DefaultRules.PackedStreams {
		live = append(live, LiveGrant{Grant: old.runs(old.note(now)), Writing: true})
	}
	successor.asked = old.asked
	successor.Present(now, "g", live)
	require.Equal(t, decide.UpstreamID("e01"), successor.granted(now, successor.note(now)).Leader.Upstream)
}

// A gate loses power with requests on engines. Nobody says that they ended, and
// one would see an engine that takes less and less.
func TestGrantsOfADeadGateLapse(t *testing.T) {
	b := newBench(t, 1)
	b.runs(b.note(now))
	b.Tick(now + grantLives + 1)
	require.Zero(t, b.Counts().Granted)
}

// The word that a send ended is lost. The gate's next list does not name it.
func TestWhatAGateDoesNotNameHasEnded(t *testing.T) {
	b := newBench(t, 1)
	kept, lost := b.runs(b.note(now)), b.runs(b.note(now))
	b.Present(now+askLives+1, "g", []LiveGrant{{Grant: kept, Writing: true}})
	require.Contains(t, b.grants, kept.Request)
	require.NotContains(t, b.grants, lost.Request)
	require.NotContains(t, b.rows["e00"].grants, lost.Request)
}

// All VMs lose power. The engines go on writing for callers who are gone, and a
// new owner that trusts its empty books packs all work on the fullest engine.
func TestWorkThatNoGrantExplainsIsCounted(t *testing.T) {
	b := newBench(t, 3)
	b.MarkUnverified()
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 3)
	early := b.note(now)
	_, decided := b.ask(now, early)
	require.False(t, decided, "nothing is sent to engines that may be full")
	b.Withdraw(now, early.ID)
	b.Report(now, "e00", exchange.Load{Requests: 16, Used: 200_000})
	b.Report(now, "e01", exchange.Load{})
	b.Report(now, "e02", exchange.Load{})
	require.Equal(t, decide.UpstreamID("e01"), b.granted(now, b.note(now)).Leader.Upstream)
	require.Empty(t, b.TakeDuePolls(now+pollEvery-1, "owner", math.MaxInt), "its report would be the same")
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now+pollEvery, "owner", math.MaxInt))
	b.Report(now, "e00", exchange.Load{})
	require.Equal(t, decide.UpstreamID("e00"), b.granted(now, b.note(now)).Leader.Upstream)
}

// All VMs lose power, and hundreds of engines go on writing for callers who are gone. Asked again and again, the first ones would keep the others
// from ever being asked, and these get nothing until then.
func TestEnginesThatGetNothingAreAskedFirst(t *testing.T) {
	const engines, most = 300, 10
	b := newBench(t, engines)
	b.MarkUnverified()
	at, rounds := now, 0
	asked := map[decide.UpstreamID]int{}
	round := func() {
		for _, id := range b.TakeDuePolls(at, "owner", most) {
			asked[id]++
			b.Report(at, id, exchange.Load{Requests: 4, Used: 10_000})
		}
		at += 30
		rounds++
	}
	for len(asked) < engines && rounds < engines {
		require.True(t, b.UrgentPollsDue(at))
		round()
	}
	require.Equal(t, engines/most, rounds, "each round asks engines that were not asked yet")
	for range engines / most {
		round()
	}
	for id, n := range asked {
		require.Equal(t, 2, n, "%s: then who was asked longest ago", id)
	}
	require.Len(t, asked, engines)
}

// Each round asks a few of those in doubt. Were the others taken for asked, one that names a limit would wait for a second more each time.
func TestWhoIsNotAskedIsNotTakenForAsked(t *testing.T) {
	b := newBench(t, 4)
	for id := range b.rows {
		b.limit(now, id, 1)
	}
	b.MarkUnverified()
	asked := map[decide.UpstreamID]bool{}
	for range 4 {
		for _, id := range b.TakeDuePolls(now+clock.Second, "owner", 1) {
			asked[id] = true
		}
	}
	require.Len(t, asked, 4)
}

// An engine turns a request away although the books show room. Sent there again
// at once, the next ones would be turned away as well.
func TestAnEngineThatTurnsAwayIsAskedAfter(t *testing.T) {
	b := newBench(t, 2)
	g := b.granted(now, b.note(now))
	b.End(now, g.Request, Full, "")
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	require.Equal(t, decide.UpstreamID("e01"), b.granted(now, b.note(now)).Leader.Upstream)
}

// An engine crashes. Every request sent there fails until somebody notices, and one
// that is shut out for good would be missed when it is back.
func TestACrashedEngineRestsAndIsTriedAgain(t *testing.T) {
	b := newBench(t, 2)
	g := b.granted(now, b.note(now))
	b.End(now, g.Request, Unreachable, "")
	require.Equal(t, decide.UpstreamID("e01"), b.granted(now, b.note(now)).Leader.Upstream)
	again := b.granted(now+firstShut, b.note(now+firstShut))
	require.Equal(t, decide.UpstreamID("e00"), again.Leader.Upstream)
	b.End(now+firstShut, again.Request, Unreachable, "")
	require.Equal(t, now+3*firstShut, b.rows["e00"].health.until, "the second rest is twice as long")
}

// One answer in a hundred is broken on sound engines too. Shutting out an engine for
// each would leave none under load.
func TestOneBrokenAnswerShutsNothingOut(t *testing.T) {
	b := newBench(t, 1)
	for range 5 {
		g := b.granted(now, b.note(now))
		b.End(now, g.Request, Broken, "")
		g = b.granted(now, b.note(now))
		b.End(now, g.Request, Done, "")
	}
}

// The fault of a helper is told by the leader. Blamed on the leader, the dead helper
// would be chosen for the next prompt again.
func TestTheCulpritRests(t *testing.T) {
	b := newBench(t, 4)
	g := b.granted(now, b.history(now, 210_000))
	b.End(now, g.Request, Unreachable, g.Helpers[0].Upstream)
	require.False(t, b.rows[g.Helpers[0].Upstream].health.open(now))
	require.True(t, b.rows[g.Leader.Upstream].health.open(now))
}

// Half of the answers are lost and each is asked for again. Without a bound the
// engines get their load twice just when they are in trouble.
func TestRepeatsAreBounded(t *testing.T) {
	b := newBench(t, 8)
	granted := 0
	for range 50 {
		a := b.note(now)
		a.Again = true
		d, ok := b.ask(now, a)
		require.True(t, ok)
		if d.Action == Granted {
			granted++
			b.End(now, a.ID, Done, "")
			continue
		}
		require.Equal(t, "budget", d.Reason)
	}
	require.Equal(t, 10, granted)
}

// Nothing was sent under a grant, since the upstream wants rest. Were the next one counted too, a fleet that shuns an upstream would repeat more
// than it may, or refuse what it may repeat.
func TestASendInPlaceOfAnotherIsCountedOnce(t *testing.T) {
	b := newBench(t, 8)
	granted := func(a Ask) bool {
		d, ok := b.ask(now, a)
		require.True(t, ok)
		if d.Action == Granted {
			b.End(now, a.ID, Done, "")
		}
		return d.Action == Granted
	}
	for range 50 {
		a := b.note(now)
		a.Counted = true
		require.True(t, granted(a))
	}
	repeats := 0
	for range 50 {
		a := b.note(now)
		a.Again = true
		if granted(a) {
			repeats++
		}
		a = b.note(now)
		a.Again, a.Counted = true, true
		require.True(t, granted(a))
	}
	require.Equal(t, 10, repeats, "as many as without them")
}

// An engine died under twelve requests, and one of them is to blame. Two of them on
// one engine would leave open again which.
func TestSuspectsDoNotMeet(t *testing.T) {
	b := newBench(t, 2)
	a, o := b.note(now), b.note(now)
	a.Suspect, o.Suspect = true, true
	require.NotEqual(t, b.granted(now, a).Leader.Upstream, b.granted(now, o).Leader.Upstream)
	_, decided := b.ask(now, func() Ask { a := b.note(now); a.Suspect = true; return a }())
	require.False(t, decided)
}

// An engine announces that it leaves, with streams on it. They go on; nothing new comes.
func TestALeavingEngineKeepsItsGrants(t *testing.T) {
	b := newBench(t, 2)
	g := b.runs(b.note(now))
	b.SetUpstreams(&route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e00", Slots: 16, Leaving: true}, {ID: "e01", Slots: 16}})
	require.Equal(t, decide.UpstreamID("e01"), b.granted(now, b.note(now)).Leader.Upstream)
	require.Contains(t, b.grants, g.Request)
	b.SetUpstreams(&route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e01", Slots: 16}})
	require.Contains(t, b.rows, decide.UpstreamID("e00"), "it has work")
	b.End(now, g.Request, Done, "")
	b.SetUpstreams(&route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e01", Slots: 16}})
	require.NotContains(t, b.rows, decide.UpstreamID("e00"))
}

func TestPlainWorkGoesWhereTheFewestAre(t *testing.T) {
	p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetUpstreams(&route.Service{ID: "s"}, []route.Upstream{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	for i := range 5 {
		_, _ = p.Ask(now, Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Aim: now + 100, Deadline: now + 1500})
	}
	require.Len(t, p.Tick(now), 4)
	require.Equal(t, Counts{Queued: 1, Granted: 4, Upstreams: 2}, p.Counts())
	p.End(now, "0", Done, "")
	require.Len(t, p.Tick(now), 1)
}

// No upstream is there at all. Waiting would only use up the time in which the
// caller can try another way.
func TestWithoutUpstreamsTheRefusalIsQuick(t *testing.T) {
	b := newBench(t, 0)
	a := b.note(now)
	_, decided := b.ask(now, a)
	require.False(t, decided)
	b.queue[a.ID].heard = now + firstShut + 1
	ds := b.Tick(now + firstShut + 1)
	require.Len(t, ds, 1)
	require.Equal(t, fault.Unavailable, ds[0].Fault)
}

// Short requests come faster than slots get free. Those that are late already stand
// behind all that are in time; kept, they wait until their callers have left.
func TestAFloodRefusesWhatWillNotBeServed(t *testing.T) {
	b := newBench(t, 1)
	for range engine.Slots {
		b.runs(b.note(now))
	}
	a := b.note(now)
	a.Deadline = now + 2000
	_, decided := b.ask(now, a)
	require.False(t, decided)
	require.Empty(t, b.Tick(now+400), "it is not late for long")
	ds := b.Tick(now + 600)
	require.Len(t, ds, 1)
	require.Equal(t, fault.Overloaded, ds[0].Fault)
	require.GreaterOrEqual(t, ds[0].Retry, firstShut)
}

// A plain service is full for a moment. Its requests take milliseconds, so the next
// slot is near, and a refusal would cost the caller more than the wait.
func TestAFullPlainServiceIsWaitedFor(t *testing.T) {
	p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetUpstreams(&route.Service{ID: "s"}, []route.Upstream{{ID: "a", Slots: 1}})
	for _, id := range []decide.RequestID{"1", "2"} {
		_, _ = p.Ask(now, Ask{ID: id, Gate: "g", Aim: now + 100, Deadline: now + 1500})
	}
	require.Len(t, p.Tick(now), 1)
	require.Empty(t, p.Tick(now+900))
	p.End(now+900, "1", Done, "")
	require.Len(t, p.Tick(now+900), 1)
}

// An urgent request and a patient one wait for the same slot. The patient one came first.
func TestTheUrgentOneIsPlacedFirst(t *testing.T) {
	b := newBench(t, 1)
	var last Grant
	for range engine.Slots {
		last = b.runs(b.note(now))
	}
	patient, urgent := b.note(now), b.note(now)
	patient.Urgency = 1
	_, _ = b.Ask(now, patient)
	_, _ = b.Ask(now, urgent)
	b.End(now, last.Request, Done, "")
	ds := b.Tick(now)
	require.Len(t, ds, 1)
	require.Equal(t, urgent.ID, ds[0].Request)
}

// A prompt of 400,000 tokens missed its aim. It takes one engine nine seconds, and its caller leaves
// in six. Of two engines for long prompts one is reading. Given to the other, the prompt would
// keep it from everybody else for nine seconds, and its caller would get nothing.
func TestALatePromptGetsAsManyEnginesAsItsDeadlineNeeds(t *testing.T) {
	b := newBench(t, 8)
	b.rules.PackedStreams = 1
	for range 6 {
		b.runs(b.note(now))
	}
	b.granted(now, b.history(now, 30_000))
	a := b.history(now, 400_000)
	a.Aim, a.Deadline = now-1, now+6000
	d, decided := b.ask(now, a)
	require.False(t, decided && d.Action == Granted)

	b = newBench(t, 8)
	g := b.granted(now, a)
	require.NotEmpty(t, g.Helpers)
}

// With four engines a prompt of a million tokens cannot be read in the ten seconds that are left of its
// caller's time. The caller learns so at once, and not when its time is over.
func TestAPromptThatNoGroupReadsInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 4)
	a := b.history(now, 1_000_000)
	a.Deadline = now + 10_000
	d, decided := b.ask(now, a)
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
}

// The prompt of a caller with three seconds left is read within two, but its answer takes two more to
// write. A read that ends in an answer cut off at its deadline is of no use to anybody.
func TestTheTimeOfWritingCountsBeforeTheDeadline(t *testing.T) {
	b := newBench(t, 1)
	a := b.history(now, 150_000)
	a.Aim, a.Deadline, a.Likely = now-1000, now+3000, 1200
	d, decided := b.ask(now, a)
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	a = b.history(now, 150_000)
	a.Aim, a.Deadline, a.Likely = now-1000, now+3000, 100
	b.granted(now, a)
}

// A short request comes again with one second left while all slots are taken, and answers of its kind take two
// seconds on average. Its own may be short, and trying costs 20 ms: it waits for a slot.
func TestAShortRequestWaitsHoweverLongItsAnswerMayBe(t *testing.T) {
	b := newBench(t, 1)
	for range engine.Slots {
		b.runs(b.note(now))
	}
	a := b.note(now)
	a.Deadline, a.Likely = now+1000, 1600
	_, decided := b.ask(now, a)
	require.False(t, decided)
}

// A burst of short work writes on every engine for ten seconds. A file of 45,000 tokens takes an
// engine 270 ms, which no stream there bears as a pause. Kept waiting for an engine free of
// short streams, it is late, although the engines could read for more than half of their time.
func TestALongPromptIsReadInSmallPartsBesideShortStreams(t *testing.T) {
	b := newBench(t, 6)
	for range 6 * DefaultRules.PackedStreams {
		b.runs(b.note(now))
	}
	g := b.granted(now, b.history(now, 45_000))
	require.GreaterOrEqual(t, len(g.Helpers), 3)
	for _, pl := range append(g.Helpers, g.Leader) {
		r := b.rows[pl.Upstream]
		require.LessOrEqual(t, r.debt(now)+r.engine.PassTime(r.streams, r.context), DefaultRules.PauseFraction*200)
	}
}

// Short streams are written on every engine, and a short request that is due in 130 ms waits for one of
// them to have fewer. A file read in small parts now would take what that one waits for.
func TestNoLongPromptIsReadBesideShortStreamsWhileShortWorkWaits(t *testing.T) {
	b := newBench(t, 6)
	b.rules.InterleavedFraction = b.rules.PauseFraction
	for range 6 * DefaultRules.PackedStreams {
		b.runs(b.note(now))
	}
	hurried := b.note(now)
	hurried.Aim = now + 130
	_, decided := b.ask(now, hurried)
	require.False(t, decided)
	d, decided := b.ask(now, b.history(now, 30_000))
	require.False(t, decided && d.Action == Granted)
}

// Long prompts pressed for seconds, and then nobody asks any more. A prompt that comes a moment later
// finds all engines free. Refused for the pressure that was, its caller waits for nothing.
func TestNothingIsRefusedForPressureThatIsOver(t *testing.T) {
	b := newBench(t, 4)
	at := now
	for ; at < now+20_000; at += 100 {
		g := b.granted(at, b.history(at, 60_000))
		b.Tick(at + 99)
		b.First(at+99, g.Request)
		b.End(at+99, g.Request, Done, "")
	}
	b.headroom.busy = 0.95
	a := b.history(at, 600_000)
	a.Deadline = at + 6000
	b.granted(at, a)
}

// Sixty VMs start at once and each places for itself. All of them choosing the first of three idle services
// would fill its queue while the others have nothing to do.
func TestEqualPlainServicesAreChosenByTheRequest(t *testing.T) {
	used := map[decide.UpstreamID]int{}
	for i := range 60 {
		p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
		p.SetUpstreams(nil, []route.Upstream{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}})
		_, _ = p.Ask(now, Ask{ID: decide.RequestID(fmt.Sprint("vm-", i)), Gate: "g", Aim: now + 100, Deadline: now + 1000})
		used[p.Tick(now)[0].Grant.Leader.Upstream]++
	}
	for _, id := range []decide.UpstreamID{"a", "b", "c"} {
		require.GreaterOrEqual(t, used[id], 8)
	}
}

// An engine works four times as slowly as it should. The first prompt whose part it read is late; from then on,
// prompts that wait for its parts would all be, and streams on it pause for too long.
func TestASlowEngineIsAskedAndGetsWhatOthersHaveNoRoomFor(t *testing.T) {
	b := newBench(t, 4)
	g := b.granted(now, b.history(now, 200_000))
	require.Len(t, g.Helpers, 3)
	require.Empty(t, b.TakeDuePolls(now, "owner", math.MaxInt))
	at := now + 2*g.First
	b.First(at, g.Request)
	b.End(at, g.Request, Done, "")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 4, "each of the four may be the slow one")
	for _, id := range []decide.UpstreamID{"e01", "e02", "e03"} {
		b.Report(at, id, exchange.Load{Requests: 1, Pace: 1})
		require.Zero(t, b.rows[id].foreign, "its count is older than the books")
	}
	b.Report(at, "e00", exchange.Load{Pace: 4})
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now+pollEvery, "owner", math.MaxInt), "a slow one is asked again, until it is well")

	g = b.granted(at, b.history(at, 200_000))
	for _, pl := range append(g.Helpers, g.Leader) {
		require.NotEqual(t, decide.UpstreamID("e00"), pl.Upstream)
	}
	b.End(at, g.Request, Done, "")
	require.NotEqual(t, decide.UpstreamID("e00"), b.granted(at, b.note(at)).Leader.Upstream)
	b.Report(now, "e00", exchange.Load{Pace: 1})
	require.Equal(t, decide.UpstreamID("e00"), b.granted(at, b.note(at)).Leader.Upstream)
}

// A new owner's engines work for callers who are gone. Their report is 200 ms old: it counts those callers, and
// none of the requests that were granted since. Taken for them, the engine would look free for as many more, and
// short requests would queue there for a second.
func TestAReportIsHeldAgainstTheBooksOfItsTime(t *testing.T) {
	b := newBench(t, 2)
	b.MarkUnverified()
	b.Report(now, "e00", exchange.Load{Requests: 10, Used: 50_000})
	b.Report(now, "e01", exchange.Load{Requests: 10, Used: 50_000})
	for range 4 {
		b.runs(b.note(now))
	}
	for _, at := range []clock.Milli{now + 100, now + 200} {
		b.Report(at, "e00", exchange.Load{Requests: 10, Used: 50_000})
		require.Equal(t, 10, b.rows["e00"].foreign)
	}
	b.Report(now+300, "e00", exchange.Load{Requests: 12, Used: 60_000})
	require.Equal(t, 12-b.rows["e00"].streams, b.rows["e00"].foreign)
	require.Positive(t, b.rows["e00"].streams)
	for id := range b.grants {
		b.End(now+300, id, Done, "")
	}
	b.Report(now+400, "e00", exchange.Load{Requests: 12, Used: 60_000})
	require.Less(t, b.rows["e00"].foreign, 12, "some of those that it still counts have ended since")
}

// The owner of a service is killed, and gates present to the next one what runs. Those grants are older than the report that it
// asks for, which counts them. Taken for callers who are gone, they would count twice, and engines with room for as many would look full.
func TestPresentedGrantsAreInTheReport(t *testing.T) {
	before, b := newBench(t, 1), newBench(t, 1)
	var live []LiveGrant
	for range 6 {
		live = append(live, LiveGrant{Grant: before.runs(before.note(now)), Writing: true})
	}
	b.MarkUnverified()
	b.Present(now, "g", live)
	b.Report(now+5, "e00", exchange.Load{Requests: 6, Used: 40_000})
	require.Zero(t, b.rows["e00"].foreign)
	require.Equal(t, 6, b.rows["e00"].streams)
}

// An engine has more to do than the books say, or has died: a first byte is overdue. The next short request must not wait
// behind it, though the books show room there, and its owner asks it at once what it has.
func TestAnOverdueFirstByteMovesTheNextRequestElsewhere(t *testing.T) {
	b := newBench(t, 2)
	late := b.granted(now, b.note(now))
	require.Equal(t, decide.UpstreamID("e00"), late.Leader.Upstream)
	at := now + late.First + lateSlack + 100
	require.Equal(t, decide.UpstreamID("e01"), b.granted(at, b.note(at)).Leader.Upstream)
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	b.First(at+10, late.Request)
	require.Equal(t, decide.UpstreamID("e00"), b.granted(at+10, b.note(at+10)).Leader.Upstream, "it has caught up")
}

// All engines are slow. Long prompts are read all the same.
func TestSlowEnginesAreUsedIfThereAreNoOthers(t *testing.T) {
	b := newBench(t, 2)
	b.Report(now, "e00", exchange.Load{Pace: 2})
	b.Report(now, "e01", exchange.Load{Pace: 2})
	b.granted(now, b.history(now, 100_000))
}

// A VM starts and has met no other, so it waits half a second before it asks engines for their load. A request
// that came at once is late by then, but there is no pressure: it is served when they have answered.
func TestANewOwnerRefusesNothingForPressure(t *testing.T) {
	b := newBench(t, 2)
	b.MarkUnverified()
	a := b.note(now)
	a.Patience = now + 2000
	_, decided := b.ask(now, a)
	require.False(t, decided)
	at := now + 600
	_, _ = b.Ask(at, a)
	require.Empty(t, b.Tick(at))
	b.Report(now, "e00", exchange.Load{})
	b.Report(now, "e01", exchange.Load{})
	ds := b.Tick(at + 1)
	require.Len(t, ds, 1)
	require.Equal(t, Granted, ds[0].Action)
}

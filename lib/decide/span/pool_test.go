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

// engine has the published figures of the deployed engines.
var engine = route.Engine{
	Slots: 16, Memory: 450_000, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 46, Hop: 0.1, Lag: 200,
}

const now clock.Milli = 1_000_000

// testPool is a pool that numbers the IDs of its test requests.
type testPool struct {
	t *testing.T
	*Pool
	asked int
}

func newTestPool(t *testing.T, engines int) *testPool {
	t.Helper()
	b := &testPool{t: t, Pool: New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))}
	b.serve(engines)
	return b
}

func (b *testPool) serve(engines int) {
	us := make([]route.Upstream, engines)
	for i := range us {
		id := decide.UpstreamID(fmt.Sprintf("e%02d", i))
		us[i] = route.Upstream{ID: id, Service: "s", Address: string(id), Slots: engine.Slots}
	}
	b.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
}

// shortAsk returns a new short request.
func (b *testPool) shortAsk(at clock.Milli) Ask {
	b.asked++
	return Ask{
		ID: decide.RequestID(fmt.Sprintf("note%d", b.asked)), Gate: "g", Prompt: 5000, Output: 1600,
		Aim: at + 300, Deadline: at + 10_000, Gap: 200, Stream: true,
	}
}

// longAsk returns a new long request.
func (b *testPool) longAsk(at clock.Milli, prompt decide.Tokens) Ask {
	b.asked++
	return Ask{
		ID: decide.RequestID(fmt.Sprintf("history%d", b.asked)), Gate: "g", Prompt: prompt, Output: 800,
		Aim: at + 3000, Deadline: at + 15_000, Gap: 800, Stream: true,
	}
}

// ask queues a request and returns the decision if there is one at once.
func (b *testPool) ask(at clock.Milli, a Ask) (Decision, bool) {
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

// mustGrant queues a request and requires an immediate grant.
func (b *testPool) mustGrant(at clock.Milli, a Ask) Grant {
	b.t.Helper()
	d, ok := b.ask(at, a)
	require.True(b.t, ok, "%s stayed queued", a.ID)
	require.Equal(b.t, Granted, d.Action, d.Reason)
	return d.Grant
}

// mustStream requires a grant and records the first byte at once.
func (b *testPool) mustStream(a Ask) Grant {
	b.t.Helper()
	g := b.mustGrant(now, a)
	b.First(now, a.ID)
	return g
}

func TestShortRequestsArePacked(t *testing.T) {
	b := newTestPool(t, 4)
	used := map[decide.UpstreamID]int{}
	for range 2 * DefaultRules.PackedStreams {
		used[b.mustStream(b.shortAsk(now)).Leader.Upstream]++
	}
	require.Equal(t, map[decide.UpstreamID]int{"e00": DefaultRules.PackedStreams, "e01": DefaultRules.PackedStreams}, used)
}

// Twenty short requests arrive within a millisecond. An engine prefills all prompts that wait
// within one pass, so all of them on one engine would make every stream there pause for half a
// second.
func TestBurstDoesNotLengthenPasses(t *testing.T) {
	b := newTestPool(t, 8)
	prefill := map[decide.UpstreamID]float64{}
	for range 20 {
		g := b.mustGrant(now, b.shortAsk(now))
		prefill[g.Leader.Upstream] += g.Leader.Read
	}
	for id, r := range prefill {
		require.Less(t, r+engine.PassTime(1, 5000), 200.0, id)
	}
}

// A prompt of 200,000 tokens takes one engine 2.8 s, nearly all of its aim. On one engine alone it
// would be late after any wait.
func TestLongPromptIsSpread(t *testing.T) {
	b := newTestPool(t, 18)
	g := b.mustGrant(now, b.longAsk(now, 210_000))
	require.GreaterOrEqual(t, len(g.Helpers), 10)
	require.Less(t, g.First, 400*clock.Milli(1))
	require.Zero(t, totalReserved(g.Helpers), "the prompt fits into the memory of the leader")
}

// A long prefill on an engine with short streams makes each pass there as long as the part that is
// computed, and the streams stall.
func TestLongPrefillAvoidsShortStreams(t *testing.T) {
	b := newTestPool(t, 3)
	note := b.mustStream(b.shortAsk(now))
	g := b.mustGrant(now, b.longAsk(now, 210_000))
	for _, p := range append([]Placement{g.Leader}, g.Helpers...) {
		require.NotEqual(t, note.Leader.Upstream, p.Upstream)
	}
	require.NotContains(t, []decide.UpstreamID{g.Leader.Upstream}, b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
}

// A part of a long prompt is computed on the engine that writes the answer to another long prompt.
// That stream tolerates a pause of 800 ms and no more.
func TestPartFitsPausesOfLongStreams(t *testing.T) {
	b := newTestPool(t, 2)
	first := b.mustStream(b.longAsk(now, 120_000))
	g := b.mustGrant(now, b.longAsk(now, 210_000))
	for _, p := range append([]Placement{g.Leader}, g.Helpers...) {
		if p.Upstream == first.Leader.Upstream {
			require.Less(t, p.Read+engine.PassTime(2, 330_000), 800.0)
		}
	}
}

// Two engines are free where the aim requires four. A prefill that starts on two is certainly late,
// and occupies both for as long as it takes.
func TestLongPromptWaitsForEnoughEngines(t *testing.T) {
	b := newTestPool(t, 4)
	busy := b.mustGrant(now, b.longAsk(now, 150_000))
	require.Len(t, busy.Helpers, 3)
	a := b.longAsk(now, 290_000)
	_, decided := b.ask(now, a)
	require.False(t, decided)
	b.First(now+300, busy.Request)
	b.End(now+500, busy.Request, Done, "")
	ds := b.Tick(now + 500)
	require.Len(t, ds, 1)
	require.Len(t, ds[0].Grant.Helpers, 3)
}

// A million tokens are more than twice the memory of one engine. Without memory reserved on others,
// the engine rejects the prompt each time.
func TestPromptLargerThanOneEngineReservesMemory(t *testing.T) {
	b := newTestPool(t, 18)
	g := b.mustGrant(now, b.longAsk(now, 1_000_000))
	require.GreaterOrEqual(t, totalReserved(g.Helpers)+engine.Memory, decide.Tokens(1_000_800))
	for _, h := range g.Helpers {
		require.LessOrEqual(t, h.Reserve, engine.Memory)
	}
	small := newTestPool(t, 2)
	d, decided := small.ask(now, small.longAsk(now, 1_000_000))
	require.True(t, decided, "two engines never have enough memory for the prompt")
	require.Equal(t, Refused, d.Action)
}

// An answer after the aim is worth a quarter of one in time. If the late prompt were placed as soon
// as one engine is free, a prompt in time could not gather the engines that it needs.
func TestLatePromptYieldsToPromptInTime(t *testing.T) {
	b := newTestPool(t, 3)
	busy := b.mustGrant(now, b.longAsk(now, 100_000))
	late, fresh := b.longAsk(now-4000, 100_000), b.longAsk(now, 390_000)
	_, _ = b.Ask(now, late)
	_, _ = b.Ask(now, fresh)
	require.Empty(t, b.Tick(now))
	b.End(now+1, busy.Request, Done, "")
	for _, d := range b.Tick(now + 1) {
		require.Equal(t, fresh.ID, d.Request)
	}
}

// Long prompts arrive twice as fast as engines can prefill them. If all were queued until their
// deadlines, all would fail then. A client that is refused early can retry when there is room.
func TestOverloadRefusesEarly(t *testing.T) {
	b := newTestPool(t, 2)
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
			a := b.longAsk(at, 210_000)
			asked[a.ID] = at
			_, _ = b.Ask(at, a)
		}
		for id := range b.queue {
			b.queue[id].askedAt = at
		}
		for id := range b.grants {
			b.grants[id].namedAt = at
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
	require.Less(t, waited, 8*clock.Second, "the client's deadline is 15 s")
}

// The reply with a grant is lost, and the gate asks again. It must not get a second grant for the
// request while the first is live.
func TestRepeatedAskReturnsSameGrant(t *testing.T) {
	b := newTestPool(t, 2)
	a := b.shortAsk(now)
	g := b.mustGrant(now, a)
	again, ok := b.Ask(now+200, a)
	require.True(t, ok)
	require.Equal(t, g, again)
	require.Equal(t, 1, b.Counts().Granted)
}

// An Ask is also sent by way of another VM, and that copy arrives when the send has ended. Granted
// again, it would occupy a slot for seconds.
func TestAskAfterEndIsNotGranted(t *testing.T) {
	b := newTestPool(t, 1)
	a := b.shortAsk(now)
	b.mustGrant(now, a)
	b.End(now, a.ID, Done, "")
	_, granted := b.Ask(now+10, a)
	require.False(t, granted)
	require.Empty(t, b.Tick(now+10))
	require.Equal(t, Counts{Upstreams: 1}, b.Counts())
}

// A gate lists its live grants, one of them ends, and the End arrives before the list. If the list
// added the grant again, it would occupy a slot for seconds.
func TestPresentAfterEndIsIgnored(t *testing.T) {
	b := newTestPool(t, 1)
	g := b.mustGrant(now, b.shortAsk(now))
	b.End(now, g.Request, Done, "")
	b.Present(now+10, "g", []LiveGrant{{Grant: g}})
	require.Equal(t, Counts{Upstreams: 1}, b.Counts())
}

// The owner is lost. Its successor has no record of grants until the gates present the live ones,
// and without them would grant the capacity of every engine a second time.
func TestSuccessorCountsPresentedGrants(t *testing.T) {
	old, successor := newTestPool(t, 2), newTestPool(t, 2)
	var live []LiveGrant
	for range DefaultRules.PackedStreams {
		live = append(live, LiveGrant{Grant: old.mustStream(old.shortAsk(now)), Writing: true})
	}
	successor.asked = old.asked
	successor.Present(now, "g", live)
	require.Equal(t, decide.UpstreamID("e01"), successor.mustGrant(now, successor.shortAsk(now)).Leader.Upstream)
}

// A gate loses power while its requests run on engines. Their ends are never reported, and without
// expiry the engine would be given less and less work.
func TestGrantsOfLostGateExpire(t *testing.T) {
	b := newTestPool(t, 1)
	b.mustStream(b.shortAsk(now))
	b.Tick(now + grantTTL + 1)
	require.Zero(t, b.Counts().Granted)
}

// The message that a send ended is lost. The next list of the gate does not name the grant.
func TestGrantMissingFromPresentIsDropped(t *testing.T) {
	b := newTestPool(t, 1)
	kept, lost := b.mustStream(b.shortAsk(now)), b.mustStream(b.shortAsk(now))
	b.Present(now+askTTL+1, "g", []LiveGrant{{Grant: kept, Writing: true}})
	require.Contains(t, b.grants, kept.Request)
	require.NotContains(t, b.grants, lost.Request)
	require.NotContains(t, b.upstreams["e00"].grants, lost.Request)
}

// All VMs lose power. The engines go on writing for clients that have disconnected, and a new owner
// that assumed them to be idle would pack all requests on the fullest engine.
func TestExternalLoadIsCounted(t *testing.T) {
	b := newTestPool(t, 3)
	b.MarkUnverified()
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 3)
	early := b.shortAsk(now)
	_, decided := b.ask(now, early)
	require.False(t, decided, "nothing is sent to engines whose load is unverified")
	b.Withdraw(now, early.ID)
	b.Report(now, "e00", exchange.Load{Requests: 16, Used: 200_000})
	b.Report(now, "e01", exchange.Load{})
	b.Report(now, "e02", exchange.Load{})
	require.Equal(t, decide.UpstreamID("e01"), b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
	require.Empty(t, b.TakeDuePolls(now+pollInterval-1, "owner", math.MaxInt), "an earlier report would be the same")
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now+pollInterval, "owner", math.MaxInt))
	b.Report(now, "e00", exchange.Load{})
	require.Equal(t, decide.UpstreamID("e00"), b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
}

// All VMs lose power, and hundreds of engines go on writing for clients that have disconnected. If
// the first ones were polled again and again, the others, which get no requests until they have
// reported, would never be polled.
func TestUnverifiedEnginesArePolledFirst(t *testing.T) {
	const engines, most = 300, 10
	b := newTestPool(t, engines)
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
	require.Equal(t, engines/most, rounds, "each round polls engines that were not polled yet")
	for range engines / most {
		round()
	}
	for id, n := range asked {
		require.Equal(t, 2, n, "%s: engines polled longest ago come next", id)
	}
	require.Len(t, asked, engines)
}

// Each round polls a few of the unverified engines. If the others were marked as polled too, those
// that declare a limit would wait a second longer each time.
func TestUnlistedUpstreamsAreNotMarkedPolled(t *testing.T) {
	b := newTestPool(t, 4)
	for id := range b.upstreams {
		b.learnLimit(now, id, 1)
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

// An engine rejects a request although its grants leave room. Further requests sent there at once
// would be rejected as well.
func TestRejectingEngineIsPolled(t *testing.T) {
	b := newTestPool(t, 2)
	g := b.mustGrant(now, b.shortAsk(now))
	b.End(now, g.Request, Full, "")
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	require.Equal(t, decide.UpstreamID("e01"), b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
}

// An engine crashes. Every request sent there fails until it is excluded, and if it were excluded
// for good, it would not be used after its recovery.
func TestCrashedEngineIsExcludedThenRetried(t *testing.T) {
	b := newTestPool(t, 2)
	g := b.mustGrant(now, b.shortAsk(now))
	b.End(now, g.Request, Unreachable, "")
	require.Equal(t, decide.UpstreamID("e01"), b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
	again := b.mustGrant(now+firstExclusion, b.shortAsk(now+firstExclusion))
	require.Equal(t, decide.UpstreamID("e00"), again.Leader.Upstream)
	b.End(now+firstExclusion, again.Request, Unreachable, "")
	require.Equal(t, now+3*firstExclusion, b.upstreams["e00"].health.excludedUntil, "the second exclusion is twice as long")
}

// One answer in a hundred is broken on sound engines too. If each excluded its engine, none would
// be left under load.
func TestOneBrokenAnswerDoesNotExclude(t *testing.T) {
	b := newTestPool(t, 1)
	for range 5 {
		g := b.mustGrant(now, b.shortAsk(now))
		b.End(now, g.Request, Broken, "")
		g = b.mustGrant(now, b.shortAsk(now))
		b.End(now, g.Request, Done, "")
	}
}

// The fault of a helper is reported by the leader. If the leader were blamed, the crashed helper
// would be chosen for the next prompt again.
func TestCulpritIsExcluded(t *testing.T) {
	b := newTestPool(t, 4)
	g := b.mustGrant(now, b.longAsk(now, 210_000))
	b.End(now, g.Request, Unreachable, g.Helpers[0].Upstream)
	require.False(t, b.upstreams[g.Helpers[0].Upstream].health.available(now))
	require.True(t, b.upstreams[g.Leader.Upstream].health.available(now))
}

// Half of the answers are lost, and each request is repeated. Without a bound the engines get
// doubled load just when they are failing.
func TestRepeatsAreBounded(t *testing.T) {
	b := newTestPool(t, 8)
	granted := 0
	for range 50 {
		a := b.shortAsk(now)
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

// Nothing was sent under a grant because the upstream asked for a back-off, and the request is
// granted elsewhere. If the second grant were counted too, a fleet that avoids an upstream would
// exceed its retry budget, or refuse repeats that are within the budget.
func TestCountedSendIsNotCountedAgain(t *testing.T) {
	b := newTestPool(t, 8)
	granted := func(a Ask) bool {
		d, ok := b.ask(now, a)
		require.True(t, ok)
		if d.Action == Granted {
			b.End(now, a.ID, Done, "")
		}
		return d.Action == Granted
	}
	for range 50 {
		a := b.shortAsk(now)
		a.Counted = true
		require.True(t, granted(a))
	}
	repeats := 0
	for range 50 {
		a := b.shortAsk(now)
		a.Again = true
		if granted(a) {
			repeats++
		}
		a = b.shortAsk(now)
		a.Again, a.Counted = true, true
		require.True(t, granted(a))
	}
	require.Equal(t, 10, repeats, "as many as without the counted sends")
}

// An engine crashed while twelve requests ran on it, and one of them may be the cause. If two of
// them ran on one engine, the next crash would not show which.
func TestSuspectRequestsAreSeparated(t *testing.T) {
	b := newTestPool(t, 2)
	a, o := b.shortAsk(now), b.shortAsk(now)
	a.Suspect, o.Suspect = true, true
	require.NotEqual(t, b.mustGrant(now, a).Leader.Upstream, b.mustGrant(now, o).Leader.Upstream)
	_, decided := b.ask(now, func() Ask { a := b.shortAsk(now); a.Suspect = true; return a }())
	require.False(t, decided)
}

// Engines crashed under many requests. One that is being answered is no longer likely to crash its engine; if it kept other
// suspects away until its end, these would wait for seconds.
func TestSuspectThatIsAnsweredMakesRoom(t *testing.T) {
	b := newTestPool(t, 1)
	suspect := func() Ask { a := b.shortAsk(now); a.Suspect = true; return a }
	g := b.mustGrant(now, suspect())
	next := suspect()
	_, decided := b.ask(now, next)
	require.False(t, decided)
	b.First(now+100, g.Request)
	_, decided = b.ask(now+100, next)
	require.True(t, decided)
}

// An engine that declares that it is leaving keeps its streams and gets no new requests.
func TestLeavingEngineKeepsItsGrants(t *testing.T) {
	b := newTestPool(t, 2)
	g := b.mustStream(b.shortAsk(now))
	b.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e00", Slots: 16, Leaving: true}, {ID: "e01", Slots: 16}})
	require.Equal(t, decide.UpstreamID("e01"), b.mustGrant(now, b.shortAsk(now)).Leader.Upstream)
	require.Contains(t, b.grants, g.Request)
	b.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e01", Slots: 16}})
	require.Contains(t, b.upstreams, decide.UpstreamID("e00"), "an unlisted upstream stays while it has grants")
	b.End(now, g.Request, Done, "")
	b.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, []route.Upstream{{ID: "e01", Slots: 16}})
	require.NotContains(t, b.upstreams, decide.UpstreamID("e00"))
}

func TestPlainServiceUsesLeastLoadedUpstream(t *testing.T) {
	p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetUpstreams(now, &route.Service{ID: "s"}, []route.Upstream{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	for i := range 5 {
		_, _ = p.Ask(now, Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Aim: now + 100, Deadline: now + 1500})
	}
	require.Len(t, p.Tick(now), 4)
	require.Equal(t, Counts{Queued: 1, Granted: 4, Upstreams: 2}, p.Counts())
	p.End(now, "0", Done, "")
	require.Len(t, p.Tick(now), 1)
}

// There is no upstream at all. Waiting would only use up the time in which the client can send the
// request elsewhere.
func TestRefusalWithoutUpstreamsIsQuick(t *testing.T) {
	b := newTestPool(t, 0)
	a := b.shortAsk(now)
	_, decided := b.ask(now, a)
	require.False(t, decided)
	b.queue[a.ID].askedAt = now + firstExclusion + 1
	ds := b.Tick(now + firstExclusion + 1)
	require.Len(t, ds, 1)
	require.Equal(t, fault.Unavailable, ds[0].Fault)
}

// Short requests arrive faster than slots become free. Those that are late already are placed after
// all that are in time; if they stayed queued, they would wait until their clients disconnect.
func TestLateShortRequestIsRefusedUnderOverload(t *testing.T) {
	b := newTestPool(t, 1)
	for range engine.Slots {
		b.mustStream(b.shortAsk(now))
	}
	a := b.shortAsk(now)
	a.Deadline = now + 2000
	_, decided := b.ask(now, a)
	require.False(t, decided)
	require.Empty(t, b.Tick(now+400), "the request is not late for long enough")
	ds := b.Tick(now + 600)
	require.Len(t, ds, 1)
	require.Equal(t, fault.Overloaded, ds[0].Fault)
	require.GreaterOrEqual(t, ds[0].Retry, firstExclusion)
}

// A plain service is full for a moment. Its requests take milliseconds, so a slot becomes free
// soon, and a refusal would cost the client more than the wait.
func TestRequestWaitsForFullPlainService(t *testing.T) {
	p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetUpstreams(now, &route.Service{ID: "s"}, []route.Upstream{{ID: "a", Slots: 1}})
	for _, id := range []decide.RequestID{"1", "2"} {
		_, _ = p.Ask(now, Ask{ID: id, Gate: "g", Aim: now + 100, Deadline: now + 1500})
	}
	require.Len(t, p.Tick(now), 1)
	require.Empty(t, p.Tick(now+900))
	p.End(now+900, "1", Done, "")
	require.Len(t, p.Tick(now+900), 1)
}

// An urgent request and a less urgent one wait for the same slot. The less urgent one came first.
func TestUrgentRequestIsPlacedFirst(t *testing.T) {
	b := newTestPool(t, 1)
	var last Grant
	for range engine.Slots {
		last = b.mustStream(b.shortAsk(now))
	}
	patient, urgent := b.shortAsk(now), b.shortAsk(now)
	patient.Urgency = 1
	_, _ = b.Ask(now, patient)
	_, _ = b.Ask(now, urgent)
	b.End(now, last.Request, Done, "")
	ds := b.Tick(now)
	require.Len(t, ds, 1)
	require.Equal(t, urgent.ID, ds[0].Request)
}

// A prompt of 400,000 tokens missed its aim. It takes one engine nine seconds, and its client
// disconnects in six. Of two engines for long prompts one is prefilling. If the prompt got the
// other one alone, it would occupy that engine for nine seconds, and its client would get nothing.
func TestLatePromptGetsEnginesItsDeadlineNeeds(t *testing.T) {
	b := newTestPool(t, 8)
	b.rules.PackedStreams = 1
	for range 6 {
		b.mustStream(b.shortAsk(now))
	}
	b.mustGrant(now, b.longAsk(now, 30_000))
	a := b.longAsk(now, 400_000)
	a.Aim, a.Deadline = now-1, now+6000
	d, decided := b.ask(now, a)
	require.False(t, decided && d.Action == Granted)

	b = newTestPool(t, 8)
	g := b.mustGrant(now, a)
	require.NotEmpty(t, g.Helpers)
}

// Four engines can't prefill a prompt of a million tokens in the ten seconds that are left to its
// deadline. The request must be refused at once, not at its deadline.
func TestPromptTooLongForItsDeadlineIsRefusedAtOnce(t *testing.T) {
	b := newTestPool(t, 4)
	a := b.longAsk(now, 1_000_000)
	a.Deadline = now + 10_000
	d, decided := b.ask(now, a)
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
}

// A request has three seconds left. Its prefill takes two of them, but its answer takes two more to
// write. A prefill whose answer is cut off at the deadline is useless.
func TestWritingTimeCountsTowardDeadline(t *testing.T) {
	b := newTestPool(t, 1)
	a := b.longAsk(now, 150_000)
	a.Aim, a.Deadline, a.Likely = now-1000, now+3000, 1200
	d, decided := b.ask(now, a)
	require.True(t, decided)
	require.Equal(t, Refused, d.Action)
	a = b.longAsk(now, 150_000)
	a.Aim, a.Deadline, a.Likely = now-1000, now+3000, 100
	b.mustGrant(now, a)
}

// A short request is repeated with one second left while all slots are in use, and answers of its
// kind take two seconds on average. Its own answer may be short, and a try costs 20 ms, so the
// request waits for a slot.
func TestShortRequestIgnoresExpectedWritingTime(t *testing.T) {
	b := newTestPool(t, 1)
	for range engine.Slots {
		b.mustStream(b.shortAsk(now))
	}
	a := b.shortAsk(now)
	a.Deadline, a.Likely = now+1000, 1600
	_, decided := b.ask(now, a)
	require.False(t, decided)
}

// A burst of short requests has streams on every engine for ten seconds. A prompt of 45,000 tokens
// takes an engine 270 ms, more than any stream there tolerates as a pause. If it waited for an
// engine without short streams, it would be late, although the engines have more than half of their
// time left for prefill.
func TestLongPromptIsInterleavedWithShortStreams(t *testing.T) {
	b := newTestPool(t, 6)
	for range 6 * DefaultRules.PackedStreams {
		b.mustStream(b.shortAsk(now))
	}
	g := b.mustGrant(now, b.longAsk(now, 45_000))
	require.GreaterOrEqual(t, len(g.Helpers), 3)
	for _, pl := range append(g.Helpers, g.Leader) {
		r := b.upstreams[pl.Upstream]
		require.LessOrEqual(t, r.backlog(now)+r.engine.PassTime(r.streams, r.context), DefaultRules.PauseFraction*200)
	}
}

// Every engine has short streams, and a short request that is due in 130 ms waits for one of them
// to have fewer. A long prompt interleaved now would take the capacity that the short request waits
// for.
func TestNoInterleavingWhileShortRequestsWait(t *testing.T) {
	b := newTestPool(t, 6)
	b.rules.InterleavedFraction = b.rules.PauseFraction
	for range 6 * DefaultRules.PackedStreams {
		b.mustStream(b.shortAsk(now))
	}
	hurried := b.shortAsk(now)
	hurried.Aim = now + 130
	_, decided := b.ask(now, hurried)
	require.False(t, decided)
	d, decided := b.ask(now, b.longAsk(now, 30_000))
	require.False(t, decided && d.Action == Granted)
}

// Long prompts overloaded the engines for seconds, and then no more arrive. A prompt that comes a
// moment later finds all engines free and must not be refused for the past overload.
func TestNoRefusalAfterOverloadEnds(t *testing.T) {
	b := newTestPool(t, 4)
	at := now
	for ; at < now+20_000; at += 100 {
		g := b.mustGrant(at, b.longAsk(at, 60_000))
		b.Tick(at + 99)
		b.First(at+99, g.Request)
		b.End(at+99, g.Request, Done, "")
	}
	b.headroom.busy = 0.95
	a := b.longAsk(at, 600_000)
	a.Deadline = at + 6000
	b.mustGrant(at, a)
}

// Sixty VMs start at once and each places requests by itself. If all chose the first of three idle
// upstreams, its queue would fill while the others are idle.
func TestEqualPlainUpstreamsAreChosenByRequestID(t *testing.T) {
	used := map[decide.UpstreamID]int{}
	for i := range 60 {
		p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
		p.SetUpstreams(now, nil, []route.Upstream{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}})
		_, _ = p.Ask(now, Ask{ID: decide.RequestID(fmt.Sprint("vm-", i)), Gate: "g", Aim: now + 100, Deadline: now + 1000})
		used[p.Tick(now)[0].Grant.Leader.Upstream]++
	}
	for _, id := range []decide.UpstreamID{"a", "b", "c"} {
		require.GreaterOrEqual(t, used[id], 8)
	}
}

// An engine works four times as slowly as it should. The first prompt of which it computes a part
// is late. After that, prompts that wait for its parts would all be late, and streams on it would
// pause for too long.
func TestSlowEngineIsPolledAndUsedLast(t *testing.T) {
	b := newTestPool(t, 4)
	g := b.mustGrant(now, b.longAsk(now, 200_000))
	require.Len(t, g.Helpers, 3)
	require.Empty(t, b.TakeDuePolls(now, "owner", math.MaxInt))
	at := now + 2*g.First
	b.First(at, g.Request)
	b.End(at, g.Request, Done, "")
	require.Len(t, b.TakeDuePolls(now, "owner", math.MaxInt), 4, "each engine of the group may be the slow one")
	for _, id := range []decide.UpstreamID{"e01", "e02", "e03"} {
		b.Report(at, id, exchange.Load{Requests: 1, Pace: 1})
		require.Zero(t, b.upstreams[id].external, "the report predates the end of the request that it counts")
	}
	b.Report(at, "e00", exchange.Load{Pace: 4})
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now+pollInterval, "owner", math.MaxInt), "a slow engine is polled until it reports a normal pace")

	g = b.mustGrant(at, b.longAsk(at, 200_000))
	for _, pl := range append(g.Helpers, g.Leader) {
		require.NotEqual(t, decide.UpstreamID("e00"), pl.Upstream)
	}
	b.End(at, g.Request, Done, "")
	require.NotEqual(t, decide.UpstreamID("e00"), b.mustGrant(at, b.shortAsk(at)).Leader.Upstream)
	b.Report(now, "e00", exchange.Load{Pace: 1})
	require.Equal(t, decide.UpstreamID("e00"), b.mustGrant(at, b.shortAsk(at)).Leader.Upstream)
}

// A new owner's engines work for clients that have disconnected. A load report is 200 ms old: it
// counts that work, and none of the requests granted since. If the report were compared with the
// present grants, the engine would seem to have room for as many more, and short requests would
// queue there for a second.
func TestReportIsComparedWithGrantsOfItsTime(t *testing.T) {
	b := newTestPool(t, 2)
	b.MarkUnverified()
	b.Report(now, "e00", exchange.Load{Requests: 10, Used: 50_000})
	b.Report(now, "e01", exchange.Load{Requests: 10, Used: 50_000})
	for range 4 {
		b.mustStream(b.shortAsk(now))
	}
	for _, at := range []clock.Milli{now + 100, now + 200} {
		b.Report(at, "e00", exchange.Load{Requests: 10, Used: 50_000})
		require.Equal(t, 10, b.upstreams["e00"].external)
	}
	b.Report(now+300, "e00", exchange.Load{Requests: 12, Used: 60_000})
	require.Equal(t, 12-b.upstreams["e00"].streams, b.upstreams["e00"].external)
	require.Positive(t, b.upstreams["e00"].streams)
	for id := range b.grants {
		b.End(now+300, id, Done, "")
	}
	b.Report(now+400, "e00", exchange.Load{Requests: 12, Used: 60_000})
	require.Less(t, b.upstreams["e00"].external, 12, "some requests that the report counts have ended since")
}

// The owner of a service is killed, and gates present the live grants to the next one. Those grants
// are older than the load report that the new owner polls for, which counts them. If they counted
// as external too, engines with room for as many more would look full.
func TestPresentedGrantsExplainReport(t *testing.T) {
	before, b := newTestPool(t, 1), newTestPool(t, 1)
	var live []LiveGrant
	for range 6 {
		live = append(live, LiveGrant{Grant: before.mustStream(before.shortAsk(now)), Writing: true})
	}
	b.MarkUnverified()
	b.Present(now, "g", live)
	b.Report(now+5, "e00", exchange.Load{Requests: 6, Used: 40_000})
	require.Zero(t, b.upstreams["e00"].external)
	require.Equal(t, 6, b.upstreams["e00"].streams)
}

// An engine has more work than is recorded, or has crashed: a first byte is overdue. The next short
// request must not wait behind it, although the recorded grants leave room there, and the owner
// polls the engine at once.
func TestOverdueFirstByteDivertsNextRequest(t *testing.T) {
	b := newTestPool(t, 2)
	late := b.mustGrant(now, b.shortAsk(now))
	require.Equal(t, decide.UpstreamID("e00"), late.Leader.Upstream)
	at := now + late.First + lateSlack + 100
	require.Equal(t, decide.UpstreamID("e01"), b.mustGrant(at, b.shortAsk(at)).Leader.Upstream)
	require.Equal(t, []decide.UpstreamID{"e00"}, b.TakeDuePolls(now, "owner", math.MaxInt))
	b.First(at+10, late.Request)
	require.Equal(t, decide.UpstreamID("e00"), b.mustGrant(at+10, b.shortAsk(at+10)).Leader.Upstream, "the engine has caught up")
}

// All engines are slow. Long prompts must be placed nevertheless.
func TestSlowEnginesAreUsedIfThereAreNoOthers(t *testing.T) {
	b := newTestPool(t, 2)
	b.Report(now, "e00", exchange.Load{Pace: 2})
	b.Report(now, "e01", exchange.Load{Pace: 2})
	b.mustGrant(now, b.longAsk(now, 100_000))
}

// A VM starts and has met no other, so it waits half a second before it polls engines for their
// load. A request that arrived at once is late by then, but there is no overload: it is served when
// the engines have reported.
func TestNewOwnerDoesNotRefuseBeforeReports(t *testing.T) {
	b := newTestPool(t, 2)
	b.MarkUnverified()
	a := b.shortAsk(now)
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

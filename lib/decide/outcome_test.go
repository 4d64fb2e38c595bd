package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// A burst brings more than the pool can finish in the callers' time. Without a
// refusal the last of them would wait out their time for nothing; with one that
// names a false time they would come back in vain.
func TestBurstIsRefusedAtOnceAndTruthfully(t *testing.T) {
	b := newBed(t, 1)
	for i := range 400 {
		r := b.request(fmt.Sprint("r", i))
		r.Deadline = b.now + 30*clock.Second
		b.submit(r)
	}
	require.NotEmpty(t, b.refused)
	last := b.refused["r399"]
	require.Equal(t, fault.Overloaded, last.Fault)
	require.Positive(t, last.Retry)
	admitted := 400 - len(b.refused)
	require.Greater(t, b.refused["r399"].Retry, b.refused["r20"].Retry, "not all are told the same time")
	b.serve(nil, last.Retry)
	again := b.request("again")
	again.Deadline = b.now + 30*clock.Second
	b.submit(again)
	require.Zero(t, b.refused["again"].Retry, "it came back when told")
	b.serve(nil, 40*clock.Second)
	require.Len(t, b.granted, admitted+1, "every admitted one got its turn")
	require.Len(t, b.refused, 400-admitted)
}

// The upstream dies and nothing takes its place: what waits must hear so when its
// time can no longer be met, not when it has run out.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	b := newBed(t, 1)
	r := b.request("r")
	r.Deadline = b.now + 30*clock.Second
	b.set(0, true)
	b.tick()
	b.submit(r)
	require.Equal(t, fault.Unavailable, b.refused["r"].Fault, "no upstream takes work")

	b = newBed(t, 1)
	for i := range 16 {
		b.submit(b.request(fmt.Sprint("r", i)))
		b.wait(1000)
		b.first(fmt.Sprint("r", i))
	}
	r = b.request("late")
	r.Deadline = b.now + 20*clock.Second
	b.submit(r)
	require.NotContains(t, b.granted, RequestID("late"), "all slots are taken")
	b.wait(19 * clock.Second)
	require.Equal(t, fault.Expired, b.refused["late"].Fault)
	require.Empty(t, b.pool.Queue())
}

// Alert lookups come while every engine prefills dossiers that take half a
// minute each. A family waits for the answer.
func TestUrgentWorkDoesNotWaitBehindLongWork(t *testing.T) {
	b := newBed(t, 8)
	for i := range 40 {
		r := b.request(fmt.Sprint("long", i))
		r.Urgency, r.Prompt, r.Deadline = 3, 350_000, b.now+clock.Minute*30
		b.submit(r)
	}
	for i := range 20 {
		r := b.request(fmt.Sprint("lookup", i))
		r.Urgency, r.Prompt, r.Deadline = 0, 1000, b.now+10*clock.Second
		b.submit(r)
		require.Contains(t, b.granted, r.ID, "granted in the tick it came")
		b.wait(60)
		b.first(string(r.ID))
	}
	b.serve(nil, 10*clock.Minute)
	require.Len(t, b.granted, 60, "and the long ones are not starved")
}

// Drafts come without pause and fill the pool. A summary that was admitted must
// still be served in its time.
func TestAgingServesWhatWaits(t *testing.T) {
	b := newBed(t, 1)
	s := b.request("summary")
	s.Urgency, s.Workspace, s.Deadline = 2, "b", b.now+3*clock.Minute
	for i := range 5 {
		b.submit(b.request(fmt.Sprint("before", i)))
	}
	b.submit(s)
	for i := 0; b.now < s.Deadline && len(b.granted[s.ID].Upstreams) == 0; i++ {
		b.submit(b.request(fmt.Sprint("r", i)))
		b.serve(nil, 1000)
	}
	require.Contains(t, b.granted, s.ID)
}

// Two workspaces keep the same lane busy, one with large requests and one with small
// ones, weighted one to two. The tokens served divided by the weight may differ by
// at most each one's longest request divided by its weight, added up: that is
// the bound of start-time fair queueing.
func TestServiceDifferenceOfTwoBusyWorkspacesIsBounded(t *testing.T) {
	b := newBed(t, 1)
	b.pool.SetWorkspace(b.now, Workspace{ID: "a", Weight: 1})
	b.pool.SetWorkspace(b.now, Workspace{ID: "b", Weight: 2})
	random := rand.New(rand.NewPCG(1, 2))
	sizes := map[RequestID]Tokens{}
	longest := map[WorkspaceID]Tokens{"a": 30_000, "b": 6_000}
	count := 0
	refill := func() {
		for _, w := range []WorkspaceID{"a", "b"} {
			for range 12 { // more than either is served, so that both stay busy
				r := b.request(fmt.Sprint(w, count))
				count++
				r.Workspace, r.Deadline = w, b.now+clock.Minute*1000
				r.Prompt = 1 + Tokens(random.Int64N(int64(longest[w])-100))
				sizes[r.ID] = r.Prompt + r.Output
				b.submit(r)
			}
		}
	}
	for range 5 {
		refill()
	}
	served := map[WorkspaceID]float64{}
	base, seen := len(b.order), len(b.order)
	bound := float64(longest["a"])/1 + float64(longest["b"])/2
	for seen < base+400 {
		refill()
		b.serve(nil, 1000)
		for ; seen < len(b.order); seen++ {
			id := b.order[seen]
			served[WorkspaceID(id[:1])] += float64(sizes[id])
			require.LessOrEqual(t, abs(served["a"]/1-served["b"]/2), bound)
		}
	}
}

func abs(x float64) float64 { return max(x, -x) }

// One workspace sends ten times what the others send. Its flood may delay itself,
// not the draft of another ward.
func TestFloodOfOneWorkspaceDelaysOnlyItself(t *testing.T) {
	b := newBed(t, 2)
	for i := range 60 {
		b.submit(b.request(fmt.Sprint("flood", i)))
	}
	r := b.request("quiet")
	r.Workspace = "b"
	b.submit(r)
	came := b.now
	for b.granted["quiet"].ID == 0 {
		b.serve(nil, 100)
	}
	require.LessOrEqual(t, b.now-came, 3*clock.Second, "it waits for a request, not for the flood")
	require.NotEmpty(t, b.pool.Queue())
}

// Prompts larger than two engines' memory come together with smaller long ones, so
// that no three engines are ever free by chance. If groups held some engines
// while waiting for others, two of them would block each other for good.
func TestGroupsTakeAllOrNoneAndAllGetTheirTurn(t *testing.T) {
	b := newBed(t, 6)
	for i := range 24 {
		r := b.request(fmt.Sprint("r", i))
		r.Urgency, r.Prompt, r.Deadline = 3, 150_000, b.now+60*clock.Minute
		if i%3 == 0 {
			r.Prompt = 1_000_000
		}
		b.submit(r)
	}
	for range 1200 {
		b.serve(nil, 1000)
		for _, v := range b.pool.Upstreams(b.now) {
			require.LessOrEqual(t, v.Reserved, v.Memory)
		}
	}
	require.Len(t, b.granted, 24)
	require.Len(t, b.grant("r0").Upstreams, 3)
	require.Equal(t, Tokens(333_367), b.grant("r0").Reserved)
}

func TestPromptThatFitsNoGroupIsOversize(t *testing.T) {
	b := newBed(t, 2)
	r := b.request("r")
	r.Prompt = 900_000
	b.submit(r)
	require.Equal(t, fault.Oversize, b.refused["r"].Fault)
}

// One engine turns four times slower, and its report, which counts requests, makes it
// look idle. Callers who land on it wait four times as long.
func TestSlowUpstreamGetsLessAndNoLongPrompt(t *testing.T) {
	b := newBed(t, 6)
	slow := map[UpstreamID]float64{name(2): 4}
	for i := range 300 {
		b.submit(b.request(fmt.Sprint("r", i)))
		b.serve(slow, 300)
	}
	require.Greater(t, b.view(2).Slowdown, 3.0)
	require.Less(t, b.view(1).Slowdown, 1.5)
	late := 0
	for _, id := range b.order[150:] {
		if b.granted[id].Upstreams[0] == name(2) {
			late++
		}
	}
	require.Less(t, late, 12, "of 150, where an even part is 25")
	for i := range 12 {
		r := b.request(fmt.Sprint("long", i))
		r.Urgency, r.Prompt, r.Deadline = 3, 200_000, b.now+30*clock.Minute
		b.submit(r)
		for b.granted[r.ID].ID == 0 {
			b.serve(slow, 1000)
			require.Less(t, b.now, r.Deadline)
		}
		require.NotEqual(t, name(2), b.grant(string(r.ID)).Upstreams[0])
	}
}

// The mix turns from lookups and drafts to dossiers and back. Engines kept for
// long work would stand idle on some days and block everything on others.
func TestBoundaryFollowsTheMixSlowlyUpAndFastDown(t *testing.T) {
	b := newBed(t, 12)
	long := func() int {
		n := 0
		for _, v := range b.pool.Upstreams(b.now) {
			if v.Side == "long" {
				n++
			}
		}
		return n
	}
	count := 0
	play := func(seconds int, drafts, dossiers int) {
		for s := range seconds {
			count++
			for k := range drafts {
				b.submit(b.request(fmt.Sprint("d", count, "-", k)))
			}
			if dossiers > 0 && s%4 == 0 {
				r := b.request(fmt.Sprint("l", count))
				r.Urgency, r.Prompt, r.Deadline = 3, 300_000, b.now+20*clock.Minute
				b.submit(r)
			}
			b.serve(nil, 1000)
		}
	}
	play(60, 6, 0)
	few := long()
	require.LessOrEqual(t, few, 2)
	orders := len(b.orders)
	play(240, 2, 1)
	many := long()
	require.GreaterOrEqual(t, many, 5)
	require.LessOrEqual(t, len(b.orders)-orders, 240, "roles change at a bounded rate")
	play(240, 8, 0)
	require.LessOrEqual(t, long(), many-2)
	for _, v := range b.pool.Upstreams(b.now) {
		require.NotEmpty(t, v.Side)
	}
}

// The alert desk is a plain service without memory or prefill: only its slots are
// limited. Judged like an engine it would take one large body at a time, or
// admit without end.
func TestPlainServiceIsBoundedByItsSlots(t *testing.T) {
	b := newBed(t, 0)
	for i := range 2 {
		b.pool.SetUpstream(b.now, Upstream{ID: name(i), Slots: 4})
	}
	for i := range 20 {
		r := b.request(fmt.Sprint("r", i))
		r.Prompt, r.Output, r.Deadline = 100_000, 0, b.now+10*clock.Second
		b.submit(r)
	}
	require.Len(t, b.granted, 8)
	for done := 0; done < 20; done++ {
		b.wait(500)
		b.finish(string(b.order[done]), Done)
	}
	require.Len(t, b.granted, 20)
	for i := range 100 {
		r := b.request(fmt.Sprint("more", i))
		r.Output, r.Deadline = 0, b.now+5*clock.Second
		b.submit(r)
	}
	require.Equal(t, fault.Overloaded, b.refused["more99"].Fault, "it knows by now how long an answer takes")
	require.Contains(t, b.granted, RequestID("more0"))
}

package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// A burst exceeds what the pool can finish before the deadlines. Without refusals the last requests
// would wait until their deadline for nothing; with a wrong retry time they would come back only to
// be refused again.
func TestBurstIsRefusedAtOnceWithAccurateRetry(t *testing.T) {
	b := newHarness(t, 1)
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
	require.Greater(t, b.refused["r399"].Retry, b.refused["r20"].Retry, "retry times differ")
	b.serve(nil, last.Retry)
	again := b.request("again")
	again.Deadline = b.now + 30*clock.Second
	b.submit(again)
	require.Zero(t, b.refused["again"].Retry, "retried after the given time")
	b.serve(nil, 40*clock.Second)
	require.Len(t, b.granted, admitted+1, "every admitted request was granted")
	require.Len(t, b.refused, 400-admitted)
}

// No upstream accepts work, or all slots stay taken. A queued request must be refused when it can
// no longer meet its deadline, not after the deadline.
func TestUnservableRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	b := newHarness(t, 1)
	r := b.request("r")
	r.Deadline = b.now + 30*clock.Second
	b.set(0, true)
	b.tick()
	b.submit(r)
	require.Equal(t, fault.Unavailable, b.refused["r"].Fault, "no upstream accepts work")

	b = newHarness(t, 1)
	for i := range 16 {
		b.submit(b.request(fmt.Sprint("r", i)))
		b.wait(1000)
		b.firstToken(fmt.Sprint("r", i))
	}
	r = b.request("late")
	r.Deadline = b.now + 20*clock.Second
	b.submit(r)
	require.NotContains(t, b.granted, RequestID("late"), "all slots are taken")
	b.wait(19 * clock.Second)
	require.Equal(t, fault.Expired, b.refused["late"].Fault)
	require.Empty(t, b.pool.Queue())
}

// Urgent requests (the lookups) arrive while every engine prefills prompts that take half a minute
// each. An urgent request must not wait for them.
func TestUrgentWorkDoesNotWaitBehindLongWork(t *testing.T) {
	b := newHarness(t, 8)
	for i := range 40 {
		r := b.request(fmt.Sprint("long", i))
		r.Urgency, r.Prompt, r.Deadline = 3, 350_000, b.now+clock.Minute*30
		b.submit(r)
	}
	for i := range 20 {
		r := b.request(fmt.Sprint("lookup", i))
		r.Urgency, r.Prompt, r.Deadline = 0, 1000, b.now+10*clock.Second
		b.submit(r)
		require.Contains(t, b.granted, r.ID, "granted in the tick of its arrival")
		b.wait(60)
		b.firstToken(string(r.ID))
	}
	b.serve(nil, 10*clock.Minute)
	require.Len(t, b.granted, 60, "long requests are not starved")
}

// Short requests arrive without pause and saturate the pool. An admitted request that is less
// urgent (the summary) must still be served before its deadline.
func TestAgingServesLessUrgentRequests(t *testing.T) {
	b := newHarness(t, 1)
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

// Two workspaces with weights one and two keep the same lane busy, the first with large requests,
// the second with small ones. The served tokens divided by the weight may differ by at most the sum
// of each workspace's longest request divided by its weight: the bound of start-time fair queueing.
func TestServiceDifferenceOfTwoBusyWorkspacesIsBounded(t *testing.T) {
	b := newHarness(t, 1)
	b.pool.SetWorkspace(b.now, Workspace{ID: "a", Weight: 1})
	b.pool.SetWorkspace(b.now, Workspace{ID: "b", Weight: 2})
	random := rand.New(rand.NewPCG(1, 2))
	sizes := map[RequestID]Tokens{}
	longest := map[WorkspaceID]Tokens{"a": 30_000, "b": 6_000}
	count := 0
	refill := func() {
		for _, w := range []WorkspaceID{"a", "b"} {
			for range 12 { // more than is served, so that both workspaces stay busy
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

// One workspace sends ten times as much as the others. The flood may delay its own requests, but
// not those of another workspace.
func TestFloodOfOneWorkspaceDelaysOnlyItself(t *testing.T) {
	b := newHarness(t, 2)
	for i := range 60 {
		b.submit(b.request(fmt.Sprint("flood", i)))
	}
	r := b.request("quiet")
	r.Workspace = "b"
	b.submit(r)
	submittedAt := b.now
	for b.granted["quiet"].ID == 0 {
		b.serve(nil, 100)
	}
	require.LessOrEqual(t, b.now-submittedAt, 3*clock.Second, "waits for one request, not for all of the flood")
	require.NotEmpty(t, b.pool.Queue())
}

// Prompts larger than the memory of two engines arrive together with smaller long prompts, so that
// three engines are never free by chance. If groups held some engines while waiting for others, two
// groups could deadlock.
func TestGroupsReserveAllOrNoneAndAllAreServed(t *testing.T) {
	b := newHarness(t, 6)
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
	b := newHarness(t, 2)
	r := b.request("r")
	r.Prompt = 900_000
	b.submit(r)
	require.Equal(t, fault.Oversize, b.refused["r"].Fault)
}

// One engine becomes four times slower, and its report, which lists few requests, makes it look
// idle. Clients placed on it wait four times as long.
func TestSlowUpstreamGetsFewerGrantsAndNoLongPrompt(t *testing.T) {
	b := newHarness(t, 6)
	slow := map[UpstreamID]float64{name(2): 4}
	for i := range 300 {
		b.submit(b.request(fmt.Sprint("r", i)))
		b.serve(slow, 300)
	}
	require.Greater(t, b.view(2).Slowdown, 3.0)
	require.Less(t, b.view(1).Slowdown, 1.5)
	onSlow := 0
	for _, id := range b.order[150:] {
		if b.granted[id].Upstreams[0] == name(2) {
			onSlow++
		}
	}
	require.Less(t, onSlow, 12, "of 150 grants, where an even share is 25")
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

// The load changes from short requests to long prompts and back. With a fixed boundary the engines
// reserved for long work would idle at some times and block short work at others.
func TestBoundaryFollowsTheMixSlowlyUpAndFastDown(t *testing.T) {
	b := newHarness(t, 12)
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
	simulate := func(seconds int, shortCount, longCount int) {
		for s := range seconds {
			count++
			for k := range shortCount {
				b.submit(b.request(fmt.Sprint("d", count, "-", k)))
			}
			if longCount > 0 && s%4 == 0 {
				r := b.request(fmt.Sprint("l", count))
				r.Urgency, r.Prompt, r.Deadline = 3, 300_000, b.now+20*clock.Minute
				b.submit(r)
			}
			b.serve(nil, 1000)
		}
	}
	simulate(60, 6, 0)
	few := long()
	require.LessOrEqual(t, few, 2)
	orders := len(b.orders)
	simulate(240, 2, 1)
	many := long()
	require.GreaterOrEqual(t, many, 5)
	require.LessOrEqual(t, len(b.orders)-orders, 240, "roles change at a bounded rate")
	simulate(240, 8, 0)
	require.LessOrEqual(t, long(), many-2)
	for _, v := range b.pool.Upstreams(b.now) {
		require.NotEmpty(t, v.Side)
	}
}

// A plain service has no KV memory and no prefill, and is limited only by its slots. Treated like
// an engine it would accept one large body at a time, or admit without limit.
func TestPlainServiceIsBoundedByItsSlots(t *testing.T) {
	b := newHarness(t, 0)
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
	require.Equal(t, fault.Overloaded, b.refused["more99"].Fault, "the duration of an answer is known by now")
	require.Contains(t, b.granted, RequestID("more0"))
}

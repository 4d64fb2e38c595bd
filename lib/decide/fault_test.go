package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

// The gate that streamed an answer crashes. The engine still holds the memory of the request; if
// the owner granted it again at once, the next long prompt would stall or be evicted.
func TestLapsedGrantKeepsMemoryUntilReportOmitsIt(t *testing.T) {
	b := newHarness(t, 1)
	r := b.request("r")
	r.Prompt = 390_000
	b.submit(r)
	b.now += 5001
	b.tick()
	require.Contains(t, b.lapsed, r.ID)
	require.False(t, b.pool.Renew(b.now, b.grant("r").ID), "its gate must stop")
	r.ID = "next"
	r.Deadline += clock.Minute
	b.submit(r)
	b.wait(10 * clock.Second)
	require.NotContains(t, b.granted, RequestID("next"))
	b.pool.Report(b.now, name(0), Report{At: b.now, Running: []RequestID{"r"}, Used: 390_100})
	b.wait(1000)
	require.Equal(t, 1, b.view(0).Orphans)
	b.pool.Report(b.now, name(0), Report{At: b.now})
	b.wait(1000)
	require.Contains(t, b.granted, RequestID("next"))
}

// A stream breaks, and the cancellation sent to the engine may have been lost too.
func TestFailedGrantLapsesOnceAndHoldsItsMemory(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(b.request("r"))
	b.finish("r", Failed)
	require.Contains(t, b.lapsed, RequestID("r"))
	require.Equal(t, Tokens(20_100), b.view(0).Reserved)
	b.lapsed = map[RequestID]Grant{}
	b.wait(10 * clock.Second)
	require.Empty(t, b.lapsed, "reported once")
	b.pool.Report(b.now, name(0), Report{At: b.now})
	require.Zero(t, b.view(0).Reserved)
}

// A request failed on the only engine of its failure domain that accepts work, and is retried with
// this engine excluded. If queued it would expire there, although the same model is idle in another
// failure domain.
func TestRetryIsRefusedWhenAllUpstreamsAreAvoided(t *testing.T) {
	b := newHarness(t, 2)
	b.set(1, true)
	r := b.request("r")
	r.Avoid = []UpstreamID{name(0)}
	b.submit(r)
	require.Equal(t, fault.Unavailable, b.refused[r.ID].Fault)
	b.set(1, false)
	r.ID = "again"
	b.submit(r)
	require.Equal(t, []UpstreamID{name(1)}, b.grant("again").Upstreams)
}

// The owner of the pool crashes and a new owner starts without its state. If it granted at once,
// the same memory would be granted twice.
func TestNewOwnerGrantsOnlyWhatReportsShowFree(t *testing.T) {
	b := newHarness(t, 2)
	b.pool = New(Config{Epoch: 3, Lease: 5000, Recovery: 3000})
	b.set(0, false)
	b.set(1, false)
	r := b.request("r")
	r.Prompt = 25_000
	b.submit(r)
	require.Empty(t, b.granted, "no reports yet")
	b.pool.Report(b.now, name(0), Report{At: b.now, Used: 380_000, Running: []RequestID{"old"}})
	b.pool.Report(b.now, name(1), Report{At: b.now, Used: 0})
	b.tick()
	require.Equal(t, []UpstreamID{name(1)}, b.grant("r").Upstreams)

	old := Grant{
		ID: 99, Epoch: 2, Request: "old", Workspace: "a", Gate: "g", Urgency: 3, Upstreams: []UpstreamID{name(0)},
		Reserved: 380_000, Prompt: 379_000, Output: 1000, Deadline: b.now + clock.Minute,
	}
	require.True(t, b.pool.Adopt(b.now, old))
	require.True(t, b.pool.Adopt(b.now, old), "renewed when presented again")
	require.Equal(t, Tokens(380_000), b.view(0).Reserved)
	b.wait(3000)
	b.pool.Finish(b.now, old.ID, Done)
	b.tick()
	require.Zero(t, b.view(0).Reserved)
	old.Epoch = 3
	require.False(t, b.pool.Adopt(b.now, old), "this owner's own grants that ended are not adopted")
}

// An upstream is being replaced. Work sent to it after its drain notice would be cut off.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(b.request("before"))
	lead := b.grant("before").Upstreams[0]
	b.pool.Report(b.now, lead, Report{At: b.now, Leaving: true, Running: []RequestID{"before"}, Used: 20_100})
	for i := range 20 {
		b.submit(b.request(fmt.Sprint("r", i)))
	}
	b.serve(nil, 30*clock.Second)
	require.Len(t, b.granted, 21)
	for _, id := range b.order[1:] {
		require.NotEqual(t, lead, b.granted[id].Upstreams[0])
	}
	require.Empty(t, b.lapsed, "running requests ended undisturbed")
}

// An engine crashed under several requests, any of which may be the cause. If a suspect ran beside
// other requests, its next crash would make them fail too.
func TestSuspectRunsAlone(t *testing.T) {
	b := newHarness(t, 2)
	for i := range 6 {
		b.submit(b.request(fmt.Sprint("r", i)))
	}
	s := b.request("suspect")
	s.Suspect, s.Avoid = true, []UpstreamID{name(1)}
	b.submit(s)
	require.NotContains(t, b.granted, s.ID)
	b.serve(nil, 20*clock.Second)
	require.Equal(t, name(0), b.grant("suspect").Upstreams[0])
	b = newHarness(t, 1)
	b.submit(s)
	b.submit(b.request("other"))
	b.wait(10 * clock.Second)
	require.NotContains(t, b.granted, RequestID("other"), "no other request runs beside the suspect")
	b.firstToken("suspect")
	b.finish("suspect", Done)
	require.Contains(t, b.granted, RequestID("other"))
}

// The answer to a gate's call was lost and the gate submits the request again. A second grant would
// run the request twice.
func TestSubmitTwiceGivesTheSameGrant(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(b.request("r"))
	g := b.grant("r")
	b.submit(b.request("r"))
	require.Equal(t, g.ID, b.grant("r").ID)
	require.Len(t, b.pool.Grants(), 1)
}

// Cache events are lost. If hints were still used after a gap, a prefix that was evicted could
// attract a long prompt to a busy engine without any saving.
func TestHintsAreDroppedAfterAGap(t *testing.T) {
	b := newHarness(t, 6)
	r := b.request("r")
	r.Prefixes = []PrefixHash{1, 2, 3, 4, 5}
	b.tick()
	b.pool.Hint(b.now, name(3), Hint{Seq: 1, Prefix: 5})
	b.submit(r)
	require.Equal(t, name(3), b.grant("r").Upstreams[0], "16,384 tokens are cached there")
	b.finish("r", Unused)
	b.pool.Hint(b.now, name(3), Hint{Seq: 3, Prefix: 9})
	r.ID = "s"
	b.submit(r)
	require.NotEqual(t, name(3), b.grant("s").Upstreams[0])
}

// An engine that has left ends its last streams and still reports its cache. A request with a cached prefix must not be
// granted there.
func TestRemovedUpstreamWithCachedPrefixGetsNoRequests(t *testing.T) {
	b := newHarness(t, 2)
	b.set(1, true)
	b.submit(b.request("running"))
	require.Equal(t, []UpstreamID{name(0)}, b.grant("running").Upstreams)
	b.pool.RemoveUpstream(b.now, name(0))
	b.set(1, false)
	b.pool.Hint(b.now, name(0), Hint{Seq: 1, Prefix: 5})
	r := b.request("next")
	r.Prompt, r.Prefixes = 2*PrefixBlock, []PrefixHash{5}
	b.submit(r)
	require.Equal(t, []UpstreamID{name(1)}, b.grant("next").Upstreams)
}

// A request crashes each engine that runs it. Its client sends it through several VMs at once, so
// that no gate sees the other copies.
func TestCopiesOfAPoisonRequestCrashAtMostTwoUpstreams(t *testing.T) {
	b := newHarness(t, 6)
	copyOf := func(id string) Request {
		r := b.request(id)
		r.Fingerprint = 7
		return r
	}
	b.submit(copyOf("first"))
	b.finish("first", Lost)
	for i := range 3 {
		b.submit(copyOf(fmt.Sprint("again", i)))
	}
	require.Len(t, b.granted, 2, "one copy at a time, though the gates did not mark it as a suspect")
	require.True(t, b.grant("again0").Suspect)
	b.finish("again0", Lost)
	b.submit(copyOf("late"))
	for _, id := range []RequestID{"again1", "again2", "late"} {
		require.Equal(t, fault.Quarantined, b.refused[id].Fault, id)
	}
	require.Len(t, b.granted, 2)
	b.now += crashRetention
	b.submit(copyOf("much later"))
	require.Len(t, b.granted, 3)
}

// An engine crashes under a stream that it has been writing for a while, and another one under its repeat: other requests
// crashed them.
func TestStreamThatLastedIsNotSuspected(t *testing.T) {
	b := newHarness(t, 6)
	r := b.request("r")
	r.Fingerprint = 7
	for i := range 4 {
		r.ID = RequestID(fmt.Sprint("r", i))
		b.submit(r)
		require.False(t, b.grant(string(r.ID)).Suspect)
		b.firstToken(string(r.ID))
		b.wait(blame.ProveTime)
		b.finish(string(r.ID), Lost)
	}
}

// Engines have crashed and refuse connections; requests that were refused by two of them have crashed nothing.
func TestRefusedConnectionsAccuseNobody(t *testing.T) {
	b := newHarness(t, 6)
	r := b.request("r")
	r.Fingerprint = 7
	for i := range 5 {
		r.ID = RequestID(fmt.Sprint("r", i))
		b.submit(r)
		require.False(t, b.grant(string(r.ID)).Suspect)
		b.finish(string(r.ID), Unreached)
	}
	require.Empty(t, b.refused)
	require.Zero(t, b.view(0).Reserved)
}

// All engines of a failure domain are leaving. If the pool looked idle, gates would send every
// request there first, only to be refused.
func TestPoolWithoutUpstreamsDoesNotLookIdle(t *testing.T) {
	p := New(Config{Epoch: 1, Lease: 5 * clock.Second})
	u := Upstream{ID: "engine-1", Memory: 100_000, Slots: 8, Prefill: 8000, Decode: 50}
	p.SetUpstream(0, u)
	require.Zero(t, p.Summary(0).Wait[1])
	u.Leaving = true
	p.SetUpstream(0, u)
	require.Equal(t, maxRetry, p.Summary(0).Wait[1])
	require.Equal(t, maxRetry, p.Summary(0).Long[1])
}

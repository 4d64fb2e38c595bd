package pool

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// ownerState is all that an owner and one of its pools hold, at a fixed time. The memory of the scheduler is compared in
// lib/decide.
type ownerState struct {
	epoch     decide.Epoch
	pools     map[peer.PoolID]*Pool
	waiters   map[decide.RequestID]int
	serials   map[decide.RequestID]uint64
	granted   map[decide.RequestID]liveGrant
	reports   map[decide.UpstreamID]decide.Report
	grants    []decide.Grant
	queue     []decide.QueuedRequest
	upstreams []decide.UpstreamView
	summary   decide.Summary
	next      clock.Milli
}

func stateOf(o *Owner, p *Pool, now clock.Milli) ownerState {
	s := ownerState{
		epoch: o.epoch, pools: maps.Clone(o.pools), waiters: map[decide.RequestID]int{}, serials: maps.Clone(p.serials),
		granted: maps.Clone(p.granted), reports: maps.Clone(p.reports),
		grants: p.scheduler.Grants(), queue: p.scheduler.Queue(), upstreams: p.scheduler.Upstreams(now), summary: p.scheduler.Summary(now),
		next: p.scheduler.Next(now),
	}
	for id, w := range p.waiters {
		s.waiters[id] = len(w)
	}
	return s
}

// An operator's question must neither open a pool, which sends orders to engines and reports a load to gates, nor leave a
// request in the queue of an open one.
func TestWhereChangesNothing(t *testing.T) {
	o := newTestOwner(t, 2)
	ask := func(id peer.PoolID, prompt decide.Tokens, queued decide.RequestID) (r peer.WhereReply) {
		x := decide.Request{Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: prompt, Output: 10}
		require.NoError(t, o.Where(peer.WhereArgs{Pool: id, Left: 20 * clock.Second, Request: x, Queued: queued}, &r))
		return r
	}
	require.Equal(t, decide.ReasonNoRoom, ask(testPool, 10, "").Explanation.Reason, "the engines of a pool that is opened now have not reported")
	require.Empty(t, o.Pools())

	g := acquireWhenReported(t, o)
	p := o.find(testPool)
	p.stop()
	time.Sleep(2 * maxTickInterval.Duration()) // the run loop has ended
	p.mu.Lock()
	now := o.clock.Now()
	before := stateOf(o, p, now)
	p.mu.Unlock()
	for i := range 20 {
		r := ask(testPool, decide.Tokens(i*20_000), "")
		require.True(t, r.Found)
		require.Equal(t, p.epoch, r.Epoch)
	}
	require.Equal(t, decide.ReasonTooLarge, ask(testPool, 300_000, "").Explanation.Reason)
	require.Equal(t, decide.ReasonRunning, ask(testPool, 0, g.Request).Explanation.Reason)
	require.False(t, ask(testPool, 0, "unknown").Found)
	p.mu.Lock()
	require.Equal(t, before, stateOf(o, p, now))
	p.mu.Unlock()

	o.HandOver()
	require.Equal(t, fault.Draining, ask(testPool, 10, "").Fault.Kind)
	require.Equal(t, fault.Draining, ask("drafter@desk", 10, "").Fault.Kind)
}

// acquireWhenReported gets a grant after the engines have reported that they are idle.
func acquireWhenReported(t *testing.T, o *Owner) decide.Grant {
	t.Helper()
	p, ok := o.open(testPool)
	require.True(t, ok)
	p.mu.Lock()
	now := o.clock.Now()
	for i := range 2 {
		id := decide.UpstreamID(fmt.Sprintf("engine-%d", i+1))
		p.reports[id] = decide.Report{At: now}
		p.scheduler.Report(now, id, p.reports[id])
	}
	p.mu.Unlock()
	return acquire(t, o)
}

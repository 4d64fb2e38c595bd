package pool

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// pausedOrders stands in for the daemon, which checks before each order whether the
// process was paused. Here the check always finds a pause.
type pausedOrders struct {
	owner *Owner
	done  chan struct{}
}

func (o *pausedOrders) Order(peer.PoolID, document.Upstream, decide.Order) {
	o.owner.DiscardPools()
	select {
	case o.done <- struct{}{}:
	default:
	}
}

// After a pause of the process, the first decision of a pool is an order to an engine.
// The check before the order detects the pause and discards all pools. If it ran under
// the lock of the pool it would deadlock, and the daemon would accept requests but never
// answer them.
func TestPauseDetectedBeforeOrderDoesNotDeadlock(t *testing.T) {
	o := newTestOwner(t, 1)
	od := &pausedOrders{owner: o, done: make(chan struct{}, 1)}
	o.orders = od
	p, ok := o.open(testPool)
	require.True(t, ok)
	go func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.execute(o.clock.Now(), decide.Decision{Action: decide.Ordered, Order: decide.Order{Upstream: "engine-1", Role: "long"}})
	}()
	select {
	case <-od.done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the order waits for a lock that its sender holds")
	}
}

// A gate renews a grant and then returns it, and the renewal arrives after the return.
// If the renewal made the grant live again, the pool would never be closed, and memory
// that the engine still uses for the request would never be freed.
func TestRenewalAfterReturnDoesNotReviveGrant(t *testing.T) {
	o := newTestOwner(t, 1)
	g := acquire(t, o)
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: g.ID, Request: g.Request, Outcome: decide.Done}, &peer.Empty{}))
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: g}}}, &peer.RenewReply{}))
	p := o.find(testPool)
	p.mu.Lock()
	require.False(t, p.hasGrantOn(g.Request, "engine-1"))
	p.mu.Unlock()
	o.SetOwned(nil)
	require.Empty(t, o.Pools())
}

// An owner is paused and discards its pools, and the gates present their live grants. The
// return of a grant from before the pause must not end a grant from after it: the
// engine would be sent a prompt for which it has no memory.
func TestReturnFromBeforePauseDoesNotEndNewGrant(t *testing.T) {
	o := newTestOwner(t, 2)
	old := acquire(t, o)
	o.DiscardPools()
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: old}}}, &peer.RenewReply{}))
	require.Len(t, o.find(testPool).Status().Grants, 1, "a running request has its grant again")
	r := decide.Request{ID: "vm-1.1.1.2", Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r}, &reply))
	require.Nil(t, reply.Fault)
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: old.ID, Request: old.Request, Outcome: decide.Done}, &peer.Empty{}))
	left := o.find(testPool).Status().Grants
	require.Len(t, left, 1)
	require.Equal(t, reply.Grant.ID, left[0].ID)
}

// The owner of a pool crashes, and its successor is a VM that started before it. If the
// successor did not adopt the grants, which have a higher epoch than its own, it would
// count their memory as free and overload the engines.
func TestSuccessorThatStartedEarlierAdoptsGrants(t *testing.T) {
	o := newTestOwner(t, 1)
	o.open(testPool)
	g := decide.Grant{ID: 1 << 40, Epoch: decide.Epoch(o.clock.Now() + clock.Minute), Request: "vm-2.1.1.1", Upstreams: []decide.UpstreamID{"engine-1"}, Reserved: 10, Prompt: 10, Deadline: clock.Minute}
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: g}}}, &peer.RenewReply{}))
	require.Len(t, o.find(testPool).Status().Grants, 1)
}

// A gate calls a pool while this VM, which does not own it, is closing it. The call must
// be redirected to the next owner at once; queued here, it would wait until its deadline.
func TestAcquireOfPoolBeingClosedIsRedirected(t *testing.T) {
	o := newTestOwner(t, 1)
	p, ok := o.open(testPool)
	require.True(t, ok)
	o.SetOwned(nil)
	r := decide.Request{ID: "vm-1.1.1.1", Workspace: "wards", Prompt: 10, Output: 10}
	reply := p.acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r})
	require.NotNil(t, reply.Fault)
	require.Equal(t, fault.Draining, reply.Fault.Kind)
}

// partlyUnresponsiveEngines implements Engines; the engines at the addresses in
// unresponsive do not answer.
type partlyUnresponsiveEngines struct {
	unreachableEngines
	unresponsive map[string]bool
}

func (m partlyUnresponsiveEngines) Load(_ context.Context, address string) (engine.Load, error) {
	if m.unresponsive[address] {
		return engine.Load{}, errNoAnswer
	}
	return engine.Load{}, nil
}

// The VM of an engine is down. The engine has no grants and looks idle, so every request
// would be placed there first and wait for a connection attempt to time out.
func TestEngineThatDoesNotAnswerGetsNoWork(t *testing.T) {
	o := newTestOwner(t, 2)
	m := partlyUnresponsiveEngines{unresponsive: map[string]bool{"127.0.0.1:1": true, "127.0.0.1:2": true}}
	o.engines = m
	p := newPool(o, testPool, 1)
	o.pools[testPool] = p
	leaving := func() (n int) {
		for _, v := range p.Status().Upstreams {
			if v.Leaving {
				n++
			}
		}
		return n
	}
	after := map[decide.UpstreamID]uint64{}
	for range 2 * missedPollLimit {
		p.pollOnce(after)
	}
	require.Zero(t, leaving(), "no engine answers, so the owner itself may be cut off")
	delete(m.unresponsive, "127.0.0.1:2")
	for range missedPollLimit {
		p.pollOnce(after)
	}
	require.Equal(t, 1, leaving())
	require.True(t, p.Status().Upstreams[0].Leaving)
	delete(m.unresponsive, "127.0.0.1:1")
	p.pollOnce(after)
	require.Zero(t, leaving(), "an engine that answers again gets work at once")
}

// A gate withdraws an Acquire call to a paused owner and calls again, and the owner then
// processes the two in the wrong order. If the withdrawal applied to the newer call, a
// waiting client would get a canceled fault, and the memory of the new grant would be
// freed while its request is running.
func TestLateWithdrawalDoesNotEndNewerAcquire(t *testing.T) {
	o := newTestOwner(t, 1)
	r := decide.Request{ID: "vm-1.1.1.1", Workspace: "wards", Urgency: 1, Prompt: 10, Output: 10}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Serial: 2, Left: 20 * clock.Second, Request: r}, &reply))
	require.Nil(t, reply.Fault)
	p := o.find(testPool)
	require.NoError(t, o.Withdraw(peer.WithdrawArgs{Pool: testPool, Request: r.ID, Serial: 1}, &peer.Empty{}))
	require.Len(t, p.Status().Grants, 1)
	require.NoError(t, o.Withdraw(peer.WithdrawArgs{Pool: testPool, Request: r.ID, Serial: 2}, &peer.Empty{}))
	require.Empty(t, p.Status().Grants)
	require.Empty(t, p.serials)
}

// hungEngines implements Engines; its Cancel calls are never answered.
type hungEngines struct{ unreachableEngines }

func (hungEngines) Cancel(ctx context.Context, _ string, _ decide.RequestID) error {
	<-ctx.Done()
	return ctx.Err()
}

type gatesWithoutRequests struct{}

func (gatesWithoutRequests) Evidence(_ context.Context, ids []decide.RequestID) map[decide.RequestID]Evidence {
	out := map[decide.RequestID]Evidence{}
	for _, id := range ids {
		out[id] = NotHeld
	}
	return out
}

// A gate crashes that has many requests on a paused engine. If they were cancelled in
// sequence, the pool would fetch no reports for a minute, and memory that becomes free on
// the other engines would not be granted again meanwhile.
func TestFrozenEngineDoesNotStopPolling(t *testing.T) {
	o := newTestOwner(t, 1)
	o.engines, o.gates = hungEngines{}, gatesWithoutRequests{}
	p := newPool(o, testPool, 1)
	var orphans []orphan
	for i := range 20 {
		s := orphan{request: peer.Origin{VM: "vm-9", Incarnation: 1, Count: uint64(i)}.ID()}
		orphans = append(orphans, s)
		p.orphanSince[s.request] = o.clock.Now() - orphanGrace
	}
	start := time.Now()
	p.freeOrphans(orphans)
	require.Less(t, time.Since(start), 5*pollTimeout)
}

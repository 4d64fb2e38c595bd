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

// pausedOrders stands for the daemon, which looks for a pause before each order.
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

// A daemon is frozen and thawed, and the first thing that its pool decides is an
// order to an engine. The look before the order finds the pause and gives all pools
// up. A user would see the daemon accept requests and answer none, for good.
func TestPauseFoundBeforeAnOrderLocksNothingUp(t *testing.T) {
	o := newTestOwner(t, 1)
	od := &pausedOrders{owner: o, done: make(chan struct{}, 1)}
	o.orders = od
	p, ok := o.open(testPool)
	require.True(t, ok)
	go func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.carry(o.clock.Now(), decide.Decision{Action: decide.Ordered, Order: decide.Order{Upstream: "engine-1", Role: "long"}})
	}()
	select {
	case <-od.done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the order waits for a lock that its sender holds")
	}
}

// A gate returns a grant, and its renewal of a moment before arrives after it. Were
// the grant taken for live again, the pool would be kept open for good, and what the
// engine still holds for the request would never be freed.
func TestRenewalAfterTheReturnRevivesNothing(t *testing.T) {
	o := newTestOwner(t, 1)
	g := ask(t, o)
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: g.ID, Request: g.Request, Outcome: decide.Done}, &peer.Empty{}))
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: g}}}, &peer.RenewReply{}))
	p := o.find(testPool)
	p.mu.Lock()
	require.False(t, p.explained(g.Request, "engine-1"))
	p.mu.Unlock()
	o.SetOwned(nil)
	require.Empty(t, o.Pools())
}

// An owner stands still, forgets its pools, and its gates present what runs. A grant
// from before the pause must not end one from after it: its engine would get a prompt
// for which it has no memory.
func TestReturnFromBeforeAPauseEndsNoNewGrant(t *testing.T) {
	o := newTestOwner(t, 2)
	old := ask(t, o)
	o.DiscardPools()
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: old}}}, &peer.RenewReply{}))
	require.Len(t, o.find(testPool).Status().Grants, 1, "what runs is in the books again")
	r := decide.Request{ID: "vm-1.1.1.2", Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r}, &reply))
	require.Nil(t, reply.Fault)
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: old.ID, Request: old.Request, Outcome: decide.Done}, &peer.Empty{}))
	left := o.find(testPool).Status().Grants
	require.Len(t, left, 1)
	require.Equal(t, reply.Grant.ID, left[0].ID)
}

// A VM that started late owns a pool and dies; one that started earlier succeeds it.
// Were the grants of the later life not taken over, the successor would count their
// memory as free and crowd the engines.
func TestSuccessorThatStartedEarlierTakesGrantsOver(t *testing.T) {
	o := newTestOwner(t, 1)
	o.open(testPool)
	g := decide.Grant{ID: 1 << 40, Epoch: decide.Epoch(o.clock.Now() + clock.Minute), Request: "vm-2.1.1.1", Upstreams: []decide.UpstreamID{"engine-1"}, Reserved: 10, Prompt: 10, Deadline: clock.Minute}
	require.NoError(t, o.Renew(peer.RenewArgs{Pool: testPool, Grants: []peer.Progress{{Grant: g}}}, &peer.RenewReply{}))
	require.Len(t, o.find(testPool).Status().Grants, 1)
}

// A pool that this VM does not own is closed just as a gate asks it. The request
// must go to the next owner at once and not wait for an answer until its deadline.
func TestQuestionToAPoolThatIsBeingClosed(t *testing.T) {
	o := newTestOwner(t, 1)
	p, ok := o.open(testPool)
	require.True(t, ok)
	o.SetOwned(nil)
	r := decide.Request{ID: "vm-1.1.1.1", Workspace: "wards", Prompt: 10, Output: 10}
	reply := p.acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r})
	require.NotNil(t, reply.Fault)
	require.Equal(t, fault.Draining, reply.Fault.Kind)
}

// mute are engines of which those at some addresses do not answer.
type mute struct {
	absent
	silent map[string]bool
}

func (m mute) Load(_ context.Context, address string) (engine.Load, error) {
	if m.silent[address] {
		return engine.Load{}, errAbsent
	}
	return engine.Load{}, nil
}

// An engine's VM is gone. Its engine holds no grant and looks idle, so every request
// would be placed there first and wait for a dial that nobody answers.
func TestEngineThatDoesNotAnswerGetsNoWork(t *testing.T) {
	o := newTestOwner(t, 2)
	m := mute{silent: map[string]bool{"127.0.0.1:1": true, "127.0.0.1:2": true}}
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
	for range 2 * awayAfter {
		p.look(after)
	}
	require.Zero(t, leaving(), "an owner that reaches no engine may be cut off itself")
	delete(m.silent, "127.0.0.1:2")
	for range awayAfter {
		p.look(after)
	}
	require.Equal(t, 1, leaving())
	require.True(t, p.Status().Upstreams[0].Leaving)
	delete(m.silent, "127.0.0.1:1")
	p.look(after)
	require.Zero(t, leaving(), "one that answers gets work at once")
}

// An owner stands still, its gate takes the question back and asks again, and on waking
// the owner reads the two in the wrong order. A caller that waits would be told that it
// went away, and what runs under the new grant would lose its memory.
func TestLateWithdrawalLeavesTheNewerQuestionAlone(t *testing.T) {
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
	require.Empty(t, p.asked)
}

// frozen are engines that take every order and answer none.
type frozen struct{ absent }

func (frozen) Cancel(ctx context.Context, _ string, _ decide.RequestID) error {
	<-ctx.Done()
	return ctx.Err()
}

type goneGates struct{}

func (goneGates) Evidence(_ context.Context, ids []decide.RequestID) map[decide.RequestID]Evidence {
	out := map[decide.RequestID]Evidence{}
	for _, id := range ids {
		out[id] = NotHeld
	}
	return out
}

// A gate dies with many requests on an engine that stands still. Cancelled one after the
// other, they would keep the whole pool blind for a minute: no report is read meanwhile,
// so nobody's memory is given back on the other engines either.
func TestFrozenEngineDoesNotBlindThePool(t *testing.T) {
	o := newTestOwner(t, 1)
	o.engines, o.gates = frozen{}, goneGates{}
	p := newPool(o, testPool, 1)
	var strays []stray
	for i := range 20 {
		s := stray{request: peer.Origin{VM: "vm-9", Incarnation: 1, Count: uint64(i)}.ID()}
		strays = append(strays, s)
		p.seen[s.request] = o.clock.Now() - unexplained
	}
	start := time.Now()
	p.reap(strays)
	require.Less(t, time.Since(start), 5*pollTimeout)
}

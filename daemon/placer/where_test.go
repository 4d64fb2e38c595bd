package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/peer"
)

// where asks for a request like those of ask.
func (d *deployment) where(t *testing.T) (WhereReply, error) {
	t.Helper()
	reply, err := d.client.Where(context.Background(), "s", ask("where"), "")
	require.True(t, reply.Found)
	return reply, err
}

// settle has a request served, after which the owner knows the load of its upstreams.
func (d *deployment) settle(t *testing.T) {
	t.Helper()
	_, err := d.client.Ask(context.Background(), "s", ask("first"))
	require.NoError(t, err)
	d.note(t, NoteArgs{Service: "s", Request: "first", Event: Ended, Outcome: span.Done})
}

func poolsOf(o *Owner) int { o.mu.Lock(); defer o.mu.Unlock(); return len(o.pools) }

// ownerState is the whole state of an owner.
type ownerState struct {
	pool                               *span.Pool
	generation                         uint64
	lastAsk                            clock.Milli
	countedGates, waiters, undelivered int
	ticking, polling, hasStandbys      bool
}

// state returns the state of the pool of a VM. What a question changes in the pool would show in a copy of it.
func (d *deployment) state(vm peer.VM) ownerState {
	o := d.owners[string(vm)]
	o.mu.Lock()
	p := o.pools["s"]
	o.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ownerState{p.pool.Copy(), p.generation, p.lastAsk, len(p.countedGates), len(p.waiters), len(p.undelivered), p.ticking, p.polling, p.hasStandbys}
}

// The operator's question must not change what the owner decides on later, even where the VM that is asked knows of statements
// that the owner has not heard.
func TestWhereChangesNothing(t *testing.T) {
	d := newDeployment(t)
	d.settle(t)
	d.client.RecordStatement("s", "e0", statement.Statement{Kind: statement.Leaving, Named: true, Gate: "gate", At: testClock{}.Now()})
	d.client.RecordStatement("s", "e1", statement.Statement{Kind: statement.BackOff, Named: true, Gate: "other", At: testClock{}.Now(), Until: testClock{}.Now() + clock.Minute})
	owner := d.ranked[0].VM
	require.Eventually(t, func() bool { return !d.state(owner).polling }, 5*time.Second, time.Millisecond)
	before := d.state(owner)
	live := d.client.Live()
	for range 3 {
		reply, err := d.where(t)
		require.NoError(t, err)
		// A back-off of one gate keeps others away for a moment.
		require.Equal(t, []span.Other{{Upstream: "e0", Against: span.ObstacleLeaving}, {Upstream: "e1", Against: span.ObstacleExcluded}}, reply.Explanation.Others)
	}
	require.Equal(t, before, d.state(owner))
	require.Equal(t, live, d.client.Live())
	for vm, o := range d.owners {
		if vm != string(owner) {
			require.Zero(t, poolsOf(o), "no pool is created for a question")
		}
	}
}

func TestWhereIsAnsweredByOwner(t *testing.T) {
	d := newDeployment(t)
	d.settle(t)
	reply, err := d.where(t)
	require.NoError(t, err)
	require.Equal(t, d.ranked[0].VM, reply.VM)
	require.Positive(t, reply.Epoch)
	placed, err := d.client.Ask(context.Background(), "s", ask("next"))
	require.NoError(t, err)
	require.Equal(t, placed.Grant.Leader, reply.Explanation.Decision.Grant.Leader)
	running, err := d.client.Where(context.Background(), "s", span.Ask{}, "next")
	require.NoError(t, err)
	require.Equal(t, placed.Grant, running.Explanation.Decision.Grant)
	unknown, err := d.client.Where(context.Background(), "s", span.Ask{}, "unknown")
	require.NoError(t, err)
	require.False(t, unknown.Found)
}

// Without the owner's answer the operator would learn nothing, or wait for as long as the owner hangs.
func TestWhereWithoutOwnerIsAnsweredByVMThatWasAsked(t *testing.T) {
	for name, fail := range map[string]func(*deployment) map[string]bool{
		"refusing": func(d *deployment) map[string]bool { return d.refusing },
		"hanging":  func(d *deployment) map[string]bool { return d.hanging },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t)
				d.fail(fail(d), d.ranked[0].Address)
				began := time.Now()
				reply, err := d.where(t)
				require.Error(t, err)
				require.Less(t, time.Since(began), time.Second)
				require.Equal(t, d.ranked[len(d.ranked)-1].VM, reply.VM)
				require.Zero(t, reply.Epoch)
				require.Zero(t, poolsOf(d.localOwner))
			})
		})
	}
}

// A new owner decides nothing until gates have presented their grants: it must not be shown as one with empty upstreams.
func TestWhereTellsThatOwnerGathers(t *testing.T) {
	o := newOwner(t, "e0", "e1")
	p := o.lockedPool("s")
	p.pool.AssumeVerified(decide.UpstreamID("e0"))
	p.gathering = true
	p.mu.Unlock()
	var reply WhereReply
	require.NoError(t, o.Where(&WhereArgs{Query: AskArgs{Service: "s", Ask: wireAsk("1")}}, &reply))
	require.Equal(t, span.Explanation{Reason: Gathering}, reply.Explanation)
}

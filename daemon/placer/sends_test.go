package placer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/peer"
)

// retries asks for a number of retries at once, as the streams of a crashed engine do, and returns how
// many were granted.
func (d *deployment) retries(t *testing.T, name string, n int) (granted int) {
	t.Helper()
	for i := range n {
		a := ask(decide.RequestID(fmt.Sprint(name, i)))
		a.Again = true
		reply, err := d.client.Ask(context.Background(), "s", a)
		require.NoError(t, err)
		if reply.Fault == "" {
			granted++
			d.client.End(a.ID, span.Done, "")
		}
	}
	return granted
}

// newSettledDeployment returns a deployment whose owner has had its whole retry budget for long.
func newSettledDeployment(t *testing.T) *deployment {
	d := newDeployment(t)
	p := d.owners[d.ranked[0].Address].lockedPool("s")
	p.budget.GrowFrom(0)
	p.mu.Unlock()
	return d
}

// testFloor is the floor of the retry budget of an owner in these tests.
const testFloor = 10

// An engine crashes soon after the owner of its service was lost, and the streams that it was running
// break off unless the new owner allows their retries.
func TestNewOwnerGrantsRetriesAfterLoss(t *testing.T) {
	d := newDeployment(t)
	require.Equal(t, 1, d.retries(t, "before", 1))
	d.fail(d.refusing, d.ranked[0].Address)
	require.GreaterOrEqual(t, d.retries(t, "after", testFloor), testFloor-2)
}

// Owners are lost one after the other while engines fail. If each new owner granted a whole budget, the
// failing engines would get several times the permitted retries.
func TestConsecutiveOwnersShareOneRetryBudget(t *testing.T) {
	d := newSettledDeployment(t)
	granted := d.retries(t, "first", 2*testFloor)
	require.Equal(t, testFloor, granted)
	for i, lost := range d.ranked[:2] {
		d.fail(d.refusing, lost.Address)
		granted += d.retries(t, fmt.Sprint("next", i), 2*testFloor)
	}
	require.LessOrEqual(t, granted, testFloor+1, "one more may fade out in the meantime")
}

// changingMembers is a member list that a test replaces.
type changingMembers struct {
	self peer.Member
	live atomic.Pointer[[]peer.Member]
}

// changingHolder returns the first owner in rank with its member list.
func (d *deployment) changingHolder() (*Owner, *changingMembers) {
	h, list := d.owners[d.ranked[0].Address], &changingMembers{self: d.ranked[0]}
	list.set(d.ranked)
	h.Members, h.Holders.members = list, list
	return h, list
}

func (c *changingMembers) set(live []peer.Member) { c.live.Store(&live) }
func (c *changingMembers) Live() []peer.Member    { return *c.live.Load() }
func (c *changingMembers) Self() peer.Member      { return c.self }
func (c *changingMembers) Lost() int              { return 0 }
func (c *changingMembers) Position() int          { return 0 }

// The owner stops as planned just before an engine crashes. Its successor must allow the retries that
// the owner would have allowed, and no more.
func TestPlannedSuccessorContinuesRetryBudget(t *testing.T) {
	d := newSettledDeployment(t)
	holder, list := d.changingHolder()
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	granted := d.retries(t, "before", 2)
	list.set(d.ranked[1:]) // a VM that stops is not ranked
	holder.HandOver(context.Background())
	require.False(t, holder.Holders.Holds("s"))
	granted += d.retries(t, "after", 2*testFloor)
	require.InDelta(t, testFloor, granted, 1)
}

package share

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// ask is a waiting request.
type ask struct {
	workspace decide.WorkspaceID
	tokens    decide.Tokens
}

func (x ask) flow() (decide.WorkspaceID, decide.Tokens) { return x.workspace, x.tokens }

// serve grants n requests of workspaces that always have one of 100 tokens waiting, one each
// millisecond, and returns the tokens by workspace.
func serve(a *Account, now clock.Milli, n int, ids ...decide.WorkspaceID) map[decide.WorkspaceID]decide.Tokens {
	got := map[decide.WorkspaceID]decide.Tokens{}
	for i := range n {
		a.Update(now+clock.Milli(i), ids)
		var asks []ask
		for _, id := range ids {
			asks = append(asks, ask{id, 100})
		}
		Order(a, asks, ask.flow)
		a.Charge(now+clock.Milli(i), asks[0].workspace, asks[0].tokens)
		got[asks[0].workspace] += asks[0].tokens
	}
	return got
}

// A workspace of weight 3 waits beside one of weight 1. Without weights both would get half.
func TestTokensFollowWeights(t *testing.T) {
	a := New(map[decide.WorkspaceID]float64{"x": 3})
	got := serve(a, 0, 400, "x", "y")
	require.InDelta(t, 30_000, int(got["x"]), 200)
	require.InDelta(t, 10_000, int(got["y"]), 200)
}

// A workspace was idle while another one used all capacity. If it were owed its unused share, it
// would now keep the other one waiting; if it had to wait for its share, it would get less.
func TestIdleWorkspaceStartsAtCurrentVirtualTime(t *testing.T) {
	a := New(nil)
	serve(a, 0, 1000, "x")
	got := serve(a, 1000, 200, "x", "y")
	require.InDelta(t, 10_000, int(got["y"]), 200)
}

// A workspace received capacity that another one, waiting, could not use. It must not wait for all
// of that, only for about a second.
func TestLeadIsBounded(t *testing.T) {
	a := New(nil)
	for i := range clock.Milli(10_000) {
		a.Update(i, []decide.WorkspaceID{"x", "y"})
		a.Charge(i, "x", 100)
	}
	got := serve(a, 10_000, 2000, "x", "y")
	require.Greater(t, got["x"], decide.Tokens(50_000))
}

// One workspace has ten requests waiting, another one has one that came last. Behind all of the
// others it would wait for capacity that is its own. Ties keep the order of the queue.
func TestOrderInterleavesWorkspaces(t *testing.T) {
	a := New(nil)
	var asks []ask
	for i := range 10 {
		asks = append(asks, ask{"x", decide.Tokens(100 + i)})
	}
	asks = append(asks, ask{"y", 500})
	Order(a, asks, ask.flow)
	require.Equal(t, []ask{{"x", 100}, {"y", 500}, {"x", 101}}, asks[:3])
}

// A successor without the leads of its predecessor would serve the workspace first that has just
// received most.
func TestSuccessorContinuesAccount(t *testing.T) {
	before, after := New(nil), New(nil)
	before.Update(0, []decide.WorkspaceID{"x", "y"})
	before.Charge(0, "x", 1000)
	after.Charge(0, "x", 1000) // presented by a gate before the snapshot arrived
	after.Restore(0, before.Snapshot(0))
	after.Update(0, []decide.WorkspaceID{"x", "y"})
	require.True(t, after.Exceeds("x"))
	require.False(t, after.Exceeds("y"))
	require.InDelta(t, 500, after.Usages()[1].Lag, 1)
}

// A document that names new workspaces each hour must grow neither the account nor the metrics
// without bound.
func TestIdleWorkspacesAreRemoved(t *testing.T) {
	a := New(nil)
	for i := range clock.Milli(3 * maxRows) {
		id := decide.WorkspaceID(fmt.Sprint(i))
		a.Update(i, []decide.WorkspaceID{id})
		a.Charge(i, id, 10)
	}
	require.LessOrEqual(t, len(a.rows), maxRows)
	require.Len(t, a.Usages(), MaxUsages)
}

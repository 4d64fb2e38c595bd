package placer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// An owner that spreads although it knows all grants would take engines from long prompts; one that is
// not told to must never.
func TestSpreadOnlyWithLimitedKnowledge(t *testing.T) {
	d := newDeployment(t)
	o := d.localOwner
	alone := false
	o.Alone = func() bool { return alone }
	args := &AskArgs{Service: "s"}
	require.False(t, o.limitedKnowledge(args))
	args.Local = true
	require.True(t, o.limitedKnowledge(args), "a gate that reaches no owner")
	args.Local, alone = false, true
	require.True(t, o.limitedKnowledge(args), "a VM that knows no other")
	o.Members = lossy{o.Members}
	alone = false
	require.True(t, o.limitedKnowledge(args), "an owner that has lost members")
}

// VMs that all had the same rank would choose the same upstreams.
func TestRankReachesThePool(t *testing.T) {
	ids := make([]decide.UpstreamID, 8)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprintf("e%d", i))
	}
	first := func(rank int) decide.UpstreamID {
		o := ownerAt(t, ranked{lossy{members{{VM: "self", Address: "self"}}}, rank}, &network{}, ids...)
		o.Spread = true
		var reply AskReply
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r1"), Wait: 200}, &reply))
		return reply.Grant.Leader.Upstream
	}
	require.NotEqual(t, first(0), first(1))
	require.Equal(t, first(1), first(1))
	_, known := ownerAt(t, members{{VM: "self", Address: "self"}}, &network{}, ids...).rank()
	require.False(t, known, "a VM whose members are all forgotten")
}

// ranked has a position of its own.
type ranked struct {
	Members
	rank int
}

func (r ranked) Position() int { return r.rank }

// lossy reports one lost member.
type lossy struct{ Members }

func (lossy) Lost() int { return 1 }

// A setting that is read but does not reach the pools would change nothing without notice.
func TestSpreadReachesThePool(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := ownerAt(t, lossy{members{{VM: "self", Address: "self"}}}, &network{}, "e0", "e1")
		o.Spread = on
		var reply AskReply
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r1"), Wait: 200}, &reply))
		require.Equal(t, on, reply.Reason == "balanced", reply.Reason)
		require.Zero(t, o.OverrunIdle()["s"])
	}
}

package placer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/holder"
	"snipeshift.example/lib/peer"
)

// halfAnswered are peers that answer probes but answer queries too late: the reply is partly
// decoded when the call times out.
type halfAnswered struct{}

func (halfAnswered) Call(ctx context.Context, _, _ string, _, reply any) error {
	if r, ok := reply.(*AskReply); ok {
		r.Decided = true
	}
	<-ctx.Done()
	return ctx.Err()
}

func (halfAnswered) Probe(context.Context, string) error { return nil }

// A forwarded query times out while its late answer is still being decoded. If the partial reply
// were used, the gate would receive a placement that the holder did not grant.
func TestLateAnswerOfForwardedQueryIsIgnored(t *testing.T) {
	self, far := peer.Member{VM: "self", Address: "self"}, peer.Member{VM: "far", Address: "far"}
	o := ownerAt(t, viewOf{members{far, self}, self}, halfAnswered{}, "e0")
	o.Holders.Update(holder.NewHolder("s", far, 1), "test")
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: ask("1"), Epoch: 1}, &reply))
	require.False(t, reply.Decided)
	require.False(t, o.Holders.Holds("s"), "the holder answers probes and stays the holder")
}

// slowTake is a network that calls the function during while the message of a hand-over is under way.
type slowTake struct {
	*network
	during func()
}

func (n slowTake) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == Name+".Take" {
		n.during()
	}
	return n.network.Call(ctx, address, method, args, reply)
}

// The owner stops as planned under load. Grants that it made after it had written the snapshot for its
// successor would be unknown there, and engines would get more than their slots and limits.
func TestNothingIsGrantedDuringHandOver(t *testing.T) {
	d := newDeployment(t)
	h, list := d.changingHolder()
	var reply AskReply
	h.Peers = slowTake{d.network, func() {
		require.NoError(t, h.Ask(&AskArgs{Service: "s", Ask: wireAsk("2"), Wait: 20, Epoch: 1}, &reply))
	}}
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	list.set(d.ranked[1:])
	h.HandOver(context.Background())
	require.False(t, h.Holders.Holds("s"))
	require.False(t, reply.Decided)
}

// Heartbeats go to several VMs each second. If each named the holders of all services, these names would be
// most of what a fleet at rest sends. A VM that knows others, or an earlier version, must still be told.
func TestHoldersAreSentOnlyToVMsThatKnowOthers(t *testing.T) {
	self, far := peer.Member{VM: "self", Address: "self"}, peer.Member{VM: "far", Address: "far"}
	a := ownerAt(t, viewOf{members{far, self}, self}, &network{}, "e0").Holders
	b := ownerAt(t, viewOf{members{self, far}, far}, &network{}, "e0").Holders
	beat := func(from, to *Holders, m, receiver peer.Member) int {
		args := peer.BeatArgs{From: m}
		from.Fill(receiver.VM, &args)
		to.Learn(&args, 0)
		return len(args.Holders)
	}
	a.Update(holder.NewHolder("s", self, 1), "test")
	require.Equal(t, 1, beat(a, b, self, far), "nothing is known of the other VM")
	require.Zero(t, beat(b, a, far, self), "the heartbeat showed that it knows the same")
	require.Zero(t, beat(a, b, self, far))
	a.Update(holder.NewHolder("s", far, 2), "test")
	require.Equal(t, 1, beat(a, b, self, far))
	a.Learn(&peer.BeatArgs{From: far}, 0) // an earlier version sends no digest
	require.Equal(t, 1, beat(a, b, self, far))
}

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

package placer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/holder"
	"snipeshift.example/lib/peer"
)

// halfAnswered are peers that are alive and whose answers to questions come too late: a part of each is decoded when the call is given up.
type halfAnswered struct{}

func (halfAnswered) Call(ctx context.Context, _, _ string, _, reply any) error {
	if r, ok := reply.(*AskReply); ok {
		r.Decided = true
	}
	<-ctx.Done()
	return ctx.Err()
}

func (halfAnswered) Probe(context.Context, string) error { return nil }

// A forwarded question's answer comes after it was given up, and its caller would be granted a place that nobody granted.
func TestAnAnswerThatComesTooLateIsNotRead(t *testing.T) {
	self, far := peer.Member{VM: "self", Address: "self"}, peer.Member{VM: "far", Address: "far"}
	o := ownerAt(t, at{members{far, self}, self}, halfAnswered{}, "e0")
	o.Holders.Update(holder.NewHolder("s", far, 1), "test")
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: ask("1"), Epoch: 1}, &reply))
	require.False(t, reply.Decided)
	require.False(t, o.Holders.Holds("s"), "the holder lives and stays the holder")
}

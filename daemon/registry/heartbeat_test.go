package registry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// heldHeartbeats is a member.Caller and member.Seeds whose calls reach nobody: a test takes the heartbeats and delivers
// them when it likes.
type heldHeartbeats chan *peer.BeatArgs

var errHeld = errors.New("held up")

func (h heldHeartbeats) Call(ctx context.Context, _, _ string, args, _ any) error {
	select {
	case h <- args.(*peer.BeatArgs):
	case <-ctx.Done():
	}
	return errHeld
}

func (heldHeartbeats) Seeds(context.Context) []string { return nil }

// heartbeatHarness is a VM whose registry sends and receives heartbeats.
type heartbeatHarness struct {
	*harness
	members  *member.Members
	receiver *member.Receiver
	sent     heldHeartbeats
}

func newHeartbeatHarness(t *testing.T, name peer.VM, c *manualClock) *heartbeatHarness {
	t.Helper()
	h := &heartbeatHarness{harness: newHarness(t), sent: make(heldHeartbeats)}
	h.clock, h.Registry.clock = c, c
	self := peer.Member{VM: name, Incarnation: peer.Incarnation(len(name)), Address: string(name)}
	h.members = member.New(self, member.RelayRules, h.sent, h.sent, c)
	h.members.Add(h.Registry)
	h.receiver = member.NewReceiver(h.members, nil)
	return h
}

// meet has another VM answer a heartbeat of this one, so that both know each other.
func (h *heartbeatHarness) meet(other *heartbeatHarness) {
	h.t.Helper()
	var reply peer.BeatArgs
	require.NoError(h.t, other.receiver.Beat(&peer.BeatArgs{From: h.members.Self()}, &reply))
	require.NoError(h.t, h.receiver.Beat(&reply, &peer.BeatArgs{}))
}

// next returns the next heartbeat that the VM sends, without delivering it.
func (h *heartbeatHarness) next() *peer.BeatArgs {
	h.t.Helper()
	select {
	case b := <-h.sent:
		return b
	case <-time.After(5 * time.Second):
		require.Fail(h.t, "no heartbeat is sent")
		return nil
	}
}

// A cut holds a heartbeat up, and it is delivered as the cut heals. If its ages counted from its arrival, the VM would take
// its old keys for verified, and serve a key that was withdrawn long ago.
func TestHeldUpHeartbeatDoesNotRefreshAge(t *testing.T) {
	c := &manualClock{at: 1_001_000}
	near, far := newHeartbeatHarness(t, "near", c), newHeartbeatHarness(t, "far", c)
	near.list()
	far.list()
	near.meet(far)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = near.members.Run(ctx) }()
	held := near.next()
	written := c.Now()
	c.advance(10 * clock.Second)
	require.NoError(t, far.receiver.Beat(held, &peer.BeatArgs{}))
	require.LessOrEqual(t, far.View().TableVerified, written)
	require.LessOrEqual(t, far.View().UpstreamsVerified, written)

	near.list()
	_ = near.next() // it may have been written before
	arrived := c.Now()
	require.NoError(t, far.receiver.Beat(near.next(), &peer.BeatArgs{}))
	require.Equal(t, arrived, far.View().TableVerified, "one that is not held up refreshes it")
}

// A heartbeat was written to an earlier incarnation of the VM, whose clock may have been another one.
func TestHeartbeatToEarlierIncarnationDoesNotRefreshAge(t *testing.T) {
	c := &manualClock{at: 1_001_000}
	near, far := newHeartbeatHarness(t, "near", c), newHeartbeatHarness(t, "far", c)
	near.list()
	far.list()
	before := far.View().TableVerified
	c.advance(clock.Second)
	near.list()
	beat := &peer.BeatArgs{From: near.members.Self(), Echo: peer.Echo{Incarnation: far.members.Self().Incarnation + 1, Sent: c.Now()}}
	near.Fill("far", beat)
	require.NoError(t, far.receiver.Beat(beat, &peer.BeatArgs{}))
	require.Equal(t, before, far.View().TableVerified)
}

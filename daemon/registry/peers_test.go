package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/daemon/changes"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// recordingPeer calls one receiver, stores its last reply and can corrupt replies.
type recordingPeer struct {
	to      *Registry
	reply   peer.RegistryReply
	corrupt func(*peer.RegistryReply)
}

func (c *recordingPeer) Call(ctx context.Context, address, method string, args, reply any) error {
	err := localPeer{c.to}.Call(ctx, address, method, args, reply)
	r := reply.(*peer.RegistryReply)
	if c.corrupt != nil {
		c.corrupt(r)
	}
	c.reply = *r
	return err
}

// newFollower returns a VM that has copied a list of many upstreams from a reader.
func newFollower(t *testing.T, n int) (b, reader *harness, calls *recordingPeer) {
	t.Helper()
	b, reader = newHarness(t), newHarness(t)
	reader.Registry.clock = b.clock
	for i := range n {
		reader.store.upstreams = append(reader.store.upstreams, route.Upstream{ID: decide.UpstreamID(fmt.Sprint(i)), Service: "s"})
	}
	calls = &recordingPeer{to: reader.Registry}
	b.peers = calls
	reader.relist()
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, n+2, b.upstreamCount())
	return b, reader, calls
}

// relist has a reader list the store at a later position.
func (b *harness) relist() {
	b.t.Helper()
	b.store.at.Mark += 10
	b.clock.advance(100)
	b.list()
}

func (b *harness) allUpstreams() []route.Upstream { return slices.Collect(maps.Values(b.upstreams)) }

// One of thousands of upstreams changes, and hundreds of VMs are each sent the whole list.
func TestPeerReceivesOnlyChanges(t *testing.T) {
	b, reader, calls := newFollower(t, 100)
	require.Zero(t, calls.reply.Base, "the first answer is a whole list")
	reader.store.upstreams = reader.store.upstreams[1:]
	reader.store.upstreams[0].Leaving = true
	reader.relist()
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Len(t, calls.reply.Upstreams, 1)
	require.Len(t, calls.reply.Without, 1)
	require.ElementsMatch(t, reader.allUpstreams(), b.allUpstreams())
}

// The changes that a peer sends do not produce its list. If they were applied all the same,
// requests would be sent to an upstream that has left until its entry changes again.
func TestChangesWithWrongResultingHashAreRejected(t *testing.T) {
	b, reader, calls := newFollower(t, 100)
	before := b.allUpstreams()
	calls.corrupt = func(r *peer.RegistryReply) { r.Without = nil }
	reader.store.upstreams = reader.store.upstreams[1:]
	reader.relist()
	require.False(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.ElementsMatch(t, before, b.allUpstreams())
	calls.corrupt = nil
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Zero(t, calls.reply.Base, "the next request asks for the whole list")
	require.ElementsMatch(t, reader.allUpstreams(), b.allUpstreams())
}

// The content hash must match the list after any sequence of updates, or each request of a peer
// returns the whole list.
func TestContentHashMatchesList(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newHarness(t)
		names := rapid.SliceOfDistinct(rapid.StringMatching("[a-f]"), rapid.ID)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			b.clock.advance(clock.Milli(rapid.IntRange(1, 3000).Draw(r, "later")))
			var us []route.Upstream
			for _, id := range names.Draw(r, "names") {
				us = append(us, route.Upstream{ID: decide.UpstreamID(id), Service: "s", Slots: rapid.IntRange(1, 2).Draw(r, "slots"), Leaving: rapid.Bool().Draw(r, "leaving")})
			}
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				b.learnUpstreams(listing(us), b.position, b.clock.Now())
			case 1:
				b.changeUpstreams(listing(us), b.position, b.clock.Now())
			case 2:
				b.learnPeerUpstreams(listing(us), b.position, b.clock.Now())
			default:
				b.changeUpstreams(unusable("spoilt", "a", "b"), b.position, b.clock.Now())
			}
			c, settled := b.changes.Hash()
			require.True(t, settled)
			require.Equal(t, changes.HashOf(b.allUpstreams()), c)
		}
	})
}

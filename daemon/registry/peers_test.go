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

// recorded calls one receiver, keeps its last reply and may spoil replies.
type recorded struct {
	to    *Registry
	reply peer.RegistryReply
	spoil func(*peer.RegistryReply)
}

func (c *recorded) Call(ctx context.Context, address, method string, args, reply any) error {
	err := direct{c.to}.Call(ctx, address, method, args, reply)
	r := reply.(*peer.RegistryReply)
	if c.spoil != nil {
		c.spoil(r)
	}
	c.reply = *r
	return err
}

// follower is a VM that takes a list of many upstreams from a reader.
func follower(t *testing.T, many int) (b, reader *bench, calls *recorded) {
	t.Helper()
	b, reader = newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	for i := range many {
		reader.store.upstreams = append(reader.store.upstreams, route.Upstream{ID: decide.UpstreamID(fmt.Sprint(i)), Service: "s"})
	}
	calls = &recorded{to: reader.Registry}
	b.peers = calls
	reader.advance()
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Equal(t, many+2, b.there())
	return b, reader, calls
}

// advance has a reader list the store at a later position.
func (b *bench) advance() {
	b.t.Helper()
	b.store.at.Mark += 10
	b.clock.forward(100)
	b.list()
}

func (b *bench) all() []route.Upstream { return slices.Collect(maps.Values(b.upstreams)) }

// One of thousands of upstreams changes, and hundreds of VMs are each sent all of them.
func TestAPeerIsSentWhatChanged(t *testing.T) {
	b, reader, calls := follower(t, 100)
	require.Zero(t, calls.reply.Base, "the first list is whole")
	reader.store.upstreams = reader.store.upstreams[1:]
	reader.store.upstreams[0].Leaving = true
	reader.advance()
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Len(t, calls.reply.Upstreams, 1)
	require.Len(t, calls.reply.Without, 1)
	require.ElementsMatch(t, reader.all(), b.all())
}

// Changes that a peer tells do not make the list that it has. Taken all the same, an upstream that left would be sent to for good.
func TestChangesThatDoNotMakeAPeersListAreNotTaken(t *testing.T) {
	b, reader, calls := follower(t, 100)
	before := b.all()
	calls.spoil = func(r *peer.RegistryReply) { r.Without = nil }
	reader.store.upstreams = reader.store.upstreams[1:]
	reader.advance()
	require.False(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.ElementsMatch(t, before, b.all())
	calls.spoil = nil
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "reader"}))
	require.Zero(t, calls.reply.Base, "it asks for all of it")
	require.ElementsMatch(t, reader.all(), b.all())
}

// The content by which peers know a list must be that of the list, whatever happened to it, or each question brings all of it.
func TestTheContentIsThatOfTheList(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newBench(t)
		names := rapid.SliceOfDistinct(rapid.StringMatching("[a-f]"), rapid.ID)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			b.clock.forward(clock.Milli(rapid.IntRange(1, 3000).Draw(r, "later")))
			var us []route.Upstream
			for _, id := range names.Draw(r, "names") {
				us = append(us, route.Upstream{ID: decide.UpstreamID(id), Service: "s", Slots: rapid.IntRange(1, 2).Draw(r, "slots"), Leaving: rapid.Bool().Draw(r, "leaving")})
			}
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				b.learnUpstreams(list(us), b.position, b.clock.Now())
			case 1:
				b.changeUpstreams(list(us), b.position, b.clock.Now())
			case 2:
				b.learnPeers(list(us), b.position, b.clock.Now())
			default:
				b.changeUpstreams(broken("spoilt", "a", "b"), b.position, b.clock.Now())
			}
			c, settled := b.changes.Hash()
			require.True(t, settled)
			require.Equal(t, changes.HashOf(b.all()), c)
		}
	})
}

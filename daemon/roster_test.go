package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

func kinds(es []timeline.Event) []string {
	var out []string
	for _, e := range es {
		out = append(out, e.Kind.String()+" "+e.Peer)
	}
	return out
}

// A VM falls silent, comes back, and is replaced under its name. An operator
// reads in the time line when the others noticed, once for each change.
func TestChangesOfMembersAreEventsOnce(t *testing.T) {
	var r roster
	self := peer.Member{VM: "vm-1"}
	b := peer.Member{VM: "vm-2", Incarnation: 1}
	c := peer.Member{VM: "vm-3", Incarnation: 1}
	require.Equal(t, []string{"joined vm-2", "joined vm-3"}, kinds(r.see([]peer.Member{c, self, b}, "vm-1")))
	require.Empty(t, r.see([]peer.Member{self, b, c}, "vm-1"))
	b.Health = peer.Suspected
	require.Equal(t, []string{"silent vm-2"}, kinds(r.see([]peer.Member{self, b, c}, "vm-1")))
	require.Empty(t, r.see([]peer.Member{self, b, c}, "vm-1"))
	b.Health = peer.Live
	require.Empty(t, r.see([]peer.Member{self, b, c}, "vm-1"))
	b.Incarnation = 2
	require.Equal(t, []string{"left vm-2", "joined vm-2", "left vm-3"}, kinds(r.see([]peer.Member{self, b}, "vm-1")))
}

func TestChangesOfOwnedPoolsAreEventsOnce(t *testing.T) {
	var r roster
	require.Equal(t, []string{"owned a@h", "owned b@h"}, kinds(r.own([]peer.PoolID{"a@h", "b@h"})))
	require.Empty(t, r.own([]peer.PoolID{"a@h", "b@h"}))
	require.Equal(t, []string{"owned c@h", "disowned a@h"}, kinds(r.own([]peer.PoolID{"b@h", "c@h"})))
}

package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

func eventTexts(es []timeline.Event) []string {
	var out []string
	for _, e := range es {
		out = append(out, e.Kind.String()+" "+e.Peer)
	}
	return out
}

// A VM stops responding, recovers, and is then replaced by another one of the same name. The timeline
// must show to operators when the other VMs noticed, with one event for each change.
func TestMemberChangesAreReportedOnce(t *testing.T) {
	var r changeTracker
	self := peer.Member{VM: "vm-1"}
	b := peer.Member{VM: "vm-2", Incarnation: 1}
	c := peer.Member{VM: "vm-3", Incarnation: 1}
	require.Equal(t, []string{"joined vm-2", "joined vm-3"}, eventTexts(r.memberEvents([]peer.Member{c, self, b}, "vm-1")))
	require.Empty(t, r.memberEvents([]peer.Member{self, b, c}, "vm-1"))
	b.Health = peer.Suspected
	require.Equal(t, []string{"silent vm-2"}, eventTexts(r.memberEvents([]peer.Member{self, b, c}, "vm-1")))
	require.Empty(t, r.memberEvents([]peer.Member{self, b, c}, "vm-1"))
	b.Health = peer.Live
	require.Empty(t, r.memberEvents([]peer.Member{self, b, c}, "vm-1"))
	b.Incarnation = 2
	require.Equal(t, []string{"left vm-2", "joined vm-2", "left vm-3"}, eventTexts(r.memberEvents([]peer.Member{self, b}, "vm-1")))
}

func TestOwnedPoolChangesAreReportedOnce(t *testing.T) {
	var r changeTracker
	require.Equal(t, []string{"owned a@h", "owned b@h"}, eventTexts(r.poolEvents([]peer.PoolID{"a@h", "b@h"})))
	require.Empty(t, r.poolEvents([]peer.PoolID{"a@h", "b@h"}))
	require.Equal(t, []string{"owned c@h", "disowned a@h"}, eventTexts(r.poolEvents([]peer.PoolID{"b@h", "c@h"})))
}

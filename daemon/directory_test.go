package main

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

func testMember(i int) peer.Member {
	return peer.Member{VM: peer.VM(fmt.Sprintf("vm-%d", i)), Domain: peer.Domain(fmt.Sprintf("hall-%d", i%2)), Incarnation: 1}
}

func newTestDirectory(t testing.TB, count int) (*directory, *member.Receiver) {
	k := clock.New()
	m := member.New(testMember(0), member.DefaultRules, nil, nil, k)
	r := member.NewReceiver(m, nil)
	for i := range count - 1 {
		require.NoError(t, r.Beat(&peer.BeatArgs{From: testMember(i + 1)}, &peer.BeatArgs{}))
	}
	return newDirectory(m, k, timeline.NewRing("test", "vm-0", 1, 64, k)), r
}

// A VM that owns a pool stops or crashes. If the cached owners were not recomputed, every further
// request for the pool would be sent to that VM, and its client would wait for the time-out.
func TestOwnersAndHomesFollowMembership(t *testing.T) {
	d, r := newTestDirectory(t, 9)
	const pool = peer.PoolID("drafter@hall-1")
	before := d.Owners(pool)
	require.Len(t, before, maxOwners)
	require.Equal(t, before, d.Owners(pool))
	owner, ok := d.members.Owner(pool)
	require.True(t, ok)
	require.Equal(t, owner, before[0])
	home, ok := d.Home("wards")
	require.True(t, ok)

	for _, left := range []peer.Member{owner, home} {
		left.Stopping = true
		left.Seq++
		require.NoError(t, r.Beat(&peer.BeatArgs{From: left}, &peer.BeatArgs{}))
	}
	require.NotEqual(t, owner.VM, d.Owners(pool)[0].VM)
	next, ok := d.Home("wards")
	require.True(t, ok)
	require.NotEqual(t, home.VM, next.VM)
}

func BenchmarkOwnersOf450(b *testing.B) {
	d, _ := newTestDirectory(b, 450)
	b.ReportAllocs()
	for b.Loop() {
		d.Owners("drafter@hall-1")
	}
}

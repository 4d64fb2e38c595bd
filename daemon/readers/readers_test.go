package readers

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

func newMembers(n int) []peer.Member {
	ms := make([]peer.Member, n)
	for i := range ms {
		ms[i] = peer.Member{VM: peer.VM(fmt.Sprintf("vm-%03d", i)), Domain: peer.Domain(fmt.Sprintf("d%d", i%5)), Cores: 192, Link: 20}
	}
	return ms
}

// If the readers of a fleet share a failure domain they can fail together, and if they are its
// smallest VMs they are slow.
func TestReadersAreHighCapacityAndInTwoFailureDomains(t *testing.T) {
	live := newMembers(295)
	for i := range 15 {
		live[i*7].Cores, live[i*7].Link = 800, 200
	}
	ranked := rankReaders(live)
	for _, m := range ranked[:15] {
		require.Equal(t, 800, m.Cores)
	}
	require.NotEqual(t, ranked[0].Domain, ranked[1].Domain)
	require.Len(t, ranked, 295)
}

// The load of a VM grows with the fleet if all VMs ask the same few. A VM whose requests do not
// lead to a reader receives no updates.
func TestEveryVMReachesReaderInTwoHops(t *testing.T) {
	for _, n := range []int{1, 3, 6, 12, 13, 30, 100, 300, 450, 1000} {
		live := newMembers(n)
		ranked := rankReaders(live)
		rank := map[peer.VM]int{}
		for i, m := range ranked {
			rank[m.VM] = i
		}
		askers := map[peer.VM]int{}
		provers := 0
		for _, m := range live {
			r := rosterOf(m.VM, live)
			require.Equal(t, rank[m.VM], r.Rank)
			if r.Primary {
				provers++
			}
			for _, o := range r.Sources {
				require.NotEqual(t, m.VM, o.VM)
				askers[o.VM]++
				if r.Rank >= watchers+relayers && n > maxWatchingFleet {
					require.Less(t, rank[o.VM], watchers+relayers, "n %d", n)
					require.GreaterOrEqual(t, rank[o.VM], watchers)
				}
			}
			require.Equal(t, n > 1, len(r.Sources) > 0)
		}
		require.Equal(t, 1, provers)
		for v, count := range askers {
			require.LessOrEqual(t, count, max(watchers+relayers, 2*n/relayers+watchers+relayers), "n %d %s", n, v)
		}
	}
}

// A stopping VM must not be a reader, and must still receive updates until its last response is
// sent.
func TestStoppingVMIsNoReader(t *testing.T) {
	live := newMembers(6)
	stopping := rankReaders(live)[0].VM
	for i := range live {
		live[i].Stopping = live[i].VM == stopping
	}
	r := rosterOf(stopping, live)
	require.False(t, r.Primary)
	require.NotEmpty(t, r.Sources)
}

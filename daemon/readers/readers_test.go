package readers

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

func fleetOf(n int) []peer.Member {
	ms := make([]peer.Member, n)
	for i := range ms {
		ms[i] = peer.Member{VM: peer.VM(fmt.Sprintf("vm-%03d", i)), Domain: peer.Domain(fmt.Sprintf("d%d", i%5)), Cores: 192, Link: 20}
	}
	return ms
}

// The readers of a fleet die together if they stand in one failure domain, and are slow if they are its smallest VMs.
func TestReadersAreStrongAndInTwoFailureDomains(t *testing.T) {
	live := fleetOf(295)
	for i := range 15 {
		live[i*7].Cores, live[i*7].Link = 800, 200
	}
	ranked := readingOrder(live)
	for _, m := range ranked[:15] {
		require.Equal(t, 800, m.Cores)
	}
	require.NotEqual(t, ranked[0].Domain, ranked[1].Domain)
	require.Len(t, ranked, 295)
}

// What is asked of one VM grows with the fleet if all ask the same few; and a VM that nobody's question leads to a
// reader knows nothing new.
func TestEachVMReachesAReaderByTwoQuestions(t *testing.T) {
	for _, n := range []int{1, 3, 6, 12, 13, 30, 100, 300, 450, 1000} {
		live := fleetOf(n)
		ranked := readingOrder(live)
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
				if r.Rank >= watchers+relayers && n > watchersMost {
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

// A VM that stops takes no duty, and must still learn what is new until its last answer is out.
func TestAStoppingVMReadsForNobody(t *testing.T) {
	live := fleetOf(6)
	stopping := readingOrder(live)[0].VM
	for i := range live {
		live[i].Stopping = live[i].VM == stopping
	}
	r := rosterOf(stopping, live)
	require.False(t, r.Primary)
	require.NotEmpty(t, r.Sources)
}

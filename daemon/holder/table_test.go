package holder

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

const service = "s"

func vm(name peer.VM, cores int) peer.Member {
	return peer.Member{VM: name, Incarnation: 1, Cores: cores, Address: string(name)}
}

var a, b, c = vm("a", 800), vm("b", 800), vm("c", 192)

func allResponsive(peer.Member) bool { return false }

func TestFirstByRankTakesServiceWithoutHolder(t *testing.T) {
	all := []peer.Member{a, b, c}
	step, _ := New(a).Route(service, false, all, all)
	require.Equal(t, Take, step)
	step, to := New(c).Route(service, false, all, all)
	require.Equal(t, Forward, step)
	require.Equal(t, a.VM, to.VM)
	step, _ = New(c).Route(service, true, all, all)
	require.Equal(t, Take, step, "the forwarding VM knows no better holder")
}

// The VM that ranks first was lost, and another VM has become the holder. When the first returns it
// does not know the running requests. If it decided again because of its rank, two VMs would
// allocate the same engines.
func TestReturningVMFollowsTheHolder(t *testing.T) {
	all := []peer.Member{a, b, c}
	h, ok := New(b).Take(service, 0)
	require.True(t, ok)
	returned := New(a)
	require.True(t, returned.Learn(h))
	step, to := returned.Route(service, false, all, all)
	require.Equal(t, Forward, step)
	require.Equal(t, b.VM, to.VM)
	require.Equal(t, []peer.Member{b, a, c}, returned.Candidates(service, all, all, allResponsive))
}

// The holder's VM restarts. Records known to others refer to its earlier incarnation, whose pool is
// lost.
func TestLaterIncarnationOfTheHolderIsNotTheHolder(t *testing.T) {
	h, _ := New(a).Take(service, 0)
	later := a
	later.Incarnation = 2
	all := []peer.Member{later, b}
	x := New(b)
	x.Learn(h)
	_, ok := x.Member(service, all)
	require.False(t, ok)
	require.False(t, New(later).Holds(service))
	step, to := x.Route(service, false, all, all)
	require.Equal(t, Forward, step)
	require.Equal(t, peer.Incarnation(2), to.Incarnation)
}

// Hundreds of VMs start together. One of them knows the holder but only a few members so far, among
// which it ranks first. It must query the holder: if each such VM took the service over, gates
// would follow one holder after the other, and each would start with an empty pool.
func TestHolderThatIsNotYetListedIsQueried(t *testing.T) {
	h, _ := New(a).Take(service, 0)
	x := New(b)
	x.Learn(h)
	few := []peer.Member{b, c}
	step, to := x.Route(service, false, few, few)
	require.Equal(t, Forward, step)
	require.Equal(t, a.Address, to.Address)
	require.Equal(t, a.VM, x.Candidates(service, few, few, allResponsive)[0].VM)
}

// Two concurrent queries find that the holder does not respond. Only one of them may make this VM
// the holder, since each change is announced to all VMs and makes them present their live grants.
func TestOnlyOneOfTwoQueriesChangesTheHolder(t *testing.T) {
	x := New(b)
	old, _ := New(a).Take(service, 0)
	x.Learn(old)
	h, ok := x.Take(service, old.Epoch)
	require.True(t, ok)
	require.Equal(t, old.Epoch+1, h.Epoch)
	_, ok = x.Take(service, old.Epoch)
	require.False(t, ok)
}

// Two VMs become holder at the same epoch without knowing of each other. All VMs must end up
// following the same one.
func TestOfTwoHoldersAtOneEpochTheOneWithMoreCoresWins(t *testing.T) {
	large, _ := New(a).Take(service, 0)
	small, _ := New(c).Take(service, 0)
	x, y := New(b), New(b)
	x.Learn(large)
	x.Learn(small)
	y.Learn(small)
	y.Learn(large)
	for _, n := range []*Table{x, y} {
		h, _ := n.Of(service)
		require.Equal(t, a.VM, h.VM)
	}
}

func TestHolderHandsOverWhenItStopsOrHasLowCapacity(t *testing.T) {
	x := New(c)
	_, ok := x.Take(service, 0)
	require.True(t, ok)
	to, ok := x.Successor(service, []peer.Member{a, b, c}, 2)
	require.True(t, ok)
	require.Equal(t, a.VM, to.VM)
	_, ok = x.Successor(service, []peer.Member{c}, 1)
	require.False(t, ok)
	to, ok = x.Successor(service, []peer.Member{b}, 1)
	require.True(t, ok, "a VM that stops is not ranked")
	require.Equal(t, b.VM, to.VM)

	x = New(b)
	_, ok = x.Take(service, 0)
	require.True(t, ok)
	_, ok = x.Successor(service, []peer.Member{a, b, c}, 2)
	require.False(t, ok, "a high-capacity holder stays, whichever VM ranks before it")
}

func TestUnresponsiveVMsAreNoCandidates(t *testing.T) {
	all := []peer.Member{a, b, c, vm("d", 192)}
	x := New(c)
	h, _ := New(a).Take(service, 0)
	x.Learn(h)
	unresponsive := func(m peer.Member) bool { return m.VM == a.VM }
	require.Equal(t, []peer.Member{b, c, all[3]}, x.Candidates(service, all, all, unresponsive))
}

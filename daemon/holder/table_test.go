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

func none(peer.Member) bool { return false }

func TestTheFirstByRankTakesAServiceThatNobodyHolds(t *testing.T) {
	all := []peer.Member{a, b, c}
	step, _ := New(a).Route(service, false, all, all)
	require.Equal(t, Take, step)
	step, to := New(c).Route(service, false, all, all)
	require.Equal(t, Forward, step)
	require.Equal(t, a.VM, to.VM)
	step, _ = New(c).Route(service, true, all, all)
	require.Equal(t, Take, step, "whoever forwarded it knows of nobody better")
}

// A VM that ranks first was lost, and another one holds the service since. When it is back it knows nothing of what runs. Were it to place again
// because of its rank, two VMs would give out the same engines.
func TestAVMThatComesBackFollowsTheHolder(t *testing.T) {
	all := []peer.Member{a, b, c}
	h, ok := New(b).Take(service, 0)
	require.True(t, ok)
	back := New(a)
	require.True(t, back.Learn(h))
	step, to := back.Route(service, false, all, all)
	require.Equal(t, Forward, step)
	require.Equal(t, b.VM, to.VM)
	require.Equal(t, []peer.Member{b, a, c}, back.Candidates(service, all, all, none))
}

// The holder's VM starts again. What others know is about its earlier life, whose books are lost.
func TestALaterLifeOfTheHolderIsNotTheHolder(t *testing.T) {
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

// Hundreds of VMs start together. One of them has heard who holds the service, and knows only a few members so far, among which it ranks
// first. It asks the holder: were each such VM to take the service over, gates would follow one after the other, and each
// would begin with empty books.
func TestAHolderThatIsNotListedYetIsAsked(t *testing.T) {
	h, _ := New(a).Take(service, 0)
	x := New(b)
	x.Learn(h)
	few := []peer.Member{b, c}
	step, to := x.Route(service, false, few, few)
	require.Equal(t, Forward, step)
	require.Equal(t, a.Address, to.Address)
	require.Equal(t, a.VM, x.Candidates(service, few, few, none)[0].VM)
}

// Two questions find the holder silent at the same moment. Only one of them may make this VM the holder: each change is announced to all
// VMs and has them present what runs.
func TestOnlyOneOfTwoQuestionsChangesTheHolder(t *testing.T) {
	x := New(b)
	old, _ := New(a).Take(service, 0)
	x.Learn(old)
	h, ok := x.Take(service, old.Epoch)
	require.True(t, ok)
	require.Equal(t, old.Epoch+1, h.Epoch)
	_, ok = x.Take(service, old.Epoch)
	require.False(t, ok)
}

// Two VMs become holder at the same epoch, each without knowing of the other. All must come to follow the same one.
func TestOfTwoHoldersAtOneEpochTheStrongerCounts(t *testing.T) {
	strong, _ := New(a).Take(service, 0)
	weak, _ := New(c).Take(service, 0)
	x, y := New(b), New(b)
	x.Learn(strong)
	x.Learn(weak)
	y.Learn(weak)
	y.Learn(strong)
	for _, n := range []*Table{x, y} {
		h, _ := n.Of(service)
		require.Equal(t, a.VM, h.VM)
	}
}

func TestAHolderHandsOverWhenItStopsOrIsWeak(t *testing.T) {
	x := New(c)
	_, ok := x.Take(service, 0)
	require.True(t, ok)
	to, ok := x.Successor(service, []peer.Member{a, b, c}, 2)
	require.True(t, ok)
	require.Equal(t, a.VM, to.VM)
	_, ok = x.Successor(service, []peer.Member{c}, 1)
	require.False(t, ok)
	to, ok = x.Successor(service, []peer.Member{b}, 1)
	require.True(t, ok, "it stops, so it is not ranked")
	require.Equal(t, b.VM, to.VM)

	x = New(b)
	_, ok = x.Take(service, 0)
	require.True(t, ok)
	_, ok = x.Successor(service, []peer.Member{a, b, c}, 2)
	require.False(t, ok, "a strong holder stays, whoever ranks before it")
}

func TestSilentVMsAreNoCandidates(t *testing.T) {
	all := []peer.Member{a, b, c, vm("d", 192)}
	x := New(c)
	h, _ := New(a).Take(service, 0)
	x.Learn(h)
	silent := func(m peer.Member) bool { return m.VM == a.VM }
	require.Equal(t, []peer.Member{b, c, all[3]}, x.Candidates(service, all, all, silent))
}

package member

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// group plays many tables in one thread, with a network that can be cut.
type group struct {
	t      *testing.T
	now    clock.Milli
	tables map[peer.VM]*Table
	order  []peer.VM
	views  map[[2]peer.VM]uint64
	// cut tells whether a message from a to b is lost.
	cut func(a, b peer.VM) bool
	// sent, if not nil, sees each message.
	sent func(from *Table, to peer.VM, known []peer.Member, reply bool)
}

func name(i int) peer.VM { return peer.VM(fmt.Sprintf("vm-%03d", i)) }

func self(i int) peer.Member {
	return peer.Member{
		VM: name(i), Incarnation: 1, Domain: peer.Domain(fmt.Sprintf("d%d", i%3)),
		Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
	}
}

// newGroup starts n members that know only the first one.
func newGroup(t *testing.T, n int) *group {
	g := &group{
		t: t, now: 1000, tables: map[peer.VM]*Table{}, views: map[[2]peer.VM]uint64{},
		cut: func(_, _ peer.VM) bool { return false },
	}
	for i := range n {
		table := NewTable(self(i), DefaultRules)
		table.Heard(g.now, self(0))
		g.tables[name(i)] = table
		g.order = append(g.order, name(i))
	}
	return g
}

// round lets every member beat its targets once, as Members does.
func (g *group) round() {
	g.now += DefaultRules.Period(len(g.order))
	for _, v := range g.order {
		table := g.tables[v]
		if table == nil {
			continue
		}
		table.Tick(g.now)
		for _, to := range table.Targets(g.now) {
			g.exchange(table, to.VM)
		}
	}
}

func (g *group) exchange(from *Table, to peer.VM) {
	v := from.Self().VM
	other := g.tables[to]
	if other == nil || g.cut(v, to) || g.cut(to, v) {
		from.Missed(g.now, to)
		return
	}
	g.deliver(from, other, false)
	g.deliver(other, from, true)
}

func (g *group) deliver(from, to *Table, reply bool) {
	a, b := from.Self().VM, to.Self().VM
	known := from.Updates(b, g.views[[2]peer.VM{a, b}] != from.View())
	if g.sent != nil {
		g.sent(from, b, known, reply)
	}
	to.Heard(g.now, from.Self())
	for _, k := range known {
		to.Learn(g.now, k)
	}
	g.views[[2]peer.VM{b, a}] = from.View()
}

// until plays rounds until all members present agree that want are live.
func (g *group) until(most, want int) int {
	for r := range most {
		if g.agree(want) {
			return r
		}
		g.round()
	}
	g.t.Fatalf("no agreement on %d live members after %d rounds", want, most)
	return most
}

func (g *group) agree(want int) bool {
	for _, t := range g.tables {
		if len(t.Live()) != want {
			return false
		}
	}
	return true
}

// sizes are played in tests; the largest takes minutes under the race detector.
func sizes() []int {
	if race {
		return []int{3, 9, 27, 81}
	}
	return []int{3, 9, 27, 81, 450}
}

func TestMembersFindEachOther(t *testing.T) {
	for _, n := range sizes() {
		g := newGroup(t, n)
		rounds := g.until(60, n)
		t.Logf("%d members: all known after %d rounds", n, rounds)
	}
}

// A VM dies. While others take it for live, its pools have no owner that
// answers and callers wait; so it must leave every table within seconds.
func TestDeadMemberLeavesEveryTable(t *testing.T) {
	for _, n := range sizes() {
		g := newGroup(t, n)
		g.until(60, n)
		delete(g.tables, name(n/2))
		before := g.now
		g.until(20, n-1)
		t.Logf("%d members: gone from all after %d ms", n, g.now-before)
		require.LessOrEqual(t, g.now-before, 10*clock.Second)
	}
}

// Two VMs lose each other while all others reach both. If each threw the other
// out, owners would change forth and back and callers would see refusals; the
// word of the others must keep both in.
func TestOneCutLinkExpelsNobody(t *testing.T) {
	for _, n := range []int{3, 9, 81} {
		g := newGroup(t, n)
		g.until(60, n)
		a := g.tables[name(0)].Targets(g.now)[0].VM
		g.cut = func(x, y peer.VM) bool { return x == name(0) && y == a || x == a && y == name(0) }
		for range 60 {
			g.round()
			require.True(t, g.agree(n), "%d members", n)
		}
	}
}

// Regions lose each other for a minute. Each side goes on with its own members,
// and when the cut heals both find each other again without a restart.
func TestSplitHeals(t *testing.T) {
	for _, n := range []int{9, 81} {
		g := newGroup(t, n)
		g.until(60, n)
		side := func(v peer.VM) bool { return v < name(n/3) }
		g.cut = func(a, b peer.VM) bool { return side(a) != side(b) }
		for range 60 {
			g.round()
		}
		require.Len(t, g.tables[name(0)].Live(), n/3)
		require.Len(t, g.tables[name(n-1)].Live(), n-n/3)
		require.Equal(t, n-n/3, g.tables[name(0)].Lost(), "they may live behind the cut")
		require.Equal(t, n/3, g.tables[name(n-1)].Lost())
		g.cut = func(_, _ peer.VM) bool { return false }
		// The seeds join the sides: one contact is enough.
		g.exchange(g.tables[name(0)], name(n-1))
		rounds := g.until(60, n)
		t.Logf("%d members: joined after %d rounds", n, rounds)
		for _, v := range g.order {
			require.Zero(t, g.tables[v].Lost())
		}
	}
}

func TestPlannedLeaveIsBelievedAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.until(60, 3)
	leaving := g.tables[name(2)]
	leaving.Leave()
	g.exchange(leaving, name(0))
	g.exchange(leaving, name(1))
	delete(g.tables, name(2))
	require.True(t, g.agree(2))
	require.Zero(t, g.tables[name(0)].Lost(), "it has said so")
}

// A VM that is dead for good must not weigh on the others for good.
func TestALostMemberIsForgotten(t *testing.T) {
	g := newGroup(t, 3)
	g.until(60, 3)
	delete(g.tables, name(2))
	g.until(60, 2)
	require.Equal(t, 1, g.tables[name(0)].Lost())
	g.now += DefaultRules.ForgetAfter
	g.round()
	require.Zero(t, g.tables[name(0)].Lost())
}

// A VM is replaced by one of the same name while the old one is only frozen.
// When the old one thaws it must learn that its name has gone on without it.
func TestOlderLifeLearnsThatItIsSuperseded(t *testing.T) {
	g := newGroup(t, 3)
	g.until(60, 3)
	old := g.tables[name(2)]
	later := self(2)
	later.Incarnation = 2
	g.tables[name(2)] = NewTable(later, DefaultRules)
	g.tables[name(2)].Heard(g.now, self(0))
	g.round()
	g.exchange(old, name(0))
	require.True(t, old.Superseded())
	require.False(t, g.tables[name(2)].Superseded())
}

// A VM was stopped for a minute and goes on. Its own table has heard nobody
// for that long; it must not take the pause for the death of all others.
func TestPauseOfOneExpelsNobodyElse(t *testing.T) {
	g := newGroup(t, 9)
	g.until(60, 9)
	table := g.tables[name(1)]
	table.Missed(g.now, name(2))
	table.Learn(g.now, peer.Member{VM: name(2), Incarnation: 1, Health: peer.Suspected, Address: "x"})
	g.now += clock.Minute
	table.Resume(g.now)
	require.False(t, table.Tick(g.now))
	require.Len(t, table.Live(), 9)
}

// A failure domain is lost whole. If both neighbours that hold a VM's usage
// were in its own domain, what they hold would be lost with it.
func TestSecondNeighbourIsOfAnotherDomain(t *testing.T) {
	for _, n := range []int{3, 9, 81} {
		g := newGroup(t, n)
		g.until(60, n)
		for _, table := range g.tables {
			ns := table.RingSuccessors()
			require.Len(t, ns, 2)
			require.Equal(t, ns, table.Targets(g.now)[:2])
			require.False(t, ns[0].Domain == table.Self().Domain && ns[1].Domain == table.Self().Domain)
		}
	}
}

func TestOwnerStaysInTheDomainOfItsPool(t *testing.T) {
	var ms []peer.Member
	for i := range 9 {
		ms = append(ms, self(i))
	}
	for i := range 50 {
		pool := peer.PoolID(fmt.Sprintf("model-%d@d1", i))
		owner, ok := Owner(pool, ms)
		require.True(t, ok)
		require.Equal(t, peer.Domain("d1"), owner.Domain)
	}
	owner, ok := Owner("model@elsewhere", ms)
	require.True(t, ok)
	require.NotEmpty(t, owner.VM)
}

func TestOnlyTheKeysOfALostMemberMove(t *testing.T) {
	var ms []peer.Member
	for i := range 9 {
		ms = append(ms, self(i))
	}
	stopping := append([]peer.Member(nil), ms...)
	stopping[4].Stopping = true
	held := map[peer.VM]int{}
	for i := range 9000 {
		key := fmt.Sprintf("key-%d", i)
		before, _ := First(key, ms)
		after, _ := First(key, stopping)
		require.Equal(t, before, Rank(key, ms)[0])
		held[before.VM]++
		if before.VM != name(4) {
			require.Equal(t, before, after)
		} else {
			require.NotEqual(t, before, after)
		}
	}
	for v, n := range held {
		require.InDelta(t, 1000, n, 150, v)
	}
	_, ok := First("key", nil)
	require.False(t, ok)
}

// One member takes a new document. Whoever learns of a higher revision beats
// at once, so news crosses one hop in a beat's time; a member that lost that
// beat still hears of it in the rounds that follow.
func TestNewsReachesAllInFewHops(t *testing.T) {
	for _, n := range sizes() {
		g := newGroup(t, n)
		g.until(60, n)
		know := map[peer.VM]bool{name(0): true}
		hops := 0
		for ; len(know) < n; hops++ {
			require.Less(t, hops, 20)
			next := maps.Clone(know)
			for _, v := range g.order {
				for _, to := range g.tables[v].Targets(g.now) {
					// A beat carries the revision both ways.
					if know[v] || know[to.VM] {
						next[v], next[to.VM] = true, true
					}
				}
			}
			know = next
		}
		t.Logf("%d members: all know after %d rounds", n, hops)
	}
}

// One small VM of three hundred is drawn as owner of a service with hundreds of requests a second. Nothing
// waits in its queue, and it answers after a quarter of a second all the same, since its processor is used up.
func TestStrongMembersDecideForOthers(t *testing.T) {
	var ms []peer.Member
	for i := range 300 {
		m := self(i)
		m.Cores, m.Link = 192, 20
		if i%20 == 0 {
			m.Cores, m.Link = 800, 200
		}
		ms = append(ms, m)
	}
	ranked := RankByCapacity("service", ms)
	require.Len(t, ranked, 300)
	for i, m := range ranked {
		require.Equal(t, i < 15, m.Cores == 800)
	}
	for i := range ms {
		ms[i].Stopping = ms[i].Cores == 800
	}
	require.Len(t, RankByCapacity("service", ms), 285, "without strong ones the others decide")
	require.Len(t, HighCapacity([]peer.Member{self(1), self(2)}), 2, "nobody says what it has")
	require.Equal(t, []peer.Member{{VM: "a", Cores: 4, Link: 1}},
		HighCapacity([]peer.Member{{VM: "a", Cores: 4, Link: 1}, {VM: "b", Cores: 1, Link: 9}}), "the processor goes first")
}

// Three hundred VMs start together and hear from a seed of as many members as a beat carries. If the strong ones are not
// among them, each VM names another owner.
func TestNewsOfStrongMembersGoesFirst(t *testing.T) {
	table := NewTable(self(0), DefaultRules)
	for i := 1; i < 200; i++ {
		m := self(i)
		m.Cores = 192
		if i%20 == 0 {
			m.Cores = 800
		}
		table.Learn(1, m)
	}
	strong := 0
	for _, m := range table.Updates(name(7), false) {
		if m.Cores == 800 {
			strong++
		}
	}
	require.Equal(t, 9, strong)
}

package changes

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// list is one VM's list with its log.
type list struct {
	*Log
	all map[decide.UpstreamID]route.Upstream
}

func newList() *list { return &list{NewLog(), map[decide.UpstreamID]route.Upstream{}} }

func (l *list) put(us ...route.Upstream) {
	for _, u := range us {
		if old, ok := l.all[u.ID]; ok {
			l.Put(u, &old)
		} else {
			l.Put(u, nil)
		}
		l.all[u.ID] = u
	}
	l.Settle()
}

func (l *list) take(ids ...decide.UpstreamID) {
	for _, id := range ids {
		if old, ok := l.all[id]; ok {
			l.Remove(old)
		}
		delete(l.all, id)
	}
	l.Settle()
}

// since is what a peer with a content is sent.
func (l *list) since(c Hash) (changed []route.Upstream, without []decide.UpstreamID, ok bool) {
	ids, ok := l.Since(c)
	for _, id := range ids {
		if u, there := l.all[id]; there {
			changed = append(changed, u)
		} else {
			without = append(without, id)
		}
	}
	return changed, without, ok
}

func values(l *list) []route.Upstream { return slices.Collect(maps.Values(l.all)) }

// A peer that applied changes to a list that it did not have would send to upstreams that left, and leave others out.
func TestChangesMakeTheListThatTheyWereMadeFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newList()
		var base []route.Upstream
		var content Hash
		copied := false
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			id := decide.UpstreamID(rapid.StringMatching("[a-f]").Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				l.take(id)
			case 1:
				base, copied = values(l), true
				content, _ = l.Hash()
			default:
				l.put(route.Upstream{ID: id, Address: rapid.StringMatching("[xy]").Draw(t, "address"), Leaving: rapid.Bool().Draw(t, "leaving")})
			}
		}
		changed, without, ok := l.since(content)
		if !copied || !ok {
			return
		}
		got := Apply(base, changed, without)
		require.ElementsMatch(t, values(l), got)
		now, _ := l.Hash()
		require.Equal(t, now, HashOf(got))
	})
}

func TestAnotherListHasAnotherContent(t *testing.T) {
	u := route.Upstream{ID: "a", Service: "s", Address: "1", Domain: "d", Slots: 2}
	seen := map[Hash]bool{HashOf(nil): true, HashOf([]route.Upstream{u}): true}
	for _, change := range []func(*route.Upstream){
		func(u *route.Upstream) { u.ID = "b" },
		func(u *route.Upstream) { u.Service = "r" },
		func(u *route.Upstream) { u.Address = "2" },
		func(u *route.Upstream) { u.Domain = "e" },
		func(u *route.Upstream) { u.Slots = 3 },
		func(u *route.Upstream) { u.Born = 1 },
		func(u *route.Upstream) { u.Leaving = true },
	} {
		v := u
		change(&v)
		c := HashOf([]route.Upstream{v})
		require.False(t, seen[c], "%+v", v)
		seen[c] = true
	}
	require.Equal(t, HashOf([]route.Upstream{u, {ID: "z"}}), HashOf([]route.Upstream{{ID: "z"}, u}))
}

// A VM that was cut off asks again with a list of long ago. What changed since is not remembered for ever, and it must be sent everything.
func TestAListOfLongAgoIsNotKnown(t *testing.T) {
	l := newList()
	l.put(route.Upstream{ID: "first"})
	old, _ := l.Hash()
	for i := range 10 * contentsKept {
		l.put(route.Upstream{ID: decide.UpstreamID(fmt.Sprint(i))})
		if i > 0 {
			l.take(decide.UpstreamID(fmt.Sprint(i - 1)))
		}
	}
	_, known := l.Since(old)
	require.False(t, known)
	require.LessOrEqual(t, len(l.settled), contentsKept)
	require.LessOrEqual(t, len(l.changed), 2*contentsKept)
}

// A list is asked for in the middle of a change.
func TestAListThatIsBeingChangedIsNotPassedOn(t *testing.T) {
	l := newList()
	l.put(route.Upstream{ID: "a"})
	c, settled := l.Hash()
	require.True(t, settled)
	l.Remove(l.all["a"])
	_, settled = l.Hash()
	require.False(t, settled)
	_, known := l.Since(c)
	require.False(t, known)
}

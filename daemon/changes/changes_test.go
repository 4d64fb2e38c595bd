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

// loggedList is a list of upstreams with its log.
type loggedList struct {
	*Log
	upstreams map[decide.UpstreamID]route.Upstream
}

func newLoggedList() *loggedList {
	return &loggedList{NewLog(), map[decide.UpstreamID]route.Upstream{}}
}

func (l *loggedList) put(us ...route.Upstream) {
	for _, u := range us {
		if old, ok := l.upstreams[u.ID]; ok {
			l.Put(u, &old)
		} else {
			l.Put(u, nil)
		}
		l.upstreams[u.ID] = u
	}
	l.Settle()
}

func (l *loggedList) remove(ids ...decide.UpstreamID) {
	for _, id := range ids {
		if old, ok := l.upstreams[id]; ok {
			l.Remove(old)
		}
		delete(l.upstreams, id)
	}
	l.Settle()
}

// since returns the changes that are sent to a peer whose list has a hash.
func (l *loggedList) since(c Hash) (changed []route.Upstream, without []decide.UpstreamID, ok bool) {
	ids, ok := l.Since(c)
	for _, id := range ids {
		if u, present := l.upstreams[id]; present {
			changed = append(changed, u)
		} else {
			without = append(without, id)
		}
	}
	return changed, without, ok
}

func values(l *loggedList) []route.Upstream { return slices.Collect(maps.Values(l.upstreams)) }

// A peer that applied changes to a list for which they were not made would send requests to
// upstreams that have left, and would lack others.
func TestChangesReproduceTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoggedList()
		var base []route.Upstream
		var content Hash
		copied := false
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			id := decide.UpstreamID(rapid.StringMatching("[a-f]").Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				l.remove(id)
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

func TestDifferentListsHaveDifferentHashes(t *testing.T) {
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

// A VM that was cut off asks with a list of long ago. Changes are not recorded for ever, so it must
// be sent the whole list.
func TestOldHashesAreForgotten(t *testing.T) {
	l := newLoggedList()
	l.put(route.Upstream{ID: "first"})
	oldHash, _ := l.Hash()
	for i := range 10 * maxHashes {
		l.put(route.Upstream{ID: decide.UpstreamID(fmt.Sprint(i))})
		if i > 0 {
			l.remove(decide.UpstreamID(fmt.Sprint(i - 1)))
		}
	}
	_, known := l.Since(oldHash)
	require.False(t, known)
	require.LessOrEqual(t, len(l.versions), maxHashes)
	require.LessOrEqual(t, len(l.changed), 2*maxHashes)
}

// A peer asks for the list between a change and Settle.
func TestNoHashOrChangesBeforeSettle(t *testing.T) {
	l := newLoggedList()
	l.put(route.Upstream{ID: "a"})
	c, settled := l.Hash()
	require.True(t, settled)
	l.Remove(l.upstreams["a"])
	_, settled = l.Hash()
	require.False(t, settled)
	_, known := l.Since(c)
	require.False(t, known)
}

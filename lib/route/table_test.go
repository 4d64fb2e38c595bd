package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	for i := range routes {
		routes[i].Targets = []Target{{Service: "s", Weight: 1}}
	}
	tb, err := Index(&Document{Revision: 1, Routes: routes})
	require.NoError(t, err)
	return tb
}

func TestTheLongestPrefixHolds(t *testing.T) {
	tb := table(t, Route{Name: "all", Host: "a.example", Prefix: "/"}, Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "flat", Host: "a.example", Prefix: "/x/"})
	for path, name := range map[string]string{"/x/y/z": "deep", "/x/y/": "deep", "/x/y": "flat", "/x/": "flat", "/x": "all", "/": "all", "/x//y/": "flat"} {
		r := tb.Find("A.example:80", path)
		require.NotNil(t, r, path)
		require.Equal(t, name, r.Name, path)
	}
	require.Nil(t, tb.Find("b.example", "/x/"))
	require.Nil(t, tb.Find("a.example", ""))
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	r := Route{Targets: []Target{{"a", 9}, {"b", 1}}}
	count := map[ServiceID]int{}
	for i := range uint64(1000) {
		count[r.Pick(i)]++
	}
	require.Equal(t, map[ServiceID]int{"a": 900, "b": 100}, count)
}

// An operator's tool writes a route that leads nowhere. Taken as it is, each of
// its requests would crash or hang; the document is refused and the last one stays.
func TestARouteWithoutTargetIsRefused(t *testing.T) {
	_, err := Index(&Document{Revision: 7, Routes: []Route{{Name: "r"}}})
	require.ErrorContains(t, err, `revision 7: route "r" has no target`)
}

// A prompt of a million tokens costs an engine fifty seconds; the part that grows
// with the square must not be lost in the estimate, or it would be placed alone.
func TestReadingGrowsWithTheSquare(t *testing.T) {
	e := &Engine{Read: 256, Pairs: 0.0917}
	require.InDelta(t, 20.5, e.PrefillTime(4960), 0.5)
	require.InDelta(t, 2842, e.PrefillTime(210_000), 2)
	require.InDelta(t, 49_756, e.PrefillTime(1_000_000), 10)
}

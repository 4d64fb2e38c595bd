package statement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// What VMs say of one upstream comes in any order; taken as it comes, an old statement would undo a newer one.
func TestTheNewestStatementCountsInWhateverOrderTheyCome(t *testing.T) {
	named := Statement{Named: true, Rate: 2, Born: 1, At: 100}
	over := Statement{Born: 1, At: 200}
	again := Statement{Named: true, Rate: 5, Born: 1, At: 300}
	next := Statement{Born: 2, At: 50}
	for _, order := range [][]Statement{{named, over, again}, {again, named, over}, {over, again, named}, {again, over, named}} {
		x := NewTable()
		for _, s := range order {
			x.Learn("u", s)
		}
		got, _ := x.Of("u", Limit)
		require.Equal(t, again, got)
		require.True(t, x.Learn("u", next), "a later life has its own limit, whatever its time")
		require.False(t, x.Learn("u", again))
	}
}

func TestOfOneInstantTheLimitCounts(t *testing.T) {
	x := NewTable()
	require.True(t, x.Learn("u", Statement{Named: true, Rate: 2, At: 100}))
	require.False(t, x.Learn("u", Statement{At: 100}))
	s, _ := x.Of("u", Limit)
	require.True(t, s.Named)
}

// Lists lose upstreams that live for some seconds. A limit that went with the entry would be exceeded when it is back.
func TestALimitOutlivesAListThatLacksItsUpstream(t *testing.T) {
	x := NewTable()
	x.Learn("u", Statement{Named: true, Rate: 2, At: 1000})
	x.Learn("v", Statement{Named: true, Rate: 2, At: 1000})
	x.Learn("v", Statement{At: 2000})
	absent := func(decide.UpstreamID) bool { return false }
	x.Forget(20*clock.Second, absent)
	_, kept := x.Of("u", Limit)
	_, lifted := x.Of("v", Limit)
	require.True(t, kept)
	require.False(t, lifted)
	x.Forget(2*clock.Minute, absent)
	_, kept = x.Of("u", Limit)
	require.False(t, kept)
}

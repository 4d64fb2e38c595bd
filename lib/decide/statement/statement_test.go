package statement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// VMs hear what an upstream says in different orders. One that ended up with another rest or leaving than the others would send where they must not.
func TestWhatBindsDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Statement {
			s := Statement{
				Kind: rapid.SampledFrom([]Kind{BackOff, Leaving}).Draw(t, "kind"), Named: true,
				Born: decide.Incarnation(rapid.IntRange(1, 3).Draw(t, "born")), At: clock.Milli(rapid.IntRange(0, 1000).Draw(t, "at")),
			}
			if s.Kind == BackOff {
				s.Until = s.At + clock.Milli(rapid.IntRange(1, 1000).Draw(t, "rest"))
			}
			return s
		}), 1, 8).Draw(t, "said")
		x, y := NewTable(), NewTable()
		for _, s := range said {
			x.Learn("u", s)
		}
		for _, s := range rapid.Permutation(said).Draw(t, "order") {
			y.Learn("u", s)
		}
		for now := clock.Milli(0); now < 2100; now += 100 {
			for born := range decide.Incarnation(4) {
				_, one := x.Blocking(now, "u", born)
				_, other := y.Blocking(now, "u", born)
				require.Equal(t, one, other, "at %v of life %d", now, born)
			}
		}
	})
}

// A message is passed on by a VM that holds it for a while. The rest that it tells of must not grow by that.
func TestAPassedOnRestEndsWhenItDid(t *testing.T) {
	s := Statement{Kind: BackOff, Named: true, Gate: "g", Born: 3, At: 1000, Until: 4000}
	a := s.Message(1500, "u").Older(200)
	got := a.Statement(7_700) // the receiver's clock is 6,000 ahead
	require.Equal(t, Statement{Kind: BackOff, Named: true, Gate: "g", Born: 3, At: 7000, Until: 10_000}, got)
}

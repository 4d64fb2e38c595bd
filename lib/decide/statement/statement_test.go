package statement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Statements on one upstream arrive from several VMs in any order. Processed in order of arrival,
// an old statement would undo a newer one.
func TestNewestStatementWinsInAnyOrder(t *testing.T) {
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
		require.True(t, x.Learn("u", next), "a later incarnation has its own limit, whatever its time")
		require.False(t, x.Learn("u", again))
	}
}

func TestLimitWinsOverNoLimitAtTheSameInstant(t *testing.T) {
	x := NewTable()
	require.True(t, x.Learn("u", Statement{Named: true, Rate: 2, At: 100}))
	require.False(t, x.Learn("u", Statement{At: 100}))
	s, _ := x.Of("u", Limit)
	require.True(t, s.Named)
}

// An upstream is missing from a list for some seconds although it is running. If its limit were
// dropped with its entry, the limit would be exceeded when the upstream is listed again.
func TestLimitSurvivesListsWithoutItsUpstream(t *testing.T) {
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

// VMs receive the statements of an upstream in different orders. A VM that ended up with another
// back-off or drain notice than the others would send requests where it must not.
func TestBlockingDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Statement {
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
		for _, s := range statements {
			x.Learn("u", s)
		}
		for _, s := range rapid.Permutation(statements).Draw(t, "order") {
			y.Learn("u", s)
		}
		for now := clock.Milli(0); now < 2100; now += 100 {
			for born := range decide.Incarnation(4) {
				_, one := x.Blocking(now, "u", born)
				_, other := y.Blocking(now, "u", born)
				require.Equal(t, one, other, "at %v, incarnation %d", now, born)
			}
		}
	})
}

// A message is forwarded by a VM that kept it for a while. This must not extend the back-off.
func TestForwardedBackOffKeepsItsEnd(t *testing.T) {
	s := Statement{Kind: BackOff, Named: true, Gate: "g", Born: 3, At: 1000, Until: 4000}
	a := s.Message(1500, "u").Older(200)
	got := a.Statement(7_700) // the receiver's clock is 6,000 ahead
	require.Equal(t, Statement{Kind: BackOff, Named: true, Gate: "g", Born: 3, At: 7000, Until: 10_000}, got)
}

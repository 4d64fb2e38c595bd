package statements

import (
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// fixed is a clock that a test sets.
type fixed struct{ now clock.Milli }

func (f *fixed) Now() clock.Milli { return f.now }

func newHeard() (*Cache, *fixed) {
	k := &fixed{now: 1000}
	return New(k, &log.Logger{Level: log.FatalLevel}), k
}

// leaving is the word of a leaving.
func leaving() statement.Statement {
	return statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", At: 1000}
}

// An owner is lost with all that it was sent. Its successor, which is sent changes alone, would never hear of what came before.
func TestEachNewOwnerIsSentEverything(t *testing.T) {
	h, _ := newHeard()
	h.Learn("s", "u", leaving(), FromResponse)
	first := h.Pending("s", 1)
	require.Len(t, first.Statements, 1)
	require.Len(t, h.Pending("s", 1).Statements, 1, "nothing was acknowledged")
	h.Acknowledge("s", first)
	require.Empty(t, h.Pending("s", 1).Statements)
	h.Learn("s", "v", leaving(), FromResponse)
	require.Len(t, h.Pending("s", 1).Statements, 1)
	require.Len(t, h.Pending("s", 2).Statements, 2)
}

// While a list is on its way another statement comes. Taken for acknowledged with the list, it would never be sent.
func TestWhatComesMeanwhileIsSentNext(t *testing.T) {
	h, _ := newHeard()
	h.Learn("s", "u", leaving(), FromResponse)
	p := h.Pending("s", 1)
	h.Learn("s", "v", leaving(), FromResponse)
	h.Acknowledge("s", p)
	next := h.Pending("s", 1).Statements
	require.Len(t, next, 1)
	require.EqualValues(t, "v", next[0].Upstream)
}

// A rest binds until its end and no longer, whatever shorter one is asked for meanwhile.
func TestTheLongestRestBinds(t *testing.T) {
	h, k := newHeard()
	rest := func(span clock.Milli) statement.Statement {
		return statement.Statement{Kind: statement.BackOff, Named: true, Gate: "g", At: k.now, Until: k.now + span}
	}
	h.Learn("s", "u", rest(3000), FromResponse)
	k.now += 500
	h.Learn("s", "u", rest(500), FromResponse)
	k.now += 2000
	_, bound := h.Binding("s", "u", 0)
	require.True(t, bound)
	k.now += 500
	_, bound = h.Binding("s", "u", 0)
	require.False(t, bound)
}

// An upstream that leaves is not listed for a moment, as when the store comes back from a copy. Forgotten with the list, it would get requests.
func TestALeavingOutlivesTheList(t *testing.T) {
	h, k := newHeard()
	h.Learn("s", "u", leaving(), FromResponse)
	absent := func(route.ServiceID, decide.UpstreamID) bool { return false }
	k.now += 30 * clock.Second
	h.Forget(absent)
	_, bound := h.Binding("s", "u", 0)
	require.True(t, bound)
	_, bound = h.Binding("s", "u", 7)
	require.True(t, bound, "that it did not tell its life before is no later life")
	k.now += clock.Minute
	h.Forget(absent)
	_, bound = h.Binding("s", "u", 0)
	require.False(t, bound)
}

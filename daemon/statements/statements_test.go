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

// manualClock is a clock that a test sets.
type manualClock struct{ now clock.Milli }

func (f *manualClock) Now() clock.Milli { return f.now }

func newCache() (*Cache, *manualClock) {
	k := &manualClock{now: 1000}
	return New(k, &log.Logger{Level: log.FatalLevel}), k
}

// draining returns a drain notice.
func draining() statement.Statement {
	return statement.Statement{Kind: statement.Leaving, Named: true, Gate: "g", At: 1000}
}

// An owner is lost with all statements that it was sent. If its successor were sent new statements
// only, it would never receive the earlier ones.
func TestNewOwnerIsSentAllStatements(t *testing.T) {
	h, _ := newCache()
	h.Learn("s", "u", draining(), FromResponse)
	first := h.Pending("s", 1)
	require.Len(t, first.Statements, 1)
	require.Len(t, h.Pending("s", 1).Statements, 1, "nothing has been acknowledged yet")
	h.Acknowledge("s", first)
	require.Empty(t, h.Pending("s", 1).Statements)
	h.Learn("s", "v", draining(), FromResponse)
	require.Len(t, h.Pending("s", 1).Statements, 1)
	require.Len(t, h.Pending("s", 2).Statements, 2)
}

// A statement arrives while a list is being sent. If it were marked as acknowledged together with
// the list, it would never be sent.
func TestStatementReceivedDuringSendIsSentNext(t *testing.T) {
	h, _ := newCache()
	h.Learn("s", "u", draining(), FromResponse)
	p := h.Pending("s", 1)
	h.Learn("s", "v", draining(), FromResponse)
	h.Acknowledge("s", p)
	next := h.Pending("s", 1).Statements
	require.Len(t, next, 1)
	require.EqualValues(t, "v", next[0].Upstream)
}

// A back-off is in force until its end and no longer, even if the upstream asks for a shorter one
// meanwhile.
func TestLongestBackOffIsInForce(t *testing.T) {
	h, k := newCache()
	backOff := func(span clock.Milli) statement.Statement {
		return statement.Statement{Kind: statement.BackOff, Named: true, Gate: "g", At: k.now, Until: k.now + span}
	}
	h.Learn("s", "u", backOff(3000), FromResponse)
	k.now += 500
	h.Learn("s", "u", backOff(500), FromResponse)
	k.now += 2000
	_, bound := h.Binding("s", "u", 0)
	require.True(t, bound)
	k.now += 500
	_, bound = h.Binding("s", "u", 0)
	require.False(t, bound)
}

// A draining upstream is missing from the list of upstreams for a moment, as when the store is
// restored from an older copy. If its drain notice were discarded with it, it would receive
// requests again.
func TestDrainNoticeOutlivesUpstreamList(t *testing.T) {
	h, k := newCache()
	h.Learn("s", "u", draining(), FromResponse)
	absent := func(route.ServiceID, decide.UpstreamID) bool { return false }
	k.now += 30 * clock.Second
	h.Forget(absent)
	_, bound := h.Binding("s", "u", 0)
	require.True(t, bound)
	_, bound = h.Binding("s", "u", 7)
	require.True(t, bound, "a notice without an incarnation applies to any incarnation")
	k.now += clock.Minute
	h.Forget(absent)
	_, bound = h.Binding("s", "u", 0)
	require.False(t, bound)
}

package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// absent are engines that never answer.
type absent struct{}

var errAbsent = errors.New("no answer")

func (absent) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, errAbsent }
func (absent) Events(context.Context, string, uint64) ([]engine.Event, error) {
	return nil, errAbsent
}
func (absent) Cancel(context.Context, string, decide.RequestID) error { return errAbsent }
func (absent) DeleteExport(context.Context, string, string) error     { return errAbsent }

type fixedBook struct{ index *document.Index }

func (b fixedBook) Index() (*document.Index, bool) { return b.index, true }
func (fixedBook) Leaving(decide.UpstreamID) bool   { return false }

type unsureGates struct{}

func (unsureGates) Evidence(context.Context, []decide.RequestID) map[decide.RequestID]Evidence {
	return nil
}

type noOrders struct{}

func (noOrders) Order(peer.PoolID, document.Upstream, decide.Order) {}

const testPool = peer.PoolID("drafter@hall")

func newTestOwner(t *testing.T, engines int) *Owner {
	ups := ""
	for i := range engines {
		if i > 0 {
			ups += ","
		}
		ups += fmt.Sprintf(`{"name":"engine-%d","model":"drafter","domain":"hall","address":"127.0.0.1:%d","memory":100000,"slots":8,"prefill":8000,"decode":50}`, i+1, i+1)
	}
	text := fmt.Sprintf(`{"models":[{"name":"drafter","context":1000000}],"kinds":[{"name":"draft","urgency":1,"allowed":20000}],
		"workspaces":[{"name":"wards"}],"upstreams":[%s]}`, ups)
	d, ps := document.Parse([]byte(text), "test")
	require.NoError(t, ps.Err())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return New(ctx, clock.New(), l, nil, absent{}, fixedBook{document.NewIndex(d)}, unsureGates{}, noOrders{}, 1)
}

func ask(t *testing.T, o *Owner, avoid ...decide.UpstreamID) decide.Grant {
	t.Helper()
	r := decide.Request{ID: "vm-1.1.1.1", Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true, Avoid: avoid}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r}, &reply))
	require.Nil(t, reply.Fault)
	return reply.Grant
}

// A gate finds the granted engine dead, gives the grant back in the background
// and asks for another at once, and the question overtakes the return. A user
// would be refused after four tries of the same dead engine, with others idle.
func TestAcquireThatOvertakesTheReturnGetsAnotherUpstream(t *testing.T) {
	o := newTestOwner(t, 3)
	first := ask(t, o)
	second := ask(t, o, first.Upstreams...)
	require.NotEqual(t, first.Upstreams, second.Upstreams)

	// The late return must not take the new grant away.
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: first.ID, Request: first.Request, Outcome: decide.Lost}, &peer.Empty{}))
	require.Equal(t, second.ID, ask(t, o, first.Upstreams...).ID)
}

// A gate loses its connection after the owner granted, and asks again under the
// same id. A second grant would hold memory twice for one request.
func TestAcquireTwiceGetsTheSameGrant(t *testing.T) {
	o := newTestOwner(t, 3)
	require.Equal(t, ask(t, o).ID, ask(t, o).ID)
}

// The only engine of a failure domain dies under a request. Queued behind it again, an
// alert lookup would wait until its time is over, though other failure domains are idle.
func TestRequestThatFailedOnEveryUpstreamIsSentOnAtOnce(t *testing.T) {
	o := newTestOwner(t, 1)
	g := ask(t, o)
	r := decide.Request{ID: g.Request, Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true, Avoid: g.Upstreams}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 3 * clock.Second, Request: r}, &reply))
	require.NotNil(t, reply.Fault)
	require.Equal(t, fault.Unavailable, reply.Fault.Kind)
	require.Equal(t, fault.RanNo, reply.Fault.Ran)
}

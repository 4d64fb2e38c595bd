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

// unreachableEngines implements Engines with engines that never answer.
type unreachableEngines struct{}

var errNoAnswer = errors.New("no answer")

func (unreachableEngines) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{}, errNoAnswer
}

func (unreachableEngines) Events(context.Context, string, uint64) ([]engine.Event, error) {
	return nil, errNoAnswer
}

func (unreachableEngines) Cancel(context.Context, string, decide.RequestID) error { return errNoAnswer }

func (unreachableEngines) DeleteExport(context.Context, string, string) error { return errNoAnswer }

type fixedRegistry struct{ index *document.Index }

func (b fixedRegistry) Index() (*document.Index, bool) { return b.index, true }
func (fixedRegistry) Leaving(decide.UpstreamID) bool   { return false }

type unresponsiveGates struct{}

func (unresponsiveGates) Evidence(context.Context, []decide.RequestID) map[decide.RequestID]Evidence {
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
	return New(ctx, clock.New(), l, nil, unreachableEngines{}, fixedRegistry{document.NewIndex(d)}, unresponsiveGates{}, noOrders{}, 1)
}

func acquire(t *testing.T, o *Owner, avoid ...decide.UpstreamID) decide.Grant {
	t.Helper()
	r := decide.Request{ID: "vm-1.1.1.1", Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true, Avoid: avoid}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 20 * clock.Second, Request: r}, &reply))
	require.Nil(t, reply.Fault)
	return reply.Grant
}

// A gate finds that the granted engine has crashed, returns the grant in the background
// and calls Acquire again, and this call arrives before the return. If the owner repeated
// the old grant, the request would be refused after four attempts on the crashed engine
// although others are idle.
func TestAcquireThatOvertakesTheReturnGetsAnotherUpstream(t *testing.T) {
	o := newTestOwner(t, 3)
	first := acquire(t, o)
	second := acquire(t, o, first.Upstreams...)
	require.NotEqual(t, first.Upstreams, second.Upstreams)

	// The late return of the first grant must not end the second one.
	require.NoError(t, o.Return(peer.ReturnArgs{Pool: testPool, Grant: first.ID, Request: first.Request, Outcome: decide.Lost}, &peer.Empty{}))
	require.Equal(t, second.ID, acquire(t, o, first.Upstreams...).ID)
}

// A gate loses its connection after the owner granted its request, and calls Acquire
// again under the same id. A second grant would reserve memory twice for one request.
func TestAcquireTwiceGetsTheSameGrant(t *testing.T) {
	o := newTestOwner(t, 3)
	require.Equal(t, acquire(t, o).ID, acquire(t, o).ID)
}

// The only engine of a failure domain crashes while it runs a request. If the request
// were queued in the same pool again, it would wait until its deadline although other
// failure domains are idle.
func TestRequestThatFailedOnEveryUpstreamIsRefusedAtOnce(t *testing.T) {
	o := newTestOwner(t, 1)
	g := acquire(t, o)
	r := decide.Request{ID: g.Request, Workspace: "wards", Gate: "vm-1.1", Urgency: 1, Prompt: 10, Output: 10, Repeatable: true, Avoid: g.Upstreams}
	var reply peer.AcquireReply
	require.NoError(t, o.Acquire(peer.AcquireArgs{Pool: testPool, Left: 3 * clock.Second, Request: r}, &reply))
	require.NotNil(t, reply.Fault)
	require.Equal(t, fault.Unavailable, reply.Fault.Kind)
	require.Equal(t, fault.RanNo, reply.Fault.Ran)
}

package quarantine

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

type fixedClock struct{}

func (fixedClock) Now() clock.Milli { return 1000 }

// testNetwork connects the tables of several VMs directly. It implements Members and Peers.
type testNetwork struct {
	self  peer.VM
	nodes map[string]*Quarantine
}

func (n testNetwork) Self() peer.Member { return peer.Member{VM: n.self} }

func (n testNetwork) Live() []peer.Member {
	var ms []peer.Member
	for a := range n.nodes {
		ms = append(ms, peer.Member{VM: peer.VM(a), Address: a})
	}
	return ms
}

func (n testNetwork) Call(_ context.Context, address, _ string, args, _ any) error {
	return NewReceiver(n.nodes[address]).Learn(args.([]peer.Suspect), &peer.Empty{})
}

// A request crashes two engines through one VM, and its client retries at once through
// another VM, before any heartbeat. Without the message that is sent after each crash,
// the other VM would let the request crash a third engine.
func TestAllPeersKnowOfACrashBeforeTheAnswer(t *testing.T) {
	nodes := map[string]*Quarantine{}
	for _, v := range []string{"vm-1", "vm-2", "vm-3"} {
		n := testNetwork{self: peer.VM(v), nodes: nodes}
		nodes[v] = New(fixedClock{}, n, n)
	}
	nodes["vm-1"].RecordCrash(42, "engine-1", 0)
	require.Equal(t, gate.Suspected, nodes["vm-2"].Check(42))
	nodes["vm-1"].RecordCrash(42, "engine-2", 0)
	for _, q := range nodes {
		require.Equal(t, gate.Quarantined, q.Check(42))
		require.False(t, q.Begin(42))
		require.Equal(t, gate.Clean, q.Check(43))
	}
}

func TestHeartbeatsContainTheTable(t *testing.T) {
	n := testNetwork{self: "vm-1", nodes: map[string]*Quarantine{}}
	a, b := New(fixedClock{}, n, n), New(fixedClock{}, n, n)
	a.RecordCrash(7, "engine-1", 0)
	var beat peer.BeatArgs
	a.Fill("vm-2", &beat)
	b.Learn(&beat, 0)
	require.Equal(t, gate.Suspected, b.Check(7))
	b.Begin(7)
	b.End(7, true)
	require.Equal(t, gate.Clean, b.Check(7))
}

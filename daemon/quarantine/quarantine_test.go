package quarantine

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

type still struct{}

func (still) Now() clock.Milli { return 1000 }

// net joins the tables of some VMs directly.
type net struct {
	self  peer.VM
	nodes map[string]*Quarantine
}

func (n net) Self() peer.Member { return peer.Member{VM: n.self} }

func (n net) Live() []peer.Member {
	var ms []peer.Member
	for a := range n.nodes {
		ms = append(ms, peer.Member{VM: peer.VM(a), Address: a})
	}
	return ms
}

func (n net) Call(_ context.Context, address, _ string, args, _ any) error {
	return NewReceiver(n.nodes[address]).Learn(args.([]peer.Suspect), &peer.Empty{})
}

// A request kills two engines through one VM, and its caller sends it again to
// another VM at once, before any heartbeat. Without the message that goes out
// with each death, the other VM would risk a third engine.
func TestDeathIsKnownEverywhereBeforeTheAnswer(t *testing.T) {
	nodes := map[string]*Quarantine{}
	for _, v := range []string{"vm-1", "vm-2", "vm-3"} {
		n := net{self: peer.VM(v), nodes: nodes}
		nodes[v] = New(still{}, n, n)
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

func TestHeartbeatsCarryTheTable(t *testing.T) {
	n := net{self: "vm-1", nodes: map[string]*Quarantine{}}
	a, b := New(still{}, n, n), New(still{}, n, n)
	a.RecordCrash(7, "engine-1", 0)
	var beat peer.BeatArgs
	a.Fill("vm-2", &beat)
	b.Learn(&beat, false)
	require.Equal(t, gate.Suspected, b.Check(7))
	b.Begin(7)
	b.End(7, true)
	require.Equal(t, gate.Clean, b.Check(7))
}

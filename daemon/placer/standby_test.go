package placer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/holder"
	"snipeshift.example/lib/peer"
)

// The owner of a service loses power while requests are under way to it, alone or together with the VM next
// in rank. VMs that could answer them must not wait until each gate has found that the owner is lost.
func TestOwnerLossDelaysNoRequestUnderWay(t *testing.T) {
	for lostVMs, name := range map[int]string{1: "alone", 2: "with the next in rank"} {
		t.Run(name, func(t *testing.T) { inSimulatedTime(t, func(t *testing.T, f *lossFleet) { loseOwner(t, f, lostVMs) }) })
	}
}

// loseOwner cuts the power of a service's owner, and of the VMs next in rank up to lostVMs in all, while
// requests are under way.
func loseOwner(t *testing.T, f *lossFleet, lostVMs int) {
	const loss, end, underWay = time.Second, 2 * time.Second, 40
	var first time.Duration
	var lost []peer.VM
	f.run(end, map[time.Duration]func(){
		loss: func() {
			owner := f.placing()
			lost = []peer.VM{owner, f.nextRanked(owner)}[:lostVMs]
			first = time.Since(f.began)
			for n := range underWay {
				go f.request(-n)
			}
			time.Sleep(linkDelay / 2)
			for _, v := range lost {
				f.cutPower(v)
			}
		},
	})
	late, all := f.late(first, loss+recoveryTime, maxLatency)
	late = slices.DeleteFunc(late, func(r result) bool { return slices.Contains(lost, r.gate) }) // their clients are cut off
	require.GreaterOrEqual(t, all, underWay)
	require.LessOrEqual(t, len(late), all/100, "late of %d requests: %v", all, late)
}

// probeNetwork is a network on which probes of the holder call probe.
type probeNetwork struct {
	*network
	probe func() error
}

// Probe implements Peers.
func (n probeNetwork) Probe(ctx context.Context, address string) error {
	if address == "holder" {
		return n.probe()
	}
	return n.network.Probe(ctx, address)
}

// trio is a fleet of three VMs: a holder, its standby and a witness. The holder sends keepalives only when
// the test does.
type trio struct {
	*network
	standby, witness *Owner
	holder           peer.Holder
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	f := &trio{network: &network{hanging: map[string]bool{}, refusing: map[string]bool{}, owners: map[string]*Owner{}}}
	var ms members
	for _, v := range []peer.VM{"holder", "standby", "witness"} {
		ms = append(ms, peer.Member{VM: v, Address: string(v)})
	}
	f.holder = holder.NewHolder("s", ms[0], 1)
	for _, m := range ms {
		o := ownerAt(t, viewOf{ms, m}, f.network, "e0")
		o.Holders.Update(f.holder, "test")
		f.owners[m.Address] = o
	}
	f.standby, f.witness = f.owners["standby"], f.owners["witness"]
	return f
}

// keepalive sends one keepalive to the standby.
func (f *trio) keepalive(t *testing.T, args KeepaliveArgs) {
	t.Helper()
	args.Holder = f.holder
	require.NoError(t, f.standby.Keepalive(&args, &peer.Holder{}))
}

// patientTime is longer than the silence and the probes after which a standby takes over.
const patientTime = 300 * time.Millisecond

func TestStandbySucceedsLostHolder(t *testing.T) {
	f := newTrio(t)
	f.keepalive(t, KeepaliveArgs{})
	f.fail(f.hanging, "holder")
	require.Eventually(t, func() bool { x, _ := f.witness.Holders.Of("s"); return x.VM == "standby" }, patientTime, time.Millisecond)
}

// A standby that takes over from a holder that runs leaves two owners, which allocate the same engines.
func TestStandbyDoesNotSucceed(t *testing.T) {
	unreached := func() error { return context.DeadlineExceeded }
	for name, play := range map[string]func(t *testing.T, f *trio){
		"a holder that is busy or stopped, whose VM accepts connections": func(t *testing.T, f *trio) {
			busy := probeNetwork{f.network, func() error { return peer.ErrUnreachable.Wrap(peer.ErrUnanswered.Wrap(context.DeadlineExceeded)) }}
			f.standby.Peers, f.witness.Peers = busy, busy
			f.keepalive(t, KeepaliveArgs{})
		},
		"a holder that a witness reaches": func(t *testing.T, f *trio) {
			f.standby.Peers = probeNetwork{f.network, unreached}
			f.keepalive(t, KeepaliveArgs{})
		},
		"if no witness answers": func(t *testing.T, f *trio) {
			f.keepalive(t, KeepaliveArgs{})
			f.fail(f.hanging, "holder")
			f.fail(f.hanging, "witness")
		},
		"a holder whose keepalive arrives during the probes": func(t *testing.T, f *trio) {
			f.standby.Peers = probeNetwork{f.network, func() error { f.keepalive(t, KeepaliveArgs{}); return context.DeadlineExceeded }}
			f.witness.Peers = probeNetwork{f.network, unreached}
			f.keepalive(t, KeepaliveArgs{})
		},
		"after the last keepalive": func(t *testing.T, f *trio) {
			f.keepalive(t, KeepaliveArgs{})
			f.keepalive(t, KeepaliveArgs{Final: true})
			f.fail(f.hanging, "holder")
		},
		"before a first standby that runs": func(t *testing.T, f *trio) {
			f.keepalive(t, KeepaliveArgs{First: "witness"})
			f.fail(f.hanging, "holder")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTrio(t)
			play(t, f)
			time.Sleep(patientTime)
			require.False(t, f.standby.Holders.Holds("s"))
		})
	}
}

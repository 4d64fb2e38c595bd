package placer

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// badPart is a part of prompts that crashes upstreams in these tests.
const badPart blame.Part = 0xbad

// changingView is a view that a test replaces.
type changingView struct{ atomic.Pointer[registry.View] }

func (v *changingView) View() *registry.View { return v.Load() }

// newPartDeployment returns a deployment whose upstreams can be replaced.
func newPartDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t)
	for _, o := range d.owners {
		v := &changingView{}
		v.Store(o.Knowledge.View())
		o.Knowledge = v
	}
	return d
}

func askWith(id decide.RequestID, parts ...blame.Part) span.Ask {
	a := ask(id)
	a.Parts = parts
	return a
}

// crashThree has three requests with the bad part crash their upstreams.
func (d *deployment) crashThree(t *testing.T) {
	t.Helper()
	for i := range 3 {
		id := decide.RequestID(fmt.Sprint("bad", i))
		reply, err := d.client.Ask(context.Background(), "s", askWith(id, badPart))
		require.NoError(t, err)
		require.Empty(t, reply.Fault)
		d.note(t, NoteArgs{Service: "s", Request: id, Event: Ended, Outcome: span.Crashed})
		// Each crash is one of another incarnation of an upstream.
		d.respawn(reply.Grant.Leader.Upstream)
	}
}

// note delivers a message about a grant to the owner.
func (d *deployment) note(t *testing.T, n NoteArgs) {
	t.Helper()
	d.client.mu.Lock()
	delete(d.client.live, n.Request)
	d.client.mu.Unlock()
	owner, _ := d.client.owner("s")
	require.NoError(t, d.owners[owner.Address].Note(&n, &peer.Empty{}))
}

// respawn has all VMs list the next incarnation of an upstream.
func (d *deployment) respawn(id decide.UpstreamID) {
	for _, o := range d.owners {
		v := *o.Knowledge.View()
		us := slices.Clone(v.Upstreams["s"])
		for i := range us {
			if us[i].ID == id {
				us[i].Born++
			}
		}
		v.Upstreams = map[route.ServiceID][]route.Upstream{"s": us}
		v.Generation++
		o.Knowledge.(*changingView).Store(&v)
		p := o.lockedPool("s")
		p.pool.AssumeVerified(id)
		p.mu.Unlock()
	}
}

// requireRefused requires that a request with the bad part is refused, and one without it is not.
func (d *deployment) requireRefused(t *testing.T, when string) {
	t.Helper()
	reply, err := d.client.Ask(context.Background(), "s", askWith(decide.RequestID("bad "+when), 1, badPart))
	require.NoError(t, err)
	require.Equal(t, fault.Quarantined, reply.Fault, when)
	require.Positive(t, reply.Retry)
	reply, err = d.client.Ask(context.Background(), "s", askWith(decide.RequestID("sound "+when), 1))
	require.NoError(t, err)
	require.Empty(t, reply.Fault, when)
}

// The owner is lost; if its verdict went with it the part would crash three more upstreams, at each loss.
func TestVerdictOnPartOutlivesOwner(t *testing.T) {
	d := newPartDeployment(t)
	d.crashThree(t)
	d.requireRefused(t, "at the owner")
	d.client.present(context.Background(), "s", nil)
	require.Len(t, d.client.crashesUnder("s", []blame.Part{badPart}), 3)
	require.Empty(t, d.client.crashesUnder("s", []blame.Part{1}))
	d.fail(d.refusing, d.ranked[0].Address)
	d.requireRefused(t, "at the next owner")
	for _, m := range d.ranked {
		d.fail(d.refusing, m.Address)
	}
	d.requireRefused(t, "at a VM that reaches no other")
}

// Each owner is lost just before a crash is reported to it; if the reports went with them the part would never be blamed.
func TestCrashesWhoseReportsAreLostCount(t *testing.T) {
	d := newPartDeployment(t)
	for i := range 3 {
		id := decide.RequestID(fmt.Sprint("bad", i))
		reply, err := d.client.Ask(context.Background(), "s", askWith(id, badPart))
		require.NoError(t, err)
		require.Empty(t, reply.Fault)
		owner, _ := d.client.owner("s")
		d.fail(d.refusing, owner.Address)
		d.client.End(id, span.Crashed, "")
		d.respawn(reply.Grant.Leader.Upstream)
	}
	d.requireRefused(t, "after three crashes")
}

// Prompts share a part and the VM of their client has had answers on it; a crash beside them must not follow them to a new
// owner, which would hold them back.
func TestCrashesUnderFamiliarPartsAreNotPassedOn(t *testing.T) {
	d := newPartDeployment(t)
	for _, x := range []struct {
		id      decide.RequestID
		outcome span.Outcome
	}{{"sound", span.Done}, {"cut off", span.Crashed}} {
		_, err := d.client.Ask(context.Background(), "s", askWith(x.id, 1))
		require.NoError(t, err)
		d.client.End(x.id, x.outcome, "")
	}
	require.Empty(t, d.client.crashesUnder("s", []blame.Part{1}))
}

// The upstreams are repaired and clients go on sending the part, so that no verdict would end by itself; once the operator
// has cleared it, copies of its crashes at gates must not bring it back.
func TestOperatorClearsBlamedPart(t *testing.T) {
	d := newPartDeployment(t)
	d.crashThree(t)
	d.requireRefused(t, "before")
	d.client.present(context.Background(), "s", nil)
	rows := d.client.SuspectParts()
	require.Len(t, rows, 1)
	require.Equal(t, badPart, rows[0].Part)
	require.Len(t, rows[0].Upstreams, 3)
	suspect, err := d.client.Pardon(context.Background(), "s", badPart)
	require.NoError(t, err)
	require.True(t, suspect)
	reply, err := d.client.Ask(context.Background(), "s", askWith("after", badPart))
	require.NoError(t, err)
	require.Empty(t, reply.Fault)
	d.client.present(context.Background(), "s", nil)
	require.Empty(t, d.client.SuspectParts())
	suspect, err = d.client.Pardon(context.Background(), "s", badPart)
	require.NoError(t, err)
	require.False(t, suspect)
}

func TestPlannedSuccessorKnowsBlamedParts(t *testing.T) {
	d := newPartDeployment(t)
	h, list := d.changingHolder()
	d.crashThree(t)
	d.client.mu.Lock()
	clear(d.client.crashes) // the gate must not tell the successor
	d.client.mu.Unlock()
	list.set(d.ranked[1:])
	h.HandOver(context.Background())
	require.False(t, h.Holders.Holds("s"))
	d.requireRefused(t, "at the successor")
}

// Calm fleets must not spend anything on what no part is blamed for.
func TestCopiesOfCrashesAreSentOnlyIfTheyChange(t *testing.T) {
	d := newPartDeployment(t)
	_, err := d.client.Ask(context.Background(), "s", askWith("calm", 1))
	require.NoError(t, err)
	present := func(digest uint64) PresentReply {
		var reply PresentReply
		require.NoError(t, d.owners[d.ranked[0].Address].Present(&PresentArgs{Service: "s", Gate: "other", CrashDigest: digest}, &reply))
		return reply
	}
	require.False(t, present(0).NewCrashes)
	d.crashThree(t)
	first := present(0)
	require.True(t, first.NewCrashes)
	require.False(t, present(blame.Digest(first.Crashes)).NewCrashes)
}

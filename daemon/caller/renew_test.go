package caller

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// renewalOwner receives renewals and replies with the requests that it does not know.
type renewalOwner struct {
	received peer.RenewArgs
	unknown  []decide.RequestID
}

func (o *renewalOwner) Call(_ context.Context, _, _ string, args, reply any) error {
	o.received = args.(peer.RenewArgs)
	reply.(*peer.RenewReply).Unknown = o.unknown
	return nil
}

// The owner of a pool crashes while requests run, and its successor does not know their grants. It
// must receive each full grant once. After that, short renewals suffice until an owner reports a
// grant as unknown.
func TestFullGrantIsSentOnlyToOwnerThatDoesNotKnowIt(t *testing.T) {
	b := newHarness(t)
	o := &renewalOwner{}
	b.gate.Peers = o
	h := b.gate.track(&request{id: "r"})
	h.granted, h.pool, h.knownBy = true, "drafter@hall", "first"
	h.grant = decide.Grant{ID: 7, Request: "r"}
	renew := func(address string) { b.gate.renewPool(t.Context(), h.pool, address, []*activeRequest{h}) }

	renew("first")
	require.Empty(t, o.received.Grants)
	require.Len(t, o.received.Known, 1)
	renew("successor")
	require.Len(t, o.received.Grants, 1)
	renew("successor")
	require.Empty(t, o.received.Grants)
	o.unknown = []decide.RequestID{"r"}
	renew("successor")
	o.unknown = nil
	renew("successor")
	require.Len(t, o.received.Grants, 1)
}

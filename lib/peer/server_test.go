package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

// slowReceiver answers after a time.
type slowReceiver struct{ delay time.Duration }

func (r slowReceiver) Answer(peer.Empty, *peer.Empty) error {
	time.Sleep(r.delay)
	return nil
}

// Silent connections take all the room for peers. One that waits for a call must stay, and a peer that connects must be
// served as soon as the others have been silent for a second.
func TestSilentConnectionsOfPeersMakeRoom(t *testing.T) {
	const limit = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer()
	require.NoError(t, s.Register("Slow", slowReceiver{3 * time.Second}))
	s.SetLimit(limit)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	waiting := peer.NewDialer(peer.DialTCP)
	defer waiting.Close()
	result := make(chan error, 1)
	go func() {
		result <- waiting.Call(t.Context(), l.Addr().String(), "Slow.Answer", peer.Empty{}, &peer.Empty{})
	}()
	require.Eventually(t, func() bool { return s.Counts().Open == 1 }, time.Second, time.Millisecond)
	for range limit - 1 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool { return s.Counts().Open == limit }, time.Second, time.Millisecond)
	d := peer.NewDialer(peer.DialTCP)
	defer d.Close()
	probe := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return d.Probe(ctx, l.Addr().String())
	}
	require.Error(t, probe(), "the others may begin to send")
	require.Eventually(t, func() bool { return probe() == nil }, 2*time.Second, 50*time.Millisecond)
	require.NoError(t, <-result)
	require.Positive(t, s.Counts().Refused)
	require.Positive(t, s.Counts().Evicted)
}

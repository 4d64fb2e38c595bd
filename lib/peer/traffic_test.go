package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

func TestBothEndsCountTheSameBytes(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer()
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	d := peer.NewDialer(peer.DialTCP)
	require.Zero(t, d.Traffic().Written())

	require.NoError(t, d.Call(context.Background(), l.Addr().String(), peer.ProbeMethod, peer.Empty{}, &peer.Empty{}))
	require.Positive(t, d.Traffic().Written())
	require.Equal(t, d.Traffic().Written(), s.Traffic().Read())
	// An end counts a write when the call returns, which may be after the other end has read the data.
	require.Eventually(t, func() bool { return d.Traffic().Read() == s.Traffic().Written() }, 5*time.Second, time.Millisecond)

	d.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
	s.Close()
}

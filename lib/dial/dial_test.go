package dial

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossy is a Dial whose first lost attempts hang until their context ends, as if their first packet was lost.
type lossy struct {
	lost     int64
	attempts atomic.Int64
	closed   atomic.Int64
}

func (l *lossy) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if l.attempts.Add(1) <= l.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, _ := net.Pipe()
	return &counted{c, l}, nil
}

// counted counts its calls of Close in dialer.
type counted struct {
	net.Conn
	dialer *lossy
}

func (c *counted) Close() error {
	c.dialer.closed.Add(1)
	return c.Conn.Close()
}

// Connecting to a VM that starts a moment later loses the first packet. Without a parallel attempt all
// callers waiting for the connection would count the VM as unreachable until the kernel retransmits a second later.
func TestLostPacketDelaysConnectByOneHedgeDelay(t *testing.T) {
	l := &lossy{lost: 2}
	began := time.Now()
	c, err := Hedged(l.dial, 20*time.Millisecond)(context.Background(), "tcp", "a:1")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.EqualValues(t, 3, l.attempts.Load())
}

// Two attempts may succeed. The unused connection must be closed, or it would stay open at the peer.
func TestUnusedConnectionIsClosed(t *testing.T) {
	l := &lossy{}
	begun, both := atomic.Int64{}, make(chan struct{})
	slow := func(ctx context.Context, network, address string) (net.Conn, error) {
		if begun.Add(1) == 2 {
			close(both)
		}
		<-both
		return l.dial(ctx, network, address)
	}
	_, err := Hedged(slow, 10*time.Millisecond)(context.Background(), "tcp", "a:1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.attempts.Load() > 1 && l.closed.Load() == l.attempts.Load()-1 }, 5*time.Second, 5*time.Millisecond)
}

// A refusal proves that the host was reached: it is returned at once, without another attempt.
func TestRefusalIsReturnedAtOnce(t *testing.T) {
	refused := errors.New("refused")
	n := 0
	_, err := Hedged(func(context.Context, string, string) (net.Conn, error) { n++; return nil, refused }, time.Hour)(context.Background(), "tcp", "a:1")
	require.ErrorIs(t, err, refused)
	require.Equal(t, 1, n)
}

// When the caller's context ends before any attempt succeeds, the call ends with the context's error.
func TestContextEndCancelsAllAttempts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := Hedged((&lossy{lost: 1 << 20}).dial, 10*time.Millisecond)(ctx, "tcp", "a:1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

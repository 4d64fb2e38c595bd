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

// lossy loses the first packets of some attempts: these hang until their context ends.
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

// counted counts its closing.
type counted struct {
	net.Conn
	of *lossy
}

func (c *counted) Close() error {
	c.of.closed.Add(1)
	return c.Conn.Close()
}

// A VM starts a moment after another one wanted to reach it, whose first packet is lost. Without a second attempt all who
// wait for that connect would hold the VM for unreachable until the kernel's next packet, a second later.
func TestALostPacketCostsOneSpan(t *testing.T) {
	l := &lossy{lost: 2}
	began := time.Now()
	c, err := Hedged(l.dial, 20*time.Millisecond)(context.Background(), "tcp", "a:1")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.EqualValues(t, 3, l.attempts.Load())
}

// Two attempts may succeed. The one that is not used must not stay open at the other end.
func TestTheOtherConnectionIsClosed(t *testing.T) {
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

// A process that refuses is reached: nothing is gained by trying again.
func TestARefusalCountsAtOnce(t *testing.T) {
	refused := errors.New("refused")
	n := 0
	_, err := Hedged(func(context.Context, string, string) (net.Conn, error) { n++; return nil, refused }, time.Hour)(context.Background(), "tcp", "a:1")
	require.ErrorIs(t, err, refused)
	require.Equal(t, 1, n)
}

// The caller's time is over before any attempt succeeds.
func TestTheEndOfTheTimeEndsAllAttempts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := Hedged((&lossy{lost: 1 << 20}).dial, 10*time.Millisecond)(ctx, "tcp", "a:1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

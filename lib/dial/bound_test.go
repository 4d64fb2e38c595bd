package dial

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Upstreams take all connections that the VM has for them. A further connect must fail as one that says nothing of its
// target, and use the room of idle connections first.
func TestConnectsBeyondBoundSayNothingOfTarget(t *testing.T) {
	idle := []net.Conn{}
	limit := 2
	b := NewBound(func() int { return limit }, func() {
		for _, c := range idle {
			_ = c.Close()
		}
	})
	d := b.Dial(func(context.Context, string, string) (net.Conn, error) { c, _ := net.Pipe(); return c, nil })
	first, err := d(t.Context(), "tcp", "a")
	require.NoError(t, err)
	second, err := d(t.Context(), "tcp", "a")
	require.NoError(t, err)
	_, err = d(t.Context(), "tcp", "a")
	require.True(t, ErrNoPath.Has(err))
	idle = append(idle, first)
	_, err = d(t.Context(), "tcp", "a")
	require.NoError(t, err)
	require.Equal(t, 2, b.Open(), "a connection that is closed twice counts once")
	idle = append(idle, second)
	b.Trim()
	require.Equal(t, 2, b.Open())
	limit = 1
	b.Trim()
	require.Equal(t, 1, b.Open())
}

// The process has no descriptor for a connect; the upstream must not be blamed.
func TestConnectWithoutDescriptorSaysNothingOfTarget(t *testing.T) {
	fail := syscall.EMFILE
	b := NewBound(func() int { return 0 }, func() {})
	d := b.Dial(func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", fail)}
	})
	_, err := d(t.Context(), "tcp", "a")
	require.True(t, ErrNoPath.Has(err))
	fail = syscall.ECONNREFUSED
	_, err = d(t.Context(), "tcp", "a")
	require.False(t, ErrNoPath.Has(err))
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Zero(t, b.Open())
}

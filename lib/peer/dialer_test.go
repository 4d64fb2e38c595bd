package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type slowReceiver struct{ release chan struct{} }

func (s slowReceiver) Wait(Empty, *Empty) error {
	<-s.release
	return nil
}

func (s slowReceiver) Fail(Empty, *Empty) error { return rpc.ErrShutdown }

func startServer(t *testing.T) (address string, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	s := NewServer()
	require.NoError(t, s.Register("Slow", slowReceiver{release}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { closeQuietly(l); s.Close() })
	return l.Addr().String(), release
}

func TestCallReturnsReplyOrRemoteError(t *testing.T) {
	address, release := startServer(t)
	close(release)
	d := NewDialer(DialTCP)
	defer d.Close()
	require.NoError(t, d.Call(context.Background(), address, "Slow.Wait", Empty{}, &Empty{}))
	err := d.Call(context.Background(), address, "Slow.Fail", Empty{}, &Empty{})
	var remote rpc.ServerError
	require.ErrorAs(t, err, &remote)
	require.False(t, ErrUnreachable.Has(err))
}

// A firewall between two VMs drops its state of a connection: both ends keep the connection open, but
// nothing arrives. Without the probe a gate would wait for a grant until the request's deadline. With
// it the call fails within about a second, and the next call uses a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	address, release := startServer(t)
	d, silent, dials := newBlackholeDialer()
	defer d.Close()
	require.NoError(t, d.Call(context.Background(), address, ProbeMethod, Empty{}, &Empty{}))
	silent.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := d.Call(ctx, address, "Slow.Wait", Empty{}, &Empty{})
	require.True(t, ErrUnreachable.Has(err), "%v", err)
	require.NoError(t, ctx.Err(), "the call must fail by the probe, not by its own deadline")

	close(release)
	require.NoError(t, d.Call(ctx, address, "Slow.Wait", Empty{}, &Empty{}))
	require.Equal(t, int32(2), dials.Load())
}

// newBlackholeDialer returns a dialer that counts its dials and discards writes to its first connection while silent is set.
func newBlackholeDialer() (d *Dialer, silent *atomic.Bool, dials *atomic.Int32) {
	silent, dials = &atomic.Bool{}, &atomic.Int32{}
	d = NewDialer(func(ctx context.Context, a string) (net.Conn, error) {
		c, err := DialTCP(ctx, a)
		if err != nil {
			return nil, err
		}
		if dials.Add(1) == 1 {
			return &blackholeConn{Conn: c, silent: silent}, nil
		}
		return c, nil
	})
	return d, silent, dials
}

// blackholeConn discards writes while silent is set, as a firewall does that lost its state of the connection.
type blackholeConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// A gate waits 300 ms for the reply of an owner and then asks another VM. On a connection that carries nothing all calls
// time out like that. If only longer calls started a probe, the connection would never be replaced.
func TestUnresponsiveConnectionIsReplacedAfterShortCalls(t *testing.T) {
	address, release := startServer(t)
	defer close(release)
	d, silent, dials := newBlackholeDialer()
	defer d.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return d.Call(ctx, address, ProbeMethod, Empty{}, &Empty{})
	}
	require.NoError(t, call())
	silent.Store(true)
	require.Error(t, call())
	time.Sleep(probeTimeout + probeEvery) // no call is made in the meantime
	require.NoError(t, call())
	require.Equal(t, int32(2), dials.Load())
}

func TestRefusedDialReturnsErrUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	closeQuietly(l)
	d := NewDialer(DialTCP)
	defer d.Close()
	require.True(t, ErrUnreachable.Has(d.Call(context.Background(), address, ProbeMethod, Empty{}, &Empty{})))
}

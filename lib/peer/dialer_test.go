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

type slow struct{ release chan struct{} }

func (s slow) Wait(Empty, *Empty) error {
	<-s.release
	return nil
}

func (s slow) Fail(Empty, *Empty) error { return rpc.ErrShutdown }

func startServer(t *testing.T) (address string, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	s := NewServer()
	require.NoError(t, s.Register("Slow", slow{release}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { closeQuietly(l); s.Close() })
	return l.Addr().String(), release
}

func TestCallAnswersAndTellsRemoteErrors(t *testing.T) {
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

// A firewall between two VMs forgets a connection: both ends keep it open and
// nothing arrives any more. Without the probe, a gate that waits for a grant on
// it would wait until the request's deadline; with it, the call fails within
// about a second and the next call uses a fresh connection.
func TestSilentConnectionIsThrownAway(t *testing.T) {
	address, release := startServer(t)
	d, silent, dials := newMuteDialer()
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

// newMuteDialer returns a dialer whose first connection can be silenced, and counts its dials.
func newMuteDialer() (d *Dialer, silent *atomic.Bool, dials *atomic.Int32) {
	silent, dials = &atomic.Bool{}, &atomic.Int32{}
	d = NewDialer(func(ctx context.Context, a string) (net.Conn, error) {
		c, err := DialTCP(ctx, a)
		if err != nil {
			return nil, err
		}
		if dials.Add(1) == 1 {
			return &muteConn{Conn: c, silent: silent}, nil
		}
		return c, nil
	})
	return d, silent, dials
}

// muteConn swallows writes once silent, as a forgotten connection does.
type muteConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// A gate gives an owner 300 ms for each answer and then asks another one. On a connection that was forgotten each of its calls
// ends so, none waits long enough for a probe, and for as long as the owner lives it is asked in vain.
func TestASilentConnectionIsThrownAwayThoughItsCallsAreShort(t *testing.T) {
	address, release := startServer(t)
	defer close(release)
	d, silent, dials := newMuteDialer()
	defer d.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return d.Call(ctx, address, ProbeMethod, Empty{}, &Empty{})
	}
	require.NoError(t, call())
	silent.Store(true)
	require.Error(t, call())
	time.Sleep(probeTimeout + probeEvery) // nobody calls meanwhile
	require.NoError(t, call())
	require.Equal(t, int32(2), dials.Load())
}

func TestRefusedDialIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	closeQuietly(l)
	d := NewDialer(DialTCP)
	defer d.Close()
	require.True(t, ErrUnreachable.Has(d.Call(context.Background(), address, ProbeMethod, Empty{}, &Empty{})))
}

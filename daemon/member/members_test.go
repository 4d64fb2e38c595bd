package member

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// dialer is a Caller over net/rpc on loopback that counts bytes.
type dialer struct {
	sent, received *atomic.Int64

	mu      sync.Mutex
	clients map[string]*rpc.Client
	// failing, while set, makes every call fail.
	failing atomic.Bool
}

type counted struct {
	net.Conn
	d *dialer
}

func (c counted) Write(b []byte) (int, error) {
	c.d.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.d.received.Add(int64(n))
	return n, err
}

func (d *dialer) client(ctx context.Context, address string) (*rpc.Client, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.clients[address]; c != nil {
		return c, nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.clients[address] = rpc.NewClient(counted{conn, d})
	return d.clients[address], nil
}

func (d *dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	if d.failing.Load() {
		return net.ErrClosed
	}
	c, err := d.client(ctx, address)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		d.mu.Lock()
		delete(d.clients, address)
		d.mu.Unlock()
		_ = c.Close()
	}
	return err
}

type fixedSeeds []string

func (f fixedSeeds) Seeds(context.Context) []string { return f }

type noDocuments struct{}

func (noDocuments) Newest() (peer.Revision, []byte) { return 7, []byte("text") }

// node is a running member with its dialer.
type node struct {
	*Members
	dialer *dialer
	stop   func()
}

// startNode runs member number i on loopback until the test ends or stop is called.
func startNode(t testing.TB, i int, seeds []string) *node {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &dialer{sent: &atomic.Int64{}, received: &atomic.Int64{}, clients: map[string]*rpc.Client{}}
	m := testMember(i)
	m.Address = l.Addr().String()
	n := &node{Members: New(m, DefaultRules, d, fixedSeeds(seeds), clock.New()), dialer: d}
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName(Name, NewReceiver(n.Members, noDocuments{})))
	go server.Accept(l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	n.stop = sync.OnceFunc(func() { cancel(); <-done; _ = l.Close() })
	t.Cleanup(n.stop)
	return n
}

func startNodes(t testing.TB, count int) []*node {
	first := startNode(t, 0, nil)
	nodes := []*node{first}
	for i := range count - 1 {
		nodes = append(nodes, startNode(t, i+1, []string{first.Self().Address}))
	}
	allSee(t, nodes, count)
	return nodes
}

func allSee(t testing.TB, nodes []*node, count int) {
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.Live()) != count {
				return false
			}
		}
		return true
	}, time.Minute, 10*time.Millisecond)
}

// A cut holds a heartbeat up. The VM that gets it as the cut heals has had no contact since it was written.
func TestHeldUpHeartbeatIsNoContact(t *testing.T) {
	var at clock.Milli = 1000
	now := clockFunc(func() clock.Milli { return at })
	a := New(peer.Member{VM: "a", Incarnation: 1}, DefaultRules, nil, nil, now)
	b := New(peer.Member{VM: "b", Incarnation: 2}, DefaultRules, nil, nil, now)
	var reply peer.BeatArgs
	require.NoError(t, NewReceiver(b, nil).Beat(a.message("b", false), &reply))
	a.learn(&reply)
	require.EqualValues(t, 1000, a.LastWritten())
	at += 500
	held := b.message("a", false)
	at += 9000
	a.learn(held)
	require.EqualValues(t, 10500, a.LastContact())
	require.EqualValues(t, 1500, a.LastWritten())
}

// clockFunc is a Clock.
type clockFunc func() clock.Milli

func (f clockFunc) Now() clock.Milli { return f() }

func TestMembersJoinLeaveAndReconnectOverNetRPC(t *testing.T) {
	nodes := startNodes(t, 4)
	require.Positive(t, nodes[1].LastContact())
	var reply peer.DocumentReply
	args := &peer.DocumentArgs{Above: 6}
	require.NoError(t, nodes[1].dialer.Call(t.Context(), nodes[0].Self().Address, "Member.Document", args, &reply))
	require.EqualValues(t, 7, reply.Revision)
	text, err := peer.Expand(reply.Packed)
	require.NoError(t, err)
	require.Equal(t, "text", string(text))

	nodes[1].Stop()
	stopping := func() bool {
		for _, n := range nodes {
			for _, m := range n.Live() {
				if m.VM == nodes[1].Self().VM && !m.Stopping {
					return false
				}
			}
		}
		return true
	}
	require.Eventually(t, stopping, 10*time.Second, 10*time.Millisecond)
	nodes[1].stop()
	nodes[1].Leave(t.Context())
	rest := []*node{nodes[0], nodes[2], nodes[3]}
	allSee(t, rest, 3)

	// All connections fail at once, without an announced stop. The seeds reconnect the members.
	for _, n := range rest {
		n.dialer.failing.Store(true)
	}
	allSee(t, rest, 1)
	for _, n := range rest {
		n.dialer.failing.Store(false)
	}
	allSee(t, rest, 3)
}

// BenchmarkHeartbeats measures the cost of membership per node while nothing changes: bytes per
// second, sent and received together, and processor time of the whole process divided by the nodes.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := startNodes(b, size)
			b.ResetTimer()
			for range b.N {
				measure(b, nodes, 20*time.Second)
			}
			b.StopTimer()
			for _, n := range nodes {
				n.stop()
			}
		})
	}
}

func measure(b *testing.B, nodes []*node, span time.Duration) {
	// The updates caused by the start have to end first.
	time.Sleep(10 * time.Second)
	var sent, received int64
	for _, n := range nodes {
		sent -= n.dialer.sent.Load()
		received -= n.dialer.received.Load()
	}
	cpu := processorTime(b)
	time.Sleep(span)
	cpu = processorTime(b) - cpu
	for _, n := range nodes {
		sent += n.dialer.sent.Load()
		received += n.dialer.received.Load()
	}
	per := span.Seconds() * float64(len(nodes))
	// A node also answers as many heartbeats as it sends, so the bytes of both directions count.
	b.ReportMetric(float64(sent+received)/per, "B/s/node-out")
	b.ReportMetric(100*cpu.Seconds()/per, "%core/node")
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

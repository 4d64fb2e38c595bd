package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// stubReceiver answers every message with a reply of the usual size and does no other work.
type stubReceiver struct{}

func (stubReceiver) Acquire(args peer.AcquireArgs, reply *peer.AcquireReply) error {
	reply.Stamp, reply.Grant = args.Stamp, grant(7)
	reply.Summary = decide.Summary{Wait: [4]clock.Milli{3, 5, 40, 200}, Queued: 12, Running: 240, Free: 1_400_000, Largest: 1_100_000}
	return nil
}

func (stubReceiver) Return(peer.ReturnArgs, *peer.Empty) error { return nil }

func (stubReceiver) Renew(peer.RenewArgs, *peer.RenewReply) error { return nil }

func (stubReceiver) Beat(args *peer.BeatArgs, reply *peer.BeatArgs) error {
	reply.Stamp, reply.From, reply.View = args.Stamp, args.From, args.View
	return nil
}

func (stubReceiver) Share(args peer.ShareArgs, reply *peer.ShareReply) error {
	reply.Rates = make([]decide.Rate, len(args.Demands))
	for i, d := range args.Demands {
		reply.Rates[i] = d.Rate * 0.9
	}
	return nil
}

const (
	vm          = "vm-kerala-217"
	gate        = decide.GateID(vm + "-1796245057123")
	pool        = peer.PoolID("notice-drafter@tvm-hall")
	incarnation = peer.Incarnation(1_796_245_057_123)
)

func requestID(i int) decide.RequestID {
	return (peer.Origin{VM: vm, Incarnation: incarnation, Deadline: clock.Milli(incarnation) + 600_000, Count: uint64(100_000 + i)}).ID()
}

func workspace(i int) decide.WorkspaceID { return decide.WorkspaceID(fmt.Sprintf("workspace-%04d", i)) }

func grant(i int) decide.Grant {
	return decide.Grant{
		ID: decide.GrantID(uint64(incarnation)<<20 + uint64(i)), Epoch: decide.Epoch(incarnation), Request: requestID(i), Workspace: workspace(i), Gate: gate,
		Urgency: 1, Upstreams: []decide.UpstreamID{"notice-127"}, Reserved: 9000, Prompt: 8000, Output: 400, Until: 5000, Deadline: 570_000,
	}
}

func acquire(prefixes int) peer.AcquireArgs {
	r := decide.Request{ID: requestID(1), Workspace: workspace(1), Gate: gate, Urgency: 1, Prompt: 8000, Output: 400, Repeatable: true}
	for i := range prefixes {
		r.Prefixes = append(r.Prefixes, decide.PrefixHash(0xfeed_beef_cafe_0000+uint64(i)))
	}
	return peer.AcquireArgs{Stamp: 1 << 60, Pool: pool, Left: 600_000, Request: r}
}

func renew(n int) peer.RenewArgs {
	a := peer.RenewArgs{Pool: pool, Gate: gate}
	for i := range n {
		g := grant(i)
		a.Known = append(a.Known, peer.Renewal{Grant: g.ID, Request: g.Request, First: 100, Output: 120})
	}
	return a
}

func beat(changed int) *peer.BeatArgs {
	b := &peer.BeatArgs{Stamp: 1 << 60, From: peer.Member{VM: vm, Incarnation: incarnation, Domain: "tvm-hall", Address: "10.20.1.217:7000", Operator: "10.20.1.217:7001", Seq: 3}, View: 1 << 63}
	for i := range changed {
		b.Usage = append(b.Usage, peer.WorkspaceUsage{VM: vm, Incarnation: incarnation, Workspace: workspace(i), Usage: peer.Usage{Requests: 1200, Prompt: 9_000_000, Cached: 2_000_000, Output: 400_000}})
	}
	return b
}

func share(n int) peer.ShareArgs {
	a := peer.ShareArgs{Gate: gate}
	for i := range n {
		a.Demands = append(a.Demands, peer.Demand{Workspace: workspace(i), Rate: 40_123.7})
	}
	return a
}

// message is a call between daemons, with its arguments and reply.
type message struct {
	name, method string
	args, reply  any
}

func messages() []message {
	return []message{
		{"acquire/prefixes=0", "Pool.Acquire", acquire(0), &peer.AcquireReply{}},
		{"acquire/prefixes=3", "Pool.Acquire", acquire(3), &peer.AcquireReply{}},
		{"acquire/prefixes=10", "Pool.Acquire", acquire(10), &peer.AcquireReply{}},
		{"return", "Pool.Return", peer.ReturnArgs{Stamp: 1 << 60, Pool: pool, Gate: gate, Grant: 1 << 62, Request: requestID(1), Usage: peer.Usage{Requests: 1, Prompt: 8000, Output: 400}}, &peer.Empty{}},
		{"renew/grants=1", "Pool.Renew", renew(1), &peer.RenewReply{}},
		{"renew/grants=100", "Pool.Renew", renew(100), &peer.RenewReply{}},
		{"beat/usage=0", "Pool.Beat", beat(0), &peer.BeatArgs{}},
		{"beat/usage=100", "Pool.Beat", beat(100), &peer.BeatArgs{}},
		{"share/demands=1", "Pool.Share", share(1), &peer.ShareReply{}},
		{"share/demands=100", "Pool.Share", share(100), &peer.ShareReply{}},
	}
}

func serve(b *testing.B) (address string) {
	b.Helper()
	l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := peer.NewServer()
	require.NoError(b, s.Register("Pool", stubReceiver{}))
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = l.Close(); s.Close() })
	return l.Addr().String()
}

// BenchmarkMessage reports the cost of one message and its reply for both daemons
// together: bytes in both directions, time and allocations.
func BenchmarkMessage(b *testing.B) {
	for _, m := range messages() {
		b.Run(m.name, func(b *testing.B) {
			address := serve(b)
			d := peer.NewDialer(peer.DialTCP)
			defer d.Close()
			call := func() { require.NoError(b, d.Call(context.Background(), address, m.method, m.args, m.reply)) }
			call() // the first call also transfers gob's type descriptions
			before := d.Traffic().Written() + d.Traffic().Read()
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
			b.ReportMetric(float64(d.Traffic().Written()+d.Traffic().Read()-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkConnection reports the memory of an idle connection between two daemons, both ends
// together, after two messages, and the bytes of these first messages.
func BenchmarkConnection(b *testing.B) {
	const count = 200
	ds := make([]*peer.Dialer, count)
	address := serve(b)
	for b.Loop() {
		before := heapInUse()
		var first uint64
		for i := range ds {
			ds[i] = peer.NewDialer(peer.DialTCP)
			require.NoError(b, ds[i].Call(context.Background(), address, "Pool.Acquire", acquire(3), &peer.AcquireReply{}))
			require.NoError(b, ds[i].Call(context.Background(), address, "Pool.Return", peer.ReturnArgs{}, &peer.Empty{}))
			first += ds[i].Traffic().Written() + ds[i].Traffic().Read()
		}
		b.ReportMetric(float64(heapInUse()-before)/count, "B/connection")
		b.ReportMetric(float64(first)/count, "wire-B/connection")
		for _, d := range ds {
			d.Close()
		}
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

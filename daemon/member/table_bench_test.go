package member

import (
	"encoding/gob"
	"fmt"
	"net/rpc"
	"runtime"
	"testing"

	"snipeshift.example/lib/peer"
)

// meter encodes messages as net/rpc does, with one encoder for each pair of members that exchange
// heartbeats, and counts the bytes.
type meter struct {
	bytes int64
	pairs map[[2]peer.VM]*gob.Encoder
}

func (m *meter) Write(b []byte) (int, error) {
	m.bytes += int64(len(b))
	return len(b), nil
}

func (m *meter) send(b *testing.B, from, to peer.VM, vs ...any) {
	pair := [2]peer.VM{from, to}
	e := m.pairs[pair]
	if e == nil {
		e = gob.NewEncoder(m)
		m.pairs[pair] = e
	}
	for _, v := range vs {
		if err := e.Encode(v); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSimulatedHeartbeats simulates the heartbeats of a large fleet in one goroutine. It reports the
// bytes per second that a node sends, including gob and net/rpc headers, and the processor time per node.
// The variant "replaced" replaces one member every ten seconds, many times as often as the
// planned 372 replacements a day.
func BenchmarkSimulatedHeartbeats(b *testing.B) {
	for _, size := range []int{81, 450} {
		for _, churn := range []bool{false, true} {
			name := map[bool]string{false: "quiet", true: "replaced"}[churn]
			b.Run(fmt.Sprintf("%d-%s", size, name), func(b *testing.B) { simulate(b, size, churn) })
		}
	}
}

func simulate(b *testing.B, size int, churn bool) {
	g := &group{now: 1000, tables: map[peer.VM]*Table{}}
	g.lost = func(_, _ peer.VM) bool { return false }
	for i := range size {
		table := NewTable(testMember(i), DefaultRules)
		for j := range size {
			table.Heard(g.now, testMember(j))
		}
		g.tables[vmName(i)] = table
		g.order = append(g.order, vmName(i))
	}
	const settle, rounds = 20, 60
	for range settle {
		g.round()
	}
	m := &meter{pairs: map[[2]peer.VM]*gob.Encoder{}}
	g.sent = func(from *Table, to peer.VM, args *peer.BeatArgs, reply bool) {
		v := from.Self().VM
		args.Revision = 123456
		if reply {
			m.send(b, v, to+"/reply", rpc.Response{ServiceMethod: "Member.Beat", Seq: 1000}, args)
			return
		}
		m.send(b, v, to, rpc.Request{ServiceMethod: "Member.Beat", Seq: 1000}, args)
	}
	b.ResetTimer()
	for range b.N {
		for r := range rounds {
			if churn && r%10 == 0 {
				g.replace(r)
			}
			g.round()
		}
	}
	per := float64(b.N * rounds * size)
	b.ReportMetric(float64(m.bytes)/per, "B/s/node-out")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/per/1e4, "%core/node")
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	b.ReportMetric(float64(s.HeapAlloc)/float64(size)/1000, "heap-kB/node")
	runtime.KeepAlive(g)
}

// replace starts a new incarnation of one member, whose table contains only one other member.
func (g *group) replace(r int) {
	i := (7*r + 13) % len(g.order)
	m := testMember(i)
	m.Incarnation = g.tables[vmName(i)].Self().Incarnation + 1
	g.tables[vmName(i)] = NewTable(m, DefaultRules)
	g.tables[vmName(i)].Heard(g.now, testMember((i+1)%len(g.order)))
}

package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
)

// slowNetwork is a network of VMs that process one message at a time, each in a time inversely
// proportional to its cores.
type slowNetwork struct {
	*network
	busy         map[string]*sync.Mutex
	messageTimes map[string]time.Duration
}

// messageTime is the processing time of one message on a whole core.
const messageTime = 600 * time.Microsecond

func (p *slowNetwork) Call(ctx context.Context, address, method string, args, reply any) error {
	p.busy[address].Lock()
	time.Sleep(p.messageTimes[address])
	p.busy[address].Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return p.network.Call(ctx, address, method, args, reply)
}

// A hundred short requests a second arrive for one service of a fleet with small VMs and a large
// one, and rendezvous hashing ranks a small VM first. If that VM were the owner, it would receive
// three messages per request, more than its processor handles: answers would be delayed more and
// more, clients with a latency target of 300 ms would get theirs after a second, and gates would
// skip it for the next small VM.
func TestLargeVMIsOwnerInFleetOfSmallVMs(t *testing.T) {
	d := newDeployment(t)
	p := &slowNetwork{network: d.network, busy: map[string]*sync.Mutex{}, messageTimes: map[string]time.Duration{}}
	ms := make(members, len(d.ranked))
	for i, m := range d.ranked {
		// The third VM by hash is the large one; the last is the gate itself.
		m.Cores, m.Link = 120, 20
		if i == 2 {
			m.Cores, m.Link = 800, 200
		}
		ms[i] = m
		p.busy[m.Address] = &sync.Mutex{}
		p.messageTimes[m.Address] = messageTime * 1000 / time.Duration(m.Cores)
	}
	for _, m := range ms {
		d.owners[m.Address] = ownerAt(t, viewOf{ms, m}, p, "e0", "e1")
	}
	d.localOwner = d.owners[ms[len(ms)-1].Address]
	require.Equal(t, 120, member.Rank("s", ms)[0].Cores)
	client := NewClient(testClock{}, quietLog, ms, p, d.localOwner, "gate")

	const requests, gap = 150, 10 * time.Millisecond
	var mu sync.Mutex
	var late int
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(gap)
		wg.Go(func() {
			a := ask(decide.RequestID(fmt.Sprint(i)))
			a.Prompt, a.Output = 100, 10
			began := time.Now()
			reply, err := client.Ask(context.Background(), "s", a)
			if err == nil && reply.Fault == "" {
				client.FirstByte(a.ID)
				client.End(a.ID, span.Done, "")
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.Fault != "" || time.Since(began) > 100*time.Millisecond {
				late++
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, late, requests/20, "queries answered after 100 ms")
	owner, remote := client.owner("s")
	require.True(t, remote)
	require.Equal(t, ms[2].VM, owner.VM, "the large VM is still the owner")
}

package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
)

// processors is a network of VMs that handle one message at a time, each in a time that follows from its share of a core.
type processors struct {
	*network
	busy map[string]*sync.Mutex
	took map[string]time.Duration
}

// messageWork is what one message takes of a whole core.
const messageWork = 600 * time.Microsecond

func (p *processors) Call(ctx context.Context, address, method string, args, reply any) error {
	p.busy[address].Lock()
	time.Sleep(p.took[address])
	p.busy[address].Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return p.network.Call(ctx, address, method, args, reply)
}

// A hundred short requests a second come to one service of a fleet that has small VMs and a large one, and rendezvous hashing names a small
// one as owner. It gets three messages of each request, more than its processor handles: its answers come later and later, callers whose
// aim is 300 ms get theirs after a second, and gates pass it over for the next small one.
func TestCallersAreAnsweredInTimeThoughMostVMsAreSmall(t *testing.T) {
	d := newDeployment(t)
	p := &processors{network: d.network, busy: map[string]*sync.Mutex{}, took: map[string]time.Duration{}}
	ms := make(members, len(d.ranked))
	for i, m := range d.ranked {
		// The third by hashing is the large one; the last is the gate itself.
		m.Cores, m.Link = 120, 20
		if i == 2 {
			m.Cores, m.Link = 800, 200
		}
		ms[i] = m
		p.busy[m.Address] = &sync.Mutex{}
		p.took[m.Address] = messageWork * 1000 / time.Duration(m.Cores)
	}
	for _, m := range ms {
		d.owners[m.Address] = ownerAt(t, at{ms, m}, p, "e0", "e1")
	}
	d.own = d.owners[ms[len(ms)-1].Address]
	require.Equal(t, 120, member.Rank("s", ms)[0].Cores)
	client := NewClient(clock.Boot{}, quiet, ms, p, d.own, "gate")

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
	require.LessOrEqual(t, late, requests/20, "questions answered after 100 ms")
	owner, remote := client.owner("s")
	require.True(t, remote)
	require.Equal(t, ms[2].VM, owner.VM, "it was not passed over")
}

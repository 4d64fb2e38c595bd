package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// fleetSize is the number of VMs for which the answer may take at most a second.
const fleetSize = 985

// queuingNetwork is a network whose VMs process one message at a time, in the order of arrival.
type queuingNetwork struct {
	*network
	// turn holds the VM's only permission to process a message.
	turn map[string]chan struct{}
	time time.Duration
}

// Call implements Peers. The VM processes a message also if its sender has given up.
func (n *queuingNetwork) Call(ctx context.Context, address, method string, args, reply any) error {
	done := make(chan error, 1)
	var x WhereReply
	go func() {
		turn := n.turn[address]
		turn <- struct{}{}
		time.Sleep(n.time)
		done <- n.network.Call(context.Background(), address, method, args, &x)
		<-turn
	}()
	select {
	case err := <-done:
		*reply.(*WhereReply) = x
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// An operator asks every VM of the fleet at once, and all ask the same owner, a small VM that has 5 ms of work with each
// message. Each answer must arrive within a second: those that the owner has not given by then come from the VM that was asked
// and say so.
func TestWhereOfWholeFleetTakesUnderASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &queuingNetwork{network: &network{owners: map[string]*Owner{}}, turn: map[string]chan struct{}{}, time: 5 * time.Millisecond}
		var ms members
		for i := range fleetSize {
			name := fmt.Sprintf("vm-%d", i)
			ms = append(ms, peer.Member{VM: peer.VM(name), Address: name})
		}
		ms = member.Rank("s", ms)
		for _, m := range ms {
			n.owners[m.Address] = ownerAt(t, viewOf{ms, m}, n, "e0", "e1")
			n.turn[m.Address] = make(chan struct{}, 1)
		}
		var mu sync.Mutex
		fromOwner := 0
		var wg sync.WaitGroup
		for _, m := range ms[1:] {
			c := NewClient(testClock{}, quietLog, viewOf{ms, m}, n, n.owners[m.Address], decide.GateID(m.VM))
			wg.Go(func() {
				begun := time.Now()
				reply, err := c.Where(context.Background(), "s", ask("where"), "")
				took := time.Since(begun)
				mu.Lock()
				defer mu.Unlock()
				require.Less(t, took, time.Second)
				require.True(t, reply.Found)
				if err != nil {
					require.Equal(t, m.VM, reply.VM)
					return
				}
				require.Equal(t, ms[0].VM, reply.VM)
				fromOwner++
			})
		}
		wg.Wait()
		require.GreaterOrEqual(t, fromOwner, int(whereWait.Duration()/n.time)-1, "the owner answers for as long as VMs wait")
		synctest.Wait()
		time.Sleep(fleetSize * n.time) // the owner processes the messages of those that gave up
	})
}

// The VM that is asked waits for the owner for a part of the second, so that its own answer must fit in the rest: also for a
// service of 200 engines whose slots are all taken, and with a thousand requests of all gates in the queue.
func TestWhereOfLargeServiceFitsInSecond(t *testing.T) {
	var ids []decide.UpstreamID
	for i := range 200 {
		ids = append(ids, decide.UpstreamID(fmt.Sprintf("e%03d", i)))
	}
	o := newOwner(t, ids...)
	p := o.lockedPool("s")
	for _, id := range ids {
		p.pool.AssumeVerified(id)
	}
	now := testClock{}.Now()
	for i := 0; i < 20_000 && p.pool.Counts().Queued < 1000; i++ {
		a := ask(decide.RequestID(fmt.Sprint(i)))
		a.Gate, a.Deadline = decide.GateID(fmt.Sprintf("vm-%d", i%fleetSize)), now+9000
		p.pool.Ask(now, a)
		if i%10 == 0 || p.pool.Counts().Queued < 10 {
			for _, d := range p.pool.Tick(now) {
				p.pool.First(now, d.Request)
			}
		}
	}
	counts := p.pool.Counts()
	p.mu.Unlock()
	require.Equal(t, 1000, counts.Queued)
	begun := time.Now()
	var reply WhereReply
	require.NoError(t, o.Where(&WhereArgs{Query: AskArgs{Service: "s", Ask: wireAsk("where"), Local: true}}, &reply))
	took := time.Since(begun)
	t.Logf("%d grants, %d queued: %v", counts.Granted, counts.Queued, took)
	require.True(t, reply.Found)
	require.Less(t, took, time.Second-whereWait.Duration())
}

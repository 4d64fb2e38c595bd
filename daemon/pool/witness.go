package pool

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Directory finds members by name.
type Directory interface {
	// Find returns the newest word on a VM, and whether it counts as live.
	Find(v peer.VM) (m peer.Member, live, known bool)
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// GateClient finds out from gates whether they still hold requests.
type GateClient struct {
	directory Directory
	peers     Peers
}

// NewGateClient returns a witness that asks the members of d.
func NewGateClient(d Directory, p Peers) *GateClient { return &GateClient{directory: d, peers: p} }

// Evidence implements Gates. It asks each gate once, all at the same time.
func (w *GateClient) Evidence(ctx context.Context, ids []decide.RequestID) map[decide.RequestID]Evidence {
	out := make(map[decide.RequestID]Evidence, len(ids))
	byGate := map[decide.GateID][]decide.RequestID{}
	for _, id := range ids {
		o, ok := peer.ParseRequest(id)
		if !ok {
			continue
		}
		byGate[o.Gate()] = append(byGate[o.Gate()], id)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, of := range byGate {
		wg.Go(func() {
			es := w.ask(ctx, of)
			mu.Lock()
			defer mu.Unlock()
			for i, id := range of {
				out[id] = es[i]
			}
		})
	}
	wg.Wait()
	return out
}

// ask returns the evidence on requests of one gate.
func (w *GateClient) ask(ctx context.Context, ids []decide.RequestID) []Evidence {
	es := make([]Evidence, len(ids))
	o, _ := peer.ParseRequest(ids[0])
	m, _, known := w.directory.Find(o.VM)
	if !known || m.Incarnation < o.Incarnation {
		return es
	}
	if m.Incarnation > o.Incarnation {
		return all(es, NotHeld)
	}
	var reply peer.HoldsReply
	err := w.peers.Call(ctx, m.Address, "Gate.Holds", peer.HoldsArgs{Requests: ids}, &reply)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// The VM answers and says that nothing listens there: the process is gone.
		return all(es, NotHeld)
	case err != nil || len(reply.Held) != len(ids):
		return es
	}
	for i, held := range reply.Held {
		es[i] = NotHeld
		if held {
			es[i] = Held
		}
	}
	return es
}

func all(es []Evidence, e Evidence) []Evidence {
	for i := range es {
		es[i] = e
	}
	return es
}

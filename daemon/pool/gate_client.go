package pool

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Directory looks up members by the name of their VM.
type Directory interface {
	// Find returns the latest membership entry of a VM, and whether the VM is live.
	Find(v peer.VM) (m peer.Member, live, known bool)
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// GateClient asks gates whether they still hold requests. It implements Gates.
type GateClient struct {
	directory Directory
	peers     Peers
}

// NewGateClient returns a client that looks up gates in d and calls them through p.
func NewGateClient(d Directory, p Peers) *GateClient { return &GateClient{directory: d, peers: p} }

// Evidence implements Gates. It sends one call to each gate, to all gates concurrently.
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
	for _, requests := range byGate {
		wg.Go(func() {
			es := w.askGate(ctx, requests)
			mu.Lock()
			defer mu.Unlock()
			for i, id := range requests {
				out[id] = es[i]
			}
		})
	}
	wg.Wait()
	return out
}

// askGate returns the evidence on requests that all have the same gate.
func (w *GateClient) askGate(ctx context.Context, ids []decide.RequestID) []Evidence {
	es := make([]Evidence, len(ids))
	o, _ := peer.ParseRequest(ids[0])
	m, _, known := w.directory.Find(o.VM)
	if !known || m.Incarnation < o.Incarnation {
		return es
	}
	if m.Incarnation > o.Incarnation {
		return fill(es, NotHeld)
	}
	var reply peer.HoldsReply
	err := w.peers.Call(ctx, m.Address, "Gate.Holds", peer.HoldsArgs{Requests: ids}, &reply)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// The VM is up and nothing listens on the port, so the process has ended.
		return fill(es, NotHeld)
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

func fill(es []Evidence, e Evidence) []Evidence {
	for i := range es {
		es[i] = e
	}
	return es
}

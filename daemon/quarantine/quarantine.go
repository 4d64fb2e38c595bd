// Package quarantine keeps the fingerprints of requests that killed upstreams,
// on this VM and, by heartbeats and urgent messages, on all others.
package quarantine

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/peer"
)

// Name is the name under which the receiver is registered with net/rpc.
const Name = "Quarantine"

// Limits of what is sent.
const (
	// digest bounds the entries in a heartbeat; the worst come first.
	digest = 16
	// spread bounds how long a death waits for peers to hear of it, before the
	// request runs again or its caller is answered. A peer that does not answer
	// in this time hears of it by heartbeat.
	spread = 500 * time.Millisecond
)

// Members lists the daemons to tell.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Quarantine is this VM's table. It is safe for concurrent use.
type Quarantine struct {
	clock   Clock
	members Members
	peers   Peers

	mu    sync.Mutex
	table *gate.Quarantine
}

// New returns an empty table.
func New(c Clock, m Members, p Peers) *Quarantine {
	return &Quarantine{clock: c, members: m, peers: p, table: gate.NewQuarantine(0)}
}

// Check tells how a request may run.
func (q *Quarantine) Check(fingerprint uint64) gate.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(q.clock.Now(), fingerprint)
}

// Begin counts a run; false means that it must not start now.
func (q *Quarantine) Begin(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Begin(q.clock.Now(), fingerprint)
}

// End undoes a Begin. Whole tells that the request ran to its end, which clears a suspect.
func (q *Quarantine) End(fingerprint uint64, whole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.End(fingerprint)
	if whole {
		q.table.Clear(q.clock.Now(), fingerprint)
	}
}

// RecordCrash records the death of an upstream and tells all live peers before it returns.
// The next heartbeat would be too late: the caller sends the request again at once, and the balancer hands it to another VM.
func (q *Quarantine) RecordCrash(fingerprint uint64, u decide.UpstreamID, born decide.Incarnation) {
	q.mu.Lock()
	now := q.clock.Now()
	q.table.RecordCrash(now, fingerprint, u, born)
	var word []peer.Suspect
	for _, s := range q.table.Digest(now, maxTable) {
		if s.Fingerprint == fingerprint {
			word = append(word, peer.Suspect(s))
		}
	}
	q.mu.Unlock()
	q.tell(word)
}

// maxTable asks for the whole table.
const maxTable = 1 << 20

func (q *Quarantine) tell(word []peer.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), spread)
	defer cancel()
	self := q.members.Self().VM
	var wg sync.WaitGroup
	for _, m := range q.members.Live() {
		if m.VM == self {
			continue
		}
		wg.Go(func() { _ = q.peers.Call(ctx, m.Address, Name+".Learn", word, &peer.Empty{}) })
	}
	wg.Wait()
}

// Receiver answers peers over net/rpc.
type Receiver struct{ quarantine *Quarantine }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(q *Quarantine) *Receiver { return &Receiver{quarantine: q} }

// Learn takes entries of a peer.
func (r *Receiver) Learn(word []peer.Suspect, _ *peer.Empty) error {
	r.quarantine.merge(word)
	return nil
}

func (q *Quarantine) merge(word []peer.Suspect) {
	if len(word) == 0 {
		return
	}
	ss := make([]gate.Suspect, len(word))
	for i, s := range word {
		ss[i] = gate.Suspect(s)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(q.clock.Now(), ss)
}

// Fill implements member.Part.
func (q *Quarantine) Fill(_ peer.VM, b *peer.BeatArgs) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.table.Digest(q.clock.Now(), digest) {
		b.Quarantine = append(b.Quarantine, peer.Suspect(s))
	}
}

// Learn implements member.Part.
func (q *Quarantine) Learn(b *peer.BeatArgs, _ bool) { q.merge(b.Quarantine) }

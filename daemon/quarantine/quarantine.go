// Package quarantine maintains the table of requests that crash upstreams, identified by
// their fingerprints, and shares the table with all other VMs in heartbeats and, right
// after a crash, in direct messages.
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

// Limits of sharing.
const (
	// maxHeartbeatEntries is the largest number of entries in a heartbeat; those with the
	// most crashes come first.
	maxHeartbeatEntries = 16
	// notifyTimeout is how long a VM waits for peers to acknowledge a crash, before the
	// request is retried or its client gets an answer. A peer that does not respond in this
	// time learns of the crash by heartbeat.
	notifyTimeout = 500 * time.Millisecond
)

// Members provides the membership.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
}

// Peers calls methods of other daemons over net/rpc.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Quarantine is this VM's copy of the table. It is safe for concurrent use.
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

// Check returns whether a request may run as usual, only alone as a suspect, or not at
// all.
func (q *Quarantine) Check(fingerprint uint64) gate.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(q.clock.Now(), fingerprint)
}

// Begin records that a request starts to run. It returns false if the request must not
// start now.
func (q *Quarantine) Begin(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Begin(q.clock.Now(), fingerprint)
}

// End records that a request has stopped running. If completed is set, the request ran
// to its end, which clears it of suspicion.
func (q *Quarantine) End(fingerprint uint64, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.End(fingerprint)
	if completed {
		q.table.Clear(q.clock.Now(), fingerprint)
	}
}

// RecordCrash records that an upstream crashed while it ran a request, and notifies all live
// peers before it returns. The next heartbeat would be too late: the client retries at
// once, and the load balancer may send the retry to another VM.
func (q *Quarantine) RecordCrash(fingerprint uint64, u decide.UpstreamID, incarnation decide.Incarnation) {
	q.mu.Lock()
	now := q.clock.Now()
	q.table.RecordCrash(now, fingerprint, u, incarnation)
	var entries []peer.Suspect
	for _, s := range q.table.Digest(now, wholeTable) {
		if s.Fingerprint == fingerprint {
			entries = append(entries, peer.Suspect(s))
		}
	}
	q.mu.Unlock()
	q.notifyPeers(entries)
}

// wholeTable is a limit for Digest that is larger than any table.
const wholeTable = 1 << 20

func (q *Quarantine) notifyPeers(entries []peer.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	self := q.members.Self().VM
	var wg sync.WaitGroup
	for _, m := range q.members.Live() {
		if m.VM == self {
			continue
		}
		wg.Go(func() { _ = q.peers.Call(ctx, m.Address, Name+".Learn", entries, &peer.Empty{}) })
	}
	wg.Wait()
}

// Receiver answers peers over net/rpc.
type Receiver struct{ quarantine *Quarantine }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(q *Quarantine) *Receiver { return &Receiver{quarantine: q} }

// Learn merges the entries that a peer sent after a crash.
func (r *Receiver) Learn(entries []peer.Suspect, _ *peer.Empty) error {
	r.quarantine.merge(entries)
	return nil
}

func (q *Quarantine) merge(entries []peer.Suspect) {
	if len(entries) == 0 {
		return
	}
	ss := make([]gate.Suspect, len(entries))
	for i, s := range entries {
		ss[i] = gate.Suspect(s)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(q.clock.Now(), ss)
}

// Fill implements member.Part. It adds the entries with the most crashes to a
// heartbeat.
func (q *Quarantine) Fill(_ peer.VM, b *peer.BeatArgs) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.table.Digest(q.clock.Now(), maxHeartbeatEntries) {
		b.Quarantine = append(b.Quarantine, peer.Suspect(s))
	}
}

// Learn implements member.Part. It merges the entries in a peer's heartbeat.
func (q *Quarantine) Learn(b *peer.BeatArgs, _ clock.Milli) { q.merge(b.Quarantine) }

// Package limit enforces the rate limits of workspaces. Each workspace has a home VM that divides
// its rate among the VMs that have clients of the workspace.
package limit

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
)

// Name is the name under which the receiver is registered with net/rpc.
const Name = "Limit"

// Intervals and timeouts of the limiter.
const (
	// requestEvery is how often a VM requests shares from home VMs: half of the time for which a
	// share is valid.
	requestEvery = time.Second
	// requestTimeout bounds a request for shares; without an answer the last share stays in force.
	requestTimeout = 500 * time.Millisecond
	// forgetAfter is the idle time after which the bucket of a workspace is discarded; the bucket
	// starts again at an even share. It equals the time for which the home VM remembers the demand
	// of a VM: if a bucket kept a large share longer, that share would be granted twice.
	forgetAfter = 6 * clock.Second
)

// Homes finds the home VM of a workspace.
type Homes interface {
	// Home returns the member that divides a workspace's rate.
	Home(w decide.WorkspaceID) (peer.Member, bool)
	Live() []peer.Member
	Self() peer.Member
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Limits enforces all limits on this VM: it has token buckets for the workspaces of its clients and
// divides the rates of the workspaces whose home it is. It is safe for concurrent use.
type Limits struct {
	clock Clock
	homes Homes
	peers Peers
	id    decide.GateID

	mu sync.Mutex
	// buckets has a token bucket for each workspace with a rate and recent clients.
	buckets map[decide.WorkspaceID]*bucket
	// dividers has a rate divider for each workspace for which this VM, as its home, received
	// demands.
	dividers map[decide.WorkspaceID]*gate.Home
	// rates are the workspace rates of the document in force.
	rates map[decide.WorkspaceID]decide.Rate
}

type bucket struct {
	limit    *gate.Limit
	lastUsed clock.Milli
}

// New returns Limits without workspaces.
func New(c Clock, h Homes, p Peers, id decide.GateID) *Limits {
	return &Limits{
		clock: c, homes: h, peers: p, id: id, buckets: map[decide.WorkspaceID]*bucket{},
		dividers: map[decide.WorkspaceID]*gate.Home{}, rates: map[decide.WorkspaceID]decide.Rate{},
	}
}

// Configure sets the rates of the document in force. A workspace whose rate changed starts again at
// an even share.
func (l *Limits) Configure(ws []document.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.rates
	l.rates = make(map[decide.WorkspaceID]decide.Rate, len(ws))
	for _, w := range ws {
		id := decide.WorkspaceID(w.Name)
		l.rates[id] = w.Rate
		if old[id] == w.Rate {
			continue
		}
		delete(l.buckets, id)
		if h, ok := l.dividers[id]; ok {
			h.SetRate(w.Rate)
		}
	}
}

// Take requests tokens of a workspace. Zero means that they are granted; otherwise the result is
// the time after which to try again.
func (l *Limits) Take(w decide.WorkspaceID, t decide.Tokens) clock.Milli {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.rates[w]
	if rate <= 0 {
		return 0
	}
	now := l.clock.Now()
	b, ok := l.buckets[w]
	if !ok {
		even := rate / decide.Rate(max(1, len(l.homes.Live())))
		b = &bucket{limit: gate.NewLimit(now, even)}
		l.buckets[w] = b
	}
	b.lastUsed = now
	return b.limit.Take(now, t)
}

// Refund returns the tokens of a request that did not run.
func (l *Limits) Refund(w decide.WorkspaceID, t decide.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[w]; ok {
		b.limit.Refund(l.clock.Now(), t)
	}
}

// Run requests shares from home VMs until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	guard.Every(ctx, requestEvery, func() { l.requestShares(ctx) })
}

// requestShares sends one request to each home VM, all in parallel, and applies the answers.
func (l *Limits) requestShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for address, args := range l.demands() {
		wg.Go(func() {
			var reply peer.ShareReply
			if l.peers.Call(ctx, address, Name+".Share", args, &reply) == nil {
				l.applyShares(args, reply)
			}
		})
	}
	wg.Wait()
}

// demands returns the requests to send, by the address of the home VM.
func (l *Limits) demands() map[string]peer.ShareArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := map[string]peer.ShareArgs{}
	for w, b := range l.buckets {
		if now-b.lastUsed > forgetAfter {
			delete(l.buckets, w)
			continue
		}
		// Workspaces without clients in the last second are left out. With 3,500 workspaces a VM
		// has clients of some thirty per second; requesting shares for all workspaces seen within a
		// minute took 93 KB/s, of 7 KB/s allowed for control traffic.
		rate := b.limit.Demand(now)
		m, ok := l.homes.Home(w)
		if !ok || rate == 0 {
			continue
		}
		a := out[m.Address]
		a.Gate = l.id
		a.Demands = append(a.Demands, peer.Demand{Workspace: w, Rate: rate})
		out[m.Address] = a
	}
	return out
}

func (l *Limits) applyShares(args peer.ShareArgs, reply peer.ShareReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for i, r := range reply.Rates {
		if i >= len(args.Demands) || r <= 0 {
			continue
		}
		if b, ok := l.buckets[args.Demands[i].Workspace]; ok {
			b.limit.SetShare(now, r)
		}
	}
}

// Receiver answers peers over net/rpc.
type Receiver struct{ limits *Limits }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(l *Limits) *Receiver { return &Receiver{limits: l} }

// Share grants shares of workspace rates to a VM. While members disagree on the home VM, two homes
// may together grant up to twice the rate. That is acceptable: limits need no mutual exclusion, and
// members agree again within seconds.
func (r *Receiver) Share(args peer.ShareArgs, reply *peer.ShareReply) error {
	l := r.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, d := range args.Demands {
		h, ok := l.dividers[d.Workspace]
		if !ok {
			h = gate.NewHome(l.rates[d.Workspace])
			l.dividers[d.Workspace] = h
		}
		share, _ := h.Share(now, args.Gate, d.Rate)
		reply.Rates = append(reply.Rates, share)
	}
	return nil
}

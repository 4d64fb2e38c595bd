// Package limit holds workspaces to their rates. Each workspace has a home VM
// that deals shares of its rate to the VMs that have callers of it.
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

// Times of the limiter.
const (
	// askEvery is how often a VM asks homes for shares; half of a share's life.
	askEvery = time.Second
	// askTimeout bounds a question; without an answer the last share holds.
	askTimeout = 500 * time.Millisecond
	// forgetAfter drops the bucket of a workspace that sent nothing for as long as its
	// home remembers a VM; it starts again at an even share. A bucket that kept a
	// large share longer would be dealt twice.
	forgetAfter = 6 * clock.Second
)

// Homes names the home VM of a workspace.
type Homes interface {
	// Home returns the member that deals a workspace's rate.
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

// Limits is this VM's side of all limits: buckets for its callers, and the
// dealing for the workspaces whose home it is. It is safe for concurrent use.
type Limits struct {
	clock Clock
	homes Homes
	peers Peers
	id    decide.GateID

	mu sync.Mutex
	// buckets holds a bucket for each workspace with a rate and recent callers.
	buckets map[decide.WorkspaceID]*bucket
	// dealt holds a dealer for each workspace that asked this VM as its home.
	dealt map[decide.WorkspaceID]*gate.Home
	// rates are the ones of the document in force.
	rates map[decide.WorkspaceID]decide.Rate
}

type bucket struct {
	limit *gate.Limit
	used  clock.Milli
}

// New returns limits without workspaces.
func New(c Clock, h Homes, p Peers, id decide.GateID) *Limits {
	return &Limits{
		clock: c, homes: h, peers: p, id: id, buckets: map[decide.WorkspaceID]*bucket{},
		dealt: map[decide.WorkspaceID]*gate.Home{}, rates: map[decide.WorkspaceID]decide.Rate{},
	}
}

// Configure takes the rates of the document in force. A workspace whose rate
// changed starts anew at an even share.
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
		if h, ok := l.dealt[id]; ok {
			h.SetRate(w.Rate)
		}
	}
}

// Take asks for tokens of a workspace; zero means granted, otherwise it is when to come back.
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
	b.used = now
	return b.limit.Take(now, t)
}

// Refund gives back tokens of a request that did not run.
func (l *Limits) Refund(w decide.WorkspaceID, t decide.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[w]; ok {
		b.limit.Refund(l.clock.Now(), t)
	}
}

// Run asks homes for shares until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	guard.Every(ctx, askEvery, func() { l.round(ctx) })
}

// round asks all homes at once, one message a home.
func (l *Limits) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for address, args := range l.demands() {
		wg.Go(func() {
			var reply peer.ShareReply
			if l.peers.Call(ctx, address, Name+".Share", args, &reply) == nil {
				l.deal(args, reply)
			}
		})
	}
	wg.Wait()
}

// demands gathers what to ask of each home, by its address.
func (l *Limits) demands() map[string]peer.ShareArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := map[string]peer.ShareArgs{}
	for w, b := range l.buckets {
		if now-b.used > forgetAfter {
			delete(l.buckets, w)
			continue
		}
		// A workspace without callers in this second has nothing to ask for. At 3,500
		// workspaces a VM has callers of some thirty a second; asking for all that it
		// saw in a minute cost 93 KB/s of the 7 that control may take.
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

func (l *Limits) deal(args peer.ShareArgs, reply peer.ShareReply) {
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

// Share deals shares to a VM. Two homes at once may deal up to twice the rate
// while members disagree; a limit is not an exclusion, and views agree again
// within seconds.
func (r *Receiver) Share(args peer.ShareArgs, reply *peer.ShareReply) error {
	l := r.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, d := range args.Demands {
		h, ok := l.dealt[d.Workspace]
		if !ok {
			h = gate.NewHome(l.rates[d.Workspace])
			l.dealt[d.Workspace] = h
		}
		share, _ := h.Share(now, args.Gate, d.Rate)
		reply.Rates = append(reply.Rates, share)
	}
	return nil
}

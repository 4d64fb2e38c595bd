// Package claim gives each request that must not be repeated to one gate only.
//
// A gate claims the workspace and idempotency key before the first byte of the
// request goes to an upstream. Claims stand in journals in the platform's
// store, one for each shard of the keys. One VM is the home of a shard, so that
// many claims share a write; but who is home is only a matter of speed. Any VM
// may write a journal, and exclusion comes from nothing but the conditional
// write: each one is tied to the version it was decided on.
//
// What a gate must do: dispatch only after ClaimWon, and look at the time
// between that answer and the first byte. A gate that was frozen in between may
// have run out of the request's allowed time; it then calls Release and answers
// "not run". It never dispatches after any other answer.
package claim

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Name is the name under which Receiver is registered with net/rpc.
const Name = "Claim"

// Store is the part of the platform's store that a journal needs.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error)
	Delete(ctx context.Context, k platform.Kind, n platform.Name, cond platform.Condition) error
}

// PeerClient calls a method of a peer.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Membership is the part of the membership that claims need.
type Membership interface {
	Self() peer.Member
	Live() []peer.Member
}

// Rules bound the journals.
type Rules struct {
	// WriteInterval is the least time between two writes of one shard.
	WriteInterval clock.Milli
	// CommitTimeout bounds the work on one batch, Attempts its conditional writes.
	CommitTimeout clock.Milli
	MaxAttempts   int
	// MaxBatch is the most ops in one write, Queue the most withdrawals that wait.
	MaxBatch, MaxQueue int
	// MaxPageSize is the size in bytes, and Window the age, at which a page is moved
	// to an archive. Page and a whole batch stay under the store's limit.
	MaxPageSize int
	MaxPageAge  clock.Milli
	// MaxArchiveSize is the largest size in bytes that merged archives reach.
	MaxArchiveSize int
	// Retention is how long a key is remembered at least.
	Retention clock.Milli
	// RetryInterval is the time between two tries to write what a caller doesn't wait for.
	RetryInterval clock.Milli
	// ProbeInterval is the time between two claims that take their whole time while the
	// store does not answer; the others' commits are bounded by Brief. With Rest
	// zero all take their whole time.
	ProbeInterval, BriefTimeout clock.Milli
	// HomeTimeout is the timeout of a call to the home of a shard. A claim waits up to a
	// Pace there; twice Home fits into the 1.5 s that a gate gives a claim.
	HomeTimeout clock.Milli
}

// DefaultRules allow 64 shards x 5 = 320 writes a second at the most, of the
// several hundred that the store takes. Each claim writes its page, so a page is
// short: 16 KB. A batch of 100 answers of 4 KB in base64 makes 600 KB with it, of
// the 1 MB that a value may have.
var DefaultRules = Rules{
	WriteInterval: 200, CommitTimeout: 2 * clock.Second, MaxAttempts: 8,
	MaxBatch: 100, MaxQueue: 10000,
	MaxPageSize: 16 << 10, MaxPageAge: 60 * clock.Minute, MaxArchiveSize: 512 << 10, Retention: 24 * 60 * clock.Minute,
	RetryInterval: clock.Second, ProbeInterval: clock.Second, BriefTimeout: 250, HomeTimeout: 700,
}

// MaxStoredAnswer is the largest answer in bytes that a journal keeps.
const MaxStoredAnswer = 4096

// Ticket is a claim that was won.
type Ticket struct {
	Workspace decide.WorkspaceID
	Key       string
	// Nonce stands in the journal.
	Nonce string
}

// Claims claims keys, here or at the home of their shard.
type Claims struct {
	store  Store
	caller PeerClient
	clock  Clock
	rules  Rules
	peers  Membership

	breaker breaker

	mu     sync.Mutex
	shards map[shardID]*shard
}

// New returns claims kept in a store.
func New(s Store, c PeerClient, k Clock, r Rules, p Membership) *Claims {
	return &Claims{store: s, caller: c, clock: k, rules: r, peers: p, shards: map[shardID]*shard{}}
}

// Claim claims a key. The nonce is made by the gate for this request alone and
// is never used again. On ClaimWon the ticket is to be settled or released.
func (c *Claims) Claim(ctx context.Context, w decide.WorkspaceID, key, nonce string) (Ticket, peer.ClaimReply) {
	k, id := digestOf(w, key)
	self := c.peers.Self()
	t := Ticket{Workspace: w, Key: key, Nonce: nonce}
	var void []string
	for _, h := range c.homes(id) {
		if h.VM == self.VM {
			break
		}
		reply, err := c.there(ctx, h, t, void)
		if err == nil {
			return t, reply
		}
		// It may be dead, or may have written the claim and its answer got lost.
		// The next nonce takes over from the ones before in one write: what was
		// written of them is released there, and what comes later is void.
		void = append(void, t.Nonce)
		t.Nonce += "+"
	}
	return t, c.here(ctx, id, &op{key: k, nonce: t.Nonce, want: claimed, void: void})
}

// Settle records the answer to a claim that was won; answers over Kept bytes
// are not kept. It tries until it is written or ctx ends, so it is called
// beside the answer to the caller, not before it.
func (c *Claims) Settle(ctx context.Context, t Ticket, status int, answer []byte) error {
	if len(answer) > MaxStoredAnswer {
		status, answer = 0, nil
	}
	return c.end(ctx, &peer.SettleArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Status: status, Answer: answer})
}

// Release gives a key back. The gate must be certain that nothing was sent.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	return c.end(ctx, &peer.SettleArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Released: true})
}

func (c *Claims) end(ctx context.Context, a *peer.SettleArgs) error {
	for {
		if c.settleOnce(ctx, a) {
			return nil
		}
		t := time.NewTimer(c.rules.RetryInterval.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// settleOnce repeats freely: a record that stands already is not written again.
func (c *Claims) settleOnce(ctx context.Context, a *peer.SettleArgs) bool {
	_, id := digestOf(a.Workspace, a.Key)
	for _, h := range c.homes(id) {
		if h.VM == c.peers.Self().VM {
			break
		}
		if c.call(ctx, h, ".Settle", a, &peer.Empty{}) == nil {
			return true
		}
	}
	return c.settleHere(ctx, a)
}

func (c *Claims) call(ctx context.Context, to peer.Member, method string, args, reply any) error {
	limited, cancel := context.WithTimeout(ctx, c.rules.HomeTimeout.Duration())
	defer cancel()
	return c.caller.Call(limited, to.Address, Name+method, args, reply)
}

func (c *Claims) settleHere(ctx context.Context, a *peer.SettleArgs) bool {
	k, id := digestOf(a.Workspace, a.Key)
	o := &op{key: k, nonce: a.Nonce, want: done, status: a.Status, answer: a.Answer}
	if a.Released {
		o.want = released
	}
	return c.here(ctx, id, o).Fault == nil
}

// homes are where the claims of a shard meet, so that they share a write: the
// home, and the one that stands in for it while it does not answer. Were each VM
// to act by itself then, each would have to read the whole journal first.
func (c *Claims) homes(id shardID) []peer.Member {
	ranked := member.Rank("claims/"+string(id.page()), c.peers.Live())
	return ranked[:min(len(ranked), 2)]
}

func (c *Claims) there(ctx context.Context, home peer.Member, t Ticket, void []string) (peer.ClaimReply, error) {
	args := &peer.ClaimArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Void: void, Left: c.rules.HomeTimeout}
	var reply peer.ClaimReply
	err := c.call(ctx, home, ".Claim", args, &reply)
	return reply, err
}

// here runs an op on this VM and adds an answer that was moved to an archive.
func (c *Claims) here(ctx context.Context, id shardID, o *op) peer.ClaimReply {
	if o.want == claimed && !c.breaker.whole(c.clock.Now(), c.rules.ProbeInterval) {
		o.brief = true
		// It may have to wait for one commit before its own.
		limited, cancel := context.WithTimeout(ctx, 2*c.rules.BriefTimeout.Duration())
		defer cancel()
		ctx = limited
	}
	s := c.shard(id)
	reply := s.do(ctx, o)
	if reply.State != peer.ClaimDone || reply.Fault != nil || o.in == (archive{}) {
		return reply
	}
	return s.recall(ctx, o)
}

func (c *Claims) shard(id shardID) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[id]
	if s == nil {
		s = newShard(id, c.store, c.clock, c.rules, &c.breaker)
		c.shards[id] = s
	}
	return s
}

// Receiver answers peers over net/rpc.
type Receiver struct{ claims *Claims }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(c *Claims) *Receiver { return &Receiver{claims: c} }

// Claim writes a claim on this VM, whoever is home by now.
func (r *Receiver) Claim(args *peer.ClaimArgs, reply *peer.ClaimReply) error {
	c := r.claims
	left := min(args.Left, c.rules.CommitTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	k, id := digestOf(args.Workspace, args.Key)
	*reply = c.here(ctx, id, &op{key: k, nonce: args.Nonce, want: claimed, void: args.Void})
	return nil
}

// Settle records the end of a claim.
func (r *Receiver) Settle(args *peer.SettleArgs, _ *peer.Empty) error {
	c := r.claims
	ctx, cancel := context.WithTimeout(context.Background(), c.rules.CommitTimeout.Duration())
	defer cancel()
	if !c.settleHere(ctx, args) {
		return platform.ErrUnavailable
	}
	return nil
}

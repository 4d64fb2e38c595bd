// Package claim ensures that each request that must not run twice is sent to an upstream
// by at most one gate. A gate is the VM that holds the client connection of a request.
//
// A gate claims the pair of workspace and idempotency key before it sends the first byte
// of the request to an upstream. Claims are recorded in journals in the platform's
// store, one journal for each shard of the keys. Each shard has a home, the VM that
// normally writes its journal, so that many claims share one write. The home is only an
// optimization: any VM may write any journal, and mutual exclusion relies solely on
// conditional writes, each of which succeeds only on the version of the journal on which
// its decisions are based.
//
// A gate must send the request only after ClaimWon and after no other reply. It must
// also check the time between that reply and the first byte: a gate that was paused in
// between may have passed the deadline of the request. In that case the gate calls Release and
// answers the client that the request did not run.
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

// PeerClient calls methods of other VMs over net/rpc.
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

// Rules are the timing and size limits of the journals.
type Rules struct {
	// WriteInterval is the shortest interval between two writes of one shard.
	WriteInterval clock.Milli
	// CommitTimeout is the timeout for committing one batch.
	CommitTimeout clock.Milli
	// MaxAttempts is the largest number of conditional writes tried for one batch.
	MaxAttempts int
	// MaxBatch is the largest number of operations in one write. MaxQueue is the
	// number of queued operations of a shard from which on withdrawals are discarded.
	MaxBatch, MaxQueue int
	// MaxPageSize is the size in bytes above which the records of a page are moved to an
	// archive. A page of this size and a full batch together fit the store's limit.
	MaxPageSize int
	// MaxPageAge is the age of a page's oldest record above which its records are moved.
	MaxPageAge clock.Milli
	// MaxArchiveSize is the largest size in bytes of merged archives.
	MaxArchiveSize int
	// Retention is the minimum time for which a key is remembered.
	Retention clock.Milli
	// RetryInterval is the interval between attempts to record the end of a claim, and the delay
	// before a claim that may have been written is withdrawn.
	RetryInterval clock.Milli
	// ProbeInterval is the interval at which one claim may use its full timeout while the
	// store does not respond, and BriefTimeout is the commit timeout of all other claims
	// during that time. If ProbeInterval is zero, all claims use their full timeout.
	ProbeInterval, BriefTimeout clock.Milli
	// HomeTimeout is the timeout of a call to the home of a shard. A claim waits there for up
	// to one WriteInterval. Two such calls fit into the 1.5 s that a gate allows for a claim.
	HomeTimeout clock.Milli
}

// DefaultRules allow at most 64 shards x 5 = 320 writes per second, of the several
// hundred that the store can handle. Every commit writes the whole page, so pages are
// kept short, at 16 KB. Together with a batch of 100 answers of 4 KB each in base64 that
// makes 600 KB, within the store's limit of 1 MB per value.
var DefaultRules = Rules{
	WriteInterval: 200, CommitTimeout: 2 * clock.Second, MaxAttempts: 8,
	MaxBatch: 100, MaxQueue: 10000,
	MaxPageSize: 16 << 10, MaxPageAge: 60 * clock.Minute, MaxArchiveSize: 512 << 10, Retention: 24 * 60 * clock.Minute,
	RetryInterval: clock.Second, ProbeInterval: clock.Second, BriefTimeout: 250, HomeTimeout: 700,
}

// MaxStoredAnswer is the size in bytes up to which the journal stores an answer.
const MaxStoredAnswer = 4096

// Ticket identifies a claim that was won.
type Ticket struct {
	Workspace decide.WorkspaceID
	Key       string
	// Nonce identifies the claim in the journal.
	Nonce string
}

// Claims claims idempotency keys, on this VM or through the home of their shard.
type Claims struct {
	store  Store
	client PeerClient
	clock  Clock
	rules  Rules
	peers  Membership

	breaker breaker

	mu     sync.Mutex
	shards map[shardID]*shard
}

// New returns Claims whose journals are in s.
func New(s Store, c PeerClient, k Clock, r Rules, p Membership) *Claims {
	return &Claims{store: s, client: c, clock: k, rules: r, peers: p, shards: map[shardID]*shard{}}
}

// Claim claims a key. The gate generates the nonce for this request alone and never uses
// it again. After ClaimWon the gate must settle or release the ticket.
func (c *Claims) Claim(ctx context.Context, w decide.WorkspaceID, key, nonce string) (Ticket, peer.ClaimReply) {
	k, id := digestOf(w, key)
	self := c.peers.Self()
	t := Ticket{Workspace: w, Key: key, Nonce: nonce}
	var voidNonces []string
	for _, h := range c.homes(id) {
		if h.VM == self.VM {
			break
		}
		reply, err := c.claimRemotely(ctx, h, t, voidNonces)
		if err == nil {
			return t, reply
		}
		// The home may have crashed, or it may have written the claim and its reply was
		// lost. So the next attempt uses a new nonce, and the write that claims the key
		// under it also voids the earlier nonces: it releases a claim under one of them
		// that is in the journal already, and prevents one from being written later.
		voidNonces = append(voidNonces, t.Nonce)
		t.Nonce += "+"
	}
	return t, c.runLocally(ctx, id, &op{key: k, nonce: t.Nonce, want: claimed, voidNonces: voidNonces})
}

// Settle records the answer of a request whose claim was won; an answer of more than
// MaxStoredAnswer bytes is recorded without its content. It retries until the record is
// written or ctx ends, so it should run concurrently with the response to the client and
// not delay it.
func (c *Claims) Settle(ctx context.Context, t Ticket, status int, answer []byte) error {
	if len(answer) > MaxStoredAnswer {
		status, answer = 0, nil
	}
	return c.settleWithRetries(ctx, &peer.SettleArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Status: status, Answer: answer})
}

// Release makes a key available again. The gate must be certain that nothing of the
// request was sent. Like Settle it retries until ctx ends.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	return c.settleWithRetries(ctx, &peer.SettleArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Released: true})
}

func (c *Claims) settleWithRetries(ctx context.Context, a *peer.SettleArgs) error {
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

// settleOnce tries once to record the end of a claim. It may be repeated, because a
// record that is in the journal already is not written again.
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
	return c.settleLocally(ctx, a)
}

func (c *Claims) call(ctx context.Context, to peer.Member, method string, args, reply any) error {
	limited, cancel := context.WithTimeout(ctx, c.rules.HomeTimeout.Duration())
	defer cancel()
	return c.client.Call(limited, to.Address, Name+method, args, reply)
}

func (c *Claims) settleLocally(ctx context.Context, a *peer.SettleArgs) bool {
	k, id := digestOf(a.Workspace, a.Key)
	o := &op{key: k, nonce: a.Nonce, want: done, status: a.Status, answer: a.Answer}
	if a.Released {
		o.want = released
	}
	return c.runLocally(ctx, id, o).Fault == nil
}

// homes returns the VMs that write the journal of a shard: its home and the VM that stands
// in for the home while it does not respond. Without a stand-in, each VM would write the
// journal itself, and would have to read the whole journal first.
func (c *Claims) homes(id shardID) []peer.Member {
	ranked := member.Rank("claims/"+string(id.page()), c.peers.Live())
	return ranked[:min(len(ranked), 2)]
}

func (c *Claims) claimRemotely(ctx context.Context, home peer.Member, t Ticket, voidNonces []string) (peer.ClaimReply, error) {
	args := &peer.ClaimArgs{Workspace: t.Workspace, Key: t.Key, Nonce: t.Nonce, Void: voidNonces, Left: c.rules.HomeTimeout}
	var reply peer.ClaimReply
	err := c.call(ctx, home, ".Claim", args, &reply)
	return reply, err
}

// runLocally runs an operation on this VM. If the key has an answer that was moved to an
// archive, it is read from there.
func (c *Claims) runLocally(ctx context.Context, id shardID, o *op) peer.ClaimReply {
	if o.want == claimed && !c.breaker.allowFull(c.clock.Now(), c.rules.ProbeInterval) {
		o.brief = true
		// The operation may have to wait for one commit that is under way before its own.
		limited, cancel := context.WithTimeout(ctx, 2*c.rules.BriefTimeout.Duration())
		defer cancel()
		ctx = limited
	}
	s := c.shard(id)
	reply := s.do(ctx, o)
	if reply.State != peer.ClaimDone || reply.Fault != nil || o.archive == (archive{}) {
		return reply
	}
	return s.readAnswer(ctx, o)
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

// Claim runs a claim on this VM, whether or not it is the home of the shard.
func (r *Receiver) Claim(args *peer.ClaimArgs, reply *peer.ClaimReply) error {
	c := r.claims
	timeout := min(args.Left, c.rules.CommitTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	k, id := digestOf(args.Workspace, args.Key)
	*reply = c.runLocally(ctx, id, &op{key: k, nonce: args.Nonce, want: claimed, voidNonces: args.Void})
	return nil
}

// Settle records the end of a claim: an answer or a release.
func (r *Receiver) Settle(args *peer.SettleArgs, _ *peer.Empty) error {
	c := r.claims
	ctx, cancel := context.WithTimeout(context.Background(), c.rules.CommitTimeout.Duration())
	defer cancel()
	if !c.settleLocally(ctx, args) {
		return platform.ErrUnavailable
	}
	return nil
}

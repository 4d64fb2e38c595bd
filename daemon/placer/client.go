package placer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/hedge"
	"snipeshift.example/daemon/silent"
	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Members lists the daemons that are considered live.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
	// Lost counts the members that recently stopped responding without announcing that they stop.
	// They may still be running on the other side of a network partition.
	Lost() int
	// Position returns the number of members, live or lost, whose names sort before that of this one.
	Position() int
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	// Probe probes a daemon over a separate connection and returns nil if it answers.
	Probe(ctx context.Context, address string) error
}

// Timeouts and intervals of the gate's side of the protocol.
const (
	// firstWait is how long the owner may hold the first query for a request before it has to
	// answer, decided or not. No answer soon after this time means that the owner does not respond,
	// so firstWait is short compared with the 300 ms latency target of short requests. The next
	// query allows askWait and each further one twice as long, up to askLongest: a request queued
	// for that long is late already, and each query costs the owner processor time.
	firstWait  = 30 * clock.Milli(1)
	askWait    = 120 * clock.Milli(1)
	askLongest = 480 * clock.Milli(1)
	// answerSlack is how long after the end of a query's wait its answer may arrive before the VM
	// counts as unresponsive. Peers are 3 ms away; processor throttling, applied every 100 ms, can
	// pause an owner for up to 60 ms.
	answerSlack = 180 * clock.Milli(1)
	// presentEvery is how often a gate presents all its live grants to an owner, so that a lost
	// message about the end of a send does not leave an engine reserved for long.
	presentEvery = time.Second
)

// Client is the gate's side of the protocol: it queries owners for placements and reports to them
// what became of grants. A gate is the VM that holds the client's connection of a request.
type Client struct {
	clock      Clock
	log        *log.Logger
	members    Members
	peers      Peers
	localOwner *Owner
	holders    *Holders
	silent     *silent.VMs
	statements *statements.Cache
	hedging    hedge.Policy
	gate       decide.GateID

	mu sync.Mutex
	// queried is the set of services for which this gate has queried an owner.
	queried map[route.ServiceID]bool
	// live holds the grants in use, by request.
	live map[decide.RequestID]*activeGrant
	// sends counts the sends of this gate.
	sends map[route.ServiceID]*sendCount
	// crashes is what this gate knows of parts of prompts.
	crashes map[route.ServiceID]*knownCrashes
}

// activeGrant is a grant in use.
type activeGrant struct {
	span.LiveGrant
	service route.ServiceID
}

// NewClient returns the client of a gate. localOwner decides placements when no other owner can be
// reached.
func NewClient(k Clock, l *log.Logger, m Members, p Peers, localOwner *Owner, gate decide.GateID) *Client {
	c := &Client{
		clock: k, log: l, members: m, peers: p, localOwner: localOwner, holders: localOwner.Holders, gate: gate,
		silent: silent.New(l, m, p), queried: map[route.ServiceID]bool{}, live: map[decide.RequestID]*activeGrant{}, sends: map[route.ServiceID]*sendCount{},
		crashes: map[route.ServiceID]*knownCrashes{}, statements: localOwner.statements,
	}
	c.holders.OnChange(c.onHolderChange)
	return c
}

// Run presents the live grants to owners periodically until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	guard.Every(ctx, presentEvery, func() {
		for s, live := range c.liveByService() {
			c.present(ctx, s, live)
		}
		c.dropStatements()
	})
	return nil
}

// onHolderChange presents the live grants to a new holder at once, so that the holder does not
// allocate again what running requests occupy.
func (c *Client) onHolderChange(x peer.Holder) {
	live, ok := c.liveByService()[x.Service]
	if !ok {
		return
	}
	c.present(context.Background(), x.Service, live)
}

// liveByService groups the live grants by service. A queried service without live grants has an
// empty entry, so that its owner learns that the last grant has ended.
func (c *Client) liveByService() map[route.ServiceID][]span.LiveGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[route.ServiceID][]span.LiveGrant, len(c.queried))
	for s := range c.queried {
		out[s] = nil
	}
	for _, g := range c.live {
		out[g.service] = append(out[g.service], g.LiveGrant)
	}
	return out
}

func (c *Client) present(ctx context.Context, s route.ServiceID, live []span.LiveGrant) {
	args := &PresentArgs{Service: s, Gate: c.gate, Live: live}
	unacked := c.pendingStatements(s)
	args.Statements = unacked.Statements
	args.LimitDigest = statement.LimitsDigest(c.statements.All(s))
	ctx, cancel := context.WithTimeout(ctx, (askWait + answerSlack).Duration())
	defer cancel()
	for range maxRoutings {
		args.Earlier = c.earlierSends(s)
		x, _ := c.holders.Of(s)
		c.attachCrashes(args, x.Epoch)
		var reply PresentReply
		if owner, remote := c.owner(s); !remote {
			_ = c.localOwner.Present(args, &reply) // Present returns no errors
		} else if err := c.peers.Call(ctx, owner.Address, Name+".Present", args, &reply); err != nil {
			c.silent.MarkUnresponsive(owner, err)
			return
		}
		if reply.Holder == nil {
			c.statements.Acknowledge(s, unacked)
			c.learnCrashes(s, &reply, x.Epoch)
			c.learnLimits(s, reply.Limits)
			return
		}
		c.holders.Update(*reply.Holder, "answer")
	}
}

// owner returns the VM to send messages about grants to: the owner of a service, or a VM that
// forwards them to the owner. It returns false if that is this VM.
func (c *Client) owner(s route.ServiceID) (peer.Member, bool) {
	self := c.members.Self()
	for _, m := range c.candidates(s) {
		return m, m.VM != self.VM
	}
	return self, false
}

func (c *Client) candidates(s route.ServiceID) []peer.Member {
	return c.holders.candidates(s, c.silent.IsUnresponsive)
}

// Ask queries owners until one decides on a's placement or ctx ends. Aim and Deadline of a are
// instants of this VM's clock.
func (c *Client) Ask(ctx context.Context, s route.ServiceID, a span.Ask) (AskReply, error) {
	c.mu.Lock()
	c.queried[s] = true
	c.mu.Unlock()
	for wait := firstWait; ; wait = nextWait(wait) {
		reply, err := c.poll(ctx, s, a, wait)
		if ctx.Err() != nil {
			return AskReply{}, ctx.Err()
		}
		if err != nil {
			// No VM answered: the owner of this VM decides.
			if reply, err = c.askLocal(s, a, wait); err != nil {
				return AskReply{}, err
			}
		}
		if reply.Decided {
			c.recordGrant(s, &a, &reply)
			return reply, nil
		}
		if reply.Moved {
			wait = firstWait
		}
	}
}

// recordGrant records a grant as live and stores the owner's statement on the upstream's rate
// limit.
func (c *Client) recordGrant(s route.ServiceID, a *span.Ask, reply *AskReply) {
	if reply.Fault != "" {
		return
	}
	c.mu.Lock()
	c.live[reply.Grant.Request] = &activeGrant{LiveGrant: span.LiveGrant{Grant: reply.Grant}, service: s}
	c.countSend(s, a, reply)
	c.startOwn(s, a, reply.Grant.Leader)
	c.mu.Unlock()
	if l := reply.Limit; l != nil {
		c.statements.Learn(s, l.Upstream, l.Statement(c.clock.Now()), statements.FromOwner)
	}
}

// nextWait returns the wait of the query that follows a query with the given wait.
func nextWait(wait clock.Milli) clock.Milli {
	if wait < askWait {
		return askWait
	}
	return min(2*wait, askLongest)
}

// askLocal queries the owner on this VM, whichever VM holds the service.
func (c *Client) askLocal(s route.ServiceID, a span.Ask, wait clock.Milli) (AskReply, error) {
	args := c.newAskArgs(s, a, wait)
	args.Local, args.Statements = true, c.statements.All(s)
	var reply AskReply
	return reply, c.localOwner.Ask(args, &reply)
}

// newAskArgs returns the arguments of a query, with the instants of a converted to the time left.
func (c *Client) newAskArgs(s route.ServiceID, a span.Ask, wait clock.Milli) *AskArgs {
	now := c.clock.Now()
	a.Aim -= now
	a.Deadline -= now
	if a.Patience != 0 {
		a.Patience -= now
	}
	x, _ := c.holders.Of(s)
	return &AskArgs{Service: s, Ask: a, Wait: wait, Epoch: x.Epoch, Crashes: c.crashesUnder(s, a.Parts)}
}

// FirstByte reports to the owner that the first byte of a response has arrived.
func (c *Client) FirstByte(id decide.RequestID) {
	c.mu.Lock()
	g := c.live[id]
	if g != nil {
		g.Writing = true
		c.crashesOf(g.service).own.Begun(c.clock.Now(), run(id))
	}
	c.mu.Unlock()
	if g != nil {
		c.sendNote(NoteArgs{Service: g.service, Request: id, Event: FirstByte, Statements: c.grantStatements(g)})
	}
}

// End reports to the owner how a send ended. culprit is the upstream at fault if that is not the
// leader.
func (c *Client) End(id decide.RequestID, o span.Outcome, culprit decide.UpstreamID) {
	c.mu.Lock()
	g := c.live[id]
	delete(c.live, id)
	if g != nil {
		c.endOwn(g, o)
	}
	c.mu.Unlock()
	if g != nil {
		c.sendNote(NoteArgs{Service: g.service, Request: id, Event: Ended, Outcome: o, Culprit: culprit, Statements: c.grantStatements(g)})
	}
}

// Withdraw reports to the owner that the gate no longer waits for a placement of the request.
func (c *Client) Withdraw(s route.ServiceID, id decide.RequestID) {
	c.sendNote(NoteArgs{Service: s, Request: id, Event: Withdraw})
}

// sendNote sends a message about a grant to the owner without waiting for an answer. The next
// Present makes up for a lost message.
func (c *Client) sendNote(n NoteArgs) {
	owner, remote := c.owner(n.Service)
	if !remote {
		_ = c.localOwner.Note(&n, &peer.Empty{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (askWait + answerSlack).Duration())
		defer cancel()
		if err := c.peers.Call(ctx, owner.Address, Name+".Note", &n, &peer.Empty{}); err != nil {
			c.silent.MarkUnresponsive(owner, err)
		}
	}()
}

// Live returns the number of grants in use.
func (c *Client) Live() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.live) }

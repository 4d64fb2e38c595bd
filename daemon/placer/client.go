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
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Members lists the daemons that count as live.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
	// Lost counts those that fell silent without a word, a while ago at most: they may live behind a cut.
	Lost() int
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	// Probe finds out over a connection of its own whether a daemon answers.
	Probe(ctx context.Context, address string) error
}

// Times of a gate's side.
const (
	// firstWait is how long the first question for a request waits for its decision. An answer that does not come soon
	// after shows a silent owner, so it is short beside the 300 ms in which short requests are due. The next question
	// waits for askWait, each further one twice as long, up to askLongest: what is queued that long is late, and each
	// question costs the owner.
	firstWait  = 30 * clock.Milli(1)
	askWait    = 120 * clock.Milli(1)
	askLongest = 480 * clock.Milli(1)
	// answerSlack is how much later than asked an answer may come before its VM counts as silent. Peers
	// are 3 ms away; a pause of an owner's processor, whose share is cut every
	// tenth of a second, takes up to 60.
	answerSlack = 180 * clock.Milli(1)
	// presentEvery is how often all live grants are presented to an owner, so that a
	// lost word of an end does not cost it an engine for long.
	presentEvery = time.Second
)

// Client asks owners for places and tells them what became of grants.
type Client struct {
	clock   Clock
	log     *log.Logger
	members Members
	peers   Peers
	own     *Owner
	holders *Holders
	silent  *silent.VMs
	heard   *statements.Cache
	hedges  hedge.Policy
	gate    decide.GateID

	mu sync.Mutex
	// asked names the services that were asked for.
	asked map[route.ServiceID]bool
	// live holds the grants in use.
	live map[decide.RequestID]*use
}

// use is a grant in use.
type use struct {
	span.LiveGrant
	service route.ServiceID
}

// NewClient returns the client of a gate; own places where no owner can be reached.
func NewClient(k Clock, l *log.Logger, m Members, p Peers, own *Owner, gate decide.GateID) *Client {
	c := &Client{
		clock: k, log: l, members: m, peers: p, own: own, holders: own.Holders, gate: gate,
		silent: silent.New(l, m, p), asked: map[route.ServiceID]bool{}, live: map[decide.RequestID]*use{},
		heard: own.heard,
	}
	c.holders.OnChange(c.followed)
	return c
}

// Run tells owners of live grants until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	guard.Every(ctx, presentEvery, func() {
		for s, live := range c.grouped() {
			c.present(ctx, s, live)
		}
		c.forgetStatements()
	})
	return nil
}

// followed presents the live grants to a new holder at once, so that it does not give out again what runs already.
func (c *Client) followed(x peer.Holder) {
	live, ok := c.grouped()[x.Service]
	if !ok {
		return
	}
	c.present(context.Background(), x.Service, live)
}

// grouped lists the live grants by service. Services whose last grant has just
// ended are among them, so that their owners learn of it.
func (c *Client) grouped() map[route.ServiceID][]span.LiveGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[route.ServiceID][]span.LiveGrant, len(c.asked))
	for s := range c.asked {
		out[s] = nil
	}
	for _, u := range c.live {
		out[u.service] = append(out[u.service], u.LiveGrant)
	}
	return out
}

func (c *Client) present(ctx context.Context, s route.ServiceID, live []span.LiveGrant) {
	args := &PresentArgs{Service: s, Gate: c.gate, Live: live}
	unsaid := c.pending(s)
	args.Statements = unsaid.Statements
	ctx, cancel := context.WithTimeout(ctx, (askWait + answerSlack).Duration())
	defer cancel()
	for range routings {
		var reply PresentReply
		if owner, remote := c.owner(s); !remote {
			_ = c.own.Present(args, &reply) // it returns no errors
		} else if err := c.peers.Call(ctx, owner.Address, Name+".Present", args, &reply); err != nil {
			c.silent.MarkUnresponsive(owner, err)
			return
		}
		if reply.Holder == nil {
			c.heard.Acknowledge(s, unsaid)
			return
		}
		c.holders.Update(*reply.Holder, "answer")
	}
}

// owner names whom messages about grants go to: the owner of a service, or who passes them on to it. False means this VM.
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

// Ask waits for a place until ctx ends. Aim and Deadline of a are instants of this VM's clock.
func (c *Client) Ask(ctx context.Context, s route.ServiceID, a span.Ask) (AskReply, error) {
	c.mu.Lock()
	c.asked[s] = true
	c.mu.Unlock()
	for wait := firstWait; ; wait = longer(wait) {
		reply, err := c.poll(ctx, s, a, wait)
		if ctx.Err() != nil {
			return AskReply{}, ctx.Err()
		}
		if err != nil {
			// Nobody answered: this VM decides by itself.
			if reply, err = c.local(s, a, wait); err != nil {
				return AskReply{}, err
			}
		}
		if reply.Decided {
			c.granted(s, &reply)
			return reply, nil
		}
		if reply.Moved {
			wait = firstWait
		}
	}
}

// granted notes a grant that is to be used.
func (c *Client) granted(s route.ServiceID, reply *AskReply) {
	if reply.Fault != "" {
		return
	}
	c.mu.Lock()
	c.live[reply.Grant.Request] = &use{LiveGrant: span.LiveGrant{Grant: reply.Grant}, service: s}
	c.mu.Unlock()
	if l := reply.Limit; l != nil {
		c.heard.Learn(s, l.Upstream, l.Statement(c.clock.Now()), statements.FromOwner)
	}
}

// longer is how long the question after one that waited so long waits.
func longer(wait clock.Milli) clock.Milli {
	if wait < askWait {
		return askWait
	}
	return min(2*wait, askLongest)
}

// local asks this VM's own owner, whoever holds the service.
func (c *Client) local(s route.ServiceID, a span.Ask, wait clock.Milli) (AskReply, error) {
	args := c.question(s, a, wait)
	args.Local, args.Statements = true, c.heard.All(s)
	var reply AskReply
	return reply, c.own.Ask(args, &reply)
}

// question is an Ask with spans in place of instants.
func (c *Client) question(s route.ServiceID, a span.Ask, wait clock.Milli) *AskArgs {
	now := c.clock.Now()
	a.Aim -= now
	a.Deadline -= now
	if a.Patience != 0 {
		a.Patience -= now
	}
	x, _ := c.holders.Of(s)
	return &AskArgs{Service: s, Ask: a, Wait: wait, Epoch: x.Epoch}
}

// FirstByte tells that the first byte of an answer came.
func (c *Client) FirstByte(id decide.RequestID) {
	c.mu.Lock()
	u := c.live[id]
	if u != nil {
		u.Writing = true
	}
	c.mu.Unlock()
	if u != nil {
		c.note(NoteArgs{Service: u.service, Request: id, Event: FirstByte, Statements: c.about(u)})
	}
}

// End tells how a send ended.
func (c *Client) End(id decide.RequestID, o span.Outcome, culprit decide.UpstreamID) {
	c.mu.Lock()
	u := c.live[id]
	delete(c.live, id)
	c.mu.Unlock()
	if u != nil {
		c.note(NoteArgs{Service: u.service, Request: id, Event: Ended, Outcome: o, Culprit: culprit, Statements: c.about(u)})
	}
}

// Withdraw tells that a question is not asked any more.
func (c *Client) Withdraw(s route.ServiceID, id decide.RequestID) {
	c.note(NoteArgs{Service: s, Request: id, Event: Withdraw})
}

// note tells the owner without waiting. A word that is lost is made good by the next Present.
func (c *Client) note(n NoteArgs) {
	owner, remote := c.owner(n.Service)
	if !remote {
		_ = c.own.Note(&n, &peer.Empty{})
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

// Live counts the grants in use.
func (c *Client) Live() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.live) }

package placer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Members lists the daemons that count as live.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Times of a gate's side.
const (
	// askWait is how long the first question for a request waits for its decision. Gates
	// take an unanswered question for a dead owner, so it is short beside the 300 ms in
	// which short requests are due. Each further question waits twice as long, up to
	// askLongest: what is queued that long is late, and each question costs the owner.
	askWait    = 120 * clock.Milli(1)
	askLongest = 480 * clock.Milli(1)
	// answerSlack is how much later than asked an answer may come. Peers
	// are 3 ms away; a pause of an owner's processor, whose share is cut every
	// tenth of a second, takes up to 60.
	answerSlack = 180 * clock.Milli(1)
	// suspectFor is how long an owner that left a question unanswered is passed
	// over: until heartbeats have found out whether it is gone.
	suspectFor = 2 * clock.Second
	// presentEvery is how often an owner is told of all live grants, so that a
	// lost word of an end does not cost it an engine for long.
	presentEvery = time.Second
	// ownersTried is how many owners are asked before the gate places by itself.
	ownersTried = 2
)

// Client asks owners for places and tells them what became of grants.
type Client struct {
	clock   Clock
	log     *log.Logger
	members Members
	peers   Peers
	own     *Owner
	gate    decide.GateID

	mu sync.Mutex
	// suspects holds members that did not answer, until an instant.
	suspects map[peer.VM]clock.Milli
	// owners is the last owner of each service that was asked.
	owners map[route.ServiceID]peer.Member
	// live holds the grants in use.
	live  map[decide.RequestID]*use
	ranks ranks
}

// use is a grant in use.
type use struct {
	span.Live
	service route.ServiceID
}

// NewClient returns the client of a gate; own places where no owner can be reached.
func NewClient(k Clock, l *log.Logger, m Members, p Peers, own *Owner, gate decide.GateID) *Client {
	return &Client{
		clock: k, log: l, members: m, peers: p, own: own, gate: gate,
		suspects: map[peer.VM]clock.Milli{}, owners: map[route.ServiceID]peer.Member{}, live: map[decide.RequestID]*use{},
	}
}

// Run tells owners of live grants until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	guard.Every(ctx, presentEvery, func() {
		for s, live := range c.grouped() {
			c.present(ctx, s, live)
		}
	})
	return nil
}

// grouped lists the live grants by service. Services whose last grant has just
// ended are among them, so that their owners learn of it.
func (c *Client) grouped() map[route.ServiceID][]span.Live {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[route.ServiceID][]span.Live, len(c.owners))
	for s := range c.owners {
		out[s] = nil
	}
	for _, u := range c.live {
		out[u.service] = append(out[u.service], u.Live)
	}
	return out
}

func (c *Client) present(ctx context.Context, s route.ServiceID, live []span.Live) {
	args := &PresentArgs{Service: s, Gate: c.gate, Live: live}
	owner, ok := c.owner(s)
	if !ok {
		_ = c.own.Present(args, &peer.Empty{})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, (askWait + answerSlack).Duration())
	defer cancel()
	if err := c.peers.Call(ctx, owner.Address, Name+".Present", args, &peer.Empty{}); err != nil {
		c.suspect(owner, err)
	}
}

// owner names the owner of a service; false means that it is this VM.
func (c *Client) owner(s route.ServiceID) (peer.Member, bool) {
	now := c.clock.Now()
	live := c.members.Live()
	self := c.members.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.ranks.of(s, live) {
		if until, ok := c.suspects[m.VM]; ok && now < until && m.VM != self.VM {
			continue
		}
		return m, m.VM != self.VM
	}
	return peer.Member{}, false
}

// ranks holds the members by how they rank as owners of services. Each request asks for the owner three
// times, while members change a few times an hour.
type ranks struct {
	// live is the list that the rest was worked out from. Members never change a list that they gave out.
	live      []peer.Member
	byService map[route.ServiceID][]peer.Member
}

func (r *ranks) of(s route.ServiceID, live []peer.Member) []peer.Member {
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same || r.byService == nil {
		*r = ranks{live: live, byService: map[route.ServiceID][]peer.Member{}}
	}
	ranked, ok := r.byService[s]
	if !ok {
		ranked = member.RankStrong(string(s), live)
		r.byService[s] = ranked
	}
	return ranked
}

// suspect passes an owner over for a while.
func (c *Client) suspect(m peer.Member, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	known := now < c.suspects[m.VM]
	c.suspects[m.VM] = now + suspectFor
	if known {
		return
	}
	c.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "owner").Str("peer", string(m.VM)).Err(err).Msg("an owner does not answer and is passed over")
}

// Ask waits for a place until ctx ends. Aim and Deadline of a are instants of this VM's clock.
func (c *Client) Ask(ctx context.Context, s route.ServiceID, a span.Ask) (AskReply, error) {
	failed := 0
	for wait := askWait; ; wait = min(2*wait, askLongest) {
		owner, remote := c.owner(s)
		if failed >= ownersTried {
			remote = false
		}
		c.changed(ctx, s, owner, remote)
		reply, err := c.ask(ctx, s, a, wait, owner, remote)
		if ctx.Err() != nil {
			return AskReply{}, ctx.Err()
		}
		if err != nil {
			failed++
			c.suspect(owner, err)
			continue
		}
		if reply.Decided {
			if reply.Fault == "" {
				c.mu.Lock()
				c.live[a.ID] = &use{Live: span.Live{Grant: reply.Grant}, service: s}
				c.mu.Unlock()
			}
			return reply, nil
		}
	}
}

// changed presents all live grants to an owner that is asked for the first time,
// so that it does not give out again what runs already.
func (c *Client) changed(ctx context.Context, s route.ServiceID, owner peer.Member, remote bool) {
	if !remote {
		owner = c.members.Self()
	}
	c.mu.Lock()
	last, known := c.owners[s]
	same := known && last.VM == owner.VM && last.Incarnation == owner.Incarnation
	c.owners[s] = owner
	c.mu.Unlock()
	if same {
		return
	}
	c.log.Info().Str(logline.Key, logline.Owner).Str("service", string(s)).Str("owner", string(owner.VM)).
		Str("before", string(last.VM)).Msg("a service has another owner")
	if known {
		c.present(ctx, s, c.grouped()[s])
	}
}

// ask puts one question.
func (c *Client) ask(ctx context.Context, s route.ServiceID, a span.Ask, wait clock.Milli, owner peer.Member, remote bool) (AskReply, error) {
	now := c.clock.Now()
	a.Aim -= now
	a.Deadline -= now
	if a.Patience != 0 {
		a.Patience -= now
	}
	args := &AskArgs{Service: s, Ask: a, Wait: wait}
	var reply AskReply
	if !remote {
		return reply, c.own.Ask(args, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerSlack).Duration())
	defer cancel()
	err := c.peers.Call(ctx, owner.Address, Name+".Ask", args, &reply)
	return reply, err
}

// First tells that the first byte of an answer came.
func (c *Client) First(id decide.RequestID) {
	c.mu.Lock()
	u := c.live[id]
	if u != nil {
		u.Writing = true
	}
	c.mu.Unlock()
	if u != nil {
		c.note(NoteArgs{Service: u.service, Request: id, Event: First})
	}
}

// End tells how a send ended.
func (c *Client) End(id decide.RequestID, o span.Outcome, culprit decide.UpstreamID) {
	c.mu.Lock()
	u := c.live[id]
	delete(c.live, id)
	c.mu.Unlock()
	if u != nil {
		c.note(NoteArgs{Service: u.service, Request: id, Event: Ended, Outcome: o, Culprit: culprit})
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
			c.suspect(owner, err)
		}
	}()
}

// Live counts the grants in use.
func (c *Client) Live() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.live) }

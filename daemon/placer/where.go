package placer

import (
	"context"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// This file answers the operator's question where a request would be placed now. The owner decides on a copy of its pool,
// so nothing that it or a gate records changes.

// whereWait is how long the VM that was asked waits for the owner. What is left of the second that an operator waits suffices
// for its own answer.
const whereWait = 700 * clock.Milli(1)

// maxNamedQueued bounds the queued requests that an answer names.
const maxNamedQueued = 5

// Gathering is the reason for a request that waits until gates have presented their grants to a new owner.
const Gathering = "gathering"

// WhereArgs asks where a request would be placed now.
type WhereArgs struct {
	// Query describes the request and its service as a query for a placement does. Local is set if the receiver has to
	// answer from its own pool whichever VM holds the service.
	Query AskArgs
	// Queued is the request that the question is about, if it is in the queue already; empty for the request of Query.
	Queued decide.RequestID
}

// WhereReply is the answer to WhereArgs.
type WhereReply struct {
	// Holder is set if another VM holds the service; nothing else is set then.
	Holder *peer.Holder
	// VM is the one whose pool the answer is from. It holds the service at Epoch, which is zero if it does not.
	VM    peer.VM
	Epoch uint64
	// Found is false if Queued is neither in the queue nor running; Waiting names some requests that are in the queue.
	Found       bool
	Waiting     []decide.RequestID
	Explanation span.Explanation
	// DocumentAge and ListAge are the times since the document and the list of upstreams were verified as current.
	DocumentAge, ListAge clock.Milli
}

// Where implements Placer.Where.
func (o *Owner) Where(args *WhereArgs, reply *WhereReply) error {
	s := args.Query.Service
	x, _ := o.Holders.Of(s)
	if _, remote := o.remoteHolder(s); remote && !args.Query.Local {
		reply.Holder = &x
		return nil
	}
	now, v := o.Clock.Now(), o.Knowledge.View()
	reply.VM = o.Members.Self().VM
	if o.Holders.Holds(s) {
		reply.Epoch = x.Epoch
	}
	reply.DocumentAge, reply.ListAge = max(now-v.TableVerified, 0), max(now-v.UpstreamsVerified, 0)
	pool, gathering := o.copyPool(s)
	pool.SetLimitShare(now, o.limitShare(&args.Query))
	pool.SetSpread(o.Spread && o.limitedKnowledge(&args.Query), globalRandom{})
	pool.SetRank(o.rank())
	for _, m := range args.Query.Statements {
		pool.Learn(now, m.Upstream, m.Statement(now))
	}
	pool.Parts().Merge(now, args.Query.Crashes)
	others := pool.Counts().Queued
	if pool.Queued(args.Queued) {
		others--
	}
	reply.explain(now, pool, args)
	if gathering && reply.Explanation.Reason != span.Running {
		reply.Explanation = span.Explanation{Reason: Gathering, Queued: others}
	}
	return nil
}

// explain fills the reply from a copy of a pool.
func (r *WhereReply) explain(now clock.Milli, pool *span.Pool, args *WhereArgs) {
	if args.Queued == "" {
		r.Explanation, r.Found = pool.Explain(now, args.Query.at(now))
		return
	}
	r.Waiting = pool.QueuedIDs(now, maxNamedQueued)
	r.Explanation, r.Found = pool.ExplainQueued(now, args.Queued)
}

// copyPool returns a copy of the pool of a service, updated to the current view, and whether nothing is decided there now.
// Without a pool it returns the one that the first query would create.
func (o *Owner) copyPool(s route.ServiceID) (pool *span.Pool, gathering bool) {
	o.mu.Lock()
	p := o.pools[s]
	o.mu.Unlock()
	if p == nil {
		p = o.newPool()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pool = p.pool.Copy()
	o.follow(s, p, pool, o.Alone())
	return pool, p.gathering
}

// Where asks the owner of a service where a request would be placed now, or what becomes of a queued one if its id is given.
// If the owner gives no answer, this VM answers from its own pool, and ownerErr tells why.
func (c *Client) Where(ctx context.Context, s route.ServiceID, a span.Ask, queued decide.RequestID) (reply WhereReply, ownerErr error) {
	ctx, cancel := context.WithTimeout(ctx, whereWait.Duration())
	defer cancel()
	args := &WhereArgs{Query: *c.newAskArgs(s, a, 0), Queued: queued}
	args.Query.Statements = c.statements.All(s)
	owner, remote := c.owner(s)
	for range maxRoutings {
		var reply WhereReply
		if !remote {
			_ = c.localOwner.Where(args, &reply) // Where returns no errors
		} else if err := c.peers.Call(ctx, owner.Address, Name+".Where", args, &reply); err != nil {
			return c.whereLocal(args), err
		}
		if reply.Holder == nil {
			return reply, nil
		}
		owner = peer.Member{VM: reply.Holder.VM, Address: reply.Holder.Address}
		remote = owner.VM != c.members.Self().VM
	}
	return c.whereLocal(args), errNoOwner
}

// whereLocal answers from the pool of this VM. It leaves args as they are: a call that was given up may still read them.
func (c *Client) whereLocal(args *WhereArgs) WhereReply {
	local := *args
	local.Query.Local = true
	var reply WhereReply
	_ = c.localOwner.Where(&local, &reply) // Where returns no errors
	return reply
}

package placer

import (
	"context"
	"errors"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// errNoOwner is returned if no VM answers.
var errNoOwner = errors.New("no VM answers the placement query")

// queryResult is the result of one call to a VM.
type queryResult struct {
	from  peer.Member
	reply AskReply
	err   error
}

// poll sends one query, to the owner first. If a VM fails, or answers later than usual, the next
// candidate is queried in parallel; the first answer is used. Each VM forwards the query to the
// owner that it knows, so all answers come from the same pool. A change of owner ends the query,
// and the caller sends a new one.
func (c *Client) poll(ctx context.Context, s route.ServiceID, a span.Ask, wait clock.Milli) (AskReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	moved := c.holders.Changed(s)
	vms := c.candidates(s)
	if c.silent.SelfCutOff() {
		vms = nil
	}
	results := make(chan queryResult, len(vms))
	next, pending := 0, 0
	queryNext := func() {
		if next == len(vms) {
			return
		}
		m := vms[next]
		next++
		pending++
		go func() {
			reply, err := c.query(ctx, s, a, wait, m)
			results <- queryResult{m, reply, err}
		}()
	}
	queryNext()
	t := time.NewTimer((wait + c.hedging.Delay()).Duration())
	defer t.Stop()
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return c.applyHolder(r), nil
			}
			if ctx.Err() != nil {
				return AskReply{}, ctx.Err()
			}
			c.silent.MarkUnresponsive(r.from, r.err)
			queryNext()
		case <-t.C:
			if len(results) == 0 && c.hedging.Allow() {
				queryNext()
			}
			t.Reset(c.hedging.Delay().Duration())
		case <-moved:
			return AskReply{Moved: true}, nil
		}
	}
	return AskReply{}, errNoOwner
}

// applyHolder records the holder that an answer names and returns the reply.
func (c *Client) applyHolder(r queryResult) AskReply {
	if r.reply.Holder != nil {
		go c.holders.Update(*r.reply.Holder, "answer")
	}
	return r.reply
}

// query sends the query to one VM.
func (c *Client) query(ctx context.Context, s route.ServiceID, a span.Ask, wait clock.Milli, m peer.Member) (AskReply, error) {
	args := c.newAskArgs(s, a, wait)
	unacked := c.pendingStatements(s)
	args.Statements = unacked.Statements
	if x, ok := c.holders.Of(s); ok && x.VM != m.VM {
		args.Known = &x
	}
	var reply AskReply
	if m.VM == c.members.Self().VM {
		err := c.localOwner.Ask(args, &reply)
		c.ackStatements(s, unacked, args, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerSlack).Duration())
	defer cancel()
	began := c.clock.Now()
	if err := c.peers.Call(ctx, m.Address, Name+".Ask", args, &reply); err != nil {
		return AskReply{}, err
	}
	c.ackStatements(s, unacked, args, &reply)
	c.hedging.ObserveRoundTrip(c.clock.Now() - began - reply.Waited)
	c.silent.MarkResponsive(m)
	return reply, nil
}

// Hedged returns the number of queries that were sent to another VM in parallel to the owner.
func (c *Client) Hedged() uint64 { return c.hedging.Hedged() }

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

// errNobody is returned if no VM answers.
var errNobody = errors.New("no owner answers")

// reached is the end of one call.
type reached struct {
	from  peer.Member
	reply AskReply
	err   error
}

// poll puts one question, to the owner first. A VM that fails, or is later than usual, has the next one asked beside; the first answer counts. Each
// VM passes the question on to the owner that it knows, so all of them are answered from the same books. A change of owner
// ends the question: it is put anew.
func (c *Client) poll(ctx context.Context, s route.ServiceID, a span.Ask, wait clock.Milli) (AskReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	moved := c.holders.Changed(s)
	vms := c.candidates(s)
	if c.silent.SelfCutOff() {
		vms = nil
	}
	ends := make(chan reached, len(vms))
	next, pending := 0, 0
	ask := func() {
		if next == len(vms) {
			return
		}
		m := vms[next]
		next++
		pending++
		go func() {
			reply, err := c.put(ctx, s, a, wait, m)
			ends <- reached{m, reply, err}
		}()
	}
	ask()
	t := time.NewTimer((wait + c.hedges.Delay()).Duration())
	defer t.Stop()
	for pending > 0 {
		select {
		case e := <-ends:
			pending--
			if e.err == nil {
				return c.follow(e), nil
			}
			if ctx.Err() != nil {
				return AskReply{}, ctx.Err()
			}
			c.silent.MarkUnresponsive(e.from, e.err)
			ask()
		case <-t.C:
			if len(ends) == 0 && c.hedges.Allow() {
				ask()
			}
			t.Reset(c.hedges.Delay().Duration())
		case <-moved:
			return AskReply{Moved: true}, nil
		}
	}
	return AskReply{}, errNobody
}

// follow takes an answer's word on who holds the service.
func (c *Client) follow(e reached) AskReply {
	if e.reply.Holder != nil {
		go c.holders.Update(*e.reply.Holder, "answer")
	}
	return e.reply
}

// put calls one VM.
func (c *Client) put(ctx context.Context, s route.ServiceID, a span.Ask, wait clock.Milli, m peer.Member) (AskReply, error) {
	args := c.question(s, a, wait)
	unsaid := c.pending(s)
	args.Statements = unsaid.Statements
	if x, ok := c.holders.Of(s); ok && x.VM != m.VM {
		args.Known = &x
	}
	var reply AskReply
	if m.VM == c.members.Self().VM {
		err := c.own.Ask(args, &reply)
		c.delivered(s, unsaid, args, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerSlack).Duration())
	defer cancel()
	began := c.clock.Now()
	if err := c.peers.Call(ctx, m.Address, Name+".Ask", args, &reply); err != nil {
		return AskReply{}, err
	}
	c.delivered(s, unsaid, args, &reply)
	c.hedges.ObserveRoundTrip(c.clock.Now() - began - reply.Waited)
	c.silent.MarkResponsive(m)
	return reply, nil
}

// Hedged counts the questions that were put to another VM beside the owner.
func (c *Client) Hedged() uint64 { return c.hedges.Hedged() }

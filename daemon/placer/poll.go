package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Limits of hedged questions.
const (
	// leastHedge and longestHedge bound how much later than it should an answer comes before the next VM is asked beside: twice the
	// longest way seen lately, since a fleet whose processors are cut answers later than one that is calm.
	leastHedge   = 20 * clock.Milli(1)
	longestHedge = 100 * clock.Milli(1)
	// hedgeShare of the questions may be asked of another VM beside, and hedgeBurst more: an owner that is merely busy must not get its load twice.
	hedgeShare = 0.05
	hedgeBurst = 8
	// wayDecay is how much of the longest way is kept at each answer: about forty answers on, half of it.
	wayDecay = 0.98
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
	moved := c.holders.Moved(s)
	vms := c.candidates(s)
	if c.silent.cutOff() {
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
	t := time.NewTimer((wait + c.hedges.after()).Duration())
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
			c.silent.note(e.from, e.err)
			ask()
		case <-t.C:
			if len(ends) == 0 && c.hedges.allow() {
				ask()
			}
			t.Reset(c.hedges.after().Duration())
		case <-moved:
			return AskReply{Moved: true}, nil
		}
	}
	return AskReply{}, errNobody
}

// follow takes an answer's word on who holds the service.
func (c *Client) follow(e reached) AskReply {
	if e.reply.Holder != nil {
		go c.holders.Hear(*e.reply.Holder, "answer")
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
	c.hedges.way(c.clock.Now() - began - reply.Waited)
	c.silent.answered(m)
	return reply, nil
}

// hedges decides when another VM is asked beside.
type hedges struct {
	mu sync.Mutex
	// longest is the longest way to an owner and back seen lately, in milliseconds.
	longest float64
	// used is how much of the allowance is taken.
	used float64
	// asked counts the questions put to another VM beside.
	asked uint64
}

// way takes the time of one call without what the question waited.
func (h *hedges) way(d clock.Milli) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest = max(float64(d), wayDecay*h.longest)
	h.used = max(0, h.used-hedgeShare)
}

// after is how much later than it should an answer is waited for alone.
func (h *hedges) after() clock.Milli {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(clock.Milli(2*h.longest), leastHedge), longestHedge)
}

// allow reports whether another VM may be asked beside, and counts it if so.
func (h *hedges) allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+1 > hedgeBurst {
		return false
	}
	h.used++
	h.asked++
	return true
}

// Hedged counts the questions that were put to another VM beside the owner.
func (c *Client) Hedged() uint64 {
	c.hedges.mu.Lock()
	defer c.hedges.mu.Unlock()
	return c.hedges.asked
}

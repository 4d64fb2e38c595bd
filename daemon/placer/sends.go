package placer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/route"
)

// The owner of a service counts the sends of all gates for the retry budget. An owner that stops hands its
// count over. In case the owner is lost, each gate also counts its own sends, and presents to a new owner
// those that earlier owners granted.

// sendCount counts the sends of this gate at one service.
type sendCount struct {
	// epoch is the latest epoch of an owner that this gate has followed.
	epoch uint64
	// current has the sends granted in epoch, earlier those granted in earlier epochs.
	earlier, current *gate.Tally
}

func newSendCount(window clock.Milli) *sendCount {
	return &sendCount{earlier: gate.NewTally(window), current: gate.NewTally(window)}
}

// add counts a send that the owner of an epoch granted.
func (n *sendCount) add(now clock.Milli, epoch uint64, s gate.Sends) {
	n.advance(now, epoch)
	n.current.Add(now, s)
}

// before returns the sends that owners of earlier epochs granted.
func (n *sendCount) before(now clock.Milli, epoch uint64) gate.Sends {
	n.advance(now, epoch)
	return n.earlier.Count(now)
}

// advance starts a new epoch, if it is later than the present one.
func (n *sendCount) advance(now clock.Milli, epoch uint64) {
	if epoch <= n.epoch {
		return
	}
	n.epoch = epoch
	n.earlier.Add(now, n.current.Count(now))
	n.current = gate.NewTally(n.current.Window())
}

// sendsOf returns what a granted request adds to the budget's count.
func sendsOf(a *span.Ask) gate.Sends {
	switch {
	case a.Counted:
		return gate.Sends{}
	case a.Again:
		return gate.Sends{Retries: 1}
	default:
		return gate.Sends{Requests: 1}
	}
}

// countSend counts a granted send. The lock is held.
func (c *Client) countSend(s route.ServiceID, a *span.Ask, reply *AskReply) {
	n := c.sends[s]
	if n == nil {
		n = newSendCount(c.localOwner.budget.Window)
		c.sends[s] = n
	}
	x, _ := c.holders.Of(s)
	if reply.Holder != nil { // the owner that decided, which this gate may not follow yet
		x = *reply.Holder
	}
	n.add(c.clock.Now(), x.Epoch, sendsOf(a))
}

// earlierSends returns the sends at a service that earlier owners than the present one granted.
func (c *Client) earlierSends(s route.ServiceID) gate.Sends {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.sends[s]
	if n == nil {
		return gate.Sends{}
	}
	x, _ := c.holders.Of(s)
	return n.before(c.clock.Now(), x.Epoch)
}

// countEarlier adds the sends of a gate that earlier owners granted to the budget, once for each gate. The
// pool's lock is held.
func (p *ownedPool) countEarlier(now clock.Milli, args *PresentArgs) {
	if p.handedOver || p.countedGates[args.Gate] {
		return
	}
	p.countedGates[args.Gate] = true
	p.budget.Add(now, args.Earlier)
}

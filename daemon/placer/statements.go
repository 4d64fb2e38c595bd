package placer

import (
	"context"

	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Upstreams declare statements in responses, which reach gates; owners apply the statements when
// they grant. A gate sends each new statement to the owner that it follows before its next query is
// decided, and all its statements to a new owner. An owner includes the known rate limit of the
// upstream in each grant. A statement thus survives the loss of VMs as long as one VM that knows it
// is left.

// RecordStatement records a statement that an upstream made in a response.
func (c *Client) RecordStatement(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	c.statements.Learn(s, u, st, statements.FromResponse)
}

// PassToCarrier passes a statement on to the VM that carried the response. The upstream saw a connection of that VM, so
// the statement binds it too.
func (c *Client) PassToCarrier(carrier peer.VM, s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	args := &CarriedArgs{Service: s, Statements: []statement.Message{st.Message(c.clock.Now(), u)}}
	for _, m := range c.members.Live() {
		if m.VM != carrier {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), (askWait + answerSlack).Duration())
			defer cancel()
			if err := c.peers.Call(ctx, m.Address, Name+".Carried", args, &peer.Empty{}); err != nil {
				c.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "peer").Str("peer", string(carrier)).Err(err).Msg("statement of an upstream not passed on to the VM that carried it")
			}
		}()
		return
	}
}

// Carried implements Placer.Carried: this VM is bound by statements in responses that it carried for another VM.
func (o *Owner) Carried(args *CarriedArgs, _ *peer.Empty) error {
	now := o.Clock.Now()
	for _, m := range args.Statements {
		st := m.Statement(now)
		st.Gate = o.Gate
		o.statements.Learn(args.Service, m.Upstream, st, statements.FromCarried)
	}
	return nil
}

// pendingStatements returns the statements that the followed owner has not acknowledged.
func (c *Client) pendingStatements(s route.ServiceID) statements.Pending {
	x, _ := c.holders.Of(s)
	return c.statements.Pending(s, x.Epoch)
}

// ackStatements marks statements as acknowledged after a query that carried them was answered. If
// the answer names another owner than the one that the gate follows, nothing is marked, and that
// owner is sent all statements.
func (c *Client) ackStatements(s route.ServiceID, p statements.Pending, args *AskArgs, reply *AskReply) {
	if reply.Holder == nil && !reply.Moved && p.IsFor(args.Epoch) {
		c.statements.Acknowledge(s, p)
	}
}

// learnLimits records the rate limits that the owner knows.
func (c *Client) learnLimits(s route.ServiceID, limits []statement.Message) {
	now := c.clock.Now()
	for _, m := range limits {
		c.statements.Learn(s, m.Upstream, m.Statement(now), statements.FromOwner)
	}
}

// grantStatements returns the statements of the upstreams of a grant.
func (c *Client) grantStatements(g *activeGrant) []statement.Message {
	us := []decide.UpstreamID{g.Grant.Leader.Upstream}
	for _, p := range g.Grant.Helpers {
		us = append(us, p.Upstream)
	}
	return c.statements.OfUpstreams(g.service, us...)
}

// Binding returns a statement that forbids this VM to send to an upstream now, if there is one.
func (c *Client) Binding(s route.ServiceID, p span.Placement) (statement.Statement, bool) {
	return c.statements.Binding(s, p.Upstream, p.Born)
}

// dropStatements discards expired statements and, after a retention time, those of upstreams that
// no longer exist.
func (c *Client) dropStatements() {
	v := c.localOwner.Knowledge.View()
	c.statements.Forget(func(s route.ServiceID, u decide.UpstreamID) bool {
		return v.Upstream(s, func(x *route.Upstream) bool { return x.ID == u }) != nil
	})
}

// Statements calls f for each statement in force that this VM knows.
func (c *Client) Statements(f func(route.ServiceID, decide.UpstreamID, statement.Statement)) {
	c.statements.Each(f)
}

// learnStatements applies statements received from gates to the pool. The pool's lock is held.
func (o *Owner) learnStatements(s route.ServiceID, p *ownedPool, now clock.Milli, received []statement.Message) {
	for _, a := range received {
		st := a.Statement(now)
		if p.pool.Learn(now, a.Upstream, st) {
			statements.LogChange(o.Log, now, s, a.Upstream, st, statements.FromGate)
		}
	}
}

// limitShare returns the fraction of upstream rate limits that this VM may grant for a query.
// Members that stopped responding may run on the other side of a partition, with an owner of their
// own. An owner therefore grants the fraction for the members that it reaches, and a VM that
// decides for itself only its own.
func (o *Owner) limitShare(args *AskArgs) float64 {
	live := max(1, len(o.Members.Live()))
	all := float64(live + o.Members.Lost())
	if !args.Local || o.Holders.Holds(args.Service) {
		return float64(live) / all
	}
	return 1 / all
}

// addAge returns statements with their age increased by the time since they were received.
func addAge(received []statement.Message, elapsed clock.Milli) []statement.Message {
	if len(received) == 0 {
		return nil
	}
	out := make([]statement.Message, len(received))
	for i, a := range received {
		out[i] = a.Older(elapsed)
	}
	return out
}

package placer

import (
	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// What upstreams say of themselves reaches gates, in answers, and is acted on by owners, in grants. A gate sends each change to the owner that
// it follows, before its next question is decided, and all that it knows to the next owner. An owner says with each grant what it
// knows of the upstream's limit. So a statement outlives whoever knows of it as long as one of them is left.

// RecordStatement takes what an answer says of its upstream.
func (c *Client) RecordStatement(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	c.heard.Learn(s, u, st, statements.FromResponse)
}

// pending lists what the owner that this gate follows has not acknowledged.
func (c *Client) pending(s route.ServiceID) statements.Pending {
	x, _ := c.holders.Of(s)
	return c.heard.Pending(s, x.Epoch)
}

// delivered notes that a question with statements was answered. If the owner is another one than the gate follows, all is sent to that one again.
func (c *Client) delivered(s route.ServiceID, p statements.Pending, args *AskArgs, reply *AskReply) {
	if reply.Holder == nil && !reply.Moved && p.IsFor(args.Epoch) {
		c.heard.Acknowledge(s, p)
	}
}

// about lists what was heard of the upstreams of a grant.
func (c *Client) about(u *use) []statement.Message {
	us := []decide.UpstreamID{u.Grant.Leader.Upstream}
	for _, p := range u.Grant.Helpers {
		us = append(us, p.Upstream)
	}
	return c.heard.OfUpstreams(u.service, us...)
}

// Binding returns a statement by which this VM must not send to a place now, if there is one.
func (c *Client) Binding(s route.ServiceID, p span.Placement) (statement.Statement, bool) {
	return c.heard.Binding(s, p.Upstream, p.Born)
}

// forgetStatements drops what nobody needs any more.
func (c *Client) forgetStatements() {
	v := c.own.Knowledge.View()
	c.heard.Forget(func(s route.ServiceID, u decide.UpstreamID) bool {
		return v.Upstream(s, func(x *route.Upstream) bool { return x.ID == u }) != nil
	})
}

// Statements calls f for each statement in force, as far as this VM knows.
func (c *Client) Statements(f func(route.ServiceID, decide.UpstreamID, statement.Statement)) {
	c.heard.Each(f)
}

// learn takes what gates have heard of upstreams. The pool's lock is held.
func (o *Owner) learn(s route.ServiceID, h *ownedPool, now clock.Milli, heard []statement.Message) {
	for _, a := range heard {
		st := a.Statement(now)
		if h.pool.Learn(now, a.Upstream, st) {
			statements.LogChange(o.Log, now, s, a.Upstream, st, statements.FromGate)
		}
	}
}

// part is the share of the limits of upstreams that this VM may grant for a question. VMs that fell silent may be at work behind a cut, with an
// owner of their own: an owner has the part of those that it reaches, and a VM that decides for itself its own.
func (o *Owner) part(args *AskArgs) float64 {
	live := max(1, len(o.Members.Live()))
	all := float64(live + o.Members.Lost())
	if !args.Local || o.Holders.Holds(args.Service) {
		return float64(live) / all
	}
	return 1 / all
}

// older adds to the age of statements that are passed on.
func older(heard []statement.Message, by clock.Milli) []statement.Message {
	if len(heard) == 0 {
		return nil
	}
	out := make([]statement.Message, len(heard))
	for i, a := range heard {
		out[i] = a.Older(by)
	}
	return out
}

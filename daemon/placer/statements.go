package placer

import (
	"sync"

	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// What upstreams say of themselves reaches gates, in answers, and is acted on by owners, in grants. A gate sends each change to the owner that
// it follows, before its next question is decided, and all that it knows to the next owner. An owner says with each grant what it
// knows of the upstream's limit. So a statement outlives whoever knows of it as long as one of them is left.

// The ways in which a VM learns of a statement.
const (
	// fromAnswer is an answer that this VM got itself, fromOwner the word of the owner with a grant, fromGate that of a gate.
	fromAnswer = "answer"
	fromOwner  = "owner"
	fromGate   = "gate"
)

// heard is what this VM has heard of upstreams, as a gate and as an owner that polls them.
type heard struct {
	clock Clock
	log   *log.Logger

	mu       sync.Mutex
	services map[route.ServiceID]*heardOf
}

// heardOf is what was heard of the upstreams of one service.
type heardOf struct {
	*statement.Table
	// epoch is that of the owner to which the changes up to version were sent.
	epoch, version uint64
}

func newHeard(k Clock, l *log.Logger) *heard {
	return &heard{clock: k, log: l, services: map[route.ServiceID]*heardOf{}}
}

// of returns what was heard of a service's upstreams. The lock is held.
func (h *heard) of(s route.ServiceID) *heardOf {
	x := h.services[s]
	if x == nil {
		x = &heardOf{Table: statement.NewTable()}
		h.services[s] = x
	}
	return x
}

// learn takes a statement.
func (h *heard) learn(s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	h.mu.Lock()
	changed := h.of(s).Learn(u, st)
	h.mu.Unlock()
	if changed {
		logStatement(h.log, h.clock.Now(), s, u, st, cause)
	}
}

// pending is what an owner has not acknowledged yet.
type pending struct {
	statements     []statement.Aged
	epoch, version uint64
}

// pending lists what the owner of an epoch has not acknowledged.
func (h *heard) pending(s route.ServiceID, epoch uint64) pending {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.of(s)
	after := x.version
	if x.epoch != epoch {
		after = 0
	}
	p := pending{epoch: epoch}
	p.statements, p.version = x.Since(h.clock.Now(), after)
	return p
}

// acknowledge notes that an owner knows what was not sent before.
func (h *heard) acknowledge(s route.ServiceID, p pending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.of(s)
	if x.epoch == p.epoch {
		p.version = max(p.version, x.version)
	}
	x.epoch, x.version = p.epoch, p.version
}

// all lists everything that was heard of a service's upstreams.
func (h *heard) all(s route.ServiceID) []statement.Aged {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, _ := h.of(s).Since(h.clock.Now(), 0)
	return all
}

// about lists what was heard of some upstreams.
func (h *heard) about(s route.ServiceID, us ...decide.UpstreamID) []statement.Aged {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []statement.Aged
	for _, u := range us {
		out = append(out, h.of(s).About(h.clock.Now(), u)...)
	}
	return out
}

// forget drops what nobody needs any more.
func (h *heard) forget(listed func(route.ServiceID, decide.UpstreamID) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, x := range h.services {
		x.Forget(h.clock.Now(), func(u decide.UpstreamID) bool { return listed(s, u) })
	}
}

// Hear takes what an answer says of its upstream.
func (c *Client) Hear(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
	c.heard.learn(s, u, st, fromAnswer)
}

// pending lists what the owner that this gate follows has not acknowledged.
func (c *Client) pending(s route.ServiceID) pending {
	x, _ := c.holders.Of(s)
	return c.heard.pending(s, x.Epoch)
}

// delivered notes that a question with statements was answered. If the owner is another one than the gate follows, all is sent to that one again.
func (c *Client) delivered(s route.ServiceID, p pending, args *AskArgs, reply *AskReply) {
	if reply.Holder == nil && !reply.Moved && args.Epoch == p.epoch {
		c.heard.acknowledge(s, p)
	}
}

// about lists what was heard of the upstreams of a grant.
func (c *Client) about(u *use) []statement.Aged {
	us := []decide.UpstreamID{u.Grant.Leader.Upstream}
	for _, p := range u.Grant.Helpers {
		us = append(us, p.Upstream)
	}
	return c.heard.about(u.service, us...)
}

// Binding returns a statement by which this VM must not send to a place now, if there is one.
func (c *Client) Binding(s route.ServiceID, p span.Place) (statement.Statement, bool) {
	c.heard.mu.Lock()
	defer c.heard.mu.Unlock()
	return c.heard.of(s).Binding(c.clock.Now(), p.Upstream, p.Born)
}

// forgetStatements drops what nobody needs any more.
func (c *Client) forgetStatements() {
	v := c.own.Knowledge.View()
	c.heard.forget(func(s route.ServiceID, u decide.UpstreamID) bool {
		return v.Upstream(s, func(x *route.Upstream) bool { return x.ID == u }) != nil
	})
}

// Statements calls f for each statement in force, as far as this VM knows.
func (c *Client) Statements(f func(route.ServiceID, decide.UpstreamID, statement.Statement)) {
	c.heard.mu.Lock()
	defer c.heard.mu.Unlock()
	for s, x := range c.heard.services {
		x.Each(c.clock.Now(), func(u decide.UpstreamID, st statement.Statement) { f(s, u, st) })
	}
}

// learn takes what gates have heard of upstreams. The pool's lock is held.
func (o *Owner) learn(s route.ServiceID, h *ownedPool, now clock.Milli, statements []statement.Aged) {
	for _, a := range statements {
		st := a.Statement(now)
		if h.pool.Learn(now, a.Upstream, st) {
			logStatement(o.Log, now, s, a.Upstream, st, fromGate)
		}
	}
}

// otherOwners is how many other VMs may decide for themselves as the one that is asked does: none, where it holds the service or nobody
// else is known.
func (o *Owner) otherOwners(args *AskArgs) int {
	if !args.Local || o.Holders.Holds(args.Service) {
		return 0
	}
	return max(0, len(o.Members.Live())-1)
}

// older adds to the age of statements that are passed on.
func older(statements []statement.Aged, by clock.Milli) []statement.Aged {
	if len(statements) == 0 {
		return nil
	}
	out := make([]statement.Aged, len(statements))
	for i, a := range statements {
		out[i] = a.Older(by)
	}
	return out
}

// logStatement writes that an upstream says something else of itself than before.
func logStatement(l *log.Logger, now clock.Milli, s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	e := l.Info().Str("service", string(s)).Str("upstream", string(u)).Int64("age", int64(now-st.At)).Str("cause", cause)
	switch st.Kind {
	case statement.Limit:
		e.Str(logline.Key, logline.Limit).Bool("named", st.Named).Float64("rate", float64(st.Rate)).Msg("an upstream has another limit")
	case statement.Rest:
		e.Str(logline.Key, logline.Rest).Str("gate", string(st.Gate)).Int64("left", int64(st.Until-now)).Msg("an upstream wants a rest")
	case statement.Leaving:
		e.Str(logline.Key, logline.Leaving).Str("gate", string(st.Gate)).Msg("an upstream says that it leaves")
	}
}

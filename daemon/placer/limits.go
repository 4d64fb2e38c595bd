package placer

import (
	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/ratelimit"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// The limits that upstreams name reach gates, in answers, and are kept by owners, in grants. A gate says each change to the owner that
// it follows, before its next question is decided, and all that it knows to the next owner. An owner says with each grant what it
// knows of the upstream. So a limit outlives whoever knows of it as long as one of them is left.

// The ways in which a VM learns of an upstream's limit.
const (
	// fromAnswer is an answer that this VM got itself, fromOwner the word of the owner with a grant, fromGate that of a gate.
	fromAnswer = "answer"
	fromOwner  = "owner"
	fromGate   = "gate"
)

// limitsKnown is what a gate knows of the limits of a service's upstreams.
type limitsKnown struct {
	*ratelimit.Table
	// epoch is that of the owner to which the changes up to version were said.
	epoch, version uint64
}

// limitsOf returns the limits of a service's upstreams. The client's lock is held.
func (c *Client) limitsOf(s route.ServiceID) *limitsKnown {
	k := c.limits[s]
	if k == nil {
		k = &limitsKnown{Table: ratelimit.NewTable()}
		c.limits[s] = k
	}
	return k
}

// Limit takes what an answer says of its upstream's limit.
func (c *Client) Limit(s route.ServiceID, u decide.UpstreamID, st ratelimit.Statement) {
	c.learn(s, u, st, fromAnswer)
}

func (c *Client) learn(s route.ServiceID, u decide.UpstreamID, st ratelimit.Statement, cause string) {
	c.mu.Lock()
	changed := c.limitsOf(s).Learn(u, st)
	c.mu.Unlock()
	if changed {
		logLimit(c.log, c.clock.Now(), s, u, st, cause)
	}
}

// pending is what an owner has not acknowledged yet.
type pending struct {
	statements     []ratelimit.Aged
	epoch, version uint64
}

// pendingLimits lists what the owner of a service has not acknowledged.
func (c *Client) pendingLimits(s route.ServiceID) pending {
	x, _ := c.holders.Of(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.limitsOf(s)
	after := k.version
	if k.epoch != x.Epoch {
		after = 0
	}
	u := pending{epoch: x.Epoch}
	u.statements, u.version = k.Since(c.clock.Now(), after)
	return u
}

// acknowledge notes that an owner knows what was not said before.
func (c *Client) acknowledge(s route.ServiceID, u pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.limitsOf(s)
	if k.epoch == u.epoch {
		u.version = max(u.version, k.version)
	}
	k.epoch, k.version = u.epoch, u.version
}

// delivered notes that a question with limits was answered. If the owner is another one than the gate follows, all is said to that one again.
func (c *Client) delivered(s route.ServiceID, u pending, args *AskArgs, reply *AskReply) {
	if reply.Holder == nil && !reply.Moved && args.Epoch == u.epoch {
		c.acknowledge(s, u)
	}
}

// allLimits lists everything that this VM knows of a service's limits.
func (c *Client) allLimits(s route.ServiceID) []ratelimit.Aged {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, _ := c.limitsOf(s).Since(c.clock.Now(), 0)
	return all
}

// limitOf is the newest statement of the upstream that leads a grant; nil if it never named a limit.
func (c *Client) limitOf(u *use) *ratelimit.Aged {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := u.Grant.Leader.Upstream
	st, ok := c.limitsOf(u.service).Of(leader)
	if !ok {
		return nil
	}
	a := st.Aged(c.clock.Now(), leader)
	return &a
}

// forgetLimits drops what nobody needs any more.
func (c *Client) forgetLimits() {
	v := c.own.Knowledge.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, k := range c.limits {
		k.Forget(c.clock.Now(), func(u decide.UpstreamID) bool {
			return v.Upstream(s, func(x *route.Upstream) bool { return x.ID == u }) != nil
		})
	}
}

// Limits calls f for each upstream that names a limit, as far as this VM knows.
func (c *Client) Limits(f func(route.ServiceID, decide.UpstreamID, ratelimit.PerSecond)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, k := range c.limits {
		k.Named(func(u decide.UpstreamID, rate ratelimit.PerSecond) { f(s, u, rate) })
	}
}

// learn takes what gates say of limits. The pool's lock is held.
func (o *Owner) learn(s route.ServiceID, h *ownedPool, now clock.Milli, limits []ratelimit.Aged) {
	for _, a := range limits {
		st := a.Statement(now)
		if h.pool.Limit(now, a.Upstream, st) {
			logLimit(o.Log, now, s, a.Upstream, st, fromGate)
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
func older(limits []ratelimit.Aged, by clock.Milli) []ratelimit.Aged {
	if len(limits) == 0 {
		return nil
	}
	out := make([]ratelimit.Aged, len(limits))
	for i, a := range limits {
		a.Age += by
		out[i] = a
	}
	return out
}

// logLimit writes that an upstream has another limit.
func logLimit(l *log.Logger, now clock.Milli, s route.ServiceID, u decide.UpstreamID, st ratelimit.Statement, cause string) {
	l.Info().Str(logline.Key, logline.Limit).Str("service", string(s)).Str("upstream", string(u)).Bool("named", st.Named).
		Float64("rate", float64(st.Rate)).Int64("age", int64(now-st.At)).Str("cause", cause).Msg("an upstream has another limit")
}

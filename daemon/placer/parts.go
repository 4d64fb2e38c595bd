package placer

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// The owner of a service knows which parts of prompts crash upstreams. Each gate keeps a copy of the crashes that matter, and
// those that it saw itself, so that the knowledge outlives the owner and reports that are lost: an owner that may not know
// them gets them with the next list of live grants of each gate, and with the queries that they concern.

// knownCrashes is what a gate knows of the crashes that speak against parts of prompts.
type knownCrashes struct {
	// crashes is the copy of what the owner knew at the time at.
	crashes []blame.Crash
	digest  uint64
	at      clock.Milli
	// own records the sends of this gate.
	own *blame.Table
	// sentTo is the epoch of the owner that has got the copy from this gate, and the crashes of the digest sentOwn with it.
	sentTo, sentOwn uint64
}

// present returns the crashes with their present ages.
func (k *knownCrashes) present(now clock.Milli) []blame.Crash {
	cs := slices.Clone(k.crashes)
	for i := range cs {
		cs[i].Ago += now - k.at
	}
	return append(cs, k.own.Recent(now)...)
}

// crashesOf returns what is known of the crashes of a service. The lock is held.
func (c *Client) crashesOf(s route.ServiceID) *knownCrashes {
	k := c.crashes[s]
	if k == nil {
		k = &knownCrashes{own: blame.New()}
		c.crashes[s] = k
	}
	return k
}

// run returns the send of a request in this gate's table of parts.
func run(id decide.RequestID) blame.Run { return blame.Run{Name: string(id)} }

// startOwn records a send of this gate. The lock is held.
func (c *Client) startOwn(s route.ServiceID, a *span.Ask, p span.Placement) {
	c.crashesOf(s).own.Granted(c.clock.Now(), run(a.ID), blame.Upstream{ID: string(p.Upstream), Born: int64(p.Born)}, a.Parts)
}

// endOwn records the end of a send of this gate. An upstream that leaves may break off its last responses. The lock is held.
func (c *Client) endOwn(g *activeGrant, o span.Outcome) {
	now, own, id := c.clock.Now(), c.crashesOf(g.service).own, run(g.Grant.Request)
	switch {
	case o == span.Done || o == span.Failed:
		own.Answered(now, id)
	case o == span.Crashed && !c.leaving(g.service, g.Grant.Leader):
		own.Crashed(now, id)
	default:
		own.Ended(now, id)
	}
}

// leaving reports whether an upstream has announced its end, by the list of upstreams or in a response.
func (c *Client) leaving(s route.ServiceID, p span.Placement) bool {
	if st, ok := c.Binding(s, p); ok && st.Kind == statement.Leaving {
		return true
	}
	u := c.localOwner.Knowledge.View().Upstream(s, func(u *route.Upstream) bool { return u.ID == p.Upstream })
	return u != nil && u.Leaving
}

// attachCrashes adds what this gate knows of crashes to a list of live grants, if the owner of this epoch may not know it.
// It returns the digest of the crashes that the gate saw itself.
func (c *Client) attachCrashes(args *PresentArgs, epoch uint64) (own uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, k := c.clock.Now(), c.crashesOf(args.Service)
	own = blame.Digest(k.own.Recent(now))
	args.Crashes, args.CrashDigest = nil, k.digest
	if k.sentTo != epoch || k.sentOwn != own {
		args.Crashes = k.present(now)
	}
	return own
}

// learnCrashes records that the owner of an epoch knows the crashes of this gate, and replaces the copy of those of the
// owner.
func (c *Client) learnCrashes(s route.ServiceID, reply *PresentReply, epoch, own uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crashesOf(s)
	k.sentTo, k.sentOwn = epoch, own
	if reply.NewCrashes {
		k.crashes, k.digest, k.at = reply.Crashes, blame.Digest(reply.Crashes), c.clock.Now()
	}
}

// crashesUnder returns what this gate knows of the crashes of a service if some speak against one of the parts.
func (c *Client) crashesUnder(s route.ServiceID, parts []blame.Part) []blame.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	cs := c.crashesOf(s).present(c.clock.Now())
	if !slices.ContainsFunc(cs, func(x blame.Crash) bool {
		return slices.ContainsFunc(x.Parts, func(p blame.Part) bool { return slices.Contains(parts, p) })
	}) {
		return nil
	}
	return cs
}

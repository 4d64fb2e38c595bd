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
// those that it saw itself, so that the knowledge outlives the owner and reports that are lost: a new owner gets the copy with
// the first list of live grants of each gate, and any owner gets both with the queries that they concern.

// knownCrashes is what a gate knows of the crashes that speak against parts of prompts.
type knownCrashes struct {
	// crashes is the copy of what the owner knew at the time at.
	crashes []blame.Crash
	digest  uint64
	at      clock.Milli
	// own records the sends of this gate.
	own *blame.Table
	// sentTo is the epoch of the owner that has got the copy from this gate.
	sentTo uint64
}

// present returns the copy with the present ages of its crashes.
func (k *knownCrashes) present(now clock.Milli) []blame.Crash {
	cs := slices.Clone(k.crashes)
	for i := range cs {
		cs[i].Ago += now - k.at
	}
	return cs
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

// attachCrashes adds this gate's copy of crashes to a list of live grants, if the owner of this epoch may not know them.
func (c *Client) attachCrashes(args *PresentArgs, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crashesOf(args.Service)
	args.Crashes, args.CrashDigest = nil, k.digest
	if k.sentTo != epoch {
		args.Crashes = k.present(c.clock.Now())
	}
}

// learnCrashes replaces this gate's copy by that of the owner of an epoch.
func (c *Client) learnCrashes(s route.ServiceID, reply *PresentReply, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crashesOf(s)
	k.sentTo = epoch
	if reply.NewCrashes {
		k.crashes, k.digest, k.at = reply.Crashes, blame.Digest(reply.Crashes), c.clock.Now()
	}
}

// crashesUnder returns what this gate knows of the crashes that speak against these parts, each with those of them that were
// there.
func (c *Client) crashesUnder(s route.ServiceID, parts []blame.Part) []blame.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, now := c.crashesOf(s), c.clock.Now()
	out := k.own.RecentUnder(now, parts)
	for _, x := range k.crashes {
		x.Parts = slices.DeleteFunc(slices.Clone(x.Parts), func(p blame.Part) bool { return !slices.Contains(parts, p) })
		if len(x.Parts) > 0 {
			x.Ago += now - k.at
			out = append(out, x)
		}
	}
	return out
}

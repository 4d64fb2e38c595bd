package placer

import (
	"slices"
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// The owner of a service knows which parts of prompts crash upstreams. Each gate keeps a copy of the crashes that matter, so
// that the knowledge outlives the owner: a new one gets them with the first list of live grants of each gate, and with the
// queries that they concern.

// crashCopy is a gate's copy of the crashes that speak against parts of prompts.
type crashCopy struct {
	crashes []blame.Crash
	digest  uint64
	// at is when the copy was received.
	at clock.Milli
	// sentTo is the epoch of the owner that has got the copy from this gate.
	sentTo uint64
}

// present returns the crashes with their present ages.
func (k *crashCopy) present(now clock.Milli) []blame.Crash {
	cs := slices.Clone(k.crashes)
	for i := range cs {
		cs[i].Ago += now - k.at
	}
	return cs
}

// attachCrashes adds this gate's copy of crashes to a list of live grants, if the owner of this epoch may not know them.
func (c *Client) attachCrashes(args *PresentArgs, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	args.Crashes, args.CrashDigest = nil, 0
	k := c.crashes[args.Service]
	if k == nil {
		return
	}
	args.CrashDigest = k.digest
	if k.sentTo != epoch {
		args.Crashes = k.present(c.clock.Now())
	}
}

// learnCrashes replaces this gate's copy by that of the owner of an epoch.
func (c *Client) learnCrashes(s route.ServiceID, reply *PresentReply, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crashes[s]
	if reply.NewCrashes {
		k = &crashCopy{crashes: reply.Crashes, digest: blame.Digest(reply.Crashes), at: c.clock.Now()}
		c.crashes[s] = k
	}
	if k != nil {
		k.sentTo = epoch
	}
}

// crashesUnder returns, from this gate's copy, the crashes of a service if some speak against one of the parts.
func (c *Client) crashesUnder(s route.ServiceID, parts []blame.Part) []blame.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crashes[s]
	if k == nil || !slices.ContainsFunc(k.crashes, func(x blame.Crash) bool {
		return slices.ContainsFunc(x.Parts, func(p blame.Part) bool { return slices.Contains(parts, p) })
	}) {
		return nil
	}
	return k.present(c.clock.Now())
}

// exchangeCrashes adds a gate's copy to what is known here, and replies with the present copy if the gate's differs. The
// pool's lock is held.
func (p *ownedPool) exchangeCrashes(now clock.Milli, args *PresentArgs, reply *PresentReply) {
	parts := p.pool.Parts()
	parts.Merge(now, args.Crashes)
	known := parts.ForPeers(now)
	if blame.Digest(known) != args.CrashDigest {
		reply.Crashes, reply.NewCrashes = known, true
	}
}

// logParts logs what has become known of parts of prompts. The pool's lock is held.
func (o *Owner) logParts(s route.ServiceID, p *ownedPool) {
	for _, c := range p.pool.Parts().TakeChanges() {
		o.Log.Warn().Str(logline.Key, logline.Blame).Str("service", string(s)).Str("part", c.Part.String()).Str("verdict", string(c.Kind)).
			Int("crashes", len(c.Crashes)).Str("upstreams", strings.Join(c.Crashes[:min(len(c.Crashes), maxNamedCrashes)], " ")).
			Int64("first", int64(c.First)).Bool("familiar", c.Familiar).Msg("what is known of a part of prompts that crashes upstreams has changed")
	}
}

// maxNamedCrashes bounds the upstreams that a log line names.
const maxNamedCrashes = 8

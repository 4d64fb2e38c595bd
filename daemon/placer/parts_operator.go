package placer

import (
	"context"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/route"
)

// Pardon clears a part of prompts at the owner of a service, and reports whether it was suspect there.
func (c *Client) Pardon(ctx context.Context, s route.ServiceID, p blame.Part) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, (askWait + answerSlack).Duration())
	defer cancel()
	args := &PardonArgs{Service: s, Part: p}
	for range maxRoutings {
		var reply PardonReply
		if owner, remote := c.owner(s); !remote {
			_ = c.localOwner.Pardon(args, &reply) // Pardon returns no errors
		} else if err := c.peers.Call(ctx, owner.Address, Name+".Pardon", args, &reply); err != nil {
			return false, err
		}
		if reply.Holder == nil {
			return reply.Suspect, nil
		}
		c.holders.Update(*reply.Holder, "answer")
	}
	return false, errNoOwner
}

// SuspectPart is a part of prompts under which several upstreams crashed.
type SuspectPart struct {
	Service route.ServiceID
	Part    blame.Part
	// Upstreams are those that crashed, by the times of their crashes.
	Upstreams []decide.UpstreamID
	// First and Last are the times since the first and the last crash.
	First, Last clock.Milli
}

// SuspectParts lists the parts of prompts that this gate has heard of from the owners of services.
func (c *Client) SuspectParts() []SuspectPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var out []SuspectPart
	for _, s := range slices.Sorted(maps.Keys(c.crashes)) {
		out = append(out, c.crashes[s].suspectParts(now, s)...)
	}
	return out
}

// suspectParts lists the parts of the owner's copy.
func (k *knownCrashes) suspectParts(now clock.Milli, s route.ServiceID) []SuspectPart {
	byPart := map[blame.Part]*SuspectPart{}
	for _, x := range k.crashes {
		ago := x.Ago + now - k.at
		for _, p := range x.Parts {
			row := byPart[p]
			if row == nil {
				row = &SuspectPart{Service: s, Part: p, First: ago}
				byPart[p] = row
			}
			row.Upstreams, row.Last = append(row.Upstreams, decide.UpstreamID(x.Upstream.ID)), ago
		}
	}
	out := make([]SuspectPart, 0, len(byPart))
	for _, p := range slices.Sorted(maps.Keys(byPart)) {
		out = append(out, *byPart[p])
	}
	return out
}

package main

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// roster turns what this daemon sees of members and of its own pools into
// events, one for each change.
type roster struct {
	// members are those seen last, without this daemon.
	members map[peer.VM]peer.Member
	// pools are those owned last.
	pools []peer.PoolID
}

// see returns the events of members that came, changed or went since the last look.
func (r *roster) see(live []peer.Member, self peer.VM) []timeline.Event {
	next := make(map[peer.VM]peer.Member, len(live))
	var events []timeline.Event
	add := func(k timeline.Kind, m peer.Member) {
		events = append(events, timeline.Event{Kind: k, Peer: string(m.VM)})
	}
	for _, m := range live {
		if m.VM == self {
			continue
		}
		next[m.VM] = m
		old, known := r.members[m.VM]
		again := known && old.Incarnation != m.Incarnation
		if again {
			add(timeline.Left, old)
		}
		if !known || again {
			add(timeline.Joined, m)
		}
		if m.Health == peer.Suspected && (again || old.Health != peer.Suspected) {
			add(timeline.Silent, m)
		}
	}
	for _, m := range r.members {
		if _, still := next[m.VM]; !still {
			add(timeline.Left, m)
		}
	}
	r.members = next
	slices.SortStableFunc(events, func(a, b timeline.Event) int { return cmp.Compare(a.Peer, b.Peer) })
	return events
}

// own returns the events of pools that this daemon took or gave up since the last look.
func (r *roster) own(pools []peer.PoolID) []timeline.Event {
	var events []timeline.Event
	for _, id := range pools {
		if !slices.Contains(r.pools, id) {
			events = append(events, timeline.Event{Kind: timeline.Owned, Peer: string(id)})
		}
	}
	for _, id := range r.pools {
		if !slices.Contains(pools, id) {
			events = append(events, timeline.Event{Kind: timeline.Disowned, Peer: string(id)})
		}
	}
	r.pools = pools
	return events
}

package main

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// changeTracker compares successive lists of live members and of owned pools and returns one
// timeline event for each change.
type changeTracker struct {
	// members are the live members at the last call, without this daemon.
	members map[peer.VM]peer.Member
	// pools are the pools owned at the last call.
	pools []peer.PoolID
}

// memberEvents returns events for the members that joined, became silent, restarted or left since
// the last call.
func (t *changeTracker) memberEvents(live []peer.Member, self peer.VM) []timeline.Event {
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
		old, known := t.members[m.VM]
		restarted := known && old.Incarnation != m.Incarnation
		if restarted {
			add(timeline.Left, old)
		}
		if !known || restarted {
			add(timeline.Joined, m)
		}
		if m.Health == peer.Suspected && (restarted || old.Health != peer.Suspected) {
			add(timeline.Silent, m)
		}
	}
	for _, m := range t.members {
		if _, still := next[m.VM]; !still {
			add(timeline.Left, m)
		}
	}
	t.members = next
	slices.SortStableFunc(events, func(a, b timeline.Event) int { return cmp.Compare(a.Peer, b.Peer) })
	return events
}

// poolEvents returns events for the pools whose ownership this daemon gained or lost since the last
// call.
func (t *changeTracker) poolEvents(pools []peer.PoolID) []timeline.Event {
	var events []timeline.Event
	for _, id := range pools {
		if !slices.Contains(t.pools, id) {
			events = append(events, timeline.Event{Kind: timeline.Owned, Peer: string(id)})
		}
	}
	for _, id := range t.pools {
		if !slices.Contains(pools, id) {
			events = append(events, timeline.Event{Kind: timeline.Disowned, Peer: string(id)})
		}
	}
	t.pools = pools
	return events
}

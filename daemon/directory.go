package main

import (
	"slices"
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// summaryAge is how long a pool's summary counts; an older one says nothing of
// the pool's present.
const summaryAge = 5 * clock.Second

// directory answers who owns what and what pools look like, from heartbeats.
type directory struct {
	members   *member.Members
	clock     *clock.Clock
	ring      *timeline.Ring
	summaries func() []peer.PoolSummary

	mu    sync.Mutex
	pools map[peer.PoolID]heard
	// seen is the newest word on each VM, kept after it left.
	seen map[peer.VM]seen
	// ranks holds what follows from the live members alone.
	ranks ranks
}

// ranks holds owners and homes for one list of live members.
//
// Every request asks for the owners of a pool, and every workspace with a rate
// for its home once a second. Worked out anew among hundreds of members, that
// takes more of a core than all other control together, while members change a
// few times an hour.
type ranks struct {
	// live is the list that the rest was worked out from. Members never change a
	// list that they gave out, so the same list is the same members.
	live   []peer.Member
	owners map[peer.PoolID][]peer.Member
	homes  map[decide.WorkspaceID]peer.Member
}

// of returns the ranks for a list of live members, empty ones if it is a new list.
func (r *ranks) of(live []peer.Member) *ranks {
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same || r.owners == nil {
		*r = ranks{live: live, owners: map[peer.PoolID][]peer.Member{}, homes: map[decide.WorkspaceID]peer.Member{}}
	}
	return r
}

// seen is the newest word on a VM.
type seen struct {
	member peer.Member
	// revision and at are of its own last beat; zero when it never beat this VM.
	revision peer.Revision
	at       clock.Milli
}

// heard is a summary with the instant it came.
type heard struct {
	summary decide.Summary
	at      clock.Milli
}

func newDirectory(m *member.Members, k *clock.Clock, r *timeline.Ring) *directory {
	return &directory{members: m, clock: k, ring: r, pools: map[peer.PoolID]heard{}, seen: map[peer.VM]seen{}}
}

// mostOwners is how many owners of a pool are kept: more than a gate asks in a
// row. All members for all pools would be megabytes.
const mostOwners = 4

// Owners implements caller.Members: the first members of the pool's failure
// domain by rank, then others. The answer must not be changed.
func (d *directory) Owners(id peer.PoolID) []peer.Member {
	live := d.members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ranks.of(live)
	owners, ok := r.owners[id]
	if !ok {
		owners = rank(id, live)
		r.owners[id] = owners
	}
	return owners
}

func rank(id peer.PoolID, live []peer.Member) []peer.Member {
	var near, far []peer.Member
	for _, m := range live {
		if m.Domain == member.DomainOf(id) {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	owners := append(member.Rank(string(id), near), member.Rank(string(id), far)...)
	return slices.Clone(owners[:min(len(owners), mostOwners)])
}

// Summary implements caller.Members.
func (d *directory) Summary(id peer.PoolID) (decide.Summary, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.pools[id]
	if !ok || d.clock.Now()-h.at > summaryAge {
		return decide.Summary{}, false
	}
	return h.summary, true
}

// RecordSummary implements caller.Members.
func (d *directory) RecordSummary(id peer.PoolID, s decide.Summary) {
	d.learn([]peer.PoolSummary{{Pool: id, Summary: s}})
}

// Find implements pool.Directory.
func (d *directory) Find(v peer.VM) (m peer.Member, live, known bool) {
	for _, m := range d.members.Live() {
		if m.VM == v {
			return m, true, true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x, known := d.seen[v]
	return x.member, false, known
}

// Fill implements member.Part: a beat carries the summaries of the pools owned here.
func (d *directory) Fill(_ peer.VM, b *peer.BeatArgs) {
	b.Stamp = d.ring.SendStamp()
	ps := d.summaries()
	b.Pools = append(b.Pools, ps...)
	d.learn(ps)
}

// Learn implements member.Part.
func (d *directory) Learn(b *peer.BeatArgs, _ bool) {
	d.ring.ReceiveStamp(b.Stamp)
	d.learn(b.Pools)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range b.Known {
		d.hear(m)
	}
	d.hear(b.From)
	x := d.seen[b.From.VM]
	x.revision, x.at = b.Revision, d.clock.Now()
	d.seen[b.From.VM] = x
}

// hear keeps the newest word on a VM. It needs mu.
func (d *directory) hear(m peer.Member) {
	x := d.seen[m.VM]
	if x.member.Incarnation <= m.Incarnation {
		x.member = m
		d.seen[m.VM] = x
	}
}

// heardOf returns what is known of a VM from its own beats.
func (d *directory) heardOf(v peer.VM) (revision peer.Revision, at clock.Milli) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.seen[v]
	return x.revision, x.at
}

// Home implements limit.Homes: each workspace has one home VM.
func (d *directory) Home(w decide.WorkspaceID) (peer.Member, bool) {
	live := d.members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ranks.of(live)
	if m, ok := r.homes[w]; ok {
		return m, true
	}
	m, ok := member.First("limit/"+string(w), live)
	if ok {
		r.homes[w] = m
	}
	return m, ok
}

// Live implements limit.Homes.
func (d *directory) Live() []peer.Member { return d.members.Live() }

// Self implements limit.Homes.
func (d *directory) Self() peer.Member { return d.members.Self() }

func (d *directory) learn(ps []peer.PoolSummary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range ps {
		d.pools[p.Pool] = heard{summary: p.Summary, at: now}
	}
}

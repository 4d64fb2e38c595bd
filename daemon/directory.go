package main

import (
	"slices"
	"sync"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// summaryMaxAge is the age up to which a pool's summary is used; an older one does not describe
// the current state of the pool.
const summaryMaxAge = 5 * clock.Second

// directory finds the owners of pools, the home VMs of workspaces and the summaries of pools, from
// the membership and from what heartbeats carry.
type directory struct {
	members   *member.Members
	clock     *clock.Clock
	ring      *timeline.Ring
	summaries func() []peer.PoolSummary

	mu    sync.Mutex
	pools map[peer.PoolID]timedSummary
	// withCrashes holds the pools whose summaries name crashes.
	withCrashes map[peer.PoolID]bool
	// known has the newest record of each VM and retains it after the VM has left.
	known map[peer.VM]memberRecord
	// ranks caches what depends only on the list of live members.
	ranks rankCache
}

// rankCache caches the owners of pools and the home VMs of workspaces for one list of live members.
//
// Every request looks up the owners of a pool, and every workspace with a rate limit its home once
// a second. Computing them each time among hundreds of members uses more of a core than the rest of
// the control plane together, while the membership changes a few times an hour.
type rankCache struct {
	// live is the list that the cached results were computed from. Members never modifies a list
	// that it has returned, so the same slice means the same members.
	live   []peer.Member
	owners map[peer.PoolID][]peer.Member
	homes  map[decide.WorkspaceID]peer.Member
}

// forMembers returns the cache for a list of live members, emptied first if the list is a new one.
func (r *rankCache) forMembers(live []peer.Member) *rankCache {
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same || r.owners == nil {
		*r = rankCache{live: live, owners: map[peer.PoolID][]peer.Member{}, homes: map[decide.WorkspaceID]peer.Member{}}
	}
	return r
}

// memberRecord is the newest known state of a VM.
type memberRecord struct {
	member peer.Member
	// revision is the document revision in the last heartbeat from the VM itself, at the time that
	// heartbeat arrived. Both are zero if this daemon has received none from it.
	revision peer.Revision
	at       clock.Milli
}

// timedSummary is a pool's summary and the time at which it was received.
type timedSummary struct {
	summary    decide.Summary
	receivedAt clock.Milli
}

func newDirectory(m *member.Members, k *clock.Clock, r *timeline.Ring) *directory {
	return &directory{members: m, clock: k, ring: r, pools: map[peer.PoolID]timedSummary{}, withCrashes: map[peer.PoolID]bool{}, known: map[peer.VM]memberRecord{}}
}

// maxOwners is how many members are cached as owners of a pool, in order of rank: more than a gate
// tries for one request. Caching all members for all pools would take megabytes.
const maxOwners = 4

// Owners implements caller.Members. It returns the members of the pool's failure domain by rank,
// then those of other domains, at most maxOwners. The result must not be modified.
func (d *directory) Owners(id peer.PoolID) []peer.Member {
	live := d.members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ranks.forMembers(live)
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
	return slices.Clone(owners[:min(len(owners), maxOwners)])
}

// Summary implements caller.Members.
func (d *directory) Summary(id peer.PoolID) (decide.Summary, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.pools[id]
	if !ok || d.clock.Now()-h.receivedAt > summaryMaxAge {
		return decide.Summary{}, false
	}
	return h.summary, true
}

// Crashes returns the crashes under parts of requests that the owners of all pools of one model or service named last.
func (d *directory) Crashes(id peer.PoolID) []blame.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var out []blame.Crash
	for other := range d.withCrashes {
		if document.ServedBy(other) != document.ServedBy(id) {
			continue
		}
		x := d.pools[other]
		for _, c := range x.summary.Crashes {
			c.Ago += now - x.receivedAt
			out = append(out, c)
		}
	}
	return out
}

// RecordSummary implements caller.Members.
func (d *directory) RecordSummary(id peer.PoolID, s decide.Summary) {
	d.storeSummaries([]peer.PoolSummary{{Pool: id, Summary: s}})
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
	x, known := d.known[v]
	return x.member, false, known
}

// Fill implements member.Part: a heartbeat carries the summaries of the pools that this VM owns.
func (d *directory) Fill(_ peer.VM, b *peer.BeatArgs) {
	b.Stamp = d.ring.SendStamp()
	ps := d.summaries()
	b.Pools = append(b.Pools, ps...)
	d.storeSummaries(ps)
}

// Learn implements member.Part.
func (d *directory) Learn(b *peer.BeatArgs, _ clock.Milli) {
	d.ring.ReceiveStamp(b.Stamp)
	d.storeSummaries(b.Pools)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range b.Known {
		d.updateMember(m)
	}
	d.updateMember(b.From)
	x := d.known[b.From.VM]
	x.revision, x.at = b.Revision, d.clock.Now()
	d.known[b.From.VM] = x
}

// updateMember records the state of a VM unless a later incarnation of it is known. The caller
// must hold mu.
func (d *directory) updateMember(m peer.Member) {
	x := d.known[m.VM]
	if x.member.Incarnation <= m.Incarnation {
		x.member = m
		d.known[m.VM] = x
	}
}

// lastHeartbeat returns the document revision and the arrival time of the last heartbeat from a VM.
func (d *directory) lastHeartbeat(v peer.VM) (revision peer.Revision, at clock.Milli) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.known[v]
	return x.revision, x.at
}

// Home implements limit.Homes: each workspace has one home VM, which is responsible for its rate limit.
func (d *directory) Home(w decide.WorkspaceID) (peer.Member, bool) {
	live := d.members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ranks.forMembers(live)
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

func (d *directory) storeSummaries(ps []peer.PoolSummary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range ps {
		d.pools[p.Pool] = timedSummary{summary: p.Summary, receivedAt: now}
		if len(p.Summary.Crashes) > 0 {
			d.withCrashes[p.Pool] = true
		} else {
			delete(d.withCrashes, p.Pool)
		}
	}
}

package registry

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// learnUpstreams applies a whole list of the store that was current at an instant and has a
// position.
func (r *Registry) learnUpstreams(update route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Era < r.era {
		return // a later era was learned from another answer or from a peer meanwhile
	}
	r.excludeUnusable(update.Unusable)
	r.massRemoved = r.massRemoval(r.missing(update.Upstreams))
	r.applyList(r.withoutUnverified(update.Upstreams), position, at, r.remove)
}

// missing returns the known upstreams that a list lacks. The lock must be held.
func (r *Registry) missing(us []route.Upstream) []decide.UpstreamID {
	listed := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		listed[u.ID] = true
	}
	var ids []decide.UpstreamID
	for id := range r.upstreams {
		if !listed[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyList applies a whole list and calls remove for each known upstream that it lacks. The lock
// must be held.
func (r *Registry) applyList(us []route.Upstream, position route.Position, at clock.Milli, remove func(decide.UpstreamID)) {
	listed := make(map[decide.UpstreamID]bool, len(us))
	first := r.upstreamsVerified == 0
	if first {
		r.log.Info().Str(logline.Key, logline.Upstreams).Int("count", len(us)).Int64("age", int64(r.clock.Now()-at)).Msg("first list of upstreams applied")
	}
	for _, u := range us {
		listed[u.ID] = true
		r.putUpstream(u, !first)
	}
	for id := range r.upstreams {
		if !listed[id] {
			remove(id)
		}
	}
	r.commit(position, at)
}

// learnPeerUpstreams applies a whole list of a peer that was current at an instant and has a
// position. It ignores a list of an earlier position than this VM's own, which a watch may have moved
// on while the peer's answer was in transit: the list would remove upstreams that were listed since.
// It does not restore upstreams that were removed at the list's position or later. Those that were removed
// in an earlier era of the store, whose copy may list them still, become unverified. Upstreams that it
// lacks are removed at once, even while this VM cannot reach the store, since a peer that retains
// removed entries sends no list. But if no VM had current state for long, the store was down for
// all, and a peer that has just started does not know which entries expired meanwhile. Then
// upstreams are retained as after the first answer of the store itself.
func (r *Registry) learnPeerUpstreams(update route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.position.After(position) {
		return
	}
	r.excludeUnusable(update.Unusable)
	kept := make([]route.Upstream, 0, len(update.Upstreams))
	for _, u := range update.Upstreams {
		if d, hasLeft := r.departed[u.ID]; hasLeft && u.Born <= d.born && !d.before(position) {
			if d.position.Era < position.Era {
				// Peers that copy this VM's list must not take the upstream for removed.
				r.unverified[u.ID] = u
			}
			continue
		}
		if old := r.upstreams[u.ID]; u.Born <= old.Born {
			u.Leaving = u.Leaving || old.Leaving
		}
		kept = append(kept, u)
	}
	unverified := r.learnUnverified(update.Unverified)
	until := r.clock.Now()
	if until-max(r.tableVerified, r.upstreamsVerified) > entryTTL {
		until += outageHold
	}
	if r.eraStart > 0 {
		until = max(until, r.eraStart+outageHold)
	}
	r.applyList(kept, position, at, func(id decide.UpstreamID) {
		if _, expiring := r.expiring[id]; !expiring && !unverified[id] {
			r.expiring[id] = until
		}
	})
}

// learnUnverified records the entries that are unverified at a peer, and returns their ids.
// Upstreams known here stay. Unknown ones become unverified here too, until they are accepted: the
// peer's list lacks them, but that does not mean that they are gone. The lock must be held.
func (r *Registry) learnUnverified(us []route.Upstream) map[decide.UpstreamID]bool {
	unverified := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		unverified[u.ID] = true
		if _, known := r.upstreams[u.ID]; !known {
			r.unverified[u.ID] = u
		}
	}
	return unverified
}

// changeUpstreams applies changes that were current at an instant and end at a position.
func (r *Registry) changeUpstreams(update route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Era < r.era {
		return
	}
	r.excludeUnusable(update.Unusable)
	for _, u := range update.Upstreams {
		// This entry was written in the current era.
		delete(r.unverified, u.ID)
		r.putUpstream(u, true)
	}
	r.massRemoved = r.massRemoval(update.Removed)
	for _, id := range update.Removed {
		delete(r.unusable, id)
		delete(r.unverified, id)
		r.remove(id)
	}
	r.commit(position, at)
}

// massRemoval returns those of the given upstreams that disappear together with at least half of
// their service. Such entries expired while the store was down, which a VM with long watches may
// not have noticed: the upstreams are alive and register again. The lock must be held.
func (r *Registry) massRemoval(ids []decide.UpstreamID) map[decide.UpstreamID]bool {
	gone := map[route.ServiceID]int{}
	for _, id := range ids {
		if u, ok := r.upstreams[id]; ok && !u.Leaving {
			gone[u.Service]++
		}
	}
	all := map[route.ServiceID]int{}
	for _, u := range r.upstreams {
		all[u.Service]++
	}
	mass := map[decide.UpstreamID]bool{}
	for _, id := range ids {
		u := r.upstreams[id]
		if n := gone[u.Service]; !u.Leaving && n >= massRemovalMin && 2*n >= all[u.Service] {
			mass[id] = true
		}
	}
	return mass
}

// putUpstream adds or replaces an upstream, and logs the change if logged is set. The lock must be
// held.
//
// An entry of an earlier incarnation than the known one is ignored: it was written before the later
// one started, and arrived late.
func (r *Registry) putUpstream(u route.Upstream, logged bool) {
	old, ok := r.upstreams[u.ID]
	if ok && u.Born < old.Born {
		return
	}
	delete(r.expiring, u.ID)
	delete(r.departed, u.ID)
	delete(r.unusable, u.ID)
	if ok && old == u {
		return
	}
	if logged {
		r.noteChange(upstreamChange{upstream: u, added: !ok, reborn: ok && u.Born > old.Born})
	}
	if ok {
		r.changes.Put(u, &old)
	} else {
		r.changes.Put(u, nil)
	}
	r.upstreams[u.ID] = u
	r.generation++
}

// maxUnusable bounds the unusable entries that are remembered and logged, so that a writer that
// floods the store exhausts neither memory nor the log. The largest supported fleet has some
// thousand upstreams.
const maxUnusable = 1024

// excludeUnusable removes upstreams whose entries have become invalid. The lock must be held.
//
// Another writer may have overwritten the entry. Its earlier content no longer holds, so the
// upstream gets no requests until a valid entry replaces it, which the upstream's next heartbeat
// writes. The upstream has not left, so a peer's list may restore it. Each reason is logged once
// per entry.
func (r *Registry) excludeUnusable(us []route.Unusable) {
	for _, u := range us {
		if old, known := r.upstreams[u.ID]; known {
			delete(r.upstreams, u.ID)
			delete(r.expiring, u.ID)
			r.changes.Remove(old)
			r.generation++
		}
		if r.unusable[u.ID] == u.Reason {
			continue
		}
		if _, known := r.unusable[u.ID]; !known && len(r.unusable) >= maxUnusable {
			continue
		}
		r.unusable[u.ID] = u.Reason
		r.unusableCount++
		r.log.Warn().Str(logline.Key, logline.Unusable).Str("upstream", string(u.ID)).Str("reason", u.Reason).
			Msg("upstream entry is unusable; no requests are sent to it")
	}
}

// UnusableCount returns the number of unusable entries, each counted once per reason.
func (r *Registry) UnusableCount() uint64 { r.mu.Lock(); defer r.mu.Unlock(); return r.unusableCount }

// remove removes an upstream, immediately or, shortly after an outage of the store or in a mass
// removal, after a hold. The lock must be held.
func (r *Registry) remove(id decide.UpstreamID) {
	if _, ok := r.upstreams[id]; !ok {
		return
	}
	if _, expiring := r.expiring[id]; expiring {
		return
	}
	now, back := r.clock.Now(), r.storeBack
	if r.storeDown {
		// This is the first answer after an outage of the store.
		back = now
	}
	until := max(now, back+outageHold)
	if r.massRemoved[id] {
		until = max(until, now+massRemovalHold)
	}
	r.expiring[id] = until
}

// commit removes upstreams whose hold has ended, records the position and instant of the list, and
// publishes a view. The lock must be held.
func (r *Registry) commit(position route.Position, at clock.Milli) {
	now := r.clock.Now()
	r.position = route.Later(r.position, position)
	for id, until := range r.expiring {
		if now < until {
			continue
		}
		delete(r.expiring, id)
		u := r.upstreams[id]
		r.departed[id] = departure{now, u.Born, r.position}
		r.noteRemoved(id)
		r.changes.Remove(u)
		delete(r.upstreams, id)
		r.generation++
	}
	r.logChanges()
	for id, d := range r.departed {
		if now-d.at > departureTTL {
			delete(r.departed, id)
		}
	}
	r.upstreamsVerified = max(r.upstreamsVerified, at)
	r.digest = digest(r.upstreams, r.unverified)
	r.changes.Settle()
	r.publish()
}

// digest returns a hash that is equal for equal sets of upstreams and of unverified entries.
func digest(us, unverified map[decide.UpstreamID]route.Upstream) uint64 {
	ids := make([]decide.UpstreamID, 0, len(us))
	for id := range us {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var d xxhash.Digest
	d.Reset()
	for _, id := range ids {
		_, _ = d.WriteString(string(id))
		if us[id].Leaving {
			_, _ = d.WriteString("!")
		}
		_, _ = d.WriteString(strconv.FormatInt(int64(us[id].Born), 36))
		_, _ = d.Write([]byte{0})
		if us[id].Cold > 0 {
			_, _ = d.WriteString(strconv.FormatInt(int64(us[id].Cold), 36) + "c")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(unverified)) {
		_, _ = d.WriteString("?" + string(id))
	}
	return d.Sum64()
}

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

// learnUpstreams takes a whole list of the store's that was right at an instant and a position.
func (r *Registry) learnUpstreams(news route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Era < r.era {
		return // another answer or a peer told of a later era meanwhile
	}
	r.bar(news.Unusable)
	r.mass = r.massOf(r.missing(news.Upstreams))
	r.takeList(r.doubt(news.Upstreams), position, at, r.remove)
}

// missing are the upstreams known that a list lacks. The lock is held.
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

// takeList takes a whole list; remove is called for what it lacks. The lock is held.
func (r *Registry) takeList(us []route.Upstream, position route.Position, at clock.Milli, remove func(decide.UpstreamID)) {
	listed := make(map[decide.UpstreamID]bool, len(us))
	first := r.upstreamsAt == 0
	if first {
		r.log.Info().Str(logline.Key, logline.Upstreams).Int("count", len(us)).Int64("age", int64(r.clock.Now()-at)).Msg("upstreams are known")
	}
	for _, u := range us {
		listed[u.ID] = true
		r.put(u, !first)
	}
	for id := range r.upstreams {
		if !listed[id] {
			remove(id)
		}
	}
	r.settle(position, at)
}

// learnPeers takes a whole list of a peer's that was right at an instant and a position. What the store
// told us of an upstream's leaving stands against it. What it lacks is gone at once, also
// while the store turns us away: peers that keep entries on suspicion tell no list. But if nobody
// had new knowledge for long, the store was away for all, and a peer that has just started
// does not know what lapsed meanwhile: then entries are kept as after our own first answer.
func (r *Registry) learnPeers(news route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bar(news.Unusable)
	kept := make([]route.Upstream, 0, len(news.Upstreams))
	for _, u := range news.Upstreams {
		if l, left := r.left[u.ID]; left && u.Born <= l.born {
			continue
		}
		if old := r.upstreams[u.ID]; u.Born <= old.Born {
			u.Leaving = u.Leaving || old.Leaving
		}
		kept = append(kept, u)
	}
	doubted := r.doubtToo(news.Unverified)
	until := r.clock.Now()
	if until-max(r.tableAt, r.upstreamsAt) > lapseLeast {
		until += holdGone
	}
	if r.entered > 0 {
		until = max(until, r.entered+holdGone)
	}
	r.takeList(kept, position, at, func(id decide.UpstreamID) {
		if _, held := r.gone[id]; !held && !doubted[id] {
			r.gone[id] = until
		}
	})
}

// doubtToo takes entries that a peer doubts, and returns their names. What is known here stays; what is not is doubted here too, until it
// is believed: the list of a peer that doubts them lacks them, and says nothing of them. The lock is held.
func (r *Registry) doubtToo(us []route.Upstream) map[decide.UpstreamID]bool {
	doubted := make(map[decide.UpstreamID]bool, len(us))
	for _, u := range us {
		doubted[u.ID] = true
		if _, known := r.upstreams[u.ID]; !known {
			r.doubted[u.ID] = u
		}
	}
	return doubted
}

// changeUpstreams takes changes that were right at an instant and a position.
func (r *Registry) changeUpstreams(news route.UpstreamUpdate, position route.Position, at clock.Milli) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Era < r.era {
		return
	}
	r.bar(news.Unusable)
	for _, u := range news.Upstreams {
		// It was written in this era.
		delete(r.doubted, u.ID)
		r.put(u, true)
	}
	r.mass = r.massOf(news.Removed)
	for _, id := range news.Removed {
		delete(r.unusable, id)
		delete(r.doubted, id)
		r.remove(id)
	}
	r.settle(position, at)
}

// massOf lists those of some upstreams that vanish together with half of their service. The lock is held.
// Such upstreams lapsed while the store was away, which a VM with long watches may not have noticed: they live, and register again.
func (r *Registry) massOf(ids []decide.UpstreamID) map[decide.UpstreamID]bool {
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
		if n := gone[u.Service]; !u.Leaving && n >= massLeast && 2*n >= all[u.Service] {
			mass[id] = true
		}
	}
	return mass
}

// put enters an upstream, and writes a line of it if told. The lock is held.
//
// An entry of an earlier life than is known changes nothing: it was written before that life
// ended, and held up on its way.
func (r *Registry) put(u route.Upstream, tell bool) {
	old, ok := r.upstreams[u.ID]
	if ok && u.Born < old.Born {
		return
	}
	delete(r.gone, u.ID)
	delete(r.left, u.ID)
	delete(r.unusable, u.ID)
	if ok && old == u {
		return
	}
	if tell {
		r.log.Info().Str(logline.Key, logline.Upstream).Str("upstream", string(u.ID)).Str("service", string(u.Service)).
			Str("address", u.Address).Bool("leaving", u.Leaving).Bool("new", !ok).Int64("born", int64(u.Born)).
			Bool("reborn", ok && u.Born > old.Born).Msg("upstream changed")
	}
	if ok {
		r.changes.Put(u, &old)
	} else {
		r.changes.Put(u, nil)
	}
	r.upstreams[u.ID] = u
	r.generation++
}

// unusableKept bounds what is remembered and logged of entries that name no upstream, so that a writer that
// fills the store costs neither memory here nor the log. Some thousand upstreams are the largest fleet planned for.
const unusableKept = 1024

// bar takes upstreams out whose entries name none any more. The lock is held.
//
// The entry of an upstream that was there may be overwritten by somebody else. What it said before is
// not true any more, so nothing is sent there until a sound entry stands in its place:
// its own next heartbeat writes one. It has not left, so a peer may tell us that it is back. The line
// for the log is written once for each reason.
func (r *Registry) bar(us []route.Unusable) {
	for _, u := range us {
		if old, known := r.upstreams[u.ID]; known {
			delete(r.upstreams, u.ID)
			delete(r.gone, u.ID)
			r.changes.Remove(old)
			r.generation++
		}
		if r.unusable[u.ID] == u.Reason {
			continue
		}
		if _, known := r.unusable[u.ID]; !known && len(r.unusable) >= unusableKept {
			continue
		}
		r.unusable[u.ID] = u.Reason
		r.barred++
		r.log.Warn().Str(logline.Key, logline.Unusable).Str("upstream", string(u.ID)).Str("reason", u.Reason).
			Msg("an entry names no upstream to use")
	}
}

// UnusableCount counts the entries that named no upstream, each once for each reason.
func (r *Registry) UnusableCount() uint64 { r.mu.Lock(); defer r.mu.Unlock(); return r.barred }

// remove takes an upstream out, at once or, shortly after the store was away, a
// while later. The lock is held.
func (r *Registry) remove(id decide.UpstreamID) {
	if _, ok := r.upstreams[id]; !ok {
		return
	}
	if _, held := r.gone[id]; held {
		return
	}
	now, back := r.clock.Now(), r.back
	if r.lost {
		// This is the first answer after the store was away.
		back = now
	}
	until := max(now, back+holdGone)
	if r.mass[id] {
		until = max(until, now+massHold)
	}
	r.gone[id] = until
}

// settle ends those whose time is over and publishes. The lock is held.
func (r *Registry) settle(position route.Position, at clock.Milli) {
	now := r.clock.Now()
	for id, until := range r.gone {
		if now < until {
			continue
		}
		delete(r.gone, id)
		u := r.upstreams[id]
		r.left[id] = leaver{now, u.Born}
		r.changes.Remove(u)
		delete(r.upstreams, id)
		r.generation++
		r.log.Info().Str(logline.Key, logline.Upstream).Str("upstream", string(id)).Bool("gone", true).Msg("upstream is gone")
	}
	for id, l := range r.left {
		if now-l.at > leftKept {
			delete(r.left, id)
		}
	}
	r.position = route.Later(r.position, position)
	r.upstreamsAt = max(r.upstreamsAt, at)
	r.digest = digest(r.upstreams, r.doubted)
	r.changes.Settle()
	r.publish()
}

// digest is equal for equal sets of upstreams, and of those that are doubted.
func digest(us, doubted map[decide.UpstreamID]route.Upstream) uint64 {
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
	}
	for _, id := range slices.Sorted(maps.Keys(doubted)) {
		_, _ = d.WriteString("?" + string(id))
	}
	return d.Sum64()
}

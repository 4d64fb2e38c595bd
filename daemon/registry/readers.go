package registry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// SetReaders lets a few members read the store for all VMs. It must be called before Run.
//
// Each VM that verifies its copy with short watches makes two calls a second, so the load and the
// cost of the store grow with the fleet. With readers, a VM asks one of them whether its copy is
// current. In a small fleet it also keeps long watches of its own, which deliver updates at once.
// In a large fleet each update would cost a call of every VM, so it keeps none. A VM that finds no
// reader, or whose readers cannot reach the store, reads for itself until that changes.
func (r *Registry) SetReaders(rs RosterFunc) { r.readers = rs }

// isProver reports whether this VM verifies for all VMs that their copies are current: it ranks
// first among those that can reach the store.
func (r *Registry) isProver() bool {
	if r.readers == nil {
		return true
	}
	rs := r.readers()
	return rs.Primary || r.connectedAhead(rs) == 0
}

// minWatchers is how many VMs that can reach the store must keep watches. With two, updates arrive
// even if one of them is cut off from the store and that is not known yet.
const minWatchers = 2

// standsIn reports whether too few of the VMs that rank before this one can reach the store, so that
// this VM must keep watches. VMs whose calls the store rejects still answer peers, and the growing
// age of their copies would show the failure too late for an upstream that leaves.
func (r *Registry) standsIn(rs Roster) bool { return r.connectedAhead(rs) < minWatchers }

// connectedAhead counts the VMs that rank before this one and have not reported that they cannot
// reach the store. If this VM asks members other than these, all of them are counted.
func (r *Registry) connectedAhead(rs Roster) int {
	if rs.Rank > len(rs.Sources) {
		return rs.Rank
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range rs.Sources[:rs.Rank] {
		if now >= r.cutOff[m.VM] {
			n++
		}
	}
	return n
}

// noteCutOff records for cutOffTTL that a member reported that it cannot reach the store, or did
// not answer. Expired records are deleted, so that records of replaced VMs do not accumulate. The
// lock must be held.
func (r *Registry) noteCutOff(m peer.VM, cutOff bool) {
	now := r.clock.Now()
	maps.DeleteFunc(r.cutOff, func(_ peer.VM, until clock.Milli) bool { return now >= until })
	if cutOff {
		r.cutOff[m] = now + cutOffTTL
		return
	}
	delete(r.cutOff, m)
}

// connected returns the first maxAsked members that are not recorded as cut off from the store, or
// all members if there are none.
func (r *Registry) connected(ms []peer.Member) []peer.Member {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.Member
	for _, m := range ms {
		if now >= r.cutOff[m.VM] && len(out) < maxAsked {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return ms
	}
	return out
}

// delegates reports whether this VM leaves a feed to others: the members it asks answer and their
// copies are current, or VMs that rank before this one are to read the store first in their place.
func (r *Registry) delegates(f feed) bool {
	if r.readers == nil {
		return false
	}
	rs := r.readers()
	if rs.Primary || !rs.LargeFleet || r.standsIn(rs) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	extra := clock.Milli(max(rs.Rank-len(rs.Sources), 0)) * rankDelay
	at, limit := r.tableVerified, delegationLimit
	if f.verified != nil {
		at = f.verified()
	}
	if r.tableVerified == 0 || at == 0 {
		return r.lastAnswer > 0 && now-r.bootstrapped <= bootstrapGrace+extra
	}
	if !f.lead {
		limit += upstreamWatchWait
	}
	return now-at <= limit+extra && now-r.lastAnswer <= pollExpiry
}

// watchWaitOf returns the wait of the next watch of a feed.
func (r *Registry) watchWaitOf(f feed) clock.Milli {
	if r.isProver() || r.documentAge() > verificationLimit {
		return f.wait
	}
	return longWatchWait
}

// documentAge returns the time since the document known here was last verified as current.
func (r *Registry) documentAge() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.tableVerified
}

// watchContext returns the context of one watch. It is canceled when the store's era changes and,
// for a long watch, when the copy of this VM is no longer verified by others.
func (r *Registry) watchContext(ctx context.Context, feedName string, wait clock.Milli) (context.Context, context.CancelFunc) {
	watching, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.watches[feedName] = watch{cancel, wait >= longWatchWait}
	r.mu.Unlock()
	return watching, func() {
		r.mu.Lock()
		delete(r.watches, feedName)
		r.mu.Unlock()
		cancel()
	}
}

// pollReaders periodically asks readers for their state. It shortens the watches of this VM when no
// reader verifies its copy.
func (r *Registry) pollReaders(ctx context.Context) {
	if r.readers == nil {
		return
	}
	// VMs start with different readers to spread the requests.
	next := rand.IntN(1 << 16)
	role := Starter
	for ctx.Err() == nil {
		pause(ctx, r.checkInterval())
		rs := r.readers()
		role = r.noteRole(rs, role)
		if !r.pollDue(rs) {
			continue
		}
		next = r.askReaders(ctx, rs.Sources, next)
		if r.isProver() || r.documentAge() > verificationLimit {
			r.endLongWatches()
		}
	}
}

// checkInterval returns the time until pollReaders next checks whether to poll: checkPeriod, or
// less if a poll is due sooner.
func (r *Registry) checkInterval() time.Duration {
	select {
	case <-r.known:
	default:
		return bootstrapInterval
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if remaining := (pollInterval - (r.clock.Now() - r.lastAnswer)).Duration(); remaining > 0 {
		return min(checkPeriod, remaining)
	}
	return checkPeriod
}

// pollDue reports whether to ask readers now. In a large fleet the answers also carry the updates,
// so a VM asks at every pollInterval. In a small fleet, and on the prover, it asks only once the
// copy is old.
func (r *Registry) pollDue(rs Roster) bool {
	if r.isProver() {
		return r.documentAge() > readerMaxAge || r.standInPollDue(rs)
	}
	if rs.LargeFleet {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock.Now()-r.lastAnswer >= pollInterval || r.tableVerified == 0
	}
	return r.documentAge() > askAge
}

// standInPollDue reports whether a VM that stands in for readers should ask whether they can reach
// the store again.
func (r *Registry) standInPollDue(rs Roster) bool {
	if rs.Primary {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now()-r.lastAnswer >= pollInterval
}

// askReaders asks readers in turn, starting at index next, until one answers and the copy of this
// VM is current. It returns the index for the next call.
//
// If only one reader were asked and that one could not reach the store, this VM would learn of a
// leaving upstream seconds late.
func (r *Registry) askReaders(ctx context.Context, sources []peer.Member, next int) int {
	readers := r.connected(sources)
	for range readers {
		sent := r.clock.Now()
		answered := r.fetch(ctx, readers[next%len(readers)])
		next++
		if !answered {
			continue
		}
		r.mu.Lock()
		r.lastAnswer = sent
		r.mu.Unlock()
		if r.documentAge() <= readerMaxAge {
			break
		}
	}
	return next
}

// endLongWatches cancels the long watches in progress, so that the next ones are short.
func (r *Registry) endLongWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.watches {
		if w.long {
			w.cancel()
		}
	}
}

package registry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// ReadBy lets a few members read the store for all. It is called before Run.
//
// Each VM that proves by short watches that its knowledge is new makes two calls a
// second, so the store's load and price grow with the fleet. With readers a VM asks one of
// them whether its knowledge is new. In a small fleet it keeps watches of its own
// open beside, for long, which bring news at once; in a large one each piece of news would
// cost a call of every VM, so it keeps none. A VM that finds no reader, or
// whose readers' way is shut, reads for itself until that changes.
func (r *Registry) ReadBy(rs Readers) { r.readers = rs }

// isProver tells whether this VM proves for all that what is known is new: it is the first of those whose
// way to the store is open.
func (r *Registry) isProver() bool {
	if r.readers == nil {
		return true
	}
	rs := r.readers()
	return rs.Self || r.connectedAhead(rs) == 0
}

// minWatchers is how many VMs keep watches while all are well: one may be cut off from the store and bring no news.
const minWatchers = 2

// stepsIn tells whether too few of those that stand before this VM have an open way to the store, so that it must keep watches.
// VMs that the store turns away answer as ever; only the age of what they know tells of it, too late for an upstream that leaves.
func (r *Registry) stepsIn(rs Roster) bool { return r.connectedAhead(rs) < minWatchers }

// connectedAhead counts those that stand before this VM and do not say that their way to the store is shut; many where
// it asks others than these.
func (r *Registry) connectedAhead(rs Roster) int {
	if rs.Rank > len(rs.Others) {
		return rs.Rank
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0
	for _, m := range rs.Others[:rs.Rank] {
		if now >= r.cutOff[m.VM] {
			open++
		}
	}
	return open
}

// noteCutOff remembers for a while whether a member said that its way to the store is shut, or was silent; VMs that were replaced
// must not stay. The lock is held.
func (r *Registry) noteCutOff(m peer.VM, shut bool) {
	now := r.clock.Now()
	maps.DeleteFunc(r.cutOff, func(_ peer.VM, until clock.Milli) bool { return now >= until })
	if shut {
		r.cutOff[m] = now + cutOffTTL
		return
	}
	delete(r.cutOff, m)
}

// connected are the first members whose way to the store is not known to be shut; all if there is none.
func (r *Registry) connected(ms []peer.Member) []peer.Member {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []peer.Member
	for _, m := range ms {
		if now >= r.cutOff[m.VM] && len(open) < maxAsked {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return ms
	}
	return open
}

// delegates tells whether this VM leaves a feed to others: those it asks answer, and what they know is new, or it is the
// part of VMs nearer to the readers to step in for them.
func (r *Registry) delegates(f feed) bool {
	if r.readers == nil {
		return false
	}
	rs := r.readers()
	if rs.Self || !rs.Large || r.stepsIn(rs) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	later := clock.Milli(max(rs.Rank-len(rs.Others), 0)) * rankDelay
	if r.tableAt == 0 {
		return r.lastAnswer > 0 && now-r.bootstrapped <= bootstrapGrace+later
	}
	at, limit := r.tableAt, delegationLimit
	if !f.lead {
		at, limit = r.upstreamsAt, delegationLimit+upstreamWatchWait
	}
	return now-at <= limit+later && now-r.lastAnswer <= pollExpiry
}

// watchWaitOf is how long the next watch of a feed waits.
func (r *Registry) watchWaitOf(f feed) clock.Milli {
	if r.isProver() || r.documentAge() > proofLimit {
		return f.wait
	}
	return longWatchWait
}

// documentAge is that of the proof that the document known here is the newest.
func (r *Registry) documentAge() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.tableAt
}

// watchContext is the context of one watch. It is ended when the store's era changes, a long one when our knowledge is
// not proved new any more.
func (r *Registry) watchContext(ctx context.Context, what string, wait clock.Milli) (context.Context, context.CancelFunc) {
	watching, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.watches[what] = watch{cancel, wait >= longWatchWait}
	r.mu.Unlock()
	return watching, func() {
		r.mu.Lock()
		delete(r.watches, what)
		r.mu.Unlock()
		cancel()
	}
}

// pollReaders asks readers whether what is known here is new, and falls back to reading.
func (r *Registry) pollReaders(ctx context.Context) {
	if r.readers == nil {
		return
	}
	// VMs begin with different readers, so that each answers its share.
	next := rand.IntN(1 << 16)
	role := Starter
	for ctx.Err() == nil {
		pause(ctx, r.checkInterval())
		rs := r.readers()
		role = r.noteRole(rs, role)
		if !r.pollDue(rs) {
			continue
		}
		next = r.askReaders(ctx, rs.Others, next)
		if r.isProver() || r.documentAge() > proofLimit {
			r.endLongWatches()
		}
	}
}

// checkInterval is the time until the age of our knowledge is checked again, or the next question is due if that is sooner.
func (r *Registry) checkInterval() time.Duration {
	select {
	case <-r.known:
	default:
		return bootstrapInterval
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := (pollInterval - (r.clock.Now() - r.lastAnswer)).Duration(); left > 0 {
		return min(checkPeriod, left)
	}
	return checkPeriod
}

// pollDue tells whether others should be asked now. In a large fleet the question also brings the
// news, so it is put often; in a small one, and by a reader, only once our knowledge grows old.
func (r *Registry) pollDue(rs Roster) bool {
	if r.isProver() {
		return r.documentAge() > readerMaxAge || r.standInPollDue(rs)
	}
	if rs.Large {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock.Now()-r.lastAnswer >= pollInterval || r.tableAt == 0
	}
	return r.documentAge() > askAge
}

// standInPollDue tells whether a VM that stands in for others should ask whether their way is open again.
func (r *Registry) standInPollDue(rs Roster) bool {
	if rs.Self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now()-r.lastAnswer >= pollInterval
}

// askReaders asks readers one after the other, from the one at next on, until one answers that has new knowledge. It returns
// where the next question begins.
//
// Whoever asked only one reader, whose own way to the store is shut, would learn of an upstream's leaving seconds late.
func (r *Registry) askReaders(ctx context.Context, others []peer.Member, next int) int {
	readers := r.connected(others)
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

// endLongWatches ends the long watches under way: the next ones are short.
func (r *Registry) endLongWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.watches {
		if w.long {
			w.cancel()
		}
	}
}

package registry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// SetReaders lets a few members read the store for all. It is called before Run.
//
// Each VM that proves by short watches that its knowledge is new makes two calls a
// second, so the store's load and price grow with the fleet. With readers a VM asks one of
// them whether its knowledge is new. In a small fleet it keeps watches of its own
// open beside, for long, which bring news at once; in a large one each piece of news would
// cost a call of every VM, so it keeps none. A VM that finds no reader, or
// whose readers' way is shut, reads for itself until that changes.
func (r *Registry) SetReaders(rs RosterFunc) { r.readers = rs }

// reads tells whether this VM proves for all that what is known is new: it is the first of those whose
// way to the store is open.
func (r *Registry) reads() bool {
	if r.readers == nil {
		return true
	}
	rs := r.readers()
	return rs.Primary || r.ahead(rs) == 0
}

// keepers is how many VMs keep watches while all are well: one may be cut off from the store and bring no news.
const keepers = 2

// stepsIn tells whether too few of those that stand before this VM have an open way to the store, so that it must keep watches.
// VMs that the store turns away answer as ever; only the age of what they know tells of it, too late for an upstream that leaves.
func (r *Registry) stepsIn(rs Roster) bool { return r.ahead(rs) < keepers }

// ahead counts those that stand before this VM and do not say that their way to the store is shut; many where
// it asks others than these.
func (r *Registry) ahead(rs Roster) int {
	if rs.Rank > len(rs.Sources) {
		return rs.Rank
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0
	for _, m := range rs.Sources[:rs.Rank] {
		if now >= r.shut[m.VM] {
			open++
		}
	}
	return open
}

// noteShut remembers for a while whether a member said that its way to the store is shut, or was silent; VMs that were replaced
// must not stay. The lock is held.
func (r *Registry) noteShut(m peer.VM, shut bool) {
	now := r.clock.Now()
	maps.DeleteFunc(r.shut, func(_ peer.VM, until clock.Milli) bool { return now >= until })
	if shut {
		r.shut[m] = now + shutFor
		return
	}
	delete(r.shut, m)
}

// open are the first members whose way to the store is not known to be shut; all if there is none.
func (r *Registry) open(ms []peer.Member) []peer.Member {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []peer.Member
	for _, m := range ms {
		if now >= r.shut[m.VM] && len(open) < askedMost {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return ms
	}
	return open
}

// rests tells whether this VM leaves a feed to others: those it asks answer, and what they know is new, or it is the
// part of VMs nearer to the readers to step in for them.
func (r *Registry) rests(f feed) bool {
	if r.readers == nil {
		return false
	}
	rs := r.readers()
	if rs.Primary || !rs.LargeFleet || r.stepsIn(rs) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	later := clock.Milli(max(rs.Rank-len(rs.Sources), 0)) * rankStep
	if r.tableAt == 0 {
		return r.polled > 0 && now-r.bootstrapped <= bootstrapLimit+later
	}
	at, limit := r.tableAt, restLimit
	if !f.leads {
		at, limit = r.upstreamsAt, restLimit+newsWait
	}
	return now-at <= limit+later && now-r.polled <= pollExpiry
}

// wait is how long the next watch of a feed waits.
func (r *Registry) wait(f feed) clock.Milli {
	if r.reads() || r.age() > proofLimit {
		return f.wait
	}
	return longWait
}

// age is that of the proof that the document known here is the newest.
func (r *Registry) age() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.tableAt
}

// watching is the context of one watch. It is ended when the store's era changes, a long one when our knowledge is
// not proved new any more.
func (r *Registry) watching(ctx context.Context, what string, wait clock.Milli) (context.Context, context.CancelFunc) {
	watching, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.watches[what] = watch{cancel, wait >= longWait}
	r.mu.Unlock()
	return watching, func() {
		r.mu.Lock()
		delete(r.watches, what)
		r.mu.Unlock()
		cancel()
	}
}

// confirm asks readers whether what is known here is new, and falls back to reading.
func (r *Registry) confirm(ctx context.Context) {
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
		if !r.due(rs) {
			continue
		}
		next = r.askReaders(ctx, rs.Sources, next)
		if r.reads() || r.age() > proofLimit {
			r.endLong()
		}
	}
}

// checkInterval is the time until the age of our knowledge is checked again, or the next question is due if that is sooner.
func (r *Registry) checkInterval() time.Duration {
	select {
	case <-r.known:
	default:
		return bootstrapPoll
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := (pollEvery - (r.clock.Now() - r.polled)).Duration(); left > 0 {
		return min(checkEvery, left)
	}
	return checkEvery
}

// due tells whether others should be asked now. In a large fleet the question also brings the
// news, so it is put often; in a small one, and by a reader, only once our knowledge grows old.
func (r *Registry) due(rs Roster) bool {
	if r.reads() {
		return r.age() > readerAge || r.askAhead(rs)
	}
	if rs.LargeFleet {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock.Now()-r.polled >= pollEvery || r.tableAt == 0
	}
	return r.age() > askAfter
}

// askAhead tells whether a VM that stands in for others should ask whether their way is open again.
func (r *Registry) askAhead(rs Roster) bool {
	if rs.Primary {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now()-r.polled >= pollEvery
}

// askReaders asks readers one after the other, from the one at next on, until one answers that has new knowledge. It returns
// where the next question begins.
//
// Whoever asked only one reader, whose own way to the store is shut, would learn of an upstream's leaving seconds late.
func (r *Registry) askReaders(ctx context.Context, others []peer.Member, next int) int {
	readers := r.open(others)
	for range readers {
		sent := r.clock.Now()
		answered := r.fetch(ctx, readers[next%len(readers)])
		next++
		if !answered {
			continue
		}
		r.mu.Lock()
		r.polled = sent
		r.mu.Unlock()
		if r.age() <= readerAge {
			break
		}
	}
	return next
}

// endLong ends the long watches under way: the next ones are short.
func (r *Registry) endLong() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.watches {
		if w.long {
			w.end()
		}
	}
}

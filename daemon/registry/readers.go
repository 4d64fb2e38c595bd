package registry

import (
	"context"
	"math/rand/v2"

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

// reads tells whether this VM is one of those that read for all.
func (r *Registry) reads() bool { return r.readers == nil || r.readers().Self }

// rests tells whether this VM leaves the store to the readers: they answer, and their
// word is new.
func (r *Registry) rests() bool {
	if r.readers == nil {
		return false
	}
	if rs := r.readers(); rs.Self || !rs.Large {
		return false
	}
	age := r.age()
	r.mu.Lock()
	defer r.mu.Unlock()
	return age <= restLimit && r.clock.Now()-r.told <= trustFor
}

// wait is how long the next watch waits.
func (r *Registry) wait() clock.Milli {
	if r.reads() || r.age() > proofLimit {
		return watchWait
	}
	return longWait
}

// age is that of the older part of what is known.
func (r *Registry) age() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - min(r.tableAt, r.upstreamsAt)
}

// watching is the context of one watch. A long one is ended when our knowledge is not proved
// new any more.
func (r *Registry) watching(ctx context.Context, what string, wait clock.Milli) (context.Context, context.CancelFunc) {
	watching, cancel := context.WithCancel(ctx)
	if wait == watchWait {
		return watching, cancel
	}
	r.mu.Lock()
	r.watches[what] = cancel
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
	turn := rand.IntN(1 << 16)
	for ctx.Err() == nil {
		pause(ctx, lookEvery)
		rs := r.readers()
		if !r.due(rs) {
			continue
		}
		if !rs.Self {
			turn = r.askReaders(ctx, rs.Others, turn)
		}
		if rs.Self || r.age() > proofLimit {
			r.endLong()
		}
	}
}

// due tells whether a reader should be asked now. In a large fleet the question also brings the
// news, so it is put often; in a small one only once our knowledge grows old.
func (r *Registry) due(rs Roster) bool {
	if rs.Large && !rs.Self {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock.Now()-r.told >= tellEvery
	}
	return r.age() > askAfter
}

// askReaders asks readers in turn until one answers whose word is new, and returns the turn of
// the next question.
//
// What goes wrong without the turn: the way of one reader to the store is shut, and those who ask
// only that one learn of an upstream's leaving seconds later than the others.
func (r *Registry) askReaders(ctx context.Context, readers []peer.Member, turn int) int {
	for range readers {
		sent := r.clock.Now()
		answered := r.fetch(ctx, readers[turn%len(readers)])
		turn++
		if !answered {
			continue
		}
		r.mu.Lock()
		r.told = sent
		r.mu.Unlock()
		if r.age() <= readerAge {
			break
		}
	}
	return turn
}

// endLong ends the long watches under way: the next ones are short.
func (r *Registry) endLong() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.watches {
		cancel()
	}
}

package registry

import (
	"context"

	"snipeshift.example/lib/clock"
)

// ReadBy lets a few members read the store for all. It is called before Run.
//
// Each VM that proves by short watches that its knowledge is new makes two calls a
// second, so the store's load and price grow with the fleet. With readers a VM keeps
// its watches open for long, which bring news at once, and asks a reader whether
// its knowledge is new. One that finds no reader, or one whose own way is shut,
// reads for itself until that changes.
func (r *Registry) ReadBy(rs Readers) { r.readers = rs }

// wait is how long the next watch waits.
func (r *Registry) wait() clock.Milli {
	if r.readers == nil {
		return watchWait
	}
	if _, self := r.readers(); self || r.age() > proofLimit {
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
	for turn := 0; ctx.Err() == nil; {
		pause(ctx, lookEvery)
		if r.readers == nil {
			continue
		}
		others, self := r.readers()
		age := r.age()
		if age <= askAfter {
			continue
		}
		if !self && len(others) > 0 {
			r.fetch(ctx, others[turn%len(others)])
			if age = r.age(); age > askAfter {
				turn++
			}
		}
		if self || age > proofLimit {
			r.endLong()
		}
	}
}

// endLong ends the long watches under way: the next ones are short.
func (r *Registry) endLong() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.watches {
		cancel()
	}
}

package main

import (
	"sync"
	"sync/atomic"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
)

// config holds the index of the configuration document in force and the upstreams that the
// platform lists as leaving.
type config struct {
	index atomic.Pointer[document.Index]

	mu      sync.RWMutex
	leaving map[decide.UpstreamID]bool
}

// Index implements caller.Book and pool.Book.
func (b *config) Index() (*document.Index, bool) {
	x := b.index.Load()
	return x, x != nil
}

// Leaving implements pool.Book.
func (b *config) Leaving(id decide.UpstreamID) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.leaving[id]
}

// setLeaving replaces the set of leaving upstreams and reports whether the set changed.
func (b *config) setLeaving(leaving map[decide.UpstreamID]bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = len(leaving) != len(b.leaving)
	for id := range leaving {
		changed = changed || !b.leaving[id]
	}
	b.leaving = leaving
	return changed
}

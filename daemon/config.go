package main

import (
	"slices"
	"sync"
	"sync/atomic"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
)

// config holds the index of the configuration document in force and the upstreams that the
// platform lists as leaving.
type config struct {
	index   atomic.Pointer[document.Index]
	domains domainIndex[*document.Index]

	mu      sync.RWMutex
	leaving map[decide.UpstreamID]bool
}

// Index implements caller.Registry, pool.Registry and orders.Registry.
func (c *config) Index() (*document.Index, bool) {
	x := c.index.Load()
	return x, x != nil
}

// Addresses implements tunnel.Upstreams.
func (c *config) Addresses() []string {
	x, ok := c.Index()
	if !ok {
		return nil
	}
	var addresses []string
	for _, u := range x.Document().Upstreams {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

// Domain implements tunnel.Upstreams.
func (c *config) Domain(address string) peer.Domain {
	x, ok := c.Index()
	if !ok {
		return ""
	}
	return c.domains.domain(address, x, func(yield func(string, peer.Domain) bool) {
		us := x.Document().Upstreams
		for i := range us {
			if !yield(us[i].Address, peer.Domain(us[i].Domain)) {
				return
			}
		}
	})
}

// Usable implements tunnel.Upstreams.
func (c *config) Usable(address string) bool { return slices.Contains(c.Addresses(), address) }

// Leaving implements pool.Registry.
func (c *config) Leaving(id decide.UpstreamID) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.leaving[id]
}

// setLeaving replaces the set of leaving upstreams and reports whether the set changed.
func (c *config) setLeaving(leaving map[decide.UpstreamID]bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = len(leaving) != len(c.leaving)
	for id := range leaving {
		changed = changed || !c.leaving[id]
	}
	c.leaving = leaving
	return changed
}

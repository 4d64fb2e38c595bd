package main

import (
	"iter"
	"sync"

	"snipeshift.example/lib/peer"
)

// domainIndex has the failure domains of the upstreams of one list, by address. Each connection asks for one, and a list has
// thousands of upstreams, so the index is made once per list. K identifies a list.
type domainIndex[K comparable] struct {
	mu        sync.Mutex
	list      K
	byAddress map[string]peer.Domain
}

// domain returns the failure domain of the upstream at address; empty if it is unknown, or if all upstreams are in one.
func (x *domainIndex[K]) domain(address string, list K, upstreams iter.Seq2[string, peer.Domain]) peer.Domain {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byAddress == nil || x.list != list {
		x.list, x.byAddress = list, domainsByAddress(upstreams)
	}
	return x.byAddress[address]
}

// domainsByAddress returns the failure domains of upstreams; none if all upstreams are in one.
func domainsByAddress(upstreams iter.Seq2[string, peer.Domain]) map[string]peer.Domain {
	byAddress, domains := map[string]peer.Domain{}, map[peer.Domain]bool{}
	for address, d := range upstreams {
		byAddress[address], domains[d] = d, true
	}
	if len(domains) <= 1 {
		clear(byAddress)
	}
	return byAddress
}

// Package path decides how a VM connects to upstreams: directly, or through another VM that still reaches
// them. A VM can lose its paths to upstreams while clients and other VMs still reach it.
//
// A Table uses no sockets, goroutines or clock: the time and the random numbers are arguments.
package path

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// Limits for judging the direct paths.
const (
	// lostAfter is how many upstreams must be reachable through other VMs only before all direct paths count
	// as lost. A single one may be behind a link of its own.
	lostAfter = 2
	// regainAfter is how many direct connects in a row end the loss.
	regainAfter = 2
	// unprovenFor is for how long no upstream must take a direct connect before all direct paths count as lost. A
	// VM without processor time can't connect in time either.
	unprovenFor = 150 * clock.Milli(1)
	// unprovenTTL is how long one such moment counts.
	unprovenTTL = clock.Second
	// firstRetry and longestRetry are the first and the longest interval between direct connects to an upstream
	// that is bypassed, and between those that test whether lost paths are back; intervals double.
	firstRetry   = 500 * clock.Milli(1)
	longestRetry = 2 * clock.Second
	// downFor is how long an upstream to which no VM connects is not asked for again: each request would
	// cost several VMs a connect.
	downFor = 300 * clock.Milli(1)
	// isolatedFor is how long other VMs are not asked again once none of them could help.
	isolatedFor = 100 * clock.Milli(1)
)

// bypass is an upstream that other VMs reach and this VM does not.
type bypass struct {
	// retryAt is when a connect tries the direct path again; interval is the wait before it.
	retryAt, interval clock.Milli
}

// Table records the direct paths of one VM and the VMs that connect for it. It is not safe for concurrent use.
type Table struct {
	self peer.Member
	// connectedAt is the time of the last direct connect; zero for none.
	connectedAt clock.Milli
	// bypassed holds the upstreams reached through other VMs only, by address. Entries are removed by a direct
	// connect.
	bypassed map[string]*bypass
	// inRow holds the upstreams added to bypassed since the last direct connect.
	inRow map[string]bool
	// down holds the upstreams to which other VMs could not connect either, by address, with the end of that
	// verdict.
	down map[string]clock.Milli
	// unprovenAt is when no upstream that was tried took a direct connect, first since the last one did; zero for
	// never.
	unprovenAt clock.Milli
	// isolatedUntil is the end of the time in which no other VM is asked.
	isolatedUntil clock.Milli
	// all is whether all paths count as lost.
	all state
	// refused is set if the last failed direct connect was refused, not left without an answer.
	refused    bool
	candidates map[peer.VM]*candidate
	// domainOf returns the domain of an upstream; domains holds the direct paths to each.
	domainOf func(address string) peer.Domain
	domains  map[peer.Domain]*domainPath
}

// New returns the table of a VM whose paths work.
func New(self peer.Member) *Table {
	return &Table{self: self, bypassed: map[string]*bypass{}, inRow: map[string]bool{}, down: map[string]clock.Milli{}, candidates: map[peer.VM]*candidate{}, domains: map[peer.Domain]*domainPath{}}
}

// Lost reports whether the direct paths to all upstreams count as lost.
func (t *Table) Lost() bool { return t.all.lost }

// Refused reports whether the last direct connect that failed was refused. Open connections may still work then.
func (t *Table) Refused() bool { return t.refused }

// Direct reports whether the next connect to address tries the direct path first. Of several connects to a
// bypassed upstream one does so at a time.
func (t *Table) Direct(now clock.Milli, address string) bool {
	if t.all.lost || t.DomainLost(address) {
		return false
	}
	b := t.bypassed[address]
	if b == nil {
		return true
	}
	if now < b.retryAt {
		return false
	}
	b.retryAt = now + b.interval
	return true
}

// Connected records a direct connect. It returns true if lost paths, to all upstreams or to those of one domain, count as
// working again.
func (t *Table) Connected(now clock.Milli, address string) (regained bool) {
	t.connectedAt, t.unprovenAt = now, 0
	delete(t.bypassed, address)
	clear(t.inRow)
	domainRegained := t.connectedDomain(now, t.domain(address))
	if !t.all.connected(now) {
		return domainRegained
	}
	clear(t.bypassed)
	return true
}

// Bypassed records that the direct connect to address failed while another VM connected. It returns true if all
// direct paths, or those to the upstream's domain, count as lost from now on.
func (t *Table) Bypassed(now clock.Milli, address string, refused bool) (lost bool) {
	t.refused, t.all.regained = refused, 0
	b := t.bypassed[address]
	if b == nil {
		if len(t.bypassed) >= maxKnown {
			clear(t.bypassed)
		}
		b = &bypass{interval: firstRetry}
		t.bypassed[address] = b
	} else {
		b.interval = min(2*b.interval, longestRetry)
	}
	b.retryAt = now + b.interval
	t.inRow[address] = true
	domainLost := t.bypassedDomain(now, t.domain(address), address)
	if len(t.inRow) >= lostAfter && t.severalDomains() {
		return t.all.lose(now)
	}
	return domainLost
}

// RecordDown records that VMs that reach other upstreams could not connect to this one.
func (t *Table) RecordDown(now clock.Milli, address string) {
	if len(t.down) >= maxKnown {
		clear(t.down)
	}
	t.down[address] = now + downFor
}

// Down reports whether other VMs could not connect to an upstream a moment ago.
func (t *Table) Down(now clock.Milli, address string) bool { return now < t.down[address] }

// RecordIsolated records that no other VM could help.
func (t *Table) RecordIsolated(now clock.Milli) { t.isolatedUntil = now + isolatedFor }

// Isolated reports whether no other VM could help a moment ago.
func (t *Table) Isolated(now clock.Milli) bool { return now < t.isolatedUntil }

// Unproven records that no upstream that was tried took a direct connect. It returns true if all direct paths count
// as lost from now on: if this was so unprovenFor before, with no direct connect between.
func (t *Table) Unproven(now clock.Milli, refused bool) (lost bool) {
	t.refused = refused
	if t.unprovenAt == 0 || now-t.unprovenAt > unprovenTTL {
		t.unprovenAt = now
	}
	return now-t.unprovenAt >= unprovenFor && t.all.lose(now)
}

// ConnectedSince reports whether this VM has connected directly to an upstream since an instant.
func (t *Table) ConnectedSince(since clock.Milli) bool { return t.connectedAt > since }

// TestDue reports whether a direct connect should test now whether lost paths are back, and schedules the next one.
func (t *Table) TestDue(now clock.Milli) bool { return t.all.testDue(now) }

// TestFailed records that a direct connect that tested lost paths failed.
func (t *Table) TestFailed(refused bool) { t.all.regained, t.refused = 0, refused }

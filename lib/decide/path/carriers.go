package path

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// Limits for choosing other VMs.
const (
	// maxCarriers is the number of VMs that are remembered as carriers, so that connects are spread over them.
	maxCarriers = 4
	// maxCandidates bounds a list of VMs to ask.
	maxCandidates = 8
	// carrierTTL is how long a VM counts as a carrier without a further connect.
	carrierTTL = 30 * clock.Second
	// exploreOdds is the inverse of the probability that a connect asks a VM that is no carrier first while there are
	// fewer than maxCarriers. Otherwise many VMs would use the first carrier that one of them found.
	exploreOdds = 4
	// declinesToNamed is how many VMs must have declined before those that others use are asked.
	declinesToNamed = 2
	// pause is how long a VM that could not connect is asked last.
	pause = clock.Second
)

// candidate is what is known of another VM as a carrier.
type candidate struct {
	// carriedAt is when it last connected for this VM, namedAt when another VM named it as a carrier; zero for
	// never.
	carriedAt, namedAt clock.Milli
	// pausedUntil is when it may be asked before others again.
	pausedUntil clock.Milli
}

// rank is the order in which VMs are asked.
type rank int

// Ranks of VMs.
const (
	carrier rank = iota
	sameDomain
	otherDomain
	// named are VMs that others use. Each of these names the ones that it found first, so they are asked only once
	// some VMs have declined: otherwise most of a fleet would use a few of them.
	named
	// paused are VMs that could not connect a moment ago.
	paused
	ranks
)

// Candidates returns the VMs to ask for a connect, in order. declined counts those that have been asked for it in vain;
// random returns a number below its argument.
func (t *Table) Candidates(now clock.Milli, live []peer.Member, declined int, random func(n int) int) []peer.Member {
	return t.inOrder(now, live, declined, maxCandidates, random)
}

// inOrder returns up to limit VMs in the order of their ranks.
func (t *Table) inOrder(now clock.Milli, live []peer.Member, declined, limit int, random func(n int) int) []peer.Member {
	var groups [ranks][]int
	for i := range live {
		if live[i].VM == t.self.VM {
			continue
		}
		r := t.rank(now, &live[i])
		groups[r] = append(groups[r], i)
	}
	order := [ranks]rank{carrier, sameDomain, otherDomain, named, paused}
	n := len(groups[carrier])
	switch {
	case declined >= declinesToNamed:
		order = [ranks]rank{carrier, named, sameDomain, otherDomain, paused}
	case n > 0 && n < maxCarriers && random(exploreOdds) == 0:
		order = [ranks]rank{sameDomain, otherDomain, carrier, named, paused}
	}
	out := make([]peer.Member, 0, min(limit, len(live)))
	for _, r := range order {
		g := groups[r]
		for len(g) > 0 && len(out) < limit {
			i := random(len(g))
			out = append(out, live[g[i]])
			g[i] = g[len(g)-1]
			g = g[:len(g)-1]
		}
	}
	return out
}

// rank returns the rank of a VM.
func (t *Table) rank(now clock.Milli, m *peer.Member) rank {
	c := t.candidates[m.VM]
	switch {
	case c != nil && now < c.pausedUntil:
		return paused
	case c != nil && recent(now, c.carriedAt):
		return carrier
	case c != nil && recent(now, c.namedAt):
		return named
	case m.Domain == t.self.Domain:
		return sameDomain
	default:
		return otherDomain
	}
}

// recent reports whether an instant, zero for never, is less than carrierTTL ago.
func recent(now, at clock.Milli) bool { return at > 0 && now-at < carrierTTL }

// Carried records that a VM connected for this one.
func (t *Table) Carried(now clock.Milli, v peer.VM) {
	c := t.candidate(v)
	c.carriedAt, c.pausedUntil = now, 0
	t.limitCarriers()
}

// Declined records that a VM could not connect, for a reason of its own, and the carriers that it named.
func (t *Table) Declined(now clock.Milli, v peer.VM, named []peer.VM) {
	c := t.candidate(v)
	c.carriedAt, c.namedAt, c.pausedUntil = 0, 0, now+pause
	for _, n := range named[:min(len(named), maxCarriers)] {
		if c := t.candidate(n); n != t.self.VM && now >= c.pausedUntil {
			c.namedAt = now
		}
	}
}

// Unanswered records that a VM did not answer in time. It stays a carrier: it may be busy.
func (t *Table) Unanswered(now clock.Milli, v peer.VM) { t.candidate(v).pausedUntil = now + pause }

// Carriers returns the VMs that connect for this one, for other VMs that look for one.
func (t *Table) Carriers(now clock.Milli) []peer.VM {
	var vs []peer.VM
	for v, c := range t.candidates {
		if recent(now, c.carriedAt) && now >= c.pausedUntil {
			vs = append(vs, v)
		}
	}
	slices.Sort(vs)
	return vs[:min(len(vs), maxCarriers)]
}

// maxKnown bounds the VMs and the upstreams of which something is recorded.
const maxKnown = 4096

func (t *Table) candidate(v peer.VM) *candidate {
	c := t.candidates[v]
	if c == nil {
		if len(t.candidates) >= maxKnown {
			clear(t.candidates)
		}
		c = &candidate{}
		t.candidates[v] = c
	}
	return c
}

// limitCarriers forgets the carriers beyond maxCarriers that connected longest ago.
func (t *Table) limitCarriers() {
	for {
		var oldest *candidate
		n := 0
		for _, c := range t.candidates {
			if c.carriedAt == 0 {
				continue
			}
			n++
			if oldest == nil || c.carriedAt < oldest.carriedAt {
				oldest = c
			}
		}
		if n <= maxCarriers {
			return
		}
		oldest.carriedAt = 0
	}
}

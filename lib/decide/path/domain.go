package path

import (
	"maps"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// The network between two failure domains may be cut while both reach a third one. A VM then loses its paths to the
// upstreams of one domain only, and the other VMs of its own domain lose them as well.

// domainPath records the direct paths to the upstreams of one failure domain.
type domainPath struct {
	// inRow holds the upstreams that were bypassed since the last direct connect to one of the domain.
	inRow map[string]bool
	state
}

// SetDomains sets the function that returns the failure domain of an upstream by its address, empty if it is unknown or
// all upstreams are in one domain. Without it no domain's paths are judged by themselves.
func (t *Table) SetDomains(of func(address string) peer.Domain) { t.domainOf = of }

// domain returns the failure domain of an upstream, empty if it is unknown.
func (t *Table) domain(address string) peer.Domain {
	if t.domainOf == nil {
		return ""
	}
	return t.domainOf(address)
}

// DomainLost reports whether the direct paths to the domain of an upstream count as lost.
func (t *Table) DomainLost(address string) bool {
	p := t.domains[t.domain(address)]
	return p != nil && p.lost
}

// LostDomains returns the domains whose direct paths count as lost, in no particular order.
func (t *Table) LostDomains() []peer.Domain {
	var ds []peer.Domain
	for d, p := range t.domains {
		if p.lost {
			ds = append(ds, d)
		}
	}
	return ds
}

// connectedDomain records a direct connect to a domain. It returns true if its lost paths count as working again.
func (t *Table) connectedDomain(now clock.Milli, d peer.Domain) (regained bool) {
	p := t.domains[d]
	if p == nil {
		return false
	}
	clear(p.inRow)
	if !p.connected(now) {
		return false
	}
	maps.DeleteFunc(t.bypassed, func(a string, _ *bypass) bool { return t.domain(a) == d })
	return true
}

// bypassedDomain records that an upstream of a domain was reached through another VM only. It returns true if the paths to
// the domain count as lost from now on.
func (t *Table) bypassedDomain(now clock.Milli, d peer.Domain, address string) (lost bool) {
	if d == "" {
		return false
	}
	p := t.domains[d]
	if p == nil {
		p = &domainPath{inRow: map[string]bool{}}
		t.domains[d] = p
	}
	p.regained = 0
	p.inRow[address] = true
	return len(p.inRow) >= lostAfter && p.lose(now)
}

// DomainTestDue returns a domain whose lost paths a direct connect should test now, and schedules the next test.
func (t *Table) DomainTestDue(now clock.Milli) (peer.Domain, bool) {
	for d, p := range t.domains {
		if p.testDue(now) {
			return d, true
		}
	}
	return "", false
}

// DomainTestFailed records that a direct connect that tested the lost paths to a domain failed.
func (t *Table) DomainTestFailed(d peer.Domain) {
	if p := t.domains[d]; p != nil {
		p.regained = 0
	}
}

// severalDomains reports whether upstreams of more than one domain were bypassed since the last direct connect. Where
// domains are not known, any count as such.
func (t *Table) severalDomains() bool {
	first, some := peer.Domain(""), false
	for a := range t.inRow {
		d := t.domain(a)
		if d == "" || some && d != first {
			return true
		}
		first, some = d, true
	}
	return false
}

// CandidatesFor is Candidates for a connect to one upstream. VMs of different failure domains take turns, since those of one
// domain may all lack the same paths; those of the own domain come last if it has lost them.
func (t *Table) CandidatesFor(now clock.Milli, live []peer.Member, address string, declined int, random func(n int) int) []peer.Member {
	d := t.domain(address)
	if d == "" {
		return t.Candidates(now, live, declined, random)
	}
	ordered := t.inOrder(now, live, declined, len(live), random)
	out := make([]peer.Member, 0, maxCandidates)
	var turns []domainTurn
	for _, m := range ordered {
		if t.rank(now, &m) != sameDomain && t.rank(now, &m) != otherDomain {
			out = append(out, m)
			continue
		}
		turns = addTurn(turns, m)
	}
	if t.DomainLost(address) {
		turns = ownLast(turns, t.self.Domain)
	}
	return appendTurns(out, turns)
}

// domainTurn is the VMs of one domain, in the order in which they are asked.
type domainTurn struct {
	domain peer.Domain
	vms    []peer.Member
}

func addTurn(turns []domainTurn, m peer.Member) []domainTurn {
	for i := range turns {
		if turns[i].domain == m.Domain {
			turns[i].vms = append(turns[i].vms, m)
			return turns
		}
	}
	return append(turns, domainTurn{m.Domain, []peer.Member{m}})
}

// ownLast moves the turn of a domain to the end.
func ownLast(turns []domainTurn, own peer.Domain) []domainTurn {
	for i, x := range turns {
		if x.domain == own {
			return append(append(turns[:i:i], turns[i+1:]...), x)
		}
	}
	return turns
}

// appendTurns appends one VM of each domain in turn, up to maxCandidates in all.
func appendTurns(out []peer.Member, turns []domainTurn) []peer.Member {
	for n := 0; len(out) < maxCandidates; n++ {
		some := false
		for _, x := range turns {
			if n < len(x.vms) && len(out) < maxCandidates {
				out, some = append(out, x.vms[n]), true
			}
		}
		if !some {
			break
		}
	}
	return out[:min(len(out), maxCandidates)]
}

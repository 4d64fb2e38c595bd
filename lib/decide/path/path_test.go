package path

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

var self = peer.Member{VM: "vm-1", Domain: "a"}

func first(int) int { return 0 }

// names returns the VMs of members.
func names(ms []peer.Member) (vs []peer.VM) {
	for _, m := range ms {
		vs = append(vs, m.VM)
	}
	return vs
}

// A single upstream behind a link of its own must not move all connects to other VMs.
func TestOneBypassedUpstreamIsNoLossOfPaths(t *testing.T) {
	p := New(self)
	require.False(t, p.Bypassed(1000, "u1", true))
	require.False(t, p.Direct(1100, "u1"))
	require.True(t, p.Direct(1100, "u2"))
	p.Connected(1200, "u2")
	require.False(t, p.Bypassed(1300, "u3", true), "a direct connect lies between")
	require.True(t, p.Direct(1500, "u1"), "the direct path is tried again")
	require.False(t, p.Direct(1500, "u1"), "by one connect at a time")
}

// The paths to all upstreams fail at once: after two, no connect waits for its own path.
func TestTwoBypassedUpstreamsAreLossOfPaths(t *testing.T) {
	p := New(self)
	require.False(t, p.Bypassed(1000, "u1", false))
	require.True(t, p.Bypassed(1000, "u2", false))
	require.False(t, p.Direct(1000, "u3"))
}

// Cuts that flap would move all connects to and fro if one direct connect ended a loss.
func TestLossEndsAfterDirectConnectsInRow(t *testing.T) {
	p := New(self)
	p.Unproven(1000-unprovenFor, true)
	p.Unproven(1000, true)
	require.False(t, p.TestDue(1400))
	require.True(t, p.TestDue(1500))
	require.False(t, p.Connected(1510, "u1"))
	require.True(t, p.TestDue(1510), "the second test follows at once")
	p.TestFailed(true)
	require.False(t, p.Connected(3000, "u1"))
	require.True(t, p.Lost())
	require.True(t, p.Connected(3010, "u2"))
	require.True(t, p.Direct(3010, "u3"))
}

// A VM gets no processor time for a moment, and its connects are late. If it counted as cut, it would carry nothing for
// the VMs that are.
func TestOneMomentWithoutConnectIsNoLossOfPaths(t *testing.T) {
	p := New(self)
	require.False(t, p.Unproven(1000, true))
	require.False(t, p.Unproven(1000, true))
	require.False(t, p.Unproven(1001+unprovenTTL, true), "the moment before is long ago")
	p.Connected(2100, "u1")
	require.False(t, p.Unproven(2200, true))
	require.True(t, p.Unproven(2200+unprovenFor, true))
	require.True(t, p.Refused())
}

// Tests of lost paths must not become a load of their own while a cut lasts.
func TestIntervalBetweenTestsGrows(t *testing.T) {
	p := New(self)
	p.Unproven(1, true)
	p.Unproven(1+unprovenFor, true)
	tests := 0
	for now := clock.Milli(0); now < 20*clock.Second; now += 100 {
		if p.TestDue(now) {
			tests++
			p.TestFailed(false)
		}
	}
	require.LessOrEqual(t, tests, 12)
}

// Most VMs of a domain are cut: those that declined are asked last, and those that they name once two have declined.
func TestCandidatesAreCarriersThenDomainThenOthers(t *testing.T) {
	p := New(self)
	live := []peer.Member{self, {VM: "b1", Domain: "b"}, {VM: "a2", Domain: "a"}, {VM: "b2", Domain: "b"}, {VM: "a3", Domain: "a"}}
	require.Equal(t, []peer.VM{"a2", "a3", "b1", "b2"}, names(p.Candidates(0, live, 0, first)))
	p.Declined(100, "a2", []peer.VM{"b2", "vm-1"})
	exploit := func(n int) int { return n - 1 }
	require.Equal(t, []peer.VM{"a3", "b1", "b2", "a2"}, names(p.Candidates(100, live, 1, exploit)))
	require.Equal(t, []peer.VM{"b2", "a3", "b1", "a2"}, names(p.Candidates(100, live, 2, exploit)))
	p.Carried(200, "b2")
	require.Equal(t, []peer.VM{"b2"}, p.Carriers(200))
	require.Equal(t, peer.VM("b2"), p.Candidates(200, live, 0, exploit)[0].VM)
	require.Equal(t, []peer.VM{"a3", "b1", "b2", "a2"}, names(p.Candidates(200, live, 0, first)), "now and then another VM is asked first")
}

// A VM names carriers to hundreds of others; without a bound all of them would use the same one or keep hundreds.
func TestCarriersAreBounded(t *testing.T) {
	p := New(self)
	for i := range clock.Milli(20) {
		p.Carried(i+1, peer.VM(rune('a'+i)))
	}
	require.Len(t, p.Carriers(20), maxCarriers)
	require.Contains(t, p.Carriers(20), peer.VM(rune('a'+19)))
	require.Empty(t, p.Carriers(20+carrierTTL))
}

// domainsOf returns a table of a VM in domain "a" whose upstreams are named by their domains, such as "b1".
func domainsOf() *Table {
	p := New(self)
	p.SetDomains(func(address string) peer.Domain { return peer.Domain(address[:1]) })
	return p
}

// The network between two domains is cut: connects to the other domains must go on directly.
func TestPathsToOneDomainAreLostAlone(t *testing.T) {
	p := domainsOf()
	require.False(t, p.Bypassed(1000, "b1", false))
	p.Connected(1010, "c1")
	require.True(t, p.Bypassed(1020, "b2", false), "connects to another domain prove nothing")
	require.False(t, p.Lost())
	require.False(t, p.Direct(1030, "b3"))
	require.True(t, p.Direct(1030, "c2"))
	d, due := p.DomainTestDue(1520)
	require.True(t, due)
	require.EqualValues(t, "b", d)
	require.False(t, p.Connected(1530, "b3"))
	require.True(t, p.Connected(1540, "b3"))
	require.True(t, p.Direct(1550, "b1"))
}

// A VM loses the paths to all domains; the upstreams that it tries first are of one of them.
func TestUpstreamsOfTwoDomainsAreLossOfAllPaths(t *testing.T) {
	p := domainsOf()
	p.Bypassed(1000, "b1", false)
	p.Bypassed(1000, "b2", false)
	require.False(t, p.Lost())
	require.True(t, p.Bypassed(1000, "c1", false))
	require.True(t, p.Lost())
}

// All VMs of a domain lack the same path; asked one after the other, they would only confirm each other.
func TestCandidatesOfDifferentDomainsTakeTurns(t *testing.T) {
	p := domainsOf()
	live := []peer.Member{self, {VM: "a2", Domain: "a"}, {VM: "a3", Domain: "a"}, {VM: "b1", Domain: "b"}, {VM: "c1", Domain: "c"}, {VM: "c2", Domain: "c"}}
	require.Equal(t, []peer.VM{"a2", "b1", "c2", "a3", "c1"}, names(p.CandidatesFor(0, live, "b1", 0, first)))
	p.Bypassed(10, "b1", false)
	p.Bypassed(10, "b2", false)
	require.Equal(t, peer.VM("a3"), names(p.CandidatesFor(20, live, "b1", 0, first))[4], "those of the own domain come last")
	require.Equal(t, peer.VM("a2"), names(p.CandidatesFor(20, live, "c1", 0, first))[0])
}

package member

import (
	"fmt"
	"testing"

	"snipeshift.example/lib/peer"
)

// fleet returns n members in 8 failure domains.
func fleet(n int) []peer.Member {
	ms := make([]peer.Member, n)
	for i := range ms {
		ms[i] = peer.Member{VM: peer.VM(fmt.Sprintf("vm-%d", i)), Domain: peer.Domain(fmt.Sprintf("domain-%d", i%8)), Incarnation: 1}
	}
	return ms
}

// BenchmarkOwner measures the cost of determining the owner of a pool and the home of a
// workspace by the number of members.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{3, 27, 81, 450} {
		ms := fleet(n)
		b.Run(fmt.Sprintf("owner/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Owner("notice-drafter@domain-3", ms)
			}
		})
		b.Run(fmt.Sprintf("rank/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Rank("notice-drafter@domain-3", ms)
			}
		})
		b.Run(fmt.Sprintf("home/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				First("limit/workspace-17", ms)
			}
		})
	}
}

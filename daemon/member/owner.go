package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/peer"
)

// Rank orders members by rendezvous hashing of key, best first, leaving out
// those that are stopping. Each VM computes the same order from the same
// members, and a member that comes or goes moves only the keys it holds.
//
// Each score is computed once: computed within the comparisons, ranking 450
// members took four times as long, and every request needs a ranking.
func Rank(key string, members []peer.Member) []peer.Member {
	type scored struct {
		score uint64
		index int
	}
	ranks := make([]scored, 0, len(members))
	for i := range members {
		if !members[i].Stopping {
			ranks = append(ranks, scored{score(key, members[i].VM), i})
		}
	}
	slices.SortFunc(ranks, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(members[a.index].VM, members[b.index].VM)
	})
	ranked := make([]peer.Member, len(ranks))
	for i, r := range ranks {
		ranked[i] = members[r.index]
	}
	return ranked
}

// First is the head of Rank, in one pass.
func First(key string, members []peer.Member) (peer.Member, bool) {
	var best peer.Member
	var top uint64
	found := false
	for _, m := range members {
		if m.Stopping {
			continue
		}
		s := score(key, m.VM)
		if !found || s > top || s == top && m.VM < best.VM {
			best, top, found = m, s, true
		}
	}
	return best, found
}

// strongPart is the part of the most capacity, one in so many, that a member needs to decide for others.
const strongPart = 2

// HighCapacity returns the members with at least half of the most processor and half of the most link; all of them where no
// settings say. If no member has both, it goes by the processor alone.
//
// The load: a fleet most of whose VMs are small, and hundreds of short requests a second for one service. Whoever places them gets
// three messages a request. A small VM's processor is used up by them: it answers late while nothing waits in its
// queue, and short requests are late for it.
func HighCapacity(members []peer.Member) []peer.Member {
	cores, link := most(members)
	both := with(members, func(m peer.Member) bool { return m.Cores*strongPart >= cores && m.Link*strongPart >= link })
	if len(both) > 0 {
		return both
	}
	return with(members, func(m peer.Member) bool { return m.Cores*strongPart >= cores })
}

// most is the largest processor and the largest link among members that take duties.
func most(members []peer.Member) (cores, link int) {
	for _, m := range members {
		if !m.Stopping {
			cores, link = max(cores, m.Cores), max(link, m.Link)
		}
	}
	return cores, link
}

func with(members []peer.Member, fits func(peer.Member) bool) []peer.Member {
	var ms []peer.Member
	for _, m := range members {
		if !m.Stopping && fits(m) {
			ms = append(ms, m)
		}
	}
	return ms
}

// RankByCapacity orders members as Rank does, the strong ones first.
func RankByCapacity(key string, members []peer.Member) []peer.Member {
	strong := HighCapacity(members)
	if len(strong) == len(members) {
		return Rank(key, members)
	}
	is := make(map[peer.VM]bool, len(strong))
	for _, m := range strong {
		is[m.VM] = true
	}
	rest := with(members, func(m peer.Member) bool { return !is[m.VM] })
	return append(Rank(key, strong), Rank(key, rest)...)
}

// Owner names the owner of a pool among live members. Members of the pool's
// own failure domain come first: when failure domains lose each other, the
// owner then stays on the side of its engines.
func Owner(pool peer.PoolID, members []peer.Member) (peer.Member, bool) {
	if m, ok := First(string(pool), within(DomainOf(pool), members)); ok {
		return m, true
	}
	return First(string(pool), members)
}

// DomainOf is the failure domain in a pool's id, "model@domain".
func DomainOf(pool peer.PoolID) peer.Domain {
	return peer.Domain(pool[strings.LastIndexByte(string(pool), '@')+1:])
}

func within(d peer.Domain, members []peer.Member) []peer.Member {
	var ms []peer.Member
	for _, m := range members {
		if m.Domain == d {
			ms = append(ms, m)
		}
	}
	return ms
}

func score(key string, v peer.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(v))
	return d.Sum64()
}

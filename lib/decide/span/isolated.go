package span

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// This file handles the start after a power loss of all VMs: they start within a third of a second,
// and until they have found each other, each has clients and knows of no other owner. If each VM
// placed nothing until it has found the others, short requests at a VM that is up would be late
// (364 ms in the queue, with an aim of 300 ms). If each packed its requests as a sole owner does,
// all owners would pack the same first engine. So an isolated owner chooses a few engines by its
// own name, polls only these for their load, and spreads its requests over them.

// isolatedEngines is how many engines an isolated owner uses. In that third of a second it receives
// about ten short requests. With 8 engines per owner, 86 owners send 688 polls; if each polled all
// of 78 engines, they would send 6,708.
const isolatedEngines = 8

// isolation is set while the owner knows of no other owner.
type isolation struct {
	on   bool
	seed string
}

// SetIsolated sets whether the owner of the pool knows of no other owner. The seed is a name that
// is unique to the owner.
func (p *Pool) SetIsolated(on bool, seed string) {
	p.isolation = isolation{on: on, seed: seed}
}

// rank returns a sort key of an upstream that differs between owners.
func (i isolation) rank(id decide.UpstreamID) uint64 {
	return xxhash.Sum64String(i.seed + "\x00" + string(id))
}

// isolatedUpstreams lists the upstreams that the owner uses while it is isolated.
func (p *Pool) isolatedUpstreams() []*upstreamState {
	ups := slices.DeleteFunc(slices.Clone(p.packOrder), func(r *upstreamState) bool { return r.draining() })
	slices.SortFunc(ups, func(x, y *upstreamState) int { return cmp.Compare(p.isolation.rank(x.ID), p.isolation.rank(y.ID)) })
	return ups[:min(isolatedEngines, len(ups))]
}

// placeIsolated places a short request on the least loaded of the isolated owner's engines. Long
// prompts wait until the owners have found each other: each needs many engines, and other owners
// would grant the same ones.
func (p *Pool) placeIsolated(now clock.Milli, w *queuedRequest) (plan, bool) {
	if w.long {
		return plan{}, false
	}
	var best plan
	fewest := math.MaxInt
	for _, r := range p.isolatedUpstreams() {
		n := r.streams + r.external
		if first, ok := p.fitsShort(now, &w.Ask, r, w.prefillTime, math.MaxInt); ok && n < fewest {
			best, fewest = plan{leader: r, partPrefill: w.prefillTime, first: first, reason: "isolated"}, n
		}
	}
	return best, best.leader != nil
}

package span

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// The load of this file is that of a loss of power of all VMs: they start within a third of a second, and until they have met,
// each has callers and knows of nobody. If each waited, short requests that reach a VM that is up would be late
// already (364 ms in the queue, where 300 are the aim); if each packed its requests as an owner of
// all does, all of them would pack on the same first engine. So an owner that knows of nobody
// uses a few engines of its own choice, asks only these for their load, and spreads its requests over them.

// isolatedEngines is how many engines such an owner uses: in the third of a second it gets some ten short requests. Eighty-six
// owners ask 688 times for a load, where each asking all of 78 engines would be 6,708.
const isolatedEngines = 8

// isolation is the way of an owner that knows of nobody.
type isolation struct {
	on   bool
	seed string
}

// SetIsolated tells the pool whether its owner knows of no other one; seed names the owner.
func (p *Pool) SetIsolated(on bool, seed string) {
	p.isolation = isolation{on: on, seed: seed}
}

// order ranks an upstream for one owner: for each owner otherwise.
func (i isolation) order(id decide.UpstreamID) uint64 {
	return xxhash.Sum64String(i.seed + "\x00" + string(id))
}

// own lists the upstreams that the owner uses while it knows of nobody.
func (p *Pool) own() []*row {
	rows := slices.DeleteFunc(slices.Clone(p.order), func(r *row) bool { return r.leaves() })
	slices.SortFunc(rows, func(x, y *row) int { return cmp.Compare(p.isolation.order(x.ID), p.isolation.order(y.ID)) })
	return rows[:min(isolatedEngines, len(rows))]
}

// placeIsolated puts a short request on the engine of the owner's own that has fewest. Long prompts wait until
// owners know of each other: each needs many engines, and others would give out the same.
func (p *Pool) placeIsolated(now clock.Milli, w *waiting) (plan, bool) {
	if w.heavy {
		return plan{}, false
	}
	var best plan
	least := math.MaxInt
	for _, r := range p.own() {
		n := r.streams + r.foreign
		if first, ok := p.fitsLight(now, &w.Ask, r, w.cost, math.MaxInt); ok && n < least {
			best, least = plan{leader: r, part: w.cost, first: first, reason: "isolated"}, n
		}
	}
	return best, best.leader != nil
}

package span

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/balance"
)

// This file handles owners that don't know all grants: isolated owners, gates that decide by
// themselves, and owners that have lost members, which may run on the other side of a partition. If
// each packed its short requests as a sole owner does, all would pack the same first engines. The
// load addressed is that of short requests. Plain services are spread already, see placePlain, and
// long prompts need whole engines.

// Random is a source of random numbers in [0, 1). Several pools use it at the same time.
type Random interface{ Float64() float64 }

// spread is the state of spreading.
type spread struct {
	// on is set while the owner does not know all grants and is to spread short requests.
	on bool
	// rank is the rank of the owner among all that may decide; ranked is set if it is known.
	rank   int
	ranked bool
	// random is shared by copies of the pool: a draw changes nothing else.
	random Random
	// serviceTime is the mean time in milliseconds from grant to complete response of the last short
	// requests, at pace 1; zero if none has completed.
	serviceTime float64
}

// serviceTimeWeight is the weight of one request in the mean of the time that requests are held.
const serviceTimeWeight = 1.0 / 16

// SetSpread sets whether the owner spreads short requests because it does not know all grants, and
// reports whether that is a change.
func (p *Pool) SetSpread(on bool, random Random) (changed bool) {
	changed = p.spread.on != on
	p.spread.on, p.spread.random = on, random
	return changed
}

// SetRank sets the rank of the owner among all VMs that may decide. An owner whose rank is unknown
// chooses at random where one with a rank takes upstreams that differ from those of other ranks.
func (p *Pool) SetRank(rank int, known bool) {
	p.spread.rank, p.spread.ranked = rank, known
}

// noteReport records the load that an upstream reports.
func (r *upstreamState) noteReport(now clock.Milli, requests int) {
	at := now
	if r.engine != nil {
		at -= r.engine.Lag
	}
	own, _ := r.accountedFor(now)
	r.record.Note(at, requests, own)
}

// placeBalanced places a short request on one of the engines that fit.
func (p *Pool) placeBalanced(now clock.Milli, w *queuedRequest) (plan, bool) {
	if pl, ok := p.placeRenewal(now, &w.Ask, w.prefillTime); ok {
		return pl, true
	}
	plans, cs := p.spreadCandidates(now, w)
	if len(plans) == 0 {
		return plan{}, false
	}
	random := p.spread.random.Float64()
	if p.spread.ranked {
		return plans[balance.ChooseRanked(now, p.serviceTime(w), cs, p.spread.rank, random)], true
	}
	return plans[balance.Choose(now, p.serviceTime(w), cs, random)], true
}

// spreadCandidates lists engines that fit a short request, in the order of packing. Slow and cold
// ones are listed only if there are no others. The list ends once it has as many engines as the
// requests of all owners need, so that the remaining engines stay free for long prompts.
func (p *Pool) spreadCandidates(now clock.Milli, w *queuedRequest) (plans []plan, cs []balance.Candidate) {
	ups := p.packOrder
	if p.isolation.on {
		ups = p.isolatedUpstreams()
	}
	limit := p.spreadEngines()
	for _, avoided := range []bool{false, true} {
		for _, r := range ups {
			if len(plans) >= limit {
				return plans, cs
			}
			if r.avoided(now) != avoided {
				continue
			}
			first, ok := p.fitsShort(now, &w.Ask, r, w.prefillTime, math.MaxInt)
			if !ok {
				continue
			}
			plans = append(plans, plan{leader: r, partPrefill: w.prefillTime, first: first, reason: "balanced"})
			cs = append(cs, balance.Candidate{Record: r.record, Slots: r.engine.Slots, Pace: r.pace, Own: len(r.grants)})
		}
		if len(plans) > 0 {
			break
		}
	}
	return plans, cs
}

// spreadMargin is how many times as many engines are used as the requests of all owners need if they
// are packed: an engine gets requests of others that this owner learns of from the next report only.
const spreadMargin = 2

// spreadEngines returns over how many engines short requests are spread. All owners together are
// assumed to have as many requests for each of their VMs as this one.
func (p *Pool) spreadEngines() int {
	if p.isolation.on {
		return isolatedEngines
	}
	streams := 1
	for _, r := range p.packOrder {
		streams += r.streams
	}
	all := float64(streams)
	if p.declared.share > 0 {
		all /= p.declared.share
	}
	return 1 + int(math.Ceil(spreadMargin*all/float64(max(p.rules.PackedStreams, 1))))
}

// noteServiceTime includes a complete response in the mean service time of short requests. Failed and
// canceled ones end early, while their replacements take as long as others.
func (p *Pool) noteServiceTime(now clock.Milli, g *grantState, o Outcome) {
	long := len(g.Grant.Helpers) > 0 || g.Grant.Leader.Read > p.rules.MaxShortRead
	if o != Done || long || !g.Writing || g.presented || len(g.upstreams) == 0 {
		return
	}
	took := float64(now-g.grantedAt) / max(g.upstreams[0].pace, 1)
	if p.spread.serviceTime == 0 {
		p.spread.serviceTime = took
	}
	p.spread.serviceTime += serviceTimeWeight * (took - p.spread.serviceTime)
}

// serviceTime returns the time that a short request usually occupies a slot. Until one has ended it is
// estimated from the length of the answer; half of the longest is assumed if no length is likely.
func (p *Pool) serviceTime(w *queuedRequest) clock.Milli {
	if p.spread.serviceTime > 0 {
		return clock.Milli(p.spread.serviceTime)
	}
	likely := w.Likely
	if likely == 0 {
		likely = w.Output / 2
	}
	return clock.Milli(w.prefillTime + p.engine.DecodeTime(likely, w.Prompt))
}

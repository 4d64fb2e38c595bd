package span

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/locality"
)

// This file learns the pace of engines from the pool's own requests, where locality is enabled. The
// load addressed: engines that are slow, or slow when nearly full, and report that late or not at
// all. Only grants on one engine are observed: a group is as slow as its slowest engine, and the
// first byte does not show which one that is.

// maxPaceRows bounds the observations that are kept for the metric and the log.
const maxPaceRows = 4096

// expectation is the plan of a grant against which the time to its first byte is compared.
type expectation struct {
	// valid is false if the first byte says nothing of the engine's pace.
	valid bool
	// pace is the pace at which the plan was made, and band the load of the engine then.
	pace float64
	band locality.Band
	// due is when the first byte is expected, in milliseconds of the pool's clock. Grants on the same
	// engine within startDelay extend it: the engine prefills their prompts in the same pass.
	due float64
}

// PaceChange is an upstream whose learned pace has become slow or is no longer slow.
type PaceChange struct {
	Upstream decide.UpstreamID
	Slow     bool
	Pace     float64
}

// TakePaces returns the ratios of observed to planned times of requests, and the changes of learned
// paces, since the last call.
func (p *Pool) TakePaces() ([]float64, []PaceChange) {
	ratios, changes := p.locality.ratios, p.locality.changes
	p.locality.ratios, p.locality.changes = nil, nil
	return ratios, changes
}

// nextBand returns the band of the load with one more request.
func (r *upstreamState) nextBand() locality.Band {
	return locality.BandOf(r.streams+r.external+1, r.Slots)
}

// applyLearned sets the pace that has been learned for the present load, if there is one.
func (r *upstreamState) applyLearned() {
	if r.learned.Known() {
		r.pace = r.learned.Factor(r.nextBand())
	}
}

// reportsSlow reports whether the upstream is polled because it is slow. A learned pace needs no polls.
func (r *upstreamState) reportsSlow() bool {
	if r.learned.Known() {
		return r.learned.ReportsSlow()
	}
	return r.slow()
}

// noteReportedPace combines a reported pace with the learned one.
func (p *Pool) noteReportedPace(now clock.Milli, r *upstreamState) {
	if !p.locality.on {
		return
	}
	if r.learned.Report(now, r.pace) {
		p.notePaceChange(r)
	}
	r.applyLearned()
}

// expectationOf returns what is expected of a plan, before its grant is recorded. A cold engine, and
// one with work of other owners, is slow for another reason than its pace.
func (p *Pool) expectationOf(now clock.Milli, pl plan) expectation {
	r := pl.leader
	if !p.locality.on || r.engine == nil || len(pl.helpers) > 0 || r.external > 0 || r.unverified || r.warmUp.cold(now) || r.firstByteOverdue(now) {
		return expectation{}
	}
	e := expectation{valid: true, pace: max(r.pace, 1), band: r.nextBand(), due: float64(now) + pl.first}
	switch pl.reason {
	case "trial":
		e.pace, _ = r.learned.Trial(now, e.band)
	case "interleaved":
		e.valid = false
	case "spread": // planned at pace 1 for an engine without streams
		e.pace, e.valid = 1, r.streams == 0
	}
	return e
}

// expect records the expectation of a new grant, and extends those of the grants on its engines.
func (p *Pool) expect(g *grantState, e expectation) {
	if !p.locality.on {
		return
	}
	g.expected = e
	for _, r := range g.upstreams {
		for _, x := range r.grants {
			if x != g && float64(g.grantedAt-x.grantedAt) <= startDelay {
				x.expected.due += g.Grant.Leader.Read * max(r.pace, 1)
			}
		}
	}
}

// observePace learns from the time to the first byte of a grant.
func (p *Pool) observePace(now clock.Milli, g *grantState) {
	e := g.expected
	if !e.valid || len(g.upstreams) != 1 {
		return
	}
	r := g.upstreams[0]
	planned := e.due - float64(g.grantedAt) - startDelay
	if planned <= 0 || r.external > 0 {
		return
	}
	ratio := math.Max(0, float64(now-g.grantedAt)-startDelay) / planned
	if len(p.locality.ratios) < maxPaceRows {
		p.locality.ratios = append(p.locality.ratios, ratio)
	}
	if e.band == locality.NearlyFull {
		// What slows a nearly full engine beyond its usual pace.
		p.locality.full.Observe(now, e.band, e.pace/r.learned.Factor(locality.Usual), ratio)
	}
	if r.learned.Observe(now, e.band, e.pace, ratio) {
		p.notePaceChange(r)
	}
	r.applyLearned()
}

// slowWhenFull reports whether the engines of the pool work more slowly when they are nearly full.
func (p *Pool) slowWhenFull() bool {
	return p.locality.full.Factor(locality.NearlyFull) >= locality.NormalPace
}

// notePaceChange records that an upstream has become slow or is no longer slow.
func (p *Pool) notePaceChange(r *upstreamState) {
	if len(p.locality.changes) < maxPaceRows {
		p.locality.changes = append(p.locality.changes, PaceChange{Upstream: r.ID, Slow: r.learned.Slow(), Pace: r.learned.Worst()})
	}
}

// restorePace continues the learned pace of the previous owner.
func (p *Pool) restorePace(now clock.Milli, r *upstreamState, s locality.SavedPace) {
	if !p.locality.on {
		return
	}
	r.learned = locality.RestorePace(now, s)
	if !r.learned.Known() && r.pace > 0 {
		r.learned.Report(now, r.pace) // an owner without the setting hands over reported paces only
	}
	r.applyLearned()
}

// placeTrial places a short request on a slow engine, of its home domain if that is known, to learn
// whether the engine still is slow. One request at a time is placed so.
func (p *Pool) placeTrial(now clock.Milli, a *Ask, prefillTime float64) (plan, bool) {
	if !p.locality.on {
		return plan{}, false
	}
	for _, r := range p.packOrder {
		pace, due := r.learned.Trial(now, r.nextBand())
		// With work of other owners its first byte would show nothing, and the trial would be due again.
		if !due || r.prefills > 0 || r.external > 0 || p.prefersHome(a) && r.Domain != a.Domain {
			continue
		}
		learned := r.pace
		r.pace = pace // the request has to fit at the pace that the trial assumes
		first, ok := p.fitsShort(now, a, r, prefillTime, math.MaxInt)
		r.pace = learned
		if ok {
			return plan{leader: r, partPrefill: prefillTime, first: first, reason: "trial"}, true
		}
	}
	return plan{}, false
}

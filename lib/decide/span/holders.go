package span

import (
	"maps"
	"math"
	"slices"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/forecast"
)

// This file keeps the expected ends of grants for the forecast, so that an arrival does not pay for
// reading all of them.

// maxDrift is the relative change of a correction from which on the ends at an upstream are estimated
// anew. Service times of single requests vary by more than half, so a smaller change is noise.
const maxDrift = 0.05

// corrections are the factors with which the ends at an upstream are estimated.
type corrections struct{ pace, known, bounded float64 }

// corrections returns the present factors for an upstream.
func (f *forecaster) corrections(r *upstreamState) corrections {
	return corrections{pace: max(r.pace, 1), known: f.knownServiceTime.Apply(1), bounded: f.boundedServiceTime.Apply(1)}
}

// drifted reports whether some factor differs too much from a present one.
func (c corrections) drifted(present corrections) bool {
	differs := func(x, y float64) bool { return math.Abs(x-y) > maxDrift*y }
	return c.pace != present.pace || differs(c.known, present.known) || differs(c.bounded, present.bounded)
}

// end returns the expected end of a grant.
func (c corrections) end(g *grantState, r *upstreamState) forecast.End {
	factor := c.bounded
	if g.ask.Likely > 0 {
		factor = c.known
	}
	return forecast.EndAt(float64(g.grantedAt) + factor*g.plannedServiceTime(r, c.pace))
}

// plannedServiceTime returns the time in milliseconds for which a grant holds its place by the engine
// data, at a pace.
func (g *grantState) plannedServiceTime(r *upstreamState, pace float64) float64 {
	tokens := g.ask.outputTokens()
	if tokens == 0 {
		tokens = g.Grant.Output // another owner made the grant
	}
	return float64(g.Grant.First) + pace*r.engine.DecodeTime(tokens, g.Grant.Prompt)
}

// addHolder records that a grant holds a place at an upstream, if it does.
func (p *Pool) addHolder(r *upstreamState, g *grantState) {
	if !p.forecast.on || r.engine == nil || !g.leads(r) {
		return
	}
	if r.corrections.drifted(p.forecast.corrections(r)) {
		p.listHolders(r)
		return
	}
	p.noteHolder(r, g)
}

// noteHolder adds a grant to the holders of an upstream.
func (p *Pool) noteHolder(r *upstreamState, g *grantState) {
	end := r.corrections.end(g, r)
	r.holders, r.holderEnds = append(r.holders, g.Grant.Request), append(r.holderEnds, end)
	p.forecast.ends.Add(end, 1)
}

// removeHolder records that a grant does not hold a place at an upstream any more.
func (p *Pool) removeHolder(r *upstreamState, id decide.RequestID) {
	i := slices.Index(r.holders, id)
	if i < 0 {
		return
	}
	p.forecast.ends.Add(r.holderEnds[i], -1)
	r.holders, r.holderEnds = slices.Delete(r.holders, i, i+1), slices.Delete(r.holderEnds, i, i+1)
}

// clearHolders removes all holders of an upstream.
func (p *Pool) clearHolders(r *upstreamState) {
	for _, end := range r.holderEnds {
		p.forecast.ends.Add(end, -1)
	}
	r.holders, r.holderEnds = r.holders[:0], r.holderEnds[:0]
}

// listHolders estimates all ends at an upstream anew, in a fixed order: pools with the same history
// are equal.
func (p *Pool) listHolders(r *upstreamState) {
	p.clearHolders(r)
	if !p.forecast.on || r.engine == nil {
		return
	}
	r.corrections = p.forecast.corrections(r)
	for _, id := range slices.Sorted(maps.Keys(r.grants)) {
		if g := r.grants[id]; g.leads(r) {
			p.noteHolder(r, g)
		}
	}
}

// setPace sets the pace of an upstream.
func (p *Pool) setPace(r *upstreamState, pace float64) {
	if r.pace != pace {
		r.pace = pace
		p.listHolders(r)
	}
}

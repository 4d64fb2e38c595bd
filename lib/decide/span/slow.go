package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// An engine may work several times as slowly as its data say. One that took part in a late first byte is asked for its pace, and one that is
// slow gets what others have no room for.

const (
	// lateFactor times the expected time to the first byte, and lateSlack more, make a first byte
	// suspicious: on sound engines fewer than one in a hundred is.
	lateFactor             = 1.5
	lateSlack  clock.Milli = 150
	// slowPace is from which pace on an engine counts as slow: a part of a prompt read there
	// keeps all others waiting for half of its time.
	slowPace = 1.5
)

// slow reports whether the upstream works much more slowly than its data say.
func (r *row) slow() bool { return r.pace >= slowPace }

// pass is the time in milliseconds of one pass that writes streams with this many tokens of
// context together, at the engine's present pace.
func (r *row) pass(streams int, context decide.Tokens) float64 {
	return max(r.pace, 1) * r.engine.PassTime(streams, context)
}

// suspect notes the upstreams of a grant whose first byte came late.
func (g *granted) suspect(now clock.Milli) {
	if float64(now-g.at) <= lateFactor*float64(g.Grant.First)+float64(lateSlack) {
		return
	}
	for _, r := range g.rows {
		r.suspected = r.engine != nil
	}
}

// avoidsSlow reports whether long prompts keep off slow engines: there are others.
func (p *Pool) avoidsSlow() bool {
	for _, r := range p.order {
		if !r.leaves() && !r.slow() {
			return true
		}
	}
	return false
}

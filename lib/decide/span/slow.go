package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// An engine may work several times as slowly as its data specify. An engine that took part in a
// late first byte is polled for its pace, and a slow engine gets only requests for which the others
// have no room.

const (
	// A first byte that arrives later than lateFactor times the expected time plus lateSlack is
	// suspicious. On sound engines fewer than one in a hundred is.
	lateFactor             = 1.5
	lateSlack  clock.Milli = 150
	// slowPace is the pace from which on an engine counts as slow. At this pace the other engines
	// of a group wait for a slow one for half of the usual time of a part.
	slowPace = 1.5
)

// slow reports whether the upstream works much more slowly than its data specify.
func (r *upstreamState) slow() bool { return r.pace >= slowPace }

// pass returns the time in milliseconds of one pass that decodes streams with this many tokens of
// context in total, at the engine's present pace.
func (r *upstreamState) pass(streams int, context decide.Tokens) float64 {
	return max(r.pace, 1) * r.engine.PassTime(streams, context)
}

// suspectIfLate requests load reports of the upstreams of a grant if its first byte arrived late.
func (g *grantState) suspectIfLate(now clock.Milli) {
	if float64(now-g.grantedAt) <= lateFactor*float64(g.Grant.First)+float64(lateSlack) {
		return
	}
	for _, r := range g.upstreams {
		r.reportWanted = r.engine != nil
	}
}

// avoidsSlow reports whether long prompts avoid slow and cold engines, because there are others.
func (p *Pool) avoidsSlow(now clock.Milli) bool {
	for _, r := range p.packOrder {
		if !r.draining() && !r.avoided(now) {
			return true
		}
	}
	return false
}

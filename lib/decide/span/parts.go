package span

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

// Parts returns what is known of the parts of prompts that crash upstreams.
func (p *Pool) Parts() *blame.Table { return p.parts }

// run returns the send of a request in the table of parts.
func run(id decide.RequestID) blame.Run { return blame.Run{Name: string(id)} }

// startRun records a grant in the table of parts.
func (p *Pool) startRun(now clock.Milli, g *grantState) {
	l := g.Grant.Leader
	id := run(g.Grant.Request)
	p.parts.Granted(now, id, blame.Upstream{ID: string(l.Upstream), Born: int64(l.Born)}, g.ask.Parts)
	if g.Writing {
		p.parts.Begun(now, id)
	}
}

// endRun records the end of a send in the table of parts. An upstream that leaves may break off its last responses.
func (p *Pool) endRun(now clock.Milli, g *grantState, o Outcome) {
	id := run(g.Grant.Request)
	r := p.upstreams[g.Grant.Leader.Upstream]
	switch {
	case o == Done || o == Failed:
		p.parts.Answered(now, id)
	case o == Crashed && (r == nil || !r.draining()):
		p.parts.Crashed(now, id)
	default:
		p.parts.Ended(now, id)
	}
}

// judgeParts refuses a request that holds a blamed part and reports whether one with a suspect part has to wait. A suspect
// that may run is placed apart from other suspects.
func (p *Pool) judgeParts(now clock.Milli, w *queuedRequest) (d Decision, refused, held bool) {
	switch j := p.parts.Judge(now, w.Parts); j.Verdict {
	case blame.Refused:
		d = Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Quarantined, Retry: j.Retry, Reason: "part " + j.Part.String()}
		return d, true, false
	case blame.Held:
		return d, false, true
	case blame.Alone:
		w.Suspect = true
	case blame.Clear:
	}
	return d, false, false
}

// placeSuspect chooses the upstream with the fewest streams for a short request that may crash it.
func (p *Pool) placeSuspect(now clock.Milli, a *Ask, prefillTime float64) (plan, bool) {
	order := slices.Clone(p.packOrder)
	slices.SortStableFunc(order, func(x, y *upstreamState) int { return cmp.Compare(x.streams, y.streams) })
	for _, r := range order {
		if first, ok := p.fitsShort(now, a, r, prefillTime, math.MaxInt); ok {
			return plan{leader: r, partPrefill: prefillTime, first: first, reason: "suspect"}, true
		}
	}
	return plan{}, false
}

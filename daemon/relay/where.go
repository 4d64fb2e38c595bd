package relay

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// Describe returns what this gate would ask the owner for a request that arrives now, without one: for the operator. The
// workspace is nil if no key is presented.
func (g *Gate) Describe(r *route.Route, w *route.Workspace, prompt, output decide.Tokens) span.Ask {
	now := g.Clock.Now()
	x := &request{
		gate: g, route: r, workspace: w, arrived: now, deadline: now + r.Timeout,
		head: exchange.RequestHead{Prompt: prompt, Output: output},
	}
	return x.newAsk(now, "where")
}

// RetryAfter returns the Retry-After of a request that the owner refuses. The time of a booking must not be changed, since
// capacity is booked for that time only.
func RetryAfter(fromOwner clock.Milli, booked bool) clock.Milli {
	if booked {
		return fromOwner
	}
	return max(fromOwner, busyRetry)
}

package caller

import (
	"context"
	"errors"
	"slices"

	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// noteBackoff records the back-off if err is the status of an upstream that rejected a request or a
// reservation and sent Retry-After. It reports whether one was recorded. The back-off applies to
// this VM only, since other VMs may have sent the upstream fewer requests.
func (g *Gate) noteBackoff(target string, u decide.UpstreamID, err error) bool {
	var status *engine.StatusError
	if !errors.As(err, &status) || status.RetryAfter <= 0 {
		return false
	}
	g.recordBackoff(target, u, status.RetryAfter)
	return true
}

// recordBackoff excludes an upstream from further requests of this VM for the given time.
func (g *Gate) recordBackoff(target string, u decide.UpstreamID, span clock.Milli) {
	now := g.Clock.Now()
	st := statement.Statement{Kind: statement.BackOff, Named: true, Gate: g.ID(), At: now, Until: now + span}
	g.statements.Learn(route.ServiceID(target), u, st, statements.FromResponse)
}

// backingOff lists the upstreams of a model or service that have asked this VM for a back-off, and
// returns the time at which the first of these back-offs ends.
func (g *Gate) backingOff(target string) (upstreams []decide.UpstreamID, until clock.Milli) {
	g.statements.Each(func(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
		if string(s) != target || st.Kind != statement.BackOff {
			return
		}
		if len(upstreams) == 0 || st.Until < until {
			until = st.Until
		}
		upstreams = append(upstreams, u)
	})
	return upstreams, until
}

// maxBackoffRetryAfter is the longest Retry-After that a client gets for a back-off. The client's
// next attempt probably reaches another VM, which the upstream has not asked for a back-off or only
// for a shorter one.
const maxBackoffRetryAfter = 4 * clock.Second

// place acquires a grant on upstreams that have not asked this VM for a back-off. If no other
// upstream is available, place waits for the first back-off that ends before the request's
// deadline, and refuses the request at once if none does.
func (g *Gate) place(ctx context.Context, c *document.Index, q *request, avoid []decide.UpstreamID) (poolGrant, *fault.Error) {
	for {
		excluded, until := g.backingOff(q.target)
		pg, e := g.acquire(ctx, c, q, slices.Concat(avoid, excluded))
		if e == nil && !g.excludedByBackoff(q.target, pg) {
			return pg, nil
		}
		if e == nil {
			g.returnGrant(pg, q, result{outcome: decide.Unused})
			continue
		}
		if ctx.Err() != nil {
			return poolGrant{}, e
		}
		left, refused := g.waitForBackoff(q, excluded, until, e)
		if refused != nil {
			return poolGrant{}, refused
		}
		sleep(ctx, left.Duration())
	}
}

// waitForBackoff returns how long a refused request waits for the end of the first back-off, or the refusal that its client
// gets, if no back-off is the cause or none ends before the request's deadline.
func (g *Gate) waitForBackoff(q *request, excluded []decide.UpstreamID, until clock.Milli, e *fault.Error) (clock.Milli, *fault.Error) {
	if len(excluded) == 0 || e.Kind != fault.Unavailable {
		return 0, e
	}
	left := max(until-g.Clock.Now(), 0)
	if until >= q.deadline {
		return 0, e.WithRetry(min(left, maxBackoffRetryAfter))
	}
	return left, nil
}

// excludedByBackoff reports whether an upstream of a grant asked this VM for a back-off while the
// grant was being acquired.
func (g *Gate) excludedByBackoff(target string, pg poolGrant) bool {
	return slices.ContainsFunc(pg.grant.Upstreams, func(u decide.UpstreamID) bool {
		_, bound := g.statements.Binding(route.ServiceID(target), u, 0)
		return bound
	})
}

func (g *Gate) forgetExpiredBackoffs() {
	g.statements.Forget(func(route.ServiceID, decide.UpstreamID) bool { return false })
}

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

// hear notes that an upstream turned a request or an order of this VM away and wants nothing from it for a while, and reports whether it did.
// It binds this VM alone: others may have sent less.
func (g *Gate) hear(target string, u decide.UpstreamID, err error) bool {
	var status *engine.StatusError
	if !errors.As(err, &status) || status.RetryAfter <= 0 {
		return false
	}
	g.wantsRest(target, u, status.RetryAfter)
	return true
}

func (g *Gate) wantsRest(target string, u decide.UpstreamID, span clock.Milli) {
	now := g.Clock.Now()
	st := statement.Statement{Kind: statement.BackOff, Named: true, Gate: g.ID(), At: now, Until: now + span}
	g.heard.Learn(route.ServiceID(target), u, st, statements.FromResponse)
}

// resting lists the upstreams of a model or service that want nothing from this VM now, and when the first of them does again.
func (g *Gate) resting(target string) (us []decide.UpstreamID, until clock.Milli) {
	g.heard.Each(func(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
		if string(s) != target || st.Kind != statement.BackOff {
			return
		}
		if len(us) == 0 || st.Until < until {
			until = st.Until
		}
		us = append(us, u)
	})
	return us, until
}

// otherVMs bounds when a caller is told to come back from rests of this VM: its repeat probably reaches another one, of which the upstream has
// not asked any, or has for a shorter time.
const otherVMs = 4 * clock.Second

// place acquires a grant without upstreams at rest. Where nothing else is there it waits for the first rest that ends in the request's
// time, and refuses at once if none does.
func (g *Gate) place(ctx context.Context, c *document.Index, q *request, avoid []decide.UpstreamID) (granted, *fault.Error) {
	for {
		resting, until := g.resting(q.target)
		gr, e := g.acquire(ctx, c, q, slices.Concat(avoid, resting))
		if e == nil && !g.withheld(q.target, gr) {
			return gr, nil
		}
		if e == nil {
			g.giveBack(gr, q, result{outcome: decide.Unused})
			continue
		}
		if len(resting) == 0 || e.Kind != fault.Unavailable || ctx.Err() != nil {
			return granted{}, e
		}
		left := max(until-g.Clock.Now(), 0)
		if until >= q.deadline {
			return granted{}, e.WithRetry(min(left, otherVMs))
		}
		wait(ctx, left.Duration())
	}
}

// withheld reports whether an upstream of a grant has asked this VM for rest since the grant was asked for.
func (g *Gate) withheld(target string, gr granted) bool {
	return slices.ContainsFunc(gr.grant.Upstreams, func(u decide.UpstreamID) bool {
		_, bound := g.heard.Binding(route.ServiceID(target), u, 0)
		return bound
	})
}

// forgetRests drops the rests that are over.
func (g *Gate) forgetRests() {
	g.heard.Forget(func(route.ServiceID, decide.UpstreamID) bool { return false })
}

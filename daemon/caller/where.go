package caller

import (
	"context"
	"errors"
	"slices"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// This file answers the operator's question where a request would be placed now. The owners of pools decide on copies, and this
// gate records nothing: no id is used up, no tokens are taken, no summary is stored.

const (
	// whereTimeout bounds the wait for all owners; what is left of the second that an operator waits suffices for the answer
	// from this VM's own pools.
	whereTimeout = 700 * time.Millisecond
	// whereOwnerTimeout bounds the wait for one owner, so that another one can answer in place of an owner that hangs.
	whereOwnerTimeout = 300 * time.Millisecond
)

// Reasons of this gate for a verdict.
const (
	reasonBackOff   = "back-off"  // all upstreams have asked this VM for a back-off
	reasonContext   = "context"   // prompt and output exceed the context of the model
	reasonWorkspace = "workspace" // the workspace may not use the model or the kind
)

var errNoOwner = errors.New("no VM is known to own the pool")

// Explainer explains placements in the pools of this VM.
type Explainer interface {
	Where(args peer.WhereArgs, reply *peer.WhereReply) error
}

// whereAnswer is the answer of one VM about one pool.
type whereAnswer struct {
	pool peer.PoolID
	// owner is the VM that owns the pool by the membership, from the one that answered.
	owner, from peer.VM
	ownerErr    error
	reply       peer.WhereReply
}

// refusal returns the refusal that a client would get, nil if the request would be placed or queued.
func (a *whereAnswer) refusal() *fault.Error {
	d := &a.reply.Explanation.Decision
	if !a.reply.Explanation.Decided || d.Action != decide.Refused {
		return nil
	}
	return fault.New(d.Fault, "refused").WithRan(fault.RanNo).WithRetry(d.Retry)
}

// Where tells where a request that arrives at this gate now would be placed, without sending it. Its errors are of type
// *fault.Error.
func (g *Gate) Where(ctx context.Context, q *answers.WhereQuery) (answers.Where, error) {
	c, ok := g.Registry.Index()
	if !ok {
		return answers.Where{}, fault.New(fault.Unavailable, "no configuration document is in force")
	}
	r, err := g.describe(c, q)
	if err != nil {
		return answers.Where{}, err
	}
	if f, reason := forbidden(c, r); f != nil {
		return g.refusedHere(r, f.Kind, reason), nil
	}
	excluded, until := g.backingOff(r.target)
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	a, err := g.askPools(ctx, c, r, excluded, q.ID)
	if err != nil {
		return answers.Where{}, err
	}
	return g.whereResult(r, a, excluded, until), nil
}

// describe returns the request of a query as this gate would describe it to owners, without id, key and prompt.
func (g *Gate) describe(c *document.Index, q *answers.WhereQuery) (*request, error) {
	if q.Model == "" {
		return nil, fault.New(fault.Malformed, "name a model: this VM serves OpenAI's API")
	}
	if q.Service != "" || q.Host != "" || q.Aim != 0 {
		return nil, fault.New(fault.Malformed, "a service, a host or an aim is for VMs that relay services")
	}
	m, ok := c.Model(q.Model)
	if !ok {
		return nil, fault.New(fault.Unknown, "no model %q", q.Model)
	}
	k, ok := c.Kind(q.Kind)
	if !ok {
		return nil, fault.New(fault.Unknown, "no request kind %q", q.Kind)
	}
	r := &request{target: m.Name, kind: *k, arrived: g.Clock.Now(), prompt: q.Prompt, output: k.Output}
	if q.Workspace != "" {
		w, ok := c.Workspace(string(q.Workspace))
		if !ok {
			return nil, fault.New(fault.Unknown, "no workspace %q", q.Workspace)
		}
		r.workspace = *w
	}
	if q.Output > 0 {
		r.output = q.Output
	}
	if q.Urgency != nil {
		r.kind.Urgency = *q.Urgency
	}
	allowed := k.TimeLimit
	if q.Deadline > 0 {
		allowed = min(q.Deadline, allowed)
	}
	r.deadline = r.arrived + allowed
	for _, text := range q.Parts {
		p, err := blame.ParsePart(text)
		if err != nil {
			return nil, fault.New(fault.Malformed, "%q is no part: use hexadecimal digits", text)
		}
		r.parts = append(r.parts, p)
	}
	return r, nil
}

// forbidden returns the refusal of a request that this gate presents to no owner.
func forbidden(c *document.Index, r *request) (*fault.Error, string) {
	if !r.workspace.AllowsKind(r.kind.Name) || !r.workspace.AllowsModel(r.target) {
		return fault.New(fault.Forbidden, "the workspace may not send it"), reasonWorkspace
	}
	if m, ok := c.Model(r.target); ok && m.Context > 0 && r.prompt+r.output > m.Context {
		return fault.New(fault.Oversize, "beyond the context of the model"), reasonContext
	}
	return nil, ""
}

// refusedHere is the answer for a request that this gate refuses.
func (g *Gate) refusedHere(r *request, k fault.Kind, reason string) answers.Where {
	return answers.Where{VM: g.vm, From: g.vm, Model: r.target, Verdict: answers.Refused, Fault: k, Reason: reason, Others: []answers.WhereOther{}}
}

// askPools asks the owners of the model's pools in the order and by the rules of acquire. With an id it looks for the pool that
// knows the request.
func (g *Gate) askPools(ctx context.Context, c *document.Index, r *request, excluded []decide.UpstreamID, id decide.RequestID) (*whereAnswer, error) {
	pools := g.rankPools(c, r)
	if len(pools) == 0 {
		return nil, fault.New(fault.Unknown, "model %q has no upstreams", r.target)
	}
	var refused, missing *whereAnswer
	var lastErr error
	for _, p := range pools {
		a, err := g.askOwners(ctx, p, r, excluded, id)
		switch {
		case err != nil:
			lastErr = err
		case !a.reply.Found:
			missing = a
		case a.refusal() == nil || a.refusal().Kind == fault.Quarantined:
			return a, nil
		case refused == nil || preferRefusal(a.refusal(), refused.refusal()):
			refused = a
		}
	}
	if refused != nil {
		return refused, nil
	}
	if missing == nil {
		missing = g.askLocal(pools[0], r, excluded, id, lastErr)
	}
	switch {
	case missing.reply.Found:
		return missing, nil
	case missing.reply.Fault != nil:
		return nil, fault.New(fault.Draining, "this VM is shutting down and no owner answered: %v", lastErr)
	case lastErr != nil:
		return nil, fault.New(fault.Unavailable, "no request %s is known at %s, and not all owners answered: %v", id, missing.from, lastErr)
	}
	return nil, fault.New(fault.Unknown, "no request %s is queued or runs at %s; queued requests include %q", id, missing.from, missing.reply.Waiting)
}

// askOwners asks the owners of a pool in turn.
func (g *Gate) askOwners(ctx context.Context, id peer.PoolID, r *request, excluded []decide.UpstreamID, queued decide.RequestID) (*whereAnswer, error) {
	owners := g.Members.Owners(id)
	lastErr := errNoOwner
	for i, m := range owners[:min(len(owners), maxOwners)] {
		a := &whereAnswer{pool: id, owner: owners[0].VM, from: m.VM}
		if i > 0 {
			a.ownerErr = lastErr
		}
		err := g.askOwner(ctx, m.Address, g.whereArgs(id, r, excluded, queued), &a.reply)
		if err == nil {
			return a, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (g *Gate) askOwner(ctx context.Context, address string, args peer.WhereArgs, reply *peer.WhereReply) error {
	ctx, cancel := context.WithTimeout(ctx, whereOwnerTimeout)
	defer cancel()
	if err := g.Peers.Call(ctx, address, "Pool.Where", args, reply); err != nil {
		return err
	}
	if reply.Fault != nil {
		return reply.Fault.Error()
	}
	return nil
}

// askLocal answers from the pools of this VM, since no owner answered.
func (g *Gate) askLocal(id peer.PoolID, r *request, excluded []decide.UpstreamID, queued decide.RequestID, ownerErr error) *whereAnswer {
	a := &whereAnswer{pool: id, from: g.vm, ownerErr: ownerErr}
	if owners := g.Members.Owners(id); len(owners) > 0 {
		a.owner = owners[0].VM
	}
	_ = g.Local.Where(g.whereArgs(id, r, excluded, queued), &a.reply) // Where returns no errors
	return a
}

func (g *Gate) whereArgs(id peer.PoolID, r *request, excluded []decide.UpstreamID, queued decide.RequestID) peer.WhereArgs {
	return peer.WhereArgs{Pool: id, Left: r.deadline - g.Clock.Now(), Request: g.placementRequest(r, excluded), Queued: queued}
}

// whereResult converts the answer of an owner.
func (g *Gate) whereResult(r *request, a *whereAnswer, excluded []decide.UpstreamID, until clock.Milli) answers.Where {
	e := &a.reply.Explanation
	out := answers.Where{
		VM: g.vm, Owner: a.owner, Epoch: uint64(a.reply.Epoch), From: a.from, Model: r.target, Pool: a.pool,
		Verdict: answers.Queued, Reason: string(e.Reason), Others: []answers.WhereOther{}, Place: e.Place, Queued: e.Queued,
		DocumentAge: a.reply.DocumentAge, ListAge: a.reply.DocumentAge, ReportAge: a.reply.ReportAge,
	}
	if a.ownerErr != nil {
		out.OwnerError = a.ownerErr.Error()
	}
	for _, x := range e.Others {
		against := string(x.Against)
		if x.Against == decide.ObstacleAvoided && slices.Contains(excluded, x.Upstream) {
			against = reasonBackOff
		}
		out.Others = append(out.Others, answers.WhereOther{Upstream: x.Upstream, Against: against})
	}
	switch f := a.refusal(); {
	case f != nil:
		g.refuse(&out, r, f, excluded, until)
	case e.Decided:
		out.Verdict, out.Upstream, out.FirstByte = answers.Placed, e.Decision.Grant.Upstreams[0], e.First
		out.Helpers = e.Decision.Grant.Upstreams[1:]
	}
	return out
}

// refuse makes an answer one for a request that the owners refuse: it waits at this gate if a back-off ends in time.
func (g *Gate) refuse(out *answers.Where, r *request, f *fault.Error, excluded []decide.UpstreamID, until clock.Milli) {
	_, f = g.waitForBackoff(r, excluded, until, f)
	if f == nil {
		out.Reason = reasonBackOff
		return
	}
	out.Verdict, out.Fault = answers.Refused, f.Kind
	if fault.Lookup(f.Kind).Retryable {
		out.RetryAfter = clock.Milli(retryAfterSeconds(f.Retry)) * clock.Second
	}
}

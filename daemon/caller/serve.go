package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sort"
	"time"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Limits of attempts.
const (
	// maxRuns is how often a request may be sent to an upstream at all: once,
	// and once more elsewhere. A request that fails twice mostly fails for a
	// reason of its own, and more tries would spread its harm.
	maxRuns = 2
	// maxUnsent is how many upstreams may turn out unreachable before a request is refused.
	maxUnsent = 4
	// lookFor is how long a gate looks for an owner that answers: longer than
	// members take to notice that one is gone.
	lookFor = 5 * time.Second
	// lookAgain is the wait between two looks.
	lookAgain = 100 * time.Millisecond
	// farther is what a pool in another failure domain must win in estimated
	// wait, in milliseconds, to be asked first: the way there and back.
	farther = 5
	// tellTimeout bounds a message that tells of an end.
	tellTimeout = 2 * time.Second
)

// dispatcher sends a granted request to its upstream and passes the answer on.
type dispatcher interface {
	dispatch(ctx context.Context, gr granted, u document.Upstream) result
	// started tells whether any byte of an answer reached the caller.
	started() bool
}

// granted is a grant with the pool it came from.
type granted struct {
	pool  peer.PoolID
	owner string
	grant decide.Grant
}

// result is the end of one attempt.
type result struct {
	// fault is nil for a whole answer.
	fault *fault.Error
	// unsent is proof that no byte of the request reached the upstream.
	unsent bool
	// rests is set if an upstream wants nothing from this VM for a while: it is avoided for so long, and not for good.
	rests   bool
	outcome decide.Outcome
	usage   peer.Usage
	// first is the span from the grant to the first token, zero if none came.
	first clock.Milli
	// counted is the part of the usage's output that the meter has already.
	counted decide.Tokens
}

// serve brings a request to its end: a whole answer passed on by d, or a fault.
func (g *Gate) serve(ctx context.Context, c *document.Index, q *request, d dispatcher) *fault.Error {
	if e := g.limit(q); e != nil {
		return e
	}
	runs, unsent, claimed, whole := 0, 0, false, false
	var spent decide.Tokens
	defer func() { g.refund(q, spent) }()
	h := g.hold(q)
	defer g.release(q)
	if e := g.begin(ctx, q); e != nil {
		return e
	}
	defer func() { g.Suspects.End(q.fingerprint, whole) }()
	var avoid []decide.UpstreamID
	var last *fault.Error // of the last attempt that was sent
	for {
		if e := g.suspect(q); e != nil {
			return ranSoFar(e, runs)
		}
		gr, e := g.place(ctx, c, q, avoid)
		if e != nil {
			g.unclaim(q, claimed && runs == 0)
			if last != nil && ctx.Err() == nil {
				e = last // what ended the attempt says more than that nobody else took it
			}
			return ranSoFar(e, runs)
		}
		if !q.kind.Repeatable && !claimed {
			if e := g.claim(ctx, q); e != nil {
				g.giveBack(gr, q, result{outcome: decide.Unused})
				return e
			}
			claimed = true
		}
		r := g.attempt(ctx, c, q, h, gr, d)
		r.first = clock.Milli(h.first.Load())
		g.giveBack(gr, q, r)
		if r.fault == nil {
			g.Retries.RecordSuccess(gr.pool)
			whole, spent = true, max(spent, used(q, r.usage))
			return nil
		}
		if !r.rests {
			avoid = append(avoid, gr.grant.Upstreams...)
		}
		if r.unsent {
			unsent++
		} else {
			runs++
			last, spent = r.fault, q.prompt+q.output
		}
		if !g.again(ctx, q, d, gr.pool, r, runs, unsent) {
			g.unclaim(q, claimed && runs == 0)
			return ranSoFar(r.fault, runs)
		}
		g.metrics.retried(q.target)
		g.note(q, timeline.Retried, gr.grant.Upstreams[0], "elsewhere")
	}
}

// again decides whether a failed attempt may be followed by another.
//
// Only when it cannot do harm: what was proved unsent may always go elsewhere;
// what may have run goes elsewhere once, only if it may be repeated and no byte
// of an answer reached the caller, and only within the pool's retry budget, so
// that a pool in trouble does not get its load a second time.
func (g *Gate) again(ctx context.Context, q *request, d dispatcher, pool peer.PoolID, r result, runs, unsent int) bool {
	if ctx.Err() != nil || d.started() {
		return false
	}
	if r.unsent {
		return unsent < maxUnsent
	}
	if !q.kind.Repeatable || runs >= maxRuns || r.outcome == decide.Canceled {
		return false
	}
	return g.Retries.Allow(pool)
}

// ranSoFar keeps a fault from claiming "not run" once a byte was sent.
func ranSoFar(e *fault.Error, runs int) *fault.Error {
	if runs > 0 && e.Ran == fault.RanNo {
		return e.WithRan(fault.RanMaybe)
	}
	return e
}

// suspect refuses a request that killed two upstreams.
func (g *Gate) suspect(q *request) *fault.Error {
	if g.Suspects.Check(q.fingerprint) != gate.Quarantined {
		return nil
	}
	return fault.New(fault.Quarantined, "two upstreams died running this request; it is not run again")
}

// begin waits until a request may run: a suspect waits while another copy of it
// runs on this VM, since two copies could cost a second and a third upstream
// before the second death is known.
func (g *Gate) begin(ctx context.Context, q *request) *fault.Error {
	for !g.Suspects.Begin(q.fingerprint) {
		if e := g.suspect(q); e != nil {
			return e
		}
		if ctx.Err() != nil {
			return ended(ctx).WithRan(fault.RanNo)
		}
		wait(ctx, lookAgain)
	}
	return nil
}

// limit holds the workspace to its rate of tokens, by the estimate of the request.
// A call of a plain service takes no tokens. Held back for the debt that a dossier
// of the same workspace left, an alert lookup would be refused for half a minute.
func (g *Gate) limit(q *request) *fault.Error {
	if q.prompt+q.output == 0 {
		return nil
	}
	retry := g.Limits.Take(decide.WorkspaceID(q.workspace.Name), q.prompt+q.output)
	if retry == 0 {
		return nil
	}
	return fault.New(fault.Limited, "workspace %s is over its rate of %g tokens a second", q.workspace.Name, float64(q.workspace.Rate)).WithRetry(retry)
}

// used is what a whole answer took of the rate.
func used(q *request, u peer.Usage) decide.Tokens {
	if u.Prompt == 0 {
		u.Prompt = q.prompt // the engine did not say
	}
	return u.Prompt + u.Output
}

// refund gives back what a request did not spend of its estimate: all of it where it was
// never sent, the unwritten part of its limit after a whole answer. A request that was
// sent and failed keeps the estimate, since its engine may have done the work.
func (g *Gate) refund(q *request, spent decide.Tokens) {
	if back := q.prompt + q.output - spent; back > 0 {
		g.Limits.Refund(decide.WorkspaceID(q.workspace.Name), back)
	}
}

// attempt sends the request under one grant.
func (g *Gate) attempt(ctx context.Context, c *document.Index, q *request, h *hold, gr granted, d dispatcher) result {
	u, ok := c.Upstream(string(gr.grant.Upstreams[0]))
	if !ok {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Unavailable, "upstream %s left the configuration", gr.grant.Upstreams[0])}
	}
	// This process may have stood still between the decision and now; a request
	// whose time is over must not be sent, and a claim that was won must not be used late.
	if g.Clock.Now() >= q.deadline {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Expired, "its allowed time ended before it was sent").WithRan(fault.RanNo)}
	}
	g.mu.Lock()
	h.granted, h.pool, h.grant, h.at, h.known = true, gr.pool, gr.grant, g.Clock.Now(), gr.owner
	h.first.Store(0)
	g.mu.Unlock()
	q.upstream = gr.grant.Upstreams[0]
	g.note(q, timeline.Sent, gr.grant.Upstreams[0], "")
	r := d.dispatch(ctx, gr, *u)
	g.mu.Lock()
	h.granted = false
	g.mu.Unlock()
	if r.outcome == decide.Lost && !r.unsent {
		g.Suspects.RecordCrash(q.fingerprint, gr.grant.Upstreams[0], 0)
	}
	rest := r.usage
	rest.Output = max(0, rest.Output-r.counted)
	if rest != (peer.Usage{}) {
		g.Meter.Count(decide.WorkspaceID(q.workspace.Name), rest)
	}
	if r.fault != nil {
		g.note(q, timeline.Failed, gr.grant.Upstreams[0], describe(r.fault))
		return r
	}
	g.note(q, timeline.Finished, gr.grant.Upstreams[0], "")
	return r
}

// acquire gets a grant from the best pool that takes the request.
func (g *Gate) acquire(ctx context.Context, c *document.Index, q *request, avoid []decide.UpstreamID) (granted, *fault.Error) {
	var refused *fault.Error
	until := time.Now().Add(lookFor)
	for {
		for _, id := range g.rank(c, q) {
			gr, e, answered := g.ask(ctx, id, q, avoid)
			if answered && e == nil {
				return gr, nil
			}
			if ctx.Err() != nil {
				return granted{}, g.nobody(ctx, q)
			}
			if answered && (refused == nil || hopeful(e, refused)) {
				refused = e
			}
		}
		if refused != nil {
			return granted{}, refused
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return granted{}, g.nobody(ctx, q)
		}
		wait(ctx, lookAgain)
	}
}

// hopeful tells whether a refusal gives its caller more than another: one that may end
// differently later goes before one that will not, then the one that may end first.
// A prompt that only the engines of one pool can take is not too long because those
// of the others are small.
func hopeful(e, than *fault.Error) bool {
	a, b := fault.Lookup(e.Kind).Retryable, fault.Lookup(than.Kind).Retryable
	if a != b {
		return a
	}
	return e.Retry < than.Retry
}

// nobody is the refusal when no owner answered in time. Nobody has looked its key up then.
// It says so, since other copies of the request may have been asked for elsewhere and have run.
func (g *Gate) nobody(ctx context.Context, q *request) *fault.Error {
	e := fault.New(fault.Unavailable, "no VM answers for this model or service").WithRetry(2000)
	if ctx.Err() != nil {
		e = ended(ctx).WithRan(fault.RanNo)
	}
	if !q.kind.Repeatable && q.ticket == nil {
		e = e.WithKey(fault.KeyUnknown)
	}
	return e
}

// ask asks the owners of a pool in turn; answered is false when none could be reached.
func (g *Gate) ask(ctx context.Context, id peer.PoolID, q *request, avoid []decide.UpstreamID) (gr granted, e *fault.Error, answered bool) {
	for i, m := range g.Members.Owners(id) {
		if i == maxOwners {
			break
		}
		args := peer.AcquireArgs{Stamp: g.Events.SendStamp(), Pool: id, Serial: g.asks.Add(1), Left: q.deadline - g.Clock.Now(), Request: g.describe(q, avoid)}
		var reply peer.AcquireReply
		err := g.Peers.Call(ctx, m.Address, "Pool.Acquire", args, &reply)
		if err != nil {
			// The owner may have granted it all the same.
			g.tell(m.Address, "Pool.Withdraw", peer.WithdrawArgs{Pool: id, Request: q.id, Serial: args.Serial})
			if ctx.Err() != nil {
				return gr, ended(ctx).WithRan(fault.RanNo), true
			}
			continue
		}
		g.Events.ReceiveStamp(reply.Stamp)
		g.Members.RecordSummary(id, reply.Summary)
		if reply.Fault == nil {
			return granted{pool: id, owner: m.Address, grant: reply.Grant}, nil, true
		}
		if reply.Fault.Kind == fault.Draining {
			continue
		}
		return gr, reply.Fault.Error(), true
	}
	return gr, nil, false
}

// maxOwners is how many members in a row are asked to own a pool before the
// gate waits for news of members.
const maxOwners = 3

func (g *Gate) describe(q *request, avoid []decide.UpstreamID) decide.Request {
	return decide.Request{
		ID: q.id, Workspace: decide.WorkspaceID(q.workspace.Name), Gate: g.ID(), Urgency: q.kind.Urgency,
		Prompt: q.prompt, Output: q.output, Prefixes: q.prefixes, Repeatable: q.kind.Repeatable,
		Avoid: avoid, Fingerprint: q.fingerprint, Suspect: g.Suspects.Check(q.fingerprint) == gate.Suspected,
	}
}

// rank orders pools by the wait that their owners expect, near ones first.
func (g *Gate) rank(c *document.Index, q *request) []peer.PoolID {
	type scored struct {
		id   peer.PoolID
		cost int64
	}
	domains := c.Domains(q.target)
	ss := make([]scored, 0, len(domains))
	for _, d := range domains {
		id := document.PoolOf(q.target, d)
		s := scored{id: id}
		if d != g.domain {
			s.cost += farther
		}
		if x, ok := g.Members.Summary(id); ok {
			s.cost += int64(expected(x, q))
		}
		ss = append(ss, s)
	}
	sort.SliceStable(ss, func(i, j int) bool { return ss[i].cost < ss[j].cost })
	ids := make([]peer.PoolID, len(ss))
	for i, s := range ss {
		ids[i] = s.id
	}
	return ids
}

// expected is the wait that a pool's owner expects for a request of this kind and
// length. Long ones wait for memory: ranked by the wait of short ones, they would all
// queue in the nearest pool, which looks idle, while others have memory free.
func expected(x decide.Summary, q *request) clock.Milli {
	waits := x.Wait
	if q.prompt >= decide.DefaultLongPrompt {
		waits = x.Long
	}
	return waits[min(int(q.kind.Urgency), len(waits)-1)]
}

// giveBack returns a grant in the background; the caller's answer does not wait for it.
func (g *Gate) giveBack(gr granted, q *request, r result) {
	args := peer.ReturnArgs{Stamp: g.Events.SendStamp(), Pool: gr.pool, Gate: g.ID(), Grant: gr.grant.ID, Request: q.id, Outcome: r.outcome, Usage: r.usage, First: r.first}
	g.tell(gr.owner, "Pool.Return", args)
	// The pool may have another owner by now, to which the grant was presented.
	if owners := g.Members.Owners(gr.pool); len(owners) > 0 && owners[0].Address != gr.owner {
		g.tell(owners[0].Address, "Pool.Return", args)
	}
}

// tell sends a message whose answer nobody needs. If it is lost, the lease of
// the grant ends and the owner finds out from the engine and from this gate.
func (g *Gate) tell(address, method string, args any) {
	g.background("tell", func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := g.Peers.Call(ctx, address, method, args, &peer.Empty{}); err != nil {
			g.Log.Debug().Str("method", method).Err(err).Msg("not sent")
		}
	})
}

// background runs what a request leaves to do beside its answer; Settle waits for it.
func (g *Gate) background(name string, f func()) {
	g.settling.Add(1)
	guard.Go(g.Log, name, func() {
		defer g.settling.Done()
		f()
	})
}

func (g *Gate) hold(q *request) *hold {
	h := &hold{deadline: q.deadline}
	g.mu.Lock()
	g.held[q.id] = h
	g.mu.Unlock()
	return h
}

func (g *Gate) release(q *request) {
	g.mu.Lock()
	delete(g.held, q.id)
	g.mu.Unlock()
}

// ended names the reason for which a request's context ended.
func ended(ctx context.Context) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(fault.Expired, "its allowed time ended")
	}
	return fault.New(fault.Canceled, "the caller went away")
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Times of the look at an upstream whose connection broke.
const (
	// lookDied bounds the look: one that stands still gives no sign either way.
	lookDied = time.Second
	// lookAlive is how long a new connection must stay open to prove life.
	lookAlive = 100 * time.Millisecond
	// lookDiedAgain is the wait after a connection that was cut off at once.
	lookDiedAgain = 20 * time.Millisecond
)

// died finds out whether an upstream whose connection broke is gone, by new
// connections on which it sends nothing: a plain service would run whatever
// request came, and count it.
//
// A process that crashes loses its open connections a moment before its listener,
// so the first look may still connect and be cut off. Taken for a sign of life, it
// would leave the death uncounted, and a request that crashes engines would get one
// more of them. So only a connection that stays proves life, only a refused one death.
func (g *Gate) died(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookDied)
	defer cancel()
	var d net.Dialer
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return ctx.Err() == nil
		}
		stays := staysOpen(c)
		_ = c.Close()
		if stays {
			return false
		}
		wait(ctx, lookDiedAgain)
	}
	return false
}

// staysOpen tells whether the other end leaves a new connection open for a while.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(lookAlive)); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

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
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Limits of attempts.
const (
	// maxSends is how many times a request may be sent to an upstream: once, and one more time to
	// another upstream. The cause of two failures is usually in the request itself, and
	// further attempts would harm more upstreams.
	maxSends = 2
	// maxUnsent is how many upstreams may prove unreachable before the request is refused.
	maxUnsent = 4
	// ownerSearchTimeout is how long a gate looks for an owner that responds. It is longer than the
	// VMs take to detect the loss of a member.
	ownerSearchTimeout = 5 * time.Second
	// pollInterval is the wait between two tries to reach an owner or to start a suspect request.
	pollInterval = 100 * time.Millisecond
	// crossDomainPenalty is added, in milliseconds, to the estimated wait of a pool in another
	// failure domain. It stands for the network round trip.
	crossDomainPenalty = 5
	// notifyTimeout bounds a message that reports the end of a request.
	notifyTimeout = 2 * time.Second
)

// dispatcher sends a granted request to its upstream and forwards the response.
type dispatcher interface {
	dispatch(ctx context.Context, pg poolGrant, u document.Upstream) result
	// started reports whether any byte of the response was sent to the client.
	started() bool
}

// poolGrant is a grant with the pool and the address of the owner that issued it.
type poolGrant struct {
	pool  peer.PoolID
	owner string
	grant decide.Grant
}

// result is the outcome of one attempt.
type result struct {
	// fault is nil for a complete response.
	fault *fault.Error
	// unsent is true if no byte of the request can have reached the upstream, or if the upstream
	// declared that it did not take the request.
	unsent bool
	// backoff is true if the upstream asked this VM for a back-off. The upstream is then avoided
	// until the back-off ends and not for the rest of the request.
	backoff bool
	outcome decide.Outcome
	usage   peer.Usage
	// firstToken is the time from the grant to the first token, zero if there was none.
	firstToken clock.Milli
	// metered is the part of usage.Output that the meter has already counted.
	metered decide.Tokens
}

// lasted reports whether a response had lasted so long that a crash of the upstream says nothing about the request. The
// arguments are the times since the grant and from the grant to the first token, zero if there was none.
func (r *result) lasted(since, first clock.Milli) bool {
	return first > 0 && since-first >= blame.ProveTime
}

// serve executes a request. It returns nil after d has forwarded a complete response, otherwise a
// fault.
func (g *Gate) serve(ctx context.Context, c *document.Index, q *request, d dispatcher) *fault.Error {
	if e := g.takeTokens(q); e != nil {
		return e
	}
	sends, unsent, claimed, completed := 0, 0, false, false
	var spent decide.Tokens
	defer func() { g.refund(q, spent) }()
	a := g.track(q)
	defer g.untrack(q)
	if e := g.waitForSuspect(ctx, q); e != nil {
		return e
	}
	defer func() { g.Suspects.End(q.fingerprint, completed) }()
	var avoid []decide.UpstreamID
	var last *fault.Error // of the last attempt whose request was sent
	for {
		if e := g.checkQuarantine(q); e != nil {
			return correctRan(e, sends)
		}
		pg, e := g.place(ctx, c, q, avoid)
		if e != nil {
			g.releaseClaim(q, claimed && sends == 0)
			if last != nil && ctx.Err() == nil {
				e = last // more useful to the client than the failure to find another upstream
			}
			return correctRan(e, sends)
		}
		if !q.kind.Repeatable && !claimed {
			if e := g.claim(ctx, q); e != nil {
				g.returnGrant(pg, q, result{outcome: decide.Unused})
				return e
			}
			claimed = true
		}
		r := g.attempt(ctx, c, q, a, pg, d)
		r.firstToken = clock.Milli(a.firstToken.Load())
		g.returnGrant(pg, q, r)
		if r.fault == nil {
			g.Retries.RecordSuccess(pg.pool)
			completed, spent = true, max(spent, tokensUsed(q, r.usage))
			return nil
		}
		if !r.backoff {
			avoid = append(avoid, pg.grant.Upstreams...)
		}
		if r.unsent {
			unsent++
		} else {
			sends++
			last, spent = r.fault, q.prompt+q.output
		}
		if !g.mayRetry(ctx, q, d, pg.pool, r, sends, unsent) {
			g.releaseClaim(q, claimed && sends == 0)
			return correctRan(r.fault, sends)
		}
		g.metrics.countRetry(q.target)
		g.recordEvent(q, timeline.Retried, pg.grant.Upstreams[0], "elsewhere")
	}
}

// mayRetry decides whether another attempt may follow a failed one.
//
// A request that certainly did not run may always go to another upstream. A request that may have
// run is sent once more, and only if its kind is repeatable, no byte of the response has reached
// the client, and the pool's retry budget allows the attempt, so that failures do not double the
// load of an overloaded pool.
func (g *Gate) mayRetry(ctx context.Context, q *request, d dispatcher, pool peer.PoolID, r result, sends, unsent int) bool {
	if ctx.Err() != nil || d.started() {
		return false
	}
	if r.unsent {
		return unsent < maxUnsent
	}
	if !q.kind.Repeatable || sends >= maxSends || r.outcome == decide.Canceled {
		return false
	}
	return g.Retries.Allow(pool)
}

// correctRan changes "not run" in a fault to "may have run" if the request was sent at least once.
func correctRan(e *fault.Error, sends int) *fault.Error {
	if sends > 0 && e.Ran == fault.RanNo {
		return e.WithRan(fault.RanMaybe)
	}
	return e
}

// checkQuarantine refuses a request that crashed two upstreams.
func (g *Gate) checkQuarantine(q *request) *fault.Error {
	if g.Suspects.Check(q.fingerprint) != gate.Quarantined {
		return nil
	}
	return fault.New(fault.Quarantined, "two upstreams died running this request; it is not run again")
}

// waitForSuspect waits until the request may run. A suspect request waits while another copy of it
// runs on this VM, since two copies could crash a second and a third upstream before the second
// crash is known.
func (g *Gate) waitForSuspect(ctx context.Context, q *request) *fault.Error {
	for !g.Suspects.Begin(q.fingerprint) {
		if e := g.checkQuarantine(q); e != nil {
			return e
		}
		if ctx.Err() != nil {
			return contextFault(ctx).WithRan(fault.RanNo)
		}
		sleep(ctx, pollInterval)
	}
	return nil
}

// takeTokens charges the request's estimated tokens to the rate of its workspace, and refuses the
// request if the workspace exceeds its rate. Calls of plain services take no tokens: otherwise an
// urgent lookup could be refused for half a minute because the same workspace sent a very long
// prompt before.
func (g *Gate) takeTokens(q *request) *fault.Error {
	if q.prompt+q.output == 0 {
		return nil
	}
	retry := g.Limits.Take(decide.WorkspaceID(q.workspace.Name), q.prompt+q.output)
	if retry == 0 {
		return nil
	}
	return fault.New(fault.Limited, "workspace %s is over its rate of %g tokens a second", q.workspace.Name, float64(q.workspace.Rate)).WithRetry(retry)
}

// tokensUsed returns the tokens that a completed request used of its workspace's rate.
func tokensUsed(q *request, u peer.Usage) decide.Tokens {
	if u.Prompt == 0 {
		u.Prompt = q.prompt // the engine did not report usage
	}
	return u.Prompt + u.Output
}

// refund returns the unused part of the estimate: all of it if the request was never sent, and the
// unused output limit after a complete response. A request that was sent and failed gets no refund,
// since the engine may have done the work.
func (g *Gate) refund(q *request, spent decide.Tokens) {
	if unused := q.prompt + q.output - spent; unused > 0 {
		g.Limits.Refund(decide.WorkspaceID(q.workspace.Name), unused)
	}
}

// attempt sends the request under one grant.
func (g *Gate) attempt(ctx context.Context, c *document.Index, q *request, a *activeRequest, pg poolGrant, d dispatcher) result {
	u, ok := c.Upstream(string(pg.grant.Upstreams[0]))
	if !ok {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Unavailable, "upstream %s left the configuration", pg.grant.Upstreams[0])}
	}
	// The process may have been paused since the grant was received. A request must not be sent
	// after its deadline, nor under a claim that was won long ago.
	if g.Clock.Now() >= q.deadline {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Expired, "its allowed time ended before it was sent").WithRan(fault.RanNo)}
	}
	g.mu.Lock()
	a.granted, a.pool, a.grant, a.grantedAt, a.knownBy = true, pg.pool, pg.grant, g.Clock.Now(), pg.owner
	a.firstToken.Store(0)
	g.mu.Unlock()
	q.upstream = pg.grant.Upstreams[0]
	g.recordEvent(q, timeline.Sent, pg.grant.Upstreams[0], "")
	r := d.dispatch(ctx, pg, *u)
	g.mu.Lock()
	a.granted = false
	lasted := r.lasted(g.Clock.Now()-a.grantedAt, clock.Milli(a.firstToken.Load()))
	g.mu.Unlock()
	if r.outcome == decide.Lost && !r.unsent && !lasted {
		g.Suspects.RecordCrash(q.fingerprint, pg.grant.Upstreams[0], 0)
	}
	unmetered := r.usage
	unmetered.Output = max(0, unmetered.Output-r.metered)
	if unmetered != (peer.Usage{}) {
		g.Meter.Count(decide.WorkspaceID(q.workspace.Name), unmetered)
	}
	if r.fault != nil {
		g.recordEvent(q, timeline.Failed, pg.grant.Upstreams[0], timelineText(r.fault))
		return r
	}
	g.recordEvent(q, timeline.Finished, pg.grant.Upstreams[0], "")
	return r
}

// acquire obtains a grant from the best-ranked pool that accepts the request.
func (g *Gate) acquire(ctx context.Context, c *document.Index, q *request, avoid []decide.UpstreamID) (poolGrant, *fault.Error) {
	var refused *fault.Error
	giveUpAt := time.Now().Add(ownerSearchTimeout)
	for {
		for _, id := range g.rankPools(c, q) {
			pg, e, answered := g.acquireFrom(ctx, id, q, avoid)
			if answered && e == nil {
				return pg, nil
			}
			if ctx.Err() != nil {
				return poolGrant{}, g.noOwner(ctx, q)
			}
			if answered && e.Kind == fault.Quarantined {
				return poolGrant{}, e // it would crash upstreams of the other pools as well
			}
			if answered && (refused == nil || preferRefusal(e, refused)) {
				refused = e
			}
		}
		if refused != nil {
			return poolGrant{}, refused
		}
		if ctx.Err() != nil || time.Now().After(giveUpAt) {
			return poolGrant{}, g.noOwner(ctx, q)
		}
		sleep(ctx, pollInterval)
	}
}

// preferRefusal reports whether a refusal is more useful to the client than another one. A refusal
// that permits a retry is preferred, then the one with the earlier retry time. For example, a
// prompt may be too long for the engines of one pool and fit the busy engines of another: the
// client should get the refusal of the busy pool.
func preferRefusal(e, other *fault.Error) bool {
	retryable, otherRetryable := fault.Lookup(e.Kind).Retryable, fault.Lookup(other.Kind).Retryable
	if retryable != otherRetryable {
		return retryable
	}
	return e.Retry < other.Retry
}

// noOwner returns the refusal of a request for which no owner responded. The state of a
// non-repeatable request's key is then reported as unknown, since the key was not looked up and an
// earlier request under it may have run on another VM.
func (g *Gate) noOwner(ctx context.Context, q *request) *fault.Error {
	e := fault.New(fault.Unavailable, "no VM answers for this model or service").WithRetry(2000)
	if ctx.Err() != nil {
		e = contextFault(ctx).WithRan(fault.RanNo)
	}
	if !q.kind.Repeatable && q.ticket == nil {
		e = e.WithKey(fault.KeyUnknown)
	}
	return e
}

// acquireFrom requests a grant from the owners of a pool in turn. The result answered is false if
// none of them responded.
func (g *Gate) acquireFrom(ctx context.Context, id peer.PoolID, q *request, avoid []decide.UpstreamID) (pg poolGrant, e *fault.Error, answered bool) {
	for i, m := range g.Members.Owners(id) {
		if i == maxOwners {
			break
		}
		args := peer.AcquireArgs{Stamp: g.Events.SendStamp(), Pool: id, Serial: g.acquireSerial.Add(1), Left: q.deadline - g.Clock.Now(), Request: g.placementRequest(q, avoid)}
		var reply peer.AcquireReply
		err := g.Peers.Call(ctx, m.Address, "Pool.Acquire", args, &reply)
		if err != nil {
			// The owner may have granted the request although its reply was lost.
			g.notify(m.Address, "Pool.Withdraw", peer.WithdrawArgs{Pool: id, Request: q.id, Serial: args.Serial})
			if ctx.Err() != nil {
				return pg, contextFault(ctx).WithRan(fault.RanNo), true
			}
			continue
		}
		g.Events.ReceiveStamp(reply.Stamp)
		g.Members.RecordSummary(id, reply.Summary)
		if reply.Fault == nil {
			return poolGrant{pool: id, owner: m.Address, grant: reply.Grant}, nil, true
		}
		if reply.Fault.Kind == fault.Draining {
			continue
		}
		return pg, reply.Fault.Error(), true
	}
	return pg, nil, false
}

// maxOwners is how many candidate owners of a pool are asked in turn before the gate waits for an
// update of the membership.
const maxOwners = 3

func (g *Gate) placementRequest(q *request, avoid []decide.UpstreamID) decide.Request {
	return decide.Request{
		ID: q.id, Workspace: decide.WorkspaceID(q.workspace.Name), Gate: g.ID(), Urgency: q.kind.Urgency,
		Prompt: q.prompt, Output: q.output, Prefixes: q.prefixes, Repeatable: q.kind.Repeatable,
		Avoid: avoid, Fingerprint: q.fingerprint, Parts: q.parts, Suspect: g.Suspects.Check(q.fingerprint) == gate.Suspected,
	}
}

// rankPools orders the target's pools by the wait that their owners expect. Pools in other failure
// domains get a penalty.
func (g *Gate) rankPools(c *document.Index, q *request) []peer.PoolID {
	type scored struct {
		id   peer.PoolID
		cost int64
	}
	domains := c.Domains(q.target)
	pools := make([]scored, 0, len(domains))
	for _, d := range domains {
		id := document.PoolOf(q.target, d)
		s := scored{id: id}
		if d != g.domain {
			s.cost += crossDomainPenalty
		}
		if x, ok := g.Members.Summary(id); ok {
			s.cost += int64(expectedWait(x, q))
		}
		pools = append(pools, s)
	}
	sort.SliceStable(pools, func(i, j int) bool { return pools[i].cost < pools[j].cost })
	ids := make([]peer.PoolID, len(pools))
	for i, s := range pools {
		ids[i] = s.id
	}
	return ids
}

// expectedWait returns the wait that a pool's owner expects for a request of this urgency and
// prompt length. Long prompts have an estimate of their own, since they wait for memory: ranked by
// the wait of short prompts, they would all queue in the nearest pool although other pools have
// free memory.
func expectedWait(summary decide.Summary, q *request) clock.Milli {
	waits := summary.Wait
	if q.prompt >= decide.DefaultLongPrompt {
		waits = summary.Long
	}
	return waits[min(int(q.kind.Urgency), len(waits)-1)]
}

// returnGrant returns a grant in the background, so that the response to the client is not delayed.
func (g *Gate) returnGrant(pg poolGrant, q *request, r result) {
	args := peer.ReturnArgs{Stamp: g.Events.SendStamp(), Pool: pg.pool, Gate: g.ID(), Grant: pg.grant.ID, Request: q.id, Outcome: r.outcome, Usage: r.usage, First: r.firstToken}
	g.notify(pg.owner, "Pool.Return", args)
	// The grant may meanwhile have been presented to a new owner of the pool.
	if owners := g.Members.Owners(pg.pool); len(owners) > 0 && owners[0].Address != pg.owner {
		g.notify(owners[0].Address, "Pool.Return", args)
	}
}

// notify sends a message in the background and ignores the reply. If the message is lost, the owner
// still learns of the end: the lease of the grant expires, and the owner asks the engine and this
// gate.
func (g *Gate) notify(address, method string, args any) {
	g.background("tell", func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := g.Peers.Call(ctx, address, method, args, &peer.Empty{}); err != nil {
			g.Log.Debug().Str("method", method).Err(err).Msg("message to owner not answered; grant will end with its lease")
		}
	})
}

// background runs work that outlives its request. WaitBackground waits for this work.
func (g *Gate) background(name string, f func()) {
	g.pending.Add(1)
	guard.Go(g.Log, name, func() {
		defer g.pending.Done()
		f()
	})
}

func (g *Gate) track(q *request) *activeRequest {
	a := &activeRequest{deadline: q.deadline}
	g.mu.Lock()
	g.active[q.id] = a
	g.mu.Unlock()
	return a
}

func (g *Gate) untrack(q *request) {
	g.mu.Lock()
	delete(g.active, q.id)
	g.mu.Unlock()
}

// contextFault returns the fault for a context that ended: expired or canceled.
func contextFault(ctx context.Context) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(fault.Expired, "its allowed time ended")
	}
	return fault.New(fault.Canceled, "the caller went away")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Times of the check whether an upstream crashed, made after its connection broke.
const (
	// crashCheckTimeout bounds the check. An upstream on a paused machine neither accepts nor
	// refuses connections, so the check would not end by itself.
	crashCheckTimeout = time.Second
	// crashCheckOpenTime is how long a new connection must stay open to prove that the upstream is
	// running.
	crashCheckOpenTime = 100 * time.Millisecond
	// crashCheckInterval is the wait after a new connection that was closed at once.
	crashCheckInterval = 20 * time.Millisecond
)

// crashed checks whether an upstream whose connection broke has crashed. It opens new connections
// and sends nothing on them, since a plain service would run and count any request.
//
// A crashing process loses its open connections shortly before its listening socket, so a new
// connection may still be accepted and then closed. If that counted as running, the crash would not
// be recorded, and a poison request would crash one more engine than permitted. So only a
// connection that stays open proves that the upstream runs, and only a refused connection proves
// that it crashed.
func (g *Gate) crashed(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c, err := g.Engines.Dial(ctx, address)
		if err != nil {
			return ctx.Err() == nil && !dial.ErrNoPath.Has(err)
		}
		stays := staysOpen(c)
		_ = c.Close()
		if stays {
			return false
		}
		sleep(ctx, crashCheckInterval)
	}
	return false
}

// unsentOutcome returns the outcome of a grant for which no connection was opened. If that may be the fault of this VM's
// own paths, it says nothing about the upstream.
func unsentOutcome(err error) decide.Outcome {
	if dial.ErrNoPath.Has(err) {
		return decide.Unused
	}
	return decide.Unreached
}

// staysOpen reports whether the other end keeps a new connection open for crashCheckOpenTime.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(crashCheckOpenTime)); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

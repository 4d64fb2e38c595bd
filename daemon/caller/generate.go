package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/retryafter"
	"snipeshift.example/lib/timeline"
)

// Time limits of generation requests.
const (
	// defaultIdleTimeout is the longest time between two tokens if the configuration
	// document sets none.
	defaultIdleTimeout = 10 * clock.Second
	// cancelTimeout bounds one attempt to cancel a request at its engine.
	cancelTimeout = 2 * time.Second
	// cancelAttempts is how many times a cancel is sent. If all fail, the pool's owner finds and
	// frees the memory later.
	cancelAttempts = 2
	// reserveTimeout bounds reserving memory on the other engines of a group.
	reserveTimeout = 2 * time.Second
)

// generate handles chat completions and text completions.
func (g *Gate) generate(w http.ResponseWriter, r *http.Request) {
	c, ok := g.Registry.Index()
	if !ok {
		g.writeError(w, g.newRequestID(g.Clock.Now()), noConfiguration())
		return
	}
	q, e := g.identify(r, c, "")
	if e != nil {
		g.writeError(w, q.id, e)
		return
	}
	q.chat = r.URL.Path == "/v1/chat/completions"
	b, e := g.readBody(w, r, c, q)
	if e == nil {
		e = q.parse(b, c)
	}
	if e != nil {
		g.writeError(w, q.id, e)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - g.Clock.Now()).Duration())
	defer cancel()
	g.recordEvent(q, timeline.Arrived, "", q.kind.Name)
	s := g.newSink(w, q)
	defer s.reset()
	x := &generation{gate: g, q: q, sink: s, path: r.URL.Path, idleTimeout: c.Document().Limits.Idle, index: c}
	e = g.serve(ctx, c, q, x)
	g.recordOutcome(q, e)
	if e != nil {
		g.finishFailed(w, q, s, e)
	}
	g.metrics.observeRequest(q, g.Clock.Now())
}

// finishFailed ends the response of a request that failed. A repeat of an answered key gets the
// stored response instead.
func (g *Gate) finishFailed(w http.ResponseWriter, q *request, s sink, e *fault.Error) {
	if q.stored != nil && q.stored.Status != 0 {
		g.writeStored(w, q)
		return
	}
	if s.started() {
		s.fail(e)
		g.metrics.countError(e.Kind, e.Ran)
		return
	}
	g.writeError(w, q.id, e)
}

// writeStored responds to a repeat of an idempotency key with the stored response.
func (g *Gate) writeStored(w http.ResponseWriter, q *request) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(q.id))
	h.Set("Idempotent-Replayed", "true")
	g.setConnectionHeader(h)
	g.setWriteDeadline(http.NewResponseController(w), q)
	w.WriteHeader(q.stored.Status)
	_, _ = w.Write(q.stored.Answer)
}

func noConfiguration() *fault.Error {
	return fault.New(fault.Unavailable, "this VM has no configuration yet").WithRetry(2 * clock.Second)
}

// generation dispatches one request to engines.
type generation struct {
	gate        *Gate
	q           *request
	sink        sink
	path        string
	idleTimeout clock.Milli
	index       *document.Index
	// metered is the attempt's output that the meter has already counted.
	metered decide.Tokens
}

func (x *generation) started() bool { return x.sink.started() }

// dispatch runs the request on the engines of a grant.
func (x *generation) dispatch(ctx context.Context, pg poolGrant, u document.Upstream) result {
	x.metered = 0
	r := x.run(ctx, pg, u)
	r.metered = x.metered
	return r
}

func (x *generation) run(ctx context.Context, pg poolGrant, u document.Upstream) result {
	if e := x.reserveGroup(ctx, pg); e != nil {
		x.cancelAll(pg)
		return result{fault: e, unsent: true, outcome: decide.Unused}
	}
	x.sink.reset()
	idle := x.idleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	call := engine.Call{
		Address: u.Address, Path: x.path, Body: x.q.body, Once: !x.q.kind.Repeatable, Request: x.q.id,
		Priority: pg.grant.Priority, Reserve: pg.grant.Reserved, Grant: pg.grant.ID, Group: pg.grant.Upstreams, IdempotencyKey: x.q.idempotencyKey, Output: x.q.output,
	}
	// During the prefill of a long prompt no tokens arrive, so a broken kept-alive connection would
	// only be detected at the deadline. The cost of a new connection is negligible beside such a
	// prefill.
	call.Once = call.Once || x.q.prompt > shortPromptTokens
	s, err := x.gate.Engines.Start(ctx, call, x.firstTokenTimeout(u), idle.Duration())
	if err != nil {
		return x.failure(ctx, pg, u, err, peer.Usage{})
	}
	var usage peer.Usage
	err = s.Each(func(c engine.Chunk) error { return x.forwardChunk(c, &usage) })
	if err == nil {
		err = x.sink.finish()
		if err == nil || errors.Is(err, errClientWrite) {
			// The response is complete, even if the client has disconnected. The client will retry
			// with the same key and must then get this response, not a refusal because the key is
			// in use.
			x.gate.settleClaim(x.q, http.StatusOK, x.sink.responseBody())
		}
	}
	if err != nil {
		return x.failure(ctx, pg, u, err, usage)
	}
	usage.Requests = 1
	x.releaseGroup(pg)
	return result{outcome: decide.Done, usage: usage}
}

// firstTokenTimeout returns how long the first event may take. A long prompt may use all the time
// until its deadline, since its prefill emits nothing. A short prompt gets half of that time, so
// that another engine can still be tried if the kept-alive connection is broken, but at least
// prefillTimeoutFactor times its rated prefill time plus one second, so that a busy engine does not
// count as unresponsive.
func (x *generation) firstTokenTimeout(u document.Upstream) time.Duration {
	left := x.q.deadline - x.gate.Clock.Now()
	if x.q.prompt > shortPromptTokens || u.Prefill <= 0 {
		return left.Duration()
	}
	prefill := clock.Milli(float64(x.q.prompt) / float64(u.Prefill) * float64(clock.Second))
	return min(left, max(left/2, prefillTimeoutFactor*prefill+clock.Second)).Duration()
}

// prefillTimeoutFactor is the multiple of the rated prefill time that a short prompt may take until
// its first token.
const prefillTimeoutFactor = 3

// shortPromptTokens is the longest prompt, in tokens, whose prefill takes only a small part of any
// permitted time.
const shortPromptTokens = 16 << 10

// forwardChunk counts the tokens of a chunk and forwards the chunk to the client.
func (x *generation) forwardChunk(c engine.Chunk, usage *peer.Usage) error {
	if c.Tokens > 0 {
		usage.Output += c.Tokens
		x.metered += c.Tokens
		// Tokens are counted on arrival, so that a crash of this VM loses only the counts not yet
		// sent to other VMs.
		x.gate.Meter.Count(decide.WorkspaceID(x.q.workspace.Name), peer.Usage{Output: c.Tokens})
		x.gate.countToken(x.q)
	}
	if c.Usage != nil {
		usage.Prompt, usage.Output, usage.Cached = c.Usage.Prompt, c.Usage.Output, c.Usage.Details.Cached
		if c.Choices == 0 && x.q.stream && !x.q.includeUsage {
			return nil
		}
	}
	return x.sink.writeChunk(c)
}

// countToken records the arrival of one token of a request.
func (g *Gate) countToken(q *request) {
	g.mu.Lock()
	a := g.active[q.id]
	g.mu.Unlock()
	if a == nil {
		return
	}
	a.output.Add(1)
	now := g.Clock.Now()
	if a.firstToken.CompareAndSwap(0, max(1, int64(now-a.grantedAt))) {
		g.metrics.observeFirstToken(q, now)
		g.recordEvent(q, timeline.Streaming, "", "")
	}
}

// reserveGroup reserves memory on the other engines of a group. It fails if any of the reservations
// fails.
func (x *generation) reserveGroup(ctx context.Context, pg poolGrant) *fault.Error {
	if len(pg.grant.Upstreams) < 2 {
		return nil
	}
	// Without this limit, a paused engine would block the whole group until the request's deadline.
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	for _, id := range pg.grant.Upstreams[1:] {
		u, ok := x.index.Upstream(string(id))
		if !ok {
			return fault.New(fault.Unavailable, "upstream %s left the configuration", id)
		}
		eg.Go(func() error {
			err := x.gate.Engines.Reserve(ctx, u.Address, x.q.id, pg.grant.Reserved)
			x.gate.noteBackoff(x.q.target, id, err)
			return err
		})
	}
	if err := eg.Wait(); err != nil {
		return fault.New(fault.Unavailable, "a group of engines could not be reserved").WithRetry(clock.Second)
	}
	return nil
}

// failure classifies a failed attempt and frees what the engines may still hold.
func (x *generation) failure(ctx context.Context, pg poolGrant, u document.Upstream, err error, usage peer.Usage) result {
	if engine.ErrNotSent.Has(err) {
		x.cancelAll(pg)
		return result{unsent: true, outcome: unsentOutcome(err), usage: usage, fault: fault.New(fault.Unavailable, "upstream %s cannot be reached", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		return x.statusFailure(pg, u, status)
	}
	x.cancelAll(pg)
	if usage.Output > 0 && usage.Prompt == 0 {
		usage.Prompt = x.q.prompt
	}
	r := result{outcome: decide.Failed, usage: usage}
	switch {
	case ctx.Err() != nil:
		r.outcome = decide.Canceled
		r.fault = contextFault(ctx)
	case errors.Is(err, errClientWrite):
		r.outcome = decide.Canceled
		r.fault = fault.New(fault.Canceled, "the caller went away")
	case x.gate.crashed(u.Address):
		r.outcome = decide.Lost
		r.fault = fault.New(fault.Upstream, "upstream %s died", u.Name)
	case engine.ErrIdleTimeout.Has(err):
		x.gate.Engines.CloseIdle()
		r.fault = fault.New(fault.Upstream, "upstream %s went silent", u.Name)
	default:
		r.fault = fault.New(fault.Incomplete, "the answer of upstream %s stopped: %s", u.Name, interruptionText(err))
	}
	if usage.Output > 0 {
		r.fault = r.fault.WithRan(fault.RanYes)
	} else {
		r.fault = r.fault.WithRan(fault.RanMaybe)
	}
	if !x.q.kind.Repeatable && usage.Output == 0 {
		r.fault = fault.New(fault.Indeterminate, "sent to upstream %s, and its outcome is not known: %s", u.Name, r.fault.Text)
	}
	return r
}

// interruptionText describes to the client why a stream stopped, without naming the upstream's
// address.
func interruptionText(err error) string {
	switch {
	case engine.ErrMismatch.Has(err):
		return "it was mixed up with another"
	case engine.ErrIdleTimeout.Has(err):
		return "it went silent"
	}
	return "the connection broke"
}

// statusFailure classifies an error status of the leading engine.
func (x *generation) statusFailure(pg poolGrant, u document.Upstream, s *engine.StatusError) result {
	if retryafter.IsRejection(s.Status) {
		// The leader did not take the request, and a cancel would violate the back-off that it may
		// have asked for. Only the other engines of the group hold memory.
		x.releaseGroup(pg)
		backoff := x.gate.noteBackoff(x.q.target, pg.grant.Upstreams[0], s)
		return result{unsent: true, backoff: backoff, outcome: decide.Failed, fault: fault.New(fault.Unavailable, "upstream %s takes no work", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	// The other engines of a group hold memory, whatever status the leader returned.
	x.cancelAll(pg)
	switch s.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return result{outcome: decide.Failed, fault: fault.New(fault.Malformed, "the engine refused the request: %s", s.Text)}
	}
	return result{outcome: decide.Failed, fault: fault.New(fault.Upstream, "upstream %s answered %d", u.Name, s.Status)}
}

// releaseGroup frees the memory reserved on the other engines of a group. The leader frees its own
// at the end of the response.
func (x *generation) releaseGroup(pg poolGrant) {
	for _, id := range pg.grant.Upstreams[1:] {
		if u, ok := x.index.Upstream(string(id)); ok {
			x.gate.background("cancel", func() { x.gate.cancelAtEngine(u.Address, x.q.id) })
		}
	}
}

// cancelAll cancels the request at all engines of a grant, in the background.
func (x *generation) cancelAll(pg poolGrant) {
	for _, id := range pg.grant.Upstreams {
		if u, ok := x.index.Upstream(string(id)); ok {
			x.gate.background("cancel", func() { x.gate.cancelAtEngine(u.Address, x.q.id) })
		}
	}
}

func (g *Gate) cancelAtEngine(address string, id decide.RequestID) {
	for range cancelAttempts {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		err := g.Engines.Cancel(ctx, address, id)
		stop()
		if err == nil {
			return
		}
		g.Log.Debug().Str("request", string(id)).Err(err).Msg("engine did not answer cancel")
	}
}

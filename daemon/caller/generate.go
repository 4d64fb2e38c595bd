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

// Times of a generation.
const (
	// defaultIdle is the longest silence between two tokens where the document names none.
	defaultIdle = 10 * clock.Second
	// cancelTimeout bounds the cancel of a request at its engine.
	cancelTimeout = 2 * time.Second
	// cancelTries is how often a cancel is sent; after that the owner's reaper finds the memory.
	cancelTries = 2
	// reserveTimeout bounds the taking of memory on the other engines of a group.
	reserveTimeout = 2 * time.Second
)

// generate serves chat completions and completions.
func (g *Gate) generate(w http.ResponseWriter, r *http.Request) {
	c, ok := g.Registry.Index()
	if !ok {
		g.refuse(w, g.newID(g.Clock.Now()), noDocument())
		return
	}
	q, e := g.identify(r, c, "")
	if e != nil {
		g.refuse(w, q.id, e)
		return
	}
	q.chat = r.URL.Path == "/v1/chat/completions"
	b, e := g.read(w, r, c, q)
	if e == nil {
		e = q.parse(b, c)
	}
	if e != nil {
		g.refuse(w, q.id, e)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - g.Clock.Now()).Duration())
	defer cancel()
	g.note(q, timeline.Arrived, "", q.kind.Name)
	s := g.newSink(w, q)
	x := &generation{gate: g, q: q, sink: s, path: r.URL.Path, idle: c.Document().Limits.Idle, catalog: c}
	e = g.serve(ctx, c, q, x)
	g.conclude(q, e)
	if e != nil {
		g.end(w, q, s, e)
	}
	g.metrics.served(q, g.Clock.Now())
}

// end gives the final answer of a request that failed, at once.
func (g *Gate) end(w http.ResponseWriter, q *request, s sink, e *fault.Error) {
	if q.replay != nil && q.replay.Status != 0 {
		g.replay(w, q)
		return
	}
	if s.started() {
		s.fail(e)
		g.metrics.refused(e.Kind, e.Ran)
		return
	}
	g.refuse(w, q.id, e)
}

// replay answers a repeat of a key with the answer that was kept.
func (g *Gate) replay(w http.ResponseWriter, q *request) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(q.id))
	h.Set("Idempotent-Replayed", "true")
	g.finishHeaders(h)
	g.limitWrite(http.NewResponseController(w), q)
	w.WriteHeader(q.replay.Status)
	_, _ = w.Write(q.replay.Answer)
}

func noDocument() *fault.Error {
	return fault.New(fault.Unavailable, "this VM has no configuration yet").WithRetry(2 * clock.Second)
}

// generation dispatches one request to engines.
type generation struct {
	gate    *Gate
	q       *request
	sink    sink
	path    string
	idle    clock.Milli
	catalog *document.Index
	// counted is what of an attempt's output is counted already.
	counted decide.Tokens
}

func (x *generation) started() bool { return x.sink.started() }

// dispatch runs the request on the engines of a grant.
func (x *generation) dispatch(ctx context.Context, gr granted, u document.Upstream) result {
	x.counted = 0
	r := x.run(ctx, gr, u)
	r.counted = x.counted
	return r
}

func (x *generation) run(ctx context.Context, gr granted, u document.Upstream) result {
	if e := x.reserve(ctx, gr); e != nil {
		x.cancel(gr)
		return result{fault: e, unsent: true, outcome: decide.Unused}
	}
	x.sink.begin()
	idle := x.idle
	if idle <= 0 {
		idle = defaultIdle
	}
	call := engine.Call{
		Address: u.Address, Path: x.path, Body: x.q.body, Once: !x.q.kind.Repeatable, Request: x.q.id,
		Priority: gr.grant.Priority, Reserve: gr.grant.Reserved, Grant: gr.grant.ID, Group: gr.grant.Upstreams, IdempotencyKey: x.q.key,
	}
	// A long prompt may be silent for as long as its prefill takes, so a kept connection
	// that has gone silent would show only at its deadline; a dial costs it nothing.
	call.Once = call.Once || x.q.prompt > shortPrompt
	s, err := x.gate.Engines.Start(ctx, call, x.firstWait(u), idle.Duration())
	if err != nil {
		return x.failed(ctx, gr, u, err, peer.Usage{})
	}
	var usage peer.Usage
	err = s.Each(func(c engine.Chunk) error { return x.pass(c, &usage) })
	if err == nil {
		err = x.sink.done()
		if err == nil || errors.Is(err, errCaller) {
			// The answer is whole, also where its caller is gone: it will ask again with
			// the same key, and must find the answer and not a key that is taken for good.
			x.gate.answered(x.q, http.StatusOK, x.sink.answer())
		}
	}
	if err != nil {
		return x.failed(ctx, gr, u, err, usage)
	}
	usage.Requests = 1
	x.dismiss(gr)
	return result{outcome: decide.Done, usage: usage}
}

// firstWait is how long the first event may take: the whole allowed time for a
// long prompt, since its prefill is not silence. A short one is given up while
// half of its time is left for another engine, or its alert would end unanswered
// on a kept connection that went silent; but not before the engine had three
// times what its prefill takes, so that a busy engine is not taken for a silent one.
func (x *generation) firstWait(u document.Upstream) time.Duration {
	left := x.q.deadline - x.gate.Clock.Now()
	if x.q.prompt > shortPrompt || u.Prefill <= 0 {
		return left.Duration()
	}
	prefill := clock.Milli(float64(x.q.prompt) / float64(u.Prefill) * float64(clock.Second))
	return min(left, max(left/2, patience*prefill+clock.Second)).Duration()
}

// patience is how many times its rated prefill a short prompt may take to its first token.
const patience = 3

// shortPrompt is the longest prompt whose prefill takes a small part of any allowed time, in tokens.
const shortPrompt = 16 << 10

// pass hands one chunk on and counts it.
func (x *generation) pass(c engine.Chunk, usage *peer.Usage) error {
	if c.Tokens > 0 {
		usage.Output += c.Tokens
		x.counted += c.Tokens
		// Counted as they come: of a gate that dies, only what its neighbours
		// did not hear of yet is lost.
		x.gate.Meter.Count(decide.WorkspaceID(x.q.workspace.Name), peer.Usage{Output: c.Tokens})
		x.gate.token(x.q)
	}
	if c.Usage != nil {
		usage.Prompt, usage.Output, usage.Cached = c.Usage.Prompt, c.Usage.Output, c.Usage.Details.Cached
		if c.Choices == 0 && x.q.stream && !x.q.usage {
			return nil
		}
	}
	return x.sink.chunk(c)
}

// token notes one more token of a request.
func (g *Gate) token(q *request) {
	g.mu.Lock()
	h := g.held[q.id]
	g.mu.Unlock()
	if h == nil {
		return
	}
	h.output.Add(1)
	now := g.Clock.Now()
	if h.first.CompareAndSwap(0, max(1, int64(now-h.at))) {
		g.metrics.first(q, now)
		g.note(q, timeline.Streaming, "", "")
	}
}

// reserve takes memory on the other engines of a group, all or none.
func (x *generation) reserve(ctx context.Context, gr granted) *fault.Error {
	if len(gr.grant.Upstreams) < 2 {
		return nil
	}
	// A member that stands still would hold the whole group until the request's deadline.
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	for _, id := range gr.grant.Upstreams[1:] {
		u, ok := x.catalog.Upstream(string(id))
		if !ok {
			return fault.New(fault.Unavailable, "upstream %s left the configuration", id)
		}
		eg.Go(func() error {
			err := x.gate.Engines.Reserve(ctx, u.Address, x.q.id, gr.grant.Reserved)
			x.gate.hear(x.q.target, id, err)
			return err
		})
	}
	if err := eg.Wait(); err != nil {
		return fault.New(fault.Unavailable, "a group of engines could not be reserved").WithRetry(clock.Second)
	}
	return nil
}

// failed classifies the end of an attempt, and frees what the engine may hold.
func (x *generation) failed(ctx context.Context, gr granted, u document.Upstream, err error, usage peer.Usage) result {
	if engine.ErrNotSent.Has(err) {
		x.cancel(gr)
		return result{unsent: true, outcome: decide.Lost, usage: usage, fault: fault.New(fault.Unavailable, "upstream %s cannot be reached", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		return x.status(gr, u, status)
	}
	x.cancel(gr)
	if usage.Output > 0 && usage.Prompt == 0 {
		usage.Prompt = x.q.prompt
	}
	r := result{outcome: decide.Failed, usage: usage}
	switch {
	case ctx.Err() != nil:
		r.outcome = decide.Canceled
		r.fault = ended(ctx)
	case errors.Is(err, errCaller):
		r.outcome = decide.Canceled
		r.fault = fault.New(fault.Canceled, "the caller went away")
	case x.gate.died(u.Address):
		r.outcome = decide.Lost
		r.fault = fault.New(fault.Upstream, "upstream %s died", u.Name)
	case engine.ErrIdleTimeout.Has(err):
		x.gate.Engines.CloseIdle()
		r.fault = fault.New(fault.Upstream, "upstream %s went silent", u.Name)
	default:
		r.fault = fault.New(fault.Incomplete, "the answer of upstream %s stopped: %s", u.Name, reason(err))
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

// reason tells a caller why a stream stopped, without the upstream's address.
func reason(err error) string {
	switch {
	case engine.ErrMismatch.Has(err):
		return "it was mixed up with another"
	case engine.ErrIdleTimeout.Has(err):
		return "it went silent"
	}
	return "the connection broke"
}

// status classifies an answer of the engine that is no stream.
func (x *generation) status(gr granted, u document.Upstream, s *engine.StatusError) result {
	if retryafter.IsRejection(s.Status) {
		// The leader did not take the request, and may want no order either. The others of its group hold memory.
		x.dismiss(gr)
		rests := x.gate.hear(x.q.target, gr.grant.Upstreams[0], s)
		return result{unsent: true, rests: rests, outcome: decide.Failed, fault: fault.New(fault.Unavailable, "upstream %s takes no work", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	// The others of a group hold memory, whatever the leader says.
	x.cancel(gr)
	switch s.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return result{outcome: decide.Failed, fault: fault.New(fault.Malformed, "the engine refused the request: %s", s.Text)}
	}
	return result{outcome: decide.Failed, fault: fault.New(fault.Upstream, "upstream %s answered %d", u.Name, s.Status)}
}

// dismiss frees the memory that the other engines of a group lent; the leader
// has freed its own with the end of the answer.
func (x *generation) dismiss(gr granted) {
	for _, id := range gr.grant.Upstreams[1:] {
		if u, ok := x.catalog.Upstream(string(id)); ok {
			x.gate.background("cancel", func() { x.gate.cancel(u.Address, x.q.id) })
		}
	}
}

// cancel frees what the engines of a grant may hold, in the background.
func (x *generation) cancel(gr granted) {
	for _, id := range gr.grant.Upstreams {
		if u, ok := x.catalog.Upstream(string(id)); ok {
			x.gate.background("cancel", func() { x.gate.cancel(u.Address, x.q.id) })
		}
	}
}

func (g *Gate) cancel(address string, id decide.RequestID) {
	for range cancelTries {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		err := g.Engines.Cancel(ctx, address, id)
		stop()
		if err == nil {
			return
		}
		g.Log.Debug().Str("request", string(id)).Err(err).Msg("cancel not answered")
	}
}

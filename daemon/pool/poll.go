package pool

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/peer"
)

// Timing and limits of polling and of freeing orphaned memory.
const (
	// orphanGrace is how long an engine must report a request without a live grant
	// before the gate of the request is asked about it. It is longer than the renewal
	// interval plus the delay of the engine's reports.
	orphanGrace = 3 * clock.Second
	// maxClockSkew is the largest expected difference between the clocks of two VMs.
	maxClockSkew = 10 * clock.Second
	// missedPollLimit is the number of consecutive unanswered polls after which an engine
	// gets no new work. A single poll may fail because a message was lost.
	missedPollLimit = 2
	// maxConcurrentCalls bounds the number of engines that are called concurrently.
	maxConcurrentCalls = 32
)

// orphan is memory that an engine uses for a request without a live grant there.
type orphan struct {
	upstream document.Upstream
	request  decide.RequestID
	// handle identifies the export that uses the memory; it is empty if the request
	// itself is running.
	handle string
}

// pollPeriodically polls all engines at pollInterval until the pool is closed.
func (p *Pool) pollPeriodically() {
	after := map[decide.UpstreamID]uint64{}
	p.pollOnce(after)
	guard.Every(p.ctx, pollInterval, func() { p.pollOnce(after) })
}

// pollOnce fetches one report and the new events of each engine, passes them to the
// scheduler, and frees memory of requests that their gates no longer hold. Argument
// after has the number of the last event received from each upstream.
func (p *Pool) pollOnce(after map[decide.UpstreamID]uint64) {
	p.mu.Lock()
	us := make([]document.Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		if u.Model != "" {
			us = append(us, u)
		}
	}
	p.mu.Unlock()
	loads := make([]*engine.Load, len(us))
	events := make([][]engine.Event, len(us))
	g, ctx := errgroup.WithContext(p.ctx)
	g.SetLimit(maxConcurrentCalls)
	for i, u := range us {
		seq := after[decide.UpstreamID(u.Name)]
		g.Go(func() error {
			loads[i], events[i] = p.fetch(ctx, u.Address, seq)
			return nil
		})
	}
	_ = g.Wait()
	p.updateReachability(us, loads)
	var orphans []orphan
	for i, u := range us {
		if loads[i] == nil {
			continue
		}
		orphans = append(orphans, p.applyReport(u, *loads[i])...)
		p.applyEvents(u, events[i], after)
	}
	p.freeOrphans(orphans)
	p.wake()
}

// updateReachability excludes engines that do not answer polls from new work until they
// answer. An engine that crashed has no grants, so it would look idle and be chosen first.
// If no engine at all answers, this owner may be the one that is cut off from the network,
// and no engine is excluded.
func (p *Pool) updateReachability(us []document.Upstream, loads []*engine.Load) {
	if p.ctx.Err() != nil || !slices.ContainsFunc(loads, func(l *engine.Load) bool { return l != nil }) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	for i, u := range us {
		id := decide.UpstreamID(u.Name)
		before := p.missedPolls[id]
		p.missedPolls[id] = before + 1
		if loads[i] != nil {
			p.missedPolls[id] = 0
		}
		x, current := p.upstreams[id]
		if current && (before >= missedPollLimit) != (p.missedPolls[id] >= missedPollLimit) {
			p.owner.log.Info().Str("upstream", u.Name).Bool("answers", loads[i] != nil).Msg("upstream reachability changed")
			p.setUpstream(now, x)
		}
	}
	p.tick(now)
}

func (p *Pool) fetch(ctx context.Context, address string, after uint64) (*engine.Load, []engine.Event) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := p.owner.engines.Load(ctx, address)
	if err != nil {
		return nil, nil
	}
	es, err := p.owner.engines.Events(ctx, address, after)
	if err != nil {
		return &l, nil
	}
	return &l, es
}

// applyReport passes the load report of an engine to the scheduler, and returns the memory
// in it that belongs to no live grant.
func (p *Pool) applyReport(u document.Upstream, l engine.Load) []orphan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	r := decide.Report{At: now, Used: l.Used, Leaving: l.Leaving}
	var orphans []orphan
	for _, x := range l.Running {
		r.Running = append(r.Running, x.ID)
		if !p.hasGrantOn(x.ID, u.Name) {
			orphans = append(orphans, orphan{upstream: u, request: x.ID})
		}
	}
	for _, x := range l.Exports {
		if !p.hasGrantOn(x.Request, u.Name) {
			orphans = append(orphans, orphan{upstream: u, request: x.Request, handle: x.Handle})
		}
	}
	p.scheduler.Report(now, decide.UpstreamID(u.Name), r)
	p.reports[decide.UpstreamID(u.Name)] = r
	return orphans
}

// hasGrantOn reports whether the request has a live grant on the upstream. The caller
// holds mu.
func (p *Pool) hasGrantOn(id decide.RequestID, upstream string) bool {
	g, ok := p.granted[id]
	if !ok {
		return false
	}
	for _, u := range g.Upstreams {
		if string(u) == upstream {
			return true
		}
	}
	return false
}

func (p *Pool) applyEvents(u document.Upstream, es []engine.Event, after map[decide.UpstreamID]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := decide.UpstreamID(u.Name)
	now := p.owner.clock.Now()
	for _, e := range es {
		p.scheduler.Hint(now, id, decide.Hint{Seq: e.Seq, Prefix: e.Prefix, Evicted: e.Evicted})
		after[id] = max(after[id], e.Seq)
	}
}

// freeOrphans cancels requests and drops exports that are certain not to be held by their
// gate. An expired lease is not enough, because this owner may be the one that is cut off from
// the network. Memory is freed only if the gate denies holding the request, the gate
// process has ended, or the deadline of the request has passed by more than the clocks of
// two VMs can differ.
func (p *Pool) freeOrphans(orphans []orphan) {
	due := p.persistentOrphans(orphans)
	if len(due) == 0 {
		return
	}
	ids := make([]decide.RequestID, len(due))
	for i, o := range due {
		ids[i] = o.request
	}
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	evidence := p.owner.gates.Evidence(ctx, ids)
	now := p.owner.clock.Now()
	// The calls run concurrently. In sequence, each call to a paused engine would take
	// a full timeout of one second, and reports of all engines would not be fetched
	// meanwhile. A crashed gate can leave many requests on such an engine.
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, o := range due {
		if evidence[o.request] == NotHeld || deadlinePassed(o.request, now) {
			g.Go(func() error { p.freeOrphan(o); return nil })
		}
	}
	_ = g.Wait()
}

// persistentOrphans returns the orphans that have been reported for longer than
// orphanGrace.
func (p *Pool) persistentOrphans(orphans []orphan) []orphan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	old := p.orphanSince
	p.orphanSince = make(map[decide.RequestID]clock.Milli, len(orphans))
	var out []orphan
	for _, o := range orphans {
		first, ok := old[o.request]
		if !ok {
			first = now
		}
		p.orphanSince[o.request] = first
		if now-first >= orphanGrace {
			out = append(out, o)
		}
	}
	return out
}

func deadlinePassed(id decide.RequestID, now clock.Milli) bool {
	o, ok := peer.ParseRequest(id)
	return ok && now > o.Deadline+maxClockSkew
}

func (p *Pool) freeOrphan(o orphan) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	var err error
	if o.handle != "" {
		err = p.owner.engines.DeleteExport(ctx, o.upstream.Address, o.handle)
	} else {
		err = p.owner.engines.Cancel(ctx, o.upstream.Address, o.request)
	}
	p.owner.log.Info().Str("upstream", o.upstream.Name).Str("request", string(o.request)).
		Str("handle", o.handle).Err(err).Msg("tried to free engine memory of a request that its gate no longer holds")
}

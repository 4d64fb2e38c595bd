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

// Times of the reaper.
const (
	// unexplained is how long a request must be on an engine without a grant
	// before its gate is asked: longer than a renewal and the lag of reports.
	unexplained = 3 * clock.Second
	// skew allows for the difference between the clocks of two VMs.
	skew = 10 * clock.Second
	// awayAfter is how many looks in a row an engine leaves unanswered before it gets
	// no new work: one may be lost on the way.
	awayAfter = 2
	// pollers bounds the looks at engines that run at once.
	pollers = 32
)

// stray is memory on an engine that no live grant explains.
type stray struct {
	upstream document.Upstream
	request  decide.RequestID
	// handle is set for an export.
	handle string
}

// poll looks at every engine's report, again and again.
func (p *Pool) poll() {
	after := map[decide.UpstreamID]uint64{}
	p.look(after)
	guard.Every(p.ctx, pollEvery, func() { p.look(after) })
}

// look takes one report of each engine and cancels what is proved abandoned.
func (p *Pool) look(after map[decide.UpstreamID]uint64) {
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
	g.SetLimit(pollers)
	for i, u := range us {
		seq := after[decide.UpstreamID(u.Name)]
		g.Go(func() error {
			loads[i], events[i] = p.ask(ctx, u.Address, seq)
			return nil
		})
	}
	_ = g.Wait()
	p.attend(us, loads)
	var strays []stray
	for i, u := range us {
		if loads[i] == nil {
			continue
		}
		strays = append(strays, p.report(u, *loads[i])...)
		p.hint(u, events[i], after)
	}
	p.reap(strays)
	p.wake()
}

// attend shuts engines out that do not answer, until they do.
// An engine that died holds no grant, so it looks idle and would be chosen first. An owner to which no engine answers may be the one that
// is cut off, and shuts out none.
func (p *Pool) attend(us []document.Upstream, loads []*engine.Load) {
	if p.ctx.Err() != nil || !slices.ContainsFunc(loads, func(l *engine.Load) bool { return l != nil }) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	for i, u := range us {
		id := decide.UpstreamID(u.Name)
		before := p.missed[id]
		p.missed[id] = before + 1
		if loads[i] != nil {
			p.missed[id] = 0
		}
		x, ours := p.upstreams[id]
		if ours && (before >= awayAfter) != (p.missed[id] >= awayAfter) {
			p.owner.log.Info().Str("upstream", u.Name).Bool("answers", loads[i] != nil).Msg("engine")
			p.set(now, x)
		}
	}
	p.tick(now)
}

func (p *Pool) ask(ctx context.Context, address string, after uint64) (*engine.Load, []engine.Event) {
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

// report feeds a report to the tables and returns what no live grant explains.
func (p *Pool) report(u document.Upstream, l engine.Load) []stray {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	r := decide.Report{At: now, Used: l.Used, Leaving: l.Leaving}
	var strays []stray
	for _, x := range l.Running {
		r.Running = append(r.Running, x.ID)
		if !p.explained(x.ID, u.Name) {
			strays = append(strays, stray{upstream: u, request: x.ID})
		}
	}
	for _, x := range l.Exports {
		if !p.explained(x.Request, u.Name) {
			strays = append(strays, stray{upstream: u, request: x.Request, handle: x.Handle})
		}
	}
	p.core.Report(now, decide.UpstreamID(u.Name), r)
	p.reports[decide.UpstreamID(u.Name)] = r
	return strays
}

// explained reports whether a live grant puts the request on the upstream. It needs mu.
func (p *Pool) explained(id decide.RequestID, upstream string) bool {
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

func (p *Pool) hint(u document.Upstream, es []engine.Event, after map[decide.UpstreamID]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := decide.UpstreamID(u.Name)
	now := p.owner.clock.Now()
	for _, e := range es {
		p.core.Hint(now, id, decide.Hint{Seq: e.Seq, Prefix: e.Prefix, Evicted: e.Evicted})
		after[id] = max(after[id], e.Seq)
	}
}

// reap cancels requests and drops exports whose gate is proved not to hold them.
// A lapsed lease is no proof that the gate is gone, since this owner may be the one that is cut off. So memory is freed on evidence: the gate
// says that it does not hold the request, that life of the gate is over, or the request's time has passed by more than clocks differ.
func (p *Pool) reap(strays []stray) {
	due := p.due(strays)
	if len(due) == 0 {
		return
	}
	ids := make([]decide.RequestID, len(due))
	for i, s := range due {
		ids[i] = s.request
	}
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	evidence := p.owner.gates.Evidence(ctx, ids)
	now := p.owner.clock.Now()
	// At the same time: one after the other, what a dead gate left on an engine that
	// stands still would keep the reports of all others from being read for a second each.
	var g errgroup.Group
	g.SetLimit(pollers)
	for _, s := range due {
		if evidence[s.request] == NotHeld || overdue(s.request, now) {
			g.Go(func() error { p.free(s); return nil })
		}
	}
	_ = g.Wait()
}

// due returns the strays that were unexplained for long enough.
func (p *Pool) due(strays []stray) []stray {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.clock.Now()
	old := p.seen
	p.seen = make(map[decide.RequestID]clock.Milli, len(strays))
	var out []stray
	for _, s := range strays {
		first, ok := old[s.request]
		if !ok {
			first = now
		}
		p.seen[s.request] = first
		if now-first >= unexplained {
			out = append(out, s)
		}
	}
	return out
}

func overdue(id decide.RequestID, now clock.Milli) bool {
	o, ok := peer.ParseRequest(id)
	return ok && now > o.Deadline+skew
}

func (p *Pool) free(s stray) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	var err error
	if s.handle != "" {
		err = p.owner.engines.DeleteExport(ctx, s.upstream.Address, s.handle)
	} else {
		err = p.owner.engines.Cancel(ctx, s.upstream.Address, s.request)
	}
	p.owner.log.Info().Str("upstream", s.upstream.Name).Str("request", string(s.request)).
		Str("handle", s.handle).Err(err).Msg("freed memory that no gate holds")
}

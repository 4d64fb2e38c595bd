package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Reports polls upstreams for reports of their load.
type Reports interface {
	Report(ctx context.Context, address string) (exchange.Load, error)
}

// Intervals and limits of load polls.
const (
	// pollInterval is the time between two rounds of polls of unverified upstreams. While upstreams
	// receive no requests before they have been polled, a round is instead followed by a pause as
	// long as the round itself, and at least minPollInterval.
	pollInterval    = 300 * time.Millisecond
	minPollInterval = 25 * time.Millisecond
	// pollTimeout bounds a poll of one upstream; upstreams are milliseconds away.
	pollTimeout = 150 * time.Millisecond
	// pollWindow is how recent the last query must be for upstreams of a pool to be polled.
	pollWindow = clock.Second
	// maxConcurrentPolls bounds the polls in flight.
	maxConcurrentPolls = 16
	// maxPollsPerRound bounds the polls of one round. To a new owner the load of all upstreams is
	// unverified: if it polled thousands at once, the polls would use up its processor, it would
	// stop responding, and its successor would fail in the same way. The upstreams first in order
	// are polled first because short requests are placed on them.
	maxPollsPerRound = 128
)

// pollReports polls unverified upstreams for their load in rounds, until none is left. The pool's
// lock is held.
func (o *Owner) pollReports(s route.ServiceID, p *ownedPool) {
	v := o.Knowledge.View()
	if p.polling || p.gathering || v.Table == nil || v.Table.Service(s) == nil || v.Table.Service(s).Engine == nil {
		return
	}
	began := o.Clock.Now()
	if began-p.lastAsk > pollWindow {
		return
	}
	ids := p.pool.TakeDuePolls(began, o.Gate, maxPollsPerRound)
	if len(ids) == 0 {
		return
	}
	p.polling = true
	go func() {
		var g errgroup.Group
		g.SetLimit(maxConcurrentPolls)
		for _, id := range ids {
			u := v.Upstream(s, func(u *route.Upstream) bool { return u.ID == id })
			g.Go(func() error { o.pollUpstream(s, p, id, u); return nil })
		}
		_ = g.Wait() // the functions return no errors
		time.Sleep(o.pollPause(p, began))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.polling = false
		o.tick(p, o.Clock.Now())
		o.pollReports(s, p)
	}()
}

// pollPause returns the time until the next round of polls. While engines receive no requests
// before they have been polled, the pause equals the duration of the last round, so that polling
// thousands of upstreams takes at most half of the processor.
func (o *Owner) pollPause(p *ownedPool, began clock.Milli) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := o.Clock.Now()
	if !p.pool.UrgentPollsDue(now) {
		return pollInterval
	}
	return min(max((now-began).Duration(), minPollInterval), pollInterval)
}

// pollUpstream polls one upstream and updates the pool with its report.
func (o *Owner) pollUpstream(s route.ServiceID, p *ownedPool, id decide.UpstreamID, u *route.Upstream) {
	if u == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool.AssumeVerified(id)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	load, err := o.Reports.Report(ctx, u.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := o.Clock.Now()
	for _, st := range load.Declared.Statements(now, o.Gate, max(load.Born, u.Born)) {
		o.statements.Learn(s, id, st, statements.FromResponse)
		o.learnStatements(s, p, now, []statement.Message{st.Message(now, id)})
	}
	if err != nil {
		o.Log.Warn().Str(logline.Key, logline.Report).Str("upstream", string(id)).Err(err).Msg("unverified upstream did not report its load")
		p.pool.AssumeVerified(id)
		return
	}
	p.pool.Report(now, id, load)
	if load.Requests == 0 && load.Pace <= 1 {
		return
	}
	o.Log.Info().Str(logline.Key, logline.Report).Str("upstream", string(id)).Int("requests", load.Requests).
		Int64("used", int64(load.Used)).Float64("pace", load.Pace).Msg("unverified upstream reported its load")
}

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

// Reports reads upstreams' reports of their load.
type Reports interface {
	Report(ctx context.Context, address string) (exchange.Load, error)
}

// Times of reports.
const (
	// reportEvery is the time between two rounds of polls of upstreams in doubt, and reportSoon the least one while more
	// upstreams get nothing until they are asked: then a round is followed by a pause as long as itself.
	reportEvery = 300 * time.Millisecond
	reportSoon  = 25 * time.Millisecond
	// reportTimeout bounds a poll of an upstream, which is milliseconds away.
	reportTimeout = 150 * time.Millisecond
	// askedLately is how recent a gate's question must be for a pool to be worth polling.
	askedLately = clock.Second
	// reportsAtOnce bounds the polls under way.
	reportsAtOnce = 16
	// reportsEach bounds the polls of one round. A new owner doubts all upstreams: if it polled thousands at once, its processor would be
	// used up, it would be silent, and its successor would go the same way. Short work needs the first of the order.
	reportsEach = 128
)

// pollReports asks upstreams in doubt for their load, while there are any. The pool's lock is held.
func (o *Owner) pollReports(s route.ServiceID, h *ownedPool) {
	v := o.Knowledge.View()
	if h.polling || h.gathering || v.Table == nil || v.Table.Service(s) == nil || v.Table.Service(s).Engine == nil {
		return
	}
	began := o.Clock.Now()
	if began-h.asked > askedLately {
		return
	}
	ids := h.pool.TakeDuePolls(began, o.Gate, reportsEach)
	if len(ids) == 0 {
		return
	}
	h.polling = true
	go func() {
		var g errgroup.Group
		g.SetLimit(reportsAtOnce)
		for _, id := range ids {
			u := v.Upstream(s, func(u *route.Upstream) bool { return u.ID == id })
			g.Go(func() error { o.report(s, h, id, u); return nil })
		}
		_ = g.Wait() // the polls return no errors
		time.Sleep(o.reportPause(h, began))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.polling = false
		o.tick(h, o.Clock.Now())
		o.pollReports(s, h)
	}()
}

// reportPause is the time until the next round of polls. While engines get nothing until they are asked it is the time of the last one, so
// that the polls of thousands take half of the processor at most.
func (o *Owner) reportPause(h *ownedPool, began clock.Milli) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := o.Clock.Now()
	if !h.pool.UrgentPollsDue(now) {
		return reportEvery
	}
	return min(max((now-began).Duration(), reportSoon), reportEvery)
}

// report takes one upstream's report into the books.
func (o *Owner) report(s route.ServiceID, h *ownedPool, id decide.UpstreamID, u *route.Upstream) {
	if u == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pool.AssumeVerified(id)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	load, err := o.Reports.Report(ctx, u.Address)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := o.Clock.Now()
	for _, st := range load.Declared.Statements(now, o.Gate, max(load.Born, u.Born)) {
		o.heard.Learn(s, id, st, statements.FromResponse)
		o.learn(s, h, now, []statement.Message{st.Message(now, id)})
	}
	if err != nil {
		o.Log.Warn().Str(logline.Key, logline.Report).Str("upstream", string(id)).Err(err).Msg("an upstream in doubt does not report")
		h.pool.AssumeVerified(id)
		return
	}
	h.pool.Report(now, id, load)
	if load.Requests == 0 && load.Pace <= 1 {
		return
	}
	o.Log.Info().Str(logline.Key, logline.Report).Str("upstream", string(id)).Int("requests", load.Requests).
		Int64("used", int64(load.Used)).Float64("pace", load.Pace).Msg("an upstream in doubt reports")
}

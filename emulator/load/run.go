package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/caller"
)

// ahead is how many requests are made before they are due, so that making a
// long prompt does not delay others.
const ahead = 32

// Run sends the load and reports. An end of ctx stops sending; open requests are then given up.
func Run(ctx context.Context, s Settings) (Report, error) {
	if err := s.check(); err != nil {
		return Report{}, err
	}
	c := caller.New()
	defer c.Close()
	t := newTally()
	requests := make(chan caller.Request, ahead)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	p := persistent{c, newBalancer(s), s.Retries, t}
	p.balancer.watch(ctx, &g)
	start := time.Now()
	g.Go(func() error {
		defer close(requests)
		ctx, cancel := productionOf(ctx, s, start)
		defer cancel()
		produce(ctx, newPlanner(s), requests)
		return nil
	})
	if s.Rate > 0 {
		open(ctx, s.MaxOpen, p, requests, start)
	} else {
		closed(ctx, s.MaxOpen, p, requests)
	}
	took := time.Since(start)
	cancel()
	err := g.Wait()
	return t.end(took), err
}

// productionOf ends the plan of a closed loop by the clock; that of an open one ends by its own times.
func productionOf(ctx context.Context, s Settings, start time.Time) (context.Context, context.CancelFunc) {
	if s.Rate > 0 || s.RunTime == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, start.Add(s.RunTime.Duration()))
}

func produce(ctx context.Context, p *planner, out chan<- caller.Request) {
	for p.more() {
		select {
		case out <- p.next():
		case <-ctx.Done():
			return
		}
	}
}

// open sends each request when it is due and counts its time from then, so
// that a slow system cannot slow the load down and look faster for it.
func open(ctx context.Context, callers int, p persistent, requests <-chan caller.Request, start time.Time) {
	var g errgroup.Group
	g.SetLimit(callers)
	for q := range requests {
		due := start.Add(q.SendOffset)
		if !sleepUntil(ctx, due) {
			break
		}
		sent := g.TryGo(func() error {
			p.tally.add(q, p.do(ctx, q, due))
			return nil
		})
		if !sent {
			p.tally.skip()
		}
	}
	_ = g.Wait()
}

// closed keeps as many callers busy, each with one request at a time.
func closed(ctx context.Context, callers int, p persistent, requests <-chan caller.Request) {
	var g errgroup.Group
	for range callers {
		g.Go(func() error {
			for q := range requests {
				p.tally.add(q, p.do(ctx, q, time.Now()))
			}
			return nil
		})
	}
	_ = g.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// persistent sends a request again after a refusal that proves that it did not
// run, when and as often as callers do, each time to another daemon.
type persistent struct {
	client   *caller.Client
	balancer *balancer
	// retries is how often it comes back.
	retries int
	tally   *tally
}

func (p persistent) do(ctx context.Context, q caller.Request, start time.Time) caller.Result {
	q.Address = p.balancer.pick(q.DaemonIndex)
	r := p.client.Do(ctx, q, start)
	for i := 1; i <= p.retries && r.Outcome == caller.Refused && r.RetryAfter > 0; i++ {
		again := time.Now().Add(time.Duration(r.RetryAfter) * time.Second)
		if q.TimeLimit > 0 && again.After(start.Add(q.TimeLimit.Duration())) || !sleepUntil(ctx, again) {
			return r
		}
		q.Address = p.balancer.pick(q.DaemonIndex + i)
		p.tally.retry()
		r = p.client.Do(ctx, q, start)
	}
	return r
}

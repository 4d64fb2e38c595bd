package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/caller"
)

// prefetch is the number of requests that are generated in advance, so that the generation of a long
// prompt does not delay other requests.
const prefetch = 32

// Run sends the requests of a run and returns their measurements. If ctx ends, it stops sending and
// cancels open requests.
func Run(ctx context.Context, s Settings) (Report, error) {
	if err := s.check(); err != nil {
		return Report{}, err
	}
	c := caller.New()
	defer c.Close()
	t := newTally()
	requests := make(chan caller.Request, prefetch)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	client := retryingClient{c, newBalancer(s), s.Retries, t}
	client.balancer.watch(ctx, &g)
	start := time.Now()
	g.Go(func() error {
		defer close(requests)
		ctx, cancel := planContext(ctx, s, start)
		defer cancel()
		produce(ctx, newPlanner(s), requests)
		return nil
	})
	if s.Rate > 0 {
		runOpenLoop(ctx, s.MaxOpen, client, requests, start)
	} else {
		runClosedLoop(ctx, s.MaxOpen, client, requests)
	}
	elapsed := time.Since(start)
	cancel()
	err := g.Wait()
	return t.finish(elapsed), err
}

// planContext returns the context of the generation of requests. In a closed loop with a RunTime, it
// ends after that time. In an open loop, the planner itself ends the plan by the scheduled send times.
func planContext(ctx context.Context, s Settings, start time.Time) (context.Context, context.CancelFunc) {
	if s.Rate > 0 || s.RunTime == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, start.Add(s.RunTime.Duration()))
}

func produce(ctx context.Context, p *planner, out chan<- caller.Request) {
	for p.hasNext() {
		select {
		case out <- p.next():
		case <-ctx.Done():
			return
		}
	}
}

// runOpenLoop sends each request at its scheduled time and measures its duration from then. A slow
// system can therefore neither reduce the load nor hide its delays (coordinated omission).
func runOpenLoop(ctx context.Context, concurrency int, client retryingClient, requests <-chan caller.Request, start time.Time) {
	var g errgroup.Group
	g.SetLimit(concurrency)
	for q := range requests {
		scheduled := start.Add(q.SendOffset)
		if !sleepUntil(ctx, scheduled) {
			break
		}
		sent := g.TryGo(func() error {
			client.tally.add(q, client.do(ctx, q, scheduled))
			return nil
		})
		if !sent {
			client.tally.skip()
		}
	}
	_ = g.Wait()
}

// runClosedLoop emulates a fixed number of clients that each send one request at a time.
func runClosedLoop(ctx context.Context, concurrency int, client retryingClient, requests <-chan caller.Request) {
	var g errgroup.Group
	for range concurrency {
		g.Go(func() error {
			for q := range requests {
				client.tally.add(q, client.do(ctx, q, time.Now()))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// sleepUntil waits until a time. It returns false if ctx ends before.
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

// retryingClient sends requests and retries those that were refused without running. It waits for the
// time in Retry-After before each retry and then sends the request to the next ready daemon.
type retryingClient struct {
	client   *caller.Client
	balancer *balancer
	// retries is the maximum number of retries of one request.
	retries int
	tally   *tally
}

func (c retryingClient) do(ctx context.Context, q caller.Request, start time.Time) caller.Result {
	q.Address = c.balancer.pick(q.DaemonIndex)
	r := c.client.Do(ctx, q, start)
	for i := 1; i <= c.retries && r.Outcome == caller.Refused && r.RetryAfter > 0; i++ {
		retryAt := time.Now().Add(time.Duration(r.RetryAfter) * time.Second)
		if q.TimeLimit > 0 && retryAt.After(start.Add(q.TimeLimit.Duration())) || !sleepUntil(ctx, retryAt) {
			return r
		}
		q.Address = c.balancer.pick(q.DaemonIndex + i)
		c.tally.retry()
		r = c.client.Do(ctx, q, start)
	}
	return r
}

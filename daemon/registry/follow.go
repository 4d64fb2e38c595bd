package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Run follows the store until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { r.follow(ctx, "routes", r.listDocument, r.watchDocument); return nil })
	g.Go(func() error { r.follow(ctx, "upstreams", r.listUpstreams, r.watchUpstreams); return nil })
	g.Go(func() error { r.sweep(ctx); return nil })
	g.Go(func() error { r.confirm(ctx); return nil })
	return g.Wait()
}

// follow lists once and then watches from there; after an error, or once others have read
// for this VM, it lists anew, since events may have been missed.
func (r *Registry) follow(ctx context.Context, what string, list func(context.Context) (route.Mark, error),
	watch func(context.Context, route.Mark, clock.Milli) (route.Mark, error),
) {
	var mark route.Mark
	failures := 0
	for ctx.Err() == nil {
		if r.rests() {
			mark, failures = 0, 0
			r.vouched()
			pause(ctx, lookEvery)
			continue
		}
		var err error
		listed := mark == 0
		if listed {
			mark, err = list(ctx)
		} else {
			mark, err = r.next(ctx, what, mark, watch)
		}
		if ctx.Err() != nil {
			return
		}
		r.reach(what, err)
		if err == nil {
			failures = 0
			if listed {
				r.meet(ctx)
			}
			continue
		}
		mark = 0
		r.backOff(ctx, failures)
		failures++
	}
}

// vouched notes that readers' word stands for ours. What we then read for ourselves is no first answer
// after an outage, whatever became of our own calls before.
func (r *Registry) vouched() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
}

// meet waits after a list until this VM may know whether others read for it.
//
// What goes wrong without it: all VMs start at once, and until they have met each takes
// itself for a reader. Each opens two watches that nobody needs a moment later: with
// eighty-six VMs 172 calls at each start of all.
func (r *Registry) meet(ctx context.Context) {
	if r.readers != nil {
		pause(ctx, meetTime)
	}
}

// next watches once from a mark, and returns the one to go on from.
func (r *Registry) next(ctx context.Context, what string, mark route.Mark,
	watch func(context.Context, route.Mark, clock.Milli) (route.Mark, error),
) (route.Mark, error) {
	began := r.clock.Now()
	wait := r.wait()
	watching, end := r.watching(ctx, what, wait)
	next, err := watch(watching, mark, wait)
	ended := watching.Err() != nil
	end()
	if err != nil && ended && ctx.Err() == nil {
		// We ended it ourselves: what came before the mark is known still.
		return mark, nil
	}
	if rest := newsEvery - (r.clock.Now() - began); err == nil && rest > 0 {
		pause(ctx, rest.Duration())
	}
	return next, err
}

// backOff waits before a failed call is made again: longer after each failure, but for
// the members that read for all.
//
// What goes wrong without it: the store is away for ten seconds, and a hundred VMs make eight
// hundred calls a second all the while, which the store must turn away, and which meet it
// again as it comes back. The readers go on asking often, so that its return is known
// to all within a second; a VM that becomes a reader stops waiting.
func (r *Registry) backOff(ctx context.Context, failures int) {
	wait := retryWait << min(failures, retryDoublings)
	wait = wait/2 + rand.N(wait)
	if r.reads() {
		wait = retryWait/2 + rand.N(retryWait)
	}
	for wait > 0 && ctx.Err() == nil {
		step := min(wait, lookEvery)
		pause(ctx, step)
		wait -= step
		if r.reads() && wait > retryWait {
			wait = retryWait
		}
	}
}

func (r *Registry) listDocument(ctx context.Context) (route.Mark, error) {
	sent := r.clock.Now()
	d, mark, err := r.store.Document(ctx)
	if errors.Is(err, route.ErrDocument) {
		r.reject(err)
		return mark, nil
	}
	if err != nil {
		return 0, err
	}
	r.learnDocument(d, sent, fromStore)
	return mark, nil
}

func (r *Registry) watchDocument(ctx context.Context, after route.Mark, wait clock.Milli) (route.Mark, error) {
	sent := r.clock.Now()
	d, mark, err := r.store.WatchDocument(ctx, after, wait)
	if errors.Is(err, route.ErrDocument) {
		r.reject(err)
		return mark, nil
	}
	if err != nil {
		return 0, err
	}
	if d != nil {
		r.learnDocument(d, sent, fromStore)
		return mark, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmDocument(r.asOf(sent, wait))
	return mark, nil
}

// reject notes that what stands in the place of the document cannot be read. The last one stays in force, but nothing
// proves that it is still the newest: the operator may have taken a key away. So its age grows, and keys are refused
// once it is too old.
func (r *Registry) reject(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = true
	r.log.Error().Str(logline.Key, logline.Rejected).Int64("age", int64(r.clock.Now()-r.tableAt)).Err(err).Msg("document is not taken")
}

func (r *Registry) listUpstreams(ctx context.Context) (route.Mark, error) {
	sent := r.clock.Now()
	news, mark, err := r.store.Upstreams(ctx)
	if err != nil {
		return 0, err
	}
	r.learnUpstreams(news, mark, sent)
	return mark, nil
}

func (r *Registry) watchUpstreams(ctx context.Context, after route.Mark, wait clock.Milli) (route.Mark, error) {
	sent := r.clock.Now()
	news, mark, err := r.store.WatchUpstreams(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	at := sent
	if len(news.Upstreams) == 0 && len(news.Gone) == 0 && len(news.Unusable) == 0 {
		at = r.asOf(sent, wait)
	}
	r.changeUpstreams(news, mark, at)
	return mark, nil
}

// asOf is the instant that the end of a watch without news speaks of: the store
// waited from the arrival of the question, which was after it was sent. The
// answer itself may have been held up for any time.
func (r *Registry) asOf(sent, wait clock.Milli) clock.Milli { return min(sent+wait, r.clock.Now()) }

// reach notes whether the store answers.
func (r *Registry) reach(what string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "store").Str("call", what).Err(err).Msg("the store does not answer")
	case err == nil && r.lost:
		r.lost = false
		r.back = r.clock.Now()
		r.log.Info().Str(logline.Key, logline.Reached).Str("dependency", "store").Str("call", what).Msg("the store answers again")
	}
}

// Lost tells whether the last call of the store failed.
func (r *Registry) Lost() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.lost }

// sweep ends upstreams whose hold is over although no news comes.
func (r *Registry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, 200*time.Millisecond)
		r.mu.Lock()
		if len(r.gone) > 0 {
			r.settle(0, 0)
		}
		r.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

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
	g.Go(func() error { r.follow(ctx, r.documents()); return nil })
	g.Go(func() error { r.follow(ctx, r.entries()); return nil })
	g.Go(func() error { r.sweep(ctx); return nil })
	g.Go(func() error { r.confirm(ctx); return nil })
	return g.Wait()
}

// feed is one kind of the store's objects that is followed.
type feed struct {
	name  string
	list  func(context.Context) (route.Position, error)
	watch func(context.Context, route.Position, clock.Milli) (route.Position, error)
	// wait is how long a watch waits at a VM that reads for others.
	wait clock.Milli
	// leads is set for the feed whose calls find out whether the store is back.
	leads bool
}

func (r *Registry) documents() feed {
	return feed{name: "routes", list: r.listDocument, watch: r.watchDocument, wait: watchWait, leads: true}
}

func (r *Registry) entries() feed {
	return feed{name: "upstreams", list: r.listUpstreams, watch: r.watchUpstreams, wait: newsWait}
}

// follow lists once and then watches from there; after an error, or once others have read
// for this VM, it lists anew, since events may have been missed.
func (r *Registry) follow(ctx context.Context, f feed) {
	r.bootstrap(ctx)
	var at route.Position
	failures, busy := 0, false
	for ctx.Err() == nil {
		if r.rests(f) {
			at, failures, busy = route.Position{}, 0, false
			r.clearOutage()
			if f.leads {
				r.failing.Store(false)
			}
			pause(ctx, checkEvery)
			continue
		}
		r.yield(ctx, f)
		var err error
		if at.Era != r.Era() {
			at = route.Position{}
		}
		listed := at == route.Position{}
		r.calls.add(Call{Feed: f.name, Role: r.role(), List: listed})
		if listed {
			at, err = f.list(ctx)
		} else {
			at, busy, err = r.next(ctx, f, at, busy)
		}
		if ctx.Err() != nil {
			return
		}
		if f.leads {
			r.failing.Store(err != nil)
		}
		r.noteStore(f.name, err)
		if err == nil {
			failures = 0
			if listed {
				r.awaitMembers(ctx)
			}
			continue
		}
		at = route.Position{}
		r.backOff(ctx, failures)
		failures++
	}
}

// yieldLongest bounds how long a feed leaves it to the other one to find out whether the store is back.
const yieldLongest = 5

// yield lets one of the two feeds ask whether the store is back: the calls of an outage are half as many.
// A store that fails for that feed's objects alone must not stop the other.
func (r *Registry) yield(ctx context.Context, f feed) {
	for i := 0; i < yieldLongest && !f.leads && r.failing.Load() && ctx.Err() == nil; i++ {
		pause(ctx, checkEvery)
	}
}

// bootstrap waits for a peer that hands over what it knows.
//
// A VM that starts alone, after a release or a crash, joins a fleet that knows all: it needs no call
// of the store. Where all start at once nobody knows anything, and each lists after the wait.
func (r *Registry) bootstrap(ctx context.Context) {
	if r.readers == nil || r.readers().Seed || r.rests(r.documents()) {
		return
	}
	t := time.NewTimer(r.bootstrapWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.known:
		r.awaitMembers(ctx)
	}
}

// clearOutage notes that readers' word stands for ours. What we then read for ourselves is no first answer
// after an outage, whatever became of our own calls before.
func (r *Registry) clearOutage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
}

// awaitMembers waits after a list until this VM may know whether others read for it.
// VMs that start together would each open two watches before they know that others read.
func (r *Registry) awaitMembers(ctx context.Context) {
	if r.readers != nil {
		pause(ctx, joinTime)
	}
}

// next watches once from a position, and returns the one to go on from; zero asks for a list. Busy tells whether news ended the
// watch, now and before.
func (r *Registry) next(ctx context.Context, f feed, at route.Position, busy bool) (route.Position, bool, error) {
	began := r.clock.Now()
	wait := r.wait(f)
	watching, end := r.watching(ctx, f.name, wait)
	next, err := f.watch(watching, at, wait)
	ended := watching.Err() != nil
	end()
	if err != nil && ended && ctx.Err() == nil {
		// We ended it ourselves, for want of proof or in another era: a list proves at once.
		return route.Position{}, false, nil
	}
	least := newsEvery
	if busy {
		least = newsBusy
	}
	rest := least - (r.clock.Now() - began)
	if err == nil && rest > 0 {
		pause(ctx, rest.Duration())
	}
	return next, rest > 0, err
}

// backOff waits before a failed call is made again: longer after each failure and, in a fleet that
// leaves the store to a few, the longer the further behind the readers this VM stands.
// Otherwise all VMs would call a store that is away many times a second. The readers go on asking often, so that its return is known to all
// within a second; a VM that becomes a reader stops waiting.
func (r *Registry) backOff(ctx context.Context, failures int) {
	wait := retryWait << min(failures, retryDoublings)
	if r.readers != nil {
		wait = max(wait, min(time.Duration(r.readers().Rank)*retryRank, retryLongest))
	}
	wait = wait/2 + rand.N(wait)
	if r.leads() {
		wait = retryWait/2 + rand.N(retryWait)
	}
	for wait > 0 && ctx.Err() == nil {
		step := min(wait, checkEvery)
		pause(ctx, step)
		wait -= step
		if r.leads() && wait > retryWait {
			wait = retryWait
		}
	}
}

// leads tells whether this VM stands before all others.
func (r *Registry) leads() bool { return r.readers == nil || r.readers().Primary }

func (r *Registry) listDocument(ctx context.Context) (route.Position, error) {
	sent := r.clock.Now()
	d, at, err := r.store.Document(ctx)
	if err != nil && !errors.Is(err, route.ErrDocument) {
		return route.Position{}, err
	}
	if era := r.enter(at.Era); era != nil {
		return route.Position{}, era
	}
	if err != nil {
		r.reject(err)
		return at, nil
	}
	if r.awaitPeer(ctx, at.Era) {
		return r.listDocument(ctx) // the operator may have written again meanwhile
	}
	r.learnDocument(d, sent, fromStore)
	return at, nil
}

func (r *Registry) watchDocument(ctx context.Context, after route.Position, wait clock.Milli) (route.Position, error) {
	sent := r.clock.Now()
	d, at, err := r.store.WatchDocument(ctx, after, wait)
	if err != nil && !errors.Is(err, route.ErrDocument) {
		return route.Position{}, err
	}
	if at.Era != after.Era {
		return route.Position{}, r.enter(at.Era)
	}
	if err != nil {
		r.reject(err)
		return at, nil
	}
	if d != nil {
		r.learnDocument(d, sent, fromStore)
		return at, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.behind {
		r.confirmDocument(r.asOf(sent, wait))
	}
	return at, nil
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

func (r *Registry) listUpstreams(ctx context.Context) (route.Position, error) {
	sent := r.clock.Now()
	news, at, err := r.store.Upstreams(ctx)
	if err != nil {
		return route.Position{}, err
	}
	if err := r.enter(at.Era); err != nil {
		return route.Position{}, err
	}
	r.learnUpstreams(news, at, sent)
	return at, nil
}

func (r *Registry) watchUpstreams(ctx context.Context, after route.Position, wait clock.Milli) (route.Position, error) {
	sent := r.clock.Now()
	news, at, err := r.store.WatchUpstreams(ctx, after, wait)
	if err != nil {
		return route.Position{}, err
	}
	if at.Era != after.Era {
		return route.Position{}, r.enter(at.Era)
	}
	right := sent
	if len(news.Upstreams) == 0 && len(news.Removed) == 0 && len(news.Unusable) == 0 {
		right = r.asOf(sent, wait)
	}
	r.changeUpstreams(news, at, right)
	return at, nil
}

// asOf is the instant that the end of a watch without news speaks of: the store
// waited from the arrival of the question, which was after it was sent. The
// answer itself may have been held up for any time.
func (r *Registry) asOf(sent, wait clock.Milli) clock.Milli { return min(sent+wait, r.clock.Now()) }

// noteStore notes whether the store answers.
func (r *Registry) noteStore(what string, err error) {
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

// StoreDown tells whether the last call of the store failed.
func (r *Registry) StoreDown() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.lost }

// sweep ends upstreams whose hold is over although no news comes.
func (r *Registry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, 200*time.Millisecond)
		r.mu.Lock()
		believed := r.believe()
		if believed || len(r.gone) > 0 {
			r.settle(route.Position{}, 0)
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

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
	g.Go(func() error { r.follow(ctx, r.documentFeed()); return nil })
	g.Go(func() error { r.follow(ctx, r.upstreamFeed()); return nil })
	if r.evacuations.store != nil {
		g.Go(func() error { r.follow(ctx, r.evacuationFeed()); return nil })
	}
	g.Go(func() error { r.sweep(ctx); return nil })
	g.Go(func() error { r.pollReaders(ctx); return nil })
	return g.Wait()
}

// feed is one kind of objects of the store that is followed.
type feed struct {
	name  string
	list  func(context.Context) (route.Position, error)
	watch func(context.Context, route.Position, clock.Milli) (route.Position, error)
	// wait is how long a watch waits at a VM that verifies its copy itself.
	wait clock.Milli
	// lead is set for the feed whose calls find out whether the store is back after an outage.
	lead bool
	// verified returns the latest instant at which this VM's copy was verified as current, zero if it
	// has none; nil for the document. The lock must be held.
	verified func() clock.Milli
}

func (r *Registry) documentFeed() feed {
	return feed{name: "routes", list: r.listDocument, watch: r.watchDocument, wait: watchWait, lead: true}
}

func (r *Registry) upstreamFeed() feed {
	return feed{name: "upstreams", list: r.listUpstreams, watch: r.watchUpstreams, wait: upstreamWatchWait, verified: r.listVerified}
}

func (r *Registry) listVerified() clock.Milli { return r.upstreamsVerified }

// follow lists once and then watches from the position of the list. It lists again after an error,
// after a change of the era, and after other members have read for this VM, since it may have
// missed changes.
func (r *Registry) follow(ctx context.Context, f feed) {
	r.bootstrap(ctx)
	var at route.Position
	failures, busy := 0, false
	for ctx.Err() == nil {
		if r.delegates(f) {
			at, failures, busy = route.Position{}, 0, false
			r.clearOutage()
			if f.lead {
				r.leadFeedFailing.Store(false)
			}
			pause(ctx, checkPeriod)
			continue
		}
		r.awaitLeadFeed(ctx, f)
		var err error
		if at.Era != r.Era() {
			at = route.Position{}
		}
		listed := at == route.Position{}
		r.calls.add(Call{Feed: f.name, Role: r.role(), List: listed})
		if listed {
			at, err = f.list(ctx)
		} else {
			at, busy, err = r.watchOnce(ctx, f, at, busy)
		}
		if ctx.Err() != nil {
			return
		}
		if f.lead {
			r.leadFeedFailing.Store(err != nil)
		}
		if errors.Is(err, route.ErrHistoryLost) {
			// The store answers. If this counted as an outage, other VMs would take over reading and list as
			// well, as often as the store discards its history.
			r.noteStore(f.name, nil)
			at, busy = route.Position{}, false
			pause(ctx, busyWatchInterval.Duration())
			continue
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

// maxLeadFeedWaits is the maximum number of pauses for which a feed waits for the lead feed to
// succeed.
const maxLeadFeedWaits = 5

// awaitLeadFeed delays a feed while the calls of the lead feed fail, which halves the calls during
// an outage. The delay is bounded, so that a store that fails only for the lead feed's objects does
// not stop the other feed.
func (r *Registry) awaitLeadFeed(ctx context.Context, f feed) {
	for i := 0; i < maxLeadFeedWaits && !f.lead && r.leadFeedFailing.Load() && ctx.Err() == nil; i++ {
		pause(ctx, checkPeriod)
	}
}

// bootstrap waits for a peer to send its state.
//
// A VM that starts alone, after an upgrade or a crash, joins members that already have the state,
// and needs no call of the store. When all VMs start at once no peer has any state, and each VM
// lists the store after the wait.
func (r *Registry) bootstrap(ctx context.Context) {
	if r.readers == nil || r.readers().Seed || r.delegates(r.documentFeed()) {
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

// clearOutage clears storeDown once readers keep this VM's copy current. Otherwise its next own
// call would count as the first answer after an outage, because of a failure before.
func (r *Registry) clearOutage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDown = false
}

// awaitMembers waits after a list until this VM can know whether others read for it. VMs that start
// together would otherwise each open two watches before they know.
func (r *Registry) awaitMembers(ctx context.Context) {
	if r.readers != nil {
		pause(ctx, joinWait)
	}
}

// watchOnce makes one watch from a position. It returns the position for the next watch, zero if a
// list is needed, and whether the watch ended before the minimum interval between watches, which
// happens while updates are frequent. busy is that result of the previous watch and selects the
// longer interval.
func (r *Registry) watchOnce(ctx context.Context, f feed, at route.Position, busy bool) (route.Position, bool, error) {
	began := r.clock.Now()
	wait := r.watchWaitOf(f)
	watchCtx, end := r.watchContext(ctx, f.name, wait)
	next, err := f.watch(watchCtx, at, wait)
	canceled := watchCtx.Err() != nil
	end()
	if err != nil && canceled && ctx.Err() == nil {
		// This VM canceled the watch, for lack of a recent verification or because the era changed.
		// A list verifies the copy at once.
		return route.Position{}, false, nil
	}
	interval := watchInterval
	if busy {
		interval = busyWatchInterval
	}
	remaining := interval - (r.clock.Now() - began)
	if err == nil && remaining > 0 {
		pause(ctx, remaining.Duration())
	}
	return next, remaining > 0, err
}

// backOff waits before a failed call is repeated: longer after each failure and, if few members
// read for all, longer the further behind the readers this VM ranks. Otherwise all VMs would call
// an unreachable store many times a second. The primary reader continues to call often, so that all
// VMs learn of the store's return within a second. A VM that becomes the primary reader stops
// waiting.
func (r *Registry) backOff(ctx context.Context, failures int) {
	wait := retryWait << min(failures, maxRetryDoublings)
	if r.readers != nil {
		wait = max(wait, min(time.Duration(r.readers().Rank)*retryWaitPerRank, maxRetryWait))
	}
	wait = wait/2 + rand.N(wait)
	if r.isPrimary() {
		wait = retryWait/2 + rand.N(retryWait)
	}
	for wait > 0 && ctx.Err() == nil {
		step := min(wait, checkPeriod)
		pause(ctx, step)
		wait -= step
		if r.isPrimary() && wait > retryWait {
			wait = retryWait
		}
	}
}

// isPrimary reports whether this VM is the first in the order of readers.
func (r *Registry) isPrimary() bool { return r.readers == nil || r.readers().Primary }

func (r *Registry) listDocument(ctx context.Context) (route.Position, error) {
	sent := r.clock.Now()
	d, at, err := r.store.Document(ctx)
	if err != nil && !errors.Is(err, route.ErrDocument) {
		return route.Position{}, err
	}
	if era := r.checkEra(at.Era); era != nil {
		return route.Position{}, era
	}
	if err != nil {
		r.noteUnreadable(err)
		return at, nil
	}
	if r.awaitPeer(ctx, at.Era) {
		return r.listDocument(ctx) // the operator may have written the document again during the wait
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
		return route.Position{}, r.checkEra(at.Era)
	}
	if err != nil {
		r.noteUnreadable(err)
		return at, nil
	}
	if d != nil {
		r.learnDocument(d, sent, fromStore)
		return at, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeBehind {
		r.confirmDocument(r.verifiedUntil(sent, wait))
	}
	return at, nil
}

// noteUnreadable records that the store's document cannot be parsed. The last valid document stays
// in force, but it cannot be verified as current, since the operator may have revoked an API key.
// So its age grows, and requests with keys are refused once it is too old.
func (r *Registry) noteUnreadable(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreadable = true
	r.log.Error().Str(logline.Key, logline.Rejected).Int64("age", int64(r.clock.Now()-r.tableVerified)).Err(err).Msg("document rejected")
}

func (r *Registry) listUpstreams(ctx context.Context) (route.Position, error) {
	sent := r.clock.Now()
	update, at, err := r.store.Upstreams(ctx)
	if err != nil {
		return route.Position{}, err
	}
	if err := r.checkEra(at.Era); err != nil {
		return route.Position{}, err
	}
	r.learnUpstreams(update, at, sent)
	return at, nil
}

func (r *Registry) watchUpstreams(ctx context.Context, after route.Position, wait clock.Milli) (route.Position, error) {
	sent := r.clock.Now()
	update, at, err := r.store.WatchUpstreams(ctx, after, wait)
	if err != nil {
		return route.Position{}, err
	}
	if at.Era != after.Era {
		return route.Position{}, r.checkEra(at.Era)
	}
	verified := sent
	if len(update.Upstreams) == 0 && len(update.Removed) == 0 && len(update.Unusable) == 0 {
		verified = r.verifiedUntil(sent, wait)
	}
	r.changeUpstreams(update, at, verified)
	return at, nil
}

// verifiedUntil returns the instant up to which a watch that ended without a change verifies that
// nothing changed. The store waited from the arrival of the request, which was after it was sent.
// The answer itself may have been delayed by any time.
func (r *Registry) verifiedUntil(sent, wait clock.Milli) clock.Milli {
	return min(sent+wait, r.clock.Now())
}

// noteStore records whether the store answered a call.
func (r *Registry) noteStore(feedName string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.storeDown:
		r.storeDown = true
		r.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "store").Str("call", feedName).Err(err).Msg("call of the store failed")
	case err == nil && r.storeDown:
		r.storeDown = false
		r.storeBack = r.clock.Now()
		r.log.Info().Str(logline.Key, logline.Reached).Str("dependency", "store").Str("call", feedName).Msg("the store answers again")
	}
}

// StoreDown reports whether the last call of the store failed.
func (r *Registry) StoreDown() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.storeDown }

// sweep removes upstreams and evacuations whose hold has ended, and accepts unverified entries, also
// while no updates arrive.
func (r *Registry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, 200*time.Millisecond)
		r.mu.Lock()
		r.expireEvacuations()
		accepted := r.acceptUnverified()
		if accepted || len(r.expiring) > 0 {
			r.commit(route.Position{}, 0)
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

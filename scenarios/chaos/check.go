package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshift.example/scenarios/world"
)

// Limits on the time that the deployment needs to recover after the last fault.
const (
	readyTimeout    = 30 * time.Second
	memoryTimeout   = 15 * time.Second
	documentTimeout = 8 * time.Second
	usageTimeout    = 20 * time.Second
	// usageLossWindow is the time before a daemon was killed whose requests may be missing from the
	// recorded usage.
	usageLossWindow = 2 * time.Second
)

// awaitRecovery waits until every daemon is ready and is a live member for all others.
func (r *Run) awaitRecovery(ctx context.Context) error {
	w := r.world
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyTimeout, name+" ready after the last fault", func() (bool, error) { return w.Ready(ctx, name), nil })
		if err != nil {
			return err
		}
	}
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyTimeout, name+" member again after the last fault", func() (bool, error) { return w.MemberJoined(ctx, name) })
		if err != nil {
			return err
		}
	}
	return nil
}

// finalRequests is the number of requests sent after recovery. Each must get a complete response.
const finalRequests = 24

// check checks the guarantees of the deployment over all requests.
func (r *Run) check(ctx context.Context) error {
	w := r.world
	for _, c := range w.Results("load") {
		c.Wait()
	}
	errs := []error{
		w.CheckTimeLimits(r.unanswerable()),
		r.checkDisconnects(),
		w.CheckResponses(),
		w.CheckNotRun(),
		w.CheckAtMostOnce(),
		w.CheckRequestIDs(),
		w.CheckMemory(ctx, memoryTimeout),
		w.CheckDocument(ctx, documentTimeout),
		w.CheckRevisions(),
		w.CheckUsage(ctx, usageTimeout, r.maxUncounted()),
	}
	rng := rand.New(rand.NewPCG(r.seed, 2))
	for i := range finalRequests {
		if err := r.startRequest(fmt.Sprintf("after.%d", i), i, rng); err != nil {
			return err
		}
	}
	for _, c := range w.Results("after") {
		c.Wait()
		if c.Outcome != world.Complete && !(c.Call.AtMostOnce && c.Error == "duplicate") {
			errs = append(errs, fmt.Errorf("not served after recovery: %s", c))
		}
	}
	r.logSummary()
	return errors.Join(append(errs, w.CheckAtMostOnce(), w.CheckNotRun())...)
}

// maxUncounted returns how many requests may be missing from the recorded usage: those that ended
// less than usageLossWindow before their daemon was killed, or while it was not running.
func (r *Run) maxUncounted() int64 {
	n := int64(0)
	for _, c := range r.world.Results("load") {
		end := c.SentAt.Add(c.Elapsed)
		for _, d := range r.disruptions[c.Call.Daemon] {
			if d.killed && end.After(d.from.Add(-usageLossWindow)) && end.Before(d.to) {
				n++
				break
			}
		}
	}
	return n
}

// unanswerable returns the names of the calls that their daemon could not answer in time, because it
// was frozen, not running or cut off from its clients during the call.
func (r *Run) unanswerable() map[string]bool {
	out := map[string]bool{}
	for _, c := range r.world.Results("load") {
		if r.disrupted(c, false) {
			out[c.Call.Name] = true
		}
	}
	return out
}

// disrupted reports whether a disruption of its daemon overlaps a call. Graceful stops count only
// if withStops is set, and then only for calls that began after the stop was requested.
func (r *Run) disrupted(c *world.Result, withStops bool) bool {
	end := c.SentAt.Add(c.Elapsed)
	for _, d := range r.disruptions[c.Call.Daemon] {
		if d.planned && (!withStops || c.SentAt.Before(d.from)) {
			continue
		}
		if c.SentAt.Before(d.to) && end.After(d.from) {
			return true
		}
	}
	return false
}

// checkDisconnects checks that no client lost its connection without a fault of its own daemon.
func (r *Run) checkDisconnects() error {
	var errs []error
	for _, c := range r.world.Results("load") {
		if c.Outcome == world.Disconnected && !r.disrupted(c, true) {
			errs = append(errs, fmt.Errorf("connection lost without a fault of its daemon: %s", c))
		}
	}
	return errors.Join(errs...)
}

// logSummary logs how many calls ended with each outcome.
func (r *Run) logSummary() {
	outcomes := map[world.Outcome]int{}
	for _, c := range r.world.Results("") {
		outcomes[c.Outcome]++
	}
	r.log("calls by outcome: %v", outcomes)
}

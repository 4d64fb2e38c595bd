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
	readyBound    = 30 * time.Second
	memoryBound   = 15 * time.Second
	documentBound = 8 * time.Second
	usageBound    = 20 * time.Second
	// usageLossWindow is the time before a daemon was killed whose requests may be missing from the
	// recorded usage.
	tail = 2 * time.Second
)

// recover waits until every daemon is ready and is a live member for all others.
func (r *Run) recover(ctx context.Context) error {
	w := r.world
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyBound, name+" ready after the last fault", func() (bool, error) { return w.Ready(ctx, name), nil })
		if err != nil {
			return err
		}
	}
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyBound, name+" member again after the last fault", func() (bool, error) { return w.Joined(ctx, name) })
		if err != nil {
			return err
		}
	}
	return nil
}

// finalRequests is the number of requests sent after recovery. Each must get a complete response.
const after = 24

// check checks the guarantees of the deployment over all requests.
func (r *Run) check(ctx context.Context) error {
	w := r.world
	for _, c := range w.Results("load") {
		c.Wait()
	}
	errs := []error{
		w.CheckTime(r.untold()),
		r.checkCuts(),
		w.CheckWhole(),
		w.CheckNotRun(),
		w.CheckOnce(),
		w.CheckOurs(),
		w.CheckMemory(ctx, memoryBound),
		w.CheckDocument(ctx, documentBound),
		w.CheckRevisions(),
		w.CheckUsage(ctx, usageBound, r.uncounted()),
	}
	random := rand.New(rand.NewPCG(r.seed, 2))
	for i := range after {
		if err := r.send(fmt.Sprintf("after.%d", i), i, random); err != nil {
			return err
		}
	}
	for _, c := range w.Results("after") {
		c.Wait()
		if c.End != world.Whole && !(c.Call.Once && c.Error == "duplicate") {
			errs = append(errs, fmt.Errorf("not served after recovery: %s", c))
		}
	}
	r.summary()
	return errors.Join(append(errs, w.CheckOnce(), w.CheckNotRun())...)
}

// maxUncounted returns how many requests may be missing from the recorded usage: those that ended
// less than usageLossWindow before their daemon was killed, or while it was not running.
func (r *Run) uncounted() int64 {
	n := int64(0)
	for _, c := range r.world.Results("load") {
		end := c.Begun.Add(c.Elapsed)
		for _, s := range r.spells[c.Call.To] {
			if s.killed && end.After(s.from.Add(-tail)) && end.Before(s.to) {
				n++
				break
			}
		}
	}
	return n
}

// unanswerable returns the names of the calls that their daemon could not answer in time, because it
// was frozen, not running or cut off from its clients during the call.
func (r *Run) untold() map[string]bool {
	out := map[string]bool{}
	for _, c := range r.world.Results("load") {
		if r.disturbed(c, false) {
			out[c.Call.Name] = true
		}
	}
	return out
}

// disrupted reports whether a disruption of its daemon overlaps a call. Graceful stops count only
// if withStops is set, and then only for calls that began after the stop.
func (r *Run) disturbed(c *world.Result, planned bool) bool {
	end := c.Begun.Add(c.Elapsed)
	for _, s := range r.spells[c.Call.To] {
		if s.planned && (!planned || c.Begun.Before(s.from)) {
			continue
		}
		if c.Begun.Before(s.to) && end.After(s.from) {
			return true
		}
	}
	return false
}

// checkDisconnects checks that no client lost its connection without a fault of its own daemon.
func (r *Run) checkCuts() error {
	var errs []error
	for _, c := range r.world.Results("load") {
		if c.End == world.Cut && !r.disturbed(c, true) {
			errs = append(errs, fmt.Errorf("connection lost without a fault of its daemon: %s", c))
		}
	}
	return errors.Join(errs...)
}

// summary logs how many calls ended with each outcome.
func (r *Run) summary() {
	ends := map[world.End]int{}
	for _, c := range r.world.Results("") {
		ends[c.End]++
	}
	r.log("calls by outcome: %v", ends)
}

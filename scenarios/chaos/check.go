package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshift.example/scenarios/world"
)

// Bounds after the last fault has ended.
const (
	readyBound    = 30 * time.Second
	memoryBound   = 15 * time.Second
	documentBound = 8 * time.Second
	usageBound    = 20 * time.Second
	// tail is how much of a dead daemon's last work may be missing from usage.
	tail = 2 * time.Second
)

// recover waits until the deployment serves everybody again.
func (r *Run) recover(ctx context.Context) error {
	w := r.world
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyBound, name+" ready after all faults", func() (bool, error) { return w.Ready(ctx, name), nil })
		if err != nil {
			return err
		}
	}
	for _, name := range w.Daemons() {
		err := world.Await(ctx, readyBound, name+" joined after all faults", func() (bool, error) { return w.MemberJoined(ctx, name) })
		if err != nil {
			return err
		}
	}
	return nil
}

// after is how many requests must all be served whole once the faults are over.
const after = 24

// check checks every promise.
func (r *Run) check(ctx context.Context) error {
	w := r.world
	for _, c := range w.Results("load") {
		c.Wait()
	}
	errs := []error{
		w.CheckTimeLimits(r.untold()),
		r.checkCuts(),
		w.CheckResponses(),
		w.CheckNotRun(),
		w.CheckAtMostOnce(),
		w.CheckRequestIDs(),
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
		if c.Outcome != world.Complete && !(c.Call.AtMostOnce && c.Error == "duplicate") {
			errs = append(errs, fmt.Errorf("all is healed: %s", c))
		}
	}
	r.summary()
	return errors.Join(append(errs, w.CheckAtMostOnce(), w.CheckNotRun())...)
}

// uncounted is how many requests may be missing from usage: those that a daemon
// served in its last moments before it was killed.
func (r *Run) uncounted() int64 {
	n := int64(0)
	for _, c := range r.world.Results("load") {
		end := c.SentAt.Add(c.Elapsed)
		for _, s := range r.spells[c.Call.Daemon] {
			if s.killed && end.After(s.from.Add(-tail)) && end.Before(s.to) {
				n++
				break
			}
		}
	}
	return n
}

// untold names the calls whose own daemon could not tell them: it stood still,
// was dead, or was cut off from its callers while they waited.
func (r *Run) untold() map[string]bool {
	out := map[string]bool{}
	for _, c := range r.world.Results("load") {
		if r.disturbed(c, false) {
			out[c.Call.Name] = true
		}
	}
	return out
}

// disturbed tells whether a spell of its daemon overlaps a call. A planned stop
// excuses only calls that began after it.
func (r *Run) disturbed(c *world.Result, planned bool) bool {
	end := c.SentAt.Add(c.Elapsed)
	for _, s := range r.spells[c.Call.Daemon] {
		if s.planned && (!planned || c.SentAt.Before(s.from)) {
			continue
		}
		if c.SentAt.Before(s.to) && end.After(s.from) {
			return true
		}
	}
	return false
}

// checkCuts checks that no caller lost his connection but by a fault of his own daemon.
func (r *Run) checkCuts() error {
	var errs []error
	for _, c := range r.world.Results("load") {
		if c.Outcome == world.Disconnected && !r.disturbed(c, true) {
			errs = append(errs, fmt.Errorf("cut off without a fault of its daemon: %s", c))
		}
	}
	return errors.Join(errs...)
}

// summary logs how the calls ended.
func (r *Run) summary() {
	ends := map[world.Outcome]int{}
	for _, c := range r.world.Results("") {
		ends[c.Outcome]++
	}
	r.log("ends of calls: %v", ends)
}

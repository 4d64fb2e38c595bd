package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/scenarios/relay"
	"snipeshift.example/scenarios/world"
)

// Log takes one line.
type Log func(format string, args ...any)

// Run is one chaos run.
type Run struct {
	world *world.World
	log   Log
	seed  uint64

	mu sync.Mutex
	// down counts the faults that keep a process from running.
	down map[string]bool
	// spells holds, by daemon, the times in which its callers could not be told.
	spells map[string][]spell
	// draft is the output length that the last document set.
	draft int
}

// spell is a time in which a daemon was frozen, dead or cut off from callers.
type spell struct {
	from, to time.Time
	// planned is set for a planned stop, which may cut off no call that came before it.
	planned bool
	// killed is set where the process died.
	killed bool
}

// New returns a run against a deployment that is ready.
func New(w *world.World, seed uint64, l Log) *Run {
	return &Run{world: w, log: l, seed: seed, down: map[string]bool{}, spells: map[string][]spell{}, draft: 32}
}

// Go plays the schedule under load, heals all and checks the promises.
func (r *Run) Go(ctx context.Context, length time.Duration) error {
	r.world.IgnoreDocumentLag()
	faults := Plan(r.seed, length, Fleet{r.world.Daemons(), r.world.Engines(), r.world.Services()})
	for _, f := range faults {
		r.log("%s", f)
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var load errgroup.Group
	load.Go(func() error { return r.load(loading) })
	var g errgroup.Group
	begun := time.Now()
	for _, f := range faults {
		g.Go(func() error {
			pause(ctx, f.At-time.Since(begun))
			if err := r.play(ctx, f); err != nil {
				return fmt.Errorf("%s: %w", f, err)
			}
			return nil
		})
	}
	err := g.Wait()
	stop()
	return errors.Join(err, load.Wait(), r.recover(ctx), r.check(ctx))
}

// pause waits, unless ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// take marks a process as hit; false if another fault has it already.
func (r *Run) take(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down[name] {
		return false
	}
	r.down[name] = true
	return true
}

func (r *Run) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.down, name)
}

func (r *Run) spell(name string, from time.Time, k Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spells[name] = append(r.spells[name], spell{from, time.Now(), k == Stop, k == Kill})
}

// play begins a fault, waits for its span and ends it.
func (r *Run) play(ctx context.Context, f Fault) error {
	w := r.world
	switch f.Kind {
	case Kill, Freeze, Stop:
		if !r.take(f.Target) {
			return nil
		}
		defer r.release(f.Target)
		return r.process(ctx, f)
	case Cut, Silence, Blackhole:
		return r.link(ctx, f)
	case Engine, Service:
		if !r.take(f.Target) {
			return nil
		}
		defer r.release(f.Target)
		return r.setting(ctx, f.Target, f)
	case Leaving:
		if err := w.SetVM(ctx, f.Target, "leaving"); err != nil {
			return err
		}
		pause(ctx, f.Span)
		return w.SetVM(ctx, f.Target, "live")
	case Apply:
		return r.apply(ctx)
	default:
		return r.setting(ctx, world.Store, f)
	}
}

func (r *Run) process(ctx context.Context, f Fault) error {
	w, from := r.world, time.Now()
	defer func() { r.spell(f.Target, from, f.Kind) }()
	switch f.Kind {
	case Freeze:
		if err := w.Freeze(f.Target); err != nil {
			return err
		}
		pause(ctx, f.Span)
		return w.Thaw(f.Target)
	case Stop:
		if err := w.Stop(f.Target); err != nil {
			return err
		}
		err := world.Await(ctx, stopLimit, "stop of "+f.Target, func() (bool, error) {
			ended, _, err := w.Exited(f.Target)
			return ended, err
		})
		if err != nil {
			return err
		}
	default:
		if err := w.Kill(f.Target); err != nil {
			return err
		}
		pause(ctx, f.Span)
	}
	if err := w.Start(f.Target); err != nil {
		return err
	}
	// Until it is ready no balancer sends callers there, and its door may be closed.
	if slices.Contains(w.Daemons(), f.Target) {
		return world.Await(ctx, readyBound, f.Target+" ready again", func() (bool, error) { return w.Ready(ctx, f.Target), nil })
	}
	return nil
}

// stopLimit bounds a planned stop: the longest allowed time of a request that may be in work.
const stopLimit = 90 * time.Second

func (r *Run) link(ctx context.Context, f Fault) error {
	w, from := r.world, time.Now()
	var err error
	switch f.Kind {
	case Cut:
		err = w.Cut(f.Target, f.Other)
	case Silence:
		err = w.Silence(f.Target, f.Other, relay.Both, false)
	default:
		err = w.Silence(f.Target, f.Other, relay.Both, true)
	}
	if err != nil {
		return err
	}
	if f.Target == world.Client {
		defer func() { r.spell(f.Other, from, f.Kind) }()
	}
	pause(ctx, f.Span)
	return w.Heal(f.Target, f.Other)
}

func (r *Run) setting(ctx context.Context, name string, f Fault) error {
	if err := r.world.Control(ctx, name, f.Setting); err != nil {
		return err
	}
	pause(ctx, f.Span)
	if f.Reset == "" {
		return nil
	}
	return r.world.Control(ctx, name, f.Reset)
}

// apply changes the document. While the store is down an operator cannot.
func (r *Run) apply(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draft++
	text, err := r.world.Edit([]string{fmt.Sprintf("kinds.draft.output=%d", r.draft)})
	if err != nil {
		return err
	}
	if err := r.world.Apply(ctx, text, r.world.AcceptedRevision()); err != nil {
		r.log("apply: %v", err)
		return r.world.AcceptIfStored(ctx, text)
	}
	return nil
}

// loadGap is the time between two requests of the load.
const loadGap = 40 * time.Millisecond

// load sends requests of every kind until ctx ends.
func (r *Run) load(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.seed, 1))
	t := time.NewTicker(loadGap)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if err := r.send(fmt.Sprintf("load.%d", i), i, random); err != nil {
			return err
		}
	}
}

// send sends one request; every fourth notice goes to two daemons at once.
func (r *Run) send(name string, i int, random *rand.Rand) error {
	ds := r.world.Daemons()
	c := world.Call{Name: name, PromptStart: name, Daemon: ds[random.IntN(len(ds))], Workspace: world.Workspaces[i%len(world.Workspaces)]}
	c.PromptTokens, c.OutputLimit, c.NonStreaming = 10+random.IntN(400), 4+random.IntN(120), random.IntN(3) == 0
	switch i % 4 {
	case 0:
		c.Service = true
	case 1:
		c.Kind, c.Key, c.Service = world.KindNotice, name, true
	case 2:
		c.Kind, c.Key = world.KindNotice, name
	}
	if _, err := r.world.StartCall(c); err != nil {
		return err
	}
	if !(c.Kind == world.KindNotice && random.IntN(4) == 0) {
		return nil
	}
	c.Name, c.Daemon = name+".again", ds[random.IntN(len(ds))]
	_, err := r.world.StartCall(c)
	return err
}

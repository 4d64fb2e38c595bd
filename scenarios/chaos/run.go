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

// Logf formats and prints one line of the run's output.
type Logf func(format string, args ...any)

// Run plays one schedule of faults against a deployment under load.
type Run struct {
	world *world.World
	log   Logf
	seed  uint64

	mu sync.Mutex
	// faulted holds the names of the processes that a fault currently targets.
	faulted map[string]bool
	// disruptions holds, by daemon, the intervals in which it could not answer its clients.
	disruptions map[string][]disruption
	// draftOutput is the output length of the kind draft that the last document set.
	draftOutput int
}

// disruption is an interval in which a daemon was frozen, not running or cut off from clients.
type disruption struct {
	from, to time.Time
	// planned is set for a graceful stop, which must let every request that arrived before it finish.
	planned bool
	// killed is set if the process was killed.
	killed bool
}

// New returns a run with the schedule of seed. The deployment w must be ready.
func New(w *world.World, seed uint64, l Logf) *Run {
	return &Run{world: w, log: l, seed: seed, faulted: map[string]bool{}, disruptions: map[string][]disruption{}, draftOutput: 32}
}

// Execute injects the faults of the schedule under load, waits until the deployment has recovered
// and checks its guarantees. The returned error joins all faults that could not be injected and
// all guarantees that were violated.
func (r *Run) Execute(ctx context.Context, length time.Duration) error {
	r.world.IgnoreDocumentLag()
	faults := Plan(r.seed, length, Targets{r.world.Daemons(), r.world.Engines(), r.world.Services()})
	for _, f := range faults {
		r.log("%s", f)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load errgroup.Group
	load.Go(func() error { return r.load(loadCtx) })
	var g errgroup.Group
	start := time.Now()
	for _, f := range faults {
		g.Go(func() error {
			pause(ctx, f.At-time.Since(start))
			if err := r.inject(ctx, f); err != nil {
				return fmt.Errorf("%s: %w", f, err)
			}
			return nil
		})
	}
	err := g.Wait()
	stopLoad()
	return errors.Join(err, load.Wait(), r.awaitRecovery(ctx), r.check(ctx))
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// acquire reserves a process for one fault. It returns false if another fault targets the process.
func (r *Run) acquire(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faulted[name] {
		return false
	}
	r.faulted[name] = true
	return true
}

func (r *Run) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faulted, name)
}

func (r *Run) recordDisruption(name string, from time.Time, k Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disruptions[name] = append(r.disruptions[name], disruption{from, time.Now(), k == Stop, k == Kill})
}

// inject starts a fault, waits for its duration and ends it.
func (r *Run) inject(ctx context.Context, f Fault) error {
	w := r.world
	switch f.Kind {
	case Kill, Freeze, Stop:
		if !r.acquire(f.Target) {
			return nil
		}
		defer r.release(f.Target)
		return r.injectProcessFault(ctx, f)
	case Cut, Silence, Blackhole:
		return r.injectLinkFault(ctx, f)
	case EngineFault, ServiceFault:
		if !r.acquire(f.Target) {
			return nil
		}
		defer r.release(f.Target)
		return r.applySetting(ctx, f.Target, f)
	case ListLeaving:
		if err := w.SetVM(ctx, f.Target, "leaving"); err != nil {
			return err
		}
		pause(ctx, f.Duration)
		return w.SetVM(ctx, f.Target, "live")
	case ApplyDocument:
		return r.applyDocument(ctx)
	default:
		return r.applySetting(ctx, world.Store, f)
	}
}

func (r *Run) injectProcessFault(ctx context.Context, f Fault) error {
	w, from := r.world, time.Now()
	defer func() { r.recordDisruption(f.Target, from, f.Kind) }()
	switch f.Kind {
	case Freeze:
		if err := w.Freeze(f.Target); err != nil {
			return err
		}
		pause(ctx, f.Duration)
		return w.Thaw(f.Target)
	case Stop:
		if err := w.Stop(f.Target); err != nil {
			return err
		}
		err := world.Await(ctx, stopTimeout, "stop of "+f.Target, func() (bool, error) {
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
		pause(ctx, f.Duration)
	}
	if err := w.Start(f.Target); err != nil {
		return err
	}
	// Until the daemon is ready its client listener may be closed, and no load balancer would send
	// it clients, so the disruption lasts until then.
	if slices.Contains(w.Daemons(), f.Target) {
		return world.Await(ctx, readyTimeout, f.Target+" ready again", func() (bool, error) { return w.Ready(ctx, f.Target), nil })
	}
	return nil
}

// stopTimeout bounds a graceful stop. It is the longest time limit of a request that may be running.
const stopTimeout = 90 * time.Second

func (r *Run) injectLinkFault(ctx context.Context, f Fault) error {
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
		defer func() { r.recordDisruption(f.Other, from, f.Kind) }()
	}
	pause(ctx, f.Duration)
	return w.Heal(f.Target, f.Other)
}

func (r *Run) applySetting(ctx context.Context, name string, f Fault) error {
	if err := r.world.Control(ctx, name, f.Setting); err != nil {
		return err
	}
	pause(ctx, f.Duration)
	if f.Reset == "" {
		return nil
	}
	return r.world.Control(ctx, name, f.Reset)
}

// applyDocument applies a changed document as an operator does. An apply that fails, for example
// because the store is down, is logged and does not fail the run.
func (r *Run) applyDocument(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draftOutput++
	text, err := r.world.Edit([]string{fmt.Sprintf("kinds.draft.output=%d", r.draftOutput)})
	if err != nil {
		return err
	}
	if err := r.world.Apply(ctx, text, r.world.AcceptedRevision()); err != nil {
		r.log("apply: %v", err)
		return r.world.AcceptIfStored(ctx, text)
	}
	return nil
}

// loadInterval is the time between two requests of the load.
const loadInterval = 40 * time.Millisecond

// load starts requests of every kind at a fixed rate until ctx is done.
func (r *Run) load(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.seed, 1))
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if err := r.startRequest(fmt.Sprintf("load.%d", i), i, rng); err != nil {
			return err
		}
	}
}

// startRequest starts one request. On average one notice in four is also sent a second time at
// once, to a daemon drawn again, to test that a request that must not repeat runs at most once.
func (r *Run) startRequest(name string, i int, rng *rand.Rand) error {
	daemons := r.world.Daemons()
	c := world.Call{Name: name, PromptStart: name, Daemon: daemons[rng.IntN(len(daemons))], Workspace: world.Workspaces[i%len(world.Workspaces)]}
	c.PromptTokens, c.OutputLimit, c.NonStreaming = 10+rng.IntN(400), 4+rng.IntN(120), rng.IntN(3) == 0
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
	if !(c.Kind == world.KindNotice && rng.IntN(4) == 0) {
		return nil
	}
	c.Name, c.Daemon = name+".again", daemons[rng.IntN(len(daemons))]
	_, err := r.world.StartCall(c)
	return err
}

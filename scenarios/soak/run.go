package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Log takes one line.
type Log func(format string, args ...any)

// Run is one play of a schedule.
type Run struct {
	fleet *fleet.Fleet
	log   Log
	seed  uint64

	mu sync.Mutex
	// down holds the VMs and upstreams that a fault keeps from running.
	down map[any]bool
	// spells holds the faults that were played.
	spells []spell
	calls  []call
	// withdrawing and withdrawn are when the taking away of the second workspace's key began and was confirmed: in between a
	// VM may know of it already, and need not.
	withdrawing, withdrawn time.Time
	routes                 int
	// store orders faults of the store: one at a time.
	store sync.Mutex
}

// spell is a fault as it was played.
type spell struct {
	fault    Fault
	vm       *fleet.VM
	from, to time.Time
}

// New returns a play against a fleet that is ready.
func New(f *fleet.Fleet, seed uint64, l Log) *Run {
	return &Run{fleet: f, log: l, seed: seed, down: map[any]bool{}}
}

// Bounds after the last fault.
const (
	readyBound = 20 * time.Second
	stopBound  = 8 * time.Second
	// rewriting is the time within which writers write again what the store lost.
	rewriting = 2 * time.Second
	// settling is the time for lapsed entries to be believed and abandoned memory to be freed.
	settling = 5 * time.Second
)

// Go plays the schedule under load, heals all, and checks the promises.
func (r *Run) Go(length time.Duration) error {
	faults := Plan(r.seed, length)
	stop := make(chan struct{})
	var load, play sync.WaitGroup
	for i := range callers {
		load.Go(func() { r.call(i, stop) })
	}
	begun := time.Now()
	errs := make(chan error, len(faults)+1)
	for _, f := range faults {
		r.log("%s", f)
		play.Go(func() {
			time.Sleep(f.At - time.Since(begun))
			if err := r.play(f); err != nil {
				errs <- fmt.Errorf("%s: %w", f, err)
			}
		})
	}
	play.Go(func() {
		time.Sleep(length / 2)
		began := time.Now()
		r.fleet.Platform.RevokeKeys(other)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.withdrawing, r.withdrawn = began, time.Now()
	})
	play.Wait()
	for _, v := range r.fleet.VMs {
		if err := v.AwaitReady(readyBound); err != nil {
			errs <- err
		}
	}
	time.Sleep(settling)
	close(stop)
	load.Wait()
	close(errs)
	return r.check(errs)
}

// take marks something as hit; false if another fault has it already.
func (r *Run) take(what any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down[what] {
		return false
	}
	r.down[what] = true
	return true
}

func (r *Run) release(what any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.down, what)
}

// play plays one fault from its beginning to its end.
func (r *Run) play(f Fault) error {
	v := r.fleet.VMs[f.VM%len(r.fleet.VMs)]
	from := time.Now()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.spells = append(r.spells, spell{f, v, from, time.Now()})
	}()
	switch f.Kind {
	case Kill, Freeze, Stop, Hangup:
		if !r.take(v) {
			return nil
		}
		defer r.release(v)
		return r.process(f, v)
	case Cut, Reset, Silence, Delay:
		r.link(f, v)
	case Outage, Forget, Lapse, Drill:
		r.store.Lock()
		defer r.store.Unlock()
		r.storage(f)
	case Crash, Drain, Sick, Leave, Shed:
		us := r.fleet.Platform.Runners()
		return r.upstream(f, us[f.Other%len(us)])
	case Limit:
		us := r.fleet.Platform.Runners()
		u := us[f.Other%len(us)]
		u.DeclareLimit(f.Rate)
		time.Sleep(f.Span)
		u.DeclareLimit(-1)
	case Document:
		r.mu.Lock()
		r.routes++
		name := fmt.Sprintf("extra%d", r.routes)
		r.mu.Unlock()
		r.fleet.Platform.AddRoute(name)
	}
	return nil
}

func (r *Run) process(f Fault, v *fleet.VM) error {
	switch f.Kind {
	case Hangup:
		return v.Process.Signal(syscall.SIGHUP)
	case Freeze:
		if err := v.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(f.Span)
		return v.Process.Signal(syscall.SIGCONT)
	case Stop:
		if err := v.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-v.Process.Done():
		case <-time.After(stopBound):
			return fmt.Errorf("%s has not stopped within %v", v.Name, stopBound)
		}
	default:
		v.Process.Kill()
		time.Sleep(f.Span)
	}
	return r.fleet.Start(v)
}

func (r *Run) link(f Fault, v *fleet.VM) {
	l := r.fleet.StoreRelay
	switch f.End {
	case Peer:
		l = r.fleet.VMs[f.Other%len(r.fleet.VMs)].Peer
	case Upstream:
		us := r.fleet.Platform.Runners()
		l = r.fleet.UpstreamRelay(us[f.Other%len(us)])
	case Store:
	}
	switch f.Kind {
	case Cut:
		l.Cut(v.Name)
	case Reset:
		l.Cut(v.Name)
		l.Heal(v.Name)
		return
	case Delay:
		l.Delay(v.Name, f.Held)
	default:
		l.Silence(v.Name, f.Ways, f.Fresh)
	}
	time.Sleep(f.Span)
	if f.Kind == Silence {
		// Silenced connections would stay so for good, and hit whoever holds them after the fault.
		l.Cut(v.Name)
	}
	l.Heal(v.Name)
}

func (r *Run) storage(f Fault) {
	p := r.fleet.Platform
	if f.Kind == Forget {
		p.DropHistory()
		return
	}
	if f.Kind == Drill {
		p.RestoreOlderCopy(f.Mode, f.Span, f.Age, rewriting, rand.New(rand.NewPCG(r.seed, uint64(f.At))))
		return
	}
	p.SetMode(f.Mode)
	time.Sleep(f.Span)
	if f.Kind == Lapse {
		for _, u := range p.Runners() {
			u.RemoveEntry()
		}
	}
	p.SetMode(standin.Healthy)
	if f.Kind == Lapse {
		time.Sleep(time.Second)
		for _, u := range p.Runners() {
			u.Register()
		}
	}
}

// drains is how long an upstream serves on once it has said that it leaves.
const drains = 2500 * time.Millisecond

func (r *Run) upstream(f Fault, u *standin.Runner) error {
	address := u.Address()
	if !r.take(address) {
		return nil
	}
	defer r.release(address)
	switch f.Kind {
	case Sick:
		u.SetFault(f.Trouble)
		time.Sleep(f.Span)
		u.SetFault(standin.NoFault)
		return nil
	case Shed:
		u.SetFault(standin.Shedding)
		time.Sleep(f.Span)
		u.SetFault(standin.NoFault)
		return nil
	case Leave:
		u.DeclareDraining()
		time.Sleep(f.Span)
	case Drain:
		u.Drain(drains)
		time.Sleep(drains)
	default:
	}
	r.fleet.Crash(u)
	time.Sleep(f.Span)
	return r.fleet.Replace(u)
}

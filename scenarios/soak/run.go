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

// Logf formats and prints one line of the run's output.
type Logf func(format string, args ...any)

// Run injects one schedule of faults into a fleet under load.
type Run struct {
	fleet *fleet.Fleet
	log   Logf
	seed  uint64
	// faults is the schedule, start its beginning.
	faults []Fault
	start  time.Time

	mu sync.Mutex
	// faulted holds the VMs and the addresses of the upstreams that a fault of their process
	// currently targets.
	faulted map[any]bool
	// injections holds the faults that have ended, and those skipped because their target was in
	// use by another fault.
	injections []injection
	calls      []call
	// revokeStart and revoked are the times when the revocation of revokedWorkspace's key was started
	// and confirmed. In between a VM may accept or reject the key.
	revokeStart, revoked time.Time
	// partErrors lists the violations of the bound on crashes under bad parts, parts counts these parts.
	partErrors []error
	parts      int
	// extraRoutes counts the routes that faults of kind AddRoute added.
	extraRoutes int
	// storeMu serializes the faults of the store.
	storeMu sync.Mutex
}

// injection is a fault with the VM that its index chose and the times when it started and ended.
type injection struct {
	fault    Fault
	vm       *fleet.VM
	from, to time.Time
}

// New returns a run with a schedule of faults, which was drawn for seed. The VMs of the fleet f must be ready.
func New(f *fleet.Fleet, seed uint64, faults []Fault, l Logf) *Run {
	return &Run{fleet: f, log: l, seed: seed, faults: faults, faulted: map[any]bool{}}
}

// Limits on the time that VMs and upstreams need to recover from a fault.
const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	// rewriteTime is the time within which writers write again what the store lost in a restore.
	rewriteTime = 2 * time.Second
	// settleTime is the time for VMs to accept that entries have expired and for upstreams to free
	// memory of abandoned requests.
	settleTime = 5 * time.Second
)

// Execute injects the faults of the schedule under load, waits until the fleet has recovered
// and checks its guarantees. The returned error joins all faults that could not be injected and
// all guarantees that were violated.
func (r *Run) Execute(length time.Duration) error {
	stop := make(chan struct{})
	var load, injecting sync.WaitGroup
	for i := range clients {
		load.Go(func() { r.runClient(i, stop) })
	}
	start := time.Now()
	r.start = start
	errs := make(chan error, len(r.faults)+1)
	for _, f := range r.faults {
		r.log("%s", f)
		injecting.Go(func() {
			time.Sleep(f.At - time.Since(start))
			if err := r.inject(f); err != nil {
				errs <- fmt.Errorf("%s: %w", f, err)
			}
		})
	}
	injecting.Go(func() {
		time.Sleep(length / 2)
		revokeStart := time.Now()
		r.fleet.Platform.RevokeKeys(revokedWorkspace)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.revokeStart, r.revoked = revokeStart, time.Now()
	})
	injecting.Wait()
	for _, v := range r.fleet.VMs {
		if err := v.AwaitReady(readyTimeout); err != nil {
			errs <- err
		}
	}
	time.Sleep(settleTime)
	close(stop)
	load.Wait()
	close(errs)
	return r.check(errs)
}

// acquire reserves a VM or an upstream's address for one fault. It returns false if another fault of
// its process is in progress.
func (r *Run) acquire(target any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faulted[target] {
		return false
	}
	r.faulted[target] = true
	return true
}

func (r *Run) release(target any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faulted, target)
}

// inject starts a fault, waits for its duration, ends it and records it.
func (r *Run) inject(f Fault) error {
	v := r.fleet.VMs[f.VM%len(r.fleet.VMs)]
	from := time.Now()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.injections = append(r.injections, injection{f, v, from, time.Now()})
	}()
	switch f.Kind {
	case Kill, Freeze, Stop, ReloadSettings:
		if !r.acquire(v) {
			return nil
		}
		defer r.release(v)
		return r.injectProcessFault(f, v)
	case Cut, Reset, Silence, Delay:
		r.injectLinkFault(f, v)
	case StoreOutage, DropHistory, ExpireEntries, RestoreOlderCopy:
		r.storeMu.Lock()
		defer r.storeMu.Unlock()
		r.injectStoreFault(f)
	case Crash, Drain, Misbehave, DeclareLeaving, Shed:
		us := r.fleet.Platform.Runners()
		return r.injectUpstreamFault(f, us[f.Other%len(us)])
	case Partition:
		return r.injectPartition(f, v)
	case SendBadPart:
		r.sendBadPart(f)
	case Flood:
		flood(f, v.Caller)
	case Exhaust:
		return r.exhaust(f, v)
	case DeclareLimit:
		us := r.fleet.Platform.Runners()
		u := us[f.Other%len(us)]
		u.DeclareLimit(f.Rate)
		time.Sleep(f.Duration)
		u.DeclareLimit(-1)
	case AddRoute:
		r.mu.Lock()
		r.extraRoutes++
		name := fmt.Sprintf("extra%d", r.extraRoutes)
		r.mu.Unlock()
		r.fleet.Platform.AddRoute(name)
	}
	return nil
}

func (r *Run) injectProcessFault(f Fault, v *fleet.VM) error {
	switch f.Kind {
	case ReloadSettings:
		return v.Process.Signal(syscall.SIGHUP)
	case Freeze:
		if err := v.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(f.Duration)
		return v.Process.Signal(syscall.SIGCONT)
	case Stop:
		if err := v.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-v.Process.Done():
		case <-time.After(stopTimeout):
			return fmt.Errorf("%s did not stop within %v", v.Name, stopTimeout)
		}
	default:
		v.Process.Kill()
		time.Sleep(f.Duration)
	}
	return r.fleet.Start(v)
}

func (r *Run) injectLinkFault(f Fault, v *fleet.VM) {
	l := r.fleet.StoreRelay
	switch f.LinkEnd {
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
		l.Delay(v.Name, f.Delay)
	default:
		l.Silence(v.Name, f.Directions, f.NewConnsToo)
	}
	time.Sleep(f.Duration)
	if f.Kind == Silence {
		// Silenced connections stay silent for good, and would disturb the VMs that use them after the
		// fault, so they are reset.
		l.Cut(v.Name)
	}
	l.Heal(v.Name)
}

// partitioned is the key of acquire for the paths of a VM to upstreams.
type partitioned struct{ *fleet.VM }

func (r *Run) injectPartition(f Fault, v *fleet.VM) error {
	if !r.acquire(partitioned{v}) {
		return nil
	}
	defer r.release(partitioned{v})
	if err := r.fleet.CutUpstreams(v, f.UpstreamFault); err != nil {
		return err
	}
	time.Sleep(f.Duration)
	return r.fleet.HealUpstreams(v)
}

func (r *Run) injectStoreFault(f Fault) {
	p := r.fleet.Platform
	if f.Kind == DropHistory {
		p.DropHistory()
		return
	}
	if f.Kind == RestoreOlderCopy {
		p.RestoreOlderCopy(f.StoreMode, f.Duration, f.CopyAge, rewriteTime, rand.New(rand.NewPCG(r.seed, uint64(f.At))))
		return
	}
	p.SetMode(f.StoreMode)
	time.Sleep(f.Duration)
	if f.Kind == ExpireEntries {
		for _, u := range p.Runners() {
			u.RemoveEntry()
		}
	}
	p.SetMode(standin.Healthy)
	if f.Kind == ExpireEntries {
		time.Sleep(time.Second)
		for _, u := range p.Runners() {
			u.Register()
		}
	}
}

// drainTime is how long an upstream continues to serve after it has announced in the store that it
// drains.
const drainTime = 2500 * time.Millisecond

func (r *Run) injectUpstreamFault(f Fault, u *standin.Runner) error {
	address := u.Address()
	if !r.acquire(address) {
		return nil
	}
	defer r.release(address)
	switch f.Kind {
	case Misbehave:
		u.SetFault(f.RunnerFault)
		time.Sleep(f.Duration)
		u.SetFault(standin.NoFault)
		return nil
	case Shed:
		u.SetFault(standin.Shedding)
		time.Sleep(f.Duration)
		u.SetFault(standin.NoFault)
		return nil
	case DeclareLeaving:
		u.DeclareDraining()
		time.Sleep(f.Duration)
	case Drain:
		u.Drain(drainTime)
		time.Sleep(drainTime)
	default:
	}
	r.fleet.Crash(u)
	time.Sleep(f.Duration)
	return r.fleet.Replace(u)
}

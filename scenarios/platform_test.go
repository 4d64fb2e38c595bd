package scenarios

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// startTimeout bounds the start of a fleet on a busy machine.
const startTimeout = 20 * time.Second

// newFleet starts a number of VMs on an emulated platform, with the workspaces "ward" and "desk", and waits until all are
// ready.
func newFleet(t *testing.T, vms int) *fleet.Fleet {
	t.Helper()
	return newFleetWith(t, vms, func(*fleet.Fleet) {})
}

// newFleetWith is newFleet with a function that is called before the VMs start.
func newFleetWith(t *testing.T, vms int, prepare func(*fleet.Fleet)) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(t.TempDir(), filepath.Join(binDir, "snipeshiftd"), vms, prepare)
	t.Cleanup(f.Close)
	require.NoError(t, err)
	for _, v := range f.VMs {
		require.NoError(t, v.AwaitReady(startTimeout))
	}
	return f
}

// load sends requests to all routes in turn, through VMs that are ready, until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	responses int
	failures  []string
}

// loadClients is the number of clients of a load.
const loadClients = 6

func newLoad(f *fleet.Fleet) *load {
	l := &load{stop: make(chan struct{})}
	for i := range loadClients {
		c := standin.NewClient("ward")
		l.wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.send(c, f.VMs[n%len(f.VMs)], []string{"draft", "lookup", "notice"}[n%3])
			}
		})
	}
	return l
}

func (l *load) send(c *standin.Client, v *fleet.VM, route string) {
	if !v.Ready() {
		time.Sleep(20 * time.Millisecond) // a load balancer would choose another VM
		return
	}
	a := c.Call(v.Caller, route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses++
	if !a.Complete {
		l.failures = append(l.failures, fmt.Sprintf("%s at %s: %d %s after %v", route, v.Name, a.Status, a.Text, a.Duration))
	}
}

// enoughResponses is a number of responses that includes several of each route from each VM.
const enoughResponses = 30

// awaitResponses waits until enoughResponses further responses have arrived.
func (l *load) awaitResponses(t *testing.T) {
	t.Helper()
	goal := l.count() + enoughResponses
	require.Eventually(t, func() bool { return l.count() >= goal }, startTimeout, 10*time.Millisecond)
}

func (l *load) count() int { l.mu.Lock(); defer l.mu.Unlock(); return l.responses }

// stopAndCheck stops the load and requires that each request got its complete response, that no request that may not be
// repeated ran twice, and that none ran for another workspace.
func (l *load) stopAndCheck(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	l.finish(t, f)
	require.Empty(t, l.failures)
}

// finish stops the load and requires that no request that may not be repeated ran twice, and that none ran for another
// workspace.
func (l *load) finish(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	require.Greater(t, l.responses, 20)
	twice, wrong := f.Platform.RunViolations()
	require.Zero(t, twice, "requests ran twice that may not be repeated")
	require.Zero(t, wrong, "requests ran for another workspace")
}

func TestPlatformServesWithoutFaults(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(2 * time.Second)
	l.stopAndCheck(t, f)
}

// The operator adds a route. Two seconds later every VM must serve it.
func TestPlatformNewRouteIsServedSoon(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	f.Platform.AddRoute("extra")
	time.Sleep(2 * time.Second)
	c := standin.NewClient("ward")
	for _, v := range f.VMs {
		require.True(t, c.Call(v.Caller, "extra").Complete)
	}
	l.stopAndCheck(t, f)
}

// The operator withdraws the API key of a workspace, and the store has discarded its change history as well, so watches
// can't resume. Two seconds later every VM must reject the key.
func TestPlatformWithdrawnKeyIsRefused(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	c := standin.NewClient("desk")
	require.True(t, c.Call(f.VMs[0].Caller, "lookup").Complete)
	f.Platform.DropHistory()
	f.Platform.RevokeKeys("desk")
	time.Sleep(2 * time.Second)
	for _, v := range f.VMs {
		require.Equal(t, http.StatusUnauthorized, c.Call(v.Caller, "lookup").Status)
	}
	l.stopAndCheck(t, f)
}

// The operator evacuates a failure domain while the store discards its history, and then the store does not
// answer. The upstreams there are ready, and two seconds later they must receive no new requests. Once the
// evacuation has ended they must be used again.
func TestPlatformEvacuatedDomainGetsNoRequests(t *testing.T) {
	f := newFleet(t, 3)
	evacuated := []*standin.Runner{f.Platform.Models[0], f.Platform.Models[1], f.Platform.Desks[0]}
	for _, r := range evacuated {
		r.MoveTo("annex")
	}
	l := newLoad(f)
	l.awaitResponses(t)
	f.Platform.DropHistory()
	f.Platform.Evacuate("annex", 2*time.Second)
	time.Sleep(2 * time.Second)
	f.Platform.SetMode(standin.Unresponsive)
	l.awaitResponses(t)
	f.Platform.SetMode(standin.Healthy)
	for _, r := range evacuated {
		require.Zero(t, r.LateRequests(), r.ID())
	}
	before := evacuated[2].AttemptsRun()
	f.Platform.TakeBack("annex")
	require.Eventually(t, func() bool { return evacuated[2].AttemptsRun() > before }, startTimeout, 10*time.Millisecond)
	l.stopAndCheck(t, f)
}

// An upstream announces that it leaves. Two seconds later it must receive no new requests, and no request fails.
func TestPlatformLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(500 * time.Millisecond)
	f.Platform.Models[0].Drain(2 * time.Second)
	f.Platform.Desks[0].Drain(2 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	require.Zero(t, f.Platform.Models[0].LateRequests())
	require.Zero(t, f.Platform.Desks[0].LateRequests())
	l.stopAndCheck(t, f)
}

// An engine crashes while it serves streams. Other engines must resume them.
func TestPlatformStreamsResumeAfterEngineCrash(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(500 * time.Millisecond)
	f.Platform.Models[0].Crash()
	time.Sleep(2 * time.Second)
	l.stopAndCheck(t, f)
}

// Every VM is stopped and started in turn, under load. No request may fail.
func TestPlatformRollingRestart(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	for _, v := range f.VMs {
		require.NoError(t, v.Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return !v.Ready() }, time.Second, 10*time.Millisecond)
		select {
		case <-v.Process.Done():
		case <-time.After(8 * time.Second):
			require.Fail(t, "VM did not stop within its grace period", v.Process.Tail())
		}
		require.True(t, v.Process.Succeeded(), v.Process.Status())
		require.NoError(t, f.Start(v))
		require.NoError(t, v.AwaitReady(startTimeout))
	}
	l.stopAndCheck(t, f)
}

// The store is unavailable for less time than cached API keys may be accepted, and the entries of all upstreams have
// expired when it is back. No request may fail.
func TestPlatformShortOutageOfTheStore(t *testing.T) {
	for _, mode := range []standin.StoreMode{standin.Unavailable, standin.Unresponsive} {
		f := newFleet(t, 3)
		l := newLoad(f)
		f.Platform.SetMode(mode)
		time.Sleep(1500 * time.Millisecond)
		for _, r := range append(f.Platform.Models, f.Platform.Desks...) {
			r.RemoveEntry()
		}
		f.Platform.SetMode(standin.Healthy)
		time.Sleep(time.Second)
		for _, r := range append(f.Platform.Models, f.Platform.Desks...) {
			r.Register()
		}
		time.Sleep(2 * time.Second)
		l.stopAndCheck(t, f)
	}
}

// The store is unavailable for longer than cached API keys may be accepted. Keys may have been withdrawn since, so clients
// must get status 503, and VMs must report that they are not ready.
func TestPlatformLongOutageOfTheStore(t *testing.T) {
	f := newFleet(t, 2)
	f.Platform.SetMode(standin.Unresponsive)
	time.Sleep(5500 * time.Millisecond)
	a := standin.NewClient("ward").Call(f.VMs[0].Caller, "notice")
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.False(t, f.VMs[0].Ready())
	f.Platform.SetMode(standin.Healthy)
	require.NoError(t, f.VMs[0].AwaitReady(startTimeout))
	require.True(t, standin.NewClient("ward").Call(f.VMs[0].Caller, "notice").Complete)
}

// Each VM is killed in turn, the owner of the services among them. The others must serve requests without waiting for the
// killed VM.
func TestPlatformKilledOwner(t *testing.T) {
	f := newFleet(t, 3)
	for _, v := range f.VMs {
		v.Process.Kill()
		c := standin.NewClient("ward")
		for _, o := range f.VMs {
			if o == v {
				continue
			}
			for _, r := range []string{"draft", "lookup", "notice"} {
				a := c.Call(o.Caller, r)
				require.True(t, a.Complete, a.Text)
				require.Less(t, a.Duration, 2*time.Second)
			}
		}
		require.NoError(t, f.Start(v))
		require.NoError(t, v.AwaitReady(startTimeout))
	}
}

// A poison request crashes each upstream that begins to run it, and its client repeats it, each time through another VM.
// Crashed upstreams are back after a second. If each VM had to detect the request by itself, the service would be down for
// all clients for as long as this client goes on.
func TestPlatformPoisonRequestCrashesFewUpstreams(t *testing.T) {
	f := newFleet(t, 3)
	for _, r := range f.Platform.Desks {
		r.OnCrash = func(r *standin.Runner) {
			f.Crash(r)
			time.AfterFunc(time.Second, func() { _ = f.Replace(r) })
		}
	}
	c := standin.NewClient("ward")
	runs := 0
	for i := range 9 {
		a := c.CallPoison(f.VMs[i%3].Caller, "lookup")
		require.NotEqual(t, http.StatusOK, a.Status)
		runs += f.Platform.RunCount(a.ID)
		time.Sleep(200 * time.Millisecond)
	}
	require.Positive(t, runs)
	require.LessOrEqual(t, runs, 3)
	require.Eventually(t, func() bool { return c.Call(f.VMs[0].Caller, "lookup").Complete }, 5*time.Second, 100*time.Millisecond, "other requests are served")
}

// Another writer adds invalid entries to the list of upstreams in the store and overwrites a valid one. A VM that rejected
// the whole list would refuse every request; a VM that accepted the invalid entries would send requests to addresses
// where nothing listens.
func TestPlatformInvalidEntriesOfAnotherWriter(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	f.Platform.AddInvalidEntries()
	corrupted := f.Platform.Models[0]
	corrupted.CorruptEntry()
	for _, v := range f.VMs {
		require.Eventually(t, func() bool { return len(v.Process.Grep(`"upstream":"`+corrupted.ID()+`","reason"`)) > 0 }, startTimeout, 20*time.Millisecond, v.Name)
	}
	for _, v := range f.VMs {
		for _, id := range f.Platform.InvalidEntries() {
			require.Len(t, v.Process.Grep(`"upstream":"`+id+`","reason"`), 1, "%s: %s", v.Name, id)
		}
	}
	l.awaitResponses(t)
	corrupted.Register()
	before := corrupted.AttemptsRun()
	require.Eventually(t, func() bool { return corrupted.AttemptsRun() > before }, startTimeout, 20*time.Millisecond, "the upstream is used again")
	l.stopAndCheck(t, f)
	for _, v := range f.VMs {
		v.Process.Kill()
	}
	for _, v := range f.VMs {
		require.NoError(t, f.Start(v))
	}
	for _, v := range f.VMs {
		require.NoError(t, v.AwaitReady(startTimeout), "VMs that all restart at once can read the list only from the store")
		require.True(t, standin.NewClient("ward").Call(v.Caller, "draft").Complete)
		require.NotEmpty(t, v.Process.Grep(`"event":"unusable"`), v.Name)
	}
}

// An engine crashes while it serves streams and restarts with the same id and address. Other engines must resume the
// streams, and the engine must receive requests again: it would stay idle if the owner still counted the grants of the
// earlier incarnation as running.
func TestPlatformEngineRestartsWithSameID(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	crashed := f.Platform.Models[0]
	f.Crash(crashed)
	l.awaitResponses(t)
	require.NoError(t, f.Restart(crashed))
	restarted := f.Platform.Models[0]
	require.Eventually(t, func() bool { return restarted.AttemptsRun() > 0 }, 3*time.Second, 50*time.Millisecond)
	l.stopAndCheck(t, f)
}

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

// startLimit bounds the start of a fleet on a busy machine.
const startLimit = 20 * time.Second

// newFleet starts VMs on a stand-in of the platform.
func newFleet(t *testing.T, vms int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(t.TempDir(), filepath.Join(bin, "snipeshiftd"), vms)
	t.Cleanup(f.Close)
	require.NoError(t, err)
	for _, v := range f.VMs {
		require.NoError(t, v.AwaitReady(startLimit))
	}
	return f
}

// load calls in turn on all routes, through VMs that are ready, until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	answers  int
	failures []string
}

// callers is how many callers a load has.
const callers = 6

func newLoad(f *fleet.Fleet) *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		c := standin.NewClient("ward")
		l.wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.call(c, f.VMs[n%len(f.VMs)], []string{"draft", "lookup", "notice"}[n%3])
			}
		})
	}
	return l
}

func (l *load) call(c *standin.Client, v *fleet.VM, route string) {
	if !v.Ready() {
		time.Sleep(20 * time.Millisecond) // the balancer would choose another one
		return
	}
	a := c.Call(v.Caller, route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	if !a.Complete {
		l.failures = append(l.failures, fmt.Sprintf("%s at %s: %d %s after %v", route, v.Name, a.Status, a.Text, a.Duration))
	}
}

// enough answers are some of each route from each VM.
const enough = 30

// more waits until enough more requests are answered.
func (l *load) more(t *testing.T) {
	t.Helper()
	goal := l.count() + enough
	require.Eventually(t, func() bool { return l.count() >= goal }, startLimit, 10*time.Millisecond)
}

func (l *load) count() int { l.mu.Lock(); defer l.mu.Unlock(); return l.answers }

// end stops the load and requires that each request got its whole answer.
func (l *load) end(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	require.Greater(t, l.answers, 20)
	require.Empty(t, l.failures)
	twice, wrong := f.Platform.RunViolations()
	require.Zero(t, twice, "ran twice, and may not")
	require.Zero(t, wrong, "ran for another workspace")
}

func TestPlatformCalmDay(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(2 * time.Second)
	l.end(t, f)
}

// The operator adds a route. A caller who was told of it meets a VM that does not know it.
func TestPlatformNewRouteIsServedSoon(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	f.Platform.AddRoute("extra")
	time.Sleep(2 * time.Second)
	c := standin.NewClient("ward")
	for _, v := range f.VMs {
		require.True(t, c.Call(v.Caller, "extra").Complete)
	}
	l.end(t, f)
}

// The operator shuts a team out, and the store has lost its history on top. Five seconds later
// nothing runs for that team, on any VM.
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
	l.end(t, f)
}

// An upstream announces that it leaves. Two seconds later it gets nothing new, and
// nobody notices.
func TestPlatformLeavingUpstreamGetsNothingNew(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(500 * time.Millisecond)
	f.Platform.Models[0].Drain(2 * time.Second)
	f.Platform.Desks[0].Drain(2 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	require.Zero(t, f.Platform.Models[0].LateRequests())
	require.Zero(t, f.Platform.Desks[0].LateRequests())
	l.end(t, f)
}

// An engine crashes under its streams. They are continued by others.
func TestPlatformCrashedEngineCostsNoStream(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	time.Sleep(500 * time.Millisecond)
	f.Platform.Models[0].Crash()
	time.Sleep(2 * time.Second)
	l.end(t, f)
}

// Every VM is stopped and started in turn, under load. No request is cut off.
func TestPlatformRollingRestart(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	for _, v := range f.VMs {
		require.NoError(t, v.Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return !v.Ready() }, time.Second, 10*time.Millisecond)
		select {
		case <-v.Process.Done():
		case <-time.After(8 * time.Second):
			require.Fail(t, "not stopped within its grace", v.Process.Tail())
		}
		require.True(t, v.Process.Succeeded(), v.Process.Status())
		require.NoError(t, f.Start(v))
		require.NoError(t, v.AwaitReady(startLimit))
	}
	l.end(t, f)
}

// The store is away for as long as the keys known may be trusted, and its entries have
// lapsed when it is back. Nobody notices.
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
		l.end(t, f)
	}
}

// The store stays away longer than that. Keys may have been withdrawn, so callers get a
// truthful refusal, and VMs take themselves out of rotation.
func TestPlatformLongOutageOfTheStore(t *testing.T) {
	f := newFleet(t, 2)
	f.Platform.SetMode(standin.Unresponsive)
	time.Sleep(5500 * time.Millisecond)
	a := standin.NewClient("ward").Call(f.VMs[0].Caller, "notice")
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.False(t, f.VMs[0].Ready())
	f.Platform.SetMode(standin.Healthy)
	require.NoError(t, f.VMs[0].AwaitReady(startLimit))
	require.True(t, standin.NewClient("ward").Call(f.VMs[0].Caller, "notice").Complete)
}

// The VM that owns the services is killed. The others pass it over.
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
		require.NoError(t, v.AwaitReady(startLimit))
	}
}

// A caller's request crashes each upstream that begins to run it, and the caller sends it again and again, each
// time to another VM. Crashed upstreams are back after a second. If each VM had to find out for
// itself, the service would be down for everybody for as long as the caller goes on.
func TestPlatformKillerRequestIsMetByFewUpstreams(t *testing.T) {
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
	require.Eventually(t, func() bool { return c.Call(f.VMs[0].Caller, "lookup").Complete }, 5*time.Second, 100*time.Millisecond, "others are served")
}

// Another writer puts entries into the store that name no upstream, and overwrites one that does. A VM that took
// the whole list for unreadable would refuse every request; one that took them at their word would send requests to nowhere.
func TestPlatformEntriesOfAnotherWriter(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	f.Platform.AddInvalidEntries()
	spoilt := f.Platform.Models[0]
	spoilt.CorruptEntry()
	for _, v := range f.VMs {
		require.Eventually(t, func() bool { return len(v.Process.Grep(`"upstream":"`+spoilt.ID()+`","reason"`)) > 0 }, startLimit, 20*time.Millisecond, v.Name)
	}
	l.more(t)
	spoilt.Register()
	before := spoilt.AttemptsRun()
	require.Eventually(t, func() bool { return spoilt.AttemptsRun() > before }, startLimit, 20*time.Millisecond, "it is used again")
	l.end(t, f)
	for _, v := range f.VMs {
		v.Process.Kill()
	}
	for _, v := range f.VMs {
		require.NoError(t, f.Start(v))
	}
	for _, v := range f.VMs {
		require.NoError(t, v.AwaitReady(startLimit), "VMs that all start anew have the store's list alone")
		require.True(t, standin.NewClient("ward").Call(v.Caller, "draft").Complete)
		require.NotEmpty(t, v.Process.Grep(`"event":"unusable"`), v.Name)
	}
}

// An engine crashes under its streams and starts again under its id and address. They are continued by others, and
// the engine gets work again: it would stand idle if the books still held what its earlier life had.
func TestPlatformRunnerComesBackUnderItsID(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.more(t)
	old := f.Platform.Models[0]
	f.Crash(old)
	l.more(t)
	require.NoError(t, f.Restart(old))
	revived := f.Platform.Models[0]
	require.Eventually(t, func() bool { return revived.AttemptsRun() > 0 }, 3*time.Second, 50*time.Millisecond)
	l.end(t, f)
}

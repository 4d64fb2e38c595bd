package scenarios

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/process"
)

// fleet is a few VMs on a stand-in of the platform, each a process of its own.
type fleet struct {
	t        *testing.T
	dir      string
	platform *standin.Platform
	vms      []*vm
}

// vm is one entry VM with the addresses of its doors.
type vm struct {
	name, caller, ready, peer string
	settings                  string
	process                   *process.Process
}

// startLimit bounds the start of a fleet on a busy machine.
const startLimit = 20 * time.Second

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: standin.New(3, 3, "ward", "desk")}
	t.Cleanup(f.platform.Close)
	for i := range vms {
		f.vms = append(f.vms, &vm{name: fmt.Sprintf("vm-%d", i+1), caller: free(t), ready: free(t), peer: free(t)})
	}
	seeds := fmt.Sprintf("%q", f.vms[0].peer)
	for _, v := range f.vms {
		v.settings = filepath.Join(f.dir, v.name+".hujson")
		text := fmt.Sprintf(`{"name": %q, "domain": "hall", "caller": %q, "ready": %q, "peer": %q, "store": %q, "peers": [%s], "bounds": {"grace": 6000}}`,
			v.name, v.caller, v.ready, v.peer, f.platform.Address(), seeds)
		require.NoError(t, os.WriteFile(v.settings, []byte(text), 0o600))
		f.start(v)
	}
	for _, v := range f.vms {
		f.awaitReady(v)
	}
	return f
}

// free finds an address that nobody listens on.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) start(v *vm) {
	p, err := process.Start(f.dir, v.name, filepath.Join(bin, "snipeshiftd"), "relay", "--settings", v.settings)
	require.NoError(f.t, err)
	v.process = p
	f.t.Cleanup(p.Kill)
}

// isReady asks as the balancer does.
func isReady(v *vm) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(v *vm) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return isReady(v) }, startLimit, 50*time.Millisecond, "%s: %s", v.name, v.process.Tail())
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

func (f *fleet) load() *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		c := standin.NewCaller("ward")
		l.wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.call(c, f.vms[n%len(f.vms)], []string{"draft", "lookup", "notice"}[n%3])
			}
		})
	}
	return l
}

func (l *load) call(c *standin.Caller, v *vm, route string) {
	if !isReady(v) {
		time.Sleep(20 * time.Millisecond) // the balancer would choose another one
		return
	}
	a := c.Call(v.caller, route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	if !a.Whole {
		l.failures = append(l.failures, fmt.Sprintf("%s at %s: %d %s after %v", route, v.name, a.Status, a.Text, a.Took))
	}
}

// end stops the load and requires that each request got its whole answer.
func (l *load) end(t *testing.T, f *fleet) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	require.Greater(t, l.answers, 20)
	require.Empty(t, l.failures)
	twice, wrong := f.platform.Ran()
	require.Zero(t, twice, "ran twice, and may not")
	require.Zero(t, wrong, "ran for another workspace")
}

func TestPlatformCalmDay(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	time.Sleep(2 * time.Second)
	l.end(t, f)
}

// The operator adds a route. A caller who was told of it meets a VM that does not know it.
func TestPlatformNewRouteIsServedSoon(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	f.platform.AddRoute("extra")
	time.Sleep(2 * time.Second)
	c := standin.NewCaller("ward")
	for _, v := range f.vms {
		require.True(t, c.Call(v.caller, "extra").Whole)
	}
	l.end(t, f)
}

// The operator shuts a team out, and the store has lost its history on top. Five seconds later
// nothing runs for that team, on any VM.
func TestPlatformWithdrawnKeyIsRefused(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	c := standin.NewCaller("desk")
	require.True(t, c.Call(f.vms[0].caller, "lookup").Whole)
	f.platform.Forget()
	f.platform.Withdraw("desk")
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		require.Equal(t, http.StatusUnauthorized, c.Call(v.caller, "lookup").Status)
	}
	l.end(t, f)
}

// An upstream announces that it leaves. Two seconds later it gets nothing new, and
// nobody notices.
func TestPlatformLeavingUpstreamGetsNothingNew(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	time.Sleep(500 * time.Millisecond)
	f.platform.Models[0].Drain(2 * time.Second)
	f.platform.Desks[0].Drain(2 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	require.Zero(t, f.platform.Models[0].Late())
	require.Zero(t, f.platform.Desks[0].Late())
	l.end(t, f)
}

// An engine crashes under its streams. They are continued by others.
func TestPlatformCrashedEngineCostsNoStream(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	time.Sleep(500 * time.Millisecond)
	f.platform.Models[0].Crash()
	time.Sleep(2 * time.Second)
	l.end(t, f)
}

// Every VM is stopped and started in turn, under load. No request is cut off.
func TestPlatformRollingRestart(t *testing.T) {
	f := newFleet(t, 3)
	l := f.load()
	for _, v := range f.vms {
		require.NoError(t, v.process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return !isReady(v) }, time.Second, 10*time.Millisecond)
		select {
		case <-v.process.Done():
		case <-time.After(8 * time.Second):
			require.Fail(t, "not stopped within its grace", v.process.Tail())
		}
		require.True(t, v.process.Clean(), v.process.Status())
		f.start(v)
		f.awaitReady(v)
	}
	l.end(t, f)
}

// The store is away for as long as the keys known may be trusted, and its entries have
// lapsed when it is back. Nobody notices.
func TestPlatformShortOutageOfTheStore(t *testing.T) {
	for _, mode := range []standin.Mode{standin.Busy, standin.Mute} {
		f := newFleet(t, 3)
		l := f.load()
		f.platform.Fail(mode)
		time.Sleep(1500 * time.Millisecond)
		for _, r := range append(f.platform.Models, f.platform.Desks...) {
			r.Lapse()
		}
		f.platform.Fail(standin.Well)
		time.Sleep(time.Second)
		for _, r := range append(f.platform.Models, f.platform.Desks...) {
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
	f.platform.Fail(standin.Mute)
	time.Sleep(5500 * time.Millisecond)
	a := standin.NewCaller("ward").Call(f.vms[0].caller, "notice")
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.False(t, isReady(f.vms[0]))
	f.platform.Fail(standin.Well)
	f.awaitReady(f.vms[0])
	require.True(t, standin.NewCaller("ward").Call(f.vms[0].caller, "notice").Whole)
}

// The VM that owns the services is killed. The others pass it over.
func TestPlatformKilledOwner(t *testing.T) {
	f := newFleet(t, 3)
	for _, v := range f.vms {
		v.process.Kill()
		c := standin.NewCaller("ward")
		for _, o := range f.vms {
			if o == v {
				continue
			}
			for _, r := range []string{"draft", "lookup", "notice"} {
				a := c.Call(o.caller, r)
				require.True(t, a.Whole, a.Text)
				require.Less(t, a.Took, 2*time.Second)
			}
		}
		f.start(v)
		f.awaitReady(v)
	}
}

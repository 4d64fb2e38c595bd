// Package fleet runs entry VMs (VMs that accept client requests), each as a separate process, against
// an emulated platform inside the test process. Their connections to the store, to each other and to
// upstreams pass through relays, so that a test can cut, silence or delay any link.
package fleet

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"snipeshift.example/platform"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/process"
	"snipeshift.example/scenarios/relay"
)

// VM is one entry VM with the addresses that it listens on.
type VM struct {
	Name string
	// Caller is the address for clients, readyAddress that of the load balancer's readiness check.
	Caller       string
	readyAddress string
	// Metrics is the address that serves metrics and profiles.
	Metrics string
	// Peer is the relay for the connections of other VMs to this one.
	Peer *relay.Relay
	// Process is the current process, or the last one if it has exited; nil before the first start.
	Process *process.Process
	// settingsPath is the path of the settings file.
	settingsPath string
	// peerAddress is the address for peers on which the process itself listens, behind Peer.
	peerAddress string
}

// Fleet is an emulated platform with the VMs that run on it.
type Fleet struct {
	Platform *standin.Platform
	VMs      []*VM
	// StoreRelay is the relay for the connections of all VMs to the store.
	StoreRelay *relay.Relay
	// Respawn is how long after a crash under a poison request or a bad part a runner gets a successor with a new id; zero
	// for none. It must be set before the first crash.
	Respawn time.Duration
	// Descriptors is the number of descriptors that each VM may open; zero for no limit of the test's own.
	Descriptors int
	// Settings are further fields of each VM's settings, as JSON with a comma behind each; empty for none.
	Settings string

	dir, program string
	finder       *relay.Finder
	// upstreams holds the relay in front of each runner (an upstream of the emulated platform), by the
	// address that the runner is registered under.
	upstreams map[string]*relay.Relay
}

// New starts an emulated platform and a number of VMs that run the given program. Settings and
// logs are written to dir. prepare is called before the VMs start. On an error the returned fleet still has to be closed.
func New(dir, program string, vms int, prepare func(*Fleet)) (*Fleet, error) {
	f := &Fleet{
		Platform: standin.New(modelRunners, serviceRunners, "ward", "desk"), dir: dir, program: program,
		finder: relay.NewFinder(), upstreams: map[string]*relay.Relay{},
	}
	prepare(f)
	f.finder.AddProcess(os.Getpid(), Client)
	var err error
	if f.StoreRelay, err = f.newRelay(f.Platform.Address()); err != nil {
		return f, err
	}
	for _, r := range f.Platform.Runners() {
		l, err := f.newRelay(r.ListenAddress())
		if err != nil {
			return f, err
		}
		l.WaitForSource(identifyTimeout)
		f.upstreams[l.Address()] = l
		r.OnCrash, r.ResolveVM = f.CrashAndRespawn, l.Source
		r.RegisterAt(l.Address())
	}
	for i := range vms {
		if err := f.addVM(fmt.Sprintf("vm-%d", i+1)); err != nil {
			return f, err
		}
	}
	for _, v := range f.VMs {
		if err := f.Start(v); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Size and time limits of a fleet.
const (
	// modelRunners and serviceRunners are the numbers of runners (upstreams) of the model and of the plain service.
	modelRunners   = 4
	serviceRunners = 3
	// stopTimeout is the time limit of a VM's graceful stop, in milliseconds.
	stopTimeout = 6000
	// evacuationBound is the time within which VMs stop sending to an evacuated failure domain, in milliseconds.
	evacuationBound = 3000
	// identifyTimeout is how long a relay in front of a runner may delay a connection to identify the
	// process that opened it. It is well below the 150 ms or more after which a VM gives up a poll or an order to a runner.
	identifyTimeout = 50 * time.Millisecond
)

// Client is the name of the test process, which acts as the client, as a source of connections at relays.
const Client = "caller"

// newRelay returns a new relay that forwards connections to an address.
func (f *Fleet) newRelay(to string) (*relay.Relay, error) {
	r, err := relay.New(f.finder)
	if err != nil {
		return nil, err
	}
	return r, r.Up(to)
}

// addVM chooses the addresses of a VM and writes its settings, without starting it.
func (f *Fleet) addVM(name string) error {
	v := &VM{Name: name, settingsPath: filepath.Join(f.dir, name+".hujson")}
	for _, address := range []*string{&v.Caller, &v.readyAddress, &v.peerAddress, &v.Metrics} {
		a, err := relay.FreeAddress()
		if err != nil {
			return err
		}
		*address = a
	}
	var err error
	if v.Peer, err = f.newRelay(v.peerAddress); err != nil {
		return err
	}
	f.VMs = append(f.VMs, v)
	text := fmt.Sprintf(`{"name": %q, "domain": "hall", "caller": %q, "ready": %q, "metrics": %q, "peer": %q, "advertise": %q, "store": %q, "peers": [%q], %s "bounds": {"grace": %d, "evacuation": %d}}`,
		v.Name, v.Caller, v.readyAddress, v.Metrics, v.peerAddress, v.Peer.Address(), f.StoreRelay.Address(), f.VMs[0].Peer.Address(), f.Settings, stopTimeout, evacuationBound)
	return os.WriteFile(v.settingsPath, []byte(text), 0o600)
}

// Start starts the process of a VM that is not running.
func (f *Fleet) Start(v *VM) error {
	program, args := f.program, []string{"relay", "--settings", v.settingsPath}
	if f.Descriptors > 0 {
		program, args = "/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, f.Descriptors), "sh", program}, args...)
	}
	p, err := process.Start(f.dir, v.Name, program, args...)
	if err != nil {
		return err
	}
	if v.Process != nil {
		f.finder.RemoveProcess(v.Process.Pid())
	}
	f.finder.AddProcess(p.Pid(), v.Name)
	v.Process = p
	return nil
}

// UpstreamFault is how the connections of a VM to upstreams fail. For the connects the program must be built
// with the tag "faults".
type UpstreamFault string

// The faults of a VM's connections to all upstreams.
const (
	// RefuseNew refuses connects; open connections continue.
	RefuseNew UpstreamFault = "live on"
	// ResetAll refuses connects and resets open connections.
	ResetAll UpstreamFault = "reset"
	// HangAll leaves connects without an answer and drops the data of open connections.
	HangAll UpstreamFault = "hang"
)

// connects is what the fault does to connects, as daemons read it.
func (x UpstreamFault) connects() string {
	if x == HangAll {
		return "hang"
	}
	return "refuse"
}

// CutUpstreams makes the connections of a VM to all upstreams fail until HealUpstreams.
func (f *Fleet) CutUpstreams(v *VM, x UpstreamFault) error {
	if err := os.WriteFile(f.faultPath(v), []byte(x.connects()), 0o600); err != nil {
		return err
	}
	for _, l := range f.upstreams {
		switch x {
		case ResetAll:
			l.Cut(v.Name)
			l.Heal(v.Name)
		case HangAll:
			l.Silence(v.Name, relay.Both, false)
		case RefuseNew:
		}
	}
	return nil
}

// HealUpstreams ends the fault of CutUpstreams. Connections that it silenced are reset.
func (f *Fleet) HealUpstreams(v *VM) error {
	for _, l := range f.upstreams {
		l.Cut(v.Name)
		l.Heal(v.Name)
	}
	return os.Remove(f.faultPath(v))
}

// faultPath returns the path of the file that makes connects of a VM fail.
func (f *Fleet) faultPath(v *VM) string { return filepath.Join(f.dir, v.Name) }

// UpstreamRelay returns the relay in front of a runner.
func (f *Fleet) UpstreamRelay(r *standin.Runner) *relay.Relay { return f.upstreams[r.Address()] }

// Crash crashes a runner. Its registered address then refuses connections. It returns false if the runner had crashed
// before.
func (f *Fleet) Crash(r *standin.Runner) bool {
	f.UpstreamRelay(r).Down()
	return r.Crash()
}

// CrashAndRespawn crashes a runner that gets a successor after Respawn.
func (f *Fleet) CrashAndRespawn(r *standin.Runner) {
	if f.Crash(r) && f.Respawn > 0 {
		time.AfterFunc(f.Respawn, func() { _ = f.Replace(r) })
	}
}

// Replace starts a runner with a new id at the registered address of one that has crashed.
func (f *Fleet) Replace(old *standin.Runner) error {
	return f.startSuccessor(old, f.Platform.ReplaceRunner)
}

// Restart starts the next incarnation of a crashed runner, with the same id and registered address.
func (f *Fleet) Restart(old *standin.Runner) error {
	return f.startSuccessor(old, f.Platform.RestartRunner)
}

// startSuccessor starts the successor of a crashed runner and puts it behind the same relay.
func (f *Fleet) startSuccessor(old *standin.Runner, start func(*standin.Runner) *standin.Runner) error {
	l := f.UpstreamRelay(old)
	r := start(old)
	r.OnCrash, r.ResolveVM = f.CrashAndRespawn, l.Source
	if err := l.Up(r.ListenAddress()); err != nil {
		return err
	}
	r.RegisterAt(l.Address())
	return nil
}

// Ready reports whether the VM passes the readiness check of the load balancer.
func (v *VM) Ready() bool {
	c := http.Client{Timeout: readyTimeout}
	resp, err := c.Get("http://" + v.readyAddress + platform.ReadyPath) //nolint:noctx // the client has a timeout
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyTimeout limits one readiness check.
const readyTimeout = 500 * time.Millisecond

// AwaitReady waits until the VM is ready to serve clients.
func (v *VM) AwaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if v.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v: %s", v.Name, timeout, v.Process.Tail())
}

// PeerListener returns the address for peers on which the process itself listens.
func (v *VM) PeerListener() string { return v.peerAddress }

// Logs returns the status of each VM's process and the end of its log.
func (f *Fleet) Logs() string {
	text := ""
	for _, v := range f.VMs {
		text += "--- " + v.Name + ", " + v.Process.Status() + "\n" + v.Process.Tail() + "\n"
	}
	return text
}

// Close kills all VMs and closes all relays and the platform.
func (f *Fleet) Close() {
	for _, v := range f.VMs {
		if v.Process != nil {
			v.Process.Kill()
		}
		v.Peer.Close()
	}
	for _, l := range f.upstreams {
		l.Close()
	}
	if f.StoreRelay != nil {
		f.StoreRelay.Close()
	}
	f.Platform.Close()
}

// Package fleet runs entry VMs on a stand-in of the platform, each a process of its own. What
// they say to the store, to each other and to upstreams passes through relays, so that a
// test can cut, silence or delay any link.
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

// VM is one entry VM with the addresses of its doors.
type VM struct {
	Name   string
	Caller string
	ready  string
	// Metrics is where metrics and profiles are served.
	Metrics string
	// Peer carries what other VMs say to it.
	Peer *relay.Relay
	// Process is its present life.
	Process  *process.Process
	settings string
	door     string
}

// Fleet is a platform with VMs.
type Fleet struct {
	Platform *standin.Platform
	VMs      []*VM
	// StoreRelay carries what VMs say to the store.
	StoreRelay *relay.Relay

	dir, program string
	finder       *relay.Finder
	// upstreams carry what VMs say to a runner, by the address that it is registered under.
	upstreams map[string]*relay.Relay
}

// New starts a platform and VMs that run a program, with their logs in a folder.
func New(dir, program string, vms int) (*Fleet, error) {
	f := &Fleet{
		Platform: standin.New(models, desks, "ward", "desk"), dir: dir, program: program,
		finder: relay.NewFinder(), upstreams: map[string]*relay.Relay{},
	}
	f.finder.Know(os.Getpid(), Client)
	var err error
	if f.StoreRelay, err = f.relay(f.Platform.Address()); err != nil {
		return f, err
	}
	for _, r := range f.Platform.Runners() {
		l, err := f.relay(r.ListenAddress())
		if err != nil {
			return f, err
		}
		l.Name(nameWait)
		f.upstreams[l.Address()] = l
		r.OnCrash, r.ResolveVM = f.Crash, l.Source
		r.RegisterAt(l.Address())
	}
	for i := range vms {
		if err := f.add(fmt.Sprintf("vm-%d", i+1)); err != nil {
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

// Sizes of a fleet.
const (
	models = 4
	desks  = 3
	// grace is the time for a planned stop, in milliseconds.
	grace = 6000
	// nameWait is short beside the 150 ms and more in which a VM gives an order or a poll up.
	nameWait = 50 * time.Millisecond
)

// Client is the name of the test itself as the source of connections.
const Client = "caller"

// relay returns one that is up and leads to an address.
func (f *Fleet) relay(to string) (*relay.Relay, error) {
	r, err := relay.New(f.finder)
	if err != nil {
		return nil, err
	}
	return r, r.Up(to)
}

// add prepares a VM.
func (f *Fleet) add(name string) error {
	v := &VM{Name: name, settings: filepath.Join(f.dir, name+".hujson")}
	for _, door := range []*string{&v.Caller, &v.ready, &v.door, &v.Metrics} {
		a, err := relay.FreeAddress()
		if err != nil {
			return err
		}
		*door = a
	}
	var err error
	if v.Peer, err = f.relay(v.door); err != nil {
		return err
	}
	f.VMs = append(f.VMs, v)
	text := fmt.Sprintf(`{"name": %q, "domain": "hall", "caller": %q, "ready": %q, "metrics": %q, "peer": %q, "advertise": %q, "store": %q, "peers": [%q], "bounds": {"grace": %d}}`,
		v.Name, v.Caller, v.ready, v.Metrics, v.door, v.Peer.Address(), f.StoreRelay.Address(), f.VMs[0].Peer.Address(), grace)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// Start starts a VM's process.
func (f *Fleet) Start(v *VM) error {
	p, err := process.Start(f.dir, v.Name, f.program, "relay", "--settings", v.settings)
	if err != nil {
		return err
	}
	if v.Process != nil {
		f.finder.Forget(v.Process.Pid())
	}
	f.finder.Know(p.Pid(), v.Name)
	v.Process = p
	return nil
}

// UpstreamRelay is the relay in front of a runner.
func (f *Fleet) UpstreamRelay(r *standin.Runner) *relay.Relay { return f.upstreams[r.Address()] }

// Crash ends a runner, and its address refuses connections.
func (f *Fleet) Crash(r *standin.Runner) {
	f.UpstreamRelay(r).Down()
	r.Crash()
}

// Replace starts a runner with another id at the address of one that has ended.
func (f *Fleet) Replace(old *standin.Runner) error { return f.follow(old, f.Platform.ReplaceRunner) }

// Restart starts the next life of a runner under its id, at the same address.
func (f *Fleet) Restart(old *standin.Runner) error { return f.follow(old, f.Platform.RestartRunner) }

func (f *Fleet) follow(old *standin.Runner, start func(*standin.Runner) *standin.Runner) error {
	l := f.UpstreamRelay(old)
	r := start(old)
	if err := l.Up(r.ListenAddress()); err != nil {
		return err
	}
	r.OnCrash, r.ResolveVM = f.Crash, l.Source
	r.RegisterAt(l.Address())
	return nil
}

// Ready asks as the balancer does.
func (v *VM) Ready() bool {
	c := http.Client{Timeout: readyTimeout}
	resp, err := c.Get("http://" + v.ready + platform.ReadyPath) //nolint:noctx // the client has a timeout
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyTimeout bounds one question.
const readyTimeout = 500 * time.Millisecond

// AwaitReady waits until a VM takes callers.
func (v *VM) AwaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if v.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v: %s", v.Name, within, v.Process.Tail())
}

// Logs is the end of each VM's log.
func (f *Fleet) Logs() string {
	text := ""
	for _, v := range f.VMs {
		text += "--- " + v.Name + ", " + v.Process.Status() + "\n" + v.Process.Tail() + "\n"
	}
	return text
}

// Close ends everything.
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

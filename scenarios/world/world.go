// Package world runs the deployment of one scenario: the project's programs as
// separate processes, the relays between them, the client calls made to them,
// and the ledgers of what the emulated engines and services executed.
package world

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"snipeshift.example/scenarios/process"
	"snipeshift.example/scenarios/relay"
)

// Store is the process name of the emulated platform. Client names the client as one end of a link.
const (
	Store  = "store"
	Client = "caller"
)

// readyTimeout is how long a process may take to become ready, on a busy machine too.
const readyTimeout = 30 * time.Second

// Plan describes what a scenario deploys.
type Plan struct {
	// Daemons, Engines, Services and Domains are numbers of processes and of failure domains.
	Daemons, Engines, Services, Domains int
	// EngineSettings and DaemonSettings are settings, as FIELD=VALUE, of every emulated engine and of every daemon.
	EngineSettings, DaemonSettings []string
	// DocumentEdits holds edits, as PATH=VALUE, of the configuration document.
	DocumentEdits []string
	// PlatformSettings holds settings, as FIELD=VALUE, of the emulated platform.
	PlatformSettings []string
	// TLS requires mutual TLS for the daemons' peer and operator addresses.
	TLS bool
}

// World is the deployment of one scenario.
type World struct {
	dir, programDir string
	finder          *relay.Finder
	// operatorClient is the HTTP client for the daemons' operator addresses. With Plan.TLS it has a
	// client certificate.
	operatorClient *http.Client

	mu sync.Mutex
	// nodes holds every process that the scenario may start, by name.
	nodes map[string]*node
	// document is the last accepted document, revision its revision in the store.
	document jsonObject
	revision uint64
	// results holds the results of all calls, by name of the call.
	results map[string]*Result
	calls   sync.WaitGroup
	// vms is the platform's VM list as last stored.
	vms     []vmEntry
	plan    Plan
	monitor *Monitor
	// applies counts the documents applied, to number their files.
	applies atomic.Uint64
	// applying is set while a document is being applied.
	applying atomic.Bool
	// silent holds the connections of Occupy.
	silent []net.Conn
}

// role is the kind of a process.
type role string

const (
	rolePlatform role = "platform"
	roleEngine   role = "engine"
	roleService  role = "service"
	roleDaemon   role = "daemon"
)

// node is a process of the deployment, which may be started several times.
type node struct {
	name   string
	role   role
	domain string
	// program is the name of the program file, args are its arguments.
	program string
	args    []string
	// relays holds a relay for each address that is given to other processes.
	relays map[endpoint]*relay.Relay
	// listenAddresses holds the addresses on which a daemon itself listens.
	listenAddresses map[endpoint]string
	// ledgerPath is the path of an emulated engine's or service's ledger.
	ledgerPath string

	// process is the running process, or the last one if it has exited; nil before the first start.
	// World.mu guards it.
	process *process.Process
	// address is where an emulator listens since its last start.
	address string
	// frozen is set while the process is stopped with SIGSTOP.
	frozen bool
	// starts counts the starts of the process.
	starts int
	// relaysMu is held while the relays are opened for a process or closed after its exit, so that the
	// exit of one process does not close the relays of the next.
	relaysMu sync.Mutex
}

// endpoint names one of the addresses that a process listens on.
type endpoint string

const (
	mainEndpoint     endpoint = "main" // the only address of an emulator
	clientEndpoint   endpoint = "caller"
	peerEndpoint     endpoint = "peer"
	operatorEndpoint endpoint = "operator" // reached without a relay
)

// New returns a world without processes. Settings, logs and ledgers are written
// to dir; bin is the folder of the programs.
func New(dir, bin string) *World {
	return &World{
		dir: dir, programDir: bin,
		finder:         relay.NewFinder(),
		operatorClient: directClient,
		nodes:          map[string]*node{},
		results:        map[string]*Result{},
	}
}

func (w *World) node(name string) (*node, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, ok := w.nodes[name]
	if !ok {
		return nil, fmt.Errorf("no process named %q", name)
	}
	return n, nil
}

// nodesOf returns the nodes of a role, ordered by name with numbers in numeric order (vm-2 before vm-10).
func (w *World) nodesOf(r role) []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ns []*node
	for _, n := range w.nodes {
		if n.role == r {
			ns = append(ns, n)
		}
	}
	sort.Slice(ns, func(i, j int) bool {
		if len(ns[i].name) != len(ns[j].name) {
			return len(ns[i].name) < len(ns[j].name)
		}
		return ns[i].name < ns[j].name
	})
	return ns
}

func nodeNames(ns []*node) []string {
	out := make([]string, len(ns))
	for i, n := range ns {
		out[i] = n.name
	}
	return out
}

// Daemons returns the names of the daemons.
func (w *World) Daemons() []string { return nodeNames(w.nodesOf(roleDaemon)) }

// Engines returns the names of the emulated model engines.
func (w *World) Engines() []string { return nodeNames(w.nodesOf(roleEngine)) }

// Services returns the names of the emulated plain services.
func (w *World) Services() []string { return nodeNames(w.nodesOf(roleService)) }

// Upstreams returns the names of the engines and the plain services.
func (w *World) Upstreams() []string {
	return append(w.Engines(), nodeNames(w.nodesOf(roleService))...)
}

// Start starts a process that is not running. It waits until an emulator listens, but not until a
// daemon does. A running process is an error.
func (w *World) Start(name string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	if w.isRunning(n) {
		return fmt.Errorf("%s is already running", name)
	}
	p, err := process.Start(w.dir, name, filepath.Join(w.programDir, n.program), n.args...)
	if err != nil {
		return err
	}
	w.finder.AddProcess(p.Pid(), name)
	n.relaysMu.Lock()
	defer n.relaysMu.Unlock()
	w.mu.Lock()
	n.process, n.frozen = p, false
	n.starts++
	w.mu.Unlock()
	if n.role != roleDaemon {
		a, err := p.Address(readyTimeout)
		if err != nil {
			return err
		}
		w.mu.Lock()
		n.address = a
		w.mu.Unlock()
	}
	if err := w.openRelays(n); err != nil {
		return err
	}
	go w.closeRelaysOnExit(n, p)
	return nil
}

// openRelays makes the relays of a process accept connections and forward them to its addresses.
func (w *World) openRelays(n *node) error {
	for d, r := range n.relays {
		target := n.listenAddresses[d]
		if n.role != roleDaemon {
			w.mu.Lock()
			target = n.address
			w.mu.Unlock()
		}
		if err := r.Up(target); err != nil {
			return err
		}
	}
	return nil
}

// closeRelaysOnExit takes the relays of a process down when it exits, so that connections are
// refused as they would be without relays.
func (w *World) closeRelaysOnExit(n *node, p *process.Process) {
	<-p.Done()
	w.finder.RemoveProcess(p.Pid())
	n.relaysMu.Lock()
	defer n.relaysMu.Unlock()
	w.mu.Lock()
	last := n.process == p
	w.mu.Unlock()
	if !last {
		return
	}
	for _, r := range n.relays {
		r.Down()
	}
}

func (w *World) isRunning(n *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.process != nil && n.process.Running()
}

// runningProcess returns a node and its process, or an error if the process is not running.
func (w *World) runningProcess(name string) (*node, *process.Process, error) {
	n, err := w.node(name)
	if err != nil {
		return nil, nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return n, nil, fmt.Errorf("%s is not running", name)
	}
	return n, n.process, nil
}

// Kill kills a process with SIGKILL and waits for its exit.
func (w *World) Kill(name string) error {
	n, p, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	for _, r := range n.relays {
		r.Down()
	}
	p.Kill()
	return nil
}

// Stop sends SIGTERM to a process and does not wait for its exit.
func (w *World) Stop(name string) error {
	_, p, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	return p.Signal(syscall.SIGTERM)
}

// Freeze pauses a process with SIGSTOP, until Thaw.
func (w *World) Freeze(name string) error { return w.setFrozen(name, true) }

// Thaw resumes a frozen process with SIGCONT.
func (w *World) Thaw(name string) error { return w.setFrozen(name, false) }

func (w *World) setFrozen(name string, frozen bool) error {
	n, p, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	w.mu.Lock()
	n.frozen = frozen
	w.mu.Unlock()
	if frozen {
		return p.Signal(syscall.SIGSTOP)
	}
	return p.Signal(syscall.SIGCONT)
}

// Exited reports whether a process has exited, and whether with status 0. A process that was never
// started counts as a clean exit.
func (w *World) Exited(name string) (ended, clean bool, err error) {
	n, err := w.node(name)
	if err != nil {
		return false, false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.process == nil {
		return true, true, nil
	}
	return !n.process.Running(), n.process.Succeeded(), nil
}

// Status describes how a started process exited, or returns "running".
func (w *World) Status(name string) string {
	n, err := w.node(name)
	if err != nil {
		return err.Error()
	}
	return n.process.Status()
}

// Starts returns how often a process was started.
func (w *World) Starts(name string) int {
	n, err := w.node(name)
	if err != nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.starts
}

// Close kills all processes, closes all relays, and cancels all calls and waits for their end.
func (w *World) Close() {
	w.mu.Lock()
	var ns []*node
	for _, n := range w.nodes {
		ns = append(ns, n)
	}
	w.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range ns {
		if n.process != nil {
			wg.Go(n.process.Kill)
		}
	}
	wg.Wait()
	for _, n := range ns {
		for _, r := range n.relays {
			r.Close()
		}
	}
	for _, r := range w.Results("") {
		r.cancel()
	}
	w.calls.Wait()
}

// Logs returns the end of each daemon's log, to be shown when a scenario fails.
func (w *World) Logs() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := ""
	for name, n := range w.nodes {
		if n.process != nil && n.role == roleDaemon {
			out += fmt.Sprintf("--- %s, %s\n%s\n", name, n.process.Status(), n.process.Tail())
		}
	}
	return out
}

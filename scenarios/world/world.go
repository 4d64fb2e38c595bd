// Package world is the deployment of one scenario: separate processes of the
// project's programs, the links between them, the calls made to them and the
// ledgers of what the stand-ins executed.
package world

import (
	"fmt"
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

// Store is the name of the platform's stand-in; Caller that of the caller's own end of links.
const (
	Store  = "store"
	Client = "caller"
)

// readyLimit is how long a process may take to be ready on a busy machine.
const readyLimit = 30 * time.Second

// Plan says what a scenario deploys.
type Plan struct {
	Daemons, Engines, Services, Domains int
	// EngineSettings and Daemon are settings FIELD=VALUE of every engine and daemon.
	EngineSettings, DaemonSettings []string
	// DocumentEdits holds edits PATH=VALUE of the document.
	DocumentEdits []string
	// PlatformSettings holds settings FIELD=VALUE of the platform's stand-in.
	PlatformSettings []string
	// TLS puts the peer and operator doors under mutual TLS.
	TLS bool
}

// World is one deployment.
type World struct {
	dir, bin string
	finder   *relay.Finder
	// operators calls operators' doors, with a certificate where they ask for one.
	operators *http.Client

	mu sync.Mutex
	// nodes holds every process that the scenario may start, by name.
	nodes    map[string]*node
	document tree
	// revision is that of the last document which was accepted.
	revision uint64
	results  map[string]*Result
	calls    sync.WaitGroup
	vms      []vm
	plan     Plan
	monitor  *Monitor
	// edits counts the documents that operators wrote.
	edits atomic.Uint64
	// changing is set while a document is being written.
	changing atomic.Bool
}

// role tells what a process is.
type role string

const (
	rolePlatform role = "platform"
	roleEngine   role = "engine"
	roleService  role = "service"
	roleDaemon   role = "daemon"
)

// node is a process that may have several lives.
type node struct {
	name   string
	role   role
	domain string
	// args start the program.
	program string
	args    []string
	// doors hold one relay for each address that others are told.
	doors map[door]*relay.Relay
	// own are the addresses on which a daemon itself listens.
	own map[door]string
	// ledger is the file of a stand-in's ledger.
	ledger string

	// life is the present or last life; nil before the first. World.mu guards it.
	life *process.Process
	// address is the address of a stand-in in its present life.
	address string
	frozen  bool
	// lives counts starts.
	lives int
}

// door is one address of a process.
type door string

const (
	doorMain     door = "main" // the only one of a stand-in
	doorCaller   door = "caller"
	doorPeer     door = "peer"
	doorOperator door = "operator" // reached without a relay
)

// New returns a world without processes. Dir takes settings, logs and ledgers;
// bin holds the programs.
func New(dir, bin string) *World {
	return &World{
		dir: dir, bin: bin,
		finder:    relay.NewFinder(),
		operators: runner,
		nodes:     map[string]*node{},
		results:   map[string]*Result{},
	}
}

func (w *World) node(name string) (*node, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, ok := w.nodes[name]
	if !ok {
		return nil, fmt.Errorf("no process %q", name)
	}
	return n, nil
}

// named returns the nodes of a role, in order of their names.
func (w *World) named(r role) []*node {
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

func names(ns []*node) []string {
	out := make([]string, len(ns))
	for i, n := range ns {
		out[i] = n.name
	}
	return out
}

// Daemons lists the daemons.
func (w *World) Daemons() []string { return names(w.named(roleDaemon)) }

// Engines lists the model engines.
func (w *World) Engines() []string { return names(w.named(roleEngine)) }

// Services lists the plain services.
func (w *World) Services() []string { return names(w.named(roleService)) }

// Upstreams lists engines and plain services.
func (w *World) Upstreams() []string {
	return append(w.Engines(), names(w.named(roleService))...)
}

// Start starts a process that is not running, and waits until a stand-in listens.
func (w *World) Start(name string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	if w.running(n) {
		return fmt.Errorf("%s is running", name)
	}
	p, err := process.Start(w.dir, name, filepath.Join(w.bin, n.program), n.args...)
	if err != nil {
		return err
	}
	w.finder.Know(p.Pid(), name)
	w.mu.Lock()
	n.life, n.frozen = p, false
	n.lives++
	w.mu.Unlock()
	if n.role != roleDaemon {
		a, err := p.Address(readyLimit)
		if err != nil {
			return err
		}
		w.mu.Lock()
		n.address = a
		w.mu.Unlock()
	}
	if err := w.open(n); err != nil {
		return err
	}
	go w.watch(n, p)
	return nil
}

// open lets the relays of a process take connections.
func (w *World) open(n *node) error {
	for d, r := range n.doors {
		target := n.own[d]
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

// watch closes the relays of a process when it ends, so that others are refused
// as they would be without relays.
func (w *World) watch(n *node, p *process.Process) {
	<-p.Done()
	w.finder.Forget(p.Pid())
	w.mu.Lock()
	last := n.life == p
	w.mu.Unlock()
	if !last {
		return
	}
	for _, r := range n.doors {
		r.Down()
	}
}

func (w *World) running(n *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.life != nil && n.life.Running()
}

// live returns the running process of a name.
func (w *World) live(name string) (*node, *process.Process, error) {
	n, err := w.node(name)
	if err != nil {
		return nil, nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.life == nil || !n.life.Running() {
		return n, nil, fmt.Errorf("%s is not running", name)
	}
	return n, n.life, nil
}

// Kill ends a process at once.
func (w *World) Kill(name string) error {
	n, p, err := w.live(name)
	if err != nil {
		return err
	}
	for _, r := range n.doors {
		r.Down()
	}
	p.Kill()
	return nil
}

// Stop asks a process to stop and does not wait for it.
func (w *World) Stop(name string) error {
	_, p, err := w.live(name)
	if err != nil {
		return err
	}
	return p.Signal(syscall.SIGTERM)
}

// Freeze stops a process where it stands; Thaw lets it go on.
func (w *World) Freeze(name string) error { return w.hold(name, true) }

// Thaw lets a frozen process go on.
func (w *World) Thaw(name string) error { return w.hold(name, false) }

func (w *World) hold(name string, frozen bool) error {
	n, p, err := w.live(name)
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

// Exited tells whether a process has ended, and whether on its own with status 0.
func (w *World) Exited(name string) (ended, clean bool, err error) {
	n, err := w.node(name)
	if err != nil {
		return false, false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.life == nil {
		return true, true, nil
	}
	return !n.life.Running(), n.life.Succeeded(), nil
}

// Status tells how a process ended.
func (w *World) Status(name string) string {
	n, err := w.node(name)
	if err != nil {
		return err.Error()
	}
	return n.life.Status()
}

// Starts counts how often a process was started.
func (w *World) Starts(name string) int {
	n, err := w.node(name)
	if err != nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.lives
}

// Close ends all processes and links.
func (w *World) Close() {
	w.mu.Lock()
	var ns []*node
	for _, n := range w.nodes {
		ns = append(ns, n)
	}
	w.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range ns {
		if n.life != nil {
			wg.Go(n.life.Kill)
		}
	}
	wg.Wait()
	for _, n := range ns {
		for _, r := range n.doors {
			r.Close()
		}
	}
	for _, r := range w.Results("") {
		r.hangup()
	}
	w.calls.Wait()
}

// Logs returns the ends of all logs, for a scenario that failed.
func (w *World) Logs() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := ""
	for name, n := range w.nodes {
		if n.life != nil && n.role == roleDaemon {
			out += fmt.Sprintf("--- %s, %s\n%s\n", name, n.life.Status(), n.life.Tail())
		}
	}
	return out
}

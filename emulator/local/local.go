// Package local runs a small deployment as separate processes on the loopback interface: an
// emulated platform, emulated engines and services, and the daemons that serve clients.
package local

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/platform"
	"snipeshift.example/lib/document"
)

// Options are the options of a deployment.
type Options struct {
	Deployment Deployment
	// BinDir is the directory of the daemon's executable, and EmulatorProgram the emulator's executable.
	BinDir, EmulatorProgram string
	// Engines, Services and Daemons are the numbers of processes of each.
	Engines, Services, Daemons int
	// ClientAddress is host:port at which the first daemon accepts client requests. If it is empty or
	// its port is 0, a free port is chosen.
	ClientAddress string
	// LogDir is the directory for log files. If it is empty, the logs are written to a temporary
	// directory that Stop removes.
	LogDir string
	// SingleProcess runs all engines and services in one process, for deployments too large for a
	// process for each.
	SingleProcess bool
	// EngineSettings are settings that apply to every engine, each "field=value".
	EngineSettings []string
}

// The tiers of processes, in start order. They are stopped in reverse order.
const (
	platformTier = iota
	upstreamTier
	daemonTier
	tierCount
)

// DaemonProgram is the file name of the daemon's executable.
const DaemonProgram = "snipeshiftd"

// DaemonPrefix is the prefix of the name of every daemon.
const DaemonPrefix = "vm-"

// readyTimeout limits how long a started daemon may take to become ready.
const readyTimeout = 30 * time.Second

// Ready is the line of JSON that is printed once the deployment accepts requests.
type Ready struct {
	Ready   bool   `json:"ready"`
	Program string `json:"program"`
	Name    string `json:"name"`
	// Address is host:port at which the first daemon accepts client requests. ClientAddresses
	// and OperatorAddresses are the addresses of all daemons for clients and operators, and
	// PlatformAddress is the address of the emulated platform.
	Address           string   `json:"address"`
	ClientAddresses   []string `json:"callers"`
	OperatorAddresses []string `json:"operators"`
	PlatformAddress   string   `json:"platform"`
	// Upstreams maps upstream names to addresses, Pids process names to process IDs, and Keys
	// workspace names to API keys.
	Upstreams map[string]string `json:"upstreams"`
	Pids      map[string]int    `json:"pids"`
	Keys      map[string]string `json:"keys"`
}

// DaemonSettings is the content of one daemon's settings file.
type DaemonSettings struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Caller, Operator and Peer are the listening addresses for clients, operators and other
	// daemons. Platform is the address of the platform, and Peers lists the peer addresses of
	// all other daemons.
	Caller   string   `json:"caller"`
	Operator string   `json:"operator"`
	Peer     string   `json:"peer"`
	Platform string   `json:"platform"`
	Peers    []string `json:"peers"`
}

// Local is a running deployment.
type Local struct {
	options  Options
	document document.Document
	dir      string
	ready    Ready
	daemons  []DaemonSettings
	// children holds the processes by tier. Processes depend only on those of earlier tiers.
	children [tierCount][]*process
}

// Run starts a deployment, prints its ready line and shell commands for its use to out, and stops it
// when ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) (err error) {
	l, err := Start(ctx, o)
	if err != nil {
		if ctx.Err() != nil {
			return nil // canceled during the start, which is no failure
		}
		return err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	if err := l.printReady(out); err != nil {
		return err
	}
	l.reportExits(ctx)
	return nil
}

// Start starts a deployment and waits until it accepts requests. If the start fails, Start stops the
// processes that it has started.
func Start(ctx context.Context, o Options) (*Local, error) {
	l, err := newLocal(o)
	if err != nil {
		return nil, err
	}
	if err := l.start(ctx); err != nil {
		return nil, errors.Join(err, l.Stop())
	}
	return l, nil
}

// Ready returns the addresses, process IDs and API keys of the deployment.
func (l *Local) Ready() Ready { return l.ready }

func newLocal(o Options) (*Local, error) {
	doc, err := Example(o.Deployment)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "snipeshift-local-")
	if err != nil {
		return nil, err
	}
	if o.LogDir == "" {
		o.LogDir = dir
	}
	l := &Local{options: o, document: resize(doc, o.Engines, o.Services), dir: dir}
	l.ready = Ready{
		Ready:     true,
		Program:   "local",
		Name:      string(o.Deployment),
		Upstreams: map[string]string{},
		Pids:      map[string]int{},
		Keys:      map[string]string{},
	}
	for _, w := range doc.Workspaces {
		l.ready.Keys[w.Name] = APIKey(w.Name)
	}
	return l, nil
}

func (l *Local) start(ctx context.Context) error {
	if err := l.startPlatform(ctx); err != nil {
		return err
	}
	if err := l.startUpstreams(ctx); err != nil {
		return err
	}
	if err := l.assignDaemonAddresses(ctx); err != nil {
		return err
	}
	if err := l.populatePlatform(ctx); err != nil {
		return err
	}
	return l.startDaemons(ctx)
}

func (l *Local) startProcess(tier int, name, program string, args ...string) (*process, error) {
	p, err := startChild(l.options.LogDir, name, program, args...)
	if err != nil {
		return nil, err
	}
	l.children[tier] = append(l.children[tier], p)
	l.ready.Pids[name] = p.cmd.Process.Pid
	return p, nil
}

func (l *Local) startPlatform(ctx context.Context) error {
	p, err := l.startProcess(platformTier, "platform", l.options.EmulatorProgram, "platform")
	if err != nil {
		return err
	}
	l.ready.PlatformAddress, err = p.awaitAddress(ctx)
	return err
}

func (l *Local) writeSettings(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(l.dir, name)
	return file, os.WriteFile(file, text, 0o600)
}

// populatePlatform writes the deployment document and the list of VMs to the platform.
func (l *Local) populatePlatform(ctx context.Context) error {
	text, err := encodeDocument(l.document)
	if err != nil {
		return err
	}
	if err := l.putToPlatform(ctx, "/objects/config/document", text); err != nil {
		return err
	}
	var vms []platform.VM
	for _, u := range l.document.Upstreams {
		vms = append(vms, platform.VM{Name: u.Name, Role: "upstream", Domain: u.Domain, Address: u.Address, State: "live"})
	}
	for _, d := range l.daemons {
		vms = append(vms, platform.VM{Name: d.Name, Role: "entry", Domain: d.Domain, Address: d.Peer, State: "live"})
	}
	if text, err = json.Marshal(vms); err != nil {
		return err
	}
	return l.putToPlatform(ctx, "/vms", text)
}

func (l *Local) putToPlatform(ctx context.Context, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+l.ready.PlatformAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("platform responded with %s to PUT %s", resp.Status, path)
	}
	return nil
}

// printReady prints the ready line, a curl command for a request, and an export of the environment
// variables with which the operators' command finds this deployment.
func (l *Local) printReady(out io.Writer) error {
	line, err := json.Marshal(l.ready)
	if err != nil {
		return err
	}
	w := l.document.Workspaces[0]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":32,"messages":[{"role":"user","content":"Draft a short notice."}]}`,
		l.document.Models[0].Name)
	_, err = fmt.Fprintf(out, "%s\ncurl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '%s'\n",
		line, l.ready.Address, APIKey(w.Name), body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "export SNIPESHIFT_DAEMON=%s SNIPESHIFT_STORE=%s\n", strings.Join(l.ready.OperatorAddresses, ","), l.ready.PlatformAddress)
	return err
}

// reportExits reports processes that exit before ctx ends, and returns when ctx ends.
func (l *Local) reportExits(ctx context.Context) {
	for _, p := range slices.Concat(l.children[:]...) {
		go func() {
			select {
			case <-p.done:
				if ctx.Err() == nil {
					fmt.Fprintf(os.Stderr, "emulator: %s exited unexpectedly: %v\n", p.name, p.err)
				}
			case <-ctx.Done():
			}
		}()
	}
	<-ctx.Done()
	fmt.Fprintln(os.Stderr, "emulator: stopping; the daemons' grace period takes some seconds")
}

// Stop stops the daemons, then the engines and services, then the platform, and removes the temporary
// directory.
func (l *Local) Stop() error {
	var errs []error
	for _, t := range slices.Backward(l.children[:]) {
		errs = append(errs, stopAll(t))
	}
	return errors.Join(append(errs, os.RemoveAll(l.dir))...)
}

func stopAll(ps []*process) error {
	var g errgroup.Group
	for _, p := range ps {
		g.Go(p.stop)
	}
	return g.Wait()
}

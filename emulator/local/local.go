// Package local runs a small deployment of separate processes on loopback:
// stand-ins for the platform, engines and services, and daemons before them.
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

// Options of a deployment.
type Options struct {
	Deployment Deployment
	// BinDir is the folder of the daemon's program, Program the emulator's own file.
	BinDir, EmulatorProgram string
	// Engines, Services and Daemons are how many of each run.
	Engines, Services, Daemons int
	// ClientAddress is host:port of the first daemon's address for callers; port 0 lets the system choose.
	ClientAddress string
	// LogDir is a folder that keeps the logs; empty for a temporary one.
	LogDir string
	// SingleProcess runs all upstreams in one process, for fleets too large for a process each.
	SingleProcess bool
	// EngineSettings are settings for every engine, each "field=value".
	EngineSettings []string
}

// The tiers, in the order of their start; they stop in the reverse order.
const (
	platformTier = iota
	upstreamTier
	daemonTier
	tiers
)

// DaemonProgram is the file of the daemon's program.
const DaemonProgram = "snipeshiftd"

// DaemonPrefix begins the name of every daemon.
const DaemonPrefix = "vm-"

// readyLimit is how long all daemons may take to become ready.
const readyLimit = 30 * time.Second

// Ready is the line printed once the deployment takes requests.
type Ready struct {
	Ready   bool   `json:"ready"`
	Program string `json:"program"`
	Name    string `json:"name"`
	// Address is the first daemon's for callers; Callers and Operators are those of all daemons.
	Address           string   `json:"address"`
	ClientAddresses   []string `json:"callers"`
	OperatorAddresses []string `json:"operators"`
	PlatformAddress   string   `json:"platform"`
	// Upstreams and Pids are addresses and process ids by name, Keys the API keys by workspace.
	Upstreams map[string]string `json:"upstreams"`
	Pids      map[string]int    `json:"pids"`
	Keys      map[string]string `json:"keys"`
}

// DaemonSettings is the settings file of one daemon.
type DaemonSettings struct {
	Name     string   `json:"name"`
	Domain   string   `json:"domain"`
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
	// children are grouped by tier: what a later tier needs is in an earlier one.
	children [tiers][]*process
}

// Run starts a deployment, prints its ready line and lines to paste to out, and
// stops it when ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) (err error) {
	l, err := Start(ctx, o)
	if err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it started
		}
		return err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	if err := l.announce(out); err != nil {
		return err
	}
	l.watch(ctx)
	return nil
}

// Start starts a deployment and waits until it takes requests. What it started is stopped again if it fails.
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

// Ready tells where the deployment is reached.
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
	if err := l.planDaemons(ctx); err != nil {
		return err
	}
	if err := l.fillPlatform(ctx); err != nil {
		return err
	}
	return l.startDaemons(ctx)
}

func (l *Local) run(tier int, name, program string, args ...string) (*process, error) {
	p, err := start(l.options.LogDir, name, program, args...)
	if err != nil {
		return nil, err
	}
	l.children[tier] = append(l.children[tier], p)
	l.ready.Pids[name] = p.cmd.Process.Pid
	return p, nil
}

func (l *Local) startPlatform(ctx context.Context) error {
	p, err := l.run(platformTier, "platform", l.options.EmulatorProgram, "platform")
	if err != nil {
		return err
	}
	l.ready.PlatformAddress, err = p.address(ctx)
	return err
}

func (l *Local) write(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(l.dir, name)
	return file, os.WriteFile(file, text, 0o600)
}

// fillPlatform writes the document and the list of VMs.
func (l *Local) fillPlatform(ctx context.Context) error {
	text, err := encode(l.document)
	if err != nil {
		return err
	}
	if err := l.put(ctx, "/objects/config/document", text); err != nil {
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
	return l.put(ctx, "/vms", text)
}

func (l *Local) put(ctx context.Context, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+l.ready.PlatformAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("platform answered %s to PUT %s", a.Status, path)
	}
	return nil
}

// announce prints the ready line, a curl line that works as pasted, and a line
// after which the operators' command finds this deployment by itself.
func (l *Local) announce(out io.Writer) error {
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

// watch waits for the stop, and tells of children that end before it.
func (l *Local) watch(ctx context.Context) {
	for _, p := range slices.Concat(l.children[:]...) {
		go func() {
			select {
			case <-p.done:
				if ctx.Err() == nil {
					fmt.Fprintf(os.Stderr, "emulator: %s ended: %v\n", p.name, p.err)
				}
			case <-ctx.Done():
			}
		}()
	}
	<-ctx.Done()
	fmt.Fprintln(os.Stderr, "emulator: stopping; this takes the daemons' grace of some seconds")
}

// Stop ends the daemons, then the stand-ins behind them, then the platform, and removes the folder.
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

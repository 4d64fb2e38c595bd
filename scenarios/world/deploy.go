package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/scenarios/relay"
)

// vm is a row of the platform's VM list.
type vm struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// engineSettings are those that the document must agree with.
type engineSettings struct {
	Name    string        `json:"name"`
	Model   string        `json:"model"`
	Slots   int           `json:"slots"`
	Memory  decide.Tokens `json:"memory"`
	Prefill decide.Rate   `json:"prefill"`
	Decode  decide.Rate   `json:"decode"`
	Fenced  bool          `json:"fenced"`
	Ledger  string        `json:"ledger"`
}

// daemonSettings is the settings file of a daemon.
type daemonSettings struct {
	Name      string   `json:"name"`
	Domain    string   `json:"domain"`
	Caller    string   `json:"caller"`
	Operator  string   `json:"operator"`
	Peer      string   `json:"peer"`
	Advertise string   `json:"advertise"`
	Platform  string   `json:"platform"`
	Peers     []string `json:"peers"`
	TLS       tlsFiles `json:"tls"`
}

// tlsFiles names a daemon's certificate files.
type tlsFiles struct {
	CA   string `json:"ca,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Deploy starts the platform, the upstreams and then the daemons, and returns
// once all daemons are ready.
func (w *World) Deploy(ctx context.Context, p Plan) error {
	w.plan = p
	if err := w.startPlatform(); err != nil {
		return err
	}
	upstreams, err := w.startUpstreams()
	if err != nil {
		return err
	}
	if w.document, err = baseDocument(upstreams, p.Domains); err != nil {
		return err
	}
	for _, e := range p.DocumentEdits {
		if err := w.document.set(e); err != nil {
			return err
		}
	}
	if err := w.planDaemons(); err != nil {
		return err
	}
	if err := w.PutVMs(ctx); err != nil {
		return err
	}
	text, err := json.Marshal(w.document)
	if err != nil {
		return err
	}
	if w.revision, err = w.putDocument(ctx, text, 0); err != nil {
		return err
	}
	for _, name := range w.Daemons() {
		if err := w.Start(name); err != nil {
			return err
		}
	}
	if err := w.awaitReady(ctx, w.Daemons()); err != nil {
		return err
	}
	w.watchDocuments(ctx)
	return nil
}

func (w *World) add(n *node, doors ...door) error {
	n.doors = map[door]*relay.Relay{}
	for _, d := range doors {
		r, err := relay.New(w.finder)
		if err != nil {
			return err
		}
		n.doors[d] = r
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[n.name] = n
	return nil
}

func (w *World) startPlatform() error {
	n := &node{name: Store, role: rolePlatform, program: "emulator", args: append([]string{"platform"}, sets(w.plan.PlatformSettings)...)}
	if err := w.add(n, doorMain); err != nil {
		return err
	}
	return w.Start(Store)
}

func sets(fields []string) []string {
	var args []string
	for _, f := range fields {
		args = append(args, "--set", f)
	}
	return args
}

func (w *World) startUpstreams() ([]document.Upstream, error) {
	var us []document.Upstream
	for i := range w.plan.Engines {
		u, err := w.startEngine(fmt.Sprintf("engine-%d", i+1), domains[i%w.plan.Domains])
		if err != nil {
			return nil, err
		}
		us = append(us, u)
	}
	for i := range w.plan.Services {
		u, err := w.startService(fmt.Sprintf("desk-%d", i+1), domains[i%w.plan.Domains])
		if err != nil {
			return nil, err
		}
		us = append(us, u)
	}
	return us, nil
}

func (w *World) startEngine(name, domain string) (document.Upstream, error) {
	s := engineSettings{
		Name: name, Model: Model, Slots: 16, Memory: 100_000, Prefill: 100_000, Decode: 200,
		Ledger: filepath.Join(w.dir, name+".ledger"),
	}
	own, other, err := s.split(w.plan.EngineSettings)
	if err != nil {
		return document.Upstream{}, err
	}
	n := &node{name: name, role: roleEngine, domain: domain, program: "emulator", ledger: own.Ledger}
	file, err := w.write(name+".json", own)
	if err != nil {
		return document.Upstream{}, err
	}
	n.args = append([]string{"engine", "--settings", file}, sets(other)...)
	if err := w.add(n, doorMain); err != nil {
		return document.Upstream{}, err
	}
	return document.Upstream{
		Name: name, Model: Model, Domain: domain, Address: n.doors[doorMain].Address(),
		Memory: own.Memory, Slots: own.Slots, Prefill: own.Prefill, Decode: own.Decode, Fenced: own.Fenced,
	}, w.Start(name)
}

// split takes the settings that the document states too out of a script's.
func (s engineSettings) split(fields []string) (own engineSettings, other []string, err error) {
	for _, f := range fields {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return s, nil, fmt.Errorf("%q is not FIELD=VALUE", f)
		}
		switch k {
		case "slots", "memory", "prefill", "decode", "fenced":
			if err := json.Unmarshal([]byte(`{"`+k+`":`+v+`}`), &s); err != nil {
				return s, nil, err
			}
		default:
			other = append(other, f)
		}
	}
	return s, other, nil
}

func (w *World) startService(name, domain string) (document.Upstream, error) {
	ledger := filepath.Join(w.dir, name+".ledger")
	n := &node{
		name: name, role: roleService, domain: domain, program: "emulator", ledger: ledger,
		args: append([]string{"service"}, sets([]string{"name=" + name, "ledger=" + ledger})...),
	}
	if err := w.add(n, doorMain); err != nil {
		return document.Upstream{}, err
	}
	return document.Upstream{
		Name: name, Service: Service, Domain: domain, Address: n.doors[doorMain].Address(), Slots: 64,
	}, w.Start(name)
}

func (w *World) write(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.dir, name)
	return file, os.WriteFile(file, text, 0o600)
}

// planDaemons chooses every daemon's addresses and writes its settings. What
// others are told leads to relays; so does a daemon's way to the store, one for
// each daemon.
func (w *World) planDaemons() error {
	var ns []*node
	for i := range w.plan.Daemons {
		n := &node{name: fmt.Sprintf("vm-%d", i+1), role: roleDaemon, domain: domains[i%w.plan.Domains], program: "snipeshiftd", own: map[door]string{}}
		if err := w.add(n, doorCaller, doorPeer); err != nil {
			return err
		}
		for _, d := range []door{doorCaller, doorPeer, doorOperator} {
			a, err := relay.FreeAddress()
			if err != nil {
				return err
			}
			n.own[d] = a
		}
		ns = append(ns, n)
	}
	if w.plan.TLS {
		if err := w.secure(); err != nil {
			return err
		}
	}
	for _, n := range ns {
		if err := w.writeDaemon(n, ns); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) writeDaemon(n *node, all []*node) error {
	store, err := w.node(Store)
	if err != nil {
		return err
	}
	s := daemonSettings{
		Name: n.name, Domain: n.domain,
		Caller: n.own[doorCaller], Operator: n.own[doorOperator], Peer: n.own[doorPeer],
		Advertise: n.doors[doorPeer].Address(),
		Platform:  store.doors[doorMain].Address(),
		Peers:     []string{},
	}
	if w.plan.TLS {
		f := w.files(n.name)
		s.TLS = tlsFiles{CA: f.Authority, Cert: f.Certificate, Key: f.Key}
	}
	for _, m := range all {
		if m != n {
			s.Peers = append(s.Peers, m.doors[doorPeer].Address())
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	t := tree{}
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	for _, f := range w.plan.DaemonSettings {
		if err := t.set(f); err != nil {
			return err
		}
	}
	file, err := w.write(n.name+".json", t)
	n.args = []string{"--settings", file}
	return err
}

// PutVMs writes the platform's VM list from the processes.
func (w *World) PutVMs(ctx context.Context) error {
	if w.vms == nil {
		for _, n := range append(w.named(roleEngine), w.named(roleService)...) {
			w.vms = append(w.vms, vm{n.name, "upstream", n.domain, n.doors[doorMain].Address(), "live"})
		}
		for _, n := range w.named(roleDaemon) {
			w.vms = append(w.vms, vm{n.name, "entry", n.domain, n.doors[doorPeer].Address(), "live"})
		}
	}
	text, err := json.Marshal(w.vms)
	if err != nil {
		return err
	}
	_, err = w.tellStore(ctx, http.MethodPut, "/vms", text, nil)
	return err
}

// SetVM changes a VM's state in the platform's list; "gone" takes it out.
func (w *World) SetVM(ctx context.Context, name, state string) error {
	for i, v := range w.vms {
		if v.Name != name {
			continue
		}
		w.vms[i].State = state
		if state == "gone" {
			w.vms = append(w.vms[:i], w.vms[i+1:]...)
		}
		return w.PutVMs(ctx)
	}
	return fmt.Errorf("no VM %q in the list", name)
}

// tellStore calls the platform's stand-in past all links and faults of links.
func (w *World) tellStore(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	n, err := w.node(Store)
	if err != nil {
		return nil, err
	}
	return send(ctx, method, "http://"+n.address+path, body, header)
}

// send makes one short call of the runner itself; an answer of 300 and above is an error.
func send(ctx context.Context, method, url string, body []byte, header http.Header) (*http.Response, error) {
	return sendBy(ctx, runner, method, url, body, header)
}

// ask reads a page of a daemon's operator address.
func (w *World) ask(ctx context.Context, n *node, path string) (*http.Response, error) {
	return sendBy(ctx, w.operators, http.MethodGet, "http://"+n.own[doorOperator]+path, nil, nil)
}

func sendBy(ctx context.Context, by *http.Client, method, url string, body []byte, header http.Header) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, vs := range header {
		req.Header[k] = vs
	}
	resp, err := by.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	resp.Body = nopBody{bytes.NewReader(text.Bytes())}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp, fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(text.Bytes()))
	}
	return resp, nil
}

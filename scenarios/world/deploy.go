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

// vmEntry is an entry of the platform's VM list.
type vmEntry struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// engineSettings are the settings of an emulated engine that the scenario sets itself. All but the
// ledger's path are in the document too and must agree with it.
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

// tlsFiles holds the paths of a daemon's certificate files.
type tlsFiles struct {
	CA   string `json:"ca,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Deploy starts the platform, the upstreams and then the daemons, stores the
// document, and returns once all daemons are ready.
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
	if err := w.prepareDaemons(); err != nil {
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

// addNode registers a node, with a relay for each of the given endpoints.
func (w *World) addNode(n *node, endpoints ...endpoint) error {
	n.relays = map[endpoint]*relay.Relay{}
	for _, d := range endpoints {
		r, err := relay.New(w.finder)
		if err != nil {
			return err
		}
		n.relays[d] = r
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[n.name] = n
	return nil
}

func (w *World) startPlatform() error {
	n := &node{name: Store, role: rolePlatform, program: "emulator", args: append([]string{"platform"}, setFlags(w.plan.PlatformSettings)...)}
	if err := w.addNode(n, mainEndpoint); err != nil {
		return err
	}
	return w.Start(Store)
}

// setFlags returns a --set flag for each setting FIELD=VALUE.
func setFlags(fields []string) []string {
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
	own, other, err := s.apply(w.plan.EngineSettings)
	if err != nil {
		return document.Upstream{}, err
	}
	n := &node{name: name, role: roleEngine, domain: domain, program: "emulator", ledgerPath: own.Ledger}
	file, err := w.writeJSON(name+".json", own)
	if err != nil {
		return document.Upstream{}, err
	}
	n.args = append([]string{"engine", "--settings", file}, setFlags(other)...)
	if err := w.addNode(n, mainEndpoint); err != nil {
		return document.Upstream{}, err
	}
	return document.Upstream{
		Name: name, Model: Model, Domain: domain, Address: n.relays[mainEndpoint].Address(),
		Memory: own.Memory, Slots: own.Slots, Prefill: own.Prefill, Decode: own.Decode, Fenced: own.Fenced,
	}, w.Start(name)
}

// apply applies those settings FIELD=VALUE that the document contains too, and returns the rest.
func (s engineSettings) apply(fields []string) (own engineSettings, other []string, err error) {
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
		name: name, role: roleService, domain: domain, program: "emulator", ledgerPath: ledger,
		args: append([]string{"service"}, setFlags([]string{"name=" + name, "ledger=" + ledger})...),
	}
	if err := w.addNode(n, mainEndpoint); err != nil {
		return document.Upstream{}, err
	}
	return document.Upstream{
		Name: name, Service: Service, Domain: domain, Address: n.relays[mainEndpoint].Address(), Slots: 64,
	}, w.Start(name)
}

// writeJSON writes a value as JSON into a file of the scenario's folder and returns the path.
func (w *World) writeJSON(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.dir, name)
	return file, os.WriteFile(file, text, 0o600)
}

// prepareDaemons chooses the addresses of every daemon and writes its settings. The
// addresses that clients and peers use are those of relays; the daemons connect to
// the store through a relay too.
func (w *World) prepareDaemons() error {
	var ns []*node
	for i := range w.plan.Daemons {
		n := &node{name: fmt.Sprintf("vm-%d", i+1), role: roleDaemon, domain: domains[i%w.plan.Domains], program: "snipeshiftd", listenAddresses: map[endpoint]string{}}
		if err := w.addNode(n, clientEndpoint, peerEndpoint); err != nil {
			return err
		}
		for _, d := range []endpoint{clientEndpoint, peerEndpoint, operatorEndpoint} {
			a, err := relay.FreeAddress()
			if err != nil {
				return err
			}
			n.listenAddresses[d] = a
		}
		ns = append(ns, n)
	}
	if w.plan.TLS {
		if err := w.setUpTLS(); err != nil {
			return err
		}
	}
	for _, n := range ns {
		if err := w.writeDaemonSettings(n, ns); err != nil {
			return err
		}
	}
	return nil
}

// writeDaemonSettings writes the settings file of a daemon and sets the arguments that start it.
func (w *World) writeDaemonSettings(n *node, all []*node) error {
	store, err := w.node(Store)
	if err != nil {
		return err
	}
	s := daemonSettings{
		Name: n.name, Domain: n.domain,
		Caller: n.listenAddresses[clientEndpoint], Operator: n.listenAddresses[operatorEndpoint], Peer: n.listenAddresses[peerEndpoint],
		Advertise: n.relays[peerEndpoint].Address(),
		Platform:  store.relays[mainEndpoint].Address(),
		Peers:     []string{},
	}
	if w.plan.TLS {
		f := w.certificateFiles(n.name)
		s.TLS = tlsFiles{CA: f.Authority, Cert: f.Certificate, Key: f.Key}
	}
	for _, m := range all {
		if m != n {
			s.Peers = append(s.Peers, m.relays[peerEndpoint].Address())
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	t := jsonObject{}
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	for _, f := range w.plan.DaemonSettings {
		if err := t.set(f); err != nil {
			return err
		}
	}
	file, err := w.writeJSON(n.name+".json", t)
	n.args = []string{"--settings", file}
	return err
}

// PutVMs stores the platform's VM list. The first call builds it from the deployed processes.
func (w *World) PutVMs(ctx context.Context) error {
	if w.vms == nil {
		for _, n := range append(w.nodesOf(roleEngine), w.nodesOf(roleService)...) {
			w.vms = append(w.vms, vmEntry{n.name, "upstream", n.domain, n.relays[mainEndpoint].Address(), "live"})
		}
		for _, n := range w.nodesOf(roleDaemon) {
			w.vms = append(w.vms, vmEntry{n.name, "entry", n.domain, n.relays[peerEndpoint].Address(), "live"})
		}
	}
	text, err := json.Marshal(w.vms)
	if err != nil {
		return err
	}
	_, err = w.callStore(ctx, http.MethodPut, "/vms", text, nil)
	return err
}

// SetVM changes the state of a VM in the platform's list; the state "gone" removes its entry.
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
	return fmt.Errorf("no VM named %q in the platform's list", name)
}

// callStore calls the emulated platform directly, not through a relay, so that link faults don't
// affect the call.
func (w *World) callStore(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	n, err := w.node(Store)
	if err != nil {
		return nil, err
	}
	return send(ctx, method, "http://"+n.address+path, body, header)
}

// send makes one HTTP call on behalf of the scenario itself, not of a client. A status of 300 or
// above is an error.
func send(ctx context.Context, method, url string, body []byte, header http.Header) (*http.Response, error) {
	return sendWith(ctx, directClient, method, url, body, header)
}

// callOperator reads a page from a daemon's operator address.
func (w *World) callOperator(ctx context.Context, n *node, path string) (*http.Response, error) {
	return sendWith(ctx, w.operatorClient, http.MethodGet, "http://"+n.listenAddresses[operatorEndpoint]+path, nil, nil)
}

// sendWith is send with a given HTTP client. It reads the response body to its end.
func sendWith(ctx context.Context, client *http.Client, method, url string, body []byte, header http.Header) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, vs := range header {
		req.Header[k] = vs
	}
	resp, err := client.Do(req)
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

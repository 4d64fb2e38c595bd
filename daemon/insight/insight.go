// Package insight serves the metrics address of a VM in relay mode to monitoring and to the operator
// command.
//
// Its responses never contain a prompt, a response to a client, or a key.
package insight

import (
	"cmp"
	"io"
	"maps"
	"net/http"
	"net/http/pprof"
	"slices"

	"snipeshift.example/daemon/listener"
	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/daemon/relay"
	"snipeshift.example/daemon/tunnel"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/logline"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Clock is a clock that continues to run while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Members lists the VMs that are considered live.
type Members interface{ Live() []peer.Member }

// Store counts calls to the platform's store.
type Store interface{ Calls() (all, failed uint64) }

// Metrics writes metrics in the text format of Prometheus.
type Metrics interface{ WritePrometheus(w io.Writer) }

// Sources are the components of the daemon that the page reads. All are required.
type Sources struct {
	VM        peer.VM
	Clock     Clock
	Gate      *relay.Gate
	Registry  *registry.Registry
	Members   Members
	Holders   *placer.Holders
	Placer    *placer.Client
	Owner     *placer.Owner
	Store     Store
	LogWriter *logline.Writer
	Tunnels   *tunnel.Server
	Clients   *listener.Listener
	// Connections writes the metrics of connections of peers and to upstreams.
	Connections Metrics
}

// Page serves the metrics address.
type Page struct{ Sources }

// New returns a page that reads the given components.
func New(s Sources) *Page { return &Page{s} }

// Handler returns the handler of metrics, the services page, and CPU and memory profiles. Profiles are
// served because they are the only way to see what uses up the processor of a VM.
func (p *Page) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("GET "+answers.PathServices, p.servicesPage)
	m.HandleFunc("GET "+answers.PathParts, p.partsPage)
	m.HandleFunc("PUT "+answers.PathParts, p.clearPart)
	m.HandleFunc("GET "+answers.PathWhere, p.wherePage)
	m.HandleFunc("/", p.metrics)
	return m
}

func (p *Page) servicesPage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Status())
}

// Status returns the services and the statements of upstreams that this VM knows now.
func (p *Page) Status() answers.RelayStatus {
	now, v := p.Clock.Now(), p.Registry.View()
	r := answers.RelayStatus{VM: p.VM, Era: p.Registry.Era(), Evacuated: v.Evacuated, Services: []answers.Service{}, Statements: []answers.Statement{}}
	known := map[route.ServiceID]bool{}
	for s := range v.Upstreams {
		known[s] = true
	}
	for _, x := range p.Holders.All() {
		known[x.Service] = true
	}
	for _, s := range slices.Sorted(maps.Keys(known)) {
		row := answers.Service{Service: s, Upstreams: len(v.Upstreams[s])}
		if x, since, ok := p.Holders.HolderSince(s); ok {
			row.Holder, row.Epoch, row.Since = x.VM, x.Epoch, now-since
		}
		row.Successor = p.Holders.Fallback(s)
		r.Services = append(r.Services, row)
	}
	p.Placer.Statements(func(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
		row := answers.Statement{Service: s, Upstream: u, Kind: st.Kind.String(), Gate: st.Gate, Rate: float64(st.Rate), Age: now - st.At}
		if st.Kind == statement.BackOff {
			row.Left = st.Until - now
		}
		r.Statements = append(r.Statements, row)
	})
	slices.SortFunc(r.Statements, func(a, b answers.Statement) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Kind, b.Kind))
	})
	return r
}

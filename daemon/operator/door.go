// Package operator answers the operator command and monitoring: HTTP on an
// address of its own, apart from callers, so that it still answers while
// callers keep their door busy and can be closed off from them.
//
// Nothing that it answers holds a prompt, an answer to a caller, or a key.
package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/phuslu/log"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// Health tells whether this daemon takes requests.
type Health interface {
	// Unready lists why not, one line each; empty when it does.
	Unready() []string
}

// Members lists the daemons that this one knows.
type Members interface {
	Members() []answers.Member
}

// Pools tells of the pools that this daemon owns.
type Pools interface {
	Pools() []answers.Pool
	Upstreams() []answers.Upstream
	Grants() []answers.Grant
}

// Usage lists every counter that this daemon knows, its own and others'.
type Usage interface {
	Usage() []answers.UsageCounter
}

// Documents gives the document in force; revision zero when there is none.
type Documents interface {
	Newest() (peer.Revision, []byte)
}

// Timeline keeps the daemon's recent events.
type Timeline interface {
	Add(timeline.Event)
	Events(timeline.Filter) []timeline.Event
}

// Stopper makes this daemon stop gracefully.
type Stopper interface {
	// Drain begins the planned stop; a second call changes nothing.
	Drain()
	// Draining tells whether it began, and how many requests are still served.
	Draining() (began bool, requests int)
}

// Store tells of calls to the platform's store.
type Store interface {
	Counts() platform.Counts
}

// Metrics writes metrics in the Prometheus text format.
type Metrics interface {
	WritePrometheus(w io.Writer)
}

// Sources are the parts of the daemon that the door asks. All are needed.
type Sources struct {
	Health    Health
	Members   Members
	Pools     Pools
	Usage     Usage
	Documents Documents
	Timeline  Timeline
	Stopper   Stopper
	Store     Store
	Metrics   []Metrics
}

// Server serves the operator address.
type Server struct {
	sources Sources
	log     *log.Logger
}

// New returns a door over the daemon's parts. The logger is the one whose level operators change.
func New(s Sources, l *log.Logger) *Server { return &Server{sources: s, log: l} }

// Handler serves all pages.
func (d *Server) Handler() http.Handler {
	s := &d.sources
	m := http.NewServeMux()
	m.HandleFunc("GET "+answers.PathLive, d.live)
	m.HandleFunc("GET "+answers.PathReady, d.ready)
	m.HandleFunc("GET "+answers.PathMetrics, d.metrics)
	m.HandleFunc("GET "+answers.PathMembers, page(func() []answers.Member { return s.Members.Members() }))
	m.HandleFunc("GET "+answers.PathPools, page(func() []answers.Pool { return s.Pools.Pools() }))
	m.HandleFunc("GET "+answers.PathUpstreams, page(func() []answers.Upstream { return s.Pools.Upstreams() }))
	m.HandleFunc("GET "+answers.PathGrants, page(func() []answers.Grant { return s.Pools.Grants() }))
	m.HandleFunc("GET "+answers.PathUsage, page(func() []answers.UsageCounter { return s.Usage.Usage() }))
	m.HandleFunc("GET "+answers.PathDocument, d.document)
	m.HandleFunc("GET "+answers.PathTimeline, d.timeline)
	m.HandleFunc("GET "+answers.PathLevel, d.level)
	m.HandleFunc("PUT "+answers.PathLevel, d.setLevel)
	m.HandleFunc("GET "+answers.PathDrain, d.drain)
	m.HandleFunc("PUT "+answers.PathDrain, d.startDrain)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, "no page for "+r.Method+" "+r.URL.Path+": see the page of operator addresses")
	})
	return m
}

// page answers with a list; an empty one is [] and not null.
func page[E any](list func() []E) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		es := list()
		if es == nil {
			es = []E{}
		}
		write(w, http.StatusOK, es)
	}
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the operator went away.
	_ = json.NewEncoder(w).Encode(value)
}

func fail(w http.ResponseWriter, status int, text string) {
	write(w, status, answers.Failure{Error: text})
}

// maxBody bounds what an operator sends.
const maxBody = 4 << 10

// read reads a body, answers with what is wrong with it and tells whether it is right.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	j := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	j.DisallowUnknownFields()
	if err := j.Decode(into); err != nil {
		fail(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// Package operator serves the operator command and monitoring over HTTP. It has an address of its own,
// separate from the one for clients, so that it still responds while clients overload theirs, and so
// that access to it can be blocked for clients.
//
// Its responses never contain a prompt, a response to a client, or a key.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/phuslu/log"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// Health reports whether this daemon accepts requests.
type Health interface {
	// Unready lists the reasons why the daemon is not ready, one line each; it is empty if the daemon
	// is ready.
	Unready() []string
}

// Members lists the daemons that this daemon knows, including itself.
type Members interface {
	Members() []answers.Member
}

// Pools lists the pools that this daemon owns, with their upstreams and live grants.
type Pools interface {
	Pools() []answers.Pool
	Upstreams() []answers.Upstream
	Grants() []answers.Grant
}

// Usage lists every usage counter that this daemon knows, its own and those of other daemons.
type Usage interface {
	Usage() []answers.UsageCounter
}

// Documents returns the document in force; its revision is zero if there is none.
type Documents interface {
	Newest() (peer.Revision, []byte)
}

// Timeline stores the daemon's recent events.
type Timeline interface {
	Add(timeline.Event)
	Events(timeline.Filter) []timeline.Event
}

// Stopper stops this daemon gracefully.
type Stopper interface {
	// Drain begins the graceful stop; a second call has no effect.
	Drain()
	// Draining reports whether the stop has begun, and how many requests are still running.
	Draining() (began bool, requests int)
}

// Store counts calls to the platform's store.
type Store interface {
	Counts() platform.Counts
}

// Where tells where a request would be placed now.
type Where interface {
	// Where returns an error of type *fault.Error if there is no answer.
	Where(ctx context.Context, q *answers.WhereQuery) (answers.Where, error)
}

// Metrics writes metrics in the Prometheus text format.
type Metrics interface {
	WritePrometheus(w io.Writer)
}

// Sources are the components of the daemon that the handlers read. All are required.
type Sources struct {
	Health    Health
	Members   Members
	Pools     Pools
	Usage     Usage
	Documents Documents
	Timeline  Timeline
	Stopper   Stopper
	Store     Store
	Where     Where
	Metrics   []Metrics
}

// Server serves the operator address.
type Server struct {
	sources Sources
	log     *log.Logger
}

// New returns a server that reads the given components. Operators can change the level of logger l.
func New(sources Sources, l *log.Logger) *Server { return &Server{sources: sources, log: l} }

// Handler returns the handler of all pages.
func (s *Server) Handler() http.Handler {
	src := &s.sources
	m := http.NewServeMux()
	m.HandleFunc("GET "+answers.PathLive, s.live)
	m.HandleFunc("GET "+answers.PathReady, s.ready)
	m.HandleFunc("GET "+answers.PathMetrics, s.metrics)
	m.HandleFunc("GET "+answers.PathMembers, listPage(func() []answers.Member { return src.Members.Members() }))
	m.HandleFunc("GET "+answers.PathPools, listPage(func() []answers.Pool { return src.Pools.Pools() }))
	m.HandleFunc("GET "+answers.PathUpstreams, listPage(func() []answers.Upstream { return src.Pools.Upstreams() }))
	m.HandleFunc("GET "+answers.PathGrants, listPage(func() []answers.Grant { return src.Pools.Grants() }))
	m.HandleFunc("GET "+answers.PathUsage, listPage(func() []answers.UsageCounter { return src.Usage.Usage() }))
	m.HandleFunc("GET "+answers.PathWhere, s.where)
	m.HandleFunc("GET "+answers.PathDocument, s.document)
	m.HandleFunc("GET "+answers.PathTimeline, s.timeline)
	m.HandleFunc("GET "+answers.PathLevel, s.level)
	m.HandleFunc("PUT "+answers.PathLevel, s.setLevel)
	m.HandleFunc("GET "+answers.PathDrain, s.drain)
	m.HandleFunc("PUT "+answers.PathDrain, s.startDrain)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, "no page for "+r.Method+" "+r.URL.Path+": see the page of operator addresses")
	})
	return m
}

// listPage returns a handler that responds with a list; an empty list is encoded as [], not null.
func listPage[E any](list func() []E) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		es := list()
		if es == nil {
			es = []E{}
		}
		writeJSON(w, http.StatusOK, es)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, answers.Failure{Error: text})
}

// maxBody bounds the body of an operator's request, in bytes.
const maxBody = 4 << 10

// readJSON decodes the request body and reports whether it is valid. For an invalid body it writes an
// error response.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	j := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	j.DisallowUnknownFields()
	if err := j.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

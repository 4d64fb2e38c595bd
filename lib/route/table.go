package route

import (
	"net"
	"strings"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/decide"
)

// Class is the error class of this package.
var Class = errs.Class("route")

// Table is a Document indexed for requests. It is safe for concurrent use.
type Table struct {
	document *Document
	// hosts holds the routes of each host by prefix.
	hosts    map[string]map[string]*Route
	services map[ServiceID]*Service
	keys     map[Key]*Workspace
}

// Index checks and indexes a document.
func Index(d *Document) (*Table, error) {
	t := &Table{
		document: d,
		hosts:    make(map[string]map[string]*Route, 1),
		services: make(map[ServiceID]*Service, len(d.Services)),
		keys:     make(map[Key]*Workspace),
	}
	for i := range d.Services {
		t.services[d.Services[i].ID] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if len(r.Targets) == 0 {
			return nil, Class.New("revision %d: route %q has no target", d.Revision, r.Name)
		}
		h := strings.ToLower(r.Host)
		if t.hosts[h] == nil {
			t.hosts[h] = map[string]*Route{}
		}
		if t.hosts[h][r.Prefix] == nil {
			t.hosts[h][r.Prefix] = r
		}
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	return t, nil
}

// Document is what the table was made from. It must not be changed.
func (t *Table) Document() *Document { return t.document }

// Revision is the document's.
func (t *Table) Revision() Revision { return t.document.Revision }

// Find returns the route of a request, nil if there is none.
func (t *Table) Find(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := t.hosts[strings.ToLower(host)]
	for i := len(path); i > 0; i = strings.LastIndexByte(path[:i-1], '/') + 1 {
		if r := prefixes[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// KeyRequired tells whether callers must show a key where a route is not public.
func (t *Table) KeyRequired() bool { return len(t.document.Workspaces) > 0 }

// WorkspaceByKey returns the workspace that holds a key, nil if none does.
func (t *Table) WorkspaceByKey(k Key) *Workspace { return t.keys[k] }

// Service returns a service, nil if the document does not name it.
func (t *Table) Service(id ServiceID) *Service { return t.services[id] }

// Urgency is the rank of a request: that of its workspace, else that of its route.
func Urgency(r *Route, w *Workspace) decide.Urgency {
	u := r.Urgency
	if w != nil && w.Urgency != nil {
		u = *w.Urgency
	}
	return decide.Urgency(min(max(u, 0), 255))
}

// Pick chooses a target by weight; point is uniform over all values of its type,
// so that the same request always gets the same one.
func (r *Route) Pick(point uint64) ServiceID {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	left := int(point % uint64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.Targets[0].Service
}

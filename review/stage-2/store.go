package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Specification any `json:"specification"`
}

// event is one change as a watch reports it.
type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store stands in for the platform's store: lists and watches of objects, as PROTOCOL.md describes them.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func startStore() *store {
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.address = serve(&http.Server{Handler: http.HandlerFunc(s.handle)})
	return s
}

// serve serves HTTP on a free loopback port and returns its address.
func serve(h *http.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = h.Serve(l) }() // an error means that the server was closed
	return l.Addr().String()
}

// put writes an object and returns once the write is confirmed.
func (s *store) put(kind, name string, specification any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Specification = name, s.revision, specification
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes an object and returns once that is confirmed.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

// watch answers with the changes of a kind after a revision, as soon as there is one, or without any after wait_ms.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, revision string) {
	after, _ := strconv.ParseUint(revision, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		found, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 || over {
			writeJSON(w, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has gone
}

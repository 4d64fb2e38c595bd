// Package whatif plays the requests of a day, read from the logs of its VMs, through the decisions again, on a model of the engines.
package whatif

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Class is the error class of this package.
var Class = errs.Class("whatif")

// line is what is read of one line of a log. Spans are in milliseconds.
type line struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Event   string    `json:"event"`
	Service string    `json:"service"`

	// Fields of a request. Aim is missing in lines of versions that did not write it.
	ID      string       `json:"id"`
	Prompt  int64        `json:"prompt"`
	Output  int64        `json:"output"`
	Aim     *clock.Milli `json:"aim"`
	Gap     clock.Milli  `json:"gap"`
	Due     clock.Milli  `json:"due"`
	Urgency int          `json:"urgency"`
	Queued  clock.Milli  `json:"queued"`
	Placed  clock.Milli  `json:"placed"`
	Reason  string       `json:"reason"`
	Sends   string       `json:"sends"`
	First   clock.Milli  `json:"first"`
	Pause   clock.Milli  `json:"pause"`
	Events  int          `json:"events"`
	Total   clock.Milli  `json:"total"`
	Outcome string       `json:"outcome"`

	// Count is that of the first list of upstreams.
	Count int `json:"count"`
	// Fields of an upstream.
	Upstream string `json:"upstream"`
	New      bool   `json:"new"`
	Gone     bool   `json:"gone"`
	Leaving  bool   `json:"leaving"`

	// Fields of a service's engines.
	Slots   int     `json:"slots"`
	Memory  int64   `json:"memory"`
	Step    float64 `json:"step"`
	Writer  float64 `json:"writer"`
	Context float64 `json:"context"`
	Speed   float64 `json:"speed"`
	Pairs   float64 `json:"pairs"`
	Stride  int     `json:"stride"`
	Hop     float64 `json:"hop"`
}

// Log is what the logs of a day tell, in the order of the requests' arrivals.
type Log struct {
	Requests []Request
	// Engines describes the engines of each service that has any, Upstreams counts them.
	Engines   map[route.ServiceID]route.Engine
	Upstreams map[route.ServiceID]int
	Gaps
}

// Gaps are what the logs lack.
type Gaps struct {
	// Skipped counts lines that are none of a daemon's, or are cut off; Older requests of a version that did not write their aims; Twice lines
	// that stand in several logs.
	Skipped, WithoutAim, Duplicates int
	// WithoutStart names VMs whose logs have no start: they may have been cut there.
	WithoutStart []string
	// UnnamedUpstreams is set if no log names the upstreams of its first list: they are counted by the requests that were sent to them.
	UnnamedUpstreams bool
}

// Request is one request as it was served.
type Request struct {
	VM, ID  string
	Service route.ServiceID
	// Arrived is the instant of its arrival, by its VM's clock.
	Arrived time.Time
	line
}

// identity tells the ends of requests apart: an id may come twice, if a caller sends it again.
type identity struct {
	vm, id string
	at     time.Time
}

// reader collects what logs tell.
type reader struct {
	log     Log
	seen    map[identity]bool
	vms     map[string]bool
	service map[string]route.ServiceID
	present map[route.ServiceID]map[string]bool
	// led holds the upstreams that requests were sent to, fresh those that a log tells the coming of, lists how many first lists there
	// are, and empty how many of them were empty.
	led          map[route.ServiceID]map[string]bool
	fresh        map[string]bool
	lists, empty int
}

// Read reads the logs of one or more VMs, each in any order.
func Read(logs ...io.Reader) (*Log, error) {
	r := &reader{
		log:  Log{Engines: map[route.ServiceID]route.Engine{}, Upstreams: map[route.ServiceID]int{}},
		seen: map[identity]bool{}, vms: map[string]bool{}, service: map[string]route.ServiceID{}, present: map[route.ServiceID]map[string]bool{},
		led: map[route.ServiceID]map[string]bool{}, fresh: map[string]bool{},
	}
	for _, l := range logs {
		skipped, err := logline.Scan(l, r.take)
		if err != nil {
			return nil, Class.Wrap(err)
		}
		r.log.Skipped += skipped
	}
	return r.finish()
}

// take takes one line.
func (r *reader) take(object []byte) bool {
	var l line
	if json.Unmarshal(object, &l) != nil || l.Event == "" {
		return false
	}
	started := l.Event == logline.Started
	r.vms[l.VM] = r.vms[l.VM] || started
	s := route.ServiceID(l.Service)
	switch l.Event {
	case logline.Request:
		r.request(&l)
	case logline.Engine:
		r.log.Engines[s] = route.Engine{
			Slots: l.Slots, Memory: tokens(l.Memory), Step: l.Step, Writer: l.Writer, Context: l.Context,
			Read: l.Speed, Pairs: l.Pairs, Stride: l.Stride, Hop: l.Hop,
		}
	case logline.Upstream:
		r.upstream(&l)
	case logline.Upstreams:
		r.lists++
		if l.Count == 0 {
			r.empty++
		}
	}
	return true
}

func (r *reader) request(l *line) {
	key := identity{l.VM, l.ID, l.Time}
	if r.seen[key] {
		r.log.Duplicates++
		return
	}
	r.seen[key] = true
	if l.Aim == nil {
		r.log.WithoutAim++
		return
	}
	r.leads(l)
	r.log.Requests = append(r.log.Requests, Request{
		VM: l.VM, ID: l.ID, Service: route.ServiceID(l.Service), Arrived: l.Time.Add(-l.Total.Duration()), line: *l,
	})
}

// leads notes the upstreams that a request was sent to.
func (r *reader) leads(l *line) {
	s := route.ServiceID(l.Service)
	if r.led[s] == nil {
		r.led[s] = map[string]bool{}
	}
	for send := range strings.SplitSeq(l.Sends, "; ") {
		if id, _, ok := strings.Cut(send, "+"); ok {
			r.led[s][id] = true
		}
	}
}

// upstream counts the most that a service had at any time, as the VMs together saw it.
func (r *reader) upstream(l *line) {
	if l.Service != "" {
		r.service[l.Upstream] = route.ServiceID(l.Service)
	}
	s := r.service[l.Upstream]
	if r.present[s] == nil {
		r.present[s] = map[string]bool{}
	}
	if l.Gone || l.Leaving {
		delete(r.present[s], l.Upstream)
	} else if l.New {
		r.present[s][l.Upstream], r.fresh[l.Upstream] = true, true
	}
	r.log.Upstreams[s] = max(r.log.Upstreams[s], len(r.present[s]))
}

func (r *reader) finish() (*Log, error) {
	l := &r.log
	for _, vm := range slices.Sorted(maps.Keys(r.vms)) {
		if !r.vms[vm] {
			l.WithoutStart = append(l.WithoutStart, vm)
		}
	}
	if l.UnnamedUpstreams = r.empty == 0; l.UnnamedUpstreams {
		for s, ids := range r.led {
			for id := range ids {
				if !r.fresh[id] {
					l.Upstreams[s]++
				}
			}
		}
	}
	slices.SortStableFunc(l.Requests, func(a, b Request) int { return a.Arrived.Compare(b.Arrived) })
	switch {
	case len(l.Requests) == 0 && l.WithoutAim > 0:
		return nil, Class.New("%d lines of requests have no aim: the log is of a version that did not write it", l.WithoutAim)
	case len(l.Requests) == 0:
		return nil, Class.New("no line of a request in the log (%d lines skipped)", l.Skipped)
	case len(l.Engines) == 0:
		return nil, Class.New("no line describes engines: the log is cut at its start, or has no service with engines")
	}
	return l, nil
}

// String tells of the gaps, in a line each; empty for none.
func (g *Gaps) String() string {
	text := ""
	add := func(n int, what string) {
		if n > 0 {
			text += fmt.Sprintf("gap: %d %s\n", n, what)
		}
	}
	add(g.Skipped, "lines are none of a daemon's or cut off")
	add(g.WithoutAim, "requests are of a version that did not write their aims; left out")
	add(g.Duplicates, "lines stand in several logs; taken once")
	if len(g.WithoutStart) > 0 {
		text += fmt.Sprintf("gap: the logs of %v have no start\n", g.WithoutStart)
	}
	if g.UnnamedUpstreams {
		text += "gap: no log names the first upstreams; those that no request was sent to are not counted\n"
	}
	return text
}

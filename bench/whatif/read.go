// Package whatif replays requests from the logs of VMs against the scheduling decisions, with
// simulated engines in place of the real ones, and shows what other engines, rules or mixes of
// requests would have changed.
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

// line holds the fields that are read of one line of a log. Durations are in milliseconds.
type line struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Event   string    `json:"event"`
	Service string    `json:"service"`

	// Fields of a request. Aim is nil in lines of versions that did not log it.
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

	// Count is the number of upstreams that a VM found when it started.
	Count int `json:"count"`
	// Fields of a change of an upstream.
	Upstream string `json:"upstream"`
	New      bool   `json:"new"`
	Gone     bool   `json:"gone"`
	Leaving  bool   `json:"leaving"`

	// Fields of the description of a service's engines.
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

// Log is the content of the logs. Its requests are in the order of their arrivals.
type Log struct {
	Requests []Request
	// Engines describes the engines of each service that has any, Upstreams is their number.
	Engines   map[route.ServiceID]route.Engine
	Upstreams map[route.ServiceID]int
	Gaps
}

// Gaps describes what is missing from the logs, or was left out.
type Gaps struct {
	// Skipped counts lines that are truncated or not written by a daemon, WithoutAim the requests
	// logged by a version that did not log aims, Duplicates the requests that occur in several
	// logs.
	Skipped, WithoutAim, Duplicates int
	// WithoutStart lists the VMs whose logs lack the line of their start. The beginning of these
	// logs may be missing.
	WithoutStart []string
	// UnnamedUpstreams is set if no log contains an empty list of upstreams at the start of its VM:
	// each VM already had upstreams, which the logs do not name. These are counted from the
	// requests sent to them.
	UnnamedUpstreams bool
}

// Request is one logged request.
type Request struct {
	VM, ID  string
	Service route.ServiceID
	// Arrived is the instant of its arrival by the clock of its VM.
	Arrived time.Time
	line
}

// identity identifies the log line of a request. The time is needed because a request ID occurs
// again when a client resends the request.
type identity struct {
	vm, id string
	at     time.Time
}

// reader collects the content of the logs.
type reader struct {
	log Log
	// seen holds the requests read so far, startSeen whether each VM's start was logged.
	seen      map[identity]bool
	startSeen map[string]bool
	// serviceOf is the service of each upstream, present the upstreams that a service has at the
	// current line.
	serviceOf map[string]route.ServiceID
	present   map[route.ServiceID]map[string]bool
	// sentTo holds the upstreams that requests were sent to, announced those whose addition is
	// logged. upstreamLists is the number of logged start-up lists of upstreams, emptyLists the
	// number of those that were empty.
	sentTo                    map[route.ServiceID]map[string]bool
	announced                 map[string]bool
	upstreamLists, emptyLists int
}

// Read reads the logs of one or more VMs. The lines of a log may be in any order.
func Read(logs ...io.Reader) (*Log, error) {
	r := &reader{
		log:  Log{Engines: map[route.ServiceID]route.Engine{}, Upstreams: map[route.ServiceID]int{}},
		seen: map[identity]bool{}, startSeen: map[string]bool{}, serviceOf: map[string]route.ServiceID{}, present: map[route.ServiceID]map[string]bool{},
		sentTo: map[route.ServiceID]map[string]bool{}, announced: map[string]bool{},
	}
	for _, l := range logs {
		skipped, err := logline.Scan(l, r.readLine)
		if err != nil {
			return nil, Class.Wrap(err)
		}
		r.log.Skipped += skipped
	}
	return r.finish()
}

// readLine processes one line and reports whether it is a log line of a daemon.
func (r *reader) readLine(object []byte) bool {
	var l line
	if json.Unmarshal(object, &l) != nil || l.Event == "" {
		return false
	}
	started := l.Event == logline.Started
	r.startSeen[l.VM] = r.startSeen[l.VM] || started
	s := route.ServiceID(l.Service)
	switch l.Event {
	case logline.Request:
		r.readRequest(&l)
	case logline.Engine:
		r.log.Engines[s] = route.Engine{
			Slots: l.Slots, Memory: tokenCount(l.Memory), Step: l.Step, Writer: l.Writer, Context: l.Context,
			Read: l.Speed, Pairs: l.Pairs, Stride: l.Stride, Hop: l.Hop,
		}
	case logline.Upstream:
		r.readUpstream(&l)
	case logline.Upstreams:
		if s != "" {
			r.log.Upstreams[s] = max(r.log.Upstreams[s], l.Count)
			break
		}
		r.upstreamLists++
		if l.Count == 0 {
			r.emptyLists++
		}
	}
	return true
}

func (r *reader) readRequest(l *line) {
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
	r.recordSends(l)
	r.log.Requests = append(r.log.Requests, Request{
		VM: l.VM, ID: l.ID, Service: route.ServiceID(l.Service), Arrived: l.Time.Add(-l.Total.Duration()), line: *l,
	})
}

// recordSends records the upstreams that a request was sent to.
func (r *reader) recordSends(l *line) {
	s := route.ServiceID(l.Service)
	if r.sentTo[s] == nil {
		r.sentTo[s] = map[string]bool{}
	}
	for send := range strings.SplitSeq(l.Sends, "; ") {
		if id, _, ok := strings.Cut(send, "+"); ok {
			r.sentTo[s][id] = true
		}
	}
}

// readUpstream tracks the upstreams of a service over all VMs, and counts the most that were
// present at the same time.
func (r *reader) readUpstream(l *line) {
	if l.Service != "" {
		r.serviceOf[l.Upstream] = route.ServiceID(l.Service)
	}
	s := r.serviceOf[l.Upstream]
	if r.present[s] == nil {
		r.present[s] = map[string]bool{}
	}
	if l.Gone || l.Leaving {
		delete(r.present[s], l.Upstream)
	} else if l.New {
		r.present[s][l.Upstream], r.announced[l.Upstream] = true, true
	}
	r.log.Upstreams[s] = max(r.log.Upstreams[s], len(r.present[s]))
}

func (r *reader) finish() (*Log, error) {
	l := &r.log
	for _, vm := range slices.Sorted(maps.Keys(r.startSeen)) {
		if !r.startSeen[vm] {
			l.WithoutStart = append(l.WithoutStart, vm)
		}
	}
	if l.UnnamedUpstreams = r.emptyLists == 0; l.UnnamedUpstreams {
		for s, ids := range r.sentTo {
			for id := range ids {
				if !r.announced[id] {
					l.Upstreams[s]++
				}
			}
		}
	}
	slices.SortStableFunc(l.Requests, func(a, b Request) int { return a.Arrived.Compare(b.Arrived) })
	switch {
	case len(l.Requests) == 0 && l.WithoutAim > 0:
		return nil, Class.New("%d requests have no aim: the log is of a version that did not write it", l.WithoutAim)
	case len(l.Requests) == 0:
		return nil, Class.New("no line of a request in the log (%d lines skipped)", l.Skipped)
	case len(l.Engines) == 0:
		return nil, Class.New("no line describes engines: the start of the log is missing, or no service has engines")
	}
	return l, nil
}

// String describes the gaps, one line each; it is empty if there are none.
func (g *Gaps) String() string {
	text := ""
	add := func(n int, description string) {
		if n > 0 {
			text += fmt.Sprintf("gap: %d %s\n", n, description)
		}
	}
	add(g.Skipped, "lines skipped: truncated or not written by a daemon")
	add(g.WithoutAim, "requests left out: logged by a version that did not write their aims")
	add(g.Duplicates, "requests occur in several logs: counted once")
	if len(g.WithoutStart) > 0 {
		text += fmt.Sprintf("gap: the logs of %v lack the line of the VM's start: earlier lines may be missing\n", g.WithoutStart)
	}
	if g.UnnamedUpstreams {
		text += "gap: no log names the upstreams present at the start of its VM: those that received no request are not counted\n"
	}
	return text
}

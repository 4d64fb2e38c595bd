// Package explain determines from the logs of all VMs why a request failed or was slow. It reads JSON
// lines, also with a prefix before the JSON object, as added by log collectors.
package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/logline"
)

// Class is the error class of this package.
var Class = errs.Class("explain")

// Line is one line of a log, with the fields that this package evaluates.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`

	// Fields of request lines. Durations are in milliseconds. Age is the time since Revision was last
	// verified as the newest; Sends lists all sends, separated by semicolons.
	ID        string `json:"id"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Revision  uint64 `json:"revision"`
	Age       int64  `json:"age"`
	Prompt    int64  `json:"prompt"`
	Queued    int64  `json:"queued"`
	// Read, Placed, Connected and Sent are times since the arrival. The last three are those of the last
	// send.
	Read      int64  `json:"read"`
	Placed    int64  `json:"placed"`
	Connected int64  `json:"connected"`
	Sent      int64  `json:"sent"`
	Reason    string `json:"reason"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Sends     string `json:"sends"`
	First     int64  `json:"first"`
	Pause     int64  `json:"pause"`
	Events    int    `json:"events"`
	Total     int64  `json:"total"`
	Status    int    `json:"status"`
	Outcome   string `json:"outcome"`
	Error     string `json:"error"`

	// Fields of lines that report a state change: a dependency was lost or recovered, an upstream changed,
	// or another VM became the owner of a service.
	Upstream   string `json:"upstream"`
	Address    string `json:"address"`
	Owner      string `json:"owner"`
	Epoch      uint64 `json:"epoch"`
	Cause      string `json:"cause"`
	Dependency string `json:"dependency"`
	Peer       string `json:"peer"`
	Leaving    bool   `json:"leaving"`
	Gone       bool   `json:"gone"`
	// Names are some of the upstreams that a line about many is about.
	Names   []string `json:"names"`
	Message string   `json:"message"`
}

// Read returns all lines of a log that are JSON objects with an event. It counts all others, so that a
// truncated log does not appear complete.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	skipped, err = logline.Scan(r, func(object []byte) bool {
		var l Line
		if json.Unmarshal(object, &l) != nil || l.Event == "" {
			return false
		}
		lines = append(lines, l)
		return true
	})
	if err != nil {
		return nil, 0, Class.Wrap(err)
	}
	return lines, skipped, nil
}

// contextWindow is how long before its arrival a state change can affect a request. It is the
// longest of the time bounds on outdated state, the one for cached keys.
const contextWindow = 5 * time.Second

// RequestReport is one request with the log lines that may explain its outcome.
type RequestReport struct {
	Request Line
	// Cause describes the event that decided the outcome and the state that it was based on.
	Cause string
	// Context lists the lines about state changes that may have affected the request, ordered by time.
	Context []Line
}

// FindRequests returns the requests with an id, ordered by time. Retries by the client have other ids.
func FindRequests(lines []Line, id string) []RequestReport {
	var out []RequestReport
	for _, l := range lines {
		if l.Event != logline.Request || l.ID != id {
			continue
		}
		s := RequestReport{Request: l, Context: context(lines, l)}
		s.Cause = cause(l, s.Context)
		out = append(out, s)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Request.Time.Before(out[j].Request.Time) })
	return out
}

// context lists the state changes that may have affected a request: those that its VM logged about its
// dependencies, and those that any VM logged about the upstreams that the request was sent to.
func context(lines []Line, r Line) []Line {
	from := r.Time.Add(-time.Duration(r.Total)*time.Millisecond - contextWindow)
	var out []Line
	for _, l := range lines {
		if l.Event == logline.Request || l.Time.Before(from) || l.Time.After(r.Time) {
			continue
		}
		sameVM := l.VM == r.VM && (l.Upstream == "" || l.ID == r.ID)
		sentTo := l.Upstream != "" && strings.Contains(r.Sends, l.Upstream) ||
			slices.ContainsFunc(l.Names, func(name string) bool { return strings.Contains(r.Sends, name) })
		if sameVM || sentTo {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	return out
}

// slowQueue and slowPause are the shortest time in the queue and the shortest pause of a stream, in
// milliseconds, that are reported as the cause of a slow request.
const (
	slowQueue = 100
	slowPause = 1000
)

// cause describes the event that decided the outcome of a request.
func cause(r Line, context []Line) string {
	switch {
	case r.Outcome == "unauthorized" || r.Outcome == "unknown":
		return fmt.Sprintf("%s: %s, by revision %d, which was verified as the newest %d ms before", r.Outcome, r.Error, r.Revision, r.Age)
	case r.Outcome == "unavailable" && strings.Contains(r.Error, "old"):
		return fmt.Sprintf("local state is too old: %s%s", r.Error, describeLoss(context, "store"))
	case r.Outcome == "overloaded" && r.Sends == "", r.Outcome == "unavailable" && r.Sends == "":
		return fmt.Sprintf("not placed within %d ms (%s): %d requests waiting and %d running at the placement query%s%s", r.Queued, r.Reason, r.Waiting, r.Running, describeLoss(context, "owner"), describeHolderChange(context, r))
	case r.Outcome == "canceled" && r.Sends == "":
		return fmt.Sprintf("canceled by its client after %d ms in the queue: %d requests waiting and %d running", r.Queued, r.Waiting, r.Running)
	case r.Outcome != "ok":
		return fmt.Sprintf("%s: %s; sends: %s", r.Outcome, r.Error, r.Sends)
	case strings.Contains(r.Sends, ";"):
		return fmt.Sprintf("served, after an earlier send failed: %s", r.Sends)
	case r.Queued >= slowQueue:
		return fmt.Sprintf("served, after %d of %d ms to the first byte in the queue: %d requests waiting and %d running%s", r.Queued, r.First, r.Waiting, r.Running, describeHolderChange(context, r))
	case r.Pause >= slowPause:
		return fmt.Sprintf("served, with a pause of %d ms in the stream of upstream %s", r.Pause, r.Sends)
	default:
		return fmt.Sprintf("served; upstream %s took %d of %d ms to the first byte", r.Sends, r.First-r.Queued, r.First)
	}
}

// describeLoss describes the last loss of a dependency from which it had not recovered when the
// request ended. It is empty if there is none.
func describeLoss(context []Line, dependency string) string {
	out := ""
	for _, l := range context {
		if l.Dependency != dependency {
			continue
		}
		switch l.Event {
		case logline.Unreachable:
			name := strings.TrimSpace(dependency + " " + l.Peer)
			out = fmt.Sprintf("; the %s did not answer at %s", name, l.Time.UTC().Format("15:04:05.000"))
		case logline.Reached:
			out = ""
		}
	}
	return out
}

// LinesBetween returns the lines with a time from since to until; a zero time is no bound.
func LinesBetween(lines []Line, since, until time.Time) []Line {
	var out []Line
	for _, l := range lines {
		if (since.IsZero() || !l.Time.Before(since)) && (until.IsZero() || !l.Time.After(until)) {
			out = append(out, l)
		}
	}
	return out
}

// describeHolderChange describes the first change of the holder (the VM that owns the service) while
// the request was in progress. It is empty if there is none.
func describeHolderChange(context []Line, r Line) string {
	began := arrival(r)
	for _, l := range context {
		if l.Event == logline.Holder && l.Service == r.Service && l.Time.After(began) {
			return fmt.Sprintf("; %s held the service from %s on (epoch %d, %s)", l.Owner, l.Time.UTC().Format("15:04:05.000"), l.Epoch, l.Cause)
		}
	}
	return ""
}

// Summary counts the events in a period of time.
type Summary struct {
	// Requests is the number of requests that ended in the period.
	Requests int
	// Outcomes counts requests by outcome, for refusals with the reason.
	Outcomes map[string]int
	// StateChanges counts the state changes that processes logged, by event and subject.
	StateChanges map[string]int
}

// Summarize counts the events from since to until; a zero time is no bound.
func Summarize(lines []Line, since, until time.Time) Summary {
	s := Summary{Outcomes: map[string]int{}, StateChanges: map[string]int{}}
	for _, l := range LinesBetween(lines, since, until) {
		if l.Event == logline.Request {
			s.Requests++
			s.Outcomes[outcome(l)]++
			continue
		}
		s.StateChanges[strings.TrimSpace(l.Event+" "+subject(l))]++
	}
	return s
}

// outcome returns the outcome of a request, for refusals with the reason.
func outcome(l Line) string {
	if l.Outcome != "ok" && l.Sends == "" && l.Reason != "" {
		return l.Outcome + " (" + l.Reason + ")"
	}
	return l.Outcome
}

// subject names the dependency, service, upstream or VM that an event is about.
func subject(l Line) string {
	switch l.Event {
	case logline.Unreachable, logline.Reached:
		return strings.TrimSpace(l.Dependency + " " + l.Peer)
	case logline.Holder:
		return l.Service + " " + l.Owner
	case logline.Upstream:
		switch {
		case l.Gone:
			return l.Upstream + " gone"
		case l.Leaving:
			return l.Upstream + " leaving"
		}
		return l.Upstream
	case logline.Report, logline.Reserve, logline.Release:
		return l.Upstream
	case logline.Unresponsive:
		return l.Address
	}
	return l.VM
}

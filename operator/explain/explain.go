// Package explain finds the cause of what a caller complains about in the logs of
// all VMs. It reads JSON lines, also such as something else has put a prefix before.
package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/logline"
)

// Class is the error class of this package.
var Class = errs.Class("explain")

// Line is one line of a log.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`

	// Fields of requests. Spans are in milliseconds.
	ID        string `json:"id"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Revision  uint64 `json:"revision"`
	Age       int64  `json:"age"`
	Prompt    int64  `json:"prompt"`
	Queued    int64  `json:"queued"`
	// Read, Placed, Connected and Sent are spans since the arrival; the last three are of the last send.
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

	// Fields of what a process believes.
	Upstream   string `json:"upstream"`
	Address    string `json:"address"`
	Owner      string `json:"owner"`
	Epoch      uint64 `json:"epoch"`
	Cause      string `json:"cause"`
	Dependency string `json:"dependency"`
	Peer       string `json:"peer"`
	Leaving    bool   `json:"leaving"`
	Gone       bool   `json:"gone"`
	Message    string `json:"message"`
}

// Read reads all lines of a log that are JSON objects with an event. What is not is
// counted: a log that was cut off must not look complete.
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

// around is how long before a request what a process believed may bear on it: the time
// for which keys may be trusted, the longest of the bounds.
const around = 5 * time.Second

// RequestReport is one request with what bears on it.
type RequestReport struct {
	Request Line
	// Cause names the deciding event and what it relied on.
	Cause string
	// Context are lines of what processes believed, in the order of time.
	Context []Line
}

// FindRequests finds the stories of an id. Repeats of a caller have other ids.
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

// context lists what bears on a request: what its VM believed of its dependencies, and
// what any VM believed of the upstreams that it was sent to.
func context(lines []Line, r Line) []Line {
	from := r.Time.Add(-time.Duration(r.Total)*time.Millisecond - around)
	var out []Line
	for _, l := range lines {
		if l.Event == logline.Request || l.Time.Before(from) || l.Time.After(r.Time) {
			continue
		}
		own := l.VM == r.VM && (l.Upstream == "" || l.ID == r.ID)
		sent := l.Upstream != "" && strings.Contains(r.Sends, l.Upstream)
		if own || sent {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	return out
}

// slowQueue and slowPause are spans in milliseconds from which on they are named as the cause.
const (
	slowQueue = 100
	slowPause = 1000
)

// cause names the deciding event of a request.
func cause(r Line, context []Line) string {
	switch {
	case r.Outcome == "unauthorized" || r.Outcome == "unknown":
		return fmt.Sprintf("%s: %s, by revision %d, known %d ms before to be the newest", r.Outcome, r.Error, r.Revision, r.Age)
	case r.Outcome == "unavailable" && strings.Contains(r.Error, "old"):
		return fmt.Sprintf("what is known is too old: %s%s", r.Error, lost(context, "store"))
	case r.Outcome == "overloaded" && r.Sends == "", r.Outcome == "unavailable" && r.Sends == "":
		return fmt.Sprintf("no place in %d ms (%s): %d waited and %d ran when it was asked%s%s", r.Queued, r.Reason, r.Waiting, r.Running, lost(context, "owner"), changed(context, r))
	case r.Outcome == "canceled" && r.Sends == "":
		return fmt.Sprintf("its caller left after %d ms in the queue: %d waited and %d ran", r.Queued, r.Waiting, r.Running)
	case r.Outcome != "ok":
		return fmt.Sprintf("%s: %s; sends: %s", r.Outcome, r.Error, r.Sends)
	case strings.Contains(r.Sends, ";"):
		return fmt.Sprintf("served, after an earlier send failed: %s", r.Sends)
	case r.Queued >= slowQueue:
		return fmt.Sprintf("served, after %d of %d ms to the first byte in the queue: %d waited and %d ran%s", r.Queued, r.First, r.Waiting, r.Running, changed(context, r))
	case r.Pause >= slowPause:
		return fmt.Sprintf("served, with a pause of %d ms by upstream %s", r.Pause, r.Sends)
	default:
		return fmt.Sprintf("served; upstream %s took %d of %d ms to the first byte", r.Sends, r.First-r.Queued, r.First)
	}
}

// lost tells whether a dependency was lost before the request's end.
func lost(context []Line, dependency string) string {
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

// LinesBetween are the lines from one instant to another; zero instants are open ends.
func LinesBetween(lines []Line, since, until time.Time) []Line {
	var out []Line
	for _, l := range lines {
		if (since.IsZero() || !l.Time.Before(since)) && (until.IsZero() || !l.Time.After(until)) {
			out = append(out, l)
		}
	}
	return out
}

// changed tells when the request's service got another holder while it waited.
func changed(context []Line, r Line) string {
	began := arrival(r)
	for _, l := range context {
		if l.Event == logline.Holder && l.Service == r.Service && l.Time.After(began) {
			return fmt.Sprintf("; %s held the service from %s on (epoch %d, %s)", l.Owner, l.Time.UTC().Format("15:04:05.000"), l.Epoch, l.Cause)
		}
	}
	return ""
}

// Summary counts what happened in a span of time.
type Summary struct {
	Requests int
	// Outcomes counts requests by outcome, with the reason for refusals.
	Outcomes map[string]int
	// StateChanges counts the events of what processes believed, by event and subject.
	StateChanges map[string]int
}

// Summarize sums up what happened from one instant to another; zero instants are open ends.
func Summarize(lines []Line, since, until time.Time) Summary {
	w := Summary{Outcomes: map[string]int{}, StateChanges: map[string]int{}}
	for _, l := range LinesBetween(lines, since, until) {
		if l.Event == logline.Request {
			w.Requests++
			w.Outcomes[outcome(l)]++
			continue
		}
		w.StateChanges[strings.TrimSpace(l.Event+" "+subject(l))]++
	}
	return w
}

func outcome(l Line) string {
	if l.Outcome != "ok" && l.Sends == "" && l.Reason != "" {
		return l.Outcome + " (" + l.Reason + ")"
	}
	return l.Outcome
}

// subject is what an event is about.
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

package operator

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/timeline"
)

// live answers as long as this process can answer at all.
func (d *Server) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

// ready tells the balancer whether to send callers here.
func (d *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := d.sources.Health.Unready()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	write(w, status, answers.Readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

func (d *Server) document(w http.ResponseWriter, r *http.Request) {
	revision, text := d.sources.Documents.Newest()
	sum := sha256.Sum256(text)
	a := answers.Document{Revision: revision, Sum: "sha256:" + hex.EncodeToString(sum[:]), Size: len(text)}
	if r.URL.Query().Has(answers.ParamText) {
		a.Text = string(text)
	}
	write(w, http.StatusOK, a)
}

// timeline answers with JSON lines: a whole ring can be megabytes, and a reader
// that is cut off can use the lines it has.
func (d *Server) timeline(w http.ResponseWriter, r *http.Request) {
	f, err := filter(r.URL.Query())
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	b := bufio.NewWriter(w)
	j := json.NewEncoder(b)
	for _, e := range d.sources.Timeline.Events(f) {
		if j.Encode(e) != nil {
			return
		}
	}
	_ = b.Flush()
}

func filter(q url.Values) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:   decide.RequestID(q.Get(answers.ParamRequest)),
		Workspace: decide.WorkspaceID(q.Get(answers.ParamWorkspace)),
		Upstream:  decide.UpstreamID(q.Get(answers.ParamUpstream)),
	}
	var err error
	if f.Since, err = instant(q, answers.ParamSince); err != nil {
		return f, err
	}
	f.Until, err = instant(q, answers.ParamUntil)
	return f, err
}

func instant(q url.Values, name string) (clock.Milli, error) {
	text := q.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s: use milliseconds since the Unix epoch", name)
	}
	return clock.Milli(n), nil
}

// levels are the names of log levels, lowest first.
var levels = []string{"trace", "debug", "info", "warn", "error"}

func (d *Server) level(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, answers.Level{Level: d.present().String()})
}

// present reads the level as SetLevel writes it, while other goroutines log.
func (d *Server) present() log.Level {
	return log.Level(atomic.LoadUint32((*uint32)(&d.log.Level)))
}

func (d *Server) setLevel(w http.ResponseWriter, r *http.Request) {
	var a answers.Level
	if !read(w, r, &a) {
		return
	}
	if !slices.Contains(levels, a.Level) {
		fail(w, http.StatusBadRequest, fmt.Sprintf("level: use one of %q", levels))
		return
	}
	d.log.SetLevel(log.ParseLevel(a.Level))
	d.sources.Timeline.Add(timeline.Event{Kind: timeline.Leveled, Text: a.Level})
	d.level(w, r)
}

func (d *Server) drain(w http.ResponseWriter, _ *http.Request) {
	began, requests := d.sources.Stopper.Draining()
	write(w, http.StatusOK, answers.Drain{Draining: began, Requests: requests})
}

// startDrain begins the planned stop. It answers at once, since the requests in
// work may take as long as their allowed time.
func (d *Server) startDrain(w http.ResponseWriter, r *http.Request) {
	var a answers.Drain
	if !read(w, r, &a) {
		return
	}
	if !a.Draining {
		fail(w, http.StatusBadRequest, "a planned stop cannot be taken back: start the daemon anew when it has stopped")
		return
	}
	d.sources.Timeline.Add(timeline.Event{Kind: timeline.Drained, Text: "by an operator"})
	d.sources.Stopper.Drain()
	began, requests := d.sources.Stopper.Draining()
	write(w, http.StatusAccepted, answers.Drain{Draining: began, Requests: requests})
}

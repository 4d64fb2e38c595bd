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
	"strings"
	"sync/atomic"

	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/timeline"
)

// live is the liveness check: it succeeds whenever the process can respond.
func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

// ready is the readiness check, by which the balancer decides whether to send requests to this VM.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := s.sources.Health.Unready()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, answers.Readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	revision, text := s.sources.Documents.Newest()
	sum := sha256.Sum256(text)
	a := answers.Document{Revision: revision, Sum: "sha256:" + hex.EncodeToString(sum[:]), Size: len(text)}
	if r.URL.Query().Has(answers.ParamText) {
		a.Text = string(text)
	}
	writeJSON(w, http.StatusOK, a)
}

// timeline responds with JSON lines: the events of a full ring buffer can be megabytes, and a reader
// whose connection is cut can still use the lines that it has received.
func (s *Server) timeline(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	b := bufio.NewWriter(w)
	j := json.NewEncoder(b)
	for _, e := range s.sources.Timeline.Events(f) {
		if j.Encode(e) != nil {
			return
		}
	}
	_ = b.Flush()
}

func parseFilter(q url.Values) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:   decide.RequestID(q.Get(answers.ParamRequest)),
		Workspace: decide.WorkspaceID(q.Get(answers.ParamWorkspace)),
		Upstream:  decide.UpstreamID(q.Get(answers.ParamUpstream)),
	}
	var err error
	if f.Since, err = parseInstant(q, answers.ParamSince); err != nil {
		return f, err
	}
	f.Until, err = parseInstant(q, answers.ParamUntil)
	return f, err
}

func parseInstant(q url.Values, name string) (clock.Milli, error) {
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

// where tells where a request would be placed now, without sending it.
func (s *Server) where(w http.ResponseWriter, r *http.Request) {
	var q answers.WhereQuery
	j := json.NewDecoder(strings.NewReader(r.URL.Query().Get(answers.ParamWhere)))
	j.DisallowUnknownFields()
	if err := j.Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("the parameter %s does not describe a request: %v", answers.ParamWhere, err))
		return
	}
	x, err := s.sources.Where.Where(r.Context(), &q)
	if err != nil {
		f := fault.From(err)
		writeError(w, fault.Lookup(f.Kind).Status, f.Text)
		return
	}
	writeJSON(w, http.StatusOK, x)
}

// levels are the names of log levels, lowest first.
var levels = []string{"trace", "debug", "info", "warn", "error"}

func (s *Server) level(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, answers.Level{Level: s.currentLevel().String()})
}

// currentLevel reads the level atomically, since SetLevel may change it at the same time.
func (s *Server) currentLevel() log.Level {
	return log.Level(atomic.LoadUint32((*uint32)(&s.log.Level)))
}

func (s *Server) setLevel(w http.ResponseWriter, r *http.Request) {
	var a answers.Level
	if !readJSON(w, r, &a) {
		return
	}
	if !slices.Contains(levels, a.Level) {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("level: use one of %q", levels))
		return
	}
	s.log.SetLevel(log.ParseLevel(a.Level))
	s.sources.Timeline.Add(timeline.Event{Kind: timeline.Leveled, Text: a.Level})
	s.level(w, r)
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	began, requests := s.sources.Stopper.Draining()
	writeJSON(w, http.StatusOK, answers.Drain{Draining: began, Requests: requests})
}

// startDrain begins the graceful stop. It responds at once, since the running requests may take until
// their deadlines.
func (s *Server) startDrain(w http.ResponseWriter, r *http.Request) {
	var a answers.Drain
	if !readJSON(w, r, &a) {
		return
	}
	if !a.Draining {
		writeError(w, http.StatusBadRequest, "a planned stop cannot be taken back: start the daemon anew when it has stopped")
		return
	}
	s.sources.Timeline.Add(timeline.Event{Kind: timeline.Drained, Text: "by an operator"})
	s.sources.Stopper.Drain()
	began, requests := s.sources.Stopper.Draining()
	writeJSON(w, http.StatusAccepted, answers.Drain{Draining: began, Requests: requests})
}

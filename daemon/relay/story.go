package relay

import (
	"strconv"
	"strings"
	"sync/atomic"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// story is what one log line tells of a request.
type story struct {
	revision uint64
	// age is that of the document when the request came.
	age clock.Milli
	// read is when the whole request was here and its key looked up, as a span since its arrival; so are placed, connected and sent
	// of the last send: its place was given, its connection was there, its bytes were written.
	read                    clock.Milli
	placed, connected, sent atomic.Int64
	// queued is the time spent waiting for places.
	queued clock.Milli
	reason string
	// waiting and running are the owner's counts at the decision.
	waiting, running int
	first            clock.Milli
	status           int
	events           int
	pause, lastEvent clock.Milli
	sends            []string
}

// place notes that a place was given: the next send begins.
func (s *story) place(after clock.Milli) {
	s.placed.Store(int64(after))
	s.connected.Store(0)
	s.sent.Store(0)
}

// begin notes the first byte of an answer.
func (s *story) begin(after clock.Milli, status int) { s.first, s.status = after, status }

// event notes one event of a stream.
func (s *story) event(now clock.Milli) {
	s.events++
	if s.lastEvent > 0 {
		s.pause = max(s.pause, now-s.lastEvent)
	}
	s.lastEvent = now
}

// send notes the end of one send.
func (s *story) send(g span.Grant, res result) {
	text := string(g.Leader.Upstream) + "+" + strconv.Itoa(len(g.Helpers))
	if res.err != nil {
		text += " " + res.err.Error()
	}
	if res.culprit != "" {
		text += " by " + string(res.culprit)
	}
	s.sends = append(s.sends, text)
}

// logEnd writes the one line of a request.
func (x *flight) logEnd(err *fault.Error) {
	g := x.gate
	s := &x.story
	total := g.Clock.Now() - x.arrived
	e := g.Log.Info()
	name := "ok"
	if err != nil {
		e = g.Log.Warn()
		name = string(err.Kind)
	}
	routeName := ""
	var aim, gap, due clock.Milli
	var urgency decide.Urgency
	if x.route != nil {
		routeName, aim, gap, due = x.route.Name, x.route.Aim, x.route.Gap, x.deadline-x.arrived
		urgency = route.Urgency(x.route, x.holder)
	}
	g.metrics.request(routeName, name, s.first, s.queued, total)
	e = e.Str(logline.Key, logline.Request).Str("id", x.head.ID).Str("route", routeName).Str("service", string(x.service)).
		Str("workspace", string(x.workspace())).Uint64("revision", s.revision).Int64("age", int64(s.age)).
		Int64("prompt", int64(x.head.Prompt)).Int64("output", int64(x.head.Output)).Int64("aim", int64(aim)).Int64("gap", int64(gap)).
		Int64("due", int64(due)).Int("urgency", int(urgency)).Int64("left", int64(x.head.TimeLeft)).Str("last", x.head.LastEventID).Int64("queued", int64(s.queued)).Str("reason", s.reason).
		Int64("read", int64(s.read)).Int64("placed", s.placed.Load()).Int64("connected", s.connected.Load()).Int64("sent", s.sent.Load()).
		Int("waiting", s.waiting).Int("running", s.running).
		Str("sends", strings.Join(s.sends, "; ")).Int64("first", int64(s.first)).Int64("pause", int64(s.pause)).
		Int("events", s.events).Int64("total", int64(total)).Int("status", s.status).Str("outcome", name)
	if err != nil {
		e = e.Str("error", err.Text).Int64("retry", int64(err.Retry))
	}
	e.Msg("request")
}

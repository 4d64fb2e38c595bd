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

// record collects the values of the log line of one request.
type record struct {
	revision uint64
	// age is the age of the document when the request arrived.
	age clock.Milli
	// Times since the request's arrival. read: the request body was read and its key checked. For
	// the last send, placed: the grant was received; connected: the connection was open; sent: the
	// request was written.
	read                    clock.Milli
	placed, connected, sent atomic.Int64
	// queued is the total time spent waiting for grants.
	queued clock.Milli
	reason string
	// waiting and running are the numbers of queued and granted requests at the owner when it decided.
	waiting, running int
	first            clock.Milli
	status           int
	events           int
	pause, lastEvent clock.Milli
	sends            []string
}

// beginSend records that a grant was received and the next send begins.
func (s *record) beginSend(after clock.Milli) {
	s.placed.Store(int64(after))
	s.connected.Store(0)
	s.sent.Store(0)
}

// beginResponse records the first byte of a response.
func (s *record) beginResponse(after clock.Milli, status int) { s.first, s.status = after, status }

// addEvent records one event of a stream.
func (s *record) addEvent(now clock.Milli) {
	s.events++
	if s.lastEvent > 0 {
		s.pause = max(s.pause, now-s.lastEvent)
	}
	s.lastEvent = now
}

// endSend records the end of one send.
func (s *record) endSend(g span.Grant, res result) {
	text := string(g.Leader.Upstream) + "+" + strconv.Itoa(len(g.Helpers))
	if res.err != nil {
		text += " " + res.err.Error()
	}
	if res.culprit != "" {
		text += " by " + string(res.culprit)
	}
	s.sends = append(s.sends, text)
}

// logEnd writes the log line of the request.
func (x *request) logEnd(err *fault.Error) {
	g := x.gate
	s := &x.record
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
		urgency = route.Urgency(x.route, x.workspace)
	}
	g.metrics.countRequest(routeName, name, s.first, s.queued, total)
	e = e.Str(logline.Key, logline.Request).Str("id", x.head.ID).Str("route", routeName).Str("service", string(x.service)).
		Str("workspace", string(x.workspaceID())).Uint64("revision", s.revision).Int64("age", int64(s.age)).
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

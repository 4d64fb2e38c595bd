package relay

import (
	"strconv"
	"strings"
	"sync/atomic"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
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
	// first is the time from the request's arrival to the first byte of the response.
	first  clock.Milli
	status int
	events int
	// pause is the longest time between two events; lastEvent is when the last event was passed on.
	pause, lastEvent clock.Milli
	sends            []string
	// send is how far the current send has come.
	send progress
}

// progress is how far the response to one send has come.
type progress struct {
	// head is set once the header has arrived, events counts the events that were passed on.
	head   bool
	events int
	// begunAt is when the first of them was passed on.
	begunAt clock.Milli
}

// lasted reports whether the response has lasted so long that a crash of the upstream says nothing about the request.
func (p *progress) lasted(now clock.Milli) bool {
	return p.events > 0 && now-p.begunAt >= blame.ProveTime
}

// beginSend records that a grant was received and the next send begins.
func (r *record) beginSend(after clock.Milli) {
	r.placed.Store(int64(after))
	r.connected.Store(0)
	r.sent.Store(0)
	r.send = progress{}
}

// beginResponse records the first byte of a response.
func (r *record) beginResponse(after clock.Milli, status int) { r.first, r.status = after, status }

// addEvent records one event of a stream.
func (r *record) addEvent(now clock.Milli) {
	r.events++
	if r.send.events++; r.send.events == 1 {
		r.send.begunAt = now
	}
	if r.lastEvent > 0 {
		r.pause = max(r.pause, now-r.lastEvent)
	}
	r.lastEvent = now
}

// endSend records the end of one send; carrier is the VM through which it went, nil for none.
func (r *record) endSend(g span.Grant, res result, carrier *peer.VM) {
	text := string(g.Leader.Upstream) + "+" + strconv.Itoa(len(g.Helpers))
	if carrier != nil {
		text += " through " + string(*carrier)
	}
	if res.err != nil {
		text += " " + logline.Brief(res.err)
	}
	if res.culprit != "" {
		text += " by " + string(res.culprit)
	}
	r.sends = append(r.sends, text)
}

// logEnd writes the log line of the request.
func (x *request) logEnd(err *fault.Error) {
	g := x.gate
	r := &x.record
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
	g.metrics.countRequest(routeName, name, r.first, r.queued, total)
	e = e.Str(logline.Key, logline.Request).Str("id", x.head.ID).Str("route", routeName).Str("service", string(x.service)).
		Str("workspace", string(x.workspaceID())).Uint64("revision", r.revision).Int64("age", int64(r.age)).
		Str("parts", partNames(x.head.Parts)).Int64("prompt", int64(x.head.Prompt)).Int64("output", int64(x.head.Output)).Int64("aim", int64(aim)).Int64("gap", int64(gap)).
		Int64("due", int64(due)).Int("urgency", int(urgency)).Int64("left", int64(x.head.TimeLeft)).Str("last", x.head.LastEventID).Int64("queued", int64(r.queued)).Str("reason", r.reason).
		Int64("read", int64(r.read)).Int64("placed", r.placed.Load()).Int64("connected", r.connected.Load()).Int64("sent", r.sent.Load()).
		Int("waiting", r.waiting).Int("running", r.running).
		Str("sends", strings.Join(r.sends, "; ")).Int64("first", int64(r.first)).Int64("pause", int64(r.pause)).
		Int("events", r.events).Int64("total", int64(total)).Int("status", r.status).Str("outcome", name)
	if err != nil {
		e = e.Str("error", err.Text).Int64("retry", int64(err.Retry))
	}
	e.Msg("request")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the parts of a prompt for a log line: the first ones and the last.
func partNames(parts []blame.Part) string {
	var b strings.Builder
	for i, p := range parts {
		if i >= maxLoggedParts-1 && i < len(parts)-1 {
			continue
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

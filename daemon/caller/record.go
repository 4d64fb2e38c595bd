package caller

import (
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/timeline"
)

// note records a step of a request in the time line.
func (g *Gate) note(q *request, kind timeline.Kind, u decide.UpstreamID, text string) {
	g.Events.Add(timeline.Event{Kind: kind, Request: q.id, Workspace: decide.WorkspaceID(q.workspace.Name), Upstream: u, Text: text})
}

// endings are the events of faults that have one of their own; all others are refusals.
var endings = map[fault.Kind]timeline.Kind{
	fault.Canceled:    timeline.Canceled,
	fault.Expired:     timeline.Expired,
	fault.Quarantined: timeline.Quarantined,
	fault.Duplicate:   timeline.Taken,
}

// conclude records how an admitted request ended: in the time line, and as one log
// line. Log lines of whole answers are of level debug, so that a busy VM does not
// write one a request.
func (g *Gate) conclude(q *request, e *fault.Error) {
	took := g.Clock.Now() - q.arrived
	if e == nil {
		g.Log.Debug().Str("request", string(q.id)).Str("workspace", q.workspace.Name).Str("kind", q.kind.Name).
			Str("upstream", string(q.upstream)).Int64("took", int64(took)).Msg("request served")
		return
	}
	kind, ok := endings[e.Kind]
	if !ok {
		kind = timeline.Refused
	}
	g.note(q, kind, "", describe(e))
	g.Log.Info().Str("request", string(q.id)).Str("workspace", q.workspace.Name).Str("kind", q.kind.Name).
		Str("upstream", string(q.upstream)).Int64("took", int64(took)).
		Str("error", string(e.Kind)).Str("ran", string(e.Ran)).Msg("request not served")
}

// describe is what the time line says of a fault. The text of a malformed request may
// come from the engine and quote the prompt, which must stay out of it.
func describe(e *fault.Error) string {
	if e.Kind == fault.Malformed {
		return string(e.Kind)
	}
	return e.Error()
}

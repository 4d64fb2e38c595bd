package caller

import (
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/timeline"
)

// recordEvent adds a step of a request to the timeline.
func (g *Gate) recordEvent(q *request, kind timeline.Kind, u decide.UpstreamID, text string) {
	g.Events.Add(timeline.Event{Kind: kind, Request: q.id, Workspace: decide.WorkspaceID(q.workspace.Name), Upstream: u, Text: text})
}

// eventKinds maps fault kinds to their timeline events. All other faults are recorded as refusals.
var eventKinds = map[fault.Kind]timeline.Kind{
	fault.Canceled:    timeline.Canceled,
	fault.Expired:     timeline.Expired,
	fault.Quarantined: timeline.Quarantined,
	fault.Duplicate:   timeline.Taken,
}

// recordOutcome records how an admitted request ended, in the timeline and as one log line.
// Successful requests are logged at debug level, so that a busy VM does not write a line per
// request.
func (g *Gate) recordOutcome(q *request, e *fault.Error) {
	took := g.Clock.Now() - q.arrived
	if e == nil {
		g.Log.Debug().Str("request", string(q.id)).Str("workspace", q.workspace.Name).Str("kind", q.kind.Name).
			Str("upstream", string(q.upstream)).Int64("took", int64(took)).Msg("request served")
		return
	}
	kind, ok := eventKinds[e.Kind]
	if !ok {
		kind = timeline.Refused
	}
	g.recordEvent(q, kind, "", timelineText(e))
	g.Log.Info().Str("request", string(q.id)).Str("workspace", q.workspace.Name).Str("kind", q.kind.Name).
		Str("upstream", string(q.upstream)).Int64("took", int64(took)).
		Str("error", string(e.Kind)).Str("ran", string(e.Ran)).Msg("request failed")
}

// timelineText returns the timeline's text for a fault. The text of a malformed request may come
// from the engine and quote the prompt, which must not be recorded.
func timelineText(e *fault.Error) string {
	if e.Kind == fault.Malformed {
		return string(e.Kind)
	}
	return e.Error()
}

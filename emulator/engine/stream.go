package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/emulator/completion"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// streamWriter writes one request's events to one connection.
type streamWriter struct {
	engine       *Engine
	req          *batch.Request
	w            http.ResponseWriter
	flush        func() error
	disconnected <-chan struct{}
	buf          []byte
	// next is the number of the next event to send, sent the number of events sent on this
	// connection, without duplicates.
	next, sent int
}

// streamState is a copy of the state that a streamWriter needs, taken under the engine's lock.
type streamState struct {
	events         []clock.Milli
	ended          bool
	faults         faults
	other          completion.Source
	changed        chan struct{}
	controlChanged chan struct{}
}

// serveStream sends the events from number next to the end mark, then detaches the reader. It aborts
// the connection if the stream is not complete, unless the stream was truncated cleanly.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, q *batch.Request, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", string(q.ID()))
	w.WriteHeader(http.StatusOK)
	s := &streamWriter{
		engine:       e,
		req:          q,
		w:            w,
		flush:        http.NewResponseController(w).Flush,
		disconnected: r.Context().Done(),
		next:         next,
	}
	_ = s.flush()
	complete, clean := s.run()
	e.detach(q, complete)
	if !complete && !clean {
		panic(http.ErrAbortHandler)
	}
}

// detach removes a reader from a request. The argument complete is set if the reader received the end
// mark.
func (e *Engine) detach(q *batch.Request, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openStreams--
	q.Readers--
	q.LastClosed = e.clock.Now()
	q.Delivered = q.Delivered || complete
	if complete && q.Ended {
		e.batch.Release(q.ID())
		e.wake()
	}
}

// run sends events until the stream ends. It reports whether the end mark was sent, and if not,
// whether the response must be ended normally instead of aborted.
func (s *streamWriter) run() (complete, clean bool) {
	for {
		v := s.state()
		sent, truncated := s.writeAvailable(v)
		switch {
		case truncated:
			return false, v.faults.clean
		case !sent:
			return false, false
		case v.faults.stall:
			if !s.wait(v.controlChanged, v.controlChanged) {
				return false, false
			}
		case v.ended && s.next >= len(v.events):
			return s.writeDone(), false
		case !s.wait(v.changed, v.controlChanged):
			return false, false
		}
	}
}

func (s *streamWriter) state() streamState {
	e, q := s.engine, s.req
	e.mu.Lock()
	defer e.mu.Unlock()
	v := streamState{events: q.Events, ended: q.Ended, changed: q.Changed, controlChanged: e.controlChanged}
	if strings.Contains(q.Prompt, e.control.Match) {
		c := &e.control
		v.faults = faults{c.Stall, c.Truncate, c.CleanEnd, c.Cross, c.FromEvent, c.Duplicate, c.SendDelay}
	}
	if v.faults.cross {
		v.other = e.otherSource(q)
	}
	return v
}

// otherSource returns the ID and seed of another request, or made-up ones if there is none.
func (e *Engine) otherSource(q *batch.Request) completion.Source {
	if o := e.batch.AnyOther(q); o != nil {
		return completion.Source{ID: o.ID(), Seed: o.Seed}
	}
	return completion.Source{ID: "other-" + q.ID(), Seed: q.Seed + 1}
}

// writeAvailable sends the events that have been produced. It returns sent=false if the reader has
// disconnected or the engine is closed, and truncated=true if the stream must be truncated here.
func (s *streamWriter) writeAvailable(v streamState) (sent, truncated bool) {
	if v.faults.stall {
		return true, false
	}
	for ; s.next < len(v.events); s.next++ {
		if v.faults.truncate > 0 && s.sent >= v.faults.truncate {
			// The events before the truncation must arrive. If several were available at once, they
			// are still in the buffer.
			return s.flush() == nil, true
		}
		if !s.waitUntil(v.events[s.next] + v.faults.late) {
			return false, false
		}
		if !s.writeEvent(v) {
			return false, false
		}
	}
	return s.flush() == nil, v.faults.truncate > 0 && s.sent >= v.faults.truncate
}

// writeEvent writes event number next, several times if events are duplicated. It returns false if
// the connection is broken.
func (s *streamWriter) writeEvent(v streamState) bool {
	source := completion.Source{ID: s.req.ID(), Seed: s.req.Seed}
	copies := 1
	if s.next >= v.faults.from {
		copies += v.faults.duplicate
		if v.faults.cross {
			source = v.other
		}
	}
	b := s.buf[:0]
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(s.next), 10)
	b = append(b, "\ndata: "...)
	b = completion.AppendChunk(b, s.req, s.next, source)
	b = append(b, "\n\n"...)
	s.buf = b
	s.sent++
	for range copies {
		if _, err := s.w.Write(b); err != nil {
			return false
		}
	}
	return true
}

// writeDone sends the end mark of a complete answer. It returns false if the request was canceled
// before its last event or the connection is broken.
func (s *streamWriter) writeDone() bool {
	if s.next <= s.req.Limit {
		return false // canceled before its last event
	}
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return false
	}
	return s.flush() == nil
}

// wait waits for either channel. It returns false if the reader disconnects or the engine is closed.
func (s *streamWriter) wait(a, b <-chan struct{}) bool {
	select {
	case <-a:
		return true
	case <-b:
		return true
	case <-s.disconnected:
		return false
	case <-s.engine.done:
		return false
	}
}

// waitUntil flushes the events written so far and waits until a time. It returns false if the reader
// disconnects or the engine is closed.
func (s *streamWriter) waitUntil(at clock.Milli) bool {
	remaining := at - s.engine.clock.Now()
	if remaining <= 0 {
		return true
	}
	_ = s.flush()
	t := time.NewTimer(remaining.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.disconnected:
		return false
	case <-s.engine.done:
		return false
	}
}

// getStream resumes a stream after the event in Last-Event-ID, or from the start without the header.
func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	next := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := parseNumber(last)
		if err != nil {
			writeError(w, http.StatusBadRequest, "malformed Last-Event-ID")
			return
		}
		next = n + 1
	}
	e.mu.Lock()
	q := e.batch.Find(decide.RequestID(r.PathValue("id")))
	ok := q != nil && next <= q.Limit+1
	if ok {
		q.Readers++
		e.openStreams++
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.serveStream(w, r, q, next)
}

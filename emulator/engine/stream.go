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

// sender writes one request's events to one connection.
type sender struct {
	engine *Engine
	req    *batch.Request
	w      http.ResponseWriter
	flush  func() error
	gone   <-chan struct{}
	buf    []byte
	// next is the number of the event to send, sent counts those of this connection.
	next, sent int
}

// view is what a sender needs to know of the engine at one moment.
type view struct {
	events    []clock.Milli
	ended     bool
	faults    faults
	other     completion.Source
	changed   chan struct{}
	commanded chan struct{}
}

// stream sends events from number next on until the end mark, and counts the
// reader out. It aborts the connection where the stream is not whole.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q *batch.Request, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", string(q.ID()))
	w.WriteHeader(http.StatusOK)
	s := &sender{
		engine: e,
		req:    q,
		w:      w,
		flush:  http.NewResponseController(w).Flush,
		gone:   r.Context().Done(),
		next:   next,
	}
	_ = s.flush()
	whole, clean := s.run()
	e.leave(q, whole)
	if !whole && !clean {
		panic(http.ErrAbortHandler)
	}
}

// leave counts a reader out.
func (e *Engine) leave(q *batch.Request, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams--
	q.Readers--
	q.LastClosed = e.clock.Now()
	q.Delivered = q.Delivered || whole
	if whole && q.Ended {
		e.batch.Release(q.ID())
		e.kick()
	}
}

// run returns whether the reader got the end mark, and if not, whether the
// answer is to end as if it were complete for HTTP.
func (s *sender) run() (whole, clean bool) {
	for {
		v := s.view()
		sent, cut := s.batch(v)
		switch {
		case cut:
			return false, v.faults.clean
		case !sent:
			return false, false
		case v.faults.stall:
			if !s.wait(v.commanded, v.commanded) {
				return false, false
			}
		case v.ended && s.next >= len(v.events):
			return s.finish(), false
		case !s.wait(v.changed, v.commanded):
			return false, false
		}
	}
}

func (s *sender) view() view {
	e, q := s.engine, s.req
	e.mu.Lock()
	defer e.mu.Unlock()
	v := view{events: q.Events, ended: q.Ended, changed: q.Changed, commanded: e.commanded}
	if strings.Contains(q.Prompt, e.control.Match) {
		c := &e.control
		v.faults = faults{c.Stall, c.Truncate, c.CleanEnd, c.Cross, c.FromEvent, c.Duplicate, c.SendDelay}
	}
	if v.faults.cross {
		v.other = e.other(q)
	}
	return v
}

// other is the voice of some other request, or of one that never was.
func (e *Engine) other(q *batch.Request) completion.Source {
	if o := e.batch.AnyOther(q); o != nil {
		return completion.Source{ID: o.ID(), Seed: o.Seed}
	}
	return completion.Source{ID: "other-" + q.ID(), Seed: q.Seed + 1}
}

// batch sends what is there. It returns false if the reader left, and cut if the stream is to be truncated here.
func (s *sender) batch(v view) (sent, cut bool) {
	if v.faults.stall {
		return true, false
	}
	for ; s.next < len(v.events); s.next++ {
		if v.faults.truncate > 0 && s.sent >= v.faults.truncate {
			// What was written must arrive before the cut: where several events are
			// ready at once it still lies in the buffer.
			return s.flush() == nil, true
		}
		if !s.hold(v.events[s.next] + v.faults.late) {
			return false, false
		}
		if !s.event(v) {
			return false, false
		}
	}
	return s.flush() == nil, v.faults.truncate > 0 && s.sent >= v.faults.truncate
}

// event writes event number next, more than once if events are duplicated.
func (s *sender) event(v view) bool {
	who := completion.Source{ID: s.req.ID(), Seed: s.req.Seed}
	times := 1
	if s.next >= v.faults.from {
		times += v.faults.duplicate
		if v.faults.cross {
			who = v.other
		}
	}
	b := s.buf[:0]
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(s.next), 10)
	b = append(b, "\ndata: "...)
	b = completion.AppendChunk(b, s.req, s.next, who)
	b = append(b, "\n\n"...)
	s.buf = b
	s.sent++
	for range times {
		if _, err := s.w.Write(b); err != nil {
			return false
		}
	}
	return true
}

// finish sends the end mark of a whole answer.
func (s *sender) finish() bool {
	if s.next <= s.req.Limit {
		return false // canceled
	}
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return false
	}
	return s.flush() == nil
}

// wait returns false if the reader left or the engine closes.
func (s *sender) wait(a, b <-chan struct{}) bool {
	select {
	case <-a:
		return true
	case <-b:
		return true
	case <-s.gone:
		return false
	case <-s.engine.closing:
		return false
	}
}

// hold waits for an instant.
func (s *sender) hold(at clock.Milli) bool {
	span := at - s.engine.clock.Now()
	if span <= 0 {
		return true
	}
	_ = s.flush()
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.gone:
		return false
	case <-s.engine.closing:
		return false
	}
}

// getStream resumes a stream after the event that Last-Event-ID names.
func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	next := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := number(last)
		if err != nil {
			refuse(w, http.StatusBadRequest, "malformed Last-Event-ID")
			return
		}
		next = n + 1
	}
	e.mu.Lock()
	q := e.batch.Find(decide.RequestID(r.PathValue("id")))
	ok := q != nil && next <= q.Limit+1
	if ok {
		q.Readers++
		e.streams++
	}
	e.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, "no such stream")
		return
	}
	e.stream(w, r, q, next)
}

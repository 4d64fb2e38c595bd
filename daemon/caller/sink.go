package caller

import (
	"errors"
	"net/http"
	"time"

	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
)

// errClientWrite marks a failed write to the client, which disconnected or stopped reading.
var errClientWrite = errors.New("write to client failed")

// writeTimeout bounds each write to a client. A client that stopped reading would otherwise occupy
// a slot and memory of an engine.
const writeTimeout = 15 * time.Second

// finalWriteTimeout is the time for writing the remaining response after the request's deadline.
const finalWriteTimeout = 2 * time.Second

// setWriteDeadline bounds the next write to a client. Without it, a client that requests a large
// response and does not read it would hold its grant past the deadline, and a graceful shutdown
// would wait for it forever.
func (g *Gate) setWriteDeadline(rc *http.ResponseController, q *request) {
	left := max(q.deadline-g.Clock.Now(), 0).Duration() + finalWriteTimeout
	_ = rc.SetWriteDeadline(time.Now().Add(min(writeTimeout, left)))
}

// sink forwards the chunks of a response to the client.
type sink interface {
	// reset discards what an earlier attempt left, before the chunks of the next attempt and at the end of the request.
	reset()
	writeChunk(c engine.Chunk) error
	// finish ends a complete response.
	finish() error
	// fail ends a response that has already started, by sending the error.
	fail(e *fault.Error)
	started() bool
	// responseBody returns the body to store for repeats of the key, nil for streams.
	responseBody() []byte
}

func (g *Gate) newSink(w http.ResponseWriter, q *request) sink {
	if q.stream {
		return &streamSink{gate: g, w: w, rc: http.NewResponseController(w), q: q}
	}
	return &bufferedSink{gate: g, w: w, q: q, size: collected{all: &g.collected}}
}

// streamSink writes server-sent events. It buffers at most one chunk.
type streamSink struct {
	gate        *Gate
	w           http.ResponseWriter
	rc          *http.ResponseController
	q           *request
	headersSent bool
	buf         []byte
}

// reset has nothing to discard: after the first byte was written, there is no further attempt.
func (s *streamSink) reset()               {}
func (s *streamSink) started() bool        { return s.headersSent }
func (s *streamSink) responseBody() []byte { return nil }

func (s *streamSink) writeChunk(c engine.Chunk) error { return s.writeEvent(c.Data) }

func (s *streamSink) finish() error { return s.writeEvent("[DONE]") }

func (s *streamSink) fail(e *fault.Error) {
	// No [DONE] event follows, so a client that waits for it sees that the response is incomplete.
	_ = s.writeEvent(string(errorJSON(e, s.q.id)))
}

func (s *streamSink) writeEvent(data string) error {
	if !s.headersSent {
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(headerRequest, string(s.q.id))
		s.gate.setConnectionHeader(h)
		s.w.WriteHeader(http.StatusOK)
		s.headersSent = true
	}
	s.gate.setWriteDeadline(s.rc, s.q)
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.w.Write(s.buf); err != nil {
		return errors.Join(errClientWrite, err)
	}
	if err := s.rc.Flush(); err != nil {
		return errors.Join(errClientWrite, err)
	}
	return nil
}

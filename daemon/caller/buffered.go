package caller

import (
	"errors"
	"net/http"

	"snipeshift.example/daemon/openai"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
)

// bufferedSink collects a stream into one response for a client that did not ask for a stream.
type bufferedSink struct {
	gate *Gate
	w    http.ResponseWriter
	q    *request
	// received is the part of the response that has arrived in this attempt.
	received openai.Collector
	// size counts what received holds.
	size        collected
	body        []byte
	headersSent bool
}

// reset discards the partial response of a failed upstream. The next upstream starts again at the
// first token, and the client would otherwise get the beginning twice in a response that appears
// complete.
func (s *bufferedSink) reset() {
	s.received = openai.Collector{}
	s.size.release()
}

func (s *bufferedSink) started() bool        { return s.headersSent }
func (s *bufferedSink) responseBody() []byte { return s.body }

func (s *bufferedSink) writeChunk(c engine.Chunk) error {
	if err := s.size.add(len(c.Data)); err != nil {
		return err
	}
	return engine.ErrBroken.Wrap(s.received.Add(c.Data))
}

func (s *bufferedSink) finish() error {
	out, err := s.received.Response(s.q.chat)
	if err != nil {
		return engine.ErrBroken.Wrap(err)
	}
	s.body = out
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(s.q.id))
	s.gate.setConnectionHeader(h)
	s.gate.setWriteDeadline(http.NewResponseController(s.w), s.q)
	s.w.WriteHeader(http.StatusOK)
	s.headersSent = true
	if _, err := s.w.Write(out); err != nil {
		return errors.Join(errClientWrite, err)
	}
	return nil
}

// fail does nothing: the response is written at once, and only if it is complete.
func (s *bufferedSink) fail(*fault.Error) {}

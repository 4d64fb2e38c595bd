package caller

import (
	"errors"
	"net/http"

	"snipeshift.example/daemon/openai"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
)

// wholeSink collects a stream into one answer for a caller that asked for no stream.
type wholeSink struct {
	gate *Gate
	w    http.ResponseWriter
	q    *request
	// got is what came of the answer so far; it is made anew for each attempt.
	got   openai.Collector
	sent  []byte
	wrote bool
}

// begin drops the part of an answer that an upstream left when it failed. The
// next one starts from the first token; with the part kept, the caller would read
// the beginning twice in an answer that says it is whole.
func (s *wholeSink) begin() { s.got = openai.Collector{} }

func (s *wholeSink) started() bool  { return s.wrote }
func (s *wholeSink) answer() []byte { return s.sent }

func (s *wholeSink) chunk(c engine.Chunk) error {
	return engine.ErrBroken.Wrap(s.got.Add(c.Data))
}

func (s *wholeSink) done() error {
	out, err := s.got.Response(s.q.chat)
	if err != nil {
		return engine.ErrBroken.Wrap(err)
	}
	s.sent = out
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(s.q.id))
	s.gate.finishHeaders(h)
	s.gate.limitWrite(http.NewResponseController(s.w), s.q)
	s.w.WriteHeader(http.StatusOK)
	s.wrote = true
	if _, err := s.w.Write(out); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// fail has nothing to add: the answer is written in one piece, and only when it is whole.
func (s *wholeSink) fail(*fault.Error) {}

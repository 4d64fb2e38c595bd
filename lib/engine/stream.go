package engine

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"snipeshift.example/lib/decide"
)

// endMark is the last event of a whole answer.
const endMark = "[DONE]"

// eventLimit is the largest event in bytes.
const eventLimit = 1 << 20

// Stream is one generation. It yields only chunks that are its own, in order, once.
type Stream struct {
	request decide.RequestID
	body    io.ReadCloser
	ctx     context.Context //nolint:containedctx // the life of one stream
	cancel  context.CancelCauseFunc
	dog     *watchdog
	idle    time.Duration

	// next is the sequence number that the next event must carry.
	next uint64
	// last is the data of the newest event, to tell a repeat from an event without a number.
	last string
	// finished is set once a chunk said why the generation ended.
	finished bool
}

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the JSON text as the engine sent it.
	Data string
	// Tokens is 1 for a chunk with output of any sort, 0 for others.
	Tokens decide.Tokens
	// Usage is set on the last chunk.
	Usage *Usage
	// Choices counts the choices of the chunk; a chunk that only reports usage has none.
	Choices int
}

// Usage is what the engine counted.
type Usage struct {
	Prompt  decide.Tokens `json:"prompt_tokens"`
	Output  decide.Tokens `json:"completion_tokens"`
	Details struct {
		Cached decide.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// head is the part of a chunk that is checked.
type head struct {
	ID      decide.RequestID `json:"id"`
	Usage   *Usage           `json:"usage"`
	Choices []struct {
		Finish string `json:"finish_reason"`
		Text   string `json:"text"`
		Delta  struct {
			Content   string            `json:"content"`
			Refusal   string            `json:"refusal"`
			Reasoning string            `json:"reasoning_content"`
			Tools     []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// Each calls f with every chunk until the end mark, which returns nil.
//
// An answer can come crossed with another's, repeated or cut: a connection that
// was mixed up upstream, a resumed stream, an engine that died. The caller would
// get somebody else's text or half a notice that reads like a whole one. So each
// chunk must carry this request's id and the next sequence number, and only an
// end mark after a finish reason makes the answer whole.
func (s *Stream) Each(f func(Chunk) error) error {
	defer s.Close()
	for e, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: eventLimit}) {
		if err != nil {
			return silentOr(s.ctx, ErrBroken.Wrap(err))
		}
		s.dog.feed(s.idle)
		if e.Data == endMark {
			return s.end()
		}
		c, skip, err := s.check(e)
		if err != nil {
			return err
		}
		if skip {
			continue
		}
		// What the reader of the answer takes is not the engine's silence.
		s.dog.pause()
		if err := f(c); err != nil {
			return err
		}
		s.dog.feed(s.idle)
	}
	return silentOr(s.ctx, ErrBroken.New("stream ended without its end mark after %d events", s.next))
}

// Close ends the stream; the engine sees the connection cut unless the answer was whole.
func (s *Stream) Close() {
	s.dog.stop()
	s.body.Close()
	s.cancel(nil)
}

func (s *Stream) end() error {
	if !s.finished {
		return ErrBroken.New("end mark without a finish reason")
	}
	return nil
}

// check refuses a chunk of another request or out of order; skip is set for one seen before.
func (s *Stream) check(e sse.Event) (c Chunk, skip bool, err error) {
	n, err := strconv.ParseUint(e.LastEventID, 10, 64)
	if err != nil {
		return c, false, ErrBroken.New("event without a sequence number")
	}
	var h head
	if err := json.Unmarshal([]byte(e.Data), &h); err != nil {
		return c, false, ErrBroken.Wrap(err)
	}
	if h.ID != s.request {
		return c, false, ErrMismatch.New("chunk of %q in the stream of %q", h.ID, s.request)
	}
	if n+1 == s.next && e.Data != s.last {
		return c, false, ErrMismatch.New("event %d came twice with different data", n)
	}
	if n < s.next {
		return c, true, nil
	}
	if n > s.next {
		return c, false, ErrMismatch.New("event %d where %d was due", n, s.next)
	}
	s.next++
	s.last = e.Data
	c = Chunk{Data: e.Data, Usage: h.Usage, Choices: len(h.Choices)}
	for _, x := range h.Choices {
		if x.Finish != "" {
			s.finished = true
		}
		d := x.Delta
		if x.Text != "" || d.Content != "" || d.Refusal != "" || d.Reasoning != "" || len(d.Tools) > 0 {
			c.Tokens = 1
		}
	}
	return c, false, nil
}

// watchdog calls a function once when it was not fed in time.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
}

func newWatchdog(d time.Duration, f func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(d, f)}
}

func (w *watchdog) feed(d time.Duration) {
	w.mu.Lock()
	w.timer.Reset(d)
	w.mu.Unlock()
}

func (w *watchdog) pause() { w.stop() }

func (w *watchdog) stop() {
	w.mu.Lock()
	w.timer.Stop()
	w.mu.Unlock()
}

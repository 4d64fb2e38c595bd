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

// endMark is the data of the last event of a complete response.
const endMark = "[DONE]"

// maxEventBytes is the size limit of an event in bytes.
const maxEventBytes = 128 << 10

// extraEvents is the number of events that a stream may have beside those of its tokens: a role, a finish reason, the usage.
const extraEvents = 64

// eventsPerToken allows for each event of a stream to be repeated once.
const eventsPerToken = 2

// maxEvents returns the number of events that a stream of up to output tokens may have; zero for no bound.
func maxEvents(output decide.Tokens) uint64 {
	if output <= 0 {
		return 0
	}
	return eventsPerToken*uint64(output) + extraEvents
}

// Stream is the response of one generation. It yields only chunks that belong to the request, in order
// and each once.
type Stream struct {
	request  decide.RequestID
	body     io.ReadCloser
	ctx      context.Context //nolint:containedctx // the lifetime of one stream
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	idle     time.Duration

	// events counts the events so far, most is the number that there may be; zero for no bound.
	events, most uint64
	// next is the sequence number that the next event must carry.
	next uint64
	// last is the data of the newest event. A repetition of that event must have the same data.
	last string
	// finished is set once a chunk has a finish reason.
	finished bool
}

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the JSON text that the engine sent.
	Data string
	// Tokens is 1 for a chunk with output of any kind, and 0 otherwise.
	Tokens decide.Tokens
	// Usage is set on the last chunk.
	Usage *Usage
	// Choices is the number of choices in the chunk; a chunk that only reports usage has none.
	Choices int
}

// Usage is the engine's token count of the request.
type Usage struct {
	Prompt  decide.Tokens `json:"prompt_tokens"`
	Output  decide.Tokens `json:"completion_tokens"`
	Details struct {
		Cached decide.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunkHead is the part of a chunk that is checked.
type chunkHead struct {
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

// Each calls f with every chunk until the end mark, and then returns nil.
//
// A response can be mixed up with another one, repeated or truncated: the upstream confuses
// connections, a stream is resumed, or an engine crashes. The client would then receive the text of
// another request, or the start of a text that looks complete. So each chunk must have this
// request's id and the next sequence number, and the response is complete only with an end mark after
// a finish reason.
func (s *Stream) Each(f func(Chunk) error) error {
	defer s.Close()
	for e, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return idleCauseOr(s.ctx, ErrBroken.Wrap(err))
		}
		s.watchdog.reset(s.idle)
		if s.events++; s.most > 0 && s.events > s.most {
			return ErrBroken.New("more than %d events", s.most)
		}
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
		// The time that f takes, for example to write to a slow client, must not count as a pause of
		// the engine.
		s.watchdog.pause()
		if err := f(c); err != nil {
			return err
		}
		s.watchdog.reset(s.idle)
	}
	return idleCauseOr(s.ctx, ErrBroken.New("stream ended without its end mark after %d events", s.next))
}

// Close ends the stream. Unless the response was complete, this cuts the connection to the engine.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.body.Close()
	s.cancel(nil)
}

func (s *Stream) end() error {
	if !s.finished {
		return ErrBroken.New("end mark without a finish reason")
	}
	return nil
}

// check decodes an event. It returns an error for a chunk of another request or out of order; skip is
// true for an event that was received before.
func (s *Stream) check(e sse.Event) (c Chunk, skip bool, err error) {
	n, err := strconv.ParseUint(e.LastEventID, 10, 64)
	if err != nil {
		return c, false, ErrBroken.New("event without a sequence number")
	}
	var h chunkHead
	if err := json.Unmarshal([]byte(e.Data), &h); err != nil {
		return c, false, ErrBroken.Wrap(err)
	}
	if h.ID != s.request {
		return c, false, ErrMismatch.New("chunk of %q in the stream of %q", h.ID, s.request)
	}
	if n+1 == s.next && e.Data != s.last {
		return c, false, ErrMismatch.New("event %d received twice with different data", n)
	}
	if n < s.next {
		return c, true, nil
	}
	if n > s.next {
		return c, false, ErrMismatch.New("received event %d, expected event %d", n, s.next)
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

// watchdog calls a function when the time set at its creation or by its last reset has passed.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
}

func newWatchdog(d time.Duration, f func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(d, f)}
}

func (w *watchdog) reset(d time.Duration) {
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

package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"snipeshift.example/lib/decide/span"
)

// Limits of streams.
const (
	// eventLimit is the size in bytes of the largest event that is accepted; events of engines have a
	// few hundred bytes.
	eventLimit = 64 << 10
	// tokenBytes is the largest part of a stream in bytes for each token of the response.
	tokenBytes = 1 << 10
	// extraEvents is the number of events that a stream may have beside one for each token: comments, or its end.
	extraEvents = 256
	// undeclaredTokens is the length of the longest response to a request that declares none, maxTokens that to any request.
	undeclaredTokens = 16 << 10
	maxTokens        = 1 << 20
)

// streamLimit bounds a whole stream. One that goes on beyond it does not belong to a response.
type streamLimit struct {
	events int
	bytes  int64
}

// limitOfStream returns the limit of a stream that responds to the request.
func (x *request) limitOfStream() streamLimit {
	tokens := x.head.Output
	if tokens <= 0 {
		tokens = undeclaredTokens
	}
	tokens = min(tokens, maxTokens)
	return streamLimit{events: int(tokens) + extraEvents, bytes: int64(tokens)*tokenBytes + eventLimit}
}

// events reads complete events from a text/event-stream.
type events struct {
	reader *bufio.Reader
	event  bytes.Buffer
	// id is the id of the last complete event that had one.
	id string
	// left is what the stream may still hold.
	left streamLimit
}

func newEvents(r io.Reader, l streamLimit) *events {
	return &events{reader: bufio.NewReaderSize(r, 4<<10), left: l}
}

// next returns the bytes of the next complete event, including the empty line at its end.
// The error is io.EOF only if the stream ends after a complete event.
func (e *events) next() ([]byte, error) {
	e.event.Reset()
	id := e.id
	for {
		line, err := e.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		e.event.Write(line)
		if err != nil {
			if errors.Is(err, io.EOF) && e.event.Len() > 0 {
				return nil, errTruncated
			}
			return nil, err
		}
		if e.event.Len() > eventLimit {
			return nil, errOversize
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && len(line) > 0 {
			e.id = id
			return e.event.Bytes(), e.count()
		}
	}
}

// count counts the present event against the limit of the stream.
func (e *events) count() error {
	e.left.events--
	e.left.bytes -= int64(e.event.Len())
	if e.left.events < 0 || e.left.bytes < 0 {
		return errOversize
	}
	return nil
}

// passStream passes the events of a response on as they arrive. Only complete events are
// passed on, so that another engine can continue after the last one.
func (x *request) passStream(ctx context.Context, resp *http.Response, grant span.Grant, w *watchdog) result {
	es := newEvents(resp.Body, x.limitOfStream())
	first := true
	for {
		event, err := es.next()
		if errors.Is(err, io.EOF) && first && unframed(resp) {
			err = errTruncated // an upstream that crashes ends the connection as well
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(resp, first)
		}
		if err != nil {
			return x.classifyError(ctx, err, true)
		}
		w.reset(x.pauseLimits())
		if first {
			first = false
			x.gate.Placer.FirstByte(grant.Request)
		}
		if !x.started {
			header := resp.Header.Clone()
			header.Del("Content-Length")
			x.startResponse(resp.StatusCode, header)
		}
		if err := x.passEvent(event); err != nil {
			return result{verdict: mayHaveRun, outcome: span.Left, err: err}
		}
		x.lastEventID = es.id
	}
}

// unframed reports whether only the end of the connection ends a response.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// passEvent writes one event to the client.
func (x *request) passEvent(event []byte) error {
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.record.addEvent(x.gate.Clock.Now())
	return http.NewResponseController(x.w).Flush()
}

// endStream returns the result of a stream that ended after a complete event. A stream without events
// still gets its response header.
func (x *request) endStream(resp *http.Response, empty bool) result {
	if empty && !x.started {
		header := resp.Header.Clone()
		x.startResponse(resp.StatusCode, header)
	}
	return result{verdict: answered, outcome: span.Done}
}

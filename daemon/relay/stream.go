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

// eventLimit is the largest event that is taken; engines send some hundred bytes.
const eventLimit = 1 << 20

// events reads whole events of a text/event-stream.
type events struct {
	reader *bufio.Reader
	event  bytes.Buffer
	// id is that of the last whole event that had one.
	id string
}

func newEvents(r io.Reader) *events { return &events{reader: bufio.NewReaderSize(r, 4<<10)} }

// next returns the bytes of the next whole event, up to and with the empty line.
// Its error is io.EOF only at the end of the stream after a whole event.
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
				return nil, errTorn
			}
			return nil, err
		}
		if e.event.Len() > eventLimit {
			return nil, errTorn
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && len(line) > 0 {
			e.id = id
			return e.event.Bytes(), nil
		}
	}
}

// stream passes the events of an answer on as they come. Only whole events are
// passed on, so that another engine can continue after the last one.
func (x *flight) stream(ctx context.Context, resp *http.Response, grant span.Grant, w *watchdog) result {
	es := newEvents(resp.Body)
	first := true
	for {
		event, err := es.next()
		if errors.Is(err, io.EOF) {
			return x.complete(resp, first)
		}
		if err != nil {
			return x.broken(ctx, err, true)
		}
		w.touch(x.nextLimits())
		if first {
			first = false
			x.gate.Placer.FirstByte(grant.Request)
		}
		if !x.begun {
			header := resp.Header.Clone()
			header.Del("Content-Length")
			x.start(resp.StatusCode, header)
		}
		if err := x.pass(event); err != nil {
			return result{verdict: ran, outcome: span.Left, err: err}
		}
		x.last = es.id
	}
}

// pass writes one event to the caller.
func (x *flight) pass(event []byte) error {
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.story.event(x.gate.Clock.Now())
	return http.NewResponseController(x.w).Flush()
}

// complete judges a stream that ended after a whole event.
func (x *flight) complete(resp *http.Response, empty bool) result {
	if empty && !x.begun {
		header := resp.Header.Clone()
		x.start(resp.StatusCode, header)
	}
	return result{verdict: answered, outcome: span.Done}
}

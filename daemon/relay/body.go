package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"snipeshift.example/lib/fault"
)

// defaultBodyLimit is the largest request body in bytes if the document sets no limit.
const defaultBodyLimit = 4 << 20

// maxBody returns the size of the largest request body that is accepted, in bytes.
func (x *request) maxBody() int64 {
	if t := x.gate.Registry.View().Table; t != nil && t.Document().Limits.Body > 0 {
		return int64(t.Document().Limits.Body)
	}
	return defaultBodyLimit
}

// reserveBody counts the request body against the bound on all bodies that the process buffers
// at a time, and refuses the request if the bound is exceeded. A body of undeclared length counts
// as one of the largest size, so that buffered bodies cannot fill the process's memory.
func (x *request) reserveBody() (release func(), err *fault.Error) {
	size := x.r.ContentLength
	if size < 0 || size > x.maxBody() {
		size = x.maxBody()
	}
	if !x.reserveBytes(size) {
		return nil, fault.New(fault.Overloaded, "%d bytes of requests and responses are held here", x.gate.bodies.Load()).WithRetry(notReadyRetry)
	}
	return func() { x.gate.bodies.Add(-x.buffered) }, nil
}

// reserveBytes counts bytes that are buffered until the request ends. It returns false if there is no room for them.
func (x *request) reserveBytes(size int64) bool {
	g := x.gate
	if g.bodies.Add(size) > g.bounds.BodyBytes {
		g.bodies.Add(-size)
		return false
	}
	x.buffered += size
	return true
}

// firstBuffer and bufferStep are the first size of the buffer of a response and the most by which it grows, in bytes.
const (
	firstBuffer = 4 << 10
	bufferStep  = 32 << 10
)

// buffer reads a response up to bufferLimit, as far as there is room for it beside all other bodies: clients that read slowly
// keep theirs for long. whole is false if there may be more to read.
func (x *request) buffer(r io.Reader) (body []byte, whole bool, err error) {
	for {
		if len(body) == cap(body) {
			step := min(max(len(body), firstBuffer), bufferStep)
			if len(body) >= bufferLimit || !x.reserveBytes(int64(step)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// writeGrace is the time after the deadline in which the rest of a response is still written.
const writeGrace = 2 * time.Second

// boundWrites sets a deadline for writing the response. A client that does not read it would keep its grant, and a stop of
// the VM would wait for it.
func (x *request) boundWrites() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.runtimeDeadline().Add(writeGrace)) // only connections in tests do not support deadlines
}

// endWritesWith makes writes to the client fail once ctx is done, until the function that it returns is called: a response that
// its upstream has not ended by then cannot become complete, however slowly the client reads.
func (x *request) endWritesWith(ctx context.Context) (end func() bool) {
	return context.AfterFunc(ctx, func() { _ = http.NewResponseController(x.w).SetWriteDeadline(time.Now()) })
}

// readBody buffers the whole request body. The request can then be sent again, and net/http can
// detect that the client closes its connection.
func (x *request) readBody() *fault.Error {
	limit := x.maxBody()
	control := http.NewResponseController(x.w)
	// Without a deadline, a client that sends its body very slowly would occupy buffer space.
	// Only connections in tests do not support deadlines.
	_ = control.SetReadDeadline(x.runtimeDeadline())
	endInterrupt := x.gate.stop.interrupt(func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	endInterrupt()
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.New(fault.Large, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && x.gate.stop.final.Err() != nil:
		return x.stopFault(false)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.Slow, "the body did not come whole within %d ms", x.deadline-x.arrived)
	case err != nil:
		return fault.New(fault.Canceled, "the body did not come whole: %v", err)
	}
	_ = control.SetReadDeadline(time.Time{}) // from here on net/http reads to detect a closed connection
	x.body = body
	return nil
}

// endWrites ends the deadline of boundWrites, which would hold for later responses on the connection too.
func (x *request) endWrites() {
	if x.started {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
}

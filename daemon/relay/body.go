package relay

import (
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
	g := x.gate
	if held := g.bodies.Add(size); held > g.bounds.BodyBytes {
		g.bodies.Add(-size)
		return nil, fault.New(fault.Overloaded, "%d bytes of requests are held here", held-size).WithRetry(notReadyRetry)
	}
	return func() { g.bodies.Add(-size) }, nil
}

// readBody buffers the whole request body. The request can then be sent again, and net/http can
// detect that the client closes its connection.
func (x *request) readBody() *fault.Error {
	limit := x.maxBody()
	control := http.NewResponseController(x.w)
	// Without a deadline, a client that sends its body very slowly would occupy buffer space.
	// Only connections in tests do not support deadlines.
	_ = control.SetReadDeadline(x.runtimeDeadline())
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.New(fault.Large, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.Slow, "the body did not come whole within %d ms", x.deadline-x.arrived)
	case err != nil:
		return fault.New(fault.Canceled, "the body did not come whole: %v", err)
	}
	_ = control.SetReadDeadline(time.Time{}) // from here on net/http reads to detect a closed connection
	x.body = body
	return nil
}

package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"snipeshift.example/lib/fault"
)

// bodyLimit is the largest body in bytes where the document sets no limit.
const bodyLimit = 4 << 20

// limit is the largest body that is taken, in bytes.
func (x *flight) limit() int64 {
	if t := x.gate.Registry.View().Table; t != nil && t.Document().Limits.Body > 0 {
		return int64(t.Document().Limits.Body)
	}
	return bodyLimit
}

// room makes sure that the body fits into what is held at once.
// A body whose length is not given counts as the largest: bodies held at once must not fill the process's memory.
func (x *flight) room() (release func(), err *fault.Error) {
	size := x.r.ContentLength
	if size < 0 || size > x.limit() {
		size = x.limit()
	}
	g := x.gate
	if held := g.bodies.Add(size); held > g.bounds.BodyBytes {
		g.bodies.Add(-size)
		return nil, fault.New(fault.Overloaded, "%d bytes of requests are held here", held-size).WithRetry(startRetry)
	}
	return func() { g.bodies.Add(-size) }, nil
}

// read takes the whole body, so that it can be sent again and the caller's
// leaving is noticed.
func (x *flight) read() *fault.Error {
	limit := x.limit()
	control := http.NewResponseController(x.w)
	// A caller that trickles its body would hold room for nothing. A connection without
	// deadlines is only found in tests.
	_ = control.SetReadDeadline(x.clockDeadline())
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
	_ = control.SetReadDeadline(time.Time{}) // from now on a read notices that the caller leaves
	x.body = body
	return nil
}

package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// Times after which refused callers are asked to come back.
const (
	// startRetry is for a VM that does not know enough yet or any more: another
	// VM takes the repeat, so it can come soon.
	startRetry clock.Milli = 200
	// busyRetry is for a service without room: some streams end within it.
	busyRetry clock.Milli = 500
)

// Causes of the end of a send.
var (
	errDeadline = errors.New("the time is over")
	errSilent   = errors.New("the upstream is silent")
)

// clockDeadline is the deadline as an instant of the runtime's clock.
func (x *flight) clockDeadline() time.Time {
	return time.Now().Add((x.deadline - x.gate.Clock.Now()).Duration())
}

// left is what remains until the final answer is due.
func (x *flight) left() clock.Milli { return x.deadline - x.gate.Clock.Now() }

// status is the HTTP status of a fault. A request that is kept off engines because it
// killed some is kept apart from one that is wrong in itself: it did not run this
// time, and nothing else about it is known.
func status(err *fault.Error) int {
	if err.Kind == fault.Quarantined {
		return http.StatusServiceUnavailable
	}
	return fault.Lookup(err.Kind).Status
}

// refuse answers with a fault.
func (x *flight) refuse(err *fault.Error) {
	if err.Kind == fault.Canceled {
		return
	}
	h := x.w.Header()
	x.gate.Codec.Refuse(h, x.head.ID, err.Retry)
	text := string(err.Kind) + ": " + err.Text + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status(err))
	_, _ = x.w.Write([]byte(text)) // a caller that went away has nobody to tell
	x.story.status = status(err)
}

// ended tells why a context is over.
func (x *flight) ended(ctx context.Context, sent bool) *fault.Error {
	if !errors.Is(context.Cause(ctx), errDeadline) && x.r.Context().Err() != nil {
		return fault.New(fault.Canceled, "the caller went away")
	}
	if sent {
		return fault.New(fault.Expired, "no whole answer within %d ms", x.deadline-x.arrived)
	}
	return fault.New(fault.Overloaded, "no place within %d ms", x.deadline-x.arrived).WithRetry(busyRetry)
}

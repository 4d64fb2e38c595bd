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

// Retry-After times of refusals.
const (
	// notReadyRetry is for a VM whose data is missing or out of date, or whose buffers are full.
	// Another VM serves the retry, so the time is short.
	notReadyRetry clock.Milli = 200
	// busyRetry is for a service without free capacity: some streams end within this time.
	busyRetry clock.Milli = 500
)

// Causes with which the context of a send is canceled.
var (
	errDeadline     = errors.New("the time is over")
	errUnresponsive = errors.New("the upstream is silent")
)

// runtimeDeadline returns the deadline as a time of the Go runtime's clock.
func (x *request) runtimeDeadline() time.Time {
	return time.Now().Add((x.deadline - x.gate.Clock.Now()).Duration())
}

// timeLeft returns the time that remains until the deadline.
func (x *request) timeLeft() clock.Milli { return x.deadline - x.gate.Clock.Now() }

// status returns the HTTP status of a fault. A quarantined request (one suspected of crashing
// upstreams) gets 503 here, not a status for invalid requests: it certainly did not
// run this time, and nothing else about it is known.
func status(err *fault.Error) int {
	if err.Kind == fault.Quarantined {
		return http.StatusServiceUnavailable
	}
	return fault.Lookup(err.Kind).Status
}

// refuse sends a fault to the client.
func (x *request) refuse(err *fault.Error) {
	if err.Kind == fault.Canceled {
		return
	}
	h := x.w.Header()
	x.gate.Codec.Refuse(h, x.head.ID, err.Retry)
	text := string(err.Kind) + ": " + err.Text + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.closeAtStop()
	x.w.WriteHeader(status(err))
	_, _ = x.w.Write([]byte(text)) // an error means that the client has disconnected
	x.record.status = status(err)
}

// endFault returns the fault for a request whose context has ended; sent is set if the request may
// have run.
func (x *request) endFault(ctx context.Context, sent bool) *fault.Error {
	if !errors.Is(context.Cause(ctx), errDeadline) && x.r.Context().Err() != nil {
		return fault.New(fault.Canceled, "the caller went away")
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return x.stopFault(sent)
	}
	if sent {
		return fault.New(fault.Expired, "no whole answer within %d ms", x.deadline-x.arrived)
	}
	return fault.New(fault.Overloaded, "no place within %d ms", x.deadline-x.arrived).WithRetry(busyRetry)
}

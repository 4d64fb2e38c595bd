package relay

import (
	"context"
	"errors"
	"time"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
)

// finalTime is the last part of a planned stop, in which requests without a response get their final ones.
const finalTime = 200 * clock.Milli(1)

// errStopping is the cause with which the context of a request without a response is canceled at the end of a stop.
var errStopping = errors.New("this VM is stopping")

// stop is the state of a planned stop of the VM.
type stop struct {
	// begun is done once the VM begins to stop, final once requests without a response must get their final ones.
	begun, final  context.Context
	begin, finish context.CancelFunc
	// finalAt is when final is done. It is set before begun is done.
	finalAt clock.Milli
}

func newStop() *stop {
	s := &stop{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.final, s.finish = context.WithCancel(context.Background())
	return s
}

// hasBegun reports whether the VM is stopping.
func (s *stop) hasBegun() bool { return s.begun.Err() != nil }

// limit returns the earlier one of an instant and the end of the stop, if the VM is stopping.
func (s *stop) limit(t clock.Milli) clock.Milli {
	if s.hasBegun() {
		return min(t, s.finalAt)
	}
	return t
}

// interrupt calls f at the end of the stop, unless the function that it returns has been called before. That function
// returns only when f is not running.
func (s *stop) interrupt(f func()) (end func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(s.final, func() {
		defer close(done)
		f()
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}

// Stop begins a planned stop. Each further response closes its connection, so that clients reconnect to another VM.
// Requests that wait for a place are asked for anew, with the time that is left here. At end, when the process may end,
// all requests without a response have been refused. It must be called once.
func (g *Gate) Stop(end clock.Milli) {
	g.stop.finalAt = end - finalTime
	g.stop.begin()
	time.AfterFunc((g.stop.finalAt - g.Clock.Now()).Duration(), g.stop.finish)
}

// endAtStop returns a context of the request that ends at the end of a stop, until a response has begun.
func (x *request) endAtStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	x.outlastStop = context.AfterFunc(x.gate.stop.final, func() { cancel(errStopping) })
	return ctx, func() {
		x.outlastStop()
		cancel(nil)
	}
}

// closeAtStop makes the response close its connection if the VM is stopping.
func (x *request) closeAtStop() {
	if x.gate.stop.hasBegun() {
		x.w.Header().Set("Connection", "close")
	}
}

// askOwner asks the owner for a grant. again is set if the VM has begun to stop meanwhile: the owner has to know that less
// time is left, so that it refuses at once what cannot be served in it.
func (x *request) askOwner(ctx context.Context, a span.Ask) (reply placer.AskReply, again bool, err error) {
	g := x.gate
	if g.stop.hasBegun() {
		reply, err = g.Placer.Ask(ctx, x.service, a)
		return reply, false, err
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.stop.begun, cancel)()
	reply, err = g.Placer.Ask(waiting, x.service, a)
	return reply, err != nil && ctx.Err() == nil && g.stop.hasBegun(), err
}

// stopFault returns the fault for a request that has no response at the end of a stop; sent is set if it may have run.
// Another VM serves the retry of one that has not.
func (x *request) stopFault(sent bool) *fault.Error {
	if sent {
		return fault.New(fault.Expired, "this VM stops, and there is no whole answer after %d ms", x.elapsed())
	}
	return fault.New(fault.Draining, "this VM stops before there is a place").WithRetry(notReadyRetry)
}

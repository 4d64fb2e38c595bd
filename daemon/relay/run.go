package relay

import (
	"context"
	"strconv"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/http1"
	"snipeshift.example/lib/route"
)

// maxRejections is how many times a request may be rejected without having run before it is
// refused: each rejection costs the client a round trip. maxGroupRejections is the limit for a
// prompt that is spread over a group of engines, any of which can reject the request: compared with
// the seconds that the prefill of such a prompt takes, a few round trips are negligible.
const (
	maxRejections      = 4
	maxGroupRejections = 12
)

// maxNoPath is after how many grants of upstreams that neither this VM nor others reach, for no fault of the upstreams, a
// request is refused: this VM probably reaches none.
const maxNoPath = 2

// verdict is the state of a request after one send.
type verdict uint8

const (
	// answered means that the client has received its complete final response.
	answered verdict = iota
	// notRun means that the upstream certainly did not run the request and will not.
	notRun
	// mayHaveRun means that the request may have run, and the client has no complete response.
	mayHaveRun
)

// result is the end of one send.
type result struct {
	verdict verdict
	outcome span.Outcome
	// culprit is the upstream that caused the failure, if it is not the leader.
	culprit decide.UpstreamID
	// failure is the upstream's error response, which is passed on if no later send succeeds.
	failure *answer
	// err describes the failure, for the log line and for the response to the client.
	err error
	// final is set if the request must not be sent again.
	final *fault.Error
	// suspicious is set if the request may have crashed the upstream; crashed is that upstream once it is known to have
	// crashed.
	suspicious bool
	crashed    *route.Upstream
	// unsent is set if nothing was sent: no connection was opened, an upstream of the grant is leaving, or a
	// statement of it forbids the send. backOff is set if the upstream asked for a back-off in response to
	// this send.
	unsent, backOff bool
}

// reason describes the failure for the client. The error of a broken connection is left out: net/http quotes what the
// upstream sent, which may belong to another request.
func (r *result) reason() string {
	if http1.ErrHead.Has(r.err) {
		return "it sent a malformed response"
	}
	if r.suspicious && r.outcome == span.Broken {
		return "the connection broke"
	}
	return r.err.Error()
}

// run sends the request until it is answered or must not be sent again.
func (x *request) run(ctx context.Context) *fault.Error {
	var failure *answer
	sent, rejected, unsent, noPath := 0, 0, 0, 0
	counted := false
	for {
		grant, err := x.requestGrant(ctx, earlierSends{again: sent+rejected > unsent, counted: counted, mayHaveRun: sent > 0})
		if err != nil {
			return x.conclude(failure, x.correctRefusal(ctx, sent, err))
		}
		x.record.beginSend(x.elapsed())
		x.carrier.Store(nil)
		res := x.send(ctx, grant)
		x.gate.Placer.End(grant.Request, res.outcome, res.culprit)
		if res.crashed != nil {
			// This waits for all VMs, so the owner is told first.
			x.gate.Suspects.RecordCrash(x.fingerprint, res.crashed.ID, res.crashed.Born)
		}
		x.record.endSend(grant, res, x.carrier.Load())
		x.gate.metrics.countSend(res.outcome)
		if res.failure != nil {
			failure = res.failure
		}
		if !res.backOff || res.culprit != "" {
			x.avoid = append(x.avoid, upstreamToAvoid(grant, res))
		}
		counted = res.unsent
		if res.unsent {
			unsent++
		}
		if dial.ErrNoPath.Has(res.err) {
			noPath++
		}
		switch res.verdict {
		case answered:
			return nil
		case notRun:
			rejected++
		case mayHaveRun:
			sent++
		}
		if res.final != nil {
			return x.conclude(failure, x.correctRefusal(ctx, sent, res.final))
		}
		if ctx.Err() != nil {
			return x.endFault(ctx, sent > 0)
		}
		if noPath >= maxNoPath || !x.mayRetry(sent, rejected, len(grant.Helpers) > 0) {
			return x.conclude(failure, x.exhausted(sent, res))
		}
	}
}

// conclude ends a request that will not be sent again. It delivers the upstream's error response if
// one was kept, and otherwise returns err. Once a stream has begun it always returns err: an error
// response written after the events would end the stream regularly, and only a broken connection
// shows the client that the stream is incomplete.
func (x *request) conclude(failure *answer, err *fault.Error) *fault.Error {
	if failure == nil || x.started {
		return err
	}
	x.deliver(failure)
	return nil
}

// upstreamToAvoid returns the upstream that the next send must avoid: the culprit, or else the leader.
func upstreamToAvoid(grant span.Grant, res result) decide.UpstreamID {
	if res.culprit != "" {
		return res.culprit
	}
	return grant.Leader.Upstream
}

// mayRetry reports whether the request may be sent again. The parameter group is set if the last grant
// spread the prompt over several engines.
func (x *request) mayRetry(sent, rejected int, group bool) bool {
	limit := maxRejections
	if group {
		limit = maxGroupRejections
	}
	if sent > 0 && x.route.Repeat == route.Once {
		return false
	}
	if x.started && x.route.Repeat != route.Resumable {
		return false
	}
	return sent < x.route.Attempts && rejected < limit
}

// exhausted returns the fault for a request whose last permitted send has failed.
func (x *request) exhausted(sent int, res result) *fault.Error {
	if sent == 0 && dial.ErrNoPath.Has(res.err) {
		return fault.New(fault.Unavailable, "this VM reaches no upstream: %v", res.err).WithRetry(notReadyRetry)
	}
	if sent == 0 {
		return fault.New(fault.Overloaded, "every upstream that was asked turned it away: %v", res.err).WithRetry(busyRetry)
	}
	return fault.New(fault.Upstream, "upstream failed: %s", res.reason())
}

// correctRefusal replaces a refusal that claims that the request did not run, if the request may
// have run. Clients take status 503 to mean that the request has not run, which is unknown after a
// send.
func (x *request) correctRefusal(ctx context.Context, sent int, err *fault.Error) *fault.Error {
	if sent == 0 || x.started || err.Kind == fault.Canceled || err.Kind == fault.Unauthorized {
		return err
	}
	return x.noFurtherUpstream(ctx, err)
}

// noFurtherUpstream returns the fault for a request that may have run and gets no further grant.
func (x *request) noFurtherUpstream(ctx context.Context, err *fault.Error) *fault.Error {
	if ctx.Err() != nil {
		return x.endFault(ctx, true)
	}
	return fault.New(fault.Upstream, "upstream failed, and there is no other: %s", err.Text)
}

// earlierSends describes the earlier sends of a request.
type earlierSends struct {
	// again is set once the request was sent to an upstream, mayHaveRun once it may have run, and
	// counted if nothing was sent under its last grant, so that the retry budget has counted this
	// send already.
	again, mayHaveRun, counted bool
}

// requestGrant asks the owner of the service for a grant for the next send.
func (x *request) requestGrant(ctx context.Context, before earlierSends) (span.Grant, *fault.Error) {
	g := x.gate
	check := g.Suspects.Check(x.fingerprint)
	if check == gate.Quarantined {
		return span.Grant{}, fault.New(fault.Quarantined, "upstreams died running this request; it is not run again")
	}
	now := g.Clock.Now()
	a := x.newAsk(now, strconv.FormatUint(g.serial.Add(1), 36))
	a.Suspect, a.Parts = check == gate.Suspected, x.sharedParts()
	a.Again, a.Begun, a.Counted = before.again, before.mayHaveRun, before.counted
	a.Fingerprint = x.fingerprint
	reply, again, err := x.askOwner(ctx, a)
	x.record.queued += g.Clock.Now() - now
	if err != nil {
		g.Placer.Withdraw(x.service, a.ID)
	}
	switch {
	case again:
		return x.requestGrant(ctx, before)
	case err != nil:
		return span.Grant{}, x.endFault(ctx, before.mayHaveRun)
	}
	x.record.reason, x.record.waiting, x.record.running = reply.Reason, reply.Queued, reply.Granted
	if reply.Fault != "" {
		return span.Grant{}, fault.New(reply.Fault, "no place: %s", reply.Reason).WithRetry(x.retryAfter(&a, &reply))
	}
	return reply.Grant, nil
}

// retryAfter returns the Retry-After of a request that the owner refuses. If this VM is stopping, the client need not wait:
// other VMs have more time for the request.
func (x *request) retryAfter(a *span.Ask, reply *placer.AskReply) clock.Milli {
	if a.Deadline < x.deadline && !reply.Booked {
		return notReadyRetry
	}
	return RetryAfter(reply.Retry, reply.Booked)
}

// newAsk describes the next send of the request to the owner. The name is unique among those of this gate.
func (x *request) newAsk(now clock.Milli, name string) span.Ask {
	return span.Ask{
		ID:   decide.RequestID(string(x.gate.id) + "#" + name),
		Gate: x.gate.id, Workspace: x.workspaceID(), Urgency: route.Urgency(x.route, x.workspace),
		Prompt: x.head.Prompt, Output: x.head.Output, Likely: x.likelyOutput(), Aim: x.firstByteTarget(now), Patience: x.patienceEnd(now), Deadline: x.gate.stop.limit(x.deadline), Gap: x.route.Gap,
		Stream: x.route.Stream, Avoid: x.avoid, Domain: x.gate.Domain,
	}
}

// patienceEnd returns the time at which the client is expected to leave if it has not received the
// next byte.
func (x *request) patienceEnd(now clock.Milli) clock.Milli {
	switch {
	case x.route.Patience == 0:
		return x.deadline
	case x.started:
		return min(x.deadline, now+x.route.Patience)
	default:
		return min(x.deadline, x.arrived+x.route.Patience)
	}
}

// likelyOutputShare is the average length of a response as a share of its maximum length.
const likelyOutputShare = 0.4

// likelyOutput estimates how many tokens are still to be generated. A client's hint above the
// average is ignored, since a request must not be refused because of a hint that is far too high.
// The result is 0 for a stream that is continued, whose remaining length is unknown.
func (x *request) likelyOutput() decide.Tokens {
	if x.started {
		return 0
	}
	likely := decide.Tokens(likelyOutputShare * float64(x.head.Output))
	if x.head.Hint > 0 {
		likely = min(likely, x.head.Hint)
	}
	return likely
}

// firstByteTarget returns the time by which the first byte should arrive. For a stream that is
// continued, it is one gap from now, since the client already waits for the next event.
func (x *request) firstByteTarget(now clock.Milli) clock.Milli {
	if x.started {
		return now + x.route.Gap
	}
	return x.arrived + x.route.Aim
}

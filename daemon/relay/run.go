package relay

import (
	"context"
	"strconv"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// idleSends is how many times a request may be turned away without having run before it is refused: each time
// costs the caller a way there and back. groupSends is that for a prompt that is spread over engines, of
// which one that declines turns the whole away: beside the seconds that it takes to read, a few ways are nothing.
const (
	idleSends  = 4
	groupSends = 12
)

// verdict is what becomes of a request after one send.
type verdict uint8

const (
	// answered: the caller has its final answer, whole.
	answered verdict = iota
	// idle: it certainly did not run and will not.
	idle
	// ran: it may have run, and the caller has not got an answer.
	ran
)

// result is the end of one send.
type result struct {
	verdict verdict
	outcome span.Outcome
	// culprit is the upstream at fault if it is not the leader.
	culprit decide.UpstreamID
	// failure is the upstream's own answer that tells of its failure, kept for
	// the case that nothing better comes.
	failure *answer
	// err says what was seen.
	err error
	// final is set if the request must not be sent at all any more.
	final *fault.Error
	// suspicious is set if the upstream may have died of the request.
	suspicious bool
	// withheld is set if nothing was sent, by what this VM knows of the upstreams of the grant; rests if an upstream said in answer to
	// this send that it wants nothing for a time.
	withheld, rests bool
}

// run sends the request until it is answered or may not be sent again.
func (x *flight) run(ctx context.Context) *fault.Error {
	var failure *answer
	sent, turned, withheld := 0, 0, 0
	counted := false
	for {
		grant, err := x.place(ctx, sends{again: sent+turned > withheld, counted: counted, ran: sent > 0})
		if err != nil {
			return x.conclude(failure, x.truthful(ctx, sent, err))
		}
		x.story.place(x.passed())
		res := x.send(ctx, grant)
		x.gate.Placer.End(grant.Request, res.outcome, res.culprit)
		x.story.send(grant, res)
		x.gate.metrics.send(res.outcome)
		if res.failure != nil {
			failure = res.failure
		}
		if !res.rests || res.culprit != "" {
			x.avoid = append(x.avoid, avoided(grant, res))
		}
		counted = res.withheld
		if res.withheld {
			withheld++
		}
		switch res.verdict {
		case answered:
			return nil
		case idle:
			turned++
		case ran:
			sent++
		}
		if res.final != nil {
			return x.conclude(failure, x.truthful(ctx, sent, res.final))
		}
		if ctx.Err() != nil {
			return x.ended(ctx, sent > 0)
		}
		if !x.again(sent, turned, len(grant.Helpers) > 0) {
			return x.conclude(failure, x.exhausted(sent, res))
		}
	}
}

// conclude ends a request that no upstream answers any more: an upstream's own failure that was
// kept is better than ours.
// Behind a stream that has begun, that would end the answer in order; only a broken connection says that it is not whole.
func (x *flight) conclude(failure *answer, err *fault.Error) *fault.Error {
	if failure == nil || x.begun {
		return err
	}
	x.deliver(failure)
	return nil
}

// avoided is the upstream that the next send keeps away from: the one at fault.
func avoided(grant span.Grant, res result) decide.UpstreamID {
	if res.culprit != "" {
		return res.culprit
	}
	return grant.Leader.Upstream
}

// again reports whether the request may be sent once more; spread reports whether several engines were to read it.
func (x *flight) again(sent, turned int, spread bool) bool {
	most := idleSends
	if spread {
		most = groupSends
	}
	if sent > 0 && x.route.Repeat == route.Once {
		return false
	}
	if x.begun && x.route.Repeat != route.Resumable {
		return false
	}
	return sent < x.route.Attempts && turned < most
}

// exhausted is the answer after the last send.
func (x *flight) exhausted(sent int, res result) *fault.Error {
	if sent == 0 {
		return fault.New(fault.Overloaded, "every upstream that was asked turned it away: %v", res.err).WithRetry(busyRetry)
	}
	return fault.New(fault.Upstream, "upstream failed: %v", res.err)
}

// truthful takes the claim that nothing ran out of a refusal that comes after a send.
// A refusal by 503 says that the request has not run, which after a send nobody knows.
func (x *flight) truthful(ctx context.Context, sent int, err *fault.Error) *fault.Error {
	if sent == 0 || x.begun || err.Kind == fault.Canceled || err.Kind == fault.Unauthorized {
		return err
	}
	return x.spent(ctx, err)
}

// spent is the answer to a request that may have run and finds no further place.
func (x *flight) spent(ctx context.Context, err *fault.Error) *fault.Error {
	if ctx.Err() != nil {
		return x.ended(ctx, true)
	}
	return fault.New(fault.Upstream, "upstream failed, and there is no other: %s", err.Text)
}

// sends tells what became of a request so far.
type sends struct {
	// again is set once it was sent, ran once it may have run, counted if nothing was sent under its last grant.
	again, ran, counted bool
}

// place asks for the next place.
func (x *flight) place(ctx context.Context, before sends) (span.Grant, *fault.Error) {
	g := x.gate
	check := g.Suspects.Check(x.fingerprint)
	if check == gate.Quarantined {
		return span.Grant{}, fault.New(fault.Quarantined, "upstreams died running this request; it is not run again")
	}
	now := g.Clock.Now()
	a := span.Ask{
		ID:   decide.RequestID(string(g.id) + "#" + strconv.FormatUint(g.serial.Add(1), 36)),
		Gate: g.id, Workspace: x.workspace(), Urgency: route.Urgency(x.route, x.holder),
		Prompt: x.head.Prompt, Output: x.head.Output, Likely: x.likely(), Aim: x.aim(now), Patience: x.useless(now), Deadline: x.deadline, Gap: x.route.Gap,
		Stream: x.route.Stream, Avoid: x.avoid, Suspect: check == gate.Suspected,
		Again: before.again, Counted: before.counted,
	}
	reply, err := g.Placer.Ask(ctx, x.service, a)
	x.story.queued += g.Clock.Now() - now
	if err != nil {
		g.Placer.Withdraw(x.service, a.ID)
		return span.Grant{}, x.ended(ctx, before.ran)
	}
	x.story.reason, x.story.waiting, x.story.running = reply.Reason, reply.Queued, reply.Granted
	if reply.Fault != "" {
		return span.Grant{}, fault.New(reply.Fault, "no place: %s", reply.Reason).WithRetry(max(reply.Retry, busyRetry))
	}
	return reply.Grant, nil
}

// useless is when the next byte comes too late: the caller has left by then.
func (x *flight) useless(now clock.Milli) clock.Milli {
	switch {
	case x.route.Patience == 0:
		return x.deadline
	case x.begun:
		return min(x.deadline, now+x.route.Patience)
	default:
		return min(x.deadline, x.arrived+x.route.Patience)
	}
}

// likelyShare is the part of the most that an answer may have which it has on average.
const likelyShare = 0.4

// likely is how many tokens are probably still to be written. It is never the caller's guess
// if that is above the average: a request must not be refused for a guess that is far
// off. Of a stream that is continued nobody knows what is left.
func (x *flight) likely() decide.Tokens {
	if x.begun {
		return 0
	}
	likely := decide.Tokens(likelyShare * float64(x.head.Output))
	if x.head.Hint > 0 {
		likely = min(likely, x.head.Hint)
	}
	return likely
}

// aim is when the first byte should come. For a stream that is continued it is now: its
// caller is looking at a pause already.
func (x *flight) aim(now clock.Milli) clock.Milli {
	if x.begun {
		return now + x.route.Gap
	}
	return x.arrived + x.route.Aim
}

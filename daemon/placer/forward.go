package placer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
)

// Timeouts and limits of messages that a VM forwards to the holder of a service.
const (
	// forwardTimeout is how long a holder may take to answer a forwarded query before it counts as
	// unresponsive. VMs are milliseconds apart, and processor throttling pauses a holder for up to
	// 60 ms.
	forwardTimeout = 80 * clock.Milli(1)
	// probeAfter is the delay after which the holder is also probed over a second connection. On
	// the persistent connection a lost packet is retransmitted after 200 ms only.
	probeAfter = 20 * clock.Milli(1)
	// forwardRetryFirst is the delay between the first two forwarded queries about a request that
	// is queued at the holder. The delay doubles each time: under heavy load hundreds of requests
	// are queued, and the holder is queried for each of them.
	forwardRetryFirst = 30 * clock.Milli(1)
	// maxForwardedNotes bounds the messages about grants that are being forwarded at a time.
	// Further ones are dropped: gates present their live grants every second, which makes up for
	// them.
	maxForwardedNotes = 64
)

// forward queries the holder on behalf of a gate until the holder decides or the gate's wait is
// over. An error means that the holder does not respond. Forwarding covers gates that cannot reach
// a healthy holder: if this VM decided for them, two VMs would allocate the same engines.
func (o *Owner) forward(args *AskArgs, reply *AskReply, to peer.Member) error {
	began := o.Clock.Now()
	for wait := forwardRetryFirst; ; wait *= 2 {
		f := *args
		elapsed := o.Clock.Now() - began
		f.Ask.Aim -= elapsed
		f.Ask.Deadline -= elapsed
		if f.Ask.Patience != 0 {
			f.Ask.Patience -= elapsed
		}
		f.Forwarded, f.Wait, f.Known = true, 0, nil
		f.Statements = addAge(args.Statements, elapsed)
		r, err := o.queryHolder(to, &f)
		if err != nil {
			return err
		}
		if r.Holder != nil {
			o.Holders.Update(*r.Holder, "answer")
		}
		r.Waited, r.Holder = o.Clock.Now()-began, nil
		*reply = r
		if r.Decided || r.Moved || o.Clock.Now()-began >= args.Wait {
			return nil
		}
		time.Sleep(min(wait, args.Wait).Duration())
	}
}

// queryHolder sends one query to the holder, through another VM if this one does not reach it. It fails only if the holder
// answers neither on the persistent connection nor to a probe on a new one, and witnesses do not reach it either. If the
// probe succeeds but the query times out, the reply is empty, that is undecided.
func (o *Owner) queryHolder(to peer.Member, args *AskArgs) (AskReply, error) {
	if m, ok := o.detours.to(to.VM); ok {
		if r, err := o.queryThrough(m, args); err == nil {
			return r, nil
		}
		o.detours.remove(to.VM)
	}
	r, check, err := o.queryDirectly(to, args)
	if err == nil || args.Detour {
		return r, err
	}
	// A refused connection means that the holder's process has ended, which no detour changes.
	if !errors.Is(err, syscall.ECONNREFUSED) {
		if <-check.searched; check.detour != nil {
			if r, err := o.startDetour(to, *check.detour, args); err == nil {
				return r, nil
			}
		}
	}
	o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(to.VM)).Err(err).Msg("the holder of a service does not respond; this VM tries to become the holder")
	return AskReply{}, err
}

// queryDirectly sends one query to the holder over this VM's own connections. A holder that does not answer soon is checked.
// If the check succeeds, the reply is empty, that is undecided. An error is returned together with the check, since
// witnesses may still find a VM that reaches the holder.
func (o *Owner) queryDirectly(to peer.Member, args *AskArgs) (AskReply, *holderCheck, error) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout.Duration())
	defer cancel()
	checks := make(chan *holderCheck, 1)
	check := func() { checks <- o.checks.join(o, args.Service, to, !args.Detour) }
	t := time.AfterFunc(probeAfter.Duration(), check)
	var reply AskReply
	err := o.Peers.Call(ctx, to.Address, Name+".Ask", args, &reply)
	if t.Stop() && err != nil {
		check()
	}
	if err == nil {
		return reply, nil, nil
	}
	// A late answer may still be decoded into reply, so reply must not be used here.
	c := <-checks
	<-c.probed
	if c.err != nil {
		return AskReply{}, c, errors.Join(err, c.err)
	}
	return AskReply{}, c, nil
}

// forwardNote forwards a message about a grant to the holder without waiting for an answer. The
// next Present makes up for a lost message.
func (o *Owner) forwardNote(args *NoteArgs, to peer.Member) {
	select {
	case o.noteSlots <- struct{}{}:
	default:
		o.dropped.Add(1)
		return
	}
	n := *args
	n.Forwarded = true
	if m, ok := o.detours.to(to.VM); ok {
		n.Forwarded, to = false, m
	}
	go func() {
		defer func() { <-o.noteSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), (askWait + answerSlack).Duration())
		defer cancel()
		if err := o.Peers.Call(ctx, to.Address, Name+".Note", &n, &peer.Empty{}); err != nil {
			o.Log.Debug().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(to.VM)).Err(err).Msg("message about a grant not forwarded to the holder")
		}
	}()
}

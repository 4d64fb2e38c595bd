package placer

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/holder"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Timeouts and limits of a change of holder.
const (
	// gatherWait bounds how long a new holder waits for gates to present their live grants before
	// it decides.
	gatherWait = 40 * clock.Milli(1)
	// announceWait bounds an announcement to one VM, and maxAnnouncements the announcements in
	// flight: VMs that were lost together with the holder do not answer and must not delay the
	// announcements to others.
	announceWait     = 150 * clock.Milli(1)
	maxAnnouncements = 128
	// handOverWait bounds the message that carries the snapshot of a pool: some hundred grants.
	handOverWait = 300 * clock.Milli(1)
	// handOverPause bounds the time during a hand-over in which nothing is decided.
	handOverPause = 40 * clock.Milli(1)
	// handOverCheckEvery is the interval of checks for services to hand over to a VM of higher
	// capacity.
	handOverCheckEvery = 500 * time.Millisecond
	// settlingTime is how long a VM leaves a service to a new holder that does not answer although it runs. Hundreds of
	// gates connect to a new holder and present their grants at once; its successor would be as busy, and each change
	// makes them do so again.
	settlingTime = 300 * clock.Milli(1)
	// maxRoutings bounds how often a query is routed again because the holder changed in the
	// meantime.
	maxRoutings = 3
)

// errSuperseded is returned to a VM that hands over a service for which this VM knows a holder of
// the same or a later epoch.
var errSuperseded = errors.New("the service has a later holder")

// Ask implements Placer.Ask.
func (o *Owner) Ask(args *AskArgs, reply *AskReply) error {
	defer o.attachHolder(args, reply)
	if args.Known != nil {
		o.Holders.Update(*args.Known, "asked")
	}
	if args.Local || o.Alone() {
		o.decide(args, reply, nil)
		return nil
	}
	for range maxRoutings {
		step, to, epoch := o.Holders.route(args.Service, args.Forwarded)
		switch step {
		case holder.Decide:
			o.decide(args, reply, o.Holders.Changed(args.Service))
			return nil
		case holder.Take:
			o.becomeHolder(args.Service, epoch, "asked")
		case holder.Redirect:
			reply.Moved = true
			return nil
		case holder.Forward:
			err := o.forward(args, reply, to)
			if err == nil {
				return nil
			}
			if args.Detour {
				reply.Moved = true
				return nil
			}
			if o.settling(args.Service, err) {
				return nil
			}
			o.becomeHolder(args.Service, epoch, "silent")
		}
	}
	reply.Moved = true
	return nil
}

// settling reports whether a holder that did not answer, with err, is a new one whose VM still accepts connections.
func (o *Owner) settling(s route.ServiceID, err error) bool {
	_, since, ok := o.Holders.HolderSince(s)
	return ok && o.Clock.Now()-since < settlingTime && peer.ErrUnanswered.Has(err)
}

// attachHolder adds the current holder to the reply if the gate follows another epoch.
func (o *Owner) attachHolder(args *AskArgs, reply *AskReply) {
	if x, ok := o.Holders.Of(args.Service); ok && x.Epoch != args.Epoch {
		reply.Holder = &x
	}
}

// remoteHolder returns the VM that holds a service if it is live and not this VM.
func (o *Owner) remoteHolder(s route.ServiceID) (peer.Member, bool) {
	if o.Alone() {
		return peer.Member{}, false
	}
	step, m, epoch := o.Holders.route(s, false)
	return m, step == holder.Forward && epoch > 0
}

// Dropped returns the number of messages about grants that were not forwarded to holders because
// too many were in flight.
func (o *Owner) Dropped() uint64 { return o.dropped.Load() }

// becomeHolder makes this VM the holder of a service if the current epoch is still prevEpoch. If the
// service had a holder, gates are informed at once, and nothing is decided until they have
// presented their live grants or gatherWait has passed.
func (o *Owner) becomeHolder(s route.ServiceID, prevEpoch uint64, cause string) {
	o.holderMu.Lock()
	defer o.holderMu.Unlock()
	if x, _ := o.Holders.Of(s); x.Epoch != prevEpoch {
		return
	}
	if prevEpoch == 0 {
		o.Holders.take(s, prevEpoch, cause)
		return
	}
	p := o.lockedPool(s)
	p.gathering = true
	p.pool.RequestReports()
	p.mu.Unlock()
	x, ok := o.Holders.take(s, prevEpoch, cause)
	if !ok {
		o.endGathering(s, p)
		return
	}
	go func() {
		a := o.announce(x)
		a.wait(gatherWait.Duration())
		o.settleBudget(x, p, a)
		o.endGathering(s, p)
	}()
}

// settleBudget makes the whole floor of the retry budget available if enough gates have presented the sends
// that earlier owners granted, and logs what the new owner knows.
func (o *Owner) settleBudget(x peer.Holder, p *ownedPool, a *announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.reachedHalf() {
		p.budget.GrowFrom(0)
	}
	counted := p.budget.Snapshot(o.Clock.Now()).Sends
	o.Log.Info().Str(logline.Key, logline.Gathered).Str("service", string(x.Service)).Uint64("epoch", x.Epoch).
		Int("members", a.members).Int64("reached", a.reached.Load()).Float64("requests", counted.Requests).Float64("retries", counted.Retries).
		Msg("a new owner begins to decide")
}

// endGathering lets the pool decide again after gates have presented their live grants.
func (o *Owner) endGathering(s route.ServiceID, p *ownedPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gathering = false
	o.tick(p, o.Clock.Now())
	o.keepTicking(p)
	o.pollReports(s, p)
}

// announcement is the announcement of a holder to all members.
type announcement struct {
	// members is the number of members, including this VM.
	members int
	// reached counts this VM and the members that have replied. Before it replies, a member presents its
	// live grants and earlier sends.
	reached atomic.Int64
	// most is closed once mostShare of the members have replied, done once all calls have ended.
	most, done chan struct{}
}

// mostShare is the fraction of the members, without the former holder, whose replies a new holder needs.
// Others were probably lost together with the former holder.
const mostShare = 0.9

// needed is the number of members, including this VM, that make up mostShare.
func (a *announcement) needed() int64 { return int64(math.Ceil(mostShare * float64(a.members-1))) }

// answered counts a member that has replied.
func (a *announcement) answered() {
	if a.reached.Add(1) == max(1, a.needed()) {
		close(a.most)
	}
}

// wait waits for the replies of all members. It stops waiting after limit, or earlier: once mostShare of
// the members have replied, it waits for the others only half as long again.
func (a *announcement) wait(limit time.Duration) {
	began := time.Now()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-a.done:
		return
	case <-t.C:
		return
	case <-a.most:
		t.Reset(min(time.Since(began)/2, limit-time.Since(began)))
	}
	select {
	case <-a.done:
	case <-t.C:
	}
}

// reachedHalf reports whether at least half of the members have replied. At most two VMs, one on each side
// of a partition, can achieve that, and the retry budget is divided so that two owners may use it.
func (a *announcement) reachedHalf() bool { return 2*int(a.reached.Load()) >= a.members }

// announce informs all members of a service's holder. Without the announcement, each gate would detect the
// change only when one of its requests is late.
func (o *Owner) announce(x peer.Holder) *announcement {
	live, self := o.Members.Live(), o.Members.Self()
	a := &announcement{members: len(live), most: make(chan struct{}), done: make(chan struct{})}
	a.answered() // this VM
	go func() {
		defer close(a.done)
		var g errgroup.Group
		g.SetLimit(maxAnnouncements)
		for _, m := range live {
			if m.VM == self.VM {
				continue
			}
			g.Go(func() error {
				if o.announceTo(m, x) {
					a.answered()
				}
				return nil
			})
		}
		_ = g.Wait() // the functions return no errors
	}()
	return a
}

// announceTo announces a holder to one member and reports whether it answered. A member that misses the
// announcement learns of the holder from heartbeats or answers.
func (o *Owner) announceTo(m peer.Member, x peer.Holder) bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceWait.Duration())
	defer cancel()
	var known peer.Holder
	if err := o.Peers.Call(ctx, m.Address, Name+".Follow", &x, &known); err != nil {
		o.Log.Debug().Str(logline.Key, logline.Unreachable).Str("dependency", "peer").Str("peer", string(m.VM)).Err(err).Msg("new holder not announced to a VM; heartbeats or answers will inform it")
		return false
	}
	o.Holders.Update(known, "answer")
	return true
}

// Follow implements Placer.Follow: it records a holder and replies with the one that this VM
// follows afterwards. By then the gate of this VM has presented its live grants, also if it has heard of the holder before.
func (o *Owner) Follow(args, reply *peer.Holder) error {
	o.Holders.Update(*args, "announced")
	o.Holders.awaitNotified(args.Service)
	*reply, _ = o.Holders.Of(args.Service)
	return nil
}

// onHolderChange discards the pool of a service that another VM holds. Queries waiting in it are
// asked again.
func (o *Owner) onHolderChange(x peer.Holder) {
	if o.Holders.Holds(x.Service) {
		return
	}
	o.mu.Lock()
	delete(o.pools, x.Service)
	o.mu.Unlock()
}

// Run hands services over to VMs of higher capacity until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	go guard.Every(ctx, logBookingsEvery, o.logBookings)
	if o.Recovery {
		go guard.Every(ctx, logRecoveriesEvery, o.logRecoveries)
	}
	guard.Every(ctx, handOverCheckEvery, func() { o.HandOver(ctx) })
	return nil
}

// HandOver hands over the services that this VM holds if this VM stops or VMs of higher capacity
// are members.
func (o *Owner) HandOver(ctx context.Context) {
	var wg sync.WaitGroup
	for _, x := range o.Holders.All() {
		if o.Holders.Holds(x.Service) {
			wg.Go(func() { o.handOver(ctx, x.Service) })
		}
	}
	wg.Wait()
}

// handOver hands one service over to its successor, with a snapshot of its pool, in one message. Nothing is
// decided meanwhile, since the snapshot would lack it, but for handOverPause at most: the successor may be
// lost.
func (o *Owner) handOver(ctx context.Context, s route.ServiceID) {
	to, epoch, ok := o.Holders.successor(s)
	if !ok {
		return
	}
	p := o.lockedPool(s)
	snapshot := p.pool.Snapshot(o.Clock.Now())
	p.gathering = true
	p.mu.Unlock()
	pause := time.AfterFunc(handOverPause.Duration(), func() { o.endGathering(s, p) })
	args := &TakeArgs{Holder: holder.NewHolder(s, to, epoch+1), Books: snapshot}
	ctx, cancel := context.WithTimeout(ctx, handOverWait.Duration())
	defer cancel()
	if err := o.Peers.Call(ctx, to.Address, Name+".Take", args, &peer.Empty{}); err != nil {
		if pause.Stop() {
			o.endGathering(s, p)
		}
		o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "successor").Str("peer", string(to.VM)).Err(err).Msg("service not handed over: the successor did not accept it")
		return
	}
	pause.Stop()
	o.Holders.Update(args.Holder, "handed over")
}

// Take implements Placer.Take: this VM becomes the holder and restores the snapshot of its
// predecessor.
func (o *Owner) Take(args *TakeArgs, _ *peer.Empty) error {
	if x, ok := o.Holders.Of(args.Holder.Service); ok && x.Epoch >= args.Holder.Epoch {
		return errSuperseded
	}
	p := o.lockedPool(args.Holder.Service)
	p.pool.Restore(o.Clock.Now(), args.Books)
	p.handedOver = true
	p.mu.Unlock()
	o.Holders.Update(args.Holder, "handed over")
	o.announce(args.Holder)
	return nil
}

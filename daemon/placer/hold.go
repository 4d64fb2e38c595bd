package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/holder"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Times of a change of holder.
const (
	// verifyWait is how long a holder may take to answer a question that was forwarded to it, before it counts as silent. VMs are
	// milliseconds apart, and a share of the processor that is cut leaves a holder out for up to 60 ms.
	verifyWait = 80 * clock.Milli(1)
	// proveAfter is when its life is tested over a second connection beside: a lost packet of a kept one is sent
	// again after 200 ms only.
	proveAfter = 20 * clock.Milli(1)
	// forwardFirst is the time between the first two questions about a request that waits at the holder. It doubles: in a flood
	// hundreds wait, and the holder is asked for each of them.
	forwardFirst = 30 * clock.Milli(1)
	// gatherWait bounds how long a new holder waits for gates to say what runs, before it decides.
	gatherWait = 40 * clock.Milli(1)
	// announceWait bounds an announcement to one VM, announcedAtOnce how many are under way: VMs that were lost together with
	// the holder do not answer, and the others must not wait behind them.
	announceWait    = 150 * clock.Milli(1)
	announcedAtOnce = 64
	// handOverWait bounds the message that carries the books: some hundred grants.
	handOverWait = 300 * clock.Milli(1)
	// reviewEvery is the time between two checks whether a service is to be handed over to a stronger VM.
	reviewEvery = 500 * time.Millisecond
	// passedOnAtOnce bounds the messages about grants that are passed on at a time. Beyond it they are dropped: gates
	// present their grants each second.
	passedOnAtOnce = 64
	// routings bounds how often a question is routed anew because the holder changed meanwhile.
	routings = 3
)

// errSuperseded answers a VM that hands over a service which another one took meanwhile.
var errSuperseded = errors.New("the service has a later holder")

// Ask implements Placer.Ask.
func (o *Owner) Ask(args *AskArgs, reply *AskReply) error {
	defer o.inform(args, reply)
	if args.Known != nil {
		o.Holders.Update(*args.Known, "asked")
	}
	if args.Local || o.Alone() {
		o.decide(args, reply, nil)
		return nil
	}
	for range routings {
		step, to, epoch := o.Holders.route(args.Service, args.Forwarded)
		switch step {
		case holder.Decide:
			o.decide(args, reply, o.Holders.Changed(args.Service))
			return nil
		case holder.Take:
			o.take(args.Service, epoch, "asked")
		case holder.Redirect:
			reply.Moved = true
			return nil
		case holder.Forward:
			if o.forward(args, reply, to) == nil {
				return nil
			}
			o.take(args.Service, epoch, "silent")
		}
	}
	reply.Moved = true
	return nil
}

// inform tells a gate who holds the service, if it follows another one.
func (o *Owner) inform(args *AskArgs, reply *AskReply) {
	if x, ok := o.Holders.Of(args.Service); ok && x.Epoch != args.Epoch {
		reply.Holder = &x
	}
}

// elsewhere names the VM that holds a service, if it is live and another one.
func (o *Owner) elsewhere(s route.ServiceID) (peer.Member, bool) {
	if o.Alone() {
		return peer.Member{}, false
	}
	step, m, epoch := o.Holders.route(s, false)
	return m, step == holder.Forward && epoch > 0
}

// passOn sends a message about a grant to the holder, without waiting. A word that is lost is made good by the next Present.
func (o *Owner) passOn(args *NoteArgs, to peer.Member) {
	select {
	case o.passing <- struct{}{}:
	default:
		o.dropped.Add(1)
		return
	}
	n := *args
	n.Forwarded = true
	go func() {
		defer func() { <-o.passing }()
		ctx, cancel := context.WithTimeout(context.Background(), (askWait + answerSlack).Duration())
		defer cancel()
		if err := o.Peers.Call(ctx, to.Address, Name+".Note", &n, &peer.Empty{}); err != nil {
			o.Log.Debug().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(to.VM)).Err(err).Msg("a message about a grant was not passed on")
		}
	}()
}

// Dropped counts the messages about grants that were not passed on to holders, since too many were under way.
func (o *Owner) Dropped() uint64 { return o.dropped.Load() }

// forward asks the holder in a gate's place, until it decides or the gate's wait is over. An error means that the holder is silent.
// A gate may fail to reach a holder that is well. If the VM that it asks next decided by itself, two would give out the same engines.
func (o *Owner) forward(args *AskArgs, reply *AskReply, to peer.Member) error {
	began := o.Clock.Now()
	for wait := forwardFirst; ; wait *= 2 {
		f := *args
		passed := o.Clock.Now() - began
		f.Ask.Aim -= passed
		f.Ask.Deadline -= passed
		if f.Ask.Patience != 0 {
			f.Ask.Patience -= passed
		}
		f.Forwarded, f.Wait, f.Known = true, 0, nil
		f.Statements = older(args.Statements, passed)
		r, err := o.reach(to, &f)
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

// reach puts a question to the holder. It fails only if the holder answers neither on the kept connection nor
// on a new one. One that is alive but whose answer did not come has decided nothing yet: the reply is empty.
func (o *Owner) reach(to peer.Member, args *AskArgs) (AskReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyWait.Duration())
	defer cancel()
	proof := make(chan error, 1)
	prove := func() { proof <- o.Peers.Probe(ctx, to.Address) }
	t := time.AfterFunc(proveAfter.Duration(), prove)
	var reply AskReply
	err := o.Peers.Call(ctx, to.Address, Name+".Ask", args, &reply)
	if t.Stop() && err != nil {
		prove()
	}
	if err == nil {
		return reply, nil
	}
	if <-proof == nil {
		// A late answer may still be decoded into reply: it is not read.
		return AskReply{}, nil
	}
	o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(to.VM)).Err(err).Msg("the holder of a service is silent")
	return AskReply{}, err
}

// take makes this VM the holder of a service, unless the holder is another one than at the epoch before by now. If there was one before, gates are
// informed at once, and nothing is decided until they have presented what runs.
func (o *Owner) take(s route.ServiceID, before uint64, cause string) {
	o.taking.Lock()
	defer o.taking.Unlock()
	if x, _ := o.Holders.Of(s); x.Epoch != before {
		return
	}
	if before == 0 {
		o.Holders.take(s, before, cause)
		return
	}
	h := o.host(s)
	h.gathering = true
	h.pool.RequestReports()
	h.mu.Unlock()
	x, ok := o.Holders.take(s, before, cause)
	if !ok {
		o.gathered(s, h)
		return
	}
	go func() {
		defer o.gathered(s, h)
		select {
		case <-o.announce(x):
		case <-time.After(gatherWait.Duration()):
		}
	}()
}

// gathered begins to decide.
func (o *Owner) gathered(s route.ServiceID, h *ownedPool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gathering = false
	o.tick(h, o.Clock.Now())
	o.keepTicking(h)
	o.pollReports(s, h)
}

// announce tells all members who holds a service. What it returns is closed once all have answered or failed to: each has
// presented its live grants by then.
// Gates that had to find out by themselves would make one request late each.
func (o *Owner) announce(x peer.Holder) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var g errgroup.Group
		g.SetLimit(announcedAtOnce)
		self := o.Members.Self()
		for _, m := range o.Members.Live() {
			if m.VM != self.VM {
				g.Go(func() error { o.announceTo(m, x); return nil })
			}
		}
		_ = g.Wait() // announcements return no errors
	}()
	return done
}

// announceTo announces a holder to one member. One that does not hear of it learns it from heartbeats or answers.
func (o *Owner) announceTo(m peer.Member, x peer.Holder) {
	ctx, cancel := context.WithTimeout(context.Background(), announceWait.Duration())
	defer cancel()
	var known peer.Holder
	if err := o.Peers.Call(ctx, m.Address, Name+".Follow", &x, &known); err != nil {
		o.Log.Debug().Str(logline.Key, logline.Unreachable).Str("dependency", "peer").Str("peer", string(m.VM)).Err(err).Msg("a VM does not know of a new holder")
		return
	}
	o.Holders.Update(known, "answer")
}

// Follow implements Placer.Follow: it tells this VM of a holder, and answers with the one that is known then.
func (o *Owner) Follow(args, reply *peer.Holder) error {
	o.Holders.Update(*args, "announced")
	*reply, _ = o.Holders.Of(args.Service)
	return nil
}

// followed forgets the pool of a service that another VM holds. Those who wait there ask anew.
func (o *Owner) followed(x peer.Holder) {
	if o.Holders.Holds(x.Service) {
		return
	}
	o.mu.Lock()
	delete(o.pools, x.Service)
	o.mu.Unlock()
}

// Run hands services over to stronger VMs, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	guard.Every(ctx, reviewEvery, func() { o.HandOver(ctx) })
	return nil
}

// HandOver hands the services that this VM holds over, if it stops or other members are stronger.
func (o *Owner) HandOver(ctx context.Context) {
	var wg sync.WaitGroup
	for _, x := range o.Holders.All() {
		if o.Holders.Holds(x.Service) {
			wg.Go(func() { o.handOver(ctx, x.Service) })
		}
	}
	wg.Wait()
}

// handOver gives a service with all that is known of it to its successor in one message.
func (o *Owner) handOver(ctx context.Context, s route.ServiceID) {
	to, epoch, ok := o.Holders.successor(s)
	if !ok {
		return
	}
	h := o.host(s)
	books := h.pool.Snapshot(o.Clock.Now())
	h.mu.Unlock()
	args := &TakeArgs{Holder: holder.NewHolder(s, to, epoch+1), Books: books}
	ctx, cancel := context.WithTimeout(ctx, handOverWait.Duration())
	defer cancel()
	if err := o.Peers.Call(ctx, to.Address, Name+".Take", args, &peer.Empty{}); err != nil {
		o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "successor").Str("peer", string(to.VM)).Err(err).Msg("a service could not be handed over")
		return
	}
	o.Holders.Update(args.Holder, "handed over")
}

// Take implements Placer.Take: this VM becomes the holder, and knows all that the one before did.
func (o *Owner) Take(args *TakeArgs, _ *peer.Empty) error {
	if x, ok := o.Holders.Of(args.Holder.Service); ok && x.Epoch >= args.Holder.Epoch {
		return errSuperseded
	}
	h := o.host(args.Holder.Service)
	h.pool.Restore(o.Clock.Now(), args.Books)
	h.mu.Unlock()
	o.Holders.Update(args.Holder, "handed over")
	o.announce(args.Holder)
	return nil
}

package placer

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// The holder of a service in use sends keepalives to two other VMs, its standbys. A standby that hears
// nothing has the holder probed, by itself and by other VMs (witnesses), and becomes the holder if none of
// them gets even a connection. The second standby does so only if the first is lost as well.
//
// Gates alone detect a loss late. A query may stay unanswered because it is queued. A VM that is queried in
// parallel has to wait for the same holder again, or is lost itself. A holder that is busy, throttled or
// stopped still accepts connections; it is left to the timeouts of the gates.

const (
	// keepaliveEvery is the time between two keepalives to a standby.
	keepaliveEvery = 10 * clock.Milli(1)
	// keepaliveTimeout bounds one keepalive. A VM that does not answer in time is replaced as standby.
	keepaliveTimeout = 80 * clock.Milli(1)
	// keepaliveIdle is how long after the last query of a gate a holder goes on sending keepalives.
	keepaliveIdle = 2 * clock.Second
	// standbyCount is the number of standbys. Two cover a holder that is lost together with the next VM.
	standbyCount = 2
	// maxStandbyFailures is how many VMs may fail as standbys before all are tried again, after a pause of
	// standbyRetry. VMs of versions without keepalives all fail.
	maxStandbyFailures = 8
	standbyRetry       = clock.Second
	// watchStep is the interval at which a standby measures the silence of its holder.
	watchStep = 5 * clock.Milli(1)
	// maxSilence is the silence after which a standby has the holder probed.
	maxSilence = 20 * clock.Milli(1)
	// reachTimeout bounds a connection attempt to a VM that may be lost. A VM that runs is milliseconds away,
	// and its kernel accepts connections even if the process is busy.
	reachTimeout = 25 * clock.Milli(1)
	// witnessTimeout bounds the call to a witness, which includes its own connection attempt.
	witnessTimeout = 60 * clock.Milli(1)
	// watchTimeout is how long after the last keepalive a standby watches a holder that is not lost: the
	// holder has replaced this standby.
	watchTimeout = clock.Second
	// maxWitnesses is how many witnesses probe a silent holder. neededWitnesses of them must have failed to
	// reach it, because a standby that is itself cut off from the network reaches nobody.
	maxWitnesses    = 3
	neededWitnesses = 2
)

// KeepaliveArgs tells a standby that the holder of a service is alive.
type KeepaliveArgs struct {
	Holder peer.Holder
	// First is the address of the first standby if the receiver is the second one.
	First string
	// Final is set if no further keepalive follows.
	Final bool
}

// ReachArgs asks a witness whether it reaches the VM at an address.
type ReachArgs struct {
	Address string
	// Answers is set if the VM must answer a call too: the kernel of a paused one accepts connections.
	Answers bool
}

// ReachReply tells whether a VM reaches another one.
type ReachReply struct{ Reached bool }

// standbys are the VMs that a holder keeps ready to succeed it.
type standbys struct {
	owner  *Owner
	holder peer.Holder
	pool   *ownedPool

	mu sync.Mutex
	// failed are the VMs that did not answer a keepalive.
	failed map[peer.VM]bool
}

// keepStandbys starts to send keepalives if this VM holds the service and does not send any yet. The
// pool's lock is held.
func (o *Owner) keepStandbys(s route.ServiceID, p *ownedPool) {
	x, ok := o.Holders.Of(s)
	if p.hasStandbys || !ok || !o.Holders.Holds(s) {
		return
	}
	p.hasStandbys = true
	sb := &standbys{owner: o, holder: x, pool: p, failed: map[peer.VM]bool{}}
	go func() {
		var wg sync.WaitGroup
		for i := range standbyCount {
			wg.Go(func() { sb.keep(i) })
		}
		wg.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.hasStandbys = false
	}()
}

// keep sends keepalives to the standby at an index until this VM no longer holds the service or gates no
// longer query it.
func (sb *standbys) keep(i int) {
	for sb.inUse() {
		to, args, ok := sb.next(i)
		if !ok {
			time.Sleep(standbyRetry.Duration())
			sb.retry()
			continue
		}
		if sb.owner.sendKeepalive(to, args) != nil {
			sb.fail(to)
			continue
		}
		time.Sleep(keepaliveEvery.Duration())
	}
	if to, args, ok := sb.next(i); ok {
		args.Final = true
		_ = sb.owner.sendKeepalive(to, args) // without it the watch ends after watchTimeout
	}
}

// next returns the standby at an index with the keepalive to send, false if there is none.
func (sb *standbys) next(i int) (peer.Member, KeepaliveArgs, bool) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	args := KeepaliveArgs{Holder: sb.holder}
	ms := sb.owner.Holders.standbys(sb.holder.Service, sb.failed, i+1)
	if len(ms) <= i || len(sb.failed) >= maxStandbyFailures {
		return peer.Member{}, args, false
	}
	if i > 0 {
		args.First = ms[0].Address
	}
	return ms[i], args, true
}

func (sb *standbys) fail(m peer.Member) { sb.mu.Lock(); defer sb.mu.Unlock(); sb.failed[m.VM] = true }

// retry makes VMs that failed eligible again.
func (sb *standbys) retry() { sb.mu.Lock(); defer sb.mu.Unlock(); clear(sb.failed) }

// inUse reports whether this VM is still the holder and gates query it.
func (sb *standbys) inUse() bool {
	if x, _ := sb.owner.Holders.Of(sb.holder.Service); x != sb.holder {
		return false
	}
	sb.pool.mu.Lock()
	defer sb.pool.mu.Unlock()
	return sb.owner.Clock.Now()-sb.pool.lastAsk < keepaliveIdle
}

// sendKeepalive sends one keepalive. The reply is the holder that the standby follows, which may be a
// successor that this VM has not heard of.
func (o *Owner) sendKeepalive(to peer.Member, args KeepaliveArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout.Duration())
	defer cancel()
	var known peer.Holder
	if err := o.Peers.Call(ctx, to.Address, Name+".Keepalive", &args, &known); err != nil {
		return err
	}
	o.Holders.Update(known, "answer")
	return nil
}

// Keepalive implements Placer.Keepalive: this VM is the standby of the holder that calls.
func (o *Owner) Keepalive(args *KeepaliveArgs, reply *peer.Holder) error {
	o.Holders.Update(args.Holder, "announced")
	*reply, _ = o.Holders.Of(args.Holder.Service)
	if *reply == args.Holder {
		o.watches.recordKeepalive(o, args)
	}
	return nil
}

// Reach implements Placer.Reach: this VM, a witness, tells whether it reaches the VM at an address.
func (o *Owner) Reach(args *ReachArgs, reply *ReachReply) error {
	reply.Reached = o.reaches(args.Address, args.Answers)
	return nil
}

// reaches reports whether this VM can open a connection to an address within reachTimeout, and gets an answer in that time if
// it is asked for.
func (o *Owner) reaches(address string, answers bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout.Duration())
	defer cancel()
	err := o.Peers.Probe(ctx, address)
	return err == nil || !answers && peer.ErrUnanswered.Has(err)
}

// watches are the holders for which this VM is a standby.
type watches struct {
	mu        sync.Mutex
	byService map[route.ServiceID]*watch
}

// watch is the state of this VM as standby of one holder.
type watch struct {
	holder peer.Holder
	// first is the address of the first standby if this VM is the second one.
	first string
	// alive receives a value for each keepalive; ended is closed by the last one.
	alive chan struct{}
	ended chan struct{}
	// keptAt is when the last keepalive arrived.
	keptAt clock.Milli
}

// recordKeepalive passes a keepalive on to the watch of its holder and starts the watch if there is none.
func (ws *watches) recordKeepalive(o *Owner, args *KeepaliveArgs) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s := args.Holder.Service
	w := ws.byService[s]
	if w != nil && (args.Final || w.holder != args.Holder) {
		close(w.ended)
		delete(ws.byService, s)
		w = nil
	}
	if args.Final {
		return
	}
	if w == nil {
		w = &watch{holder: args.Holder, alive: make(chan struct{}, 1), ended: make(chan struct{})}
		ws.byService[s] = w
		go o.watchHolder(w)
	}
	w.first, w.keptAt = args.First, o.Clock.Now()
	select {
	case w.alive <- struct{}{}:
	default:
	}
}

// firstStandby returns the address of the standby before this VM, empty if there is none.
func (ws *watches) firstStandby(w *watch) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return w.first
}

// remove ends a watch and reports whether it had not been ended.
func (ws *watches) remove(w *watch) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.byService[w.holder.Service] != w {
		return false
	}
	delete(ws.byService, w.holder.Service)
	return true
}

// outdated ends a watch if its holder has a successor or sends no keepalives any more, and reports whether
// it did.
func (ws *watches) outdated(o *Owner, w *watch, now clock.Milli) bool {
	x, _ := o.Holders.Of(w.holder.Service)
	ws.mu.Lock()
	silent := now-w.keptAt >= watchTimeout
	ws.mu.Unlock()
	if x == w.holder && !silent {
		return false
	}
	ws.remove(w)
	return true
}

// watchHolder watches a holder until it is found lost, and then takes its service over, or until the
// watch ends otherwise.
func (o *Owner) watchHolder(w *watch) {
	var silence clock.Milli
	var probed <-chan verdict // the result of the probes under way; a keepalive makes it void
	t := time.NewTicker(watchStep.Duration())
	defer t.Stop()
	for last := o.Clock.Now(); ; {
		select {
		case <-w.ended:
			return
		case <-w.alive:
			silence, probed = 0, nil
		case v := <-probed:
			probed = nil
			switch {
			case v == reached:
				silence = 0
			case v == lost && len(w.alive) == 0:
				o.takeOver(w)
				return
			}
		case <-t.C:
		}
		now := o.Clock.Now()
		// What arrived while this VM itself was paused has not been read yet.
		silence += min(now-last, 2*watchStep)
		last = now
		if o.watches.outdated(o, w, now) {
			return
		}
		if probed == nil && silence >= maxSilence {
			probed = o.probeHolder(w.holder, o.watches.firstStandby(w))
		}
	}
}

// takeOver makes this VM the holder in place of one that is lost.
func (o *Owner) takeOver(w *watch) {
	if !o.watches.remove(w) {
		return
	}
	o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(w.holder.VM)).
		Msg("the holder of a service is lost; its standby becomes the holder")
	o.becomeHolder(w.holder.Service, w.holder.Epoch, "standby")
}

// verdict is the result of probing a holder.
type verdict uint8

const (
	// reached means that some VM can open a connection to the holder or to the first standby.
	reached verdict = iota
	// lost means that neither this VM nor enough witnesses can.
	lost
	// undecided means that this VM can't, and that too few witnesses have replied.
	undecided
)

// probeHolder probes a holder and the first standby, if that is another VM than this one. The result is
// sent to the returned channel.
func (o *Owner) probeHolder(x peer.Holder, first string) <-chan verdict {
	result := make(chan verdict, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout.Duration())
		defer cancel()
		witnesses := o.Holders.witnesses(x.Service, maxWitnesses)
		replies := make(chan bool, len(witnesses))
		for _, m := range witnesses {
			go o.askWitness(ctx, m, x.Address, replies)
		}
		firstReached := make(chan bool, 1)
		go func() { firstReached <- first != "" && o.reaches(first, false) }()
		if o.reaches(x.Address, false) || <-firstReached {
			result <- reached
			return
		}
		result <- judge(ctx, replies, min(neededWitnesses, len(witnesses)))
	}()
	return result
}

// judge waits for n replies of witnesses to a VM that does not reach the holder.
func judge(ctx context.Context, replies <-chan bool, n int) verdict {
	for range n {
		select {
		case ok := <-replies:
			if ok {
				return reached
			}
		case <-ctx.Done():
			return undecided
		}
	}
	return lost
}

// askWitness asks a VM whether it reaches an address and passes the reply on. It sends nothing if the
// witness does not reply.
func (o *Owner) askWitness(ctx context.Context, m peer.Member, address string, replies chan<- bool) {
	var r ReachReply
	if o.Peers.Call(ctx, m.Address, Name+".Reach", &ReachArgs{Address: address}, &r) == nil {
		replies <- r.Reached
	}
}

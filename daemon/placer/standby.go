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

// The holder of a service in use sends keepalives to one other VM, its standby. A standby that hears
// nothing has the holder probed, by itself and by witnesses, and becomes the holder if nobody gets even a
// connection. Gates alone notice a loss late: an unanswered query may be queued, a VM that is queried in
// parallel waits again for the same holder, and the VMs that rank next may be lost as well. A holder that
// is busy, throttled or stopped accepts connections: gates find out whether it answers in time.

const (
	// keepaliveEvery is the time between two keepalives.
	keepaliveEvery = 10 * clock.Milli(1)
	// keepaliveTimeout bounds one keepalive; a VM that does not answer is no standby.
	keepaliveTimeout = 80 * clock.Milli(1)
	// keepaliveIdle is how long after the last query a holder goes on sending keepalives.
	keepaliveIdle = 2 * clock.Second
	// maxStandbyTries is how many VMs are tried as standby before a pause of standbyRetry: VMs of an earlier
	// version know no keepalives.
	maxStandbyTries = 8
	standbyRetry    = clock.Second
	// watchStep is the interval in which a standby checks for how long it has heard nothing.
	watchStep = 5 * clock.Milli(1)
	// maxSilence is the silence after which a standby has the holder probed.
	maxSilence = 30 * clock.Milli(1)
	// reachTimeout is how long a connection to the holder may take: VMs are milliseconds apart, and kernels
	// accept connections for busy processes. witnessTimeout is how long a witness may take to answer.
	reachTimeout   = 25 * clock.Milli(1)
	witnessTimeout = 40 * clock.Milli(1)
	// watchTimeout is how long a standby watches a holder that can be reached but sends no keepalives: it
	// has chosen another standby.
	watchTimeout = clock.Second
	// maxWitnesses is how many other VMs probe a silent holder, and neededWitnesses how many of them must
	// have failed to reach it. Without witnesses a standby that is itself cut off would take over.
	maxWitnesses    = 3
	neededWitnesses = 2
)

// KeepaliveArgs tells a standby that the holder of a service is alive.
type KeepaliveArgs struct {
	Holder peer.Holder
	// Final is set if no further keepalive follows.
	Final bool
}

// ReachArgs asks a witness whether it reaches the VM at an address.
type ReachArgs struct{ Address string }

// ReachReply tells whether a VM reaches another one.
type ReachReply struct{ Reached bool }

// keepStandby starts to send keepalives if this VM holds the service and does not send any yet. The
// pool's lock is held.
func (o *Owner) keepStandby(s route.ServiceID, p *ownedPool) {
	x, ok := o.Holders.Of(s)
	if p.hasStandby || !ok || !o.Holders.Holds(s) {
		return
	}
	p.hasStandby = true
	go o.sendKeepalives(x, p)
}

// sendKeepalives sends keepalives to one standby after the other, each for as long as it answers, until
// this VM no longer holds the service or the service is no longer in use.
func (o *Owner) sendKeepalives(x peer.Holder, p *ownedPool) {
	failed := map[peer.VM]bool{}
	for {
		if len(failed) == maxStandbyTries {
			clear(failed)
			time.Sleep(standbyRetry.Duration())
		}
		to, ok := o.Holders.standby(x.Service, failed)
		if !ok {
			time.Sleep(standbyRetry.Duration())
			clear(failed)
		}
		for ok && o.inUse(x, p) {
			if o.sendKeepalive(to, KeepaliveArgs{Holder: x}) != nil {
				failed[to.VM] = true
				break
			}
			time.Sleep(keepaliveEvery.Duration())
		}
		if o.endKeepalives(x, p) {
			if ok {
				_ = o.sendKeepalive(to, KeepaliveArgs{Holder: x, Final: true}) // its watch ends without it, too
			}
			return
		}
	}
}

// inUse reports whether this VM is still the holder x and gates query it.
func (o *Owner) inUse(x peer.Holder, p *ownedPool) bool {
	if known, _ := o.Holders.Of(x.Service); known != x {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return o.Clock.Now()-p.lastAsk < keepaliveIdle
}

// endKeepalives reports whether keepalives end, and records it.
func (o *Owner) endKeepalives(x peer.Holder, p *ownedPool) bool {
	if o.inUse(x, p) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasStandby = false
	return true
}

// sendKeepalive sends one keepalive. The standby's answer names the holder that it knows.
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
		o.watches.heard(o, args)
	}
	return nil
}

// Reach implements Placer.Reach: this VM tells whether it reaches the VM at an address.
func (o *Owner) Reach(args *ReachArgs, reply *ReachReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout.Duration())
	defer cancel()
	reply.Reached = o.reaches(ctx, args.Address)
	return nil
}

// reaches reports whether this VM can open a connection to the VM at an address before ctx ends.
func (o *Owner) reaches(ctx context.Context, address string) bool {
	err := o.Peers.Probe(ctx, address)
	return err == nil || peer.ErrUnanswered.Has(err)
}

// watches has the holders whose standby this VM is.
type watches struct {
	mu        sync.Mutex
	byService map[route.ServiceID]*watch
}

// watch observes the keepalives of one holder.
type watch struct {
	holder peer.Holder
	// alive receives a value for each keepalive; ended is closed by the last one.
	alive chan struct{}
	ended chan struct{}
	// keptAt is when the last keepalive arrived.
	keptAt clock.Milli
}

// heard passes a keepalive on to the watch of its holder, which it starts if there is none.
func (ws *watches) heard(o *Owner, args *KeepaliveArgs) {
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
	w.keptAt = o.Clock.Now()
	select {
	case w.alive <- struct{}{}:
	default:
	}
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
	var lost <-chan bool // the result of the probes under way; a keepalive makes it void
	t := time.NewTicker(watchStep.Duration())
	defer t.Stop()
	for last := o.Clock.Now(); ; {
		select {
		case <-w.ended:
			return
		case <-w.alive:
			silence, lost = 0, nil
		case yes := <-lost:
			if yes && len(w.alive) == 0 {
				o.succeed(w)
				return
			}
			silence, lost = 0, nil
		case <-t.C:
		}
		now := o.Clock.Now()
		// What arrived while this VM itself was paused has not been read yet.
		silence += min(now-last, 2*watchStep)
		last = now
		if o.watches.outdated(o, w, now) {
			return
		}
		if lost == nil && silence >= maxSilence {
			lost = o.probeHolder(w.holder)
		}
	}
}

// succeed makes this VM the holder in place of one that is lost.
func (o *Owner) succeed(w *watch) {
	if !o.watches.remove(w) {
		return
	}
	o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(w.holder.VM)).
		Msg("the holder of a service is lost; its standby becomes the holder")
	o.becomeHolder(w.holder.Service, w.holder.Epoch, "standby")
}

// probeHolder has a holder probed by this VM and by witnesses. The channel receives true if it is lost:
// neither this VM nor enough witnesses reach it.
func (o *Owner) probeHolder(x peer.Holder) <-chan bool {
	lost := make(chan bool, 1)
	go func() {
		witnesses := o.Holders.witnesses(x.Service, maxWitnesses)
		replies := make(chan ReachReply, len(witnesses))
		args := &ReachArgs{Address: x.Address}
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout.Duration())
		defer cancel()
		for _, m := range witnesses {
			go o.askWitness(ctx, m, args, replies)
		}
		own := ReachReply{}
		_ = o.Reach(args, &own) // Reach returns no errors
		if own.Reached {
			lost <- false
			return
		}
		for range min(neededWitnesses, len(witnesses)) {
			select {
			case r := <-replies:
				if r.Reached {
					lost <- false
					return
				}
			case <-ctx.Done():
				lost <- false
				return
			}
		}
		lost <- true
	}()
	return lost
}

// askWitness asks a witness and passes its reply on, if there is one.
func (o *Owner) askWitness(ctx context.Context, m peer.Member, args *ReachArgs, replies chan<- ReachReply) {
	var r ReachReply
	if o.Peers.Call(ctx, m.Address, Name+".Reach", args, &r) == nil {
		replies <- r
	}
}

package pool

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// maxNamedQueued bounds the queued requests that an answer to Where names.
const maxNamedQueued = 5

// Where tells what would become of a request now. It decides on a copy of the pool's state, so nothing changes here: neither is
// the pool opened, nor the request queued, nor anything recorded. Peers call it as Pool.Where.
func (o *Owner) Where(args peer.WhereArgs, reply *peer.WhereReply) error {
	now := o.clock.Now()
	x, ok := o.copyScheduler(now, &args, reply)
	if !ok {
		reply.Fault = peer.NewFault(handingOverFault())
		return nil
	}
	if f := o.DocumentAge; f != nil {
		reply.DocumentAge = f()
	}
	if f := o.CrashesElsewhere; f != nil {
		x.LearnCrashes(now, f(args.Pool))
	}
	if args.Queued != "" {
		reply.Waiting = x.QueuedIDs(maxNamedQueued)
		reply.Explanation, reply.Found = x.ExplainQueued(now, args.Queued)
		return nil
	}
	r := args.Request
	r.Deadline = now + args.Left
	reply.Explanation, reply.Found = x.Explain(now, r), true
	return nil
}

// copyScheduler returns a copy of the scheduler of a pool, or the one with which the first call would open the pool. It returns
// false if the pool is handed over.
func (o *Owner) copyScheduler(now clock.Milli, args *peer.WhereArgs, reply *peer.WhereReply) (*decide.Pool, bool) {
	o.mu.Lock()
	p, handedOver, epoch := o.pools[args.Pool], o.handedOver, o.epoch
	o.mu.Unlock()
	if p == nil {
		return o.newCopy(now, args.Pool, epoch+1), !handedOver
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handedOver {
		return nil, false
	}
	reply.Epoch = p.epoch
	for id := range p.upstreams {
		if r, ok := p.reports[id]; ok {
			reply.ReportAge = max(reply.ReportAge, now-r.At)
		}
	}
	return p.scheduler.Copy(args.Request.Prefixes...), true
}

// newCopy returns the scheduler of a pool that is opened now.
func (o *Owner) newCopy(now clock.Milli, id peer.PoolID, epoch decide.Epoch) *decide.Pool {
	p := &Pool{id: id, owner: o, scheduler: newScheduler(epoch)}
	if c, ok := o.registry.Index(); ok {
		p.applyIndex(now, c)
		p.scheduler.Tick(now)
	}
	return p.scheduler
}

package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

const (
	// waitFactor scales the estimated queueing time. Later arrivals of more urgent kinds and of
	// other workspaces are served before a queued request; without a margin each of them would turn
	// an admitted request into a missed deadline.
	waitFactor = 2
	// sharingFactor scales the estimated service time to allow for other requests in the same batch
	// of the engine.
	sharingFactor = 1.35
	// promisedShare is the part of a lane's smoothed rate that one workspace may count on. The
	// capacity that the other workspaces leave over is a small difference of two large rates, so it
	// fluctuates by as much as either of them.
	promisedShare = 0.7
	// maxUrgentShare bounds the share of capacity that more urgent work is assumed to consume.
	maxUrgentShare = 0.9
	// minRetry and maxRetry bound the retry time returned with a refusal: a shorter one would cause
	// a busy loop, a longer one would outlast any burst.
	minRetry clock.Milli = 100
	maxRetry             = clock.Minute
	// noUpstreamRetry is the retry time returned by a pool without usable upstreams.
	noUpstreamRetry = 2 * clock.Second

	expiredKind = fault.Expired
)

// admit admits or refuses every request submitted since the last tick, in order of arrival.
func (p *Pool) admit(now clock.Milli) {
	for i := range p.arrivals {
		p.admitOne(now, &p.arrivals[i])
	}
	clear(p.arrivals)
	p.arrivals = p.arrivals[:0]
}

// admitOne admits or refuses one request. When more work is offered than the pool can finish,
// unlimited queueing would make every answer late. Refusing at once, with an accurate retry time,
// lets the client do something else meanwhile.
func (p *Pool) admitOne(now clock.Milli, r *Request) {
	if g := p.live[r.ID]; g != nil {
		g.Gate = r.Gate
		p.granted(g)
		return
	}
	if w := p.queued[r.ID]; w != nil {
		w.Gate = r.Gate
		return
	}
	if p.crashes.count(now, r.Fingerprint) >= maxCrashes {
		p.refuse(r.ID, r.Gate, fault.Quarantined, 0)
		return
	}
	if j := p.parts.Judge(now, r.sharedParts()); j.Verdict == blame.Refused {
		p.refuse(r.ID, r.Gate, fault.Quarantined, j.Retry)
		return
	}
	if p.boundaries.accepting == 0 || p.allAvoided(r) {
		p.refuse(r.ID, r.Gate, fault.Unavailable, noUpstreamRetry)
		return
	}
	if !p.fits(r.Prompt + r.Output) {
		p.refuse(r.ID, r.Gate, fault.Oversize, 0)
		return
	}
	w := p.newWaitingRow()
	p.estimate(now, w, r)
	p.demand.offer(w)
	late := p.lateness(now, w)
	if late > 0 || w.latestStart <= now {
		p.refuse(r.ID, r.Gate, fault.Overloaded, p.retryAfter(now, w, late))
		*w = waiting{}
		p.spareWaiting = append(p.spareWaiting, w)
		return
	}
	p.demand.admit(w)
	p.queued[w.ID] = w
	p.enqueue(w)
}

// allAvoided reports whether a retry has already failed on every upstream that accepts work here.
//
// In a small pool with one faulty engine such a retry would queue for an upstream that it may not
// use until its deadline passes, while the same model is idle in another failure domain. After a
// refusal the gate asks there.
func (p *Pool) allAvoided(r *Request) bool {
	if len(r.Avoid) == 0 {
		return false
	}
	for _, u := range p.upstreams {
		if !u.removed && !u.leaving() && !avoided(r.Avoid, u.spec.ID) {
			return false
		}
	}
	return true
}

// fits reports whether a request of need tokens fits one engine or a group of all engines.
func (p *Pool) fits(need Tokens) bool { return need <= p.totalMemory }

func (p *Pool) newWaitingRow() *waiting {
	if n := len(p.spareWaiting); n > 0 {
		w := p.spareWaiting[n-1]
		p.spareWaiting = p.spareWaiting[:n-1]
		return w
	}
	return &waiting{}
}

// estimate fills a row with the cost of the request on an idle upstream.
func (p *Pool) estimate(now clock.Milli, w *waiting, r *Request) {
	w.Request, w.shared = *r, r.sharedParts()
	w.Suspect = w.Suspect || p.crashes.count(now, r.Fingerprint) > 0
	w.queuedAt = now
	w.flow = p.flow(r)
	w.work = float64(r.Prompt) / (p.prefill * p.meanSpeed)
	w.serviceTime = w.work + float64(r.Output)/p.decode
	w.latestStart = r.Deadline - clock.Milli(w.serviceTime*sharingFactor)
}

// lateness is the time by which the request is expected to miss its deadline; zero or less if it
// meets the deadline.
func (p *Pool) lateness(now clock.Milli, w *waiting) clock.Milli {
	start := now + clock.Milli(p.queueWait(w.flow)*waitFactor)
	return start - w.latestStart
}

// queueWait estimates in milliseconds how long a new request of a flow will queue. It is the larger
// of two estimates:
//
// The first is all work ahead (prefill granted but not done, more urgent queued work and the part
// of the lane served first) over the rate of the whole side, less the share of more urgent
// arrivals.
//
// The second is the granted and more urgent work over the upstreams of the side, plus the part of
// the lane served first at the recent rate of the lane.
//
// The part of the lane served first is the queue of the workspace scaled up by its fair share, so a
// workspace that floods the lane lengthens only its own wait. Waits for memory and for slots are
// lower bounds.
func (p *Pool) queueWait(f *flow) float64 {
	l := f.lane
	servers := p.servers(l)
	ahead := p.pendingPrefill[sideOf(l.long)]
	if l.urgency == 0 && !l.long {
		ahead = 0 // engines prefill urgent prompts first
	}
	for _, o := range p.lanes {
		if o.urgency < l.urgency && o.long == l.long {
			ahead += o.work
		}
	}
	share := l.workAhead(f)
	rate, sideRate := l.rate, p.demand.servedRate[sideOf(l.long)]
	if rate == 0 {
		rate, sideRate = servers, servers
	}
	wait := max((ahead+share)/sideRate/(1-p.demand.moreUrgentShare(l, sideRate)), ahead/servers+share/rate)
	if f.work > 0 {
		wait = max(wait, f.work/l.guaranteedRate(f))
	}
	if l.long {
		wait = max(wait, p.memoryWait(f))
	}
	return max(wait, p.slotWait(l))
}

// guaranteedRate is the part of the lane's rate that a workspace can count on: its fair share, or
// what the other workspaces leave over if that is more. An estimate from the current queue alone
// would promise the whole pool to a flooding workspace in a moment between two requests of the
// others.
func (l *lane) guaranteedRate(f *flow) float64 {
	weight := f.workspace.spec.Weight
	fair := l.rate * weight / max(l.activeWeight, weight)
	leftover := promisedShare*l.rate - max(l.admittedRate-f.admittedRate, 0)
	return max(fair, leftover, minRate)
}

// slotWait is the wait for a slot, the resource that limits plain services: the number of requests
// ahead that find no free slot, times the usual duration of an answer, over the number of slots.
func (p *Pool) slotWait(l *lane) float64 {
	ahead := len(p.live) + 1
	for _, o := range p.lanes {
		if o.urgency <= l.urgency {
			ahead += o.count
		}
	}
	return float64(max(ahead-p.slots, 0)) * p.answerTime / float64(max(p.slots, 1))
}

// workAhead is the work of the lane that is served before a new request of f.
func (l *lane) workAhead(f *flow) float64 {
	weight := l.weight
	if f.heapIndex < 0 {
		weight += f.workspace.spec.Weight
	}
	return min(f.work*weight/f.workspace.spec.Weight, l.work)
}

// memoryWait is the wait for KV memory, which limits long prompts before prefill does: the memory
// of running and queued long requests times the time for which they occupy it, over the memory of
// the pool.
func (p *Pool) memoryWait(f *flow) float64 {
	if p.totalMemory >= unlimitedMemory || p.totalMemory == 0 {
		return 0
	}
	occupied := p.longMemoryTime + f.lane.memoryTime
	return occupied / (memoryUtilization * float64(p.totalMemory))
}

// memoryUtilization is the share of KV memory that long prompts fill in practice.
const memoryUtilization = 0.6

// retryAfter is the time after which a refused request would be admitted if it came back with the
// same time allowed. It is the time to work off three amounts: the lateness of this request, the
// work refused recently, and one request of this size, since queues shorten in whole requests.
// Without the second amount all requests refused in a burst would come back at the same time and be
// refused again.
func (p *Pool) retryAfter(now clock.Milli, w *waiting, late clock.Milli) clock.Milli {
	l := w.flow.lane
	rate := max(min(l.rate, p.servers(l)), minRate)
	if l.rate == 0 {
		rate = p.servers(l)
	}
	l.refusedWork = max(l.refusedWork-rate*float64(now-l.refusedAt), 0)
	l.refusedAt = now
	l.refusedWork += w.work
	wait := float64(max(late, 0))/waitFactor + (w.work+l.refusedWork)/rate
	return min(max(clock.Milli(wait), minRetry), maxRetry)
}

func (p *Pool) refuse(id RequestID, gate GateID, k fault.Kind, retry clock.Milli) {
	p.decisions = append(p.decisions, Decision{Action: Refused, Request: id, Gate: gate, Fault: k, Retry: retry})
}

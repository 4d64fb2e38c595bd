package span

import (
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/share"
)

// This file applies the shares of workspaces (package share) to the queue, if they are enabled: the
// account orders requests of the same rank while some wait, a workspace beyond its share leaves the
// last free slots to others, and a workspace within its share is not refused because of what others
// have waiting.

// SetShares divides scarce capacity among workspaces. It must be called before the first request.
func (p *Pool) SetShares(s share.Settings) {
	if s.Enabled {
		p.shares = share.New(s.Weights)
	}
}

// Shares returns the usage of workspaces; nil if shares are not enabled.
func (p *Pool) Shares() []share.Usage {
	if p.shares == nil {
		return nil
	}
	usages := p.shares.Usages()
	if len(p.queue) == 0 {
		for i := range usages {
			usages[i].Lag = 0 // a scan of an empty queue does not update the account
		}
	}
	return usages
}

// orderByShares reorders requests that have the same rank in the queue. While no request was left
// waiting by an earlier scan, there is capacity for all, and the order stays as it is.
func (p *Pool) orderByShares(now clock.Milli, ws []*queuedRequest) {
	if p.shares == nil {
		return
	}
	waiting := make([]decide.WorkspaceID, 0, len(ws))
	for _, w := range ws {
		waiting = append(waiting, w.Workspace)
	}
	p.shares.Update(now, waiting)
	if !slices.ContainsFunc(ws, func(w *queuedRequest) bool { return w.passedOver }) {
		return
	}
	for from := 0; from < len(ws); {
		to := from + 1
		for to < len(ws) && ws[from].sameRank(ws[to], now) {
			to++
		}
		if ws[from].begunRank() > 0 {
			share.Order(p.shares, ws[from:to], (*queuedRequest).predicted)
		}
		from = to
	}
}

// sameRank reports whether only the shares of workspaces decide which of two requests goes first.
func (w *queuedRequest) sameRank(x *queuedRequest, now clock.Milli) bool {
	return w.begunRank() == x.begunRank() && w.Urgency == x.Urgency && w.class(now) == x.class(now) && w.bookedRank(now) == x.bookedRank(now)
}

// predicted returns the workspace of a request and the tokens that it is charged.
func (w *queuedRequest) predicted() (decide.WorkspaceID, decide.Tokens) {
	return w.Workspace, share.Predicted(w.Prompt, w.Likely, w.Output)
}

// chargeShare charges the workspace of a granted request. Later sends of the same request are not
// charged: they replace one that an upstream failed.
func (p *Pool) chargeShare(now clock.Milli, a *Ask) {
	if p.shares == nil || a.Again || a.Counted {
		return
	}
	p.shares.Charge(now, a.Workspace, share.Predicted(a.Prompt, a.Likely, a.Output))
}

// chargePresented charges the workspace of a grant that another owner made. Gates of earlier versions
// do not name it.
func (p *Pool) chargePresented(now clock.Milli, g *Grant) {
	if p.shares == nil || g.Workspace == "" {
		return
	}
	p.shares.ChargePresented(now, g.Workspace, share.Predicted(g.Prompt, g.Likely, g.Output))
}

// snapshotShares returns the account for the next owner; nil if shares are not enabled.
func (p *Pool) snapshotShares(now clock.Milli) *share.Snapshot {
	if p.shares == nil {
		return nil
	}
	s := p.shares.Snapshot(now)
	return &s
}

// restoreShares continues the account of the previous owner, if that had one.
func (p *Pool) restoreShares(now clock.Milli, s *share.Snapshot) {
	if p.shares != nil && s != nil {
		p.shares.Restore(now, *s)
	}
}

// noteWaiting records that a request stays queued.
func (o *round) noteWaiting(w *queuedRequest) {
	w.passedOver = true
	if o.pool.shares == nil {
		return
	}
	if o.waiting == nil {
		o.waiting = map[decide.WorkspaceID]decide.Tokens{}
	}
	id, tokens := w.predicted()
	o.waiting[id] += tokens
}

// servedByShare reports whether a request must not be refused for overload: its workspace is within
// its share, and at the rate of that share the request is served in time to be of use, after what
// its own workspace has waiting ahead of it. What other workspaces have waiting does not count. While
// only one workspace waits, all refusals are as without shares.
func (o *round) servedByShare(w *queuedRequest) bool {
	a := o.pool.shares
	if a == nil || !a.Contended() || a.Exceeds(w.Workspace) {
		return false
	}
	id, tokens := w.predicted()
	wait := a.Wait(id, o.waiting[id]+tokens)
	return float64(w.latestFirst-o.now) > wait+w.groupPrefillTime
}

// noteArrival records a new request in the demand of its workspace. It can wait for as long as it
// would be in time on an engine without other prefills.
func (p *Pool) noteArrival(now clock.Milli, w *queuedRequest) {
	if p.shares != nil && !w.Again {
		p.shares.Arrive(now, w.Workspace, float64(w.Aim-now)-startDelay-w.groupPrefillTime-firstPassTime)
	}
}

// noteFreed records that the slot of a grant became free.
func (p *Pool) noteFreed(now clock.Milli) {
	if p.shares != nil {
		p.shares.Free(now)
	}
}

// ReservedSlots returns the number of free slots that workspaces beyond their shares leave to others
// now; zero if shares are not enabled.
func (p *Pool) ReservedSlots() int {
	if p.shares == nil || len(p.queue) == 0 {
		return 0 // a scan of an empty queue does not update the account
	}
	return p.shares.Reserve()
}

// leavesReserve reports whether a request leaves the remaining free slots to workspaces within their
// shares. Requests that have begun and retries with a booking do not wait for fairness. While loads
// are unverified, the number of free slots is not known.
func (o *round) leavesReserve(w *queuedRequest) bool {
	a := o.pool.shares
	if a == nil || w.Begun || w.booked || o.unverified {
		return false
	}
	n := a.Reserved(w.Workspace)
	return n > 0 && o.countFree() <= min(n, o.maxReserve-1)
}

// usableSlots is how many free slots of one engine count as free for the reserve. Requests that find
// more of them there wait for one prefill after the other, longer than a short request in time can.
const usableSlots = 2

// countFree returns the number of free slots that requests in time can use, on upstreams that accept
// requests.
func (o *round) countFree() int {
	if o.freeCounted {
		return o.free
	}
	o.freeCounted, o.free, o.maxReserve = true, 0, 0
	for _, r := range o.pool.packOrder {
		if r.draining() || !r.health.available(o.now) || !r.declared.limit.Allows(o.now) || r.unverified && r.engine != nil {
			continue
		}
		if r.engine == nil {
			o.free += max(0, freeStreams(r))
			o.maxReserve += max(r.Slots, 1)
			continue
		}
		o.free += min(max(0, freeStreams(r)), usableSlots)
		o.maxReserve += usableSlots
	}
	return o.free
}

// spreadFree replaces the plan of a short request while free slots are scarce because of a reserve. It
// chooses the upstream with the most free slots, so that those which remain are on many upstreams:
// a burst that finds them on one engine waits there for one prefill after the other.
func (o *round) spreadFree(w *queuedRequest, pl plan) plan {
	p := o.pool
	if p.shares == nil || pl.reason != "packed" || o.unverified {
		return pl
	}
	if n := p.shares.Reserve(); n == 0 || o.countFree() > 2*n {
		return pl
	}
	best := pl
	for _, r := range p.packOrder {
		more := freeStreams(r) > freeStreams(best.leader)
		if !more && (freeStreams(r) < freeStreams(best.leader) || r.backlog(o.now) >= best.leader.backlog(o.now)) || r.avoided(o.now) {
			continue
		}
		if first, fits := p.fitsShort(o.now, &w.Ask, r, w.prefillTime, math.MaxInt); fits {
			best = plan{leader: r, partPrefill: w.prefillTime, first: first, reason: pl.reason}
		}
	}
	return best
}

// freeStreams returns how many more streams an upstream has slots for.
func freeStreams(r *upstreamState) int { return max(r.Slots, 1) - r.streams - r.external }

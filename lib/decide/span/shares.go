package span

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/share"
)

// This file applies the shares of workspaces (package share) to the queue, if they are enabled: the
// account orders requests of the same rank while some wait, and a workspace within its share is not
// refused because of what others have waiting.

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

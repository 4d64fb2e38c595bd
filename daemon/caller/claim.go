package caller

import (
	"context"
	"time"

	"github.com/google/uuid"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Limits of claims.
const (
	// claimTimeout bounds the wait for a claim. A store that answers in
	// milliseconds needs no more; in an outage the caller is told at once.
	claimTimeout = 1500 * time.Millisecond
	// settleTimeout bounds the note of how a claimed request ended.
	settleTimeout = 5 * time.Second
	// storeRetry is when to come back after the store did not answer, in milliseconds.
	storeRetry = 5000
)

// claim wins the right to send a request that must not be repeated, or tells why not.
//
// The harm: the same key reaches two daemons, or a daemon dies and its caller
// asks again, and two SMS notices go out. The claim is written to the store
// before the first byte goes to an upstream; only a write that is proved to
// stand allows the dispatch. A claim is never taken over, so a holder that
// stood still for an hour still is the only one that may send.
func (g *Gate) claim(ctx context.Context, q *request) *fault.Error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t, r := g.Claims.Claim(ctx, decide.WorkspaceID(q.workspace.Name), q.key, uuid.NewString())
	q.ticket = &t
	switch r.State {
	case peer.ClaimWon:
		g.note(q, timeline.Claimed, "", "")
		return nil
	case peer.ClaimDone:
		q.replay = &r
		return fault.New(fault.Duplicate, "a request with this key was answered before").WithRan(fault.RanYes)
	case peer.ClaimTaken:
		return fault.New(fault.Duplicate, "a request with this key is in work, or its end is not known")
	case peer.ClaimUnknown:
		// The write may stand or still arrive; free the key once the store answers again.
		g.unclaim(q, true)
	}
	return fault.New(fault.Unavailable, "the key could not be claimed, so this request was not sent; an earlier one with the same key may have run: repeat it under the same key").WithRan(fault.RanNo).WithKey(fault.KeyUnknown).WithRetry(storeRetry)
}

// unclaim frees the key of a request that was claimed and proved not sent, so
// that the caller may send it again.
func (g *Gate) unclaim(q *request, claimed bool) {
	if !claimed {
		return
	}
	t := *q.ticket
	g.later(func(ctx context.Context) error { return g.Claims.Release(ctx, t) })
}

// answered notes that a claimed request has its whole answer, and keeps a short one.
//
// Of a stream nothing is kept, and nil says so: kept as it is, a repeat of the key
// would be answered with success and an empty body, which reads like a notice
// without a word. Status zero makes the repeat a refusal that says it ran.
func (g *Gate) answered(q *request, status int, answer []byte) {
	if q.ticket == nil {
		return
	}
	if answer == nil {
		status = 0
	}
	t := *q.ticket
	g.note(q, timeline.Settled, "", "")
	g.later(func(ctx context.Context) error { return g.Claims.Settle(ctx, t, status, answer) })
}

// later records the end of a claim beside the answer to the caller.
func (g *Gate) later(f func(ctx context.Context) error) {
	g.background("claim", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			g.Log.Warn().Err(err).Msg("the end of a claim is not recorded; a repeat of its key will be refused")
		}
	})
}

// WaitBackground waits until the ends of all claims are recorded, grants returned and engines told, or
// each was given up. It is called when no request is in work any more.
func (g *Gate) WaitBackground() { g.settling.Wait() }

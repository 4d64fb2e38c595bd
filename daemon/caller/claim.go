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

// Time limits of claims.
const (
	// claimTimeout bounds the wait for a claim. A healthy store answers within milliseconds, and
	// during an outage the client gets its refusal soon.
	claimTimeout = 1500 * time.Millisecond
	// settleTimeout bounds the write that records how a claimed request ended.
	settleTimeout = 5 * time.Second
	// storeRetryAfterMillis is the retry time in milliseconds that a client gets if the store did
	// not answer.
	storeRetryAfterMillis = 5000
)

// claim obtains the right to send a non-repeatable request. It returns the reason if the claim was
// not won.
//
// Without a claim the same text message could be sent twice, when the key of its request reaches
// two VMs, or when a VM crashes and the client retries. The claim is written to the store before the first byte goes to
// an upstream, and only a confirmed write permits sending. A claim never passes to another request,
// so the winner remains the only one that may send, even if its process was paused for an hour.
func (g *Gate) claim(ctx context.Context, q *request) *fault.Error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t, r := g.Claims.Claim(ctx, decide.WorkspaceID(q.workspace.Name), q.idempotencyKey, uuid.NewString())
	q.ticket = &t
	switch r.State {
	case peer.ClaimWon:
		g.recordEvent(q, timeline.Claimed, "", "")
		return nil
	case peer.ClaimDone:
		q.stored = &r
		return fault.New(fault.Duplicate, "a request with this key was answered before").WithRan(fault.RanYes)
	case peer.ClaimTaken:
		return fault.New(fault.Duplicate, "a request with this key is in work, or its end is not known")
	case peer.ClaimUnknown:
		// The write may have succeeded or may still do so. Free the key once the store answers
		// again.
		g.releaseClaim(q, true)
	}
	return fault.New(fault.Unavailable, "the key could not be claimed, so this request was not sent; an earlier one with the same key may have run: repeat it under the same key").WithRan(fault.RanNo).WithKey(fault.KeyUnknown).WithRetry(storeRetryAfterMillis)
}

// releaseClaim frees the key of a claimed request that was certainly not sent, so that the client
// may send the request again.
func (g *Gate) releaseClaim(q *request, claimed bool) {
	if !claimed {
		return
	}
	t := *q.ticket
	g.recordClaimEnd(func(ctx context.Context) error { return g.Claims.Release(ctx, t) })
}

// settleClaim records that a claimed request got its complete response, and stores the response if
// it is short.
//
// The body of a stream is nil, since streams are not stored, and is recorded with status zero. A
// repeat of the key is then refused with the information that the request ran. Status 200 would
// make the repeat succeed with an empty body, which the client would take for an empty text.
func (g *Gate) settleClaim(q *request, status int, body []byte) {
	if q.ticket == nil {
		return
	}
	if body == nil {
		status = 0
	}
	t := *q.ticket
	g.recordEvent(q, timeline.Settled, "", "")
	g.recordClaimEnd(func(ctx context.Context) error { return g.Claims.Settle(ctx, t, status, body) })
}

// recordClaimEnd records the end of a claim in the background, while the response goes to the
// client.
func (g *Gate) recordClaimEnd(f func(ctx context.Context) error) {
	g.background("claim", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			g.Log.Warn().Err(err).Msg("end of claim not recorded; repeats of its key will be refused")
		}
	})
}

// WaitBackground waits until the background work of all requests has finished or timed out:
// recording the ends of claims, returning grants and canceling at engines. Call it when no request
// is in progress any more.
func (g *Gate) WaitBackground() { g.pending.Wait() }

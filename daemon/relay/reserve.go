package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Times for reserved memory.
const (
	// reserveHold is how long an engine keeps reserved memory without a renewal. A VM that
	// loses power cannot release its reservations, and engines require reserved memory
	// to be released within four seconds after the last request that used it.
	reserveHold = 2500 * clock.Milli(1)
	// renewInterval is short enough that the reservation survives one lost renewal.
	renewInterval = time.Second
	// reserveTimeout bounds one call to reserve or release; an engine responds within milliseconds.
	reserveTimeout = 250 * time.Millisecond
)

// reservation is KV memory reserved on the helpers of one send. Helpers are the engines that
// compute parts of the prefill for the leader of a group.
type reservation struct {
	gate    *Gate
	id      string
	service route.ServiceID
	parts   []helperMemory
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// helperMemory is the memory reserved on one helper.
type helperMemory struct {
	place  span.Placement
	ticket string
}

// reserve reserves memory on the helpers that must store a part of the prompt, on all of them or
// on none. If a helper failed, it returns the result of the send.
func (x *request) reserve(ctx context.Context, grant span.Grant) (*reservation, *result) {
	r := &reservation{gate: x.gate, id: x.head.ID, service: x.service, stop: func() {}}
	for i, p := range grant.Helpers {
		if p.Reserve > 0 {
			r.parts = append(r.parts, helperMemory{p, ticket(grant.Request, i)})
		}
	}
	if len(r.parts) == 0 {
		return r, nil
	}
	if culprit, err := r.reserveAll(ctx); err != nil {
		r.free()
		res := &result{verdict: notRun, outcome: span.Full, err: errReserve, culprit: culprit}
		if dial.ErrNoPath.Has(err) {
			*res = noPath(err)
			res.culprit = culprit
		}
		return r, res
	}
	work, stop := context.WithCancel(ctx)
	r.stop = stop
	r.done.Go(func() { r.renew(work) })
	return r, nil
}

// reserveAll reserves or renews the memory of all helpers concurrently. It returns the id of a
// helper that failed and its error.
func (r *reservation) reserveAll(ctx context.Context) (decide.UpstreamID, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var g errgroup.Group
	failed := make([]error, len(r.parts))
	for i, h := range r.parts {
		g.Go(func() error {
			answer, err := r.gate.Memory.Reserve(ctx, h.place.Address, h.ticket, h.place.Reserve, reserveHold)
			r.gate.reportStatements(r.service, h.place, &answer.Declared)
			if err == nil && !answer.Accepted {
				err = errReserve
			}
			if err != nil {
				failed[i] = err
				r.gate.Log.Warn().Str(logline.Key, logline.Reserve).Str("id", r.id).Str("upstream", string(h.place.Upstream)).
					Int64("tokens", int64(h.place.Reserve)).Err(err).Msg("reserving KV memory on a helper failed")
			}
			return err
		})
	}
	_ = g.Wait() // each failure is logged above
	if i := slices.IndexFunc(failed, func(err error) bool { return err != nil }); i >= 0 {
		return r.parts[i].place.Upstream, failed[i]
	}
	return "", nil
}

// renew extends the reservations until the send ends.
func (r *reservation) renew(ctx context.Context) {
	// An engine that refuses a renewal also cuts off the request, so the send fails by itself.
	guard.Every(ctx, renewInterval, func() { _, _ = r.reserveAll(ctx) }) // failures are logged
}

// free releases the memory in the background, so that the client does not wait. It first waits
// until renewals have stopped: a renewal after the release would reserve the memory again.
func (r *reservation) free() {
	r.stop()
	if len(r.parts) == 0 {
		return
	}
	go func() {
		r.done.Wait()
		for _, h := range r.parts {
			r.release(h)
		}
	}()
}

func (r *reservation) release(h helperMemory) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	declared, err := r.gate.Memory.Release(ctx, h.place.Address, h.ticket)
	r.gate.reportStatements(r.service, h.place, &declared)
	if err != nil {
		r.gate.Log.Warn().Str(logline.Key, logline.Release).Str("id", r.id).Str("upstream", string(h.place.Upstream)).
			Str("ticket", h.ticket).Err(err).Msg("releasing reserved KV memory failed; the reservation expires by itself")
	}
}

// helpers returns the engines that compute parts of the prefill.
func (r *reservation) helpers(grant span.Grant) []exchange.Helper {
	hs := make([]exchange.Helper, len(grant.Helpers))
	for i, p := range grant.Helpers {
		hs[i].Address = p.Address
		for _, h := range r.parts {
			if h.place.Upstream == p.Upstream {
				hs[i].Ticket = h.ticket
			}
		}
	}
	return hs
}

// ticket returns the name of the reservation on the i-th helper of a grant: the request id with
// "/", "#" and "," replaced, and a letter for the helper.
func ticket(id decide.RequestID, i int) string {
	return strings.NewReplacer("/", "-", "#", "-", ",", "-").Replace(string(id)) + "-" + string(rune('a'+i))
}

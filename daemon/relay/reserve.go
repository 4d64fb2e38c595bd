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
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Times of reserved memory.
const (
	// reserveHold is how long an engine keeps memory without a renewal. A VM that loses
	// power cannot free what it reserved; engines want it back within four
	// seconds after the last request that used it.
	reserveHold = 2500 * clock.Milli(1)
	// renewEvery leaves room for one lost renewal.
	renewEvery = time.Second
	// reserveTimeout bounds an order; an engine answers within milliseconds.
	reserveTimeout = 250 * time.Millisecond
)

// reservation is KV memory that helpers hold for one send.
type reservation struct {
	gate    *Gate
	id      string
	service route.ServiceID
	held    []held
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// held is memory at one helper.
type held struct {
	place  span.Placement
	ticket string
}

// reserve sets memory aside on the helpers that must hold a part of the prompt,
// on all of them or on none. If one of them does not give it, it is named.
func (x *flight) reserve(ctx context.Context, grant span.Grant) (*reservation, decide.UpstreamID) {
	r := &reservation{gate: x.gate, id: x.head.ID, service: x.service, stop: func() {}}
	for i, p := range grant.Helpers {
		if p.Reserve > 0 {
			r.held = append(r.held, held{p, ticket(grant.Request, i)})
		}
	}
	if len(r.held) == 0 {
		return r, ""
	}
	if culprit := r.all(ctx); culprit != "" {
		r.free()
		return r, culprit
	}
	work, stop := context.WithCancel(ctx)
	r.stop = stop
	r.done.Go(func() { r.renew(work) })
	return r, ""
}

// all orders all memory at once, and names a helper that did not give it.
func (r *reservation) all(ctx context.Context) decide.UpstreamID {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var g errgroup.Group
	failed := make([]bool, len(r.held))
	for i, h := range r.held {
		g.Go(func() error {
			answer, err := r.gate.Memory.Reserve(ctx, h.place.Address, h.ticket, h.place.Reserve, reserveHold)
			r.gate.hear(r.service, h.place, &answer.Declared)
			if err == nil && !answer.Accepted {
				err = errReserve
			}
			if err != nil {
				failed[i] = true
				r.gate.Log.Warn().Str(logline.Key, logline.Reserve).Str("id", r.id).Str("upstream", string(h.place.Upstream)).
					Int64("tokens", int64(h.place.Reserve)).Err(err).Msg("no memory reserved")
			}
			return err
		})
	}
	_ = g.Wait() // each failure is logged
	if i := slices.Index(failed, true); i >= 0 {
		return r.held[i].place.Upstream
	}
	return ""
}

// renew keeps the memory until the send is over.
func (r *reservation) renew(ctx context.Context) {
	// An engine that refuses a renewal cuts the request off, which the send notices.
	guard.Every(ctx, renewEvery, func() { r.all(ctx) })
}

// free gives the memory back, without making the caller wait for it. No renewal is
// under way any more, so none can come after the release and take it again.
func (r *reservation) free() {
	r.stop()
	if len(r.held) == 0 {
		return
	}
	go func() {
		r.done.Wait()
		for _, h := range r.held {
			r.release(h)
		}
	}()
}

func (r *reservation) release(h held) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	said, err := r.gate.Memory.Release(ctx, h.place.Address, h.ticket)
	r.gate.hear(r.service, h.place, &said)
	if err != nil {
		r.gate.Log.Warn().Str(logline.Key, logline.Release).Str("id", r.id).Str("upstream", string(h.place.Upstream)).
			Str("ticket", h.ticket).Err(err).Msg("memory could not be freed; it lapses by itself")
	}
}

// helpers lists the engines that read parts of the prompt.
func (r *reservation) helpers(grant span.Grant) []exchange.Helper {
	hs := make([]exchange.Helper, len(grant.Helpers))
	for i, p := range grant.Helpers {
		hs[i].Address = p.Address
		for _, h := range r.held {
			if h.place.Upstream == p.Upstream {
				hs[i].Ticket = h.ticket
			}
		}
	}
	return hs
}

// ticket names memory for one grant.
func ticket(id decide.RequestID, i int) string {
	return strings.NewReplacer("/", "-", "#", "-", ",", "-").Replace(string(id)) + "-" + string(rune('a'+i))
}

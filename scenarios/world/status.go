package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// page reads a page of a daemon's operator address.
func (w *World) page(ctx context.Context, name, path string, into any) error {
	n, _, err := w.live(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	resp, err := w.ask(ctx, n, path)
	if err != nil {
		return err
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// responding lists the daemons that run and are not frozen.
func (w *World) responding() []string {
	var out []string
	for _, n := range w.named(roleDaemon) {
		w.mu.Lock()
		ok := n.life != nil && n.life.Running() && !n.frozen
		w.mu.Unlock()
		if ok {
			out = append(out, n.name)
		}
	}
	return out
}

// DocumentRevision is that of the document in force at a daemon.
func (w *World) DocumentRevision(ctx context.Context, name string) (uint64, error) {
	var d operator.Document
	err := w.page(ctx, name, operator.PathDocument, &d)
	return uint64(d.Revision), err
}

// DocumentInForce tells whether a daemon obeys the last document that was accepted. A
// daemon that does not answer yet is asked again; one that has a later
// revision obeys what nobody accepted.
func (w *World) DocumentInForce(ctx context.Context, name string) (bool, error) {
	r, err := w.DocumentRevision(ctx, name)
	if err != nil {
		return false, nil //nolint:nilerr // it may be starting
	}
	w.mu.Lock()
	want := w.revision
	w.mu.Unlock()
	if r > want {
		return false, fmt.Errorf("%s has revision %d, but %d was the last accepted", name, r, want)
	}
	return r == want, nil
}

// CheckDocument waits until every daemon obeys the last document that was accepted.
func (w *World) CheckDocument(ctx context.Context, within time.Duration) error {
	var errs []error
	for _, name := range w.responding() {
		errs = append(errs, Await(ctx, within, "document in force at "+name, func() (bool, error) { return w.DocumentInForce(ctx, name) }))
	}
	return errors.Join(errs...)
}

// Owner names the daemon that says it owns a pool. During a change there may be
// none or two; it waits until there is one.
func (w *World) Owner(ctx context.Context, pool string) (string, error) {
	owner := ""
	err := Await(ctx, readyLimit, "one owner of "+pool, func() (bool, error) {
		var owners []string
		for _, name := range w.responding() {
			var ps []operator.Pool
			if err := w.page(ctx, name, operator.PathPools, &ps); err != nil {
				return false, nil //nolint:nilerr // asked again
			}
			if slices.ContainsFunc(ps, func(p operator.Pool) bool { return p.Pool == peer.PoolID(pool) && string(p.Owner) == name }) {
				owners = append(owners, name)
			}
		}
		if len(owners) != 1 {
			return false, nil
		}
		owner = owners[0]
		return true, nil
	})
	return owner, err
}

// ListsMember tells whether one daemon counts another as a live member.
func (w *World) ListsMember(ctx context.Context, name, other string) (bool, error) {
	var ms []operator.Member
	if err := w.page(ctx, name, operator.PathMembers, &ms); err != nil {
		return false, err
	}
	return slices.ContainsFunc(ms, func(m operator.Member) bool {
		return string(m.VM) == other && (m.State == operator.Serving || m.State == operator.Draining)
	}), nil
}

// MemberGone tells whether no daemon that answers counts a member as live.
func (w *World) MemberGone(ctx context.Context, other string) (bool, error) {
	for _, name := range w.responding() {
		if name == other {
			continue
		}
		seen, err := w.ListsMember(ctx, name, other)
		if err != nil || seen {
			return false, nil //nolint:nilerr // asked again
		}
	}
	return true, nil
}

// MemberJoined tells whether every daemon that answers counts a member as live.
func (w *World) MemberJoined(ctx context.Context, other string) (bool, error) {
	for _, name := range w.responding() {
		if name == other {
			continue
		}
		seen, err := w.ListsMember(ctx, name, other)
		if err != nil || !seen {
			return false, nil //nolint:nilerr // asked again
		}
	}
	return true, nil
}

// HasGrant tells whether a daemon that answers knows a live grant of a gate.
func (w *World) HasGrant(ctx context.Context, gate string) (bool, error) {
	for _, name := range w.responding() {
		var gs []operator.Grant
		if err := w.page(ctx, name, operator.PathGrants, &gs); err != nil {
			return false, nil //nolint:nilerr // asked again
		}
		if slices.ContainsFunc(gs, func(g operator.Grant) bool { return strings.HasPrefix(string(g.Gate), gate+".") }) {
			return true, nil
		}
	}
	return false, nil
}

// Balancer sends callers to daemons that said ready lately, as the platform's does.
type Balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

// balanceEvery is how often the balancer asks daemons whether they are ready.
const balanceEvery = 500 * time.Millisecond

// StartBalancer starts a balancer.
func (w *World) StartBalancer(ctx context.Context) *Balancer {
	b := &Balancer{}
	b.look(ctx, w)
	go func() {
		t := time.NewTicker(balanceEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				b.look(ctx, w)
			}
		}
	}()
	return b
}

func (b *Balancer) look(ctx context.Context, w *World) {
	var ready []string
	for _, name := range w.Daemons() {
		if w.Ready(ctx, name) {
			ready = append(ready, name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ready) > 0 {
		b.ready = ready
	}
}

// Next returns the next daemon.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

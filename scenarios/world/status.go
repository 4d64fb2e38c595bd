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

// readPage reads a JSON page from the operator address of a running daemon.
func (w *World) readPage(ctx context.Context, name, path string, v any) error {
	n, _, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	resp, err := w.callOperator(ctx, n, path)
	if err != nil {
		return err
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// responding returns the names of the daemons that run and are not frozen.
func (w *World) responding() []string {
	var out []string
	for _, n := range w.nodesOf(roleDaemon) {
		w.mu.Lock()
		ok := n.process != nil && n.process.Running() && !n.frozen
		w.mu.Unlock()
		if ok {
			out = append(out, n.name)
		}
	}
	return out
}

// DocumentRevision returns the revision of the document in force at a daemon.
func (w *World) DocumentRevision(ctx context.Context, name string) (uint64, error) {
	var d operator.Document
	err := w.readPage(ctx, name, operator.PathDocument, &d)
	return uint64(d.Revision), err
}

// DocumentInForce reports whether the last accepted document is in force at a daemon.
// It returns false for a daemon that does not respond, which may be starting, and
// an error for one with a later revision, which was never accepted.
func (w *World) DocumentInForce(ctx context.Context, name string) (bool, error) {
	r, err := w.DocumentRevision(ctx, name)
	if err != nil {
		return false, nil //nolint:nilerr // it may be starting
	}
	w.mu.Lock()
	want := w.revision
	w.mu.Unlock()
	if r > want {
		return false, fmt.Errorf("%s has document revision %d in force, but the last accepted revision is %d", name, r, want)
	}
	return r == want, nil
}

// CheckDocument waits until the last accepted document is in force at every daemon that runs and is
// not frozen.
func (w *World) CheckDocument(ctx context.Context, timeout time.Duration) error {
	var errs []error
	for _, name := range w.responding() {
		errs = append(errs, Await(ctx, timeout, "document in force at "+name, func() (bool, error) { return w.DocumentInForce(ctx, name) }))
	}
	return errors.Join(errs...)
}

// Owner returns the name of the daemon that declares itself the owner of a pool.
// While ownership changes there may be none or two; Owner waits until there is
// exactly one.
func (w *World) Owner(ctx context.Context, pool string) (string, error) {
	owner := ""
	err := Await(ctx, readyTimeout, "one owner of "+pool, func() (bool, error) {
		var owners []string
		for _, name := range w.responding() {
			var ps []operator.Pool
			if err := w.readPage(ctx, name, operator.PathPools, &ps); err != nil {
				return false, nil //nolint:nilerr // polled again
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

// ListsMember reports whether a daemon lists another as a serving or draining member.
func (w *World) ListsMember(ctx context.Context, name, other string) (bool, error) {
	var ms []operator.Member
	if err := w.readPage(ctx, name, operator.PathMembers, &ms); err != nil {
		return false, err
	}
	return slices.ContainsFunc(ms, func(m operator.Member) bool {
		return string(m.VM) == other && (m.State == operator.Serving || m.State == operator.Draining)
	}), nil
}

// MemberGone reports whether no other daemon lists a daemon as a serving or draining member any more.
// Daemons that have exited or are frozen are left out.
func (w *World) MemberGone(ctx context.Context, other string) (bool, error) {
	for _, name := range w.responding() {
		if name == other {
			continue
		}
		seen, err := w.ListsMember(ctx, name, other)
		if err != nil || seen {
			return false, nil //nolint:nilerr // polled again
		}
	}
	return true, nil
}

// MemberJoined reports whether every other daemon lists a daemon as a serving or draining member. Daemons
// that have exited or are frozen are left out.
func (w *World) MemberJoined(ctx context.Context, other string) (bool, error) {
	for _, name := range w.responding() {
		if name == other {
			continue
		}
		seen, err := w.ListsMember(ctx, name, other)
		if err != nil || !seen {
			return false, nil //nolint:nilerr // polled again
		}
	}
	return true, nil
}

// HasGrant reports whether any daemon lists a live grant for a request of a gate, the daemon that
// holds the client's connection.
func (w *World) HasGrant(ctx context.Context, gate string) (bool, error) {
	for _, name := range w.responding() {
		var gs []operator.Grant
		if err := w.readPage(ctx, name, operator.PathGrants, &gs); err != nil {
			return false, nil //nolint:nilerr // polled again
		}
		if slices.ContainsFunc(gs, func(g operator.Grant) bool { return strings.HasPrefix(string(g.Gate), gate+".") }) {
			return true, nil
		}
	}
	return false, nil
}

// Balancer spreads clients over the daemons that passed their last readiness check, as the load
// balancer of the platform does.
type Balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

// balanceInterval is the interval between two readiness checks of the balancer.
const balanceInterval = 500 * time.Millisecond

// StartBalancer starts a balancer, which runs until the context ends.
func (w *World) StartBalancer(ctx context.Context) *Balancer {
	b := &Balancer{}
	b.poll(ctx, w)
	go func() {
		t := time.NewTicker(balanceInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				b.poll(ctx, w)
			}
		}
	}()
	return b
}

// poll checks the readiness of all daemons. If none is ready, the previous list stays.
func (b *Balancer) poll(ctx context.Context, w *World) {
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

// Next returns the daemons in turn (round robin).
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

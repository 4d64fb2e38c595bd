package placer

import (
	"context"
	"sync"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// holderCheck is a check of a holder that did not answer a query in time. All queries that this VM forwards share one: each
// opens several connections to the holder, and a check for each of hundreds of queries would keep a busy holder from
// answering any.
type holderCheck struct {
	// probed is closed once err is the result of a probe on a new connection.
	probed chan struct{}
	err    error
	// searched is closed once detour is set, nil if no other VM gets an answer from the holder.
	searched chan struct{}
	detour   *peer.Member
}

// checks are the checks under way, by service and holder. It is safe for concurrent use.
type checks struct {
	mu   sync.Mutex
	open map[checkKey]*holderCheck
}

// checkKey identifies a check. A check without a search for a detour does not serve queries that need one.
type checkKey struct {
	service route.ServiceID
	holder  peer.VM
	search  bool
}

// join returns the check of a holder that is under way, or starts one.
func (cs *checks) join(o *Owner, s route.ServiceID, to peer.Member, search bool) *holderCheck {
	key := checkKey{s, to.VM, search}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c := cs.open[key]; c != nil {
		return c
	}
	c := &holderCheck{probed: make(chan struct{}), searched: make(chan struct{})}
	cs.open[key] = c
	go cs.run(o, key, to, c)
	return c
}

// run probes a holder and searches for a detour at the same time.
func (cs *checks) run(o *Owner, key checkKey, to peer.Member, c *holderCheck) {
	go func() {
		defer close(c.searched)
		if key.search {
			c.detour = o.findDetour(key.service, to)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), (forwardTimeout - probeAfter).Duration())
	defer cancel()
	c.err = o.Peers.Probe(ctx, to.Address)
	close(c.probed)
	<-c.searched
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, key)
}

package placer

import (
	"sync"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/holder"
	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Holders is what this VM believes of who holds each service. It travels with heartbeats, so that a VM that starts, or
// was cut off, follows the holder before it asks anybody. It is safe for concurrent use.
type Holders struct {
	members Members
	clock   Clock
	log     *log.Logger

	mu    sync.Mutex
	table *holder.Table
	// since is when the holder of each service was learnt.
	since map[route.ServiceID]clock.Milli
	ranks ranks
	// moved is closed, for each service that is waited for, when its holder changes.
	moved map[route.ServiceID]chan struct{}
	// follow are called with each new holder, without locks.
	follow []func(peer.Holder)
}

// NewHolders returns the holders as a VM sees them that knows of none.
func NewHolders(m Members, k Clock, l *log.Logger) *Holders {
	return &Holders{
		members: m, clock: k, log: l, table: holder.New(m.Self()),
		since: map[route.ServiceID]clock.Milli{}, moved: map[route.ServiceID]chan struct{}{},
	}
}

// OnChange has f called with each new holder. It is called before anything is learnt.
func (h *Holders) OnChange(f func(peer.Holder)) { h.follow = append(h.follow, f) }

// Fill implements member.Part.
func (h *Holders) Fill(_ peer.VM, b *peer.BeatArgs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b.Holders = h.table.All()
}

// Learn implements member.Part.
func (h *Holders) Learn(b *peer.BeatArgs, _ bool) {
	for _, x := range b.Holders {
		if h.learn(x) {
			go h.changed(x, "heartbeat")
		}
	}
}

// Update takes another VM's word on who holds a service, and returns once this VM follows it.
func (h *Holders) Update(x peer.Holder, cause string) {
	if x.VM != "" && h.learn(x) {
		h.changed(x, cause)
	}
}

func (h *Holders) learn(x peer.Holder) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Learn(x)
}

// changed wakes those who wait for a change and calls those who follow it.
func (h *Holders) changed(x peer.Holder, cause string) {
	h.mu.Lock()
	h.since[x.Service] = h.clock.Now()
	if c := h.moved[x.Service]; c != nil {
		close(c)
		delete(h.moved, x.Service)
	}
	h.mu.Unlock()
	h.log.Info().Str(logline.Key, logline.Holder).Str("service", string(x.Service)).Str("owner", string(x.VM)).
		Uint64("epoch", x.Epoch).Str("cause", cause).Msg("a service has another holder")
	for _, f := range h.follow {
		f(x)
	}
}

// Changed is closed when the holder of a service changes.
func (h *Holders) Changed(s route.ServiceID) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.moved[s]
	if c == nil {
		c = make(chan struct{})
		h.moved[s] = c
	}
	return c
}

// Of names the holder of a service, if one is known.
func (h *Holders) Of(s route.ServiceID) (peer.Holder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Of(s)
}

// HolderSince names the holder of a service, with the instant since which this VM follows it.
func (h *Holders) HolderSince(s route.ServiceID) (x peer.Holder, since clock.Milli, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok = h.table.Of(s)
	return x, h.since[s], ok
}

// Fallback names the VM that gates ask if the holder of a service is lost; empty for none.
func (h *Holders) Fallback(s route.ServiceID) peer.VM {
	for i, m := range h.candidates(s, func(peer.Member) bool { return false }) {
		if i == 1 {
			return m.VM
		}
	}
	return ""
}

// Holds reports whether this VM holds a service.
func (h *Holders) Holds(s route.ServiceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Holds(s)
}

// All lists the holders of all services.
func (h *Holders) All() []peer.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.All()
}

// route decides what becomes of a question that came to this VM, by the epoch known.
func (h *Holders) route(s route.ServiceID, forwarded bool) (holder.Step, peer.Member, uint64) {
	live := h.members.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	step, m := h.table.Route(s, forwarded, live, h.ranks.of(s, live))
	return step, m, h.table.Epoch(s)
}

// candidates lists whom a gate asks for a place.
func (h *Holders) candidates(s route.ServiceID, silent func(peer.Member) bool) []peer.Member {
	live := h.members.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Candidates(s, live, h.ranks.of(s, live), silent)
}

// successor is the member to which this VM is to hand a service over.
func (h *Holders) successor(s route.ServiceID) (peer.Member, uint64, bool) {
	live := h.members.Live()
	strong := len(member.HighCapacity(live))
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.table.Successor(s, h.ranks.of(s, live), strong)
	return m, h.table.Epoch(s), ok
}

// take makes this VM the holder, unless the holder is another than at the epoch before by now.
func (h *Holders) take(s route.ServiceID, before uint64, cause string) (peer.Holder, bool) {
	h.mu.Lock()
	x, ok := h.table.Take(s, before)
	h.mu.Unlock()
	if ok {
		h.changed(x, cause)
	}
	return x, ok
}

// ranks holds the members by how they rank as holders of services. Each request asks for the holder three
// times, while members change a few times an hour.
type ranks struct {
	// live is the list that the rest was worked out from. Members never change a list that they gave out.
	live      []peer.Member
	byService map[route.ServiceID][]peer.Member
}

func (r *ranks) of(s route.ServiceID, live []peer.Member) []peer.Member {
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same || r.byService == nil {
		*r = ranks{live: live, byService: map[route.ServiceID][]peer.Member{}}
	}
	ranked, ok := r.byService[s]
	if !ok {
		ranked = member.RankByCapacity(string(s), live)
		r.byService[s] = ranked
	}
	return ranked
}

package placer

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/holder"
	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Holders is this VM's view of which VM holds each service. It is exchanged with heartbeats, so
// that a VM that starts, or rejoins after a partition, follows the holder before it sends any
// query. It is safe for concurrent use.
type Holders struct {
	members Members
	clock   Clock
	log     *log.Logger

	mu    sync.Mutex
	table *holder.Table
	// since is when this VM learned of each service's current holder.
	since map[route.ServiceID]clock.Milli
	ranks rankCache
	// changes has a channel per service that is waited for; it is closed when the holder changes.
	changes map[route.ServiceID]chan struct{}
	// notified has a channel per service that is closed once the onChange functions know its holder.
	notified map[route.ServiceID]chan struct{}
	// heard is the digest of holders that each VM sent last.
	heard map[peer.VM]uint64
	// onChange functions are called with each new holder, without locks held.
	onChange []func(peer.Holder)
}

// NewHolders returns an empty view: no holder is known.
func NewHolders(m Members, k Clock, l *log.Logger) *Holders {
	return &Holders{
		members: m, clock: k, log: l, table: holder.New(m.Self()),
		since: map[route.ServiceID]clock.Milli{}, changes: map[route.ServiceID]chan struct{}{},
		notified: map[route.ServiceID]chan struct{}{}, heard: map[peer.VM]uint64{},
	}
}

// OnChange registers f to be called with each new holder. It must be called before any holder is
// learned.
func (h *Holders) OnChange(f func(peer.Holder)) { h.onChange = append(h.onChange, f) }

// Fill implements member.Part. The holders themselves are sent only to a VM that knows others.
func (h *Holders) Fill(to peer.VM, b *peer.BeatArgs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b.HolderDigest = h.table.Digest()
	if h.heard[to] != b.HolderDigest {
		b.Holders = h.table.All()
	}
}

// maxHeard is the number of VMs, beyond twice the live ones, whose digests are kept.
const maxHeard = 64

// Learn implements member.Part.
func (h *Holders) Learn(b *peer.BeatArgs, _ clock.Milli) {
	live := len(h.members.Live())
	h.mu.Lock()
	if len(h.heard) > 2*live+maxHeard {
		clear(h.heard)
	}
	h.heard[b.From.VM] = b.HolderDigest
	h.mu.Unlock()
	for _, x := range b.Holders {
		if done := h.learn(x); done != nil {
			go h.notifyChange(x, "heartbeat", done)
		}
	}
}

// Update records a holder reported by another VM. When it returns, this VM follows that holder unless
// it knows a newer one.
func (h *Holders) Update(x peer.Holder, cause string) {
	if x.VM == "" {
		return
	}
	if done := h.learn(x); done != nil {
		h.notifyChange(x, cause, done)
	}
}

// learn records a holder. If it replaces the known one, the caller has to call notifyChange with the returned channel, which
// is nil otherwise.
func (h *Holders) learn(x peer.Holder) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.table.Learn(x) {
		return nil
	}
	done := make(chan struct{})
	h.notified[x.Service] = done
	return done
}

// awaitNotified waits until the onChange functions know the holder of a service. They must not call it.
func (h *Holders) awaitNotified(s route.ServiceID) {
	h.mu.Lock()
	done := h.notified[s]
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// notifyChange wakes the waiters for a change of holder, calls the registered functions and closes done.
func (h *Holders) notifyChange(x peer.Holder, cause string, done chan struct{}) {
	defer close(done)
	h.mu.Lock()
	h.since[x.Service] = h.clock.Now()
	if c := h.changes[x.Service]; c != nil {
		close(c)
		delete(h.changes, x.Service)
	}
	h.mu.Unlock()
	h.log.Info().Str(logline.Key, logline.Holder).Str("service", string(x.Service)).Str("owner", string(x.VM)).
		Uint64("epoch", x.Epoch).Str("cause", cause).Msg("a service has another holder")
	for _, f := range h.onChange {
		f(x)
	}
}

// Changed returns a channel that is closed when the holder of a service changes.
func (h *Holders) Changed(s route.ServiceID) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.changes[s]
	if c == nil {
		c = make(chan struct{})
		h.changes[s] = c
	}
	return c
}

// Of returns the holder of a service, if one is known.
func (h *Holders) Of(s route.ServiceID) (peer.Holder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Of(s)
}

// HolderSince returns the holder of a service and the instant since which this VM follows it.
func (h *Holders) HolderSince(s route.ServiceID) (x peer.Holder, since clock.Milli, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok = h.table.Of(s)
	return x, h.since[s], ok
}

// Fallback returns the VM that gates query if the holder of a service is lost; empty if there is none.
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

// All returns the known holders of all services.
func (h *Holders) All() []peer.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.All()
}

// route decides how this VM handles a query, and returns the epoch on which the decision is based.
func (h *Holders) route(s route.ServiceID, forwarded bool) (holder.Step, peer.Member, uint64) {
	live := h.members.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	step, m := h.table.Route(s, forwarded, live, h.ranks.of(s, live))
	return step, m, h.table.Epoch(s)
}

// candidates returns the VMs that a gate queries for a placement, in order.
func (h *Holders) candidates(s route.ServiceID, unresponsive func(peer.Member) bool) []peer.Member {
	live := h.members.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Candidates(s, live, h.ranks.of(s, live), unresponsive)
}

// successor returns the member to which this VM is to hand a service over, and the current epoch.
func (h *Holders) successor(s route.ServiceID) (peer.Member, uint64, bool) {
	live := h.members.Live()
	highCapacity := len(member.HighCapacity(live))
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.table.Successor(s, h.ranks.of(s, live), highCapacity)
	return m, h.table.Epoch(s), ok
}

// standbys returns the VMs to keep ready for the loss of this one, the holder of a service: up to n
// members, the first in rank that have not failed.
func (h *Holders) standbys(s route.ServiceID, failed map[peer.VM]bool, n int) []peer.Member {
	live, self := h.members.Live(), h.members.Self().VM
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := make([]peer.Member, 0, n)
	for _, m := range h.ranks.of(s, live) {
		if len(ms) == n {
			break
		}
		if m.VM != self && !failed[m.VM] {
			ms = append(ms, m)
		}
	}
	return ms
}

// witnesses returns up to n random VMs that are neither this one nor the holder of a service, of different failure domains
// if there are as many: the network between two domains may be cut.
func (h *Holders) witnesses(s route.ServiceID, n int) []peer.Member {
	x, _ := h.Of(s)
	ms := slices.Clone(h.members.Live())
	ms = slices.DeleteFunc(ms, func(m peer.Member) bool { return m.VM == x.VM || m.VM == h.members.Self().VM })
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	seen := map[peer.Domain]bool{}
	var first, others []peer.Member
	for _, m := range ms {
		if seen[m.Domain] {
			others = append(others, m)
			continue
		}
		seen[m.Domain] = true
		first = append(first, m)
	}
	return slices.Concat(first, others)[:min(n, len(ms))]
}

// take makes this VM the holder if the current epoch is still prevEpoch.
func (h *Holders) take(s route.ServiceID, prevEpoch uint64, cause string) (peer.Holder, bool) {
	h.mu.Lock()
	x, ok := h.table.Take(s, prevEpoch)
	h.mu.Unlock()
	if ok {
		h.notifyChange(x, cause, make(chan struct{}))
	}
	return x, ok
}

// rankCache caches the ranking of members as holders, by service. Each request needs the ranking
// three times, while members change a few times an hour.
type rankCache struct {
	// live is the member list from which byService was computed. Members never modifies a list that
	// it has returned, so the address of the first element identifies the list.
	live      []peer.Member
	byService map[route.ServiceID][]peer.Member
}

func (r *rankCache) of(s route.ServiceID, live []peer.Member) []peer.Member {
	same := len(live) == len(r.live) && (len(live) == 0 || &live[0] == &r.live[0])
	if !same || r.byService == nil {
		*r = rankCache{live: live, byService: map[route.ServiceID][]peer.Member{}}
	}
	ranked, ok := r.byService[s]
	if !ok {
		ranked = member.RankByCapacity(string(s), live)
		r.byService[s] = ranked
	}
	return ranked
}

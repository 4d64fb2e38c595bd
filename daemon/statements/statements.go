// Package statements keeps what one VM has heard upstreams say of themselves, and what of it the owner of each service has not been sent yet.
package statements

import (
	"sync"

	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Clock reads a clock that goes on while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// The ways in which a VM learns of a statement.
const (
	// FromResponse is an answer that this VM got itself, FromOwner the word of the owner with a grant, FromGate that of a gate.
	FromResponse = "answer"
	FromOwner    = "owner"
	FromGate     = "gate"
)

// Cache is what one VM has heard of upstreams, as a gate and as an owner that polls them. It is safe for concurrent use.
type Cache struct {
	clock Clock
	log   *log.Logger

	mu       sync.Mutex
	services map[route.ServiceID]*service
}

// service is what was heard of the upstreams of one service.
type service struct {
	*statement.Table
	// epoch is that of the owner to which the changes up to version were sent.
	epoch, version uint64
}

// New returns what a VM has heard that has just started: nothing.
func New(k Clock, l *log.Logger) *Cache {
	return &Cache{clock: k, log: l, services: map[route.ServiceID]*service{}}
}

// of returns what was heard of a service's upstreams. The lock is held.
func (h *Cache) of(s route.ServiceID) *service {
	x := h.services[s]
	if x == nil {
		x = &service{Table: statement.NewTable()}
		h.services[s] = x
	}
	return x
}

// Learn takes a statement.
func (h *Cache) Learn(s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	h.mu.Lock()
	changed := h.of(s).Learn(u, st)
	h.mu.Unlock()
	if changed {
		LogChange(h.log, h.clock.Now(), s, u, st, cause)
	}
}

// Pending is what an owner has not acknowledged yet.
type Pending struct {
	Statements     []statement.Message
	epoch, version uint64
}

// Pending lists what the owner of an epoch has not acknowledged.
func (h *Cache) Pending(s route.ServiceID, epoch uint64) Pending {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.of(s)
	after := x.version
	if x.epoch != epoch {
		after = 0
	}
	p := Pending{epoch: epoch}
	p.Statements, p.version = x.Since(h.clock.Now(), after)
	return p
}

// Acknowledge notes that an owner knows what was not sent before.
func (h *Cache) Acknowledge(s route.ServiceID, p Pending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.of(s)
	if x.epoch == p.epoch {
		p.version = max(p.version, x.version)
	}
	x.epoch, x.version = p.epoch, p.version
}

// All lists everything that was heard of a service's upstreams.
func (h *Cache) All(s route.ServiceID) []statement.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, _ := h.of(s).Since(h.clock.Now(), 0)
	return all
}

// OfUpstreams lists what was heard of some upstreams.
func (h *Cache) OfUpstreams(s route.ServiceID, us ...decide.UpstreamID) []statement.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []statement.Message
	for _, u := range us {
		out = append(out, h.of(s).About(h.clock.Now(), u)...)
	}
	return out
}

// Forget drops what nobody needs any more.
func (h *Cache) Forget(listed func(route.ServiceID, decide.UpstreamID) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, x := range h.services {
		x.Forget(h.clock.Now(), func(u decide.UpstreamID) bool { return listed(s, u) })
	}
}

// IsFor tells whether a pending list was made for the owner of an epoch.
func (p *Pending) IsFor(epoch uint64) bool { return p.epoch == epoch }

// Binding returns a statement by which this VM must not send to a life of an upstream now, if there is one.
func (h *Cache) Binding(s route.ServiceID, u decide.UpstreamID, born decide.Incarnation) (statement.Statement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(s).Blocking(h.clock.Now(), u, born)
}

// Each calls f for each statement in force.
func (h *Cache) Each(f func(route.ServiceID, decide.UpstreamID, statement.Statement)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, x := range h.services {
		x.Each(h.clock.Now(), func(u decide.UpstreamID, st statement.Statement) { f(s, u, st) })
	}
}

// LogChange logs that an upstream says something else of itself than before.
func LogChange(l *log.Logger, now clock.Milli, s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	e := l.Info().Str("service", string(s)).Str("upstream", string(u)).Int64("age", int64(now-st.At)).Str("cause", cause)
	switch st.Kind {
	case statement.Limit:
		e.Str(logline.Key, logline.Limit).Bool("named", st.Named).Float64("rate", float64(st.Rate)).Msg("an upstream has another limit")
	case statement.BackOff:
		e.Str(logline.Key, logline.Rest).Str("gate", string(st.Gate)).Int64("left", int64(st.Until-now)).Msg("an upstream wants a rest")
	case statement.Leaving:
		e.Str(logline.Key, logline.Leaving).Str("gate", string(st.Gate)).Msg("an upstream says that it leaves")
	}
}

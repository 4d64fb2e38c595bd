// Package statements stores the statements of upstreams that one VM has received, and tracks which
// of them the owner of each service has not been sent yet. A statement is what an upstream declares
// about itself in a response: a rate limit, a back-off or a drain notice.
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

// Clock reads a clock that continues while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Sources of a statement, for log lines.
const (
	// FromResponse is a response that this VM received itself, FromOwner a grant of the owner,
	// FromGate a message of a gate, FromCarried a response that this VM carried for another one.
	FromResponse = "answer"
	FromOwner    = "owner"
	FromGate     = "gate"
	FromCarried  = "carried"
)

// Cache stores the statements that one VM received, as a gate and as an owner that polls upstreams.
// It is safe for concurrent use.
type Cache struct {
	clock Clock
	log   *log.Logger

	mu       sync.Mutex
	services map[route.ServiceID]*service
}

// service has the statements of the upstreams of one service.
type service struct {
	*statement.Table
	// epoch is the epoch of the owner that was sent the changes up to version.
	epoch, version uint64
}

// New returns an empty cache.
func New(k Clock, l *log.Logger) *Cache {
	return &Cache{clock: k, log: l, services: map[route.ServiceID]*service{}}
}

// of returns the statements of a service's upstreams. The lock is held.
func (c *Cache) of(s route.ServiceID) *service {
	x := c.services[s]
	if x == nil {
		x = &service{Table: statement.NewTable()}
		c.services[s] = x
	}
	return x
}

// Learn records a statement and logs it if it differs from the known one.
func (c *Cache) Learn(s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	c.mu.Lock()
	changed := c.of(s).Learn(u, st)
	c.mu.Unlock()
	if changed {
		LogChange(c.log, c.clock.Now(), s, u, st, cause)
	}
}

// Pending is a list of statements that an owner has not acknowledged.
type Pending struct {
	Statements     []statement.Message
	epoch, version uint64
}

// Pending returns the statements that the owner of an epoch has not acknowledged.
func (c *Cache) Pending(s route.ServiceID, epoch uint64) Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.of(s)
	after := x.version
	if x.epoch != epoch {
		after = 0
	}
	p := Pending{epoch: epoch}
	p.Statements, p.version = x.Since(c.clock.Now(), after)
	return p
}

// Acknowledge records that the owner for which p was made has received its statements.
func (c *Cache) Acknowledge(s route.ServiceID, p Pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.of(s)
	if x.epoch == p.epoch {
		p.version = max(p.version, x.version)
	}
	x.epoch, x.version = p.epoch, p.version
}

// All returns all statements of a service's upstreams.
func (c *Cache) All(s route.ServiceID) []statement.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, _ := c.of(s).Since(c.clock.Now(), 0)
	return all
}

// OfUpstreams returns the statements of the given upstreams.
func (c *Cache) OfUpstreams(s route.ServiceID, us ...decide.UpstreamID) []statement.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []statement.Message
	for _, u := range us {
		out = append(out, c.of(s).About(c.clock.Now(), u)...)
	}
	return out
}

// Forget discards expired statements and, after a retention time, those of upstreams for which
// listed returns false.
func (c *Cache) Forget(listed func(route.ServiceID, decide.UpstreamID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, x := range c.services {
		x.Forget(c.clock.Now(), func(u decide.UpstreamID) bool { return listed(s, u) })
	}
}

// IsFor reports whether the list was made for the owner of an epoch.
func (p *Pending) IsFor(epoch uint64) bool { return p.epoch == epoch }

// Binding returns a statement that forbids this VM to send to an incarnation of an upstream now, if
// there is one.
func (c *Cache) Binding(s route.ServiceID, u decide.UpstreamID, started decide.Incarnation) (statement.Statement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(s).Blocking(c.clock.Now(), u, started)
}

// Each calls f for each statement in force.
func (c *Cache) Each(fn func(route.ServiceID, decide.UpstreamID, statement.Statement)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, x := range c.services {
		x.Each(c.clock.Now(), func(u decide.UpstreamID, st statement.Statement) { fn(s, u, st) })
	}
}

// LogChange logs that an upstream has changed its statement.
func LogChange(l *log.Logger, now clock.Milli, s route.ServiceID, u decide.UpstreamID, st statement.Statement, cause string) {
	e := l.Info().Str("service", string(s)).Str("upstream", string(u)).Int64("age", int64(now-st.At)).Str("cause", cause)
	switch st.Kind {
	case statement.Limit:
		e.Str(logline.Key, logline.Limit).Bool("named", st.Named).Float64("rate", float64(st.Rate)).Msg("upstream changed its rate limit")
	case statement.BackOff:
		e.Str(logline.Key, logline.BackOff).Str("gate", string(st.Gate)).Int64("left", int64(st.Until-now)).Msg("upstream asks for back-off")
	case statement.Leaving:
		e.Str(logline.Key, logline.Leaving).Str("gate", string(st.Gate)).Msg("upstream is draining")
	}
}

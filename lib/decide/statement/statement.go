// Package statement stores what upstreams declare about themselves in their responses: a rate
// limit, a back-off (Retry-After), or a drain notice.
//
// The VM that receives a statement is often not the VM that decides on placement, and either may
// fail. Statements are ordered, so that any VM can determine the newest one of several. A Table
// stores the newest statement of each kind for each upstream, and can list the statements that
// changed since an earlier version.
//
// The package has no sockets, no goroutines and no clock.
package statement

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Kind is the subject of a statement.
type Kind uint8

// Kinds of statements.
const (
	// Limit is the number of requests per second that the upstream accepts. It applies to all VMs
	// together.
	Limit Kind = iota
	// BackOff is a time (Retry-After) in which the upstream asks for no requests from the VM that it
	// answered. It applies to that VM only.
	BackOff
	// Leaving is a drain notice: the upstream will shut down soon. It applies to each VM that
	// received it, until the next incarnation of the upstream.
	Leaving
)

var kinds = [...]Kind{Limit, BackOff, Leaving}

var kindNames = [...]string{Limit: "limit", BackOff: "rest", Leaving: "leaving"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// PerSecond is a rate of requests per second, from all VMs together.
type PerSecond float64

// Statement is what an upstream declares about itself in one response.
type Statement struct {
	Kind Kind
	// Named is false for a response without a limit; Rate is zero then. It is always true for the
	// other kinds.
	Named bool
	Rate  PerSecond
	// Gate is the gate that the upstream answered, the VM with the client's connection, and the
	// incarnation of its process; empty for a Limit.
	Gate decide.GateID
	// Born is the incarnation of the upstream that answered; zero if unknown.
	Born decide.Incarnation
	// At is a time at which the statement certainly applied. It is the arrival of the response; for
	// a response without a limit it is when the request was sent, since other responses may have
	// overtaken this one.
	At clock.Milli
	// Until is the end of a BackOff; zero for the other kinds.
	Until clock.Milli
}

// Supersedes reports whether s replaces an earlier stored statement of the same kind. A statement
// of a later incarnation always does. Within one incarnation the newest limit counts, and at the
// same time a declared limit rather than none. The back-off that ends last counts, since each
// response has to be honored by itself. The first drain notice counts, since nothing revokes it.
func (s Statement) Supersedes(previous Statement) bool {
	if s.Born > 0 && previous.Born > 0 && s.Born != previous.Born {
		return s.Born > previous.Born
	}
	switch s.Kind {
	case BackOff:
		return s.Until > previous.Until
	case Leaving:
		return false
	default:
		if s.At != previous.At {
			return s.At > previous.At
		}
		return s.Named && !previous.Named
	}
}

// Equivalent reports whether two statements of a kind have the same effect.
func (s Statement) Equivalent(o Statement) bool {
	return s.Named == o.Named && s.Rate == o.Rate && s.Until == o.Until && s.Born == o.Born
}

// Blocks reports whether the statement forbids the VM that received it to send requests to the given
// incarnation of the upstream now. A zero incarnation means that it is unknown.
func (s Statement) Blocks(now clock.Milli, incarnation decide.Incarnation) bool {
	if s.Born > 0 && incarnation > s.Born {
		return false
	}
	return s.Kind == Leaving || s.Kind == BackOff && now < s.Until
}

// subject is the key of a statement.
type subject struct {
	upstream decide.UpstreamID
	kind     Kind
}

// Table stores the newest statement of each kind for each upstream known to one VM. It is not safe
// for concurrent use.
type Table struct {
	rows map[subject]entry
	// version is the number of changes.
	version uint64
}

// entry is the newest statement on one subject and the table version of its last change in effect.
type entry struct {
	Statement
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[subject]entry{}} }

// Learn processes a statement and reports whether it changes the effect of the stored one.
func (t *Table) Learn(u decide.UpstreamID, s Statement) bool {
	key := subject{u, s.Kind}
	previous, known := t.rows[key]
	switch {
	case !known && !s.Named:
		return false
	case known && !s.Supersedes(previous.Statement):
		return false
	}
	changed := !known || !s.Equivalent(previous.Statement)
	if changed {
		t.version++
		previous.version = t.version
	}
	t.rows[key] = entry{s, previous.version}
	return changed
}

// Of returns the newest statement of a kind for an upstream, if there is one.
func (t *Table) Of(u decide.UpstreamID, k Kind) (Statement, bool) {
	e, ok := t.rows[subject{u, k}]
	return e.Statement, ok
}

// Blocking returns a statement that forbids sending requests to the given incarnation of an upstream
// now, if there is one.
func (t *Table) Blocking(now clock.Milli, u decide.UpstreamID, incarnation decide.Incarnation) (Statement, bool) {
	for _, k := range kinds {
		if s, ok := t.Of(u, k); ok && s.Blocks(now, incarnation) {
			return s, true
		}
	}
	return Statement{}, false
}

// About returns all statements on an upstream.
func (t *Table) About(now clock.Milli, u decide.UpstreamID) []Message {
	var out []Message
	for _, k := range kinds {
		if s, ok := t.Of(u, k); ok {
			out = append(out, s.Message(now, u))
		}
	}
	return out
}

// Since returns the statements that changed after a version, and the current version.
func (t *Table) Since(now clock.Milli, version uint64) ([]Message, uint64) {
	if version == t.version {
		return nil, version
	}
	var out []Message
	for key, e := range t.rows {
		if e.version > version {
			out = append(out, e.Message(now, key.upstream))
		}
	}
	return out, t.version
}

// Each calls f for each statement that is in force.
func (t *Table) Each(now clock.Milli, f func(decide.UpstreamID, Statement)) {
	for key, s := range t.rows {
		if s.Named && (s.Kind != BackOff || now < s.Until) {
			f(key.upstream, s.Statement)
		}
	}
}

const (
	// expiredRetention is how long an expired limit or back-off is stored: as long as an older
	// statement may still arrive.
	expiredRetention = 10 * clock.Second
	// AbsentRetention is how long the statements of an unlisted upstream are stored: upstreams are
	// sometimes missing from a list for some seconds although they are running.
	AbsentRetention = clock.Minute
)

// Forget drops expired statements and those of unlisted upstreams after the retention times.
func (t *Table) Forget(now clock.Milli, listed func(decide.UpstreamID) bool) {
	for key, s := range t.rows {
		age := now - max(s.At, s.Until)
		over := !s.Named || s.Kind == BackOff
		if over && age > expiredRetention || age > AbsentRetention && !listed(key.upstream) {
			delete(t.rows, key)
		}
	}
}

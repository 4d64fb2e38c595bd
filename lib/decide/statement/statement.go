// Package statement keeps what upstreams say of themselves in their answers: how many requests they take, that
// they want none for a while, that they leave.
//
// One VM hears a statement while another one decides who gets work, and either may be lost. Statements of all VMs are
// ordered, so that whoever has several of them knows the newest; a Table holds the newest one of each kind on each
// upstream, and which of them somebody else has not been sent yet.
//
// Nothing here has sockets, goroutines or a clock.
package statement

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Kind is what a statement is about.
type Kind uint8

// The closed list of kinds.
const (
	// Limit is how many requests a second the upstream takes. It binds all VMs together.
	Limit Kind = iota
	// BackOff is a time in which the upstream wants nothing from the VM that it answered. It binds that VM.
	BackOff
	// Leaving tells that the upstream ends soon. It binds each VM that it answered, until a later life.
	Leaving
)

// kinds lists all of them.
var kinds = [...]Kind{Limit, BackOff, Leaving}

var kindNames = [...]string{Limit: "limit", BackOff: "rest", Leaving: "leaving"}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// PerSecond is a rate of requests a second, from all VMs together.
type PerSecond float64

// Statement is what an answer says of its upstream.
type Statement struct {
	Kind Kind
	// Named is false for an answer that names no limit; Rate is zero then. The other kinds are always named.
	Named bool
	Rate  PerSecond
	// Gate is the VM, in one life of its, that the upstream answered; empty for a Limit.
	Gate decide.GateID
	// Born is the upstream's life that answered; zero if it is not known.
	Born decide.Incarnation
	// At is an instant at which the statement certainly held: the arrival of an answer that says it; of an answer that
	// names no limit the sending of its request, since other answers may have overtaken it.
	At clock.Milli
	// Until is the end of a Rest; zero for the other kinds.
	Until clock.Milli
}

// Supersedes reports whether s is to be kept in place of what was known of the same kind. A later life always is. Within one, the newest
// limit counts, of one instant the one that is named; the rest that lasts longest, since each answer is a promise to keep by
// itself; and the first word of a leaving, which nothing takes back.
func (s Statement) Supersedes(before Statement) bool {
	if s.Born > 0 && before.Born > 0 && s.Born != before.Born {
		return s.Born > before.Born
	}
	switch s.Kind {
	case BackOff:
		return s.Until > before.Until
	case Leaving:
		return false
	default:
		if s.At != before.At {
			return s.At > before.At
		}
		return s.Named && !before.Named
	}
}

// Equivalent reports whether two statements of a kind mean the same to who acts on them.
func (s Statement) Equivalent(o Statement) bool {
	return s.Named == o.Named && s.Rate == o.Rate && s.Until == o.Until && s.Born == o.Born
}

// Blocks reports whether the VM that was answered must send nothing to a life of the upstream now; born is zero if that is not known.
func (s Statement) Blocks(now clock.Milli, born decide.Incarnation) bool {
	if s.Born > 0 && born > s.Born {
		return false
	}
	return s.Kind == Leaving || s.Kind == BackOff && now < s.Until
}

// subject is what a statement is about.
type subject struct {
	upstream decide.UpstreamID
	kind     Kind
}

// Table holds the newest statement of each kind on each upstream that one VM has heard. It is not safe for concurrent use.
type Table struct {
	rows map[subject]entry
	// version counts the changes.
	version uint64
}

// entry is the newest statement on one subject, and the version at which its meaning last changed.
type entry struct {
	Statement
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[subject]entry{}} }

// Learn takes a statement and reports whether it changes what the upstream says.
func (t *Table) Learn(u decide.UpstreamID, s Statement) bool {
	key := subject{u, s.Kind}
	before, known := t.rows[key]
	switch {
	case !known && !s.Named:
		return false
	case known && !s.Supersedes(before.Statement):
		return false
	}
	changed := !known || !s.Equivalent(before.Statement)
	if changed {
		t.version++
		before.version = t.version
	}
	t.rows[key] = entry{s, before.version}
	return changed
}

// Of returns the newest statement of a kind on an upstream, if there is one.
func (t *Table) Of(u decide.UpstreamID, k Kind) (Statement, bool) {
	e, ok := t.rows[subject{u, k}]
	return e.Statement, ok
}

// Blocking returns a statement by which nothing must be sent to a life of an upstream now, if there is one.
func (t *Table) Blocking(now clock.Milli, u decide.UpstreamID, born decide.Incarnation) (Statement, bool) {
	for _, k := range kinds {
		if s, ok := t.Of(u, k); ok && s.Blocks(now, born) {
			return s, true
		}
	}
	return Statement{}, false
}

// About lists what is known of an upstream.
func (t *Table) About(now clock.Milli, u decide.UpstreamID) []Message {
	var out []Message
	for _, k := range kinds {
		if s, ok := t.Of(u, k); ok {
			out = append(out, s.Message(now, u))
		}
	}
	return out
}

// Since lists the statements that changed after a version, with the version up to which they are listed.
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
	// overLives is how long a table keeps that a limit or a rest is over: as long as an older statement may still be on its way.
	overLives = 10 * clock.Second
	// AbsentRetention is how long the statements of an upstream that is not listed are kept: lists lose upstreams that live for seconds.
	AbsentRetention = clock.Minute
)

// Forget drops what nobody needs any more.
func (t *Table) Forget(now clock.Milli, listed func(decide.UpstreamID) bool) {
	for key, s := range t.rows {
		age := now - max(s.At, s.Until)
		over := !s.Named || s.Kind == BackOff
		if over && age > overLives || age > AbsentRetention && !listed(key.upstream) {
			delete(t.rows, key)
		}
	}
}

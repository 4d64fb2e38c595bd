// Package ratelimit keeps what upstreams say of the rate of requests that they take, and paces the
// requests that they are given by it.
//
// An upstream names its limit in its answers, so one VM hears of it while another one decides who gets work. A
// Statement is what one answer says; statements of all VMs are ordered, so that whoever has several of
// them knows the newest. A Table holds the newest one of each upstream, a Pace grants by it.
//
// Nothing here has sockets, goroutines or a clock.
package ratelimit

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// PerSecond is a rate of requests a second, from all VMs together.
type PerSecond float64

// Statement is what an answer says of its upstream's limit.
type Statement struct {
	// Named is false if the answer names no limit; Rate is zero then.
	Named bool
	Rate  PerSecond
	// Born is the upstream's life that answered; zero if it is not known.
	Born decide.Born
	// At is an instant at which the statement certainly held: the arrival of an answer that names a limit; of one that
	// names none the sending of its request, since other answers may have overtaken it.
	At clock.Milli
}

// Supersedes reports whether s is newer than what was known before. Of two statements of the same instant the
// one that names a limit counts.
func (s Statement) Supersedes(before Statement) bool {
	if s.Born > 0 && before.Born > 0 && s.Born != before.Born {
		return s.Born > before.Born
	}
	if s.At != before.At {
		return s.At > before.At
	}
	return s.Named && !before.Named
}

// same reports whether two statements name the same limit.
func (s Statement) same(o Statement) bool { return s.Named == o.Named && s.Rate == o.Rate }

// Table holds the newest statement on each upstream that ever named a limit. It is not safe for concurrent use.
type Table struct {
	rows map[decide.UpstreamID]entry
	// version counts the changes of limits.
	version uint64
}

// entry is the newest statement on one upstream, and the version at which it last changed.
type entry struct {
	Statement
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[decide.UpstreamID]entry{}} }

// Learn takes a statement and reports whether the upstream's limit is another one now.
func (t *Table) Learn(u decide.UpstreamID, s Statement) bool {
	before, known := t.rows[u]
	switch {
	case !known && !s.Named:
		return false
	case known && !s.Supersedes(before.Statement):
		return false
	}
	changed := !known || !s.same(before.Statement)
	if changed {
		t.version++
		before.version = t.version
	}
	t.rows[u] = entry{s, before.version}
	return changed
}

// Of returns the newest statement on an upstream, if there is one.
func (t *Table) Of(u decide.UpstreamID) (Statement, bool) {
	e, ok := t.rows[u]
	return e.Statement, ok
}

// Since lists the statements that changed after a version, with the version up to which they are listed.
func (t *Table) Since(now clock.Milli, version uint64) ([]Aged, uint64) {
	if version == t.version {
		return nil, version
	}
	var out []Aged
	for u, e := range t.rows {
		if e.version > version {
			out = append(out, e.Aged(now, u))
		}
	}
	return out, t.version
}

// Named calls f for each upstream that names a limit.
func (t *Table) Named(f func(decide.UpstreamID, PerSecond)) {
	for u, s := range t.rows {
		if s.Named {
			f(u, s.Rate)
		}
	}
}

const (
	// liftedLives is how long a table keeps that a limit is over: as long as an older statement may still be on its way.
	liftedLives = 10 * clock.Second
	// absentLives is how long it keeps the limit of an upstream that is not listed: lists lose upstreams that live for seconds.
	absentLives = clock.Minute
)

// Forget drops what nobody needs any more.
func (t *Table) Forget(now clock.Milli, listed func(decide.UpstreamID) bool) {
	for u, s := range t.rows {
		age := now - s.At
		if !s.Named && age > liftedLives || age > absentLives && !listed(u) {
			delete(t.rows, u)
		}
	}
}

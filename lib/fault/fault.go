// Package fault is the closed list of error kinds that a caller, an operator
// or a peer can be given, with the table from kind to HTTP answer.
package fault

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
)

// Kind names one reason for an answer that is not a success.
type Kind string

// The closed list of error kinds.
const (
	Malformed     Kind = "malformed"     // the request cannot be read: body, JSON, encoding, header value
	Keyless       Kind = "keyless"       // a kind that must not be repeated came without Idempotency-Key
	Unauthorized  Kind = "unauthorized"  // no key, or a key no workspace holds
	Forbidden     Kind = "forbidden"     // the workspace may not use this kind or model
	Unknown       Kind = "unknown"       // no such model, kind, service or path
	Slow          Kind = "slow"          // the request's own bytes came too slowly
	Large         Kind = "large"         // the body is over its limit
	Header        Kind = "header"        // the header is over its limit
	Oversize      Kind = "oversize"      // the prompt fits no group of engines
	Duplicate     Kind = "duplicate"     // the idempotency key is in use or already answered
	Quarantined   Kind = "quarantined"   // the request killed upstreams before
	Limited       Kind = "limited"       // the workspace is over its rate
	Overloaded    Kind = "overloaded"    // it could not finish within its allowed time
	Draining      Kind = "draining"      // this VM is stopping and no other took the request
	Unavailable   Kind = "unavailable"   // the store, the pool or every upstream is out of reach
	Expired       Kind = "expired"       // admitted, but its allowed time ran out
	Upstream      Kind = "upstream"      // the upstream failed or answered with an error
	Incomplete    Kind = "incomplete"    // the answer stopped before its end mark
	Indeterminate Kind = "indeterminate" // a request not to be repeated was sent and its outcome is unknown
	Canceled      Kind = "canceled"      // the caller went away
	Internal      Kind = "internal"      // a fault of ours
)

// Ran tells a caller whether an upstream executed the request.
type Ran string

// The three answers to "did it run?".
const (
	RanNo    Ran = "no"    // proved: no byte of it was sent to an upstream, or the upstream proved it did not start
	RanMaybe Ran = "maybe" // it was sent and the outcome is not known
	RanYes   Ran = "yes"   // an upstream executed at least part of it
)

// KeyState tells what is known of a request's idempotency key.
type KeyState string

// KeyUnknown says that the store could not be asked about the key: an earlier request
// under it may have run, whatever Ran says of this one. Other refusals say nothing of it.
const KeyUnknown KeyState = "unknown"

// Answer is one row of the table from kind to HTTP answer.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran is the default; an Error may carry a weaker claim, never a stronger one by accident.
	Ran Ran
	// Retryable tells whether the same request may succeed later; such answers carry Retry-After.
	Retryable bool
}

var answers = map[Kind]Answer{
	Malformed:     {400, RanNo, false},
	Keyless:       {400, RanNo, false},
	Unauthorized:  {401, RanNo, false},
	Forbidden:     {403, RanNo, false},
	Unknown:       {404, RanNo, false},
	Slow:          {408, RanNo, false},
	Large:         {413, RanNo, false},
	Header:        {431, RanNo, false},
	Oversize:      {413, RanNo, false},
	Duplicate:     {409, RanMaybe, false},
	Quarantined:   {422, RanYes, false},
	Limited:       {429, RanNo, true},
	Overloaded:    {503, RanNo, true},
	Draining:      {503, RanNo, true},
	Unavailable:   {503, RanNo, true},
	Expired:       {504, RanMaybe, false},
	Upstream:      {502, RanMaybe, false},
	Incomplete:    {502, RanYes, false},
	Indeterminate: {502, RanMaybe, false},
	Canceled:      {499, RanMaybe, false},
	Internal:      {500, RanMaybe, false},
}

// Lookup returns the row of a kind; a kind outside the list reads as Internal.
func Lookup(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Kinds returns every kind of the closed list.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(answers))
	for k := range answers {
		ks = append(ks, k)
	}
	return ks
}

// Class is the error class of this project.
var Class = errs.Class("snipeshift")

// Error is the one error type that reaches callers and peers.
type Error struct {
	Kind Kind
	// Ran is what is proved about execution at the time of the answer.
	Ran Ran
	// Key is what is known of the request's key; empty where nothing is to be said.
	Key KeyState
	// Retry is the span after which to come back; zero where coming back does not help.
	Retry clock.Milli
	// Text is one line for a person.
	Text string
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Text }

// New makes an error of a kind with the table's default for Ran.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Ran: Lookup(k).Ran, Text: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy that claims r about execution.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithKey returns a copy that says what is known of the request's key.
func (e *Error) WithKey(k KeyState) *Error {
	c := *e
	c.Key = k
	return &c
}

// WithRetry returns a copy that tells the caller when to come back.
func (e *Error) WithRetry(m clock.Milli) *Error {
	c := *e
	c.Retry = m
	return &c
}

// From finds the Error in err, or wraps err as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

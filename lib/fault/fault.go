// Package fault defines all error kinds that are returned to clients, operators and peers, and maps
// each to an HTTP response.
package fault

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
)

// Kind is the reason for an error response.
type Kind string

// All error kinds; no others are returned.
const (
	Malformed     Kind = "malformed"     // the request cannot be read: body, JSON, encoding, header value
	Keyless       Kind = "keyless"       // a request of a kind that must not run twice has no Idempotency-Key
	Unauthorized  Kind = "unauthorized"  // no API key, or one that belongs to no workspace
	Forbidden     Kind = "forbidden"     // the workspace may not use this kind or model
	Unknown       Kind = "unknown"       // no such model, kind, service or path
	Slow          Kind = "slow"          // the client sent the request too slowly
	Large         Kind = "large"         // the body exceeds its size limit
	Header        Kind = "header"        // the header exceeds its size limit
	Oversize      Kind = "oversize"      // the prompt is too long for every group of engines
	Duplicate     Kind = "duplicate"     // the idempotency key is in use or already answered
	Quarantined   Kind = "quarantined"   // upstreams crashed while running the same request before
	Limited       Kind = "limited"       // the workspace exceeds its rate limit
	Overloaded    Kind = "overloaded"    // the request could not finish within its allowed time
	Draining      Kind = "draining"      // this VM is stopping and no other VM accepted the request
	Unavailable   Kind = "unavailable"   // the store, the pool's owner or every upstream is unreachable
	Expired       Kind = "expired"       // the request was admitted, but its allowed time ran out
	Upstream      Kind = "upstream"      // the upstream failed or answered with an error
	Incomplete    Kind = "incomplete"    // the upstream's response ended before its end marker
	Indeterminate Kind = "indeterminate" // a request that must not run twice was sent and its outcome is unknown
	Canceled      Kind = "canceled"      // the client disconnected
	Internal      Kind = "internal"      // a bug or failure in snipeshift itself
)

// Ran reports to a client whether an upstream executed the request.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"    // certain: no byte of the request was sent to an upstream, or the upstream reported that it did not start
	RanMaybe Ran = "maybe" // the request was sent and its outcome is unknown
	RanYes   Ran = "yes"   // an upstream executed at least part of the request
)

// KeyState reports what is known about a request's idempotency key.
type KeyState string

// KeyUnknown reports that the store could not be queried for the key: an earlier request with the
// same key may have run, whatever Ran reports for this one. Other errors leave the state empty.
const KeyUnknown KeyState = "unknown"

// Answer is the HTTP response for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran is the default for errors of the kind. An Error may report less certainty than the default;
	// it reports more only by an explicit WithRan.
	Ran Ran
	// Retryable reports whether the same request may succeed later; such responses carry Retry-After.
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

// Lookup returns the response for a kind; an undefined kind is treated as Internal.
func Lookup(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(answers))
	for k := range answers {
		ks = append(ks, k)
	}
	return ks
}

// Class is the class of errors of this project (see errs.Class).
var Class = errs.Class("snipeshift")

// Error is the only error type that is returned to clients and peers.
type Error struct {
	Kind Kind
	// Ran reports whether the request was executed, as far as known when the response is sent.
	Ran Ran
	// Key is what is known about the request's idempotency key; empty if nothing has to be reported.
	Key KeyState
	// Retry is the time after which the client should retry; zero if a retry does not help.
	Retry clock.Milli
	// Text is a message of one line for a person.
	Text string
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Text }

// New returns an error of kind k with the default Ran of that kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Ran: Lookup(k).Ran, Text: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy with Ran set to r.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithKey returns a copy with Key set to k.
func (e *Error) WithKey(k KeyState) *Error {
	c := *e
	c.Key = k
	return &c
}

// WithRetry returns a copy with Retry set to m.
func (e *Error) WithRetry(m clock.Milli) *Error {
	c := *e
	c.Retry = m
	return &c
}

// From returns the Error that err wraps, or else a new Internal error with the text of err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

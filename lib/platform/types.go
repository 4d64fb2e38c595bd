package platform

import (
	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
)

// Types that identify objects of the store and their versions.
type (
	// Kind is a collection of objects, such as "config".
	Kind string
	// Name is an object's name within its kind. It contains no slash.
	Name string
	// Version is the version of an object: a counter of the store that rises with each write of any
	// object. Zero means that the object is absent.
	Version uint64
)

// MaxValueSize is the largest value in bytes that the store accepts.
const MaxValueSize = 1 << 20

// Object is an object of the store.
type Object struct {
	Name    Name    `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Condition is the precondition of a write. The zero Condition always holds.
type Condition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// Version, if not zero, is the version that the object must have.
	Version Version
}

// Unconditional is the condition of an unconditional write.
var Unconditional = Condition{}

// IfAbsent is the condition that the object does not exist yet.
var IfAbsent = Condition{Absent: true}

// IfVersion is the condition that the object has version v; for zero, that it does not exist.
func IfVersion(v Version) Condition {
	if v == 0 {
		return IfAbsent
	}
	return Condition{Version: v}
}

// Holds reports whether the condition holds for an object of the given version, zero if absent.
func (c Condition) Holds(present Version) bool {
	if c.Absent {
		return present == 0
	}
	return c.Version == 0 || c.Version == present
}

// VM is an entry of the platform's VM list, which may be outdated.
type VM struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Role is the purpose of a VM.
type Role string

// State is the state of a VM: in service or about to be removed.
type State string

// The values of Role and State.
const (
	Entry    Role  = "entry"
	Upstream Role  = "upstream"
	Live     State = "live"
	Leaving  State = "leaving"
)

// Class is the error class of this package.
var Class = errs.Class("platform")

// All errors of calls. Every error of a call wraps exactly one of them.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = Class.New("not found")
	// ErrConflict means that the condition of a write did not hold. The write had no effect.
	ErrConflict = Class.New("conflict")
	// ErrUnavailable means that the store could not be reached or could not process the call. A
	// write had no effect.
	ErrUnavailable = Class.New("unavailable")
	// ErrUnknown means that the response to a write was lost. The write may have taken effect or may
	// still do so later.
	ErrUnknown = Class.New("outcome unknown")
	// ErrRefused means that the call is invalid, for example because a value is larger than
	// MaxValueSize. Repeating it does not help. A write had no effect.
	ErrRefused = Class.New("refused")
)

// Timeouts are the time limits of calls, in addition to those of their contexts.
type Timeouts struct {
	Dial  clock.Milli
	Read  clock.Milli
	Write clock.Milli
}

// DefaultTimeouts suit a store that responds within milliseconds. A call that takes a hundred times
// as long is on a broken connection or in an outage, and waiting longer only uses up the time limit
// of the client's request.
var DefaultTimeouts = Timeouts{Dial: 500, Read: clock.Second, Write: clock.Second}

// Counts are the numbers of calls of a client, for metrics.
type Counts struct {
	Reads, Watches, Writes uint64
	// Unavailable and Unknown are the numbers of calls that ended with ErrUnavailable and ErrUnknown.
	Unavailable, Unknown uint64
	// UnusableVMs is the number of entries of the last list of VMs that are no VMs.
	UnusableVMs uint64
}

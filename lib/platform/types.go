package platform

import (
	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
)

// Names of what the store keeps.
type (
	// Kind is a collection of objects, such as "config".
	Kind string
	// Name is an object's name within its kind. It holds no slash.
	Name string
	// Version is the store's one rising number over all objects; zero means absent.
	Version uint64
)

// MaxValueSize is the largest value in bytes that the store takes.
const MaxValueSize = 1 << 20

// Object is one value of the store.
type Object struct {
	Name    Name    `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Condition guards a write. The zero Condition always holds.
type Condition struct {
	// Absent holds while there is no object of that name.
	Absent bool
	// Version, if not zero, holds while the object has that version.
	Version Version
}

// Unconditional is the condition of an unconditional write.
var Unconditional = Condition{}

// IfAbsent is the condition of a write that only creates.
var IfAbsent = Condition{Absent: true}

// IfVersion is the condition of a write that only replaces version v.
func IfVersion(v Version) Condition {
	if v == 0 {
		return IfAbsent
	}
	return Condition{Version: v}
}

// Holds tells whether the condition holds for the present version, zero if absent.
func (c Condition) Holds(present Version) bool {
	if c.Absent {
		return present == 0
	}
	return c.Version == 0 || c.Version == present
}

// VM is one row of the platform's VM list, which lags behind the truth.
type VM struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Role tells what a VM is for.
type Role string

// State tells whether a VM is about to go.
type State string

// The values of Role and State.
const (
	Entry    Role  = "entry"
	Upstream Role  = "upstream"
	Live     State = "live"
	Leaving  State = "leaving"
)

// Class marks every error of this package.
var Class = errs.Class("platform")

// The closed set of errors. Every error of a call wraps exactly one of them.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = Class.New("not found")
	// ErrConflict means that the condition of a write did not hold; it had no effect.
	ErrConflict = Class.New("conflict")
	// ErrUnavailable means that the store could not be asked. A write had no effect.
	ErrUnavailable = Class.New("unavailable")
	// ErrUnknown means that the answer to a write was lost: it may have taken
	// effect, or may still do so later.
	ErrUnknown = Class.New("outcome unknown")
	// ErrRefused means that the store takes no such call, for example a value
	// over Limit; repeating does not help. A write had no effect.
	ErrRefused = Class.New("refused")
)

// Timeouts bound each call, whatever time its context allows.
type Timeouts struct {
	Dial  clock.Milli
	Read  clock.Milli
	Write clock.Milli
}

// DefaultTimeouts are made for a store that answers in milliseconds: a call
// that takes a hundred times as long has met a dead connection or an outage,
// and waiting longer only spends the caller's allowed time.
var DefaultTimeouts = Timeouts{Dial: 500, Read: clock.Second, Write: clock.Second}

// Counts are the calls since the start of the process, for metrics.
type Counts struct {
	Reads, Watches, Writes uint64
	// Unavailable and Unknown count calls that ended so.
	Unavailable, Unknown uint64
}

// Package clock is the project's one notion of time: whole milliseconds.
//
// Decision code never reads a clock. It takes a Milli as an argument, so that
// a test or a bench can play a day in a second and get the same result twice.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Milli is an instant or a span in milliseconds. An instant counts from the
// Unix epoch; instants of two VMs must not be compared, so messages carry
// remaining spans rather than instants.
type Milli int64

// Second and Minute are spans.
const (
	Second Milli = 1000
	Minute Milli = 60 * Second
)

// Duration converts a span for use with the standard library.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Of converts a span of the standard library, rounded down.
func Of(d time.Duration) Milli { return Milli(d / time.Millisecond) }

// Clock reads the time of this process.
type Clock struct {
	// start is one wall reading; every later reading adds the monotonic
	// time since, so a step of the wall clock never moves a deadline.
	start time.Time
}

// New returns a clock that starts from the wall time of now.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the present instant. It never goes back within a process.
func (c *Clock) Now() Milli {
	return Milli(c.start.UnixMilli()) + Of(time.Since(c.start))
}

// Boot is a clock that goes on while the VM is suspended. What others count by
// wall time - how old a list is, when a key was withdrawn, when a caller
// gives up - must not stand still with a VM that was frozen for seconds.
type Boot struct{}

// Now returns the present instant. It never goes back.
func (Boot) Now() Milli {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39; only a wrong id fails
	}
	return Milli(t.Nano() / int64(time.Millisecond))
}

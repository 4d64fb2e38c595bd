// Package clock represents time in whole milliseconds and reads the process's clocks.
//
// Decision code never reads a clock. It takes a Milli as an argument, so that a test or
// benchmark can simulate a day in a second and get the same result each time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Milli is an instant or a duration in milliseconds. Instants count from the Unix epoch. Instants
// of two VMs must not be compared, so messages carry remaining durations rather than instants.
type Milli int64

// Durations.
const (
	Second Milli = 1000
	Minute Milli = 60 * Second
)

// Duration converts a duration to the type of the standard library.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Of converts a duration of the standard library to milliseconds, truncated.
func Of(d time.Duration) Milli { return Milli(d / time.Millisecond) }

// Clock is the monotonic clock of this process, based on its wall time at New.
type Clock struct {
	// start is the only reading of the wall clock. Now adds the monotonic time
	// since, so a step of the wall clock never moves a deadline.
	start time.Time
}

// New returns a clock based on the current wall time.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the current instant. It never decreases within a process.
func (c *Clock) Now() Milli {
	return Milli(c.start.UnixMilli()) + Of(time.Since(c.start))
}

// Boot is CLOCK_BOOTTIME, which advances while the VM is suspended. It is for durations that go on
// outside a suspended VM: the age of a cached list, the time since an API key was revoked, a client's timeout.
type Boot struct{}

// Now returns the time since boot. It never decreases.
func (Boot) Now() Milli {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39; only a wrong clock id fails
	}
	return Milli(t.Nano() / int64(time.Millisecond))
}

// Package guard runs goroutines. It logs their panics, and calls functions periodically.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
)

// Go runs f in its own goroutine. A panic is logged with its stack before it ends the process,
// since on-call engineers read only the log. It is not suppressed: if only the goroutine ended, the
// process would appear healthy.
func Go(l *log.Logger, name string, f func()) {
	go func() {
		defer ReportPanic(l, name)
		f()
	}()
}

// ReportPanic logs a panic and panics again. It must be deferred by goroutines that are not started
// by Go.
func ReportPanic(l *log.Logger, name string) {
	r := recover()
	if r == nil {
		return
	}
	l.Error().Str("goroutine", name).Str("panic", fmt.Sprint(r)).Str("stack", string(debug.Stack())).Msg("panic")
	panic(r)
}

// Every calls f once per period until ctx ends. A call that takes longer than the period delays the
// next one; missed calls are not made up for.
func Every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

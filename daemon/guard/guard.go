// Package guard runs goroutines: it reports their panics as log lines, and repeats
// what is to be done at a period.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
)

// Go runs f in a goroutine of its own. A panic is written to the log with its
// stack before it ends the process: the log is what on-call engineers read,
// and a goroutine that died silently would leave a daemon that looks alive.
func Go(l *log.Logger, name string, f func()) {
	go func() {
		defer ReportPanic(l, name)
		f()
	}()
}

// ReportPanic is deferred by goroutines that are started otherwise.
func ReportPanic(l *log.Logger, name string) {
	r := recover()
	if r == nil {
		return
	}
	l.Error().Str("goroutine", name).Str("panic", fmt.Sprint(r)).Str("stack", string(debug.Stack())).Msg("panic")
	panic(r)
}

// Every calls f once each period until ctx ends. A call that takes longer than the
// period delays the next one; none is made up for.
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

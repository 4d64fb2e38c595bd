package script

import (
	"fmt"
	"strings"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/scenarios/world"
)

func init() {
	// testscript has a command of its own named wait.
	register("await", await)
	register("pass", pass)
	register("mark", mark)
}

// awaitTimeout bounds waits for conditions that have no guaranteed time bound.
const awaitTimeout = 45 * time.Second

// condition reports whether a condition of await holds for the process, call or load of that name. An error ends the wait.
type condition func(s *session, name string) (bool, error)

var conditions = map[string]condition{
	"ready":   func(s *session, name string) (bool, error) { return s.world.Ready(s.ctx, name), nil },
	"unready": func(s *session, name string) (bool, error) { return !s.world.Ready(s.ctx, name), nil },
	"exited":  exited,
	"ended": func(s *session, name string) (bool, error) {
		ended, _, err := s.world.Exited(name)
		return ended, err
	},
	"arrived": func(s *session, name string) (bool, error) { return wasExecuted(s, name, false) },
	"running": func(s *session, name string) (bool, error) { return wasExecuted(s, name, true) },
	"first": func(s *session, name string) (bool, error) {
		r, err := s.result(name)
		if err != nil || r == nil {
			return false, err
		}
		if r.Ended() && !r.HasChunk() {
			return false, fmt.Errorf("call ended before its first chunk: %s", r)
		}
		return r.HasChunk(), nil
	},
	"gone":     func(s *session, name string) (bool, error) { return s.world.MemberGone(s.ctx, name) },
	"joined":   func(s *session, name string) (bool, error) { return s.world.MemberJoined(s.ctx, name) },
	"done":     allEnded,
	"free":     memoryFree,
	"granted":  func(s *session, name string) (bool, error) { return s.world.HasGrant(s.ctx, name) },
	"revision": func(s *session, name string) (bool, error) { return s.world.DocumentInForce(s.ctx, name) },
}

// await waits until a condition holds for every name, by default for all daemons:
// await [-within D] CONDITION NAME...
func await(s *session, args []string) error {
	limit := awaitTimeout
	if len(args) > 1 && args[0] == "-within" {
		d, err := time.ParseDuration(args[1])
		if err != nil {
			return usageError(err.Error())
		}
		limit, args = d, args[2:]
	}
	if len(args) < 1 || conditions[args[0]] == nil {
		return usageError("await [-within D] CONDITION NAME...")
	}
	names := args[1:]
	if len(names) == 0 {
		names = s.world.Daemons()
	}
	holds := conditions[args[0]]
	until := time.Now().Add(limit)
	for _, name := range names {
		err := world.Await(s.ctx, time.Until(until), args[0]+" "+name, func() (bool, error) { return holds(s, name) })
		if err != nil {
			return err
		}
	}
	return nil
}

// result returns the result of a call, or nil if the call belongs to a load that has not sent it yet.
func (s *session) result(name string) (*world.Result, error) {
	load, _, _ := strings.Cut(name, ".")
	sent, ok := s.loads[load]
	if ok {
		select {
		case <-sent:
		default:
			if len(s.world.Results(name)) == 0 {
				return nil, nil
			}
		}
	}
	return s.world.Result(name)
}

// exited reports whether a process has exited; an unclean exit is an error.
func exited(s *session, name string) (bool, error) {
	ended, clean, err := s.world.Exited(name)
	if err == nil && ended && !clean {
		return false, fmt.Errorf("%s ended with %s", name, s.world.Status(name))
	}
	return ended, err
}

// wasExecuted reports whether an upstream has recorded the call, and with started set, whether one began to run it. It
// returns an error if the call ended without either.
func wasExecuted(s *session, name string, started bool) (bool, error) {
	r, err := s.result(name)
	if err != nil || r == nil {
		return false, err
	}
	l, err := s.world.Ledger()
	if err != nil {
		return false, err
	}
	for _, x := range l.ForCall(r.Call) {
		if x.Ran() || !started {
			return true, nil
		}
	}
	if r.Ended() {
		return false, fmt.Errorf("call ended before an upstream ran it: %s", r)
	}
	return false, nil
}

// allEnded reports whether a call, or all calls of a load, have ended.
func allEnded(s *session, name string) (bool, error) {
	if sent, ok := s.loads[name]; ok {
		select {
		case <-sent:
		default:
			return false, nil
		}
	}
	rs := s.world.Results(name)
	if len(rs) == 0 {
		return false, fmt.Errorf("no call %q", name)
	}
	for _, r := range rs {
		if !r.Ended() {
			return false, nil
		}
	}
	return true, nil
}

// memoryFree reports whether an engine reserves memory only for calls that have not ended.
func memoryFree(s *session, name string) (bool, error) {
	orphaned, err := s.world.OrphanedMemory(s.ctx, name)
	return len(orphaned) == 0, err
}

// pass sleeps: pass DURATION. It is for effects that need time and can't be awaited, such as a lease that expires while its
// holder is frozen. It checks nothing.
func pass(s *session, args []string) error {
	if len(args) != 1 {
		return usageError("pass DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return usageError(err.Error())
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
	return nil
}

// mark stores the current time, optionally plus a duration, under a name: mark NAME [+D]
func mark(s *session, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return usageError("mark NAME [+D]")
	}
	at := now()
	if len(args) == 2 {
		d, err := time.ParseDuration(strings.TrimPrefix(args[1], "+"))
		if err != nil {
			return usageError(err.Error())
		}
		at += clock.Of(d)
	}
	s.marks[args[0]] = at
	return nil
}

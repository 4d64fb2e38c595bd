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

// awaitLimit bounds waits that no promise bounds.
const awaitLimit = 45 * time.Second

// condition tells whether what a script waits for holds; an error ends the wait.
type condition func(s *session, name string) (bool, error)

var conditions = map[string]condition{
	"ready":   func(s *session, name string) (bool, error) { return s.world.Ready(s.ctx, name), nil },
	"unready": func(s *session, name string) (bool, error) { return !s.world.Ready(s.ctx, name), nil },
	"exited":  exited,
	"ended": func(s *session, name string) (bool, error) {
		ended, _, err := s.world.Exited(name)
		return ended, err
	},
	"arrived": func(s *session, name string) (bool, error) { return executed(s, name, false) },
	"running": func(s *session, name string) (bool, error) { return executed(s, name, true) },
	"first": func(s *session, name string) (bool, error) {
		r, err := s.result(name)
		if err != nil || r == nil {
			return false, err
		}
		if r.Ended() && !r.HasChunk() {
			return false, fmt.Errorf("ended before its first chunk: %s", r)
		}
		return r.HasChunk(), nil
	},
	"gone":     func(s *session, name string) (bool, error) { return s.world.MemberGone(s.ctx, name) },
	"joined":   func(s *session, name string) (bool, error) { return s.world.MemberJoined(s.ctx, name) },
	"done":     done,
	"free":     free,
	"granted":  func(s *session, name string) (bool, error) { return s.world.HasGrant(s.ctx, name) },
	"revision": func(s *session, name string) (bool, error) { return s.world.DocumentInForce(s.ctx, name) },
}

// await waits for a condition on every name: await [-within D] CONDITION NAME...
func await(s *session, args []string) error {
	limit := awaitLimit
	if len(args) > 1 && args[0] == "-within" {
		d, err := time.ParseDuration(args[1])
		if err != nil {
			return usage(err.Error())
		}
		limit, args = d, args[2:]
	}
	if len(args) < 1 || conditions[args[0]] == nil {
		return usage("await [-within D] CONDITION NAME...")
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

// result returns a call; nil if the load that it belongs to has not sent it yet.
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

// exited wants the graceful end of a process.
func exited(s *session, name string) (bool, error) {
	ended, clean, err := s.world.Exited(name)
	if err == nil && ended && !clean {
		return false, fmt.Errorf("%s ended with %s", name, s.world.Status(name))
	}
	return ended, err
}

// executed looks for a call in the ledgers.
func executed(s *session, name string, ran bool) (bool, error) {
	r, err := s.result(name)
	if err != nil || r == nil {
		return false, err
	}
	l, err := s.world.Ledger()
	if err != nil {
		return false, err
	}
	for _, x := range l.ForCall(r.Call) {
		if x.Ran() || !ran {
			return true, nil
		}
	}
	if r.Ended() {
		return false, fmt.Errorf("ended before it ran: %s", r)
	}
	return false, nil
}

// done waits for a call, or for all of a load.
func done(s *session, name string) (bool, error) {
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

// free tells whether an engine's memory holds nothing that no live call explains.
func free(s *session, name string) (bool, error) {
	left, err := s.world.OrphanedMemory(s.ctx, name)
	return len(left) == 0, err
}

// pass lets time go by, for what takes time by itself: a lease that lapses
// while its holder is frozen. No verdict hangs on it.
func pass(s *session, args []string) error {
	if len(args) != 1 {
		return usage("pass DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return usage(err.Error())
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
	return nil
}

// mark names the present instant, optionally later by a span: mark NAME [+D].
func mark(s *session, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return usage("mark NAME [+D]")
	}
	at := now()
	if len(args) == 2 {
		d, err := time.ParseDuration(strings.TrimPrefix(args[1], "+"))
		if err != nil {
			return usage(err.Error())
		}
		at += clock.Of(d)
	}
	s.marks[args[0]] = at
	return nil
}

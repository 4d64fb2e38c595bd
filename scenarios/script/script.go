// Package script implements the commands of the scenario scripts for testscript. They start and control a deployment of
// separate processes and check its results. docs/SCENARIOS.md documents each command.
package script

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"snipeshift.example/lib/clock"
	"snipeshift.example/scenarios/world"
)

// session is one running script.
type session struct {
	ctx   context.Context //nolint:containedctx // canceled at the end of the script
	world *world.World
	// binDir is the folder of the programs.
	binDir string
	ts     *testscript.TestScript
	// marks holds the times that the script named with mark.
	marks map[string]clock.Milli
	// loads has a channel for each load by name; it is closed once the load has sent its last request.
	loads map[string]chan struct{}
	// baseRevisions maps each edited file to the document revision that it is based on.
	baseRevisions map[string]uint64
}

// commandFunc runs a command; its error fails the script, unless the command follows "!".
type commandFunc func(s *session, args []string) error

var commands = map[string]commandFunc{}

// register adds a command; the init function of each file registers the commands in it.
func register(name string, r commandFunc) { commands[name] = r }

// errUsage marks an error in the script itself; it fails the script even if the command follows "!".
var errUsage = errors.New("usage")

func usageError(text string) error { return fmt.Errorf("%w: %s", errUsage, text) }

type sessionKey struct{}

// Runner runs scripts with the programs of one folder.
type Runner struct {
	// Bin is the folder of the programs.
	Bin string
	// Slots bounds how many scenarios run concurrently; each sends to it at its start and receives from it at its end.
	Slots chan struct{}
}

// Params returns the parameters of testscript for a folder of scripts.
func (r *Runner) Params(dir string) testscript.Params {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range commands {
		cmds[name] = wrapCommand(name, f)
	}
	return testscript.Params{Dir: dir, Setup: r.setup, Cmds: cmds, RequireUniqueNames: true}
}

// setup waits for a slot and prepares the session of a script.
func (r *Runner) setup(env *testscript.Env) error {
	r.Slots <- struct{}{}
	env.Defer(func() { <-r.Slots })
	w := world.New(env.WorkDir, r.Bin)
	ctx, cancel := context.WithCancel(context.Background())
	env.Defer(func() {
		w.Close()
		cancel()
	})
	env.Values[sessionKey{}] = &session{ctx: ctx, world: w, binDir: r.Bin, marks: map[string]clock.Milli{}, loads: map[string]chan struct{}{}, baseRevisions: map[string]uint64{}}
	return nil
}

// wrapCommand makes a testscript command from f; after "!" the command must return an error.
func wrapCommand(name string, f commandFunc) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(sessionKey{}).(*session)
		s.ts = ts
		err := f(s, args)
		switch {
		case errors.Is(err, errUsage):
			ts.Fatalf("%s: %v", name, err)
		case neg && err == nil:
			ts.Fatalf("%s: unexpected success", name)
		case neg:
			ts.Logf("%s: failed as expected: %v", name, err)
		case err != nil:
			ts.Logf("%s", s.world.Logs())
			ts.Fatalf("%s: %v", name, err)
		}
	}
}

// parseFlags parses the flags of a command and returns what follows them.
func parseFlags(f *flag.FlagSet, args []string) ([]string, error) {
	f.SetOutput(io.Discard)
	if err := f.Parse(args); err != nil {
		return nil, usageError(err.Error())
	}
	return f.Args(), nil
}

// stringList is a flag that may be repeated.
type stringList []string

func (m *stringList) String() string     { return fmt.Sprint(*m) }
func (m *stringList) Set(v string) error { *m = append(*m, v); return nil }

// eachName makes a command that calls f with each of its arguments, the names of processes or calls.
func eachName(f func(s *session, name string) error) commandFunc {
	return func(s *session, args []string) error {
		if len(args) == 0 {
			return usageError("needs one or more names")
		}
		for _, name := range args {
			if err := f(s, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// background removes a trailing "&" and reports whether there was one.
func background(args []string) ([]string, bool) {
	if n := len(args); n > 0 && args[n-1] == "&" {
		return args[:n-1], true
	}
	return args, false
}

// now returns the current time in the unit in which upstreams record requests.
func now() clock.Milli { return clock.Milli(time.Now().UnixMilli()) }

package script

import (
	"fmt"
	"slices"
	"strings"
)

func init() {
	register("owner", owner)
	register("others", others)
	register("where", where)
}

// owner sets a variable to the name of a pool's owner: owner VAR POOL
func owner(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("owner VAR POOL")
	}
	name, err := s.world.Owner(s.ctx, args[1])
	if err != nil {
		return err
	}
	s.ts.Setenv(args[0], name)
	return nil
}

// where sets a variable to the name of the first upstream that ran a call: where VAR CALL
func where(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("where VAR CALL")
	}
	r, err := s.world.Result(args[1])
	if err != nil {
		return err
	}
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	for _, x := range l.ForCall(r.Call) {
		if x.Ran() {
			s.ts.Setenv(args[0], x.Upstream)
			return nil
		}
	}
	return fmt.Errorf("no upstream has run call %s", args[1])
}

// others sets a variable to the names of all daemons except those given, separated by commas: others VAR NAME...
func others(s *session, args []string) error {
	if len(args) < 2 {
		return usageError("others VAR NAME...")
	}
	var names []string
	for _, d := range s.world.Daemons() {
		if !slices.Contains(args[1:], d) {
			names = append(names, d)
		}
	}
	s.ts.Setenv(args[0], strings.Join(names, ","))
	return nil
}

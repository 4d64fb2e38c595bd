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

// owner puts the name of a pool's owner into a variable: owner VAR POOL
func owner(s *session, args []string) error {
	if len(args) != 2 {
		return usage("owner VAR POOL")
	}
	name, err := s.world.Owner(s.ctx, args[1])
	if err != nil {
		return err
	}
	s.ts.Setenv(args[0], name)
	return nil
}

// where puts the name of the upstream that runs a call into a variable: where VAR CALL
func where(s *session, args []string) error {
	if len(args) != 2 {
		return usage("where VAR CALL")
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
	return fmt.Errorf("%s runs nowhere", args[1])
}

// others puts the names of all daemons but some into a variable: others VAR NAME...
func others(s *session, args []string) error {
	if len(args) < 2 {
		return usage("others VAR NAME...")
	}
	var left []string
	for _, d := range s.world.Daemons() {
		if !slices.Contains(args[1:], d) {
			left = append(left, d)
		}
	}
	s.ts.Setenv(args[0], strings.Join(left, ","))
	return nil
}

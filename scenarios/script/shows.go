package script

import (
	"errors"
	"fmt"
	"regexp"

	"snipeshift.example/scenarios/world"
)

func init() { register("shows", shows) }

// shows waits until the operators' command prints what a regular expression
// matches: shows REGEXP ARGUMENT...
func shows(s *session, args []string) error {
	if len(args) < 2 {
		return usage("shows REGEXP ARGUMENT...")
	}
	want, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return usage(err.Error())
	}
	var text string
	var last error
	err = world.Await(s.ctx, awaitLimit, "output "+args[0], func() (bool, error) {
		// A daemon that is gone makes the command end with an error for some seconds.
		text, last = s.world.RunOperator(s.ctx, args[1:]...)
		return want.MatchString(text), nil
	})
	if err != nil {
		return fmt.Errorf("%w; last output:\n%s", errors.Join(err, last), text)
	}
	return nil
}

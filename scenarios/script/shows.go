package script

import (
	"errors"
	"fmt"
	"regexp"

	"snipeshift.example/scenarios/world"
)

func init() { register("shows", shows) }

// shows runs the operator command again and again until its output matches a regular expression:
// shows REGEXP ARGUMENT...
func shows(s *session, args []string) error {
	if len(args) < 2 {
		return usageError("shows REGEXP ARGUMENT...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return usageError(err.Error())
	}
	var text string
	var lastErr error
	err = world.Await(s.ctx, awaitTimeout, "output "+args[0], func() (bool, error) {
		// A daemon that was lost makes the command exit with an error for some seconds.
		text, lastErr = s.world.RunOperator(s.ctx, args[1:]...)
		return pattern.MatchString(text), nil
	})
	if err != nil {
		return fmt.Errorf("%w; last output:\n%s", errors.Join(err, lastErr), text)
	}
	return nil
}

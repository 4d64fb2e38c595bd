package script

import (
	"time"

	"snipeshift.example/scenarios/world"
)

func init() { register("bad", bad) }

// goroutinesLimit is how long a daemon may take to be rid of what bad inputs left.
const goroutinesLimit = 15 * time.Second

// goroutinesNoise is by how many goroutines an idle daemon differs from moment to moment.
const goroutinesNoise = 10

// bad sends every kind of bad input to a daemon, and again, and wants no goroutine left: bad VM
func bad(s *session, args []string) error {
	if len(args) != 1 {
		return usage("bad VM")
	}
	before, err := s.world.Goroutines(s.ctx, args[0])
	if err != nil {
		return err
	}
	for range 2 {
		if err := s.world.CheckBadInputs(s.ctx, args[0]); err != nil {
			return err
		}
	}
	return world.Await(s.ctx, goroutinesLimit, "goroutines gone", func() (bool, error) {
		now, err := s.world.Goroutines(s.ctx, args[0])
		return now <= before+goroutinesNoise, err
	})
}

package script

import (
	"time"

	"snipeshift.example/scenarios/world"
)

func init() { register("bad", bad) }

// goroutinesLimit is how long a daemon may take to end the goroutines that bad inputs started.
const goroutinesLimit = 15 * time.Second

// goroutinesNoise is by how much the number of goroutines of an idle daemon varies.
const goroutinesNoise = 10

// bad sends every kind of bad input to a daemon, twice, and checks the responses and that no goroutines leak: bad VM
func bad(s *session, args []string) error {
	if len(args) != 1 {
		return usage("bad VM")
	}
	before, err := s.world.Goroutines(s.ctx, args[0])
	if err != nil {
		return err
	}
	for range 2 {
		if err := s.world.Bad(s.ctx, args[0]); err != nil {
			return err
		}
	}
	return world.Await(s.ctx, goroutinesLimit, "end of leaked goroutines", func() (bool, error) {
		now, err := s.world.Goroutines(s.ctx, args[0])
		return now <= before+goroutinesNoise, err
	})
}

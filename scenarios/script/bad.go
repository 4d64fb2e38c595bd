package script

import (
	"time"

	"snipeshift.example/scenarios/world"
)

func init() { register("bad", bad) }

// goroutinesTimeout is how long a daemon may take to end the goroutines that bad inputs started.
const goroutinesTimeout = 15 * time.Second

// goroutinesVariation is by how much the number of goroutines of an idle daemon varies.
const goroutinesVariation = 10

// bad sends every kind of bad input to a daemon, twice, and checks the responses and that no goroutines leak: bad VM
func bad(s *session, args []string) error {
	if len(args) != 1 {
		return usageError("bad VM")
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
	return world.Await(s.ctx, goroutinesTimeout, "end of leaked goroutines", func() (bool, error) {
		now, err := s.world.Goroutines(s.ctx, args[0])
		return now <= before+goroutinesVariation, err
	})
}

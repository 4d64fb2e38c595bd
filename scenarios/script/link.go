package script

import (
	"flag"
	"slices"

	"snipeshift.example/scenarios/relay"
)

func init() {
	register("cut", cut)
	register("heal", heal)
	register("silence", silence)
}

// onLink applies f to the link between the two processes in args, the dialing one first. Two daemons dial each other, so
// between them it applies f to the links of both directions, unless single is set.
func (s *session) onLink(args []string, single bool, f func(from, to string) error) error {
	if len(args) != 2 {
		return usageError("needs the names of two processes, the dialing one first")
	}
	if err := f(args[0], args[1]); err != nil {
		return err
	}
	daemons := s.world.Daemons()
	if single || !slices.Contains(daemons, args[0]) || !slices.Contains(daemons, args[1]) {
		return nil
	}
	return f(args[1], args[0])
}

// cut resets the connections of a link and refuses new ones until heal: cut [-one] FROM TO
func cut(s *session, args []string) error {
	f := flag.NewFlagSet("cut", flag.ContinueOnError)
	single := f.Bool("one", false, "")
	rest, err := parseFlags(f, args)
	if err != nil {
		return err
	}
	return s.onLink(rest, *single, s.world.Cut)
}

// heal ends the fault of a link for connections opened from now on: heal FROM TO
func heal(s *session, args []string) error {
	return s.onLink(args, false, s.world.Heal)
}

// silence keeps the connections of a link open but discards what is sent over them, with -there only what the dialing
// process sends, with -back only what it would receive, with -new also over connections opened until heal:
// silence [-one] [-new] [-there|-back] FROM TO
func silence(s *session, args []string) error {
	f := flag.NewFlagSet("silence", flag.ContinueOnError)
	single := f.Bool("one", false, "")
	newToo := f.Bool("new", false, "")
	there := f.Bool("there", false, "")
	back := f.Bool("back", false, "")
	rest, err := parseFlags(f, args)
	if err != nil {
		return err
	}
	directions := relay.Both
	switch {
	case *there && !*back:
		directions = relay.ToTarget
	case *back && !*there:
		directions = relay.FromTarget
	}
	return s.onLink(rest, *single, func(from, to string) error { return s.world.Silence(from, to, directions, *newToo) })
}

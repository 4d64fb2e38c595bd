package script

import "strconv"

func init() {
	register("start", eachName(func(s *session, name string) error { return s.world.Start(name) }))
	// testscript has commands of its own named kill and stop.
	register("sigkill", eachName(func(s *session, name string) error { return s.world.Kill(name) }))
	register("sigterm", eachName(func(s *session, name string) error { return s.world.Stop(name) }))
	register("freeze", eachName(func(s *session, name string) error { return s.world.Freeze(name) }))
	register("thaw", eachName(func(s *session, name string) error { return s.world.Thaw(name) }))
	register("vm", setVM)
	register("descriptors", limitDescriptors)
	register("occupy", occupy)
	register("vacate", vacate)
}

// limitDescriptors sets the limit of descriptors of a running process: descriptors NAME COUNT
func limitDescriptors(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("descriptors NAME COUNT")
	}
	n, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return usageError(err.Error())
	}
	return s.world.LimitDescriptors(args[0], n)
}

// occupy opens connections to a daemon that carry nothing: occupy NAME caller|peer|operator COUNT
func occupy(s *session, args []string) error {
	if len(args) != 3 {
		return usageError("occupy NAME caller|peer|operator COUNT")
	}
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return usageError(err.Error())
	}
	return s.world.Occupy(s.ctx, args[0], args[1], n)
}

// vacate closes the connections of occupy: vacate
func vacate(s *session, _ []string) error { return s.world.Vacate() }

// setVM changes the state of a VM in the platform's list, which processes see with a delay: vm NAME live|leaving|gone
func setVM(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("vm NAME live|leaving|gone")
	}
	return s.world.SetVM(s.ctx, args[0], args[1])
}

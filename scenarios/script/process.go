package script

func init() {
	register("start", eachName(func(s *session, name string) error { return s.world.Start(name) }))
	// testscript has commands of its own named kill and stop.
	register("sigkill", eachName(func(s *session, name string) error { return s.world.Kill(name) }))
	register("sigterm", eachName(func(s *session, name string) error { return s.world.Stop(name) }))
	register("freeze", eachName(func(s *session, name string) error { return s.world.Freeze(name) }))
	register("thaw", eachName(func(s *session, name string) error { return s.world.Thaw(name) }))
	register("vm", setVM)
}

// setVM changes the state of a VM in the platform's list, which processes see with a delay: vm NAME live|leaving|gone
func setVM(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("vm NAME live|leaving|gone")
	}
	return s.world.SetVM(s.ctx, args[0], args[1])
}

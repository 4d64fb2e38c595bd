package script

import (
	"fmt"

	"snipeshift.example/scenarios/world"
)

func init() {
	register("outage", outage)
	register("slow", storeField("slow", "MS"))
	register("lose-answer", storeField("lose", "N"))
	register("stale", storeField("stale", "MS"))
	register("lag", storeField("lag", "MS"))
	register("deadwatch", deadwatch)
	register("control", control)
	register("engine", control)
	register("service", control)
}

// outage makes the store unavailable: refuse resets connections, hang accepts requests without responding to them, over
// ends the outage.
func outage(s *session, args []string) error {
	if len(args) != 1 {
		return usageError("outage refuse|hang|over")
	}
	kind := args[0]
	if kind == "over" {
		kind = ""
	}
	return s.world.Control(s.ctx, world.Store, fmt.Sprintf("outage=%q", kind))
}

// storeField makes a command that sets one field of the emulated store; unit names its argument.
func storeField(field, unit string) commandFunc {
	return func(s *session, args []string) error {
		if len(args) != 1 {
			return usageError("one argument needed: " + unit)
		}
		return s.world.Control(s.ctx, world.Store, field+"="+args[0])
	}
}

// deadwatch makes the store keep watches open without sending changes on them: deadwatch on|off
func deadwatch(s *session, args []string) error {
	if len(args) != 1 || args[0] != "on" && args[0] != "off" {
		return usageError("deadwatch on|off")
	}
	return s.world.Control(s.ctx, world.Store, fmt.Sprintf("deadwatch=%v", args[0] == "on"))
}

// control injects faults into an emulated upstream or store: control NAME FIELD=VALUE...
func control(s *session, args []string) error {
	if len(args) < 2 {
		return usageError("NAME FIELD=VALUE...")
	}
	return s.world.Control(s.ctx, args[0], args[1:]...)
}

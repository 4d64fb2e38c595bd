//go:build !faults

package main

import (
	"snipeshift.example/daemon/settings"
	"snipeshift.example/lib/dial"
)

// injectFaults returns d: only a daemon that is built for tests injects faults.
func injectFaults(_ *settings.Relay, d dial.Dial) dial.Dial { return d }

package main

import (
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/fleet"
	"snipeshift.example/lib/clock"
)

// Load of simulateShares.
const (
	shareWorkspaces = 64
	// shareRate is the requests per second and engine, 1.2 times what an engine serves.
	shareRate = 9
	// heavyFraction is the fraction of the requests that one workspace sends.
	heavyFraction = 0.3
)

// simulateShares prints what decisions cost an owner without and with shares of workspaces, for each number of gates.
func simulateShares(c *cli.Command, engines int) error {
	w := c.Root().Writer
	if !c.Bool("json") {
		fmt.Fprintf(w, "%6s %8s %7s %9s %9s %9s %8s %9s %8s %9s %11s\n", "gates", "engines", "shares", "requests", "granted", "refused", "queued", "reserved", "ask us", "scan us", "slowest us")
	}
	for _, n := range c.IntSlice("vms") {
		for _, enabled := range []bool{false, true} {
			r := fleet.RunShares(fleet.ShareLoad{
				Gates: n, Engines: engines, Workspaces: shareWorkspaces, Seed: c.Uint64("seed"),
				Rate: shareRate * float64(engines), Heavy: heavyFraction, For: clock.Of(c.Duration("for")), Enabled: enabled,
			})
			if c.Bool("json") {
				if err := json.NewEncoder(w).Encode(r); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(w, "%6d %8d %7t %9d %9d %9d %8.0f %9.1f %8.1f %9.0f %11.0f\n", n, engines, r.Enabled, r.Requests, r.Granted, r.Refused, r.Queued, r.Reserved, r.Ask, r.Tick, r.Slowest)
		}
	}
	return nil
}

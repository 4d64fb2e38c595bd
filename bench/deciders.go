package main

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/fleet"
	"snipeshift.example/lib/clock"
)

// Upstreams of the simulated service, and the usual and the low load per slot.
const (
	deciderUpstreams = 30
	deciderSlots     = 16
	usualLoad        = 0.7
	lowLoad          = 0.02
)

// deciderCases are the kinds of load that are simulated.
var deciderCases = []struct {
	name string
	load fleet.DeciderLoad
}{
	{"steady", fleet.DeciderLoad{Load: usualLoad}},
	{"unequal", fleet.DeciderLoad{Load: usualLoad, Unequal: true}},
	{"burst", fleet.DeciderLoad{Load: usualLoad, Burst: true}},
	{"false", fleet.DeciderLoad{Load: usualLoad, False: 1}},
	{"stopped", fleet.DeciderLoad{Load: usualLoad, Stopped: deciderUpstreams / 3}},
	{"changing", fleet.DeciderLoad{Load: usualLoad, Changing: true}},
	{"low", fleet.DeciderLoad{Load: lowLoad}},
}

// simulateDeciders prints a row for each kind of load, number of deciders, age of the reports and policy.
func simulateDeciders(c *cli.Command) error {
	w := c.Root().Writer
	if !c.Bool("json") {
		fmt.Fprintf(w, "%-8s %8s %6s %-10s %8s %8s %8s %9s %8s %8s %8s %8s\n", "case", "deciders", "age ms", "policy", "requests", "p50 ms", "p99 ms", "answer99", "idle %", "free %", "waited %", "unserved")
	}
	for _, k := range deciderCases {
		if only := c.String("case"); only != "" && only != k.name {
			continue
		}
		for _, n := range c.IntSlice("deciders") {
			for _, age := range c.IntSlice("ages") {
				l := k.load
				l.Deciders, l.Age, l.Upstreams, l.Slots = n, clock.Milli(age), deciderUpstreams, deciderSlots
				l.Seed, l.For = c.Uint64("seed"), clock.Of(c.Duration("for"))
				if err := simulatePolicies(c, k.name, l); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// simulatePolicies prints a row for each policy.
func simulatePolicies(c *cli.Command, name string, l fleet.DeciderLoad) error {
	w := c.Root().Writer
	for _, p := range fleet.Policies {
		if only := c.StringSlice("policy"); len(only) > 0 && !slices.Contains(only, string(p)) {
			continue
		}
		l.Policy = p
		r := fleet.RunDeciders(l)
		if c.Bool("json") {
			if err := json.NewEncoder(w).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%-8s %8d %6d %-10s %8d %8.0f %8.0f %9.0f %8.2f %8.2f %8.2f %8d\n", name, r.Deciders, r.Age, r.Policy, r.Requests, r.P50, r.P99, r.Answer99, 100*r.Idle, 100*r.Free, 100*r.Waited, r.Unserved)
	}
	return nil
}
